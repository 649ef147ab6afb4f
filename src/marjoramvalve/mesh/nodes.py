"""A mesh node: the egress, the ingress and the links of one instance."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import structlog

from marjoramvalve.h1 import CallerServer, HeaderNames, IncomingRequest
from marjoramvalve.links import Listener, MemoryBudget
from marjoramvalve.mesh.announcements import UpstreamAnnouncements
from marjoramvalve.mesh.egress import Egress
from marjoramvalve.mesh.frames import Hello
from marjoramvalve.mesh.ingress import Ingress
from marjoramvalve.mesh.limiters import CustomerRateLimiter, OrderKeeper, RootCallAdmission
from marjoramvalve.mesh.local_responses import LocalResponder
from marjoramvalve.mesh.quarantines import Quarantine
from marjoramvalve.mesh.routes import RouteTable
from marjoramvalve.mesh.sessions import IngressServer
from marjoramvalve.mesh.stops import STOPPING_RETRY_AFTER_S, StopSchedule
from marjoramvalve.mesh.timers import DeadlineScheduler
from marjoramvalve.model import Document, Service
from marjoramvalve.outcomes import Reason

FLUSH_S = 0.4  # After a drain, for the responses to the calls that it has not finished.
MAX_LAME_DUCK_SHARE, MAX_FLUSH_SHARE = 2 / 3, 0.08  # Of the duration of a drain.
DRAIN_POLL_INTERVAL_S = 0.05  # How often a draining node checks for active calls.

log = structlog.get_logger("node")


@dataclass(frozen=True, slots=True)
class MeshOptions:
    """Options of a node. `drain_timeout_s` is the maximum duration of a planned stop.

    For the first `lame_duck_s` of it, the node serves as usual, because callers need time to notice
    that it is stopping; after that it refuses new work. `started_at_ms` is the start of this
    process in Unix milliseconds, 0 if unknown.
    """

    name: str
    domain: str
    service: str
    callers_address: str
    link_address: str
    upstream_address: str
    drain_timeout_s: float = 5.0
    lame_duck_s: float = 3.0
    names: HeaderNames = field(default_factory=HeaderNames)
    started_at_ms: int = 0


class MeshNode:
    """Handles the calls from and to one instance."""

    def __init__(
        self,
        options: MeshOptions,
        limiter: CustomerRateLimiter,
        root_call_admission: RootCallAdmission,
        keeper: OrderKeeper,
        rng: random.Random,
        memory: MemoryBudget | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.options = options
        self.incarnation = rng.getrandbits(62) | 1
        deadlines = DeadlineScheduler(loop)
        self.quarantine = Quarantine(options.names.customer)
        self.ingress = Ingress(
            options.names,
            options.service,
            deadlines,
            self.quarantine,
            UpstreamAnnouncements(options.started_at_ms),
        )
        self.memory = memory or MemoryBudget()
        self.ingress.pool.set_memory(self.memory)
        self.ingress.pool.set_address(options.upstream_address)
        hello = Hello(self.incarnation, options.name, options.domain)
        self.egress = Egress(
            options.names,
            options.service,
            hello,
            self.ingress,
            limiter,
            root_call_admission,
            deadlines,
            rng,
            self.quarantine,
            keeper,
        )
        self.egress.memory = self.memory
        self.memory.on_refusal = partial(self.egress.metrics.add, "memory_refused")
        self.sessions = IngressServer(self.ingress, options.service, self.incarnation)
        self.ingress.on_change = self.sessions.broadcast_state
        self.callers = CallerServer(
            options.names, self._handle, self._on_malformed_request, self.memory
        )
        self._responder = LocalResponder(self.egress.metrics, rng)
        self._listener = Listener(self.sessions)
        self.stopping = False
        self._drained = asyncio.Event()

    def _handle(self, request: IncomingRequest) -> None:
        """Passes a request to the egress, which decides whether there is time for it in a drain.

        Connections that the upstream keeps or opens during a drain are for sub-calls.
        """
        conn = request.conn
        is_for_upstream = self.callers.accepts_only_local and (conn.is_late or conn.serves_upstream)
        if is_for_upstream and self.egress.find_parent(request) is None:
            request.should_close = request.should_close or conn.is_late
            self._responder.refuse(request, Reason.STOPPING, 503, STOPPING_RETRY_AFTER_S)
        else:
            self.egress.handle(request)

    def _on_malformed_request(self, status: int, detail: bytes) -> None:
        log.info("request.unread", status=status, detail=detail)

    async def start(self) -> None:
        """Starts listening for callers and for links. Raises OSError."""
        await self._listener.start(self.options.link_address)
        await self.callers.start(self.options.callers_address)

    def apply_config(self, version: int, document: Document) -> None:
        """Applies a version of the configuration."""
        self.egress.table = RouteTable(version, document)
        self.callers.limits = document.callers
        body_bytes = document.callers.body_bytes
        if not self.memory.can_fit(body_bytes):
            log.warning("memory.short", body_bytes=body_bytes, held_bytes=self.memory.limit_bytes)
        self.quarantine.hold_s = document.policy.quarantine_s
        self.egress.spillovers.is_enabled = document.policy.spillover
        service = document.services.get(self.options.service)
        cold_start = service or Service()
        self.ingress.cold_start_timer.configure(cold_start.cold_rate, cold_start.warm_up_s)
        if service is not None:
            self.ingress.pool.max_connections = service.connections
            self.ingress.probe(service.health_path)
        log.info("config.applied", version=version, routes=len(document.routes))

    def set_peers(self, roster: dict[str, tuple[str, str, bool, str]]) -> None:
        """Keeps links to these ingress nodes.

        `roster` maps the address of a node to the fields of its PeerEntry.
        """
        self.egress.set_peers(roster)

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Sends nothing to the upstreams of these failure domains, nor lets others do so here."""
        self.egress.peers.evacuated = domains
        self.ingress.set_evacuated(self.options.domain in domains)

    def read_metrics(self) -> bytes:
        """Returns counters, gauges and histograms in the text format."""
        metrics = self.egress.metrics
        running, waiting = self.ingress.load
        metrics.set("calls_under_way", self.egress.active_calls)
        for service, spillover in self.egress.spillovers.services.items():
            metrics.set("spillover_share", spillover.share, service)
        metrics.set("upstream_running", running)
        metrics.set("upstream_waiting", waiting)
        metrics.set("upstream_limit", self.ingress.limit)
        metrics.set("upstream_work_percent", self.ingress.work_percent)
        metrics.set("upstream_ready", float(self.ingress.ready))
        metrics.set("upstream_connections_opened", self.ingress.pool.opened_connections)
        metrics.set("upstream_ends", self.ingress.crash_watch.crashes)
        metrics.set("upstream_rate_limited_calls", self.ingress.rate_log.refused_calls)
        metrics.set("upstream_requests_sent", self.ingress.sent_requests)
        metrics.set("evacuated_domains", len(self.egress.peers.evacuated))
        metrics.set("upstream_evacuated", float(self.ingress.is_evacuated))
        metrics.set("upstream_leaving", float(self.ingress.announcements.is_leaving))
        now = asyncio.get_running_loop().time()
        cold = self.ingress.announcements.cold_starts
        metrics.set("upstream_cold", float(cold.is_cold(now)))
        metrics.set("upstream_cold_rate_limit", cold.per_s or 0.0)
        announced = self.ingress.announcements.rate_limiter
        is_announced = announced.announced_per_s is not None
        metrics.set("upstream_rate_limited", float(is_announced))
        metrics.set("upstream_rate_limit", announced.per_s if is_announced else 0.0)
        metrics.set("upstream_rate_limit_age_seconds", now - announced.changed_at)
        metrics.set("requests_watched", len(self.quarantine.table))
        metrics.set("requests_held", sum(1 for _ in self.quarantine.table.quarantined(now)))
        metrics.set("caller_connections", len(self.callers.connections))
        metrics.set("memory_held_bytes", self.memory.used_bytes)
        metrics.set("memory_limit_bytes", self.memory.limit_bytes or 0)
        table = self.egress.table
        metrics.set("config_version", table.version if table is not None else 0)
        metrics.set("config_confirmed", float(self.egress.is_config_confirmed()))
        return metrics.render()

    async def drain(self, clock: Callable[[], float]) -> None:
        """Drains the node: serves as usual at first, then only finishes active calls.

        The upstream may make sub-calls as long as it runs requests. Returns when no call is active
        and the egresses have received their outcomes. Calls that are still active after
        `drain_timeout_s` are answered: those that wait are refused, and those that run fail.
        A second drain waits for the first one.
        """
        if self.stopping:
            await self._drained.wait()
            return
        self.stopping = True
        started_at = clock()
        drain_timeout_s = self.options.drain_timeout_s
        ends_at = started_at + drain_timeout_s
        lame_duck_s = min(self.options.lame_duck_s, MAX_LAME_DUCK_SHARE * drain_timeout_s)
        now = asyncio.get_running_loop().time()
        schedule = StopSchedule(now + lame_duck_s, now + drain_timeout_s)
        self.egress.stop_schedule = self.ingress.stop_schedule = schedule
        running, waiting = self.ingress.load
        log.info("node.draining", calls=self.egress.active_calls, running=running, waiting=waiting)
        await asyncio.sleep(lame_duck_s)
        self.ingress.stop_accepting()
        self.callers.accept_only_local()
        await self._finish_calls(clock, ends_at)
        log.info(
            "node.drained",
            after_s=round(clock() - started_at, 2),
            calls=self.egress.active_calls,
            running=self.ingress.load[0],
        )
        self.egress.answer_all()
        self.ingress.fail_running()
        await self._finish_calls(clock, ends_at + min(FLUSH_S, MAX_FLUSH_SHARE * drain_timeout_s))
        now = asyncio.get_running_loop().time()
        self.egress.stop_schedule = StopSchedule(now, now)  # Also if the drain has ended early.
        self._drained.set()

    async def _finish_calls(self, clock: Callable[[], float], until: float) -> None:
        """Closes connections as their calls end, until all have ended or until a time."""
        while clock() < until:
            self.egress.recall_late()
            is_upstream_running = self.ingress.load[0] > 0
            self.callers.close_after_pending(keep_upstream=is_upstream_running)
            if not is_upstream_running:
                self.callers.stop_listening()
            has_unacknowledged = self.sessions.has_unacknowledged()
            if not (
                is_upstream_running
                or has_unacknowledged
                or self.egress.active_calls
                or self.callers.is_busy()
            ):
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Closes every connection."""
        await self.callers.close()
        self.egress.close()
        await self._listener.close()
        self.sessions.close()
        self.ingress.pool.close()
        await asyncio.sleep(0)
