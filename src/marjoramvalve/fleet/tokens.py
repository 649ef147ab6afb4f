"""Rates of customers: one bucket each at the leader, small lots of tokens at the nodes.

A node holds tokens only of customers that call it often. For the others it asks a call at a time:
with many nodes, a token held idle at each would be more than a customer's whole burst.

The sum over the fleet never exceeds burst + rate x time by more than the lots at the nodes, which
are a part of a second's calls. A new leader starts with empty buckets: what the one before it
granted may still be in use.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramvalve.model import Document
from marjoramvalve.rates import TokenBucket

LOT_S = 0.4  # Calls for which a node holds tokens, by the rate it sees.
LEAST_LOT = 2.0  # Smaller lots are not held: the leader is asked call by call.
IDLE_S = 1.0  # Tokens of a customer that has not called for this long go back to the leader.
FALLBACK_S = 3.0  # Without a leader, a node goes on at the rate it was granted for this long.
ANSWER_S = 0.4  # Longest wait for tokens before a call is refused.
RETRY_AFTER_S = 0.25  # When to come back where nobody could be asked.
RATE_SMOOTHING = 0.3
RATE_WINDOW_S = 0.5


class TokenDesk:
    """The buckets of every customer, at the leader."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._leads = False

    def set_document(self, document: Document, leads: bool, now: float) -> None:
        """Takes over the customers of a document; customers it created itself start full."""
        fresh_term = leads and not self._leads
        if not leads or fresh_term:
            self._buckets = {}
        self._leads = leads
        if not leads:
            return
        for name, customer in document.customers.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                tokens = 0.0 if fresh_term else customer.burst
                self._buckets[name] = TokenBucket(customer.rate, customer.burst, tokens, now)
            elif (bucket.rate, bucket.burst) != (customer.rate, customer.burst):
                bucket.change(customer.rate, customer.burst, now)
        for name in self._buckets.keys() - document.customers.keys():
            del self._buckets[name]

    def put_back(self, returned: dict[str, float], now: float) -> None:
        """Takes tokens back that a node has not used."""
        for name, tokens in returned.items():
            bucket = self._buckets.get(name)
            if bucket is not None and tokens > 0:
                bucket.add(tokens, now)

    def grant(
        self, wants: dict[str, float], now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Returns tokens by customer, and seconds to wait for those that get none."""
        granted, wait_s = {}, {}
        for name, want in wants.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                wait_s[name] = RETRY_AFTER_S
                continue
            taken = float(int(min(max(1.0, want), bucket.available(now))))
            if taken >= 1.0:
                bucket.take(taken, taken, now)
                granted[name] = taken
            else:
                wait_s[name] = min(5.0, bucket.wait_s(1.0, now))
        return granted, wait_s


@dataclass(slots=True)
class _Lot:
    """Tokens of one customer. `rate` is that of its calls, `granted_rate` that of the grants.

    `safe_rate` is what it may go on at without a leader.
    """

    tokens: float = 0.0
    asked_at: float = -1e9
    is_asked: bool = False
    refused_until: float = 0.0
    calls: int = 0
    window_at: float = 0.0
    rate: float = 0.0
    granted: float = 0.0
    granted_rate: float = 0.0
    safe_rate: float = 0.0
    called_at: float = 0.0
    refilled_at: float = 0.0
    waiting: list[Callable[[float], None]] = field(default_factory=list)


class TokenLots:
    """The tokens of one node. `ask` sends what is wanted; False where there is no leader."""

    def __init__(self, clock: Callable[[], float], ask: Callable[[dict[str, float]], bool]) -> None:
        self._clock = clock
        self.ask = ask
        self.put_back: Callable[[dict[str, float]], bool] = lambda returned: False
        self._lots: dict[str, _Lot] = {}
        self._limited: set[str] = set()
        self._lost_at: float | None = None

    def set_document(self, document: Document) -> None:
        """Takes in which customers have a rate."""
        self._limited = {name for name, item in document.customers.items() if item.limited}
        for name in self._lots.keys() - self._limited:
            self._release(self._lots.pop(name), 0.0)

    def admit(self, customer: str) -> float | None:
        """Returns 0 where a call may go on, seconds after which to come back, or None to wait."""
        if customer not in self._limited:
            return 0.0
        now = self._clock()
        lot = self._lots.get(customer)
        if lot is None:
            lot = self._lots[customer] = _Lot(window_at=now)
        self._note(lot, now)
        if lot.tokens >= 1.0:
            lot.tokens -= 1.0
            if lot.tokens < self._goal(lot) / 2:
                self._order(customer, lot, now)
            return 0.0
        if now < lot.refused_until:
            return lot.refused_until - now
        if self._order(customer, lot, now):
            return None
        self._fall_back(lot, now)
        if lot.tokens < 1.0:
            return RETRY_AFTER_S
        lot.tokens -= 1.0
        return 0.0

    def give_back(self, customer: str) -> None:
        """Takes back the token of a call that has not run."""
        lot = self._lots.get(customer)
        if lot is not None:
            lot.tokens += 1.0

    def is_at_limit(self, customer: str) -> bool:
        """Tells whether the leader had no tokens for a customer; else nobody could be asked."""
        lot = self._lots.get(customer)
        return lot is not None and self._clock() < lot.refused_until

    def wait(self, customer: str, resume: Callable[[float], None]) -> None:
        """Calls `resume` with 0 once there is a token, or with seconds after which to come back."""
        self._lots[customer].waiting.append(resume)

    def _goal(self, lot: _Lot) -> float:
        goal = lot.rate * LOT_S
        return goal if goal >= LEAST_LOT else 0.0

    def _note(self, lot: _Lot, now: float) -> None:
        lot.calls += 1
        lot.called_at = now
        span = now - lot.window_at
        if span >= RATE_WINDOW_S:
            lot.rate += RATE_SMOOTHING * (lot.calls / span - lot.rate)
            if self._lost_at is None:
                lot.granted_rate += RATE_SMOOTHING * (lot.granted / span - lot.granted_rate)
                was_short = now < lot.refused_until + FALLBACK_S
                lot.safe_rate = lot.granted_rate if was_short else lot.rate
            lot.calls = 0
            lot.granted = 0.0
            lot.window_at = now

    def _order(self, customer: str, lot: _Lot, now: float) -> bool:
        if lot.is_asked and now < lot.asked_at + ANSWER_S:
            return True
        if now < lot.refused_until:
            return False
        want = self._goal(lot) + len(lot.waiting) - lot.tokens
        if not self.ask({customer: max(1.0, float(int(want)))}):
            return False
        lot.is_asked = True
        lot.asked_at = now
        return True

    def _fall_back(self, lot: _Lot, now: float) -> None:
        """Goes on at a safe rate while a leader is being chosen."""
        if self._lost_at is None:
            self._lost_at = now
        if now > self._lost_at + FALLBACK_S:
            return
        if lot.refilled_at < self._lost_at:
            gained_s = FALLBACK_S
            most = 1.0
        else:
            gained_s = now - lot.refilled_at
            most = max(1.0, self._goal(lot))
        lot.tokens = min(most, lot.tokens + lot.safe_rate * gained_s)
        lot.refilled_at = now

    def on_grant(self, granted: dict[str, float], wait_s: dict[str, float]) -> None:
        """Takes in the leader's answer."""
        now = self._clock()
        self._lost_at = None
        for customer in (*granted, *wait_s):
            lot = self._lots.get(customer)
            if lot is None:
                continue
            lot.is_asked = False
            lot.tokens += granted.get(customer, 0.0)
            lot.granted += granted.get(customer, 0.0)
            after_s = wait_s.get(customer, 0.0)
            if after_s > 0:
                lot.refused_until = now + after_s
            self._serve(customer, lot, now, after_s)

    def _serve(self, customer: str, lot: _Lot, now: float, after_s: float) -> None:
        self._hand_out(lot)
        if lot.waiting and (after_s > 0 or not self._order(customer, lot, now)):
            self._release(lot, max(after_s, RETRY_AFTER_S))

    def _hand_out(self, lot: _Lot) -> None:
        while lot.waiting and lot.tokens >= 1.0:
            lot.tokens -= 1.0
            lot.waiting.pop(0)(0.0)

    def _release(self, lot: _Lot, after_s: float) -> None:
        waiting, lot.waiting = lot.waiting, []
        for resume in waiting:
            resume(after_s)

    def sweep(self) -> None:
        """Ends waits that nobody answers, and gives back tokens that nobody uses."""
        now = self._clock()
        self._return_surplus(now)
        for lot in self._lots.values():
            if lot.waiting and now > lot.asked_at + ANSWER_S:
                lot.is_asked = False
                self._fall_back(lot, now)
                self._hand_out(lot)
                self._release(lot, RETRY_AFTER_S)

    def _return_surplus(self, now: float) -> None:
        surplus: dict[str, float] = {}
        for customer, lot in self._lots.items():
            kept = 0.0 if now > lot.called_at + IDLE_S else 2 * self._goal(lot) + LEAST_LOT
            if lot.tokens >= kept + 1.0 and not lot.waiting:
                surplus[customer] = float(int(lot.tokens - kept))
        if surplus and self.put_back(surplus):
            for customer, tokens in surplus.items():
                self._lots[customer].tokens -= tokens
