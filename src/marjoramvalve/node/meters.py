"""Load of this node, for the plan of the whole fleet."""

from collections.abc import Callable

from marjoramvalve.fleet import NodeLoad, RouteRuns
from marjoramvalve.mesh import Ingress, RootCallLimiter

SMOOTHING = 0.5  # Weight of the newest span in the rates; spans are those between two reports.
LEAST_TOLD = 0.05  # Rates a second under this are left out.


class LoadMeter:
    """Rates of outside calls, and what ran at the upstream beside, since the last report."""

    def __init__(self, ingress: Ingress, gate: RootCallLimiter, clock: Callable[[], float]) -> None:
        self._ingress = ingress
        self._gate = gate
        self._clock = clock
        self._at = clock()
        self._offered: dict[str, float] = {}

    def sample(self) -> NodeLoad:
        """Returns the load since the last time, smoothed."""
        now = self._clock()
        span_s = max(0.05, now - self._at)
        self._at = now
        counts = self._gate.take_offered()
        self._smooth({name: count / span_s for name, count in counts.items()})
        offered = {
            name: round(rate, 3) for name, rate in self._offered.items() if rate >= LEAST_TOLD
        }
        runs = {
            name: RouteRuns(item.count, round(item.slot_seconds, 3), item.sub_calls)
            for name, item in self._ingress.collect_run_stats().items()
        }
        _, waiting = self._ingress.load
        slots = self._ingress.limit if self._ingress.ready else 0
        return NodeLoad(offered, runs, slots, waiting)

    def _smooth(self, rates: dict[str, float]) -> None:
        """Takes in the rates of a span; the first one of a route counts in full."""
        for name in self._offered.keys() | rates.keys():
            rate = rates.get(name, 0.0)
            before = self._offered.get(name, rate)
            self._offered[name] = before + SMOOTHING * (rate - before)
