"""Rate limits for external calls by route, derived from the capacity of the whole call graph.

Protects the service with the least spare capacity from overload. The planner learns the call graph
from successful runs: how long a call of each route occupies a slot, and how many calls to which
other routes it makes. Failed runs are ignored because they make fewer sub-calls, which would make
a route look cheaper than it is. When the demand on a service exceeds its capacity, routes are
limited in order of rank; every route keeps a share of its calls, so that none is starved.
"""

from dataclasses import dataclass, field

from marjoramvalve.fleet.dependencies import CallGraph, DependencyGates
from marjoramvalve.fleet.messages import NodeLoad, RouteRuns
from marjoramvalve.model import Document

LOAD_REPORT_TTL_S = 2.0  # A node without a newer report is ignored after this.
AVERAGING_TIME_S = 4.0  # Time constant of the decayed run statistics.
MIN_RUNS = 1.0  # Statistics of this many runs or fewer do not decay.
# Share of a service's slots that is allocated; the rest absorbs uneven load between nodes.
MAX_UTILIZATION = 1.0
MIN_UTILIZATION = 0.9
# Factors applied to the utilization at each planning round, by the length of the queue.
UTILIZATION_DECREASE, UTILIZATION_INCREASE = 0.97, 1.02
HIGH_QUEUE_SHARE = 0.3  # Queued calls per slot above which the utilization is lowered.
LOW_QUEUE_SHARE = 0.1  # Queued calls per slot at or below which it is raised again.
QUEUE_DRAIN_TIME_S = 1.0  # Queued calls should be served within this time, beside new ones.
MAX_DRAIN_SHARE = 0.3  # Largest share of the slots reserved for queued calls.
GUARANTEED_SHARE = 0.3  # Share that each route gets regardless of rank, relative to the mean one.
# Each route keeps all its calls while they need at most this share of any service's slots.
GUARANTEED_SLOT_SHARE = 0.1
MAX_GUARANTEED_SLOT_SHARE = 0.4  # Largest share of a service's slots guaranteed this way in total.
MAX_CALL_DEPTH = 25  # Levels of nested calls that are followed; this also ends call cycles.
MIN_COST = 1e-4  # Slot-seconds per call below which a route does not count as using a service.
UNLIMITED_SHARE = 0.99  # A route that is granted this share of its calls is not limited at all.
MIN_NODE_SHARE = 0.3  # Least share of a limit, relative to an even split, for nodes without calls.
PLANNING_INTERVAL_S = 0.25
WARM_UP_S = 1.2  # Time in which a new leader receives several reports from every node.


@dataclass(slots=True)
class _NodeReport:
    service: str
    load: NodeLoad
    reported_at: float


@dataclass(slots=True)
class _RouteStats:
    """Decayed sums over the successful runs of one route."""

    count: float = 0.0
    slot_seconds: float = 0.0
    calls: dict[str, float] = field(default_factory=dict)

    def add(self, runs: RouteRuns) -> None:
        self.count += runs.count
        self.slot_seconds += runs.slot_seconds
        for route, number in runs.calls.items():
            self.calls[route] = self.calls.get(route, 0.0) + number

    def decay(self, factor: float) -> None:
        if self.count <= MIN_RUNS:
            return
        self.count *= factor
        self.slot_seconds *= factor
        self.calls = {route: number * factor for route, number in self.calls.items()}


