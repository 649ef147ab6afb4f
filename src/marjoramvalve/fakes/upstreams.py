"""Fake upstream: an HTTP service that announces itself to the node on the same host."""

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
RESPONSE_BODY = b"x" * 512
CRASH_HEADER = "X-Crash"


@dataclass(frozen=True, slots=True)
class FakeUpstreamOptions:
    """Options of a fake upstream.

    `calls` is the path of a sub-call made for each request, if any. Requests above `slots` are
    shed, or with `queue` they wait, as at an upstream without limits.
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
    """Serves requests, sheds those above its slots and counts the runs of each idempotency key.

    Control paths: `/_runs` returns the runs of each `Idempotency-Key` and other counters, and
    `/_set?delay_ms=` changes the delay.
    """

    def __init__(self, options: FakeUpstreamOptions) -> None:
        self.options = options
        self.delay_ms = options.delay_ms
        self.runs: Counter[str] = Counter()
        self.served = 0
        self.most_running = 0
        self.over_limit = 0
        self.draining_since = 0.0
        self.late_requests = 0
        self.leaked_keys = 0
        self._running = 0
        self._free_slots = asyncio.Semaphore(options.slots)
        self._started_at = time.monotonic()
        self._incarnation = int(time.time() * 1000)
        self._runner: web.AppRunner | None = None
        self._client: aiohttp.ClientSession | None = None
        self._announce_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts listening and announcing itself to the node."""
        app = web.Application(client_max_size=1 << 26, handler_args={"handler_cancellation": True})
        app.router.add_get("/_runs", self._report_runs)
        app.router.add_get("/_set", self._set)
        app.router.add_route("*", "/{tail:.*}", self._serve)
        self._client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        )
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        host, _, port = self.options.listen.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self._announce_task = asyncio.create_task(self._announce())

    async def close(self) -> None:
        """Stops immediately."""
        self._announce_task.cancel()
        await asyncio.gather(self._announce_task, return_exceptions=True)
        await self._client.close()
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
                "uptime_s": time.monotonic() - self._started_at,
                "load": self._running / self.options.slots,
            }
            try:
                async with self._client.put(self._url(), json=body) as response:
                    await response.read()
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, timeout_s: float = 10.0) -> None:
        """Leaves gracefully: asks the node to drain it and waits until no request has run for 2 s.

        Leaves after `timeout_s` seconds in any case.
        """
        self._announce_task.cancel()
        async with self._client.post(self._url() + "/drain") as response:
            await response.read()
        self.draining_since = time.monotonic()
        deadline = self.draining_since + timeout_s
        idle_since = time.monotonic()
        while time.monotonic() < deadline and time.monotonic() < idle_since + 2.0:
            if self._running:
                idle_since = time.monotonic()
            await asyncio.sleep(0.05)
        async with self._client.delete(self._url()) as response:
            await response.read()

    async def _serve(self, request: web.Request) -> web.Response:
        if self.draining_since and time.monotonic() > self.draining_since + 2.0:
            self.late_requests += 1
        if "mvk_" in str(request.rel_url) + str(request.headers):
            self.leaked_keys += 1
        body = await request.read()
        if self._running >= self.options.slots:
            self.over_limit += 1
        if self.options.queue:
            async with self._free_slots:
                return await self._process(request, body)
        if self._running >= self.options.slots:
            return web.Response(status=503, headers={"Marjoramvalve-Run": "not-run"})
        if request.headers.get(CRASH_HEADER):
            os.kill(os.getpid(), signal.SIGKILL)
        return await self._process(request, body)

    async def _process(self, request: web.Request, body: bytes) -> web.Response:
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        key = request.headers.get("Idempotency-Key", "")
        if key:
            self.runs[key] += 1
        try:
            await asyncio.sleep(self.delay_ms / 1000)
            try:
                sub_call_headers = await self._sub_call(request)
            except (aiohttp.ClientError, OSError):
                return web.Response(status=502)
            self.served += 1
            if request.path.endswith("/echo"):
                return web.Response(body=body)
            return web.Response(
                body=RESPONSE_BODY, headers={"X-Upstream": self.options.name, **sub_call_headers}
            )
        finally:
            self._running -= 1

    async def _sub_call(self, request: web.Request) -> dict[str, str]:
        if not self.options.calls:
            return {}
        url = f"http://{self.options.node_listen}{self.options.calls}"
        headers = {"Marjoramvalve-Token": request.headers.get("Marjoramvalve-Token", "")}
        async with self._client.get(url, headers=headers) as response:
            await response.read()
            return {"X-Sub-Status": str(response.status)}

    async def _report_runs(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.options.name,
                "runs": self.runs,
                "served": self.served,
                "most_running": self.most_running,
                "shed": self.over_limit,
                "late": self.late_requests,
                "leaked": self.leaked_keys,
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
    """Runs a fake upstream until SIGTERM, then drains it and leaves."""
    uvloop.run(_run(FakeUpstreamOptions(**options)))


if __name__ == "__main__":
    fire.Fire(serve)
