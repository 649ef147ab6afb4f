"""Fleet-wide rates: a token bucket per customer, split by escrow over failure domains."""

from marjoramvalve.rates.buckets import TokenBucket
from marjoramvalve.rates.lots import Lot, LotBook, LotOutcome
from marjoramvalve.rates.owners import LOT_LIFE_S, BucketOwners, Share

__all__ = ["LOT_LIFE_S", "BucketOwners", "Lot", "LotBook", "LotOutcome", "Share", "TokenBucket"]
