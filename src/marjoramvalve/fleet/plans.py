"""How many outside calls of each route the whole graph of services has room for.

Answers demand above what the tightest service can do. The plan learns how many slots of each
service a call of each route takes, over all the calls that it causes. When a service would be
asked for more than it has, routes give way by rank; every route keeps a part of its calls, so that
none is shut out.
"""

from dataclasses import dataclass, field

from marjoramvalve.fleet.messages import NodeLoad
from marjoramvalve.model import Document

LOAD_LIFE_S = 2.0  # A node's report counts for this long.
MEMORY_S = 4.0  # Time over which the cost of a call is averaged.
TARGET = 0.92  # Share of a service's slots that is planned for; the rest takes the unevenness.
LEAST_TARGET = 0.6
TARGET_DOWN, TARGET_UP = 0.97, 1.02  # Steps of the target a report round, by calls that wait.
WAITING_SHARE = 0.3  # Calls waiting, as a share of the slots, above which the target is lowered.
CALM_SHARE = 0.1  # The same, below which it is raised again.
KEPT = 0.3  # Part of its calls that a route keeps before those of higher rank get the rest.
LEAST_COST = 1e-4  # Slots x seconds of a call below which a service is not taken as used by it.
FREE = 0.99  # A route that is given this part of its calls is not limited at all.
LEAST_SHARE = 0.3  # Share of a node that offers nothing yet, as a part of an even one.
ROUND_S = 0.25
SETTLE_S = 1.2  # Time in which a new leader hears every node several times.


@dataclass(slots=True)
class _Node:
    service: str
    load: NodeLoad
    at: float


@dataclass(slots=True)
class _Cost:
    """Decayed sums behind the cost of one route's calls at each service."""

    admitted: float = 0.0
    busy: dict[str, float] = field(default_factory=dict)


class LoadPlan:
    """The plan, at the leader."""

    def __init__(self) -> None:
        self._nodes: dict[str, _Node] = {}
        self._costs: dict[str, _Cost] = {}
        self._ranks: dict[str, int] = {}
        self._targets: dict[str, float] = {}
        self._began = 0.0
        self._planned_at = 0.0
        self._rates: dict[str, float] = {}
        self._offered: dict[str, float] = {}
        self.slots: dict[str, float] = {}
        self.busy: dict[str, float] = {}

    def limits(self) -> dict[str, str]:
        """Returns the routes that give way, as calls a second let in of those offered."""
        return {
            route: f"{rate:.1f} of {self._offered[route]:.1f}"
            for route, rate in self._rates.items()
            if rate < self._offered[route] * FREE
        }

    def set_document(self, document: Document) -> None:
        """Takes in the ranks of the routes."""
        self._ranks = {name: route.rank for name, route in document.routes.items()}

    def note(self, address: str, service: str, load: NodeLoad, now: float) -> None:
        """Takes in what a node tells."""
        self._nodes[address] = _Node(service, load, now)

    def begin(self, now: float) -> None:
        """Begins anew at a new leader: what some nodes tell says little of the whole."""
        self._began = now
        self._nodes.clear()
        self._rates = {}

    def caps(self, address: str, now: float) -> dict[str, float] | None:
        """Returns how many calls a second of each route a node may let in; None: not known yet."""
        if now < self._began + SETTLE_S:
            return None
        if now > self._planned_at + ROUND_S:
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

    def _make(self, now: float) -> None:
        elapsed_s = min(MEMORY_S, now - self._planned_at)
        self._planned_at = now
        for address, node in list(self._nodes.items()):
            if now > node.at + LOAD_LIFE_S:
                del self._nodes[address]
        slots, busy = self._sum_services()
        self._learn(busy, elapsed_s)
        self._solve(slots, busy)
        self.slots = {service: round(count, 1) for service, count in slots.items()}
        self.busy = {service: round(sum(parts.values()), 1) for service, parts in busy.items()}

    def _sum_services(self) -> tuple[dict[str, float], dict[str, dict[str, float]]]:
        """Returns the slots planned for at each service, and those taken by each root route."""
        slots: dict[str, float] = {}
        waiting: dict[str, float] = {}
        busy: dict[str, dict[str, float]] = {}
        for node in self._nodes.values():
            service, load = node.service, node.load
            slots[service] = slots.get(service, 0.0) + load.slots
            waiting[service] = waiting.get(service, 0.0) + load.waiting
            taken = busy.setdefault(service, {})
            for route, part in load.busy.items():
                taken[route] = taken.get(route, 0.0) + part
        for service, count in slots.items():
            target = self._targets.get(service, TARGET)
            if waiting[service] > WAITING_SHARE * count:
                target *= TARGET_DOWN
            elif waiting[service] <= CALM_SHARE * count:
                target *= TARGET_UP
            self._targets[service] = min(TARGET, max(LEAST_TARGET, target))
            slots[service] = count * self._targets[service]
        return slots, busy

    def _learn(self, busy: dict[str, dict[str, float]], elapsed_s: float) -> None:
        keep = 1.0 - elapsed_s / MEMORY_S
        self._offered = {}
        admitted: dict[str, float] = {}
        for node in self._nodes.values():
            for route, rate in node.load.offered.items():
                self._offered[route] = self._offered.get(route, 0.0) + rate
            for route, rate in node.load.admitted.items():
                admitted[route] = admitted.get(route, 0.0) + rate
        for route in self._offered:
            cost = self._costs.setdefault(route, _Cost())
            cost.admitted = cost.admitted * keep + admitted.get(route, 0.0) * elapsed_s
            for service, taken in busy.items():
                before = cost.busy.get(service, 0.0)
                cost.busy[service] = before * keep + taken.get(route, 0.0) * elapsed_s

    def _cost(self, route: str, service: str) -> float:
        """Returns the slots x seconds that a call of a route takes at a service."""
        cost = self._costs[route]
        if cost.admitted < 1.0:
            return 0.0
        part = cost.busy.get(service, 0.0) / cost.admitted
        return part if part > LEAST_COST else 0.0

    def _solve(self, slots: dict[str, float], busy: dict[str, dict[str, float]]) -> None:
        left = {}
        for service, count in slots.items():
            taken = busy.get(service, {})
            other = sum(part for route, part in taken.items() if route not in self._offered)
            left[service] = max(0.0, count - other)
        costs = {
            route: {service: cost for service in slots if (cost := self._cost(route, service))}
            for route in self._offered
        }
        self._rates = dict.fromkeys(self._offered, 0.0)
        wants = {route: rate * KEPT for route, rate in self._offered.items()}
        self._give(tuple(self._offered), wants, costs, left)
        for rank in sorted({self._ranks.get(route, 0) for route in self._offered}):
            routes = tuple(route for route in self._offered if self._ranks.get(route, 0) == rank)
            wants = {route: self._offered[route] - self._rates[route] for route in routes}
            self._give(routes, wants, costs, left)

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
                asked[service] += wants[route] * cost
        part = {
            service: min(1.0, left[service] / load) if load > 0 else 1.0
            for service, load in asked.items()
        }
        for route in routes:
            given = wants[route] * min((part[service] for service in costs[route]), default=1.0)
            self._rates[route] += given
            for service, cost in costs[route].items():
                left[service] = max(0.0, left[service] - given * cost)
