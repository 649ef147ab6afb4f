"""Test harness: one node with its controller on loopback sockets, and raw TCP upstreams."""

import asyncio
import contextlib
import tempfile
from pathlib import Path

import uvloop

from benches.fleets import free_address
from marjoramvalve.controller import SubmitPatch, mark_new_group_folder
from marjoramvalve.daemon import Node
from marjoramvalve.settings import load_settings
from marjoramvalve.telemetry import set_up_logs
from marjoramvalve.wire.messages import UpstreamInfo

KEY = "mvk_A-b_c.~secret0123456789"


class NodeHarness:
    """Runs a node, its event loop and the upstreams that tests register."""

    def __init__(self, **flags) -> None:
        set_up_logs("critical", "test")
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self._directory = tempfile.TemporaryDirectory()
        folder = Path(self._directory.name)
        (folder / "secret").write_text("s" * 32)
        (folder / "data").mkdir()
        mark_new_group_folder(folder / "data")
        peer = free_address()
        settings = {
            "instance": "n1",
            "domain": "amman",
            "listen": free_address(),
            "control": free_address(),
            "peer": peer,
            "controllers": f"n1@{peer}",
            "data_dir": folder / "data",
            "fleet_secret_file": folder / "secret",
            "operator_credential_file": folder / "secret",
            "election_timeout": 0.1,
            "upstream_heartbeat": 1000,
            **flags,
        }
        self.cfg = load_settings(settings, {}).value
        self.node: Node | None = None
        self._patches = 0
        self._incarnation = 0
        self._servers: dict[str, asyncio.Server] = {}

    def run(self, coro):
        """Runs a coroutine on the event loop of the node."""
        return self.runner.run(coro)

    def start(self, document: bytes) -> None:
        """Starts the node and gives it a configuration."""
        self.run(self._start(document))

    async def _start(self, document: bytes) -> None:
        self.node = Node(self.cfg)
        assert await self.node.start() is None
        await self.wait_until(lambda: self.node.controller.is_leader())
        await self.wait_until(lambda: self.node.view.roster.members)
        await self.patch(document)
        await self.wait_until(lambda: self.node.context.is_current())

    async def patch(self, document: bytes) -> None:
        """Submits a merge patch and waits until the node has applied it."""
        state = self.node.controller.state
        self._patches += 1
        command = SubmitPatch(f"p{self._patches}", state.version, "merge", document, "", 0.0)
        verdict = await self.node.controller.submit(command, 5.0)
        assert verdict is not None and verdict.accepted, verdict
        await self.wait_until(lambda: self.node.view.version == verdict.version)

    async def wait_until(self, condition) -> None:
        """Polls until a condition holds. Raises TimeoutError after 30 seconds."""
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.01)

    async def upstream(self, service: str, handler, slots: int = 20, name: str = "") -> str:
        """Serves an upstream with a handler for its connections; returns its address."""
        name = name or service
        address = free_address()
        host, _, port = address.rpartition(":")
        old = self._servers.pop(name, None)
        if old is not None:
            old.close()
        self._servers[name] = await asyncio.start_server(handler, host, int(port))
        self._incarnation += 1
        info = UpstreamInfo(name, service, address, slots, 400, self._incarnation)
        self.node.upstreams.announce(info, self.node.context.clock(), 0.0)

        def is_known() -> bool:
            targets = self.node.slots._targets
            return name in targets and targets[name].info.incarnation == info.incarnation

        await self.wait_until(is_known)
        return address

    async def send_raw(self, request: bytes) -> bytes:
        """Sends raw bytes to the node and returns all it sends until it closes the connection."""
        host, _, port = self.cfg.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        response = b""
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(30):
                response = await self._read(reader)
        writer.close()
        return response

    async def _read(self, reader) -> bytes:
        received = b""
        while True:
            try:
                chunk = await reader.read(65536)
            except ConnectionResetError:
                return received
            if not chunk:
                return received
            received += chunk

    def close(self) -> None:
        """Stops the upstreams and the node, and removes its data."""
        self.run(self._close())
        self.runner.close()
        self._directory.cleanup()

    async def _close(self) -> None:
        for server in self._servers.values():
            server.close()
        await self.node.close()


async def read_request(reader) -> tuple[bytes, bytes]:
    """Reads an HTTP request; returns its head and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lowered_head = head.lower()
    if b"content-length:" in lowered_head:
        length = int(lowered_head.split(b"content-length:")[1].split(b"\r\n")[0])
        return head, await reader.readexactly(length)
    if b"transfer-encoding: chunked" in lowered_head:
        body = b""
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return head, body
    return head, b""


def respond_with(raw: bytes, heads: list | None = None, close: bool = True):
    """Returns a connection handler that responds to each request with the same raw bytes."""

    async def handle(reader, writer):
        try:
            while True:
                head, body = await read_request(reader)
                if heads is not None:
                    heads.append(head + body)
                writer.write(raw)
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return handle
