"""Admission of root calls by the load that they cause further down the call graph.

Answers overload of a service deep in the call graph: a call that would be refused there, after
other services have worked for it, is refused here before any work is spent on it.

In a large fleet each node admits few calls of a route. If every node could save up a burst of
calls, the sum would be far above the cap of the whole fleet; so a node with a small cap admits a
random fraction of its calls instead.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from marjoramvalve.mesh.dependencies import DependencyShares

CAPS_TTL_S = 4.0  # Caps outlast a leader election and the leader's first second, then expire.
BURST_S = 1.0  # Largest burst, as time at the capped rate.
MIN_BURST = 2.0  # In calls.
RETRY_AFTER_S, RETRY_SPREAD_S = 0.4, 0.8  # Spread over a time like that of an ordinary call.
MIN_WINDOW_S = 0.5  # With less time left for a timely answer, callers are served late anyway.
# Fractions of that time; local responses add up to half as jitter of their own.
EARLIEST_FRACTION, LATEST_FRACTION = 0.25, 0.65


def retry_after_s(window_s: float, chance: float) -> float:
    """Returns when a refused caller should come back, in seconds.

    `window_s` is the time left in which a call can begin and still be answered within its
    objective. During an overload a caller is as likely to be admitted early as late, so one that
    comes back within the window is served in time. `chance` from 0 to 1 spreads the callers.
    """
    if window_s < MIN_WINDOW_S:
        return RETRY_AFTER_S + RETRY_SPREAD_S * chance
    return window_s * (EARLIEST_FRACTION + (LATEST_FRACTION - EARLIEST_FRACTION) * chance)


@dataclass(slots=True)
class _RouteBucket:
    """Token bucket of one route, and the calls offered since the last report."""

    offered: int = 0
    tokens: float = MIN_BURST
    refilled_at: float = 0.0


class RootCallLimiter:
    """Admits as many root calls of each route as the plan for the whole call graph allows."""

    def __init__(self, clock: Callable[[], float], rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._caps: dict[str, float] = {}
        self._fractions: dict[str, float] = {}
        self._caps_at = 0.0
        self._buckets: dict[str, _RouteBucket] = {}
        self.dependencies = DependencyShares(clock, rng)
        self._is_unreachable = False

    def set_caps(self, caps: dict[str, float], fractions: dict[str, float] | None = None) -> None:
        """Sets the caps in calls per second by route; other routes are not limited.

        `fractions` tells what fraction of the calls of a route the fleet as a whole admits.
        """
        self._caps = caps
        self._fractions = fractions or {}
        self._caps_at = self._clock()

    def admit(self, route: str, window_s: float = 0.0) -> float:
        """Returns 0 if a root call is admitted, or the seconds after which to come back.

        `window_s` is the time in which it can begin and still be answered within its objective.
        """
        bucket = self._buckets.get(route)
        if bucket is None:
            bucket = self._buckets[route] = _RouteBucket()
        bucket.offered += 1
        self._is_unreachable = self.dependencies.refuses(route)
        if self._is_unreachable:
            return retry_after_s(window_s, self._rng.random())
        cap = self._caps.get(route)
        now = self._clock()
        if cap is not None and now < self._caps_at + CAPS_TTL_S:
            fraction = self._fractions.get(route)
            if fraction is not None and cap * BURST_S < MIN_BURST:
                is_admitted = self._rng.random() < fraction
                return 0.0 if is_admitted else retry_after_s(window_s, self._rng.random())
            capacity = max(MIN_BURST, cap * BURST_S)
            bucket.tokens = min(capacity, bucket.tokens + cap * (now - bucket.refilled_at))
            bucket.refilled_at = now
            if bucket.tokens < 1.0:
                return retry_after_s(window_s, self._rng.random())
            bucket.tokens -= 1.0
        return 0.0

    def explain_refusal(self, route: str) -> dict[str, object]:
        """Returns the inputs of the last refusal, of a call of this route, with their age.

        These are the cap in calls per second, or the service that is out of reach.
        """
        if self._is_unreachable:
            return self.dependencies.explain(route)
        age_s = self._clock() - self._caps_at
        return {"limit_per_s": self._caps[route], "limit_age_s": round(age_s, 2)}

    def give_back(self, route: str) -> None:
        """Returns the token of an admitted call that goes no further."""
        bucket = self._buckets[route]
        bucket.offered -= 1
        bucket.tokens += 1.0

    def take_offered(self) -> dict[str, int]:
        """Returns the calls offered by route since the last call of this method."""
        counts = {name: item.offered for name, item in self._buckets.items()}
        for item in self._buckets.values():
            item.offered = 0
        return counts
