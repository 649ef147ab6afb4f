"""A token bucket that can lend tokens."""

from collections import deque


class TokenBucket:
    """Holds up to `burst` tokens and is refilled with `rate` tokens per second.

    Tokens that were lent for later use count against the burst until they expire, so that the
    tokens held and lent together never exceed it. Times are on a monotonic clock, in seconds.
    """

    def __init__(self, rate: float, burst: float, tokens: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = min(tokens, burst)
        self._refilled_at = now
        self._lent: deque[tuple[float, float]] = deque()

    @property
    def capacity(self) -> float:
        """The number of tokens the bucket may hold: the burst less the tokens lent."""
        return max(0.0, self.burst - sum(amount for _, amount in self._lent))

    def lend(self, amount: float, until: float) -> None:
        """Keeps tokens that were already taken counted against the burst until they expire."""
        if amount > 0:
            self._lent.append((until, amount))

    def refill(self, now: float) -> float:
        """Adds the tokens gained since the last refill; returns how many did not fit."""
        while self._lent and self._lent[0][0] <= now:
            self._lent.popleft()
        gained = self.rate * max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        total = self.tokens + gained
        self.tokens = min(self.capacity, total)
        return total - self.tokens

    def available(self, now: float) -> float:
        """Returns the number of tokens available."""
        self.refill(now)
        return self.tokens

    def take(self, need: float, want: float, now: float) -> float:
        """Takes up to `want` tokens, or none if fewer than `need` are available."""
        self.refill(now)
        if self.tokens < need:
            return 0.0
        taken = min(want, self.tokens)
        self.tokens -= taken
        return taken

    def add(self, tokens: float, now: float) -> None:
        """Adds tokens taken from another bucket; those that do not fit are lost."""
        self.refill(now)
        self.tokens = min(self.capacity, self.tokens + tokens)

    def reconfigure(self, rate: float, burst: float, now: float) -> None:
        """Changes the rate and burst; tokens above the new burst are lost."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def wait_s(self, need: float, now: float) -> float:
        """Returns the seconds until `need` tokens are available, infinite if the rate is 0."""
        self.refill(now)
        missing = max(0.0, need - self.tokens)
        return missing / self.rate if self.rate > 0 else float("inf")
