"""Load balancing: chooses the ingress for a call, at the least expected cost.

Ingresses in the caller's failure domain come first; others are used when the local ones are
saturated, slow or failing. An upstream that has just joined gets one trial call, at a different
time from each caller; otherwise the upstreams known to be fast would receive every call.

When many callers share small upstreams, load reports are out of date by the time they are used,
and identical choices would saturate one upstream after the other. So a report loses weight with
age in favour of the average use by other callers, and ties are broken at random.

Where upstreams tell how long their work takes, uneven ones get shares in proportion to their
capacity instead: the least cost swarms the fast ones until their slots are taken.
"""

from bisect import bisect
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import accumulate
from math import exp
from operator import itemgetter

from marjoramvalve.mesh.announced_rates import MIN_RATE_PER_S
from marjoramvalve.mesh.upstream_loads import bound_factor

CROSS_DOMAIN_FACTOR = 1.0  # Extra cost of another failure domain, relative to the service time...
CROSS_DOMAIN_S = 0.004  # ...and in seconds, for the round trip and the traffic between domains.
SMOOTHING = 0.1  # Weight of a new answer in slowness and failure rate.
FAILURE_WEIGHT = 6.0  # An upstream that always fails costs as much as one seven times as slow.
COLD_SLOWNESS = 2.0  # Least slowness assumed for an upstream that has just started.
REPORT_DECAY_CALLS = 4.0  # A reported load decays over the duration of this many average calls.
RANDOM_SPREAD = 0.3  # Upstreams up to this fraction above the lowest cost get calls as well.
UTILIZATION_EXPONENT = 6  # How sharply the cost rises as the slots fill up.
TRIAL_SLOWNESS = 0.5  # Assumed for the single trial call to an upstream that has not answered yet.
TRIAL_SPREAD_S = 1.5  # Callers spread their trial calls over this time, several average calls.
RECOVERY_S = 3.0  # Slowness and failures of an upstream that gets no calls fade within this time.
SLOWNESS_EXPONENT = 3  # One for the capacity, the others for shorter answers.
ROOM_EXPONENT = 4  # How sharply an upstream's share falls as its slots fill up.
MIN_ROOM = 0.02  # Fraction of the slots that count as free at a full upstream.
WORK_FADE_S = 1.0  # The effect of a told work factor fades to none within this time.
MIN_MEAN_S = 0.001  # Resolution of reported service times.
MIN_RATIO, MAX_RATIO = 0.2, 10.0  # Bounds of the effect of one answer on the slowness.

COST = itemgetter(0)


