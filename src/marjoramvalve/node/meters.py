"""Measures the load of a node, from which the leader plans for the whole fleet."""

from collections.abc import Callable

from marjoramvalve.fleet import MAX_AMOUNT, NodeLoad, RouteRuns
from marjoramvalve.mesh import Ingress, RootCallLimiter

SMOOTHING_FACTOR = 0.5  # Weight of the newest interval between two reports.
MIN_REPORTED_RATE = 0.05  # In calls per second; lower rates are not reported.


class LoadMeter:
    """Rates of external calls, and runs at the local upstream since the last report."""

    def __init__(
        self,
        ingress: Ingress,
        root_call_limiter: RootCallLimiter,
        clock: Callable[[], float],
        take_outcomes: Callable[[], dict[str, tuple[int, int]]] = dict,
    ) -> None:
        self._take_outcomes = take_outcomes
        self._ingress = ingress
        self._root_call_limiter = root_call_limiter
        self._clock = clock
        self._sampled_at = clock()
        self._offered: dict[str, float] = {}

    def sample(self) -> NodeLoad:
        """Returns the load since the last sample, with smoothed rates."""
        now = self._clock()
        interval_s = max(0.05, now - self._sampled_at)
        self._sampled_at = now
        counts = self._root_call_limiter.take_offered()
        self._smooth({name: count / interval_s for name, count in counts.items()})
        offered = {
            name: round(rate, 3)
            for name, rate in self._offered.items()
            if rate >= MIN_REPORTED_RATE
        }
        runs = {
            name: RouteRuns(item.count, round(item.slot_seconds, 3), item.sub_calls)
            for name, item in self._ingress.collect_run_stats().items()
        }
        _, waiting = self._ingress.load
        slots = self._ingress.limit if self._ingress.ready else 0
        rate_per_s = self._ingress.rate_limiter.announced_per_s
        if rate_per_s is not None:
            rate_per_s = min(MAX_AMOUNT, rate_per_s)
        return NodeLoad(offered, runs, slots, waiting, rate_per_s, self._take_outcomes())

    def _smooth(self, rates: dict[str, float]) -> None:
        """Updates the smoothed rates; the first rate of a route is taken unsmoothed."""
        for name in self._offered.keys() | rates.keys():
            rate = rates.get(name, 0.0)
            previous = self._offered.get(name, rate)
            self._offered[name] = previous + SMOOTHING_FACTOR * (rate - previous)
