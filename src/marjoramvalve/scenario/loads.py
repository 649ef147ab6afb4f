"""Loads on a call graph, their disturbances, and what callers got."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True)
class GraphService:
    """A service: slots of each of its upstreams, and their speeds against the mean.

    With the last twentieth of its slots in use, an upstream takes `full_slowness` as long.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]
    full_slowness: float = 1.0


@dataclass(frozen=True)
class GraphRoute:
    """A route, with its calls a second from outside and the calls that its upstream makes.

    `calls` holds route, number, and whether they are made at the same time. Times are in seconds.
    A call that succeeds within its objective is worth `worth`, later `late`.
    """

    name: str
    service: str
    work_s: float
    objective_s: float
    deadline_s: float
    per_s: float = 0.0
    worth: float = 0.0
    late: float = 0.0
    rank: int = 0
    repeatable: bool = True
    calls: tuple[tuple[str, int, bool], ...] = ()


@dataclass(frozen=True)
class Surge:
    """Calls times `factor` between two times; upstreams of `slow` take `slowness` as long."""

    begin_s: float
    end_s: float
    factor: float = 1.0
    slow: str = ""
    slowness: float = 1.0


@dataclass(frozen=True)
class FatalRequest:
    """A request of a route that ends each upstream that begins to run it, and comes again."""

    route: str
    begin_s: float
    every_s: float


@dataclass(frozen=True)
class Outage:
    """The first upstreams of a service that end at the same moment, and how many."""

    at_s: float
    service: str
    number: int


@dataclass(frozen=True)
class GreyFailure:
    """Upstreams of a service that fail a share of their runs, and seem well otherwise."""

    service: str
    share: float


@dataclass
class RouteTally:
    """What callers of one route got, by their first attempt."""

    asked: int = 0
    timely: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    credit: float = 0.0
    ends: list[tuple[float, bool]] = field(default_factory=list)


@dataclass
class GraphResult:
    """Tallies by route, and counts at upstreams by service.

    `repeats` counts the calls that came to an ingress after they, or one above them, had been sent
    before; `firsts` the others.
    """

    tallies: dict[str, RouteTally]
    runs: dict[str, int] = field(default_factory=dict)
    wasted: dict[str, int] = field(default_factory=dict)
    firsts: Counter[str] = field(default_factory=Counter)
    repeats: Counter[str] = field(default_factory=Counter)
    fatal_ends: int = 0
    fatal_asked: int = 0
    set_aside: int = 0

    def share(self, route: str) -> float:
        """Returns the part of a route's calls that succeeded."""
        tally = self.tallies[route]
        return (tally.timely + tally.late) / max(1, tally.asked)

    def share_since(self, route: str, at: float) -> float:
        """Returns the part of the calls that began after a time, and succeeded."""
        ends = [good for began, good in self.tallies[route].ends if began >= at]
        return sum(ends) / max(1, len(ends))

    def worth(self, routes: dict[str, GraphRoute]) -> float:
        """Returns the credit earned of all that was owed."""
        owed = sum(item.asked * routes[name].worth for name, item in self.tallies.items())
        return sum(item.credit for item in self.tallies.values()) / owed
