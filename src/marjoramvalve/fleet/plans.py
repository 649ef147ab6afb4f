"""How many outside calls of each route the whole graph of services has room for.

Answers demand above what the tightest service can do. The plan learns the call graph from runs that
end well: how long each route holds a slot, and how many calls of which routes it makes. Runs that
fail make fewer calls than whole ones and would make the way down look cheaper than it is. When a
service would be asked for more than it has, routes give way by rank; every route keeps a part of
its calls, so that none is shut out.
"""

from dataclasses import dataclass, field

from marjoramvalve.fleet.messages import NodeLoad, RouteRuns
from marjoramvalve.model import Document

LOAD_LIFE_S = 2.0  # A node's report counts for this long.
MEMORY_S = 4.0  # Time over which runs are averaged.
LEAST_RUNS = 1.0  # Runs that are remembered however long ago they were.
MAX_UTILIZATION = (
    1.0  # Share of a service's slots that is planned for; the rest takes the unevenness.
)
LEAST_TARGET = 0.9
TARGET_DOWN, TARGET_UP = 0.97, 1.02  # Steps of the target a report round, by calls that wait.
WAITING_SHARE = 0.3  # Calls waiting, as a share of the slots, above which the target is lowered.
CALM_SHARE = 0.1  # The same, below which it is raised again.
DRAIN_S = 1.0  # Calls that wait are to be served in this time, beside those that come.
MOST_DRAIN = 0.3  # Part of the slots that is kept for them at most.
GUARANTEED_SHARE = 0.3  # Part of the fleet's mean share that each route keeps before ranks decide.
KEPT_SLOTS = 0.1  # Part of the tightest service's slots up to which a route keeps all its calls.
MOST_KEPT_SLOTS = 0.4  # Part of a service's slots that all routes together keep in this way.
MOST_DEPTH = 25  # Calls of calls that are followed; loops, and what is deeper, end here.
LEAST_COST = 1e-4  # Slots x seconds of a call below which a service is not taken as used by it.
FREE = 0.99  # A route that is given this part of its calls is not limited at all.
LEAST_SHARE = 0.3  # Share of a node that offers nothing yet, as a part of an even one.
PLANNING_INTERVAL_S = 0.25
WARM_UP_S = 1.2  # Time in which a new leader hears every node several times.


@dataclass(slots=True)
class _Node:
    service: str
    load: NodeLoad
    at: float


@dataclass(slots=True)
class _Runs:
    """Decayed sums over the runs of one route that ended well."""

    count: float = 0.0
    slot_seconds: float = 0.0
    calls: dict[str, float] = field(default_factory=dict)

    def add(self, runs: RouteRuns) -> None:
        self.count += runs.count
        self.slot_seconds += runs.slot_seconds
        for route, number in runs.calls.items():
            self.calls[route] = self.calls.get(route, 0.0) + number

    def fade(self, keep: float) -> None:
        if self.count <= LEAST_RUNS:
            return
        self.count *= keep
        self.slot_seconds *= keep
        self.calls = {route: number * keep for route, number in self.calls.items()}


