"""Mesh nodes on loopback sockets for tests, with fake upstreams and raw HTTP callers."""

import asyncio
import contextlib
import random
import socket
import struct

import uvloop

from benches.fleets import free_address
from marjoramvalve.idempotency import OrderStore
from marjoramvalve.links import split_address
from marjoramvalve.mesh import MeshNode, MeshOptions, RootCallLimiter, UpstreamState
from marjoramvalve.model import key_digest, validate_document
from marjoramvalve.telemetry import set_up_logs

API_KEY = b"secret"
REQUEST_ID = "Marjoramvalve-Request-Id"


class UnlimitedLimiter:
    """Admits every call immediately."""

    def admit(self, customer):
        return 0.0

    def wait(self, customer, resume):
        raise AssertionError("admit never asks a call to wait")

    def give_back(self, customer):
        pass


class InMemoryOrderKeeper:
    """Stands in for the order records of the controllers; `pending` holds unanswered requests."""

    def __init__(self) -> None:
        self.store = OrderStore()
        self.is_reachable = True
        self.pending: list = []

    def begin(self, order, on_outcome):
        if self.is_reachable:
            outcome = self.store.begin(order, 0.0, 60.0)
            asyncio.get_running_loop().call_soon(on_outcome, outcome)
        else:
            self.pending.append((order, on_outcome))

    def finish(self, order, answer):
        self.store.finish(order, answer)

    def withdraw(self, order):
        self.store.withdraw(order)


