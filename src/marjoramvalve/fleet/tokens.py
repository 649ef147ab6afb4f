"""Rate limits of customers: a token bucket for each at the leader, small token caches at the nodes.

A node caches tokens only for customers that call it often. For the others it requests one token per
call: with many nodes, an idle token at each would add up to more than a customer's burst.

The calls admitted by the fleet never exceed burst + rate x time by more than the tokens cached at
the nodes, which cover a fraction of a second. A new leader starts with empty buckets because the
tokens that its predecessor granted may still be in use.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from marjoramvalve.model import Document
from marjoramvalve.rates import TokenBucket

CACHED_CALLS_S = 0.4  # Cached tokens cover this time at the call rate that the node observes.
MIN_CACHED_TOKENS = 2.0  # Fewer are not cached: the node requests a token for each call.
IDLE_TIMEOUT_S = 1.0  # The tokens of a customer without calls are returned after this.
FALLBACK_S = 3.0  # Without a leader, a node keeps admitting calls at its last rate for this long.
# What a part of the fleet may admit beside the rest, which goes on getting the customer's whole
# rate: at most so many seconds' worth of that rate by a part as large as a failure domain.
FALLBACK_EXCESS_S, FALLBACK_SHARE = 0.5, 0.36
USE_AVERAGING_S = 2.0  # Time constant of the average use of a customer's rate.
GRANT_TIMEOUT_S = 0.4  # A call that waits longer for a token is refused.
RETRY_AFTER_S = 0.25  # Suggested to callers when no leader could be asked.
RATE_SMOOTHING = 0.3
RATE_WINDOW_S = 0.5


@dataclass(slots=True)
class _AverageUse:
    """Granted tokens per second, decayed to the time of the last grant."""

    per_s: float = 0.0
    updated_at: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        decay = math.exp((self.updated_at - now) / USE_AVERAGING_S)
        self.per_s = self.per_s * decay + tokens / USE_AVERAGING_S
        self.updated_at = now


class TokenIssuer:
    """Holds the buckets of all customers at the leader and grants tokens to the nodes."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._use: dict[str, _AverageUse] = {}
        self._is_leader = False

    def set_document(self, document: Document, is_leader: bool, now: float) -> None:
        """Updates the buckets to the customers of a document.

        A new leader starts with empty buckets; the bucket of a customer added later starts full.
        """
        is_new_leader = is_leader and not self._is_leader
        if not is_leader or is_new_leader:
            self._buckets = {}
        self._is_leader = is_leader
        if not is_leader:
            return
        for name, customer in document.customers.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                tokens = 0.0 if is_new_leader else customer.burst
                self._buckets[name] = TokenBucket(customer.rate, customer.burst, tokens, now)
            elif (bucket.rate, bucket.burst) != (customer.rate, customer.burst):
                bucket.reconfigure(customer.rate, customer.burst, now)
        for name in self._buckets.keys() - document.customers.keys():
            del self._buckets[name]
        self._use = {name: use for name, use in self._use.items() if name in self._buckets}

    def return_tokens(self, returned: dict[str, float], now: float) -> None:
        """Adds tokens back that a node has not used."""
        for name, tokens in returned.items():
            bucket = self._buckets.get(name)
            if bucket is not None and tokens > 0:
                bucket.add(tokens, now)

    def grant(
        self, requested: dict[str, float], now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Returns the granted tokens by customer, and seconds to wait for those that get none."""
        granted, wait_s = {}, {}
        for name, amount in requested.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                wait_s[name] = RETRY_AFTER_S
                continue
            taken = float(int(min(max(1.0, amount), bucket.available(now))))
            if taken >= 1.0:
                bucket.take(taken, taken, now)
                granted[name] = taken
                self._use.setdefault(name, _AverageUse(0.0, now)).add(taken, now)
            else:
                wait_s[name] = min(5.0, bucket.wait_s(1.0, now))
        return granted, wait_s

    def fallback_s(self, names: Iterable[str]) -> dict[str, float]:
        """Returns how long nodes may admit calls without a leader, for customers with less time.

        Times are in seconds. The time of other customers is `FALLBACK_S`: they leave so much of
        their rate unused that no cut-off part of the fleet exceeds it.
        """
        times = {}
        for name in names:
            bucket, use = self._buckets.get(name), self._use.get(name)
            if bucket is None or use is None or use.per_s <= 0:
                continue
            allowed_s = FALLBACK_EXCESS_S * bucket.rate / (FALLBACK_SHARE * use.per_s)
            if allowed_s < FALLBACK_S:
                times[name] = round(allowed_s, 2)
        return times


@dataclass(slots=True)
class _CustomerTokens:
    """Tokens of one customer at a node, with its call and grant rates.

    `call_rate` and `granted_rate` are smoothed, in calls and tokens per second. `fallback_rate` is
    the rate at which tokens are refilled without a leader, for up to `fallback_s`; it is taken from
    `observed_rate` while the leader replies, so calls that come later don't raise it.
    """

    tokens: float = 0.0
    requested_at: float = -1e9
    is_request_pending: bool = False
    refused_until: float = 0.0
    calls_in_window: int = 0
    window_started_at: float = 0.0
    call_rate: float = 0.0
    granted_in_window: float = 0.0
    granted_rate: float = 0.0
    observed_rate: float = 0.0
    fallback_rate: float = 0.0
    fallback_s: float = FALLBACK_S
    last_call_at: float = 0.0
    refilled_at: float = 0.0
    waiters: list[Callable[[float], None]] = field(default_factory=list)


class TokenCache:
    """Tokens cached at one node, by customer.

    `request_tokens` sends a request to the leader and `return_tokens` gives tokens back to it; both
    return False where no leader is known.
    """

    def __init__(
        self, clock: Callable[[], float], request_tokens: Callable[[dict[str, float]], bool]
    ) -> None:
        self._clock = clock
        self.request_tokens = request_tokens
        self.return_tokens: Callable[[dict[str, float]], bool] = lambda returned: False
        self._customers: dict[str, _CustomerTokens] = {}
        self._limited_customers: set[str] = set()
        self._leader_lost_at: float | None = None

    def set_document(self, document: Document) -> None:
        """Updates the set of rate-limited customers; waiting calls of the others are admitted."""
        self._limited_customers = {
            name for name, item in document.customers.items() if item.limited
        }
        for name in self._customers.keys() - self._limited_customers:
            self._resume_waiters(self._customers.pop(name), 0.0)

    def admit(self, customer: str) -> float | None:
        """Returns 0 if a call is admitted, seconds after which to retry, or None.

        None means that tokens have been requested: use `wait` to learn the outcome.
        """
        if customer not in self._limited_customers:
            return 0.0
        now = self._clock()
        entry = self._customers.get(customer)
        if entry is None:
            entry = self._customers[customer] = _CustomerTokens(window_started_at=now)
        self._record_call(entry, now)
        if entry.tokens >= 1.0:
            entry.tokens -= 1.0
            if entry.tokens < self._target_tokens(entry) / 2:
                self._ensure_request(customer, entry, now)
            return 0.0
        if now < entry.refused_until:
            return entry.refused_until - now
        if self._ensure_request(customer, entry, now):
            return None
        self._refill_without_leader(entry, now)
        if entry.tokens < 1.0:
            return RETRY_AFTER_S
        entry.tokens -= 1.0
        return 0.0

    def give_back(self, customer: str) -> None:
        """Puts back the token of a call that did not run."""
        entry = self._customers.get(customer)
        if entry is not None:
            entry.tokens += 1.0

    def is_at_limit(self, customer: str) -> bool:
        """Tells whether the leader refused tokens to a customer.

        If False, a call was refused because no leader could be asked.
        """
        entry = self._customers.get(customer)
        return entry is not None and self._clock() < entry.refused_until

    def wait(self, customer: str, resume: Callable[[float], None]) -> None:
        """Calls `resume` with 0 once there is a token, or with seconds after which to retry."""
        self._customers[customer].waiters.append(resume)

    def _target_tokens(self, entry: _CustomerTokens) -> float:
        target = entry.call_rate * CACHED_CALLS_S
        return target if target >= MIN_CACHED_TOKENS else 0.0

    def _record_call(self, entry: _CustomerTokens, now: float) -> None:
        entry.calls_in_window += 1
        entry.last_call_at = now
        elapsed_s = now - entry.window_started_at
        if elapsed_s >= RATE_WINDOW_S:
            entry.call_rate += RATE_SMOOTHING * (
                entry.calls_in_window / elapsed_s - entry.call_rate
            )
            if self._leader_lost_at is None:
                entry.granted_rate += RATE_SMOOTHING * (
                    entry.granted_in_window / elapsed_s - entry.granted_rate
                )
                was_refused = now < entry.refused_until + FALLBACK_S
                entry.observed_rate = entry.granted_rate if was_refused else entry.call_rate
            entry.calls_in_window = 0
            entry.granted_in_window = 0.0
            entry.window_started_at = now

    def _ensure_request(self, customer: str, entry: _CustomerTokens, now: float) -> bool:
        if entry.is_request_pending and now < entry.requested_at + GRANT_TIMEOUT_S:
            return True
        if now < entry.refused_until:
            return False
        amount = self._target_tokens(entry) + len(entry.waiters) - entry.tokens
        if not self.request_tokens({customer: max(1.0, float(int(amount)))}):
            return False
        entry.is_request_pending = True
        entry.requested_at = now
        return True

    def _refill_without_leader(self, entry: _CustomerTokens, now: float) -> None:
        """Refills tokens at the fallback rate while there is no leader, for a limited time."""
        if self._leader_lost_at is None:
            self._leader_lost_at = now
        if now > self._leader_lost_at + entry.fallback_s:
            return
        if entry.refilled_at < self._leader_lost_at:
            refill_s = FALLBACK_S
            max_tokens = 1.0
        else:
            refill_s = now - entry.refilled_at
            max_tokens = max(1.0, self._target_tokens(entry))
        entry.tokens = min(max_tokens, entry.tokens + entry.fallback_rate * refill_s)
        entry.refilled_at = now

    def on_grant(
        self,
        granted: dict[str, float],
        wait_s: dict[str, float],
        fallback_s: dict[str, float] | None = None,
    ) -> None:
        """Handles the leader's reply to a request.

        `fallback_s` holds the times that `TokenIssuer.fallback_s` returns.
        """
        now = self._clock()
        self._leader_lost_at = None
        for customer in (*granted, *wait_s):
            entry = self._customers.get(customer)
            if entry is None:
                continue
            entry.is_request_pending = False
            entry.tokens += granted.get(customer, 0.0)
            entry.granted_in_window += granted.get(customer, 0.0)
            entry.fallback_rate = entry.observed_rate
            entry.fallback_s = (fallback_s or {}).get(customer, FALLBACK_S)
            after_s = wait_s.get(customer, 0.0)
            if after_s > 0:
                entry.refused_until = now + after_s
            self._serve_waiters(customer, entry, now, after_s)

    def _serve_waiters(
        self, customer: str, entry: _CustomerTokens, now: float, after_s: float
    ) -> None:
        self._admit_waiters(entry)
        if entry.waiters and (after_s > 0 or not self._ensure_request(customer, entry, now)):
            self._resume_waiters(entry, max(after_s, RETRY_AFTER_S))

    def _admit_waiters(self, entry: _CustomerTokens) -> None:
        while entry.waiters and entry.tokens >= 1.0:
            entry.tokens -= 1.0
            entry.waiters.pop(0)(0.0)

    def _resume_waiters(self, entry: _CustomerTokens, after_s: float) -> None:
        waiters, entry.waiters = entry.waiters, []
        for resume in waiters:
            resume(after_s)

    def sweep(self) -> None:
        """Ends waits that time out and returns unused tokens to the leader."""
        now = self._clock()
        self._return_surplus(now)
        for entry in self._customers.values():
            if entry.waiters and now > entry.requested_at + GRANT_TIMEOUT_S:
                entry.is_request_pending = False
                self._refill_without_leader(entry, now)
                self._admit_waiters(entry)
                self._resume_waiters(entry, RETRY_AFTER_S)

    def _return_surplus(self, now: float) -> None:
        surplus: dict[str, float] = {}
        for customer, entry in self._customers.items():
            is_idle = now > entry.last_call_at + IDLE_TIMEOUT_S
            needed = 0.0 if is_idle else self._target_tokens(entry)
            if entry.tokens >= needed + 1.0 and not entry.waiters:
                surplus[customer] = float(int(entry.tokens - needed))
        if surplus and self.return_tokens(surplus):
            for customer, tokens in surplus.items():
                self._customers[customer].tokens -= tokens
