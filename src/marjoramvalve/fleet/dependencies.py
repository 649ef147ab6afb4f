"""Admission of root calls while a service that they need fails nearly all its calls, at the leader.

Answers the outage of a service deep in the call graph: root calls that can't do without it are
refused at the entry instead of occupying every service above it until they fail.

The chance of a root call is the product of the success rates of the sub-calls that it makes, as all
nodes together see them. While a root call is more likely to fail than to succeed, the room for such
calls shrinks to a few that probe; when they succeed again, it grows back. The room goes to the most
important routes first. A route whose calls succeed although its sub-calls fail is left alone.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import structlog

AVERAGING_TIME_S = 0.3  # Time constant of the decayed outcomes.
PRIOR_CALLS = 1.0  # Successes assumed beside the observed calls, so that few calls decide nothing.
MIN_CALLS = 10.0  # Decayed number of calls of a route that can bring its service under suspicion.
MIN_ROOT_CALLS = 3.0  # Decayed number of root calls that show whether a route needs its sub-calls.
MIN_CHANCE = 0.5  # Below it, a root call is more likely to fail than to succeed.
GOOD_CHANCE = 0.75  # From here on, the room grows at its full speed, or need not shrink.
CERTAIN_CHANCE = 0.9  # Above it, success does not show that a route can do without a service.
MAX_DECREASE = 0.2  # Least factor by which the room shrinks in one round.
MAX_INCREASE = 2.5  # Largest factor by which it grows in one round: from 4% to all in a second.
STEEPNESS = 4  # How sharply the room falls with the chance below the least one.
RISE = 1.5  # The same while the chance is still below the least one.
FULL_ROOM = 0.999  # Above it, the room is not limited any more.
SLOW_INCREASE = 0.1  # Growth in one round above the room at which the service failed again.
RELAPSE_S = 5.0  # A service that has failed again gets its calls more slowly for this time.
PROBING_SHARE = 0.04  # Least room, as a share of the calls.
PROBES_PER_S = 10.0  # Least room in root calls of the whole fleet.
MIN_RELAPSE_ROOM = 0.3  # A failure at less room than this is a probe that failed, no relapse.
MAX_CALL_DEPTH = 25  # Levels of nested calls that are followed; this also ends call cycles.
MIN_CALLS_PER_ROOT = 0.01  # Below it, a route does not count as needing a service.

log = structlog.get_logger("plan")


@dataclass(frozen=True, slots=True)
class CallGraph:
    """What the plan knows of the routes.

    `calls` holds the mean number of sub-calls by callee for each route, `services` the service that
    each route leads to, and `offered` the root calls per second by route.
    """

    calls: Mapping[str, Mapping[str, float]]
    services: Mapping[str, str]
    ranks: Mapping[str, int]
    offered: Mapping[str, float]

    def routes_below(self, route: str) -> dict[str, float]:
        """Returns how many calls of each route one call causes, over all levels."""
        found: dict[str, float] = {}
        level = dict(self.calls.get(route, {}))
        for _ in range(MAX_CALL_DEPTH):
            below: dict[str, float] = {}
            for name, number in level.items():
                found[name] = found.get(name, 0.0) + number
                for callee, times in self.calls.get(name, {}).items():
                    below[callee] = below.get(callee, 0.0) + number * times
            level = {name: number for name, number in below.items() if number > MIN_CALLS_PER_ROOT}
            if not level:
                break
        return found

    def calls_to(self, service: str, route: str) -> float:
        """Returns how many calls to a service one root call of a route causes."""
        return sum(
            number
            for name, number in self.routes_below(route).items()
            if self.services.get(name) == service
        )


@dataclass(slots=True)
class _Tally:
    """Decayed outcomes of the calls of one route that one node has made."""

    succeeded: float = 0.0
    failed: float = 0.0


@dataclass(slots=True)
class _Gate:
    """The room left for root calls that need a service, as a share of all calls to it.

    The room grows fast up to `fast_until`. `independent` holds the routes that can do without.
    """

    room: float = 1.0
    fast_until: float = 1.0
    is_growing: bool = False
    relapsed_at: float = -math.inf
    returned_at: float = -math.inf
    independent: frozenset[str] = field(default_factory=frozenset)

    def is_independent(self, route: str, chance: float, rate: float | None) -> bool:
        """Returns whether a route can do without the sub-calls that fail.

        `rate` is the success rate of its calls, None if there are too few.
        """
        if chance > CERTAIN_CHANCE:
            return route in self.independent or self.room >= 1.0
        if rate is None or chance >= MIN_CHANCE or self.is_growing:
            return route in self.independent
        return rate >= GOOD_CHANCE

    def update(self, chance: float, floor: float, now: float) -> None:
        """Adapts the room to the chance of the root calls that need the service."""
        if chance < MIN_CHANCE:
            least = max(floor, (chance / MIN_CHANCE) ** STEEPNESS)
            if self.room < least:
                self.room, self.is_growing = min(least, self.room * RISE), True
                return
            if self.room >= 1.0:
                if now < self.returned_at + RELAPSE_S:
                    self.fast_until, self.relapsed_at = 0.5, now
            elif self.is_growing and self.room >= MIN_RELAPSE_ROOM:
                self.fast_until, self.relapsed_at = self.room / 2, now
            self.is_growing = False
            self.room = max(least, self.room * max(MAX_DECREASE, chance / MIN_CHANCE))
        elif self.room < 1.0:
            if now > self.relapsed_at + RELAPSE_S:
                self.fast_until = 1.0
            surplus = min(1.0, (chance - MIN_CHANCE) / (GOOD_CHANCE - MIN_CHANCE))
            if self.room < self.fast_until:
                grown = self.room * (1.0 + (MAX_INCREASE - 1.0) * surplus)
                self.room = min(self.fast_until, grown)
            else:
                self.room += SLOW_INCREASE * surplus
            self.is_growing = True
            if self.room > FULL_ROOM:
                self.room, self.is_growing, self.returned_at = 1.0, False, now


class DependencyGates:
    """Decides which share of each route's root calls the fleet lets through."""

    def __init__(self) -> None:
        self.is_enabled = False
        self._tallies: dict[str, dict[str, _Tally]] = {}
        self._gates: dict[str, _Gate] = {}
        self._totals: dict[str, float] = {}
        self._updated_at = 0.0
        self._shares: dict[str, tuple[str, float]] = {}

    @property
    def shares(self) -> dict[str, tuple[str, float]]:
        """Returns the service that fails and the share let through, by limited route."""
        return self._shares

    def reset(self) -> None:
        """Discards everything learned, after a leader change."""
        self._tallies.clear()
        self._gates.clear()
        self._shares = {}

    def record(self, address: str, outcomes: Mapping[str, tuple[int, int]]) -> None:
        """Records how many calls of each route a node has seen succeed and fail."""
        if not self.is_enabled:
            return
        for route, (succeeded, failed) in outcomes.items():
            tally = self._tallies.setdefault(route, {}).setdefault(address, _Tally())
            tally.succeeded += succeeded
            tally.failed += failed

    def update(self, graph: CallGraph, now: float) -> None:
        """Updates the shares for the present load."""
        self._decay(now)
        self._shares = {}
        if not self.is_enabled:
            self._gates.clear()
            return
        rates = self._success_rates(graph)
        roots = {route: rate for route, rate in graph.offered.items() if graph.calls.get(route)}
        failing = {
            self._failing_service(graph, rates, callee, MAX_CALL_DEPTH)
            for route in roots
            for callee in graph.calls[route]
            if rates.get(callee, 1.0) < 1.0 and self._totals[callee] >= MIN_CALLS
        }
        for service in sorted(failing | self._gates.keys()):
            self._update_gate(service, graph, rates, roots, now)

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._updated_at - now) / AVERAGING_TIME_S)
        self._updated_at = now
        for route, by_node in list(self._tallies.items()):
            for address, tally in list(by_node.items()):
                tally.succeeded *= factor
                tally.failed *= factor
                if tally.succeeded + tally.failed < 0.01:
                    del by_node[address]
            if not by_node:
                del self._tallies[route]

    def _success_rates(self, graph: CallGraph) -> dict[str, float]:
        """Returns the success rate by route, for routes with enough calls.

        The node with the most failures is left out: it may itself be cut off.
        """
        active = {service for service, gate in self._gates.items() if gate.room < 1.0}
        rates = {}
        self._totals = {}
        for route, by_node in self._tallies.items():
            tallies = sorted(by_node.values(), key=lambda item: item.failed)
            tallies = tallies[:-1] or tallies
            succeeded = sum(item.succeeded for item in tallies)
            total = succeeded + sum(item.failed for item in tallies)
            reached = {graph.services.get(name) for name in (route, *graph.routes_below(route))}
            self._totals[route] = total
            if total >= (MIN_ROOT_CALLS if reached & active else MIN_CALLS):
                rates[route] = (succeeded + PRIOR_CALLS) / (total + PRIOR_CALLS)
        return rates

    def _chance(
        self, graph: CallGraph, rates: dict[str, float], route: str, service: str, depth: int
    ) -> float:
        """Returns how likely the sub-calls of one call all succeed as far as a service goes."""
        chance = 1.0
        for callee, number in graph.calls.get(route, {}).items():
            if callee not in rates:
                rate = self._chance(graph, rates, callee, service, depth - 1) if depth else 1.0
            elif self._failing_service(graph, rates, callee, depth) == service:
                rate = rates[callee]
            else:
                rate = 1.0
            chance *= rate**number
        return chance

    def _failing_service(
        self, graph: CallGraph, rates: dict[str, float], route: str, depth: int
    ) -> str:
        """Returns the service that most failures of a route's calls come from."""
        below = [
            (rates[callee] ** number, callee)
            for callee, number in graph.calls.get(route, {}).items()
            if callee in rates
        ]
        explained = 1.0 - math.prod(chance for chance, _ in below)
        if depth and below and explained > (1.0 - rates.get(route, 1.0)) / 2:
            return self._failing_service(graph, rates, min(below)[1], depth - 1)
        return graph.services.get(route, "")

    def _update_gate(
        self,
        service: str,
        graph: CallGraph,
        rates: dict[str, float],
        roots: dict[str, float],
        now: float,
    ) -> None:
        calls = {route: graph.calls_to(service, route) for route in roots}
        chances = {
            route: self._chance(graph, rates, route, service, MAX_CALL_DEPTH)
            for route, number in calls.items()
            if number > MIN_CALLS_PER_ROOT
        }
        gate = self._gates.get(service, _Gate())
        gate.independent = frozenset(
            route
            for route, chance in chances.items()
            if gate.is_independent(route, chance, rates.get(route))
        )
        members = [route for route in chances if route not in gate.independent]
        offered = sum(roots[route] for route in members)
        if offered <= 0:
            if gate.room < 1.0 or now >= gate.returned_at + RELAPSE_S:
                self._gates.pop(service, None)
            return
        chance = sum(roots[route] * chances[route] for route in members) / offered
        previous_room = gate.room
        requested = {route: roots[route] * calls[route] for route in members}
        probes = PROBES_PER_S * max(calls[route] for route in members)
        floor = min(1.0, max(PROBING_SHARE, probes / sum(requested.values())))
        gate.update(chance, floor, now)
        if gate.room < 1.0 or now < gate.returned_at + RELAPSE_S:
            self._gates[service] = gate
        else:
            self._gates.pop(service, None)
        if gate.room < 1.0 <= previous_room:
            log.warning(
                "dependency.unreachable",
                service=service,
                chance=round(chance, 3),
                success={name: round(rate, 3) for name, rate in rates.items() if rate < 1.0},
                routes=sorted(members),
            )
        elif previous_room < 1.0 <= gate.room:
            log.info("dependency.back", service=service, chance=round(chance, 3))
        if gate.room < 1.0:
            self._allocate(service, graph, requested, gate.room * sum(requested.values()))

    def _allocate(
        self, service: str, graph: CallGraph, requested: dict[str, float], room: float
    ) -> None:
        """Gives the room to the most important routes first."""
        for rank in sorted({graph.ranks.get(route, 0) for route in requested}):
            routes = [route for route in requested if graph.ranks.get(route, 0) == rank]
            total = sum(requested[route] for route in routes)
            share = min(1.0, room / total) if total > 0 else 1.0
            room = max(0.0, room - share * total)
            for route in routes:
                if share < self._shares.get(route, ("", 1.0))[1]:
                    self._shares[route] = (service, round(share, 4))
