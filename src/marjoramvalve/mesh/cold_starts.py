"""The rate of requests that a cold upstream takes, and the ramp to full load after it.

Answers the load that comes back at once when upstreams have restarted: a cold upstream bears a few
requests a second and crashes well above that. Every request to an upstream passes through its
ingress, so one limiter there covers the callers of all instances.
"""

import math
import re
from collections import deque
from collections.abc import Callable, Sequence
from enum import Enum

from marjoramvalve.mesh.announced_rates import AnnouncedRateLimiter
from marjoramvalve.mesh.jobs import Job
from marjoramvalve.mesh.queues import FIRST_SERVICE_S, SMOOTHING

COLD_PATTERN = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,12})?")
MAX_COLD_MS = 86_400_000.0  # A day.
MIN_RATE_PER_S = 0.25  # Keeps waits finite.
BURST_S = 0.2  # Largest burst, as time at the rate of the moment.
MIN_BURST = 1.0  # In requests.
WINDOW_S = 1.0  # Upstreams count requests over a second.
MAX_TRACKED = 10_000  # Requests in the window; higher rates are kept by the bucket alone.
ASSUMED_RATE_PER_S = 2.0  # Until the configuration is known.
# What an earlier process of the ingress may have sent, as time at the rate. Not a whole second:
# upstreams bear somewhat more than their rate.
RESTART_DEBT_S = 0.5
RAMP_STEPS = 4  # Changes of the rate on the ramp that the egresses are told.


class Phase(Enum):
    """Phases of an upstream's start; only a warm one is not limited."""

    WARM = 0
    COLD = 1
    WARMING = 2


def parse_cold_s(value: bytes) -> float | None:
    """Returns how long an upstream stays cold, in seconds, from a header value in milliseconds.

    Returns None if the value is no plain decimal number or longer than a day.
    """
    if not COLD_PATTERN.fullmatch(value):
        return None
    cold_ms = float(value)
    return cold_ms / 1000 if cold_ms <= MAX_COLD_MS else None


