"""Simulates a load on a call graph on virtual time, with the production egress and ingress code.

Each instance has the real egress, ingress and root call limiter, and the leader's admission plan is
real too. Links, upstreams and callers are models; hops between instances take no time.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import replace
from itertools import count

from msgspec import to_builtins

from marjoramvalve.fleet.messages import Report, Suspects, UpstreamEnded
from marjoramvalve.fleet.plans import AdmissionPlanner
from marjoramvalve.fleet.suspects import SuspectAggregator
from marjoramvalve.h1 import ExchangeFailure, HeaderNames, IncomingRequest, UpstreamResponse
from marjoramvalve.mesh import Ingress, Quarantine, RootCallLimiter, UpstreamState
from marjoramvalve.mesh.egress import Egress
from marjoramvalve.mesh.frames import Hello
from marjoramvalve.mesh.jobs import Job
from marjoramvalve.mesh.peers import LocalPeer
from marjoramvalve.mesh.routes import RouteTable
from marjoramvalve.mesh.timers import DeadlineScheduler
from marjoramvalve.model import Policy, validate_document
from marjoramvalve.node import LoadMeter
from marjoramvalve.retries import CrashedRun
from marjoramvalve.scenario.loads import (
    AnnouncedLimits,
    Departures,
    FatalRequest,
    GraphResult,
    GraphRoute,
    GraphService,
    GreyFailure,
    Outage,
    RouteTally,
    Shedding,
    Surge,
)
from marjoramvalve.scenario.loops import VirtualLoop

REPORT_INTERVAL_S = 0.3  # Interval of the nodes' reports to the leader.
DRAIN_S = 6.0  # Time for outstanding calls to finish after the last arrival.
CONTROLLER_ROUND_TRIP_S = 0.005  # From a report until all instances have the update.
RESTART_S = 3.0  # From the crash of an upstream until it listens again.
FATAL_PATH = b"/fatal"
SUCCESS_RESPONSE = UpstreamResponse(200, b"", b"", False)
ERROR_RESPONSE = UpstreamResponse(500, b"", b"", False)
SHED_RESPONSE = UpstreamResponse(503, b"", b"", True)


class _CallerConnection:
    """Models the connection of an external caller or of the local upstream."""

    is_local = True
    serves_upstream = False

    def __init__(self, on_response_received: Callable[[int, bytes], None]) -> None:
        self._on_response_received = on_response_received
        self.request: IncomingRequest | None = None

    def flush(self) -> None:
        output = self.request.take_response(False)
        self._on_response_received(int(output[9:12]), output)


class _ModelUpstream:
    """Models an upstream together with the connection pool to it."""

    def __init__(self, simulation: "CallGraphSimulation", node: "_Node", speed: float) -> None:
        self._simulation = simulation
        self._node = node
        self._speed = speed
        self._running: dict[object, None] = {}  # Ordered by start time.
        self._fatal_cancelled: set[object] = set()
        self._is_listening = True
        self.max_connections = 0

    def drop_idle(self) -> None:
        """Does nothing: the model has no idle connections."""

    def send(self, exchange) -> None:
        """Runs a request: half of its own work, then its calls, then the other half."""
        if not self._is_listening:
            self._simulation.loop.call_soon(
                exchange.on_failure, "refused", ExchangeFailure.NOT_SENT
            )
            return
        arrivals = self._simulation.result.arrivals.setdefault(self._node.name, [])
        arrivals.append(self._simulation.loop.time())
        is_full = len(self._running) >= self._node.service.slots
        if is_full or self._simulation.draw_shedding(self._node):
            self._simulation.loop.call_soon(self._respond, exchange, SHED_RESPONSE)
            return
        exchange.conn = self
        if FATAL_PATH in exchange.raw:
            self._simulation.result.fatal_runs.append(self._simulation.loop.time())
            self._running[exchange] = None
            delay_s = self._simulation.vary_s(self._simulation.fatal.crash_after_s)
            self._simulation.loop.call_later(delay_s, self._crash_on, exchange)
            return
        route = self._simulation.routes[exchange.raw.split(b"/", 2)[1].decode()]
        self._running[exchange] = None
        self._simulation.result.runs[self._node.service.name] += 1
        half_work_s = self._simulation.work_s(route, self._node.service.name) / self._speed / 2
        if len(self._running) >= 0.95 * self._node.service.slots:
            half_work_s *= self._node.service.full_slowdown
        self._simulation.loop.call_later(
            half_work_s, self._start_calls, exchange, route, half_work_s
        )

    def check_listening(self, on_done: Callable[[bool], None]) -> None:
        """Reports to the callback whether the upstream is listening."""
        self._simulation.loop.call_soon(on_done, self._is_listening)

    def _crash_on(self, exchange) -> None:
        if exchange in self._running or exchange in self._fatal_cancelled:
            self._simulation.result.fatal_crashes.append(self._simulation.loop.time())
            self.crash()

    def crash(self) -> None:
        """Crashes the upstream and fails its running requests; it restarts after RESTART_S."""
        if not self._is_listening:
            return
        self._is_listening = False
        running, self._running = self._running, {}
        self._fatal_cancelled.clear()
        for exchange in running:
            exchange.on_failure("end of stream", ExchangeFailure.CONNECTION_CLOSED)
        self._simulation.loop.call_later(RESTART_S, self._restart)

    def _restart(self) -> None:
        self._is_listening = True
        state = self._node.ingress.state
        self._node.ingress.set_state(replace(state, started_at_ms=state.started_at_ms + 1))

    def cancel(self, exchange) -> None:
        """Stops working on a request, unless it is the fatal one."""
        if exchange in self._running:
            del self._running[exchange]
            if FATAL_PATH in exchange.raw:
                self._fatal_cancelled.add(exchange)

    def _start_calls(self, exchange, route: GraphRoute, half_work_s: float) -> None:
        if exchange not in self._running:
            return
        if self._simulation.draw_failure(self._node.service.name):
            self._finish(exchange, ERROR_RESPONSE)
            return
        stages: list[list[str]] = []
        for name, times, concurrent in route.calls:
            stages += [[name] * times] if concurrent else [[name]] * times
        self._next_stage(exchange, stages, half_work_s)

    def _next_stage(self, exchange, stages: list[list[str]], half_work_s: float) -> None:
        if not stages:
            self._simulation.loop.call_later(half_work_s, self._finish, exchange, SUCCESS_RESPONSE)
            return
        pending = [len(stages[0])]

        def on_response_received(status: int, output: bytes) -> None:
            if exchange not in self._running:
                return
            if status != 200:
                self._finish(exchange, ERROR_RESPONSE)
                return
            pending[0] -= 1
            if not pending[0]:
                self._next_stage(exchange, stages[1:], half_work_s)

        for name in stages[0]:
            self._simulation.send_call(self._node, name, exchange.attempt, on_response_received)

    def _finish(self, exchange, response: UpstreamResponse) -> None:
        if exchange in self._running:
            self._running.pop(exchange, None)
            if response is not SUCCESS_RESPONSE:
                self._simulation.result.wasted[self._node.service.name] += 1
            self._respond(exchange, response)

    def _respond(self, exchange, response: UpstreamResponse) -> None:
        rate = self._simulation.announced_rate(self._node)
        if rate is not None:
            response = replace(response, rate_limits=(b"%g" % rate,))
        exchange.on_response(response)


class _IngressPeer(LocalPeer):
    """Calls another instance's ingress directly; its load is known from responses only."""

    @property
    def usable(self) -> bool:
        """Returns whether the upstream accepts calls."""
        self._update_limits()
        return self._ingress.ready


