"""Stand-ins of the users' platform: its operator, callers and backends, and processes of ours.

Every process has a loopback address of its own, as machines have on the platform.
"""

import asyncio
import contextlib
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tests.meshes import Caller
from tests.proxies import LinkProxy

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK_PREFIX = os.environ.get("TEST_NET", "127.0.77")  # Two runs on one machine need one each.
CONTROL_PORT, READY_PORT, CALLERS_PORT, UPSTREAM_PORT, METRICS_PORT = (
    18540,
    18546,
    18548,
    18547,
    9464,
)
NODE_LINK_PORT, CONTROLLER_LINK_PORT = 18543, 17000
PROXY_OFFSET = 100  # Added to a machine's number for the address of the proxy before its links.


def config(version="0000000c", **changes):
    """Returns a configuration as the platform's operator sends it."""
    path = {
        "name": "r-1",
        "pathPrefix": "/a/",
        "kind": "safe",
        "timeoutMs": 1000,
        "goalMs": 1500,
        "priority": 2,
        "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
        "attempts": 2,
        "public": False,
    }
    order = {
        **path,
        "name": "r-2",
        "pathPrefix": "/b/",
        "kind": "unsafe",
        "service": "s1",
        "priority": 0,
    }
    del order["split"]
    tree = {
        "version": version,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 20, "protocol": "h1", "tls": False}
            for name in ("s1", "s2")
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 73, "burst": 73},
            {"name": "t2", "apiKeys": ["k3"], "ratePerS": 0},
        ],
        "virtualHosts": [{"host": "One.example", "paths": [path, order]}],
    }
    path.update(changes.pop("path", {}))
    tree.update(changes)
    return json.dumps(tree).encode()


def heartbeat(**changes):
    """Returns a heartbeat."""
    tree = {
        "service": "s1",
        "address": "127.0.0.1:1",
        "zone": "z",
        "version": "v1",
        "capacity": 7,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 4,
        "born": 1000,
    }
    return json.dumps({**tree, **changes}).encode()


def settings_file(kind, number, folder, service=None, first=True, seeds=(1, 2, 3)):
    """Returns the settings of a process at an address of its own."""
    ip = address(number)
    listen = {"control": f"{ip}:{CONTROL_PORT}"}
    if kind != "core":
        ports = {"inbound": NODE_LINK_PORT, "outbound": CALLERS_PORT, "ready": READY_PORT}
        listen.update({name: f"{ip}:{port}" for name, port in ports.items()})
    return {
        "nodeName": f"{kind}-{number}",
        "zone": f"z{number % 3}",
        "ip": ip,
        "listen": listen,
        "internalPorts": [17000, 17015],
        "seeds": [f"{address(seed)}:{CONTROL_PORT}" for seed in seeds],
        "bootstrap": first,
        "dataDir": folder,
        "appAddr": f"{ip}:{UPSTREAM_PORT}" if service else None,
        "service": service,
        "bounds": {"revokeMs": 5000, "graceS": 6, "drainMs": 2000, "future": 1},
        "future": {"a": 1},
    }


def address(number: int) -> str:
    """Returns the loopback address of a machine."""
    return f"{LOOPBACK_PREFIX}.{number}"


async def send_request(number, port, method, path, body=b"", headers=""):
    """Makes one call at a machine; returns status, head and body."""
    reader, writer = await asyncio.open_connection(address(number), port)
    head = f"{method} {path} HTTP/1.1\r\nHost: one.example\r\n{headers}"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    try:
        return await Caller(reader, writer).read_response()
    finally:
        writer.close()