class FakeUpstream:
    """Handles each request with a coroutine function of the request's text and a writer."""

    def __init__(self, respond) -> None:
        self.respond = respond
        self.requests: list[str] = []
        self.running = 0
        self.most_running = 0
        self.closed_early = 0
        self.address = free_address()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = int(header_value(head, "Content-Length") or 0)
                body = (await reader.readexactly(size)).decode()
                self.requests.append(head + body)
                self.running += 1
                self.most_running = max(self.most_running, self.running)
                response = asyncio.ensure_future(self._run(head + body, writer))
                disconnect = asyncio.ensure_future(reader.read(1))
                await asyncio.wait((response, disconnect), return_when=asyncio.FIRST_COMPLETED)
                if not response.done():
                    self.closed_early += 1
                    response.cancel()
                    break
                disconnect.cancel()
                await asyncio.gather(disconnect, return_exceptions=True)
        self._writers.discard(writer)
        writer.close()

    async def _run(self, request: str, writer) -> None:
        """Handles a request, which counts as running until `respond` returns."""
        try:
            await self.respond(request, writer)
        finally:
            self.running -= 1

    def close(self) -> None:
        self._server.close()

    def crash(self) -> None:
        """Stops listening and aborts every connection, as when the process crashes."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


def header_value(head: str, name: str) -> str | None:
    """Returns the value of a header field, or None if it is missing."""
    for line in head.split("\r\n"):
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


def ok_response(request: str, body: bytes = b"fine", extra: str = "") -> bytes:
    """Returns a complete 200 response to a request."""
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {header_value(request, REQUEST_ID)}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset_connection(writer) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def respond_immediately(request, writer):
    """Handles a request by responding immediately."""
    writer.write(ok_response(request))


def respond_after(event):
    """Returns a handler that responds once an event is set."""

    async def respond(request, writer):
        await event.wait()
        writer.write(ok_response(request))

    return respond


def make_document(**route_changes):
    """Returns a configuration with three routes to service s.

    `read` is repeatable, `order` is not, and `open` needs no API key.
    """
    route = {"service": "s", "deadline_ms": 2000, "objective_ms": 1000, "attempts": 2}
    document = {
        "routes": {
            "read": {**route, "path": "/read/"},
            "order": {**route, "path": "/order/", "repeatable": False},
            "open": {**route, "path": "/open/", "open": True},
        },
        "customers": {"shed": {"rate": 100, "burst": 100}},
        "keys": {key_digest(API_KEY.decode()): {"customer": "shed"}},
    }
    for name, change in route_changes.items():
        document["routes"][name].update(change)
    return validate_document(document).value


class Caller:
    """A caller's connection to a node."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, target: str, attempt: str, method="GET", extra="", body="", key="secret"):
        lines = [f"{method} {target} HTTP/1.1", "Host: any", f"{REQUEST_ID}: {attempt}"]
        if key:
            lines.append(f"Marjoramvalve-Key: {key}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n" + extra + "\r\n" + body).encode())

    async def read_response(self) -> tuple[int, str, bytes]:
        """Returns status, head and body of the next response."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        body = await self.reader.readexactly(int(header_value(head, "Content-Length") or 0))
        return int(head.split()[1]), head, body

    async def request(self, target: str, attempt: str, **options) -> tuple[int, str, bytes]:
        self.send(target, attempt, **options)
        return await self.read_response()


class MeshBench:
    """Nodes of one failure domain, each with its own upstream."""

    def __init__(self, loop_factory=uvloop.new_event_loop) -> None:
        set_up_logs("critical", "test")
        self.runner = asyncio.Runner(loop_factory=loop_factory)
        self.nodes: list[MeshNode] = []
        self.orders = InMemoryOrderKeeper()
        self.upstreams: list[FakeUpstream] = []

    def run(self, coro):
        """Runs a coroutine; raises TimeoutError after 20 seconds."""

        async def bounded():
            async with asyncio.timeout(20):
                return await coro

        return self.runner.run(bounded())

    async def add_node(
        self, respond, service="s", slots=4, doc=None, drain_timeout_s=2.0, lame_duck_s=0.1
    ) -> MeshNode:
        """Starts a node and its upstream."""
        upstream = FakeUpstream(respond)
        await upstream.start()
        name = f"n{len(self.nodes)}"
        options = MeshOptions(
            name,
            "d",
            service,
            free_address(),
            free_address(),
            upstream.address,
            drain_timeout_s,
            lame_duck_s,
        )
        node = await self._start_node(options, len(self.nodes), doc)
        self.nodes.append(node)
        self.upstreams.append(upstream)
        self.set_upstream_state(node, f"i-{name}", slots)
        return node

    async def restart_node(self, node) -> MeshNode:
        """Starts another process of a closed node; its upstream has not announced itself yet."""
        number = self.nodes.index(node)
        self.nodes[number] = await self._start_node(node.options, 100 + number, None)
        return self.nodes[number]

    async def _start_node(self, options, seed, doc) -> MeshNode:
        root_call_limiter = RootCallLimiter(asyncio.get_running_loop().time, random.Random(1))
        rng = random.Random(seed)
        node = MeshNode(options, UnlimitedLimiter(), root_call_limiter, self.orders, rng)
        node.egress.is_config_confirmed = lambda: True
        await node.start()
        node.apply_config(1, doc or make_document())
        return node

    def set_upstream_state(self, node, instance, slots=4, ready=True, started_at_ms=1):
        """Announces the state of the upstream to its node."""
        service = node.options.service
        node.ingress.set_state(UpstreamState(instance, service, slots, ready, started_at_ms))

    async def connect_nodes(self) -> None:
        """Connects every node to every other one."""
        for node in self.nodes:
            others = [other for other in self.nodes if other is not node]
            node.set_peers(
                {
                    other.options.link_address: (other.options.name, other.options.service, True)
                    for other in others
                }
            )
            remote = node.egress.peers.remote.values()
            while not all(peer._welcome for peer in remote):
                await asyncio.sleep(0.005)

    async def connect_caller(self, node, source: str = "") -> Caller:
        """Returns a new connection to a node, by default from the node's own address."""
        host, port = split_address(node.options.callers_address)
        local = (source or host, 0)
        return Caller(*await asyncio.open_connection(host, port, local_addr=local))

    def close(self) -> None:
        """Closes all nodes and upstreams."""

        async def end():
            for node in self.nodes:
                await node.close()
            for upstream in self.upstreams:
                upstream.close()

        self.run(end())
        self.runner.close()