class _ModelEgress(Egress):
    """An egress that reaches its peers by direct method calls instead of links."""

    def set_peers(self, nodes: list["_Node"]) -> None:
        """Makes the ingresses of the given nodes the only peers."""
        self.peers.use_only(
            [_IngressPeer(node.name, node.service.name, node.ingress, self) for node in nodes]
        )


class _CountingIngress(Ingress):
    """An ingress that counts first attempts and retries in the result."""

    result: GraphResult
    service: str

    def submit(self, job: Job) -> None:
        """Counts a call and submits it."""
        counts = self.result.retries if job.is_retry else self.result.first_attempts
        counts[self.service] += 1
        super().submit(job)


class _NoRateLimiter:
    """Admits every call: customers have no rate limits in this simulation."""

    def admit(self, customer: str) -> float:
        return 0.0

    def give_back(self, customer: str) -> None:
        """Does nothing: no tokens are drawn."""


class _NoIdempotencyStore:
    """Stands in for the idempotency store; no call carries an idempotency key."""


class _Node:
    """One instance with its egress, ingress and modelled upstream."""

    def __init__(
        self, simulation: "CallGraphSimulation", name: str, service: GraphService, speed: float
    ) -> None:
        names = HeaderNames()
        loop = simulation.loop
        self.name = name
        self.service = service
        deadlines = DeadlineScheduler(loop)
        self.quarantine = Quarantine(names.customer)
        self.ingress = _CountingIngress(names, service.name, deadlines, self.quarantine)
        self.ingress.result = simulation.result
        self.ingress.service = service.name
        self.ingress.pool = _ModelUpstream(simulation, self, speed)
        self.ingress.set_state(UpstreamState(name, service.name, service.slots, True, 1))
        self.root_call_limiter = RootCallLimiter(loop.time, simulation.rng)
        hello = Hello(1, name, "")
        self.egress = _ModelEgress(
            names,
            service.name,
            hello,
            self.ingress,
            _NoRateLimiter(),
            self.root_call_limiter,
            deadlines,
            simulation.rng,
            self.quarantine,
            _NoIdempotencyStore(),
        )
        self.egress.is_config_confirmed = lambda: True
        self.meter = LoadMeter(
            self.ingress, self.root_call_limiter, loop.time, self.egress.call_outcomes.take
        )
        self.quarantine.hold_s = Policy().quarantine_s
        self.quarantine.on_crash = lambda runs: simulation.report_crash(self, runs)
        self.quarantine.on_cleared = simulation.report_cleared


