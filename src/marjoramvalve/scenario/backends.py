"""Stand-in upstreams on virtual time, and the forwarder that reaches them."""

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
from marjoramvalve.retries import TokenMint
from marjoramvalve.scenario.deployments import Service
from marjoramvalve.scenario.loops import run_killable
from marjoramvalve.scenario.traces import Ran, Trace
from marjoramvalve.wire.messages import UpstreamInfo

POISON = "X-Poison"
COLD_S = 3.0
COLD_FACTOR = 4.0
SPREAD = 0.5
KEY_MARK = "mvk_shed-"
HANG_S = 1000.0


class Backend:
    """An upstream: it works on as many requests as it has slots, and queues some more."""

    def __init__(
        self,
        name: str,
        address: str,
        domain: str,
        service: Service,
        rng: random.Random,
        trace: Trace,
        mint: TokenMint,
        clock: Callable[[], float],
    ) -> None:
        self.name = name
        self.address = address
        self.domain = domain
        self.service = service
        self.sub_call: Callable[[str, str], Awaitable[int]] | None = None
        self.alive = True
        self.slow = 1.0
        self.failing = False
        self.incarnation = 1
        self.started_at = -1e9
        self._rng = rng
        self._trace = trace
        self._mint = mint
        self._clock = clock
        self._running: set[asyncio.Task] = set()
        self._line: deque[asyncio.Future] = deque()
        self.busy = 0

    def info(self) -> UpstreamInfo:
        """Returns what the upstream announces."""
        return UpstreamInfo(
            self.name,
            self.service.name,
            self.address,
            self.service.slots,
            self.service.connections,
            self.incarnation,
        )

    def start_anew(self) -> None:
        """Starts a new process, which is cold for a while."""
        self.alive = True
        self.incarnation += 1
        self.started_at = self._clock()

    def crash(self) -> None:
        """Ends the process; every request it runs loses its connection."""
        self.alive = False
        for task in list(self._running):
            task.cancel()
        self._line.clear()
        self.busy = 0

    async def serve(self, out: UpstreamRequest) -> BufferedResponse | NotSent | BrokenConnection:
        """Serves one request."""
        if not self.alive:
            return NotSent("connection refused")
        self._inspect(out)
        if len(self._running) >= self.service.connections:
            self._trace.over_connections += 1
        result = await run_killable(self._work(out), self._running)
        return BrokenConnection("connection closed", True) if result is None else result

    def _inspect(self, out: UpstreamRequest) -> None:
        if KEY_MARK in out.target or any(KEY_MARK in value for value in out.headers.values()):
            self._trace.leaked += 1

    async def _work(self, out: UpstreamRequest) -> BufferedResponse:
        if self.busy >= self.service.slots:
            self._trace.over_slots += 1
            if len(self._line) + self.busy >= self.service.connections:
                return BufferedResponse(503, CIMultiDict({h.RUN: "not-run"}), b"", True, False)
            await self._queue()
        self.busy += 1
        try:
            self._note_run(out)
            if out.headers.get(POISON):
                asyncio.get_running_loop().call_soon(self.crash)
                await asyncio.sleep(HANG_S)
            return await self._answer(out)
        finally:
            self.busy = max(0, self.busy - 1)
            if self._line:
                self._line.popleft().set_result(None)

    async def _queue(self) -> None:
        fut = asyncio.get_running_loop().create_future()
        self._line.append(fut)
        try:
            await fut
        except asyncio.CancelledError:
            if fut in self._line:
                self._line.remove(fut)
            raise

    def _note_run(self, out: UpstreamRequest) -> None:
        token = self._mint.open(out.headers.get(h.TOKEN, ""), 0)
        customer = token.customer if token else "?"
        order = out.headers.get(h.IDEMPOTENCY_KEY, "")
        self._trace.runs.append(
            Ran(
                self._clock(),
                self.name,
                self.service.name,
                out.headers.get(h.REQUEST_ID, ""),
                customer,
                order,
            )
        )

    def _work_time(self) -> float:
        factor = self.slow
        if self._clock() < self.started_at + COLD_S:
            factor *= COLD_FACTOR
        return self.service.work_s * factor * self._rng.uniform(1 - SPREAD, 1 + SPREAD)

    async def _answer(self, out: UpstreamRequest) -> BufferedResponse:
        if self.failing:
            return BufferedResponse(500, CIMultiDict(), b"", False, False)
        await asyncio.sleep(self._work_time())
        for below in self.service.calls:
            status = await self.sub_call(below, out.headers.get(h.TOKEN, ""))
            if status != 200:
                return BufferedResponse(503, CIMultiDict(), b"", False, False)
        body = out.headers.get(h.REQUEST_ID, "").encode()
        return BufferedResponse(200, CIMultiDict(), body, False, False)


class MemoryForwarder:
    """Reaches stand-in upstreams over the network of the world."""

    def __init__(self, find, delay, reachable) -> None:
        self._find = find
        self._delay = delay
        self._reachable = reachable

    async def start(self) -> None:
        """Does nothing."""

    async def close(self) -> None:
        """Does nothing."""

    async def send(
        self, address: str, out: UpstreamRequest
    ) -> BufferedResponse | NotSent | BrokenConnection:
        """Makes one attempt."""
        backend = self._find(address)
        if backend is None or not self._reachable(backend):
            await asyncio.sleep(1.0)
            return NotSent("connection timed out")
        await asyncio.sleep(self._delay(backend))
        result = await backend.serve(out)
        await asyncio.sleep(self._delay(backend))
        if not self._reachable(backend):
            await asyncio.sleep(HANG_S)
        return result
