"""A stand-in upstream: an HTTP service that announces itself to the node beside it."""

import asyncio
import os
import signal
import time
from collections import Counter
from dataclasses import dataclass

import aiohttp
import fire
import uvloop
from aiohttp import web

HEARTBEAT_S = 0.5
ANSWER = b"x" * 512
CRASH_HEADER = "X-Crash"


@dataclass(frozen=True, slots=True)
class FakeUpstreamOptions:
    """What a stand-in upstream does. `calls` is a path of a sub-call made for each request.

    Above its slots it sheds, or with `queue` lets requests wait, as an upstream without limits.
    """

    name: str
    service: str
    listen: str
    node_control: str
    node_listen: str
    slots: int = 20
    connections: int = 200
    delay_ms: float = 5.0
    calls: str = ""
    queue: bool = False


class FakeUpstream:
    """Serves requests, sheds above its slots and keeps count of the runs of each order.

    Paths: `/_runs` gives the runs of each `Idempotency-Key`, `/_seen` the headers last seen,
    `/_set?delay_ms=` changes the delay.
    """

    def __init__(self, options: FakeUpstreamOptions) -> None:
        self.options = options
        self.delay_ms = options.delay_ms
        self.runs: Counter[str] = Counter()
        self.served = 0
        self.most_running = 0
        self.peak_over = 0
        self.leaving_at = 0.0
        self.late = 0
        self.leaked = 0
        self._running = 0
        self._room = asyncio.Semaphore(options.slots)
        self._started = time.monotonic()
        self._incarnation = int(time.time() * 1000)
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listens and announces itself."""
        app = web.Application(client_max_size=1 << 26, handler_args={"handler_cancellation": True})
        app.router.add_get("/_runs", self._show_runs)
        app.router.add_get("/_set", self._set)
        app.router.add_route("*", "/{tail:.*}", self._serve)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        )
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        host, _, port = self.options.listen.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self._task = asyncio.create_task(self._announce())

    async def close(self) -> None:
        """Stops at once."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()
        await self._runner.cleanup()

    def _url(self) -> str:
        return f"http://{self.options.node_control}/v1/upstreams/{self.options.name}"

    async def _announce(self) -> None:
        while True:
            body = {
                "service": self.options.service,
                "address": self.options.listen,
                "slots": self.options.slots,
                "connections": self.options.connections,
                "incarnation": self._incarnation,
                "uptime_s": time.monotonic() - self._started,
                "load": self._running / self.options.slots,
            }
            try:
                async with self._session.put(self._url(), json=body) as response:
                    await response.read()
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, patience_s: float = 10.0) -> None:
        """Drains as planned: no new work, then the rest finishes."""
        self._task.cancel()
        async with self._session.post(self._url() + "/drain") as response:
            await response.read()
        self.leaving_at = time.monotonic()
        end = self.leaving_at + patience_s
        quiet_since = time.monotonic()
        while time.monotonic() < end and time.monotonic() < quiet_since + 2.0:
            if self._running:
                quiet_since = time.monotonic()
            await asyncio.sleep(0.05)
        async with self._session.delete(self._url()) as response:
            await response.read()

    async def _serve(self, request: web.Request) -> web.Response:
        if self.leaving_at and time.monotonic() > self.leaving_at + 2.0:
            self.late += 1
        if "mvk_" in str(request.rel_url) + str(request.headers):
            self.leaked += 1
        body = await request.read()
        if self._running >= self.options.slots:
            self.peak_over += 1
        if self.options.queue:
            async with self._room:
                return await self._work(request, body)
        if self._running >= self.options.slots:
            return web.Response(status=503, headers={"Marjoramvalve-Run": "not-run"})
        if request.headers.get(CRASH_HEADER):
            os.kill(os.getpid(), signal.SIGKILL)
        return await self._work(request, body)

    async def _work(self, request: web.Request, body: bytes) -> web.Response:
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        order = request.headers.get("Idempotency-Key", "")
        if order:
            self.runs[order] += 1
        try:
            await asyncio.sleep(self.delay_ms / 1000)
            try:
                extra = await self._sub_call(request)
            except (aiohttp.ClientError, OSError):
                return web.Response(status=502)
            self.served += 1
            if request.path.endswith("/echo"):
                return web.Response(body=body)
            return web.Response(body=ANSWER, headers={"X-Upstream": self.options.name, **extra})
        finally:
            self._running -= 1

    async def _sub_call(self, request: web.Request) -> dict[str, str]:
        if not self.options.calls:
            return {}
        url = f"http://{self.options.node_listen}{self.options.calls}"
        headers = {"Marjoramvalve-Token": request.headers.get("Marjoramvalve-Token", "")}
        async with self._session.get(url, headers=headers) as response:
            await response.read()
            return {"X-Sub-Status": str(response.status)}

    async def _show_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.options.name,
                "runs": self.runs,
                "served": self.served,
                "most_running": self.most_running,
                "shed": self.peak_over,
                "late": self.late,
                "leaked": self.leaked,
            }
        )

    async def _set(self, request: web.Request) -> web.Response:
        self.delay_ms = float(request.query["delay_ms"])
        return web.Response()


async def _run(options: FakeUpstreamOptions) -> None:
    upstream = FakeUpstream(options)
    await upstream.start()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await upstream.leave()
    await upstream.close()


def serve(**options) -> None:
    """Runs a stand-in upstream until SIGTERM, upon which it drains and leaves."""
    uvloop.run(_run(FakeUpstreamOptions(**options)))


if __name__ == "__main__":
    fire.Fire(serve)
