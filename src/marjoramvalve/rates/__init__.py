"""Fleet-wide rate limits: a token bucket per customer, split by escrow between failure domains."""

from marjoramvalve.rates.buckets import TokenBucket
from marjoramvalve.rates.lots import Lot, LotCache, LotOutcome
from marjoramvalve.rates.owners import LOT_TTL_S, BucketOwners, Share

__all__ = ["LOT_TTL_S", "BucketOwners", "Lot", "LotCache", "LotOutcome", "Share", "TokenBucket"]
