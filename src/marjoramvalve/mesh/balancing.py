"""Choice of the ingress for a call: near and fast ones first, others by need.

Answers uneven load: failure domains with too few upstreams for their callers, upstreams of
different speed, and upstreams that turn slow or fail. One that has just joined is tried once, and
by each caller at a time of its own: those known to be fast would otherwise get every call.

Answers also many callers that share small upstreams: what each has heard of their load is old
before it is used, and equal choices of all would fill one upstream after the other. Old news count
for less, the usual load of the others for more, and chance spreads what costs about the same.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

FAR_SHARE = 1.0  # Cost of another failure domain, as a part of the service time...
FAR_S = 0.004  # ...and for the way there and back, and the bytes between domains.
SMOOTHING = 0.1  # Weight of a new answer in speed and failure rate.
FAILURE_WEIGHT = 6.0  # An upstream that always fails costs as much as one seven times as slow.
COLD_WEIGHT = 2.0  # Slowness taken for an upstream that has just started.
NEWS_CALLS = 4.0  # Usual calls in whose time a reported load loses its weight.
SPREAD = 0.3  # Upstreams that cost this part more than the cheapest one get calls as well.
LOAD_POWER = 6  # How sharply cost grows as the slots fill up.
UNTRIED_SLOWNESS = 0.5  # Taken for one that has not answered yet, for a single call.
TRIAL_SPREAD_S = 1.5  # Callers try a new upstream over this time: some usual calls.
MEMORY_S = 3.0  # Speed and failures of an upstream that is avoided are forgotten in this time.
LEAST_MEAN_S = 0.001  # As exactly as service times are told.
LEAST_PART, MOST_PART = 0.2, 10.0  # One answer counts as this much faster or slower at most.


@dataclass(slots=True)
class EndpointStats:
    """One ingress as an egress sees it. `trial_at` is when it is tried for the first time."""

    near: bool
    limit: int = 1
    cold: bool = False
    reported: int = 0
    own: int = 0
    own_at_report: int = 0
    slowness: float = 1.0
    failures: float = 0.0
    noted_at: float | None = None
    trial_at: float = 0.0
    reported_at: float = 0.0

    def report(self, running: int, waiting: int, now: float) -> None:
        """Takes in the load that came with an answer."""
        self.reported = running + waiting
        self.own_at_report = self.own
        self.reported_at = now

    @property
    def others_use(self) -> float:
        """Returns the part of the slots that calls of others took at the last report."""
        return max(0, self.reported - self.own_at_report) / max(1, self.limit)

    def note(self, part_of_mean: float, failed: bool, now: float) -> None:
        """Takes in the service time of an answer, as a part of the mean of its route."""
        part = min(MOST_PART, max(LEAST_PART, part_of_mean))
        self.slowness += SMOOTHING * (part - self.slowness)
        self.failures += SMOOTHING * ((1.0 if failed else 0.0) - self.failures)
        self.noted_at = now

    def cost_s(self, service_s: float, now: float, usual_use: float) -> float:
        """Returns the expected time of a call here, with what it costs others.

        `usual_use` is the part of the slots that others use at places like this one.
        """
        is_trial = self.noted_at is None and now >= self.trial_at and not self.own
        age = min(1.0, max(0.0, now - (self.noted_at or 0.0)) / MEMORY_S)
        slowness = self.slowness + (1.0 - self.slowness) * age
        failures = self.failures * (1.0 - age)
        if is_trial:
            slowness = UNTRIED_SLOWNESS
        elif self.cold:
            slowness = max(slowness, COLD_WEIGHT)
        news = math.exp((self.reported_at - now) / (NEWS_CALLS * service_s))
        others = news * self.others_use + (1.0 - news) * usual_use
        use = others + (self.own + 1) / max(1, self.limit)
        crowd = 1.0 + use**LOAD_POWER if use < 1 else 2.0 * use
        cost = service_s * slowness * crowd * (1.0 + FAILURE_WEIGHT * failures)
        return cost if self.near else cost * (1.0 + FAR_SHARE) + FAR_S


class RouteStats:
    """Mean service time of each route over all its upstreams, in seconds."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._failures: dict[str, float] = {}

    def note_end(self, route: str, failed: bool) -> None:
        """Takes in whether a call failed at its upstream."""
        rate = self._failures.get(route, 0.0)
        self._failures[route] = rate + SMOOTHING / 2 * ((1.0 if failed else 0.0) - rate)

    def failures(self, route: str) -> float:
        """Returns the part of the calls of a route that fail at their upstreams."""
        return self._failures.get(route, 0.0)

    def note(self, route: str, service_s: float) -> float:
        """Takes in a service time; returns it as a part of the mean so far."""
        mean = max(LEAST_MEAN_S, self._means.get(route, service_s))
        self._means[route] = mean + SMOOTHING / 2 * (service_s - mean)
        return service_s / mean

    def of(self, route: str) -> float:
        """Returns the mean of a route; answers tell their times in milliseconds."""
        return max(LEAST_MEAN_S, self._means.get(route, 0.05))


def choose(
    places: Sequence[tuple[object, EndpointStats]],
    service_s: float,
    now: float,
    chance: Callable[[], float],
) -> object | None:
    """Returns an item with one of the cheapest places, or None where there is none.

    `chance` returns numbers from 0 to 1. It decides between near places and between far ones, not
    whether a call leaves its failure domain.
    """
    found = []
    for group in ([pair for pair in places if pair[1].near is near] for near in (True, False)):
        if group:
            usual_use = sum(place.others_use for _, place in group) / len(group)
            costs = [(place.cost_s(service_s, now, usual_use), item) for item, place in group]
            _, drawn = min(costs, key=lambda pair: pair[0] * (1.0 + SPREAD * chance()))
            found.append((min(cost for cost, _ in costs), drawn))
    return min(found, key=lambda pair: pair[0])[1] if found else None
