"""Connections in memory, for a node on virtual time whose other ends are played by a test."""

import asyncio
import random
import re
from collections.abc import Callable, Coroutine

import structlog

from marjoramvalve.links.frames import HEADER
from marjoramvalve.mesh import MeshNode, MeshOptions, RootCallLimiter, UpstreamState
from marjoramvalve.model import Document
from marjoramvalve.scenario.loops import VirtualLoop
from marjoramvalve.telemetry import set_up_logs
from tests.meshes import InMemoryOrderKeeper, UnlimitedLimiter

NODE_IP, CALLER_IP = "127.0.0.1", "127.0.0.9"
CALLERS, LINK, UPSTREAM, FAR_LINK = (f"{NODE_IP}:{port}" for port in (1, 2, 3, 4))
ANSWER_PATTERN = re.compile(rb"HTTP/1\.1 (\d+) [^\r\n]*\r\n")


class Wire(asyncio.Transport):
    """A connection whose far end is the test: `on_data` gets what the near end writes."""

    def __init__(self, protocol: asyncio.Protocol, on_data=None, caller_ip=CALLER_IP) -> None:
        super().__init__({"peername": (caller_ip, 9), "sockname": (NODE_IP, 1)})
        self.protocol = protocol
        self.on_data: Callable[[Wire, bytes], None] | None = on_data
        self.sent = bytearray()
        self.is_closed = False
        protocol.connection_made(self)

    def feed(self, data: bytes) -> None:
        """Passes data to the near end."""
        if not self.is_closed:
            self.protocol.data_received(data)

    def end(self) -> None:
        """Ends the connection from the far end."""
        if not self.is_closed and not self.protocol.eof_received():
            self.close()

    def frames(self) -> list[tuple[int, bytes]]:
        """Returns the frames that the near end has written."""
        found, offset = [], 0
        while offset < len(self.sent):
            length, kind = HEADER.unpack_from(self.sent, offset)
            offset += HEADER.size + length
            found.append((kind, bytes(self.sent[offset - length : offset])))
        return found

    def statuses(self) -> list[int]:
        """Returns the statuses of the final responses that the near end has written."""
        return [int(found) for found in ANSWER_PATTERN.findall(self.sent) if found >= b"200"]

    def write(self, data: bytes) -> None:
        if not self.is_closed:
            self.sent += data
            if self.on_data is not None:
                asyncio.get_running_loop().call_soon(self.on_data, self, data)

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close

    def is_closing(self) -> bool:
        return self.is_closed

    def write_eof(self) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0


class WireLoop(VirtualLoop):
    """An event loop on virtual time that connects to the far ends in `listeners`, by port."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[int, Callable[[Wire, bytes], None]] = {}
        self.problems: list[object] = []
        self.set_exception_handler(lambda loop, context: self.problems.append(context))

    async def create_connection(self, factory, host, port, **options):
        if port not in self.listeners:
            raise ConnectionRefusedError
        protocol = factory()
        return Wire(protocol, self.listeners[port]), protocol


def play(coro_function: Callable[[WireLoop], Coroutine]) -> list[object]:
    """Runs `coro_function(loop)`; returns what was logged or reported about exceptions."""
    set_up_logs("error", "test")
    loop = WireLoop()

    async def run() -> None:
        await coro_function(loop)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    with structlog.testing.capture_logs() as logs:
        loop.run_until_complete(run())
    loop.close()
    return loop.problems + [entry for entry in logs if "exc_info" in entry]


def make_node(document: Document, slots: int = 4) -> MeshNode:
    """Returns a node of service s that listens nowhere; with 0 slots its upstream is unknown."""
    clock = asyncio.get_running_loop().time
    options = MeshOptions("n", "d", "s", CALLERS, LINK, UPSTREAM)
    root_calls = RootCallLimiter(clock, random.Random(1))
    keeper, rng = InMemoryOrderKeeper(), random.Random(1)
    node = MeshNode(options, UnlimitedLimiter(), root_calls, keeper, rng)
    node.egress.is_config_confirmed = lambda: True
    node.apply_config(1, document)
    if slots:
        node.ingress.set_state(UpstreamState("i", "s", slots, True, 1))
    return node