class ColdStartLimiter:
    """Paces the requests to one upstream while it is cold and while it warms up.

    `per_s` is the rate as of the last call, None if there is no limit, and `phase` the one at the
    last `advance`. `changed_at` is when the upstream last became cold. Times are on the event
    loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.changed_at = 0.0
        self._cold_rate: float | None = None  # None until the configuration is known.
        self._warm_up_s = 0.0
        self._slots = 0
        self._is_first_run = False
        self._mean_s = FIRST_SERVICE_S
        self._told_until = -math.inf
        self._assumed_from: float | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._sent: deque[float] = deque(maxlen=0)
        self.phase = Phase.WARM
        self._step = 0  # On the ramp.
        self._resize_window()

    # What is known

    def configure(self, cold_rate: float, warm_up_s: float, now: float) -> None:
        """Sets the requests per second that a cold upstream takes, 0 if any, and the warm-up time.

        Without a figure from the upstream, it is cold for `warm_up_s` seconds from its start.
        """
        if (cold_rate, warm_up_s) == (self._cold_rate, self._warm_up_s):
            return
        self._refill(now)
        was_unknown = self._cold_rate is None
        self._cold_rate, self._warm_up_s = cold_rate, warm_up_s
        if was_unknown and self._is_first_run:
            self._tokens = -RESTART_DEBT_S * self._limited_rate()
        self._tokens = min(0.0, self._tokens)
        self._resize_window()

    def start_run(
        self, slots: int, cold_until: float | None, started_at: float, is_first: bool, now: float
    ) -> None:
        """Starts with another run of the upstream.

        `cold_until` is its figure, None if it has told none. `started_at` is when it started, as
        far as that is known here. With `is_first`, another process may have sent it requests.
        """
        self._slots = slots
        self._is_first_run = is_first
        self._mean_s = FIRST_SERVICE_S
        self._sent.clear()
        self._tokens = -RESTART_DEBT_S * self._limited_rate() if is_first else 0.0
        self._refilled_at = self.changed_at = now
        self._assumed_from = started_at if cold_until is None else None
        self._told_until = -math.inf
        if cold_until is not None and cold_until > now:
            self._told_until = cold_until
        self.phase = Phase.WARM

    def record_figure(self, slots: int, cold_until: float, now: float) -> None:
        """Records until when the upstream says that it is cold; a time in the past if it isn't."""
        self._slots = slots
        was_assumed = self._assumed_from is not None
        known_until, self._assumed_from = self._cold_until, None
        if cold_until > now:
            if now >= known_until:
                self._become_cold(now)
            self._told_until = cold_until
        elif now < known_until:
            self._told_until = -math.inf if was_assumed else now
        else:
            self._told_until = known_until

    def assume_restart(self, now: float) -> None:
        """Takes the upstream as cold because nobody listens at its address any more."""
        if now >= self._cold_until:
            self._become_cold(now)
        if now >= self._told_until:
            self._assumed_from = now

    def record_run(self, service_s: float) -> None:
        """Records the service time of a request, in seconds."""
        self._mean_s += SMOOTHING * (service_s - self._mean_s)

    def _become_cold(self, now: float) -> None:
        self._tokens = 0.0
        self._refilled_at = self.changed_at = now

    @property
    def is_assumed(self) -> bool:
        """Returns whether the upstream has told no figure."""
        return self._assumed_from is not None

    @property
    def _cold_until(self) -> float:
        if self._assumed_from is None or not self._limited_rate():
            return self._told_until
        return self._assumed_from + self._warm_up_s

    # The rate

    def is_cold(self, now: float) -> bool:
        """Returns whether the upstream is cold as far as it is known."""
        return now < self._cold_until

    def cold_left_s(self, now: float) -> float:
        """Returns how much longer the upstream is cold, in seconds."""
        return max(0.0, self._cold_until - now)

    def _limited_rate(self) -> float:
        """Returns the rate of a cold upstream in requests per second, 0 if it has no limit."""
        rate = ASSUMED_RATE_PER_S if self._cold_rate is None else self._cold_rate
        return max(MIN_RATE_PER_S, rate) if rate > 0 else 0.0

    def _full_rate(self) -> float:
        """Returns the rate at full load."""
        return self._slots / max(0.001, self._mean_s)

    def _free_at(self) -> float:
        """Returns from when there is no limit."""
        rate, cold_until = self._limited_rate(), self._cold_until
        if not rate:
            return -math.inf
        return cold_until + (self._warm_up_s if self._full_rate() > rate else 0.0)

    def _rate_at(self, now: float) -> float:
        """Returns the rate at a time before `_free_at`."""
        rate, into_ramp_s = self._limited_rate(), now - self._cold_until
        if into_ramp_s <= 0:
            return rate
        return rate + (self._full_rate() - rate) * into_ramp_s / self._warm_up_s

    def _allowance(self, begin: float, end: float) -> float:
        """Returns how many requests fall to a time that ends before `_free_at`."""
        cold_until = self._cold_until
        in_cold = max(0.0, min(end, cold_until) - begin) * self._limited_rate()
        begin = max(begin, cold_until)
        if end <= begin:
            return in_cold
        return in_cold + (end - begin) * (self._rate_at(begin) + self._rate_at(end)) / 2

    def _time_until(self, requests: float, now: float) -> float:
        """Returns the time in which this many requests may be sent, in seconds."""
        cold_left_s = self.cold_left_s(now)
        rate = self._rate_at(now)
        if requests <= rate * cold_left_s:
            return requests / rate
        requests -= rate * cold_left_s
        ramp_s = self._free_at() - now - cold_left_s
        if ramp_s <= 0:
            return cold_left_s
        slope = (self._full_rate() - self._limited_rate()) / self._warm_up_s
        # The positive root of slope / 2 * t**2 + rate * t = requests.
        in_ramp_s = 2 * requests / (rate + math.sqrt(rate * rate + 2 * slope * requests))
        return cold_left_s + min(ramp_s, in_ramp_s)

    def _refill(self, now: float) -> None:
        if now >= self._free_at():
            self.per_s = None
            self._tokens = 0.0
        else:
            self.per_s = self._rate_at(now)
            burst = max(MIN_BURST, self.per_s * BURST_S)
            refilled = self._allowance(min(now, self._refilled_at), now)
            self._tokens = min(burst, self._tokens + refilled)
        self._refilled_at = now

    def wait_s(self, waiting: int, now: float) -> float:
        """Returns the time until a request may be sent after `waiting` others, in seconds."""
        self._refill(now)
        if self.per_s is None:
            return 0.0
        needed = waiting + 1 - self._tokens
        wait_s = self._time_until(needed, now) if needed > 0 else 0.0
        return max(wait_s, self._window_wait_s(waiting, now))

    def take(self, now: float) -> None:
        """Counts a request that is sent."""
        self._sent.append(now)
        self._refill(now)
        if self.per_s is not None:
            self._tokens -= 1.0

    # The last second

    def _resize_window(self) -> None:
        size = math.ceil(self._limited_rate()) + 1
        self._sent = deque(self._sent, size if 1 < size <= MAX_TRACKED else 0)

    def _window_wait_s(self, waiting: int, now: float) -> float:
        """Returns the time until the last second has room, in seconds."""
        index = len(self._sent) + waiting - (self._sent.maxlen or 0)
        if not self.is_cold(now) or not 0 <= index < len(self._sent):
            return 0.0
        return max(0.0, self._sent[index] + WINDOW_S - now)

    # Changes

    def advance(self, now: float) -> bool:
        """Updates the phase; returns whether it, or the step on the ramp, has changed."""
        self._refill(now)
        previous = self.phase, self._step
        self.phase, self._step = self._phase_at(now), 0
        if self.phase is Phase.WARMING:
            done = (now - self._cold_until) / self._warm_up_s
            self._step = min(RAMP_STEPS - 1, int(done * RAMP_STEPS))
        return (self.phase, self._step) != previous

    def _phase_at(self, now: float) -> Phase:
        if now >= self._free_at():
            return Phase.WARM
        return Phase.COLD if self.is_cold(now) else Phase.WARMING

    def next_change_in(self, now: float) -> float | None:
        """Returns the time until the next step, in seconds, None if there is no limit."""
        match self.phase:
            case Phase.WARM:
                return None
            case Phase.COLD:
                return self._cold_until - now
            case Phase.WARMING:
                step_s = self._warm_up_s / RAMP_STEPS
                return self._cold_until + (self._step + 1) * step_s - now