class Backend:
    """A backend beside a node. It notes each attempt that it begins to run."""

    def __init__(self, number: int, name: str, service="s1", work_s=0.0) -> None:
        self.number = number
        self.name = name
        self.service = service
        self.work_s = work_s
        self.heads: list[str] = []
        self.runs: dict[str, int] = {}
        self._seq = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, address(self.number), UPSTREAM_PORT)

    def close(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = re.search(r"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(size[1]) if size else 0)
                self.heads.append(head)
                found = re.search(r"X-Attempt-Id: (\S+)", head)
                attempt = found[1] if found else ""
                self.on_request(head)
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                await asyncio.sleep(self.work_s)
                extra = f"X-Attempt-Id: {attempt}\r\n" if attempt else ""
                extra += f"X-Instance-Id: {self.name}\r\nX-Server-Load: 0,0,5\r\n"
                extra += f"X-Server-Stamp: {attempt}\r\nContent-Length: {len(attempt)}\r\n\r\n"
                writer.write(f"HTTP/1.1 200 OK\r\n{extra}{attempt}".encode())
        writer.close()

    def on_request(self, head: str) -> None:
        """Is called as a request begins to run."""

    async def send_heartbeat(self, **changes) -> int:
        """Sends a heartbeat; returns the status of the answer."""
        self._seq += 1
        raw = heartbeat(service=self.service, seq=self._seq, **changes)
        path = f"/instances/{self.name}/heartbeat"
        return (await send_request(self.number, CONTROL_PORT, "POST", path, raw))[0]


class CrashingBackend(Backend):
    """A backend that ends when it begins to run a fatal request, and is back under another name.

    With it end all the requests that it runs. It says by heartbeats that it is there.
    """

    RESTART_DELAY_S = 0.6
    HEARTBEAT_INTERVAL_S = 0.2

    def __init__(self, number: int, name: str, service="s1", work_s=0.0) -> None:
        super().__init__(number, name, service, work_s)
        self.crashes: list[tuple[float, str]] = []
        self.tasks: set[asyncio.Task] = set()
        self._first_name = name
        self._writers: set[asyncio.StreamWriter] = set()
        self._born = 1000

    @property
    def crash_count(self) -> int:
        return len(self.crashes)

    async def start(self) -> None:
        await super().start()
        self._spawn(self._send_heartbeats())

    def close(self) -> None:
        super().close()
        for task in self.tasks:
            task.cancel()

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_heartbeats(self) -> None:
        crash_count = self.crash_count
        while crash_count == self.crash_count:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.send_heartbeat(born=self._born)
            await asyncio.sleep(self.HEARTBEAT_INTERVAL_S)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def on_request(self, head: str) -> None:
        target = head.split(" ")[1]
        if not target.startswith("/a/fatal"):
            return
        self.crashes.append((time.monotonic(), target))
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._spawn(self._restart_later())
        raise ConnectionResetError("the backend has ended")

    async def _restart_later(self) -> None:
        await asyncio.sleep(self.RESTART_DELAY_S)
        self.name = f"{self._first_name}-{self.crash_count}"
        self._born += 1
        self._seq = 0
        await self.start()


class Fleet:
    """Processes of ours. Only these are ever signalled, by their ids.

    With `proxied`, links go by way of a proxy before each process, where they can be spoiled.
    """

    def __init__(self, proxied: bool = False) -> None:
        self._proxied = proxied
        self.proxies: dict[int, LinkProxy] = {}
        self._temp_dir = tempfile.TemporaryDirectory()
        self.processes: dict[int, subprocess.Popen] = {}
        self._launched: dict[int, tuple] = {}

    def folder(self, number: int) -> Path:
        return Path(self._temp_dir.name) / f"data-{number}"

    def launch(self, kind, number, service=None, first=True) -> None:
        """Starts a controller (`core`) or a node."""
        self._launched[number] = (kind, number, service)
        self.folder(number).mkdir(exist_ok=True)
        file = Path(self._temp_dir.name) / f"{number}.json"
        folder = str(self.folder(number))
        seeds = tuple(seed + PROXY_OFFSET * self._proxied for seed in (1, 2, 3))
        file.write_text(json.dumps(settings_file(kind, number, folder, service, first, seeds)))
        variables = {"MARJORAMVALVE_SETTINGS": str(file)}
        if self._proxied:
            variables["MARJORAMVALVE_LINK_HOST"] = address(number + PROXY_OFFSET)
        log = open(Path(self._temp_dir.name) / f"{number}.log", "ab")
        self.processes[number] = subprocess.Popen(
            [sys.executable, "platform/run.py", "controller" if kind == "core" else "node"],
            cwd=ROOT,
            env={**os.environ, **variables},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def start_proxies(self, controllers, nodes) -> None:
        """Starts the proxies before the links of these machines."""
        ports = dict.fromkeys(controllers, CONTROLLER_LINK_PORT) | dict.fromkeys(
            nodes, NODE_LINK_PORT
        )
        for number, port in ports.items():
            listen, target = address(number + PROXY_OFFSET), address(number)
            proxy = self.proxies[number] = LinkProxy(f"{listen}:{port}", f"{target}:{port}")
            await proxy.start()

    def restart(self, number: int) -> None:
        """Starts a process once more that has ended."""
        self.launch(*self._launched[number], first=False)

    def kill(self, number: int) -> None:
        """Kills a process and waits for its end."""
        self.processes[number].kill()
        self.processes[number].wait()

    def wipe(self, number: int) -> None:
        """Empties the folder of a process that has ended."""
        for path in self.folder(number).iterdir():
            path.unlink()

    def read_logs(self) -> dict[int, str]:
        """Returns what each process has written."""
        folder = Path(self._temp_dir.name)
        return {number: (folder / f"{number}.log").read_text() for number in self._launched}

    def close(self) -> None:
        """Ends everything."""
        for proxy in self.proxies.values():
            proxy.close()
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._temp_dir.cleanup()


async def put_config(raw: bytes, base: str) -> int | None:
    """Puts a configuration at any controller that gives a clear answer."""
    for number in (1, 2, 3):
        headers = f"X-Base-Version: {base}\r\n"
        try:
            async with asyncio.timeout(4):
                status, _, _ = await send_request(
                    number, CONTROL_PORT, "POST", "/config/put", raw, headers
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            continue
        if status not in (307, 503):
            return status
    return None


async def read_config() -> dict | None:
    """Reads the configuration from whoever answers for the group."""
    for number in (1, 2, 3):
        try:
            async with asyncio.timeout(1):
                status, _, body = await send_request(number, CONTROL_PORT, "GET", "/config/get")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            continue
        if status == 200:
            return json.loads(body)
    return None


async def call_node(number, path, attempt, key="k1", deadline_ms=3000, extra=""):
    """Asks a node as a caller does; returns status, head and body."""
    headers = f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\nX-Credential: {key}\r\n"
    return await send_request(number, CALLERS_PORT, "GET", path, headers=headers + extra)


async def ready_status(number) -> int:
    """Returns the status with which a node says whether it is ready."""
    return (await send_request(number, READY_PORT, "GET", "/readyz"))[0]


async def wait_until(get_result, expected, limit_s=60) -> None:
    """Asks until the outcome is the wanted one. Raises TimeoutError."""
    async with asyncio.timeout(limit_s):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await get_result() == expected:
                    return
            await asyncio.sleep(0.1)
