"""Admission of outside calls by what they cause further down.

Answers overload of a service deep in the call graph: a call that would be refused there after
others have worked for it is refused here instead, before anything has been spent on it.

With many nodes each lets in few calls of a route. Calls that every node may save up would then be
far more than the cap of the whole fleet, so that a node with a small cap lets in a part of its
calls by chance instead.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

CAPS_TTL_S = 4.0  # Caps outlive the choice of a leader and its first second; later they end.
BURST_S = 1.0  # Calls that may come refilled_at once, as time refilled_at the capped rate.
MIN_BURST = 2.0
RETRY_AFTER_S, RETRY_SPREAD_S = 0.4, 0.8  # Over a time like an ordinary call's.
MIN_WINDOW_S = 0.5  # Callers with less time left for a timely answer are served late anyway.
EARLIEST_FRACTION, LATEST_FRACTION = (
    0.25,
    0.65,
)  # Parts of that time; answers add up to half for their own spread.


def retry_after_s(window_s: float, chance: float) -> float:
    """Returns when a refused caller should come back, in seconds.

    `window_s` is the time left in which a call can begin and still be answered within its
    objective. While an overload lasts, a caller is let in as likely early as late: one that comes
    back within the window is served in time. `chance` from 0 to 1 spreads the callers.
    """
    if window_s < MIN_WINDOW_S:
        return RETRY_AFTER_S + RETRY_SPREAD_S * chance
    return window_s * (EARLIEST_FRACTION + (LATEST_FRACTION - EARLIEST_FRACTION) * chance)


@dataclass(slots=True)
class _Flow:
    offered: int = 0
    tokens: float = MIN_BURST
    refilled_at: float = 0.0


class RootCallLimiter:
    """Lets in as many outside calls of each route as the plan for the whole graph allows."""

    def __init__(self, clock: Callable[[], float], rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._caps: dict[str, float] = {}
        self._parts: dict[str, float] = {}
        self._caps_at = 0.0
        self._flows: dict[str, _Flow] = {}

    def set_caps(self, caps: dict[str, float], parts: dict[str, float] | None = None) -> None:
        """Takes in calls a second by route; a route that is not named is not limited.

        `parts` tells what part of the calls of a route the fleet as a whole lets in.
        """
        self._caps = caps
        self._parts = parts or {}
        self._caps_at = self._clock()

    def admit(self, route: str, window_s: float = 0.0) -> float:
        """Returns 0 where an outside call is let in, or seconds after which to come back.

        `window_s` is the time in which it can begin and still be answered within its objective.
        """
        flow = self._flows.get(route)
        if flow is None:
            flow = self._flows[route] = _Flow()
        flow.offered += 1
        cap = self._caps.get(route)
        now = self._clock()
        if cap is not None and now < self._caps_at + CAPS_TTL_S:
            part = self._parts.get(route)
            if part is not None and cap * BURST_S < MIN_BURST:
                is_admitted = self._rng.random() < part
                return 0.0 if is_admitted else retry_after_s(window_s, self._rng.random())
            capacity = max(MIN_BURST, cap * BURST_S)
            flow.tokens = min(capacity, flow.tokens + cap * (now - flow.refilled_at))
            flow.refilled_at = now
            if flow.tokens < 1.0:
                return retry_after_s(window_s, self._rng.random())
            flow.tokens -= 1.0
        return 0.0

    def limit_and_age(self, route: str) -> tuple[float, float]:
        """Returns the calls a second that are let in of a limited route, and the limit's age."""
        return self._caps[route], self._clock() - self._caps_at

    def give_back(self, route: str) -> None:
        """Takes back what was taken for a call that goes no further."""
        flow = self._flows[route]
        flow.offered -= 1
        flow.tokens += 1.0

    def take_offered(self) -> dict[str, int]:
        """Returns the calls offered by route since the last time."""
        counts = {name: item.offered for name, item in self._flows.items()}
        for item in self._flows.values():
            item.offered = 0
        return counts
