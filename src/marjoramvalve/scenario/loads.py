"""Loads on a call graph, disturbances, and results of a call graph simulation."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True)
class GraphService:
    """A service, with the slots of each upstream and the upstreams' relative speeds.

    While at least 95% of its slots are in use, an upstream takes `full_slowdown` times as long.
    """

    name: str
    slots: int
    speeds: tuple[float, ...]
    full_slowdown: float = 1.0


@dataclass(frozen=True)
class GraphRoute:
    """A route, with its external calls per second and the calls that its upstream makes.

    `calls` holds tuples of route, number of calls, and whether these are concurrent. Times are in
    seconds. A call is worth `value` if it succeeds within its objective, `late_value` if later.
    External calls are for `paths` different paths.
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
    paths: int = 1


@dataclass(frozen=True)
class Surge:
    """A period of higher load or a slow service.

    External calls are multiplied by `factor`, and upstreams of `slow_service` take `slowdown` times
    as long. Times are in seconds.
    """

    begin_s: float
    end_s: float
    factor: float = 1.0
    slow_service: str = ""
    slowdown: float = 1.0


@dataclass(frozen=True)
class FatalRequest:
    """A request that crashes every upstream that runs it, sent again every `every_s` seconds.

    Each time it is sent to `instances` instances, `gap_s` after each other. An upstream crashes
    `crash_after_s` after it has begun to run the request, even if the run has been cancelled. Its
    callers disconnect `leave_after_s` after they have sent it, or never if that is 0. Each time is
    varied by a random factor of up to 1 +- `jitter`.
    """

    route: str
    begin_s: float
    every_s: float
    instances: int = 1
    gap_s: float = 0.0
    crash_after_s: float = 0.005
    leave_after_s: float = 0.0
    jitter: float = 0.0


@dataclass(frozen=True)
class Outage:
    """A simultaneous crash of the first `upstreams` upstreams of a service."""

    at_s: float
    service: str
    upstreams: int


@dataclass(frozen=True)
class Departures:
    """Callers that disconnect early: a share of them, after up to `within_s` seconds."""

    share: float
    within_s: float


@dataclass(frozen=True)
class AnnouncedLimits:
    """A period in which upstreams of a service announce limits in requests per second.

    `rates` holds the limit of each upstream in order; upstreams beyond its length announce none.
    """

    begin_s: float
    end_s: float
    service: str
    rates: tuple[float, ...]


@dataclass(frozen=True)
class Shedding:
    """A period in which the upstreams of a service refuse a share of what they get."""

    begin_s: float
    end_s: float
    service: str
    share: float
    upstreams: int | None = None


@dataclass(frozen=True)
class GreyFailure:
    """A service whose upstreams fail a share of their runs but otherwise appear healthy."""

    service: str
    failure_share: float


@dataclass
class RouteTally:
    """Outcomes of the external calls of one route.

    `timely` and `late` count successes within and after the objective. `outcomes` holds for each
    call the time of its first attempt and whether it succeeded.
    """

    arrivals: int = 0
    timely: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    value_earned: float = 0.0
    outcomes: list[tuple[float, bool]] = field(default_factory=list)


@dataclass
class GraphResult:
    """Tallies by route, and run counts by service.

    `retries` counts calls that arrive at an ingress after they, or a call above them in the
    chain, were sent before; `first_attempts` counts the others. `wasted` counts runs that ended
    in an error. `quarantined` counts the calls other than the fatal request that were refused
    as quarantined. `arrivals` holds the times of the requests that each upstream received.
    """

    tallies: dict[str, RouteTally]
    runs: dict[str, int] = field(default_factory=dict)
    wasted: dict[str, int] = field(default_factory=dict)
    first_attempts: Counter[str] = field(default_factory=Counter)
    retries: Counter[str] = field(default_factory=Counter)
    fatal_runs: list[float] = field(default_factory=list)
    fatal_crashes: list[float] = field(default_factory=list)
    fatal_requests: int = 0
    quarantined: int = 0
    arrivals: dict[str, list[float]] = field(default_factory=dict)

    def success_share(self, route: str) -> float:
        """Returns the share of a route's calls that succeeded."""
        tally = self.tallies[route]
        return (tally.timely + tally.late) / max(1, tally.arrivals)

    def success_share_since(self, route: str, at: float) -> float:
        """Returns the share of a route's calls started at or after a time that succeeded."""
        outcomes = [
            succeeded for started_at, succeeded in self.tallies[route].outcomes if started_at >= at
        ]
        return sum(outcomes) / max(1, len(outcomes))

    def value_share(self, routes: dict[str, GraphRoute]) -> float:
        """Returns the value earned as a share of the value of all calls if timely."""
        value_offered = sum(
            item.arrivals * routes[name].value for name, item in self.tallies.items()
        )
        return sum(item.value_earned for item in self.tallies.values()) / value_offered