class CallGraphSimulation:
    """Simulates a load on a call graph and collects the outcomes of the calls."""

    def __init__(
        self,
        services: tuple[GraphService, ...],
        routes: tuple[GraphRoute, ...],
        surges: tuple[Surge, ...] = (),
        seed: int = 1,
        with_plan: bool = True,
        fatal: FatalRequest | None = None,
        outages: tuple[Outage, ...] = (),
        grey: GreyFailure | None = None,
        limits: tuple[AnnouncedLimits, ...] = (),
        departures: Departures | None = None,
        shedding: Shedding | None = None,
        policy: Policy | None = None,
    ) -> None:
        self._shedding = shedding
        self._policy = policy or Policy()
        self._departures = departures
        self._limits = limits
        self.fatal = fatal
        self._outages = outages
        self._grey = grey
        self._suspect_aggregator = SuspectAggregator()
        self._crash_count = 0
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.routes = {route.name: route for route in routes}
        self._surges = surges
        self._services = services
        self._with_plan = with_plan
        self._planner = AdmissionPlanner()
        self._ids = count(1)
        self._nodes: list[_Node] = []
        names = [service.name for service in services]
        client_routes = [route.name for route in routes if route.calls_per_s]
        self.result = GraphResult(
            {name: RouteTally() for name in client_routes},
            dict.fromkeys(names, 0),
            dict.fromkeys(names, 0),
        )

    def work_s(self, route: GraphRoute, service: str) -> float:
        """Draws the work of one run, in seconds at an upstream speed of 1."""
        now = self.loop.time()
        slowdown = 1.0
        for surge in self._surges:
            if surge.slow_service == service and surge.begin_s <= now < surge.end_s:
                slowdown *= surge.slowdown
        return route.work_s * slowdown * self.rng.uniform(0.5, 1.5)

    def announced_rate(self, node: _Node) -> float | None:
        """Returns the rate that the upstream of a node announces now, or None."""
        now = self.loop.time()
        index = int(node.name.rpartition("-")[2])
        for item in self._limits:
            is_affected = item.service == node.service.name and index < len(item.rates)
            if is_affected and item.begin_s <= now < item.end_s:
                return item.rates[index]
        return None

    def vary_s(self, time_s: float) -> float:
        """Returns a time of the fatal request, in seconds, varied by its jitter."""
        if not self.fatal.jitter:
            return time_s
        return time_s * self.rng.uniform(1 - self.fatal.jitter, 1 + self.fatal.jitter)

    def draw_failure(self, service: str) -> bool:
        """Draws whether a run of a service fails because of a grey failure."""
        grey = self._grey
        return (
            grey is not None and grey.service == service and self.rng.random() < grey.failure_share
        )

    def draw_shedding(self, node: _Node) -> bool:
        """Draws whether the upstream of a node refuses a request although it has room."""
        shedding = self._shedding
        if shedding is None or shedding.service != node.service.name:
            return False
        index = int(node.name.rpartition("-")[2])
        return (
            shedding.begin_s <= self.loop.time() < shedding.end_s
            and (shedding.upstreams is None or index < shedding.upstreams)
            and self.rng.random() < shedding.share
        )

    def run(self, duration_s: float) -> GraphResult:
        """Runs the simulation with arrivals during `duration_s` and returns its result."""
        self.loop.run_until_complete(self._run(duration_s))
        self.loop.close()
        return self.result

    async def _run(self, duration_s: float) -> None:
        document = validate_document(
            {
                "routes": {
                    route.name: {
                        "path": f"/{route.name}/",
                        "service": route.service,
                        "deadline_ms": int(route.deadline_s * 1000),
                        "objective_ms": int(route.objective_s * 1000),
                        "rank": route.rank,
                        "repeatable": route.repeatable,
                        "attempts": 2,
                        "open": True,
                    }
                    for route in self.routes.values()
                },
                "policy": to_builtins(self._policy),
            }
        ).value
        for service in self._services:
            for index, speed in enumerate(service.speeds):
                self._nodes.append(_Node(self, f"{service.name}-{index}", service, speed))
        self._planner.set_document(document)
        for node in self._nodes:
            node.egress.set_peers(self._nodes)
            node.egress.table = RouteTable(1, document)
            self.loop.call_later(REPORT_INTERVAL_S * self.rng.random(), self._send_report, node)
        for name, at in self._arrivals(duration_s):
            self.loop.call_at(at, self._start_call, name)
        for outage in self._outages:
            self.loop.call_at(outage.at_s, self._apply_outage, outage)
        if self.fatal is not None:
            self.loop.call_at(self.fatal.begin_s, self._send_fatal_request, duration_s)
        done = self.loop.create_future()
        self.loop.call_at(duration_s + DRAIN_S, done.set_result, None)
        await done

    def _send_report(self, node: _Node) -> None:
        now = self.loop.time()
        self._planner.record_report(node.name, node.service.name, node.meter.sample(), now)
        rate_limits = self._planner.node_rate_limits(node.name, now)
        if rate_limits is not None and self._with_plan:
            node.root_call_limiter.set_caps(rate_limits, self._planner.admitted_shares())
            node.root_call_limiter.dependencies.set(self._planner.unreachable_shares())
        self.loop.call_later(REPORT_INTERVAL_S, self._send_report, node)

    def _arrivals(self, duration_s: float) -> list[tuple[str, float]]:
        arrivals: list[tuple[float, str]] = []
        for route in self.routes.values():
            at = 0.0
            while route.calls_per_s:
                factor = 1.0
                for surge in self._surges:
                    if surge.begin_s <= at < surge.end_s:
                        factor *= surge.factor
                at += self.rng.expovariate(route.calls_per_s * factor)
                if at > duration_s:
                    break
                heapq.heappush(arrivals, (at, route.name))
        return [(name, at) for at, name in sorted(arrivals)]

    # Upstream crashes

    def _apply_outage(self, outage: Outage) -> None:
        nodes = [node for node in self._nodes if node.service.name == outage.service]
        for node in nodes[: outage.upstreams]:
            node.ingress.pool.crash()

    def _send_fatal_request(self, duration_s: float) -> None:
        fatal = self.fatal
        for number, node in enumerate(self.rng.sample(self._nodes, fatal.instances)):
            self.result.fatal_requests += 1
            self.loop.call_later(self.vary_s(number * fatal.gap_s), self._send_fatal_call, node)
        every_s = self.vary_s(fatal.every_s)
        if self.loop.time() + every_s < duration_s:
            self.loop.call_later(every_s, self._send_fatal_request, duration_s)

    def _send_fatal_call(self, node: _Node) -> None:
        fatal = self.fatal
        request = self.send_call(node, fatal.route, b"", lambda status, output: None, FATAL_PATH)
        if fatal.leave_after_s:
            self.loop.call_later(self.vary_s(fatal.leave_after_s), self._disconnect, request)

    def _disconnect(self, request: IncomingRequest) -> None:
        if request.on_disconnect is not None:
            request.on_disconnect()

    def report_crash(self, node: _Node, runs: list[CrashedRun]) -> None:
        """Reports a crash; all instances get the suspects after a controller round trip."""
        self._crash_count += 1
        report = Report(node.name, "", node.name, node.service.name, 1, 1, 0.0)
        ended = UpstreamEnded(self._crash_count, 0.0, node.quarantine.hold_s, tuple(runs))
        suspects = self._suspect_aggregator.record_end(report, ended, self.loop.time())
        self.loop.call_later(CONTROLLER_ROUND_TRIP_S, self._broadcast_suspects, suspects)

    def report_cleared(self, marks: tuple[bytes, ...]) -> None:
        """Clears requests that were answered from suspicion on all instances."""
        suspects = self._suspect_aggregator.merge(Suspects((), marks), self.loop.time())
        self.loop.call_later(CONTROLLER_ROUND_TRIP_S, self._broadcast_suspects, suspects)

    def _broadcast_suspects(self, suspects: Suspects | None) -> None:
        if suspects is None:
            return
        for node in self._nodes:
            node.quarantine.merge(suspects.listed, suspects.cleared, self.loop.time())

    # Calls

    def send_call(
        self,
        node: _Node,
        route: str,
        parent: bytes,
        on_response_received: Callable[[int, bytes], None],
        path: bytes = b"/1",
    ) -> IncomingRequest:
        """Sends a request into the egress of a node."""

        def on_response(status: int, output: bytes) -> None:
            self.result.quarantined += path != FATAL_PATH and b":quarantined" in output
            on_response_received(status, output)

        conn = _CallerConnection(on_response)
        request = conn.request = IncomingRequest(conn, self.loop.time())
        request.method = b"GET"
        request.target = b"/%b%b" % (route.encode(), path)
        request.host = b"any"
        request.attempt = b"%b%d" % (parent + b"." if parent else b"", next(self._ids))
        node.egress.handle(request)
        return request

    def _start_call(self, name: str) -> None:
        route = self.routes[name]
        started_at = self.loop.time()
        tally = self.result.tallies[name]
        tally.arrivals += 1
        path = b"/%d" % (self.rng.randint(1, route.paths) if route.paths > 1 else 1)
        self._attempt(route, path, started_at, tally, True)

    def _attempt(
        self,
        route: GraphRoute,
        path: bytes,
        started_at: float,
        tally: RouteTally,
        may_retry: bool,
    ) -> None:
        def on_response_received(status: int, output: bytes) -> None:
            elapsed_s = self.loop.time() - started_at
            if status == 200:
                tally.outcomes.append((started_at, True))
                is_timely = elapsed_s <= route.objective_s
                tally.timely += is_timely
                tally.late += not is_timely
                tally.value_earned += route.value if is_timely else route.late_value
                return
            retry_after_s = _retry_after_s(output) if status == 503 else 0.0
            is_retryable = may_retry and (status == 503 or route.repeatable)
            if is_retryable and elapsed_s + retry_after_s < route.deadline_s:
                self.loop.call_later(
                    retry_after_s, self._attempt, route, path, started_at, tally, False
                )
                return
            tally.outcomes.append((started_at, False))
            if status == 503:
                tally.refused += 1
            else:
                tally.failed += 1

        node = self.rng.choice(self._nodes)
        request = self.send_call(node, route.name, b"", on_response_received, path)
        departures = self._departures
        if departures is not None and self.rng.random() < departures.share:
            delay_s = self.rng.uniform(0.0, departures.within_s)
            self.loop.call_later(delay_s, self._disconnect, request)


def _retry_after_s(output: bytes) -> float:
    _, _, rest = output.partition(b"Retry-After: ")
    return float(rest.partition(b"\r\n")[0] or 0.0)
