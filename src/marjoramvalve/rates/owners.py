"""Owners of customers' buckets: one for each customer and failure domain.

The domains' shares of a customer's rate and burst add up to the whole. Tokens move between
owners one way, on request, and a lost or late answer loses them, so that the sum over the fleet
never exceeds burst + rate x t. A new owner starts empty, and gains nothing until the lease under
which the earlier owner may still have been giving has run out.
"""

from dataclasses import dataclass

from marjoramvalve.rates.buckets import TokenBucket
from marjoramvalve.wire.messages import BucketTokenGrant, BucketTokenRequest, TokenOffer

LOT_S = 0.02
LOT_LIFE_S = 0.06
LOAN_PART = 0.5
DEBTOR_S = 5.0


@dataclass(frozen=True, slots=True)
class Share:
    """A domain's share of a customer's rate (calls a second) and burst (calls)."""

    rate: float
    burst: float


@dataclass(slots=True)
class _Owned:
    bucket: TokenBucket
    starts_at: float
    debtors: dict[str, float]


@dataclass(frozen=True, slots=True)
class Offer:
    """An offer to send to the owner in another domain, by its peer address."""

    address: str
    body: TokenOffer


class BucketOwners:
    """The buckets that this instance owns."""

    def __init__(self, fence_s: float, drift: float) -> None:
        self._stretch = (1 + drift) / (1 - drift)
        self._fence_s = fence_s * self._stretch
        self._owned: dict[str, _Owned] = {}
        self._active: set[str] = set()

    def keep(self, customer: str, share: Share, fresh: bool, now: float) -> None:
        """Owns a customer's bucket, or changes its share.

        `fresh` tells that the customer did not exist before, so that nobody has spent from its
        burst; otherwise a new bucket starts empty and fenced.
        """
        item = self._owned.get(customer)
        if item is not None:
            if (item.bucket.rate, item.bucket.burst) != (share.rate, share.burst):
                item.bucket.change(share.rate, share.burst, now)
                self._active.add(customer)
            return
        tokens = share.burst if fresh else 0.0
        starts_at = now if fresh else now + self._fence_s
        bucket = TokenBucket(share.rate, share.burst, tokens, starts_at)
        self._owned[customer] = _Owned(bucket, starts_at, {})
        self._active.add(customer)

    def drop(self, customer: str, now: float) -> float:
        """Gives up a bucket; returns the tokens in it, for its next owner."""
        self._active.discard(customer)
        item = self._owned.pop(customer, None)
        if item is None:
            return 0.0
        item.bucket.refill(now)
        return item.bucket.tokens

    def customers(self) -> tuple[str, ...]:
        """Returns the customers whose buckets are owned here."""
        return tuple(self._owned)

    def active(self) -> tuple[str, ...]:
        """Returns the customers whose buckets are not full, or are lent from.

        Those that rest cost nothing until the next request.
        """
        return tuple(sorted(self._active))

    def request(self, body: BucketTokenRequest, address: str, now: float) -> BucketTokenGrant:
        """Answers a request for tokens, of a node or of the owner in another domain."""
        item = self._owned.get(body.customer)
        if item is None:
            return BucketTokenGrant(body.customer, body.nonce, 0.0, 0.0, False)
        self._active.add(body.customer)
        most = self._most(item, body, now)
        if not body.partial and not body.lend:
            most = float(int(min(most, item.bucket.available(now))))
        granted = item.bucket.take(0.0 if body.partial else 1.0, most, now)
        life = LOT_LIFE_S * self._stretch
        if body.deficit:
            item.bucket.lend(granted, now + life)
            item.debtors[address] = now
        elif not body.lend:
            item.bucket.lend(granted - min(granted, body.need), now + life)
        wait = 0.0 if granted else item.bucket.wait_s(1.0, now)
        wait += max(0.0, item.starts_at - now)
        return BucketTokenGrant(body.customer, body.nonce, granted, min(wait, 60.0), True)

    def _most(self, item: _Owned, body: BucketTokenRequest, now: float) -> float:
        if body.lend:
            item.bucket.refill(now)
            return max(body.need, min(body.want, item.bucket.tokens * LOAN_PART))
        spare = min(body.want - body.need, item.bucket.rate * LOT_S)
        return body.need + max(0.0, spare)

    def deficit(self, customer: str, now: float) -> float:
        """Returns how many tokens a bucket lacks to its burst."""
        item = self._owned.get(customer)
        if item is None:
            return 0.0
        item.bucket.refill(now)
        return item.bucket.burst - item.bucket.tokens

    def add(self, customer: str, tokens: float, now: float) -> None:
        """Takes in tokens from another owner, or given back by a node."""
        item = self._owned.get(customer)
        if item is not None:
            item.bucket.add(tokens, now)

    def take_back(self, customer: str, tokens: float, now: float) -> None:
        """Takes in tokens that were drawn for a call and not used."""
        self.add(customer, tokens, now)

    def offers(self, now: float) -> list[Offer]:
        """Returns whom to tell that a bucket here overflows while theirs has room.

        Tokens themselves move only on request: a lender counts them against its burst for as
        long as the answer may be on its way, and a late answer is not taken.
        """
        out = []
        for customer in sorted(self._active):
            item = self._owned[customer]
            spare = item.bucket.refill(now)
            if not item.debtors and item.bucket.tokens >= item.bucket.burst:
                self._active.discard(customer)
            for address, told_at in list(item.debtors.items()):
                if now > told_at + DEBTOR_S:
                    del item.debtors[address]
                elif spare > 0:
                    out.append(Offer(address, TokenOffer(customer)))
        return out