@dataclass(slots=True)
class EndpointStats:
    """Load, speed and failure rate of one ingress as an egress sees it.

    `in_flight` counts this egress's own calls. `first_trial_at` is when the trial call is due.
    `rate_per_s` is how many requests per second the upstream accepts, None if it names no limit.
    Times are of the event loop's clock.
    """

    is_local: bool
    limit: int = 1
    cold: bool = False
    reported_load: int = 0
    in_flight: int = 0
    in_flight_at_report: int = 0
    slowness: float = 1.0
    failure_rate: float = 0.0
    last_answer_at: float | None = None
    first_trial_at: float = 0.0
    reported_at: float = 0.0
    rate_per_s: float | None = None
    tells_work: bool = False
    work_factor: float = 1.0
    work_told_at: float = 0.0

    def record_work(self, percent: int, now: float) -> None:
        """Records how long work takes at the upstream, in percent of the usual time, 0 if unknown.

        The answer that tells it has to be recorded after it.
        """
        self.tells_work = self.tells_work or percent > 0
        self.work_factor = bound_factor(percent) if percent else 1.0
        self.work_told_at = now

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Records the load reported with an answer."""
        self.reported_load = running + waiting
        self.in_flight_at_report = self.in_flight
        self.reported_at = now

    @property
    def utilization_by_others(self) -> float:
        """Returns the fraction of the slots used by other callers at the last report."""
        calls = self.reported_load - self.in_flight_at_report
        return calls / self.limit if calls > 0 and self.limit > 1 else float(max(0, calls))

    @property
    def calls_of_others(self) -> int:
        """Returns the number of calls of other callers at the last report."""
        return max(0, self.reported_load - self.in_flight_at_report)

    def usable_slots(self, service_s: float, now: float) -> float:
        """Returns the slots that calls can use: fewer at a low rate or where calls fail."""
        slots = float(max(1, self.limit))
        if self.rate_per_s is not None:
            slots = min(slots, max(1.0, self.rate_per_s * service_s))
        age = min(1.0, max(0.0, now - (self.last_answer_at or 0.0)) / RECOVERY_S)
        return slots * max(0.1, 1.0 - self.failure_rate * (1.0 - age)) ** 2

    def _pacing_delay_s(self, report_weight: float, service_s: float) -> float:
        """Returns how long a call waits for its turn at the announced rate, in seconds."""
        others = report_weight * self.calls_of_others
        rate_per_s = max(MIN_RATE_PER_S, self.rate_per_s)
        calls_at_rate = min(float(self.limit), max(1.0, rate_per_s * service_s))
        return max(0.0, others + self.in_flight + 1 - calls_at_rate) / rate_per_s

    def record_answer(self, ratio_to_mean: float, failed: bool, now: float) -> None:
        """Records the service time of an answer, relative to the mean of its route."""
        ratio = min(
            MAX_RATIO, max(MIN_RATIO, ratio_to_mean / (1.0 if failed else self.work_factor))
        )
        self.slowness += SMOOTHING * (ratio - self.slowness)
        self.failure_rate += SMOOTHING * ((1.0 if failed else 0.0) - self.failure_rate)
        self.last_answer_at = now

    def cost_s(self, service_s: float, now: float, mean_utilization: float) -> float:
        """Returns the expected duration of a call here plus the delay it causes others, in seconds.

        `mean_utilization` is the mean use of comparable ingresses by other callers.
        """
        others = self.utilization_by_others
        return self.cost_and_weight(service_s, now, others, mean_utilization, False)[0]

    def cost_and_weight(
        self,
        service_s: float,
        now: float,
        reported_utilization: float,
        mean_utilization: float,
        with_weight: bool,
    ) -> tuple[float, float]:
        """Returns the cost in seconds, and a weight for a share in proportion to the capacity.

        Capacity is slots over service time. The weight falls with the room that is left, and a
        little with the service time, which shortens the answers while there is room everywhere.
        Without `with_weight`, it is 0.
        """
        # This runs for each endpoint of each call, hence no calls of min and max.
        limit = self.limit if self.limit > 1 else 1
        answered_at = self.last_answer_at
        age = (now - (answered_at or 0.0)) / RECOVERY_S
        if age >= 1.0:
            slowness, failure_rate = 1.0, 0.0
        else:
            age = age if age > 0.0 else 0.0
            slowness = self.slowness + (1.0 - self.slowness) * age
            failure_rate = self.failure_rate * (1.0 - age)
        if answered_at is None and now >= self.first_trial_at and not self.in_flight:
            slowness = TRIAL_SLOWNESS
        elif self.cold and slowness < COLD_SLOWNESS:
            slowness = COLD_SLOWNESS
        if self.work_factor != 1.0 and now < self.work_told_at + WORK_FADE_S:
            left = 1.0 - (now - self.work_told_at) / WORK_FADE_S
            slowness *= 1.0 + (self.work_factor - 1.0) * left
        report_weight = exp((self.reported_at - now) / (REPORT_DECAY_CALLS * service_s))
        others = report_weight * reported_utilization + (1.0 - report_weight) * mean_utilization
        utilization = others + (self.in_flight + 1) / limit
        congestion = (
            1.0 + utilization**UTILIZATION_EXPONENT if utilization < 1 else 2.0 * utilization
        )
        delay_s = 0.0
        if self.rate_per_s is not None:
            delay_s = self._pacing_delay_s(report_weight, service_s)
        failure_factor = 1.0 + FAILURE_WEIGHT * failure_rate
        cost = (service_s * slowness * congestion + delay_s) * failure_factor
        if not self.is_local:
            cost = cost * (1.0 + CROSS_DOMAIN_FACTOR) + CROSS_DOMAIN_S
        if not with_weight:
            return cost, 0.0
        room = 1.0 + MIN_ROOM - utilization if utilization < 1.0 else MIN_ROOM
        if delay_s:
            room *= service_s / (service_s + delay_s)
        weight = self.limit * (room / failure_factor) ** ROOM_EXPONENT / slowness**SLOWNESS_EXPONENT
        return cost, weight


class RouteStats:
    """Mean service time in seconds and failure rate of each route, over all its upstreams."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._failure_rates: dict[str, float] = {}

    def record_outcome(self, route: str, failed: bool) -> None:
        """Records whether a call failed at its upstream."""
        rate = self._failure_rates.get(route, 0.0)
        self._failure_rates[route] = rate + SMOOTHING / 2 * ((1.0 if failed else 0.0) - rate)

    def failure_rate(self, route: str) -> float:
        """Returns the fraction of a route's calls that fail at their upstreams."""
        return self._failure_rates.get(route, 0.0)

    def record_service_time(self, route: str, service_s: float) -> float:
        """Records a service time; returns its ratio to the mean before it."""
        mean = max(MIN_MEAN_S, self._means.get(route, service_s))
        self._means[route] = mean + SMOOTHING / 2 * (service_s - mean)
        return service_s / mean

    def mean_s(self, route: str) -> float:
        """Returns a route's mean in seconds, at least the resolution of reports (1 ms)."""
        return max(MIN_MEAN_S, self._means.get(route, 0.05))


def _draw_by_weight(
    costs: Sequence[tuple[float, float, object]], random_unit: Callable[[], float]
) -> tuple[float, float, object]:
    sums = list(accumulate(weight for _, weight, _ in costs))
    return costs[min(len(sums) - 1, bisect(sums, random_unit() * sums[-1]))]


def choose_endpoint(
    endpoints: Sequence[tuple[object, EndpointStats]],
    service_s: float,
    now: float,
    random_unit: Callable[[], float],
    away_share: float | None = None,
) -> object | None:
    """Returns the item of one of the cheapest endpoints, or None if there are no endpoints.

    In a group with endpoints that tell how long work takes, all get shares by their weight.
    `random_unit` returns numbers from 0 to 1. They pick among the local endpoints and among the
    remote ones, but don't affect whether a call leaves its failure domain, unless `away_share`
    tells which share of the calls leaves it whatever they cost.
    """
    if away_share and random_unit() < away_share:
        endpoints = [pair for pair in endpoints if not pair[1].is_local] or endpoints
    found = []
    for group in (
        [pair for pair in endpoints if pair[1].is_local is local] for local in (True, False)
    ):
        if group:
            others = [stats.utilization_by_others for _, stats in group]
            mean = sum(others) / len(group)
            tells_work = any([stats.tells_work for _, stats in group])
            costs = [
                (*stats.cost_and_weight(service_s, now, other, mean, tells_work), item)
                for (item, stats), other in zip(group, others, strict=True)
            ]
            if tells_work:
                drawn = _draw_by_weight(costs, random_unit)
            else:
                drawn = min(costs, key=lambda cost: cost[0] * (1.0 + RANDOM_SPREAD * random_unit()))
            found.append((min(costs, key=COST)[0], drawn[2]))
    return min(found, key=lambda pair: pair[0])[1] if found else None
