"""The request rate that an upstream announces in its responses, and pacing of requests to it.

Answers overload that the upstream reports itself, while it still has free slots. Every request to
an upstream passes through its ingress, so one limiter there covers the callers of all instances.
Requests are spread evenly instead of sent in bursts, which leaves room for those that an earlier
process of the ingress sent just before a restart.
"""

import re
from collections.abc import Sequence

RATE_PATTERN = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,12})?|\.[0-9]{1,12}")
MIN_RATE_PER_S = 0.25  # Even at a rate of 0: only responses tell when the rate rises again.
BURST_S = 0.2  # Largest burst, as time at the announced rate.
MIN_BURST = 1.0  # In requests.
# A rate is lifted by this many responses in a row without it, of which the last is this much later
# than the last announcement: responses of concurrent requests may arrive in another order.
RESPONSES_TO_LIFT, LIFT_DELAY_S = 2, 0.5
# For an upstream that may have announced a rate before it was known here.
ASSUMED_RATE_PER_S, ASSUMED_BURST = 2.0, 4.0


def parse_rate(values: Sequence[bytes]) -> float | None:
    """Returns the lowest rate among header values, in requests per second.

    Returns None if no value is a plain decimal number.
    """
    fields = [field.strip() for value in values for field in value.split(b",")]
    rates = [float(field) for field in fields if RATE_PATTERN.fullmatch(field)]
    return min(rates, default=None)


class AnnouncedRateLimiter:
    """Token bucket for the requests to one upstream, at the rate that the upstream announces.

    `per_s` is the rate that is kept to, None if there is none. It last changed at `changed_at`.
    Times are on the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.changed_at = 0.0
        self._announced_at = 0.0
        self._responses_without = 0
        self._is_assumed = False
        self._tokens = 0.0
        self._refilled_at = 0.0

    @property
    def announced_per_s(self) -> float | None:
        """Returns the rate, unless it is only assumed."""
        return None if self._is_assumed else self.per_s

    def assume_low_rate(self, now: float) -> None:
        """Limits requests until the first response shows whether a rate is announced."""
        self._set_rate(ASSUMED_RATE_PER_S, now)
        self._tokens = ASSUMED_BURST
        self._is_assumed = True

    def adopt(self, rate: float, now: float) -> None:
        """Uses a rate that was announced to another process, unless a lower one is known."""
        if self._is_assumed or self.per_s is None or rate < self.per_s:
            self._set_rate(rate, now)
            self._is_assumed = False
            self._announced_at = now

    def record(self, values: Sequence[bytes], now: float) -> bool:
        """Records the header values of a response; returns whether the rate has changed.

        Values that are not numbers leave the rate unchanged.
        """
        rate = parse_rate(values)
        if rate is not None:
            self._announced_at = now
            self._responses_without = 0
        elif self.per_s is None or values:
            return False
        elif not self._is_assumed:
            self._responses_without += 1
            is_recent = now < self._announced_at + LIFT_DELAY_S
            if is_recent or self._responses_without < RESPONSES_TO_LIFT:
                return False
        if rate == self.per_s and not self._is_assumed:
            return False
        self._set_rate(rate, now)
        self._is_assumed = False
        return True

    def _set_rate(self, rate: float | None, now: float) -> None:
        self._refill(now)
        if self.per_s is None:
            self._tokens = 0.0  # Requests sent before the announcement count against the rate too.
        self.per_s = rate
        self.changed_at = self._refilled_at = now

    def _burst(self) -> float:
        if self._is_assumed:
            return ASSUMED_BURST
        return max(MIN_BURST, self._refill_per_s() * BURST_S)

    def _refill_per_s(self) -> float:
        return max(MIN_RATE_PER_S, self.per_s)

    def _refill(self, now: float) -> None:
        if self.per_s is not None:
            refilled = self._refill_per_s() * (now - self._refilled_at)
            self._tokens = min(self._burst(), self._tokens + refilled)
            self._refilled_at = now

    def wait_s(self, waiting: int, now: float) -> float:
        """Returns the time until a request may be sent after `waiting` others, in seconds."""
        if self.per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (waiting + 1 - self._tokens) / self._refill_per_s())

    def take(self, now: float) -> None:
        """Takes the token of a request that is sent."""
        if self.per_s is not None:
            self._refill(now)
            self._tokens -= 1.0