class AdmissionPlanner:
    """The plan, at the leader."""

    def __init__(self) -> None:
        self._nodes: dict[str, _Node] = {}
        self._runs: dict[str, _Runs] = {}
        self._ranks: dict[str, int] = {}
        self._splits: dict[str, dict[str, float]] = {}
        self._targets: dict[str, float] = {}
        self._began = 0.0
        self._planned_at = 0.0
        self._rates: dict[str, float] = {}
        self._offered: dict[str, float] = {}
        self.planned_slots: dict[str, float] = {}
        self.requested_slots: dict[str, float] = {}

    def limited_routes(self) -> dict[str, str]:
        """Returns the routes that give way, as calls a second let in of those offered."""
        return {
            route: f"{rate:.1f} of {self._offered[route]:.1f}"
            for route, rate in self._rates.items()
            if rate < self._offered[route] * FREE
        }

    def set_document(self, document: Document) -> None:
        """Takes in the ranks of the routes, and where they lead."""
        self._ranks = {name: route.rank for name, route in document.routes.items()}
        self._splits = {}
        for name, route in document.routes.items():
            weights = route.split or {route.service: 1.0}
            total = sum(weights.values()) or 1.0
            self._splits[name] = {service: part / total for service, part in weights.items()}
        for name in self._runs.keys() - self._splits.keys():
            del self._runs[name]

    def record_report(self, address: str, service: str, load: NodeLoad, now: float) -> None:
        """Takes in what a node tells."""
        self._nodes[address] = _Node(service, load, now)
        for route, runs in load.runs.items():
            if route in self._splits:
                self._runs.setdefault(route, _Runs()).add(runs)

    def reset(self, now: float) -> None:
        """Begins anew at a new leader: what some nodes tell says little of the whole."""
        self._began = now
        self._nodes.clear()
        self._rates = {}

    def node_rate_limits(self, address: str, now: float) -> dict[str, float] | None:
        """Returns how many calls a second of each route a node may let in; None: not known yet."""
        if now < self._began + WARM_UP_S:
            return None
        if now > self._planned_at + PLANNING_INTERVAL_S:
            self._make(now)
        node = self._nodes.get(address)
        if node is None:
            return {}
        caps = {}
        for route, rate in self._rates.items():
            if rate < self._offered[route] * FREE:
                share = node.load.offered.get(route, 0.0) / max(0.1, self._offered[route])
                caps[route] = round(rate * max(share, LEAST_SHARE / len(self._nodes)), 2)
        return caps

    def admitted_shares(self) -> dict[str, float]:
        """Returns what part of the calls of each limited route the fleet lets in."""
        return {
            route: round(rate / self._offered[route], 3)
            for route, rate in self._rates.items()
            if rate < self._offered[route] * FREE
        }

    def _make(self, now: float) -> None:
        elapsed_s = min(MEMORY_S, now - self._planned_at)
        self._planned_at = now
        for address, node in list(self._nodes.items()):
            if now > node.at + LOAD_LIFE_S:
                del self._nodes[address]
        for runs in self._runs.values():
            runs.fade(1.0 - elapsed_s / MEMORY_S)
        self._offered = {}
        for node in self._nodes.values():
            for route, rate in node.load.offered.items():
                self._offered[route] = self._offered.get(route, 0.0) + rate
        slots = self._plan_slots()
        costs = {route: self._cost(route) for route in self._offered}
        self._solve(slots, costs)
        self.planned_slots = {service: round(count, 1) for service, count in slots.items()}
        self.requested_slots = {
            service: round(
                sum(rate * costs[route].get(service, 0.0) for route, rate in self._offered.items()),
                1,
            )
            for service in slots
        }

    def _plan_slots(self) -> dict[str, float]:
        """Returns the slots planned for at each service."""
        slots: dict[str, float] = {}
        waiting: dict[str, float] = {}
        for node in self._nodes.values():
            service, load = node.service, node.load
            slots[service] = slots.get(service, 0.0) + load.slots
            waiting[service] = waiting.get(service, 0.0) + load.waiting
        for service, count in slots.items():
            target = self._targets.get(service, MAX_UTILIZATION)
            if waiting[service] > WAITING_SHARE * count:
                target *= TARGET_DOWN
            elif waiting[service] <= CALM_SHARE * count:
                target *= TARGET_UP
            self._targets[service] = min(MAX_UTILIZATION, max(LEAST_TARGET, target))
            backlog = waiting[service] * self._mean_s(service) / DRAIN_S
            slots[service] = count * self._targets[service] - min(backlog, MOST_DRAIN * count)
        return slots

    def _mean_s(self, service: str) -> float:
        """Returns how long a call takes at a service, over all routes that lead there."""
        runs = [
            (runs.count * part, runs.slot_seconds * part)
            for route, runs in self._runs.items()
            if (part := self._splits[route].get(service, 0.0))
        ]
        count = sum(number for number, _ in runs)
        return sum(seconds for _, seconds in runs) / count if count > 0 else 0.0

    def _cost(self, route: str) -> dict[str, float]:
        """Returns the slots x seconds that a call of a route takes at each service, all the way."""
        cost: dict[str, float] = {}
        level = {route: 1.0}
        for _ in range(MOST_DEPTH):
            below: dict[str, float] = {}
            for name, times in level.items():
                self._add_run(cost, below, name, times)
            level = below
        return {service: part for service, part in cost.items() if part > LEAST_COST}

    def _add_run(
        self, cost: dict[str, float], below: dict[str, float], route: str, times: float
    ) -> None:
        """Adds what runs of a route take, and the calls that they make."""
        runs = self._runs.get(route)
        if runs is None or runs.count <= 0:
            return
        mean_s = runs.slot_seconds / runs.count
        for service, part in self._splits[route].items():
            cost[service] = cost.get(service, 0.0) + times * part * mean_s
        for callee, number in runs.calls.items():
            below[callee] = below.get(callee, 0.0) + times * number / runs.count

    def _solve(self, slots: dict[str, float], costs: dict[str, dict[str, float]]) -> None:
        own_rates = self._own_rates(slots, costs)
        self._share_out(slots, costs, own_rates, 0.0)
        offered = sum(self._offered.values())
        if offered > 0:
            mean = sum(self._rates.values()) / offered
            self._share_out(slots, costs, own_rates, GUARANTEED_SHARE * mean)

    def _own_rates(
        self, slots: dict[str, float], costs: dict[str, dict[str, float]]
    ) -> dict[str, float]:
        """Returns the calls a second that each route keeps whatever the others ask for."""
        parts = self._kept_parts(costs, slots)
        return {
            route: min(rate, _affordable(costs[route], slots, parts))
            for route, rate in self._offered.items()
        }

    def _share_out(
        self,
        slots: dict[str, float],
        costs: dict[str, dict[str, float]],
        own_rates: dict[str, float],
        kept: float,
    ) -> None:
        """Gives every route a part of its calls first, then the rest by rank."""
        left = dict(slots)
        self._rates = dict.fromkeys(self._offered, 0.0)
        wants = {route: max(rate * kept, own_rates[route]) for route, rate in self._offered.items()}
        self._give(tuple(self._offered), wants, costs, left)
        for rank in sorted({self._ranks.get(route, 0) for route in self._offered}):
            routes = tuple(route for route in self._offered if self._ranks.get(route, 0) == rank)
            wants = {route: self._offered[route] - self._rates[route] for route in routes}
            self._give(routes, wants, costs, left)

    def _kept_parts(
        self, costs: dict[str, dict[str, float]], slots: dict[str, float]
    ) -> dict[str, float]:
        """Returns the part of each service's slots that one route may keep."""
        parts = {}
        for service, count in slots.items():
            most = KEPT_SLOTS * count
            kept = sum(
                min(most, rate * costs[route].get(service, 0.0))
                for route, rate in self._offered.items()
            )
            crowding = kept / (MOST_KEPT_SLOTS * count) if count > 0 else 1.0
            parts[service] = KEPT_SLOTS / max(1.0, crowding)
        return parts

    def _give(
        self,
        routes: tuple[str, ...],
        wants: dict[str, float],
        costs: dict[str, dict[str, float]],
        left: dict[str, float],
    ) -> None:
        """Gives routes of one rank what they want, or the same part of it each."""
        asked = dict.fromkeys(left, 0.0)
        for route in routes:
            for service, cost in costs[route].items():
                if service in asked:
                    asked[service] += wants[route] * cost
        part = {
            service: min(1.0, left[service] / load) if load > 0 else 1.0
            for service, load in asked.items()
        }
        for route in routes:
            used = [service for service in costs[route] if service in left]
            given = wants[route] * min((part[service] for service in used), default=1.0)
            self._rates[route] += given
            for service in used:
                left[service] = max(0.0, left[service] - given * costs[route][service])


def _affordable(cost: dict[str, float], slots: dict[str, float], parts: dict[str, float]) -> float:
    """Returns the calls a second that take no more than these parts of any service's slots."""
    used = [service for service in cost if service in slots]
    return min(
        (parts[service] * slots[service] / cost[service] for service in used),
        default=float("inf"),
    )
