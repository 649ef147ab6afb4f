"""Simulated upstreams on virtual time, and the in-memory forwarder that reaches them."""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable

from multidict import CIMultiDict

from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.forwarders import (
    BrokenConnection,
    BufferedResponse,
    NotSent,
    UpstreamRequest,
)
from marjoramvalve.retries import TokenSigner
from marjoramvalve.scenario.deployments import Service
from marjoramvalve.scenario.loops import run_in_process
from marjoramvalve.scenario.traces import RunStarted, Trace
from marjoramvalve.wire.messages import UpstreamInfo

POISON_HEADER = "X-Poison"
COLD_START_S = 3.0
COLD_START_SLOWDOWN = 4.0
WORK_TIME_SPREAD = 0.5
API_KEY_PREFIX = "mvk_shed-"
NO_RESPONSE_S = 1000.0


class Backend:
    """A simulated upstream: runs one request per slot and queues more, up to its connections."""

    def __init__(
        self,
        name: str,
        address: str,
        domain: str,
        service: Service,
        rng: random.Random,
        trace: Trace,
        signer: TokenSigner,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.address = address
        self.domain = domain
        self.service = service
        self.call_service: Callable[[str, str], Awaitable[int]] | None = None
        self.alive = True
        self.slowdown = 1.0
        self.failing = False
        self.incarnation = 1
        self.started_at = -1e9
        self._rng = rng
        self._trace = trace
        self._signer = signer
        self._clock = clock
        self._running: set[asyncio.Task] = set()
        self._slot_waiters: deque[asyncio.Future] = deque()
        self.busy_slots = 0

    def info(self) -> UpstreamInfo:
        """Returns the information that the upstream announces to its instance."""
        return UpstreamInfo(
            self.name,
            self.service.name,
            self.address,
            self.service.slots,
            self.service.connections,
            self.incarnation,
        )

    def restart(self) -> None:
        """Starts a new process; requests take longer for the first COLD_START_S seconds."""
        self.alive = True
        self.incarnation += 1
        self.started_at = self._clock()

    def crash(self) -> None:
        """Crashes the process; every request it runs loses its connection."""
        self.alive = False
        for task in list(self._running):
            task.cancel()
        self._slot_waiters.clear()
        self.busy_slots = 0

    async def serve(
        self, outgoing: UpstreamRequest
    ) -> BufferedResponse | NotSent | BrokenConnection:
        """Serves one request and records violations of the connection and slot limits."""
        if not self.alive:
            return NotSent("connection refused")
        self._check_for_key(outgoing)
        if len(self._running) >= self.service.connections:
            self._trace.over_connections += 1
        result = await run_in_process(self._process(outgoing), self._running)
        return BrokenConnection("connection closed", True) if result is None else result

    def _check_for_key(self, outgoing: UpstreamRequest) -> None:
        if API_KEY_PREFIX in outgoing.target or any(
            API_KEY_PREFIX in value for value in outgoing.headers.values()
        ):
            self._trace.leaked += 1

    async def _process(self, outgoing: UpstreamRequest) -> BufferedResponse:
        if self.busy_slots >= self.service.slots:
            self._trace.over_slots += 1
            if len(self._slot_waiters) + self.busy_slots >= self.service.connections:
                return BufferedResponse(503, CIMultiDict({h.RUN: "not-run"}), b"", True, False)
            await self._wait_for_slot()
        self.busy_slots += 1
        try:
            self._record_run(outgoing)
            if outgoing.headers.get(POISON_HEADER):
                asyncio.get_running_loop().call_soon(self.crash)
                await asyncio.sleep(NO_RESPONSE_S)
            return await self._respond(outgoing)
        finally:
            self.busy_slots = max(0, self.busy_slots - 1)
            if self._slot_waiters:
                self._slot_waiters.popleft().set_result(None)

    async def _wait_for_slot(self) -> None:
        slot_free = asyncio.get_running_loop().create_future()
        self._slot_waiters.append(slot_free)
        try:
            await slot_free
        except asyncio.CancelledError:
            if slot_free in self._slot_waiters:
                self._slot_waiters.remove(slot_free)
            raise

    def _record_run(self, outgoing: UpstreamRequest) -> None:
        token = self._signer.verify(outgoing.headers.get(h.TOKEN, ""), 0)
        customer = token.customer if token else "?"
        idempotency_key = outgoing.headers.get(h.IDEMPOTENCY_KEY, "")
        self._trace.runs.append(
            RunStarted(
                self._clock(),
                self.name,
                self.service.name,
                outgoing.headers.get(h.REQUEST_ID, ""),
                customer,
                idempotency_key,
            )
        )

    def _work_time(self) -> float:
        slowdown = self.slowdown
        if self._clock() < self.started_at + COLD_START_S:
            slowdown *= COLD_START_SLOWDOWN
        return (
            self.service.work_s
            * slowdown
            * self._rng.uniform(1 - WORK_TIME_SPREAD, 1 + WORK_TIME_SPREAD)
        )

    async def _respond(self, outgoing: UpstreamRequest) -> BufferedResponse:
        if self.failing:
            return BufferedResponse(500, CIMultiDict(), b"", False, False)
        await asyncio.sleep(self._work_time())
        for callee in self.service.calls:
            status = await self.call_service(callee, outgoing.headers.get(h.TOKEN, ""))
            if status != 200:
                return BufferedResponse(503, CIMultiDict(), b"", False, False)
        body = outgoing.headers.get(h.REQUEST_ID, "").encode()
        return BufferedResponse(200, CIMultiDict(), body, False, False)


class InMemoryForwarder:
    """Forwards requests to simulated upstreams with the delays of the simulated network."""

    def __init__(self, find_backend, delay, reachable) -> None:
        self._find_backend = find_backend
        self._delay = delay
        self._reachable = reachable

    async def start(self) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Does nothing."""

    async def send(
        self, address: str, outgoing: UpstreamRequest
    ) -> BufferedResponse | NotSent | BrokenConnection:
        """Makes one attempt; there is no response if the network is cut on the way back."""
        backend = self._find_backend(address)
        if backend is None or not self._reachable(backend):
            await asyncio.sleep(1.0)
            return NotSent("connection timed out")
        await asyncio.sleep(self._delay(backend))
        result = await backend.serve(outgoing)
        await asyncio.sleep(self._delay(backend))
        if not self._reachable(backend):
            await asyncio.sleep(NO_RESPONSE_S)
        return result
