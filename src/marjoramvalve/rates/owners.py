"""Owners of customers' token buckets: one for each customer and failure domain.

The shares of all domains add up to the rate and burst of the customer. An owner transfers tokens
to the owner in another domain only on request. They leave its bucket before the answer is sent,
and are lost if the answer is lost or late, so that the tokens granted in the whole fleet never
exceed burst + rate x t. A new owner starts with an empty bucket that is not refilled until the
lease of the previous owner, which may still have been granting tokens, has expired.
"""

from dataclasses import dataclass

from marjoramvalve.rates.buckets import TokenBucket
from marjoramvalve.wire.messages import BucketTokenGrant, BucketTokenRequest, TokenOffer

MAX_SPARE_S = 0.02
LOT_TTL_S = 0.06
MAX_LOAN_RATIO = 0.5
BORROWER_TTL_S = 5.0


@dataclass(frozen=True, slots=True)
class Share:
    """A domain's share of a customer's rate (calls per second) and burst (calls)."""

    rate: float
    burst: float


@dataclass(slots=True)
class _OwnedBucket:
    """A bucket, the end of its fence, and the times of the last requests of its borrowers.

    `borrowers` is keyed by peer address.
    """

    bucket: TokenBucket
    starts_at: float
    borrowers: dict[str, float]


@dataclass(frozen=True, slots=True)
class Offer:
    """An offer to the owner in another domain, with the peer address to send it to."""

    address: str
    body: TokenOffer


class BucketOwners:
    """The buckets that this instance owns.

    `fence_s` is how long a previous owner may still grant tokens, `drift` the maximum drift of a
    clock as a fraction.
    """

    def __init__(self, fence_s: float, drift: float) -> None:
        self._drift_factor = (1 + drift) / (1 - drift)
        self._fence_s = fence_s * self._drift_factor
        self._owned: dict[str, _OwnedBucket] = {}
        self._active: set[str] = set()

    def assign(self, customer: str, share: Share, fresh: bool, now: float) -> None:
        """Takes ownership of a customer's bucket, or changes its share.

        `fresh` means that the customer is new, so that no other owner has spent any of its burst
        and the bucket starts full. Otherwise a new bucket starts empty and is fenced.
        """
        owned = self._owned.get(customer)
        if owned is not None:
            if (owned.bucket.rate, owned.bucket.burst) != (share.rate, share.burst):
                owned.bucket.reconfigure(share.rate, share.burst, now)
                self._active.add(customer)
            return
        tokens = share.burst if fresh else 0.0
        starts_at = now if fresh else now + self._fence_s
        bucket = TokenBucket(share.rate, share.burst, tokens, starts_at)
        self._owned[customer] = _OwnedBucket(bucket, starts_at, {})
        self._active.add(customer)

    def release(self, customer: str, now: float) -> float:
        """Gives up ownership of a bucket; returns its tokens, for the next owner."""
        self._active.discard(customer)
        owned = self._owned.pop(customer, None)
        if owned is None:
            return 0.0
        owned.bucket.refill(now)
        return owned.bucket.tokens

    def customers(self) -> tuple[str, ...]:
        """Returns the customers whose buckets are owned here."""
        return tuple(self._owned)

    def active(self) -> tuple[str, ...]:
        """Returns the customers whose buckets are not full or have recent borrowers.

        Only these need periodic work; the others are idle until the next request.
        """
        return tuple(sorted(self._active))

    def request(self, body: BucketTokenRequest, address: str, now: float) -> BucketTokenGrant:
        """Answers a request for tokens from a node or from the owner in another domain."""
        owned = self._owned.get(body.customer)
        if owned is None:
            return BucketTokenGrant(body.customer, body.nonce, 0.0, 0.0, False)
        self._active.add(body.customer)
        max_tokens = self._max_grant(owned, body, now)
        if not body.partial and not body.lend:
            max_tokens = float(int(min(max_tokens, owned.bucket.available(now))))
        granted = owned.bucket.take(0.0 if body.partial else 1.0, max_tokens, now)
        lent_s = LOT_TTL_S * self._drift_factor
        if body.deficit:
            owned.bucket.lend(granted, now + lent_s)
            owned.borrowers[address] = now
        elif not body.lend:
            owned.bucket.lend(granted - min(granted, body.need), now + lent_s)
        wait = 0.0 if granted else owned.bucket.wait_s(1.0, now)
        wait += max(0.0, owned.starts_at - now)
        return BucketTokenGrant(body.customer, body.nonce, granted, min(wait, 60.0), True)

    def _max_grant(self, owned: _OwnedBucket, body: BucketTokenRequest, now: float) -> float:
        if body.lend:
            owned.bucket.refill(now)
            return max(body.need, min(body.want, owned.bucket.tokens * MAX_LOAN_RATIO))
        spare = min(body.want - body.need, owned.bucket.rate * MAX_SPARE_S)
        return body.need + max(0.0, spare)

    def deficit(self, customer: str, now: float) -> float:
        """Returns how many tokens a bucket is short of its burst."""
        owned = self._owned.get(customer)
        if owned is None:
            return 0.0
        owned.bucket.refill(now)
        return owned.bucket.burst - owned.bucket.tokens

    def add(self, customer: str, tokens: float, now: float) -> None:
        """Adds tokens received from another owner or returned by a node."""
        owned = self._owned.get(customer)
        if owned is not None:
            owned.bucket.add(tokens, now)

    def return_unused(self, customer: str, tokens: float, now: float) -> None:
        """Adds tokens that were taken for a call and not used."""
        self.add(customer, tokens, now)

    def offers(self, now: float) -> list[Offer]:
        """Returns offers to recent borrowers of the buckets that overflow here.

        An offer carries no tokens, because tokens are transferred only on request: the lender
        counts them against its burst for as long as the answer may be in transit, and the borrower
        discards a late answer.
        """
        offers = []
        for customer in sorted(self._active):
            owned = self._owned[customer]
            spare = owned.bucket.refill(now)
            if not owned.borrowers and owned.bucket.tokens >= owned.bucket.burst:
                self._active.discard(customer)
            for address, requested_at in list(owned.borrowers.items()):
                if now > requested_at + BORROWER_TTL_S:
                    del owned.borrowers[address]
                elif spare > 0:
                    offers.append(Offer(address, TokenOffer(customer)))
        return offers