class AdmissionPlanner:
    """Computes the rate limits of external calls, at the leader.

    `planned_slots` and `requested_slots` hold, by service, the slots available to the last plan and
    those that all offered calls would need. For services with announced limits they also hold
    requests per second.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _NodeReport] = {}
        self._route_stats: dict[str, _RouteStats] = {}
        self._ranks: dict[str, int] = {}
        self._service_shares: dict[str, dict[str, float]] = {}
        self._utilization: dict[str, float] = {}
        self._reset_at = 0.0
        self._planned_at = 0.0
        self._admitted_rates: dict[str, float] = {}
        self._offered_rates: dict[str, float] = {}
        self._dependency_gates = DependencyGates()
        self.planned_slots: dict[str, float] = {}
        self.requested_slots: dict[str, float] = {}

    def limited_routes(self) -> dict[str, str]:
        """Returns the limited routes with their admitted and offered calls per second as text."""
        return {
            route: f"{rate:.1f} of {self._offered_rates[route]:.1f}"
            for route, rate in self._admitted_rates.items()
            if rate < self._offered_rates[route] * UNLIMITED_SHARE
        }

    def set_document(self, document: Document) -> None:
        """Updates the ranks of the routes and the services that they lead to."""
        self._ranks = {name: route.rank for name, route in document.routes.items()}
        self._service_shares = {}
        for name, route in document.routes.items():
            weights = route.split or {route.service: 1.0}
            total_weight = sum(weights.values()) or 1.0
            self._service_shares[name] = {
                service: weight / total_weight for service, weight in weights.items()
            }
        self._dependency_gates.is_enabled = document.policy.refuse_unreachable
        for name in self._route_stats.keys() - self._service_shares.keys():
            del self._route_stats[name]

    def record_report(self, address: str, service: str, load: NodeLoad, now: float) -> None:
        """Records the load that a node reports."""
        self._reports[address] = _NodeReport(service, load, now)
        self._dependency_gates.record(address, load.outcomes)
        for route, runs in load.runs.items():
            if route in self._service_shares:
                self._route_stats.setdefault(route, _RouteStats()).add(runs)

    def reset(self, now: float) -> None:
        """Discards reports and limits after a leader change and starts the warm-up.

        Reports of only some nodes do not show the load of the whole fleet.
        """
        self._reset_at = now
        self._reports.clear()
        self._dependency_gates.reset()
        self._admitted_rates = {}

    def node_rate_limits(self, address: str, now: float) -> dict[str, float] | None:
        """Returns the calls per second that a node may admit, by limited route.

        Returns None during the warm-up.
        """
        if now < self._reset_at + WARM_UP_S:
            return None
        if now > self._planned_at + PLANNING_INTERVAL_S:
            self._update(now)
        report = self._reports.get(address)
        if report is None:
            return {}
        limits = {}
        for route, rate in self._admitted_rates.items():
            if rate < self._offered_rates[route] * UNLIMITED_SHARE:
                share = report.load.offered.get(route, 0.0) / max(0.1, self._offered_rates[route])
                limits[route] = round(rate * max(share, MIN_NODE_SHARE / len(self._reports)), 2)
        return limits

    def admitted_shares(self) -> dict[str, float]:
        """Returns the share of calls that the fleet admits, by limited route."""
        return {
            route: round(rate / self._offered_rates[route], 3)
            for route, rate in self._admitted_rates.items()
            if rate < self._offered_rates[route] * UNLIMITED_SHARE
        }

    def unreachable_shares(self) -> dict[str, tuple[str, float]]:
        """Returns the service out of reach and the share let through, by route that needs it."""
        return self._dependency_gates.shares

    def _call_graph(self) -> CallGraph:
        calls = {
            route: {callee: number / stats.count for callee, number in stats.calls.items()}
            for route, stats in self._route_stats.items()
            if stats.count > 0
        }
        services = {
            route: max(shares, key=shares.get) for route, shares in self._service_shares.items()
        }
        return CallGraph(calls, services, self._ranks, self._offered_rates)

    def _update(self, now: float) -> None:
        elapsed_s = min(AVERAGING_TIME_S, now - self._planned_at)
        self._planned_at = now
        for address, report in list(self._reports.items()):
            if now > report.reported_at + LOAD_REPORT_TTL_S:
                del self._reports[address]
        for stats in self._route_stats.values():
            stats.decay(1.0 - elapsed_s / AVERAGING_TIME_S)
        self._offered_rates = {}
        for report in self._reports.values():
            for route, rate in report.load.offered.items():
                self._offered_rates[route] = self._offered_rates.get(route, 0.0) + rate
        self._dependency_gates.update(self._call_graph(), now)
        slots = self._available_slots()
        costs = {route: self._call_cost(route) for route in self._offered_rates}
        self._allocate(slots, costs)
        self.planned_slots = {service: round(count, 1) for service, count in slots.items()}
        self.requested_slots = {
            service: round(
                sum(
                    rate * costs[route].get(service, 0.0)
                    for route, rate in self._offered_rates.items()
                ),
                1,
            )
            for service in slots
        }

    def _available_slots(self) -> dict[str, float]:
        """Returns the slots that may be allocated, by service."""
        slots: dict[str, float] = {}
        queued: dict[str, float] = {}
        for report in self._reports.values():
            service, load = report.service, report.load
            slots[service] = slots.get(service, 0.0) + load.slots
            queued[service] = queued.get(service, 0.0) + load.waiting
        for service, count in slots.items():
            utilization = self._utilization.get(service, MAX_UTILIZATION)
            if queued[service] > HIGH_QUEUE_SHARE * count:
                utilization *= UTILIZATION_DECREASE
            elif queued[service] <= LOW_QUEUE_SHARE * count:
                utilization *= UTILIZATION_INCREASE
            self._utilization[service] = min(MAX_UTILIZATION, max(MIN_UTILIZATION, utilization))
            drain_slots = queued[service] * self._mean_service_time_s(service) / QUEUE_DRAIN_TIME_S
            slots[service] = count * self._utilization[service] - min(
                drain_slots, MAX_DRAIN_SHARE * count
            )
        return slots | self._available_request_rates()

    def _available_request_rates(self) -> dict[str, float]:
        """Returns the requests per second that may be allocated, by resource.

        Only services with an upstream that announces a limit are included. There, a short call
        takes as much of the limit as a long one.
        """
        limited = {r.service for r in self._reports.values() if r.load.rate_per_s is not None}
        rates = dict.fromkeys(map(request_rate_of, limited), 0.0)
        mean_times_s = {service: self._mean_service_time_s(service) for service in limited}
        for report in self._reports.values():
            if report.service in limited:
                resource = request_rate_of(report.service)
                rates[resource] += _request_rate(report.load, mean_times_s[report.service])
        return rates

    def _mean_service_time_s(self, service: str) -> float:
        """Returns the mean service time at a service over all routes that lead there."""
        totals = [
            (stats.count * share, stats.slot_seconds * share)
            for route, stats in self._route_stats.items()
            if (share := self._service_shares[route].get(service, 0.0))
        ]
        count = sum(runs for runs, _ in totals)
        return sum(seconds for _, seconds in totals) / count if count > 0 else 0.0

    def _call_cost(self, route: str) -> dict[str, float]:
        """Returns the slot-seconds per call of a route by service, including nested calls."""
        cost: dict[str, float] = {}
        calls = {route: 1.0}
        for _ in range(MAX_CALL_DEPTH):
            subcalls: dict[str, float] = {}
            for name, number in calls.items():
                self._add_call_cost(cost, subcalls, name, number)
            calls = subcalls
        return {
            service: slot_seconds
            for service, slot_seconds in cost.items()
            if slot_seconds > MIN_COST
        }

    def _add_call_cost(
        self, cost: dict[str, float], subcalls: dict[str, float], route: str, calls: float
    ) -> None:
        """Adds the cost of `calls` calls of a route, and their sub-calls to `subcalls`."""
        stats = self._route_stats.get(route)
        if stats is None or stats.count <= 0:
            return
        mean_s = stats.slot_seconds / stats.count
        for service, share in self._service_shares[route].items():
            cost[service] = cost.get(service, 0.0) + calls * share * mean_s
            resource = request_rate_of(service)
            cost[resource] = cost.get(resource, 0.0) + calls * share
        for callee, number in stats.calls.items():
            subcalls[callee] = subcalls.get(callee, 0.0) + calls * number / stats.count

    def _allocate(self, slots: dict[str, float], costs: dict[str, dict[str, float]]) -> None:
        guaranteed_rates = self._guaranteed_rates(slots, costs)
        self._allocate_by_rank(slots, costs, guaranteed_rates, 0.0)
        offered = sum(self._offered_rates.values())
        if offered > 0:
            mean_share = sum(self._admitted_rates.values()) / offered
            self._allocate_by_rank(slots, costs, guaranteed_rates, GUARANTEED_SHARE * mean_share)

    def _guaranteed_rates(
        self, slots: dict[str, float], costs: dict[str, dict[str, float]]
    ) -> dict[str, float]:
        """Returns the calls per second that each route keeps regardless of the other routes."""
        shares = self._guaranteed_slot_shares(costs, slots)
        return {
            route: min(rate, _max_rate(costs[route], slots, shares))
            for route, rate in self._offered_rates.items()
        }

    def _allocate_by_rank(
        self,
        slots: dict[str, float],
        costs: dict[str, dict[str, float]],
        guaranteed_rates: dict[str, float],
        guaranteed_share: float,
    ) -> None:
        """Allocates every route its guaranteed rate first, then the remaining slots by rank."""
        free_slots = dict(slots)
        self._admitted_rates = dict.fromkeys(self._offered_rates, 0.0)
        requested_rates = {
            route: max(rate * guaranteed_share, guaranteed_rates[route])
            for route, rate in self._offered_rates.items()
        }
        self._allocate_proportionally(
            tuple(self._offered_rates), requested_rates, costs, free_slots
        )
        for rank in sorted({self._ranks.get(route, 0) for route in self._offered_rates}):
            routes = tuple(
                route for route in self._offered_rates if self._ranks.get(route, 0) == rank
            )
            requested_rates = {
                route: self._offered_rates[route] - self._admitted_rates[route] for route in routes
            }
            self._allocate_proportionally(routes, requested_rates, costs, free_slots)

    def _guaranteed_slot_shares(
        self, costs: dict[str, dict[str, float]], slots: dict[str, float]
    ) -> dict[str, float]:
        """Returns the share of slots that is guaranteed to each route, by service."""
        shares = {}
        for service, count in slots.items():
            max_slots = GUARANTEED_SLOT_SHARE * count
            guaranteed_slots = sum(
                min(max_slots, rate * costs[route].get(service, 0.0))
                for route, rate in self._offered_rates.items()
            )
            excess = guaranteed_slots / (MAX_GUARANTEED_SLOT_SHARE * count) if count > 0 else 1.0
            shares[service] = GUARANTEED_SLOT_SHARE / max(1.0, excess)
        return shares

    def _allocate_proportionally(
        self,
        routes: tuple[str, ...],
        requested_rates: dict[str, float],
        costs: dict[str, dict[str, float]],
        free_slots: dict[str, float],
    ) -> None:
        """Allocates the requested rates, or the same share of each where slots are short."""
        requested_slots = dict.fromkeys(free_slots, 0.0)
        for route in routes:
            for service, cost in costs[route].items():
                if service in requested_slots:
                    requested_slots[service] += requested_rates[route] * cost
        shares = {
            service: min(1.0, free_slots[service] / requested) if requested > 0 else 1.0
            for service, requested in requested_slots.items()
        }
        for route in routes:
            used = [service for service in costs[route] if service in free_slots]
            rate = requested_rates[route] * min((shares[service] for service in used), default=1.0)
            self._admitted_rates[route] += rate
            for service in used:
                free_slots[service] = max(0.0, free_slots[service] - rate * costs[route][service])


def request_rate_of(service: str) -> str:
    """Returns the name of the resource that limits the requests per second to a service."""
    return f"{service} requests/s"


def _request_rate(load: NodeLoad, mean_s: float) -> float:
    """Returns how many requests per second a node can take, at this mean service time."""
    if not load.slots:
        return 0.0
    by_slots = load.slots / max(mean_s, MIN_COST)
    return by_slots if load.rate_per_s is None else min(by_slots, load.rate_per_s)


def _max_rate(cost: dict[str, float], slots: dict[str, float], shares: dict[str, float]) -> float:
    """Returns the highest call rate that stays within the given shares of all services' slots."""
    used = [service for service in cost if service in slots]
    return min(
        (shares[service] * slots[service] / cost[service] for service in used),
        default=float("inf"),
    )
