"""Load of this node, for the plan of the whole fleet."""

from collections.abc import Callable

from marjoramvalve.fleet import NodeLoad, RouteRuns
from marjoramvalve.mesh import Ingress, RootGate

SMOOTHING = 0.5  # Weight of the newest span in the rates; spans are those between two reports.
FORGET_BELOW = 0.05  # Rates a second under this are left out.


class LoadMeter:
    """Rates of outside calls, and what ran at the upstream beside, since the last report."""

    def __init__(self, ingress: Ingress, gate: RootGate, clock: Callable[[], float]) -> None:
        self._ingress = ingress
        self._gate = gate
        self._clock = clock
        self._at = clock()
        self._offered: dict[str, float] = {}

    def take(self) -> NodeLoad:
        """Returns the load since the last time, smoothed."""
        now = self._clock()
        span_s = max(0.05, now - self._at)
        self._at = now
        counts = self._gate.take_counts()
        self._smooth(self._offered, {name: count / span_s for name, count in counts.items()})
        runs = {
            name: RouteRuns(item.count, round(item.seconds, 3), item.calls)
            for name, item in self._ingress.take_runs().items()
        }
        _, waiting = self._ingress.load
        slots = self._ingress.limit if self._ingress.ready else 0
        return NodeLoad(dict(self._offered), runs, slots, waiting)

    @staticmethod
    def _smooth(held: dict[str, float], new: dict[str, float]) -> None:
        for name in held.keys() | new.keys():
            before = held.get(name, new.get(name, 0.0))
            value = round(before + SMOOTHING * (new.get(name, 0.0) - before), 3)
            if value < FORGET_BELOW:
                held.pop(name, None)
            else:
                held[name] = value