def find_displaced(
    jobs: Sequence[Job],
    useful_until: Callable[[Job], float],
    wait_s: Callable[[int, float], float],
    now: float,
) -> list[tuple[Job, float]]:
    """Returns the queued calls that would wait for too long, with their expected wait in seconds.

    `jobs` are in the order of the queue. So a call that more important ones have displaced needn't
    wait to be refused.
    """
    displaced = []
    for position, job in enumerate(jobs):
        expected_s = wait_s(position - len(displaced), now)
        if now + expected_s > useful_until(job):
            displaced.append((job, expected_s))
    return displaced


class UpstreamPacing:
    """Paces requests to an upstream at the lower of its announced rate and its cold rate.

    It is used like an `AnnouncedRateLimiter`.
    """

    def __init__(self, announced: AnnouncedRateLimiter, cold: ColdStartLimiter) -> None:
        self._announced = announced
        self._cold = cold

    @property
    def per_s(self) -> float | None:
        """Returns the lower rate, None if there is none."""
        return lower_rate(self._announced.per_s, self._cold.per_s)

    @property
    def announced_per_s(self) -> float | None:
        """Returns the lower rate, without an announced one that is only assumed."""
        return lower_rate(self._announced.announced_per_s, self._cold.per_s)

    @property
    def changed_at(self) -> float:
        """Returns when the lower rate was set."""
        is_cold = self.per_s is not None and self.per_s == self._cold.per_s
        return self._cold.changed_at if is_cold else self._announced.changed_at

    def wait_s(self, waiting: int, now: float) -> float:
        """Returns the time until a request may be sent after `waiting` others, in seconds."""
        return max(self._announced.wait_s(waiting, now), self._cold.wait_s(waiting, now))

    def take(self, now: float) -> None:
        """Takes the tokens of a request that is sent."""
        self._announced.take(now)
        self._cold.take(now)


def lower_rate(first: float | None, second: float | None) -> float | None:
    """Returns the lower of two rates, of which None is no limit."""
    return min((rate for rate in (first, second) if rate is not None), default=None)
