"""Planned stops: which calls a stopping node may still send to an upstream."""

from dataclasses import dataclass
from typing import Protocol

WINDOW_S = 30.0  # Service times count for one to two windows.
ANSWER_S = 0.1  # For the response of an upstream to reach the caller.
STOPPING_RETRY_AFTER_S = 0.1  # Another node of the service can be tried immediately.
RECALL_S = 0.3  # Before runs have to end, calls that are still queued elsewhere are called back.
MEAN_MARGIN = 3.0  # On the mean service time of a route.
SUB_CALL_MARGIN = 2.0  # On the slowest recent service time of a route.
MIN_DEADLINE_SHARE = 0.75  # Of the time until the deadline of a sub-call that is not repeatable.


class TimedCall(Protocol):
    """A call at its egress or ingress. Times are on the event loop's clock, in seconds."""

    deadline: float
    objective_at: float
    is_sub_call: bool
    repeatable: bool


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """The times of a planned stop, in seconds on the event loop's clock.

    Until `serves_until`, callers may not know of the stop yet and are served as usual, as far as
    their calls can be expected to end before `answers_until`. By then every call is answered.
    """

    serves_until: float
    answers_until: float

    @property
    def ends_until(self) -> float:
        """Returns until when upstreams may run calls, so that their responses arrive in time."""
        return self.answers_until - ANSWER_S

    def allows(self, call: TimedCall, needs_s: float, slowest_s: float, now: float) -> bool:
        """Returns whether a call that is sent now will be answered before the node stops.

        `needs_s` is the time that the call may be expected to take, with a margin, and `slowest_s`
        the longest recent service time of its route, 0 if unknown, both in seconds. After
        `serves_until`, a root call is sent only if even its deadline comes before the stop: it can
        be sent again elsewhere. Refusing a sub-call fails the call that it was made for, so it is
        sent if that is safe enough.
        """
        if call.deadline <= self.answers_until:
            return True
        if now < self.serves_until:
            return now + needs_s <= self.ends_until
        return call.is_sub_call and self._allows_late_sub_call(call, slowest_s, now)

    def _allows_late_sub_call(self, call: TimedCall, slowest_s: float, now: float) -> bool:
        left_s = self.ends_until - now
        is_expected_to_end = max(call.objective_at - now, SUB_CALL_MARGIN * slowest_s) <= left_s
        return is_expected_to_end and (
            call.repeatable or left_s >= MIN_DEADLINE_SHARE * (call.deadline - now)
        )


class SlowestRuns:
    """The longest recent service time of each route."""

    def __init__(self) -> None:
        self._recent: dict[object, float] = {}
        self._previous: dict[object, float] = {}
        self._window_ends_at = 0.0

    def record(self, route: object, service_s: float, now: float) -> None:
        """Records a service time. Times are in seconds, `now` on the event loop's clock."""
        self._rotate(now)
        if service_s > self._recent.get(route, 0.0):
            self._recent[route] = service_s

    def slowest_s(self, route: object, now: float) -> float | None:
        """Returns the longest service time of one to two windows in seconds, None if unknown."""
        self._rotate(now)
        times = [window[route] for window in (self._recent, self._previous) if route in window]
        return max(times, default=None)

    def _rotate(self, now: float) -> None:
        if now < self._window_ends_at:
            return
        is_over = now < self._window_ends_at + WINDOW_S
        self._previous = self._recent if is_over else {}
        self._recent = {}
        self._window_ends_at = now + WINDOW_S
