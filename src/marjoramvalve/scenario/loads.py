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
    full_slowdown: float = 1.0


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
    calls_per_s: float = 0.0
    value: float = 0.0
    late_value: float = 0.0
    rank: int = 0
    repeatable: bool = True
    calls: tuple[tuple[str, int, bool], ...] = ()


@dataclass(frozen=True)
class Surge:
    """Calls times `factor` between two times; upstreams of `slow` take `slowness` as long."""

    begin_s: float
    end_s: float
    factor: float = 1.0
    slow_service: str = ""
    slowdown: float = 1.0


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
    upstreams: int


@dataclass(frozen=True)
class GreyFailure:
    """Upstreams of a service that fail a share of their runs, and seem well otherwise."""

    service: str
    failure_share: float


@dataclass
class RouteTally:
    """What callers of one route got, by their first attempt."""

    arrivals: int = 0
    timely: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    value_earned: float = 0.0
    outcomes: list[tuple[float, bool]] = field(default_factory=list)


@dataclass
class GraphResult:
    """Tallies by route, and counts at upstreams by service.

    `repeats` counts the calls that came to an ingress after they, or one above them, had been sent
    before; `firsts` the others.
    """

    tallies: dict[str, RouteTally]
    runs: dict[str, int] = field(default_factory=dict)
    wasted: dict[str, int] = field(default_factory=dict)
    first_attempts: Counter[str] = field(default_factory=Counter)
    retries: Counter[str] = field(default_factory=Counter)
    fatal_crashes: int = 0
    fatal_requests: int = 0
    quarantined: int = 0

    def success_share(self, route: str) -> float:
        """Returns the part of a route's calls that succeeded."""
        tally = self.tallies[route]
        return (tally.timely + tally.late) / max(1, tally.arrivals)

    def success_share_since(self, route: str, at: float) -> float:
        """Returns the part of the calls that began after a time, and succeeded."""
        outcomes = [
            succeeded for started_at, succeeded in self.tallies[route].outcomes if started_at >= at
        ]
        return sum(outcomes) / max(1, len(outcomes))

    def value_share(self, routes: dict[str, GraphRoute]) -> float:
        """Returns the credit earned of all that was owed."""
        value_offered = sum(
            item.arrivals * routes[name].value for name, item in self.tallies.items()
        )
        return sum(item.value_earned for item in self.tallies.values()) / value_offered
