"""Clients that don't behave in the soak test, and the memory that they make nodes hold."""

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field

import psutil

from tests.platform_fleet import CALLERS_PORT, Fleet, address

MIB = 1 << 20
CLIENTS = 64
MEMORY_MB, MAX_FDS = 140, 400  # Of each machine, as in its settings.
MAX_BODY_BYTES = 8 * MIB
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}
SAMPLE_S = 0.1


@dataclass(frozen=True)
class UnfinishedBody:
    """A body in pieces, announced or in chunks, that lacks its end."""

    size: int
    piece_bytes: int
    is_chunked: bool


@dataclass(frozen=True)
class AbandonedBody:
    """A whole body whose client leaves at once, or after its response."""

    size: int
    waits: bool


@dataclass(frozen=True)
class UnreadResponses:
    """Requests sent ahead whose responses nobody reads."""

    count: int


@dataclass(frozen=True)
class UnfinishedHead:
    """A head that lacks its end."""

    size: int


Behaviour = UnfinishedBody | AbandonedBody | UnreadResponses | UnfinishedHead


def draw_behaviour(rng: random.Random) -> Behaviour:
    """Returns what a client does next."""
    size = rng.choice((60_000, MIB, MAX_BODY_BYTES, 4 * MAX_BODY_BYTES))
    return rng.choice(
        (
            UnfinishedBody(size, rng.choice((4096, 65_536, MIB)), rng.random() < 0.5),
            AbandonedBody(min(size, MAX_BODY_BYTES), rng.random() < 0.5),
            UnreadResponses(rng.randint(2, 200)),
            UnfinishedHead(rng.randint(100, 20_000)),
        )
    )


@dataclass
class Crowd:
    """Clients of random behaviour at all nodes, and a watch on what the nodes take."""

    rng: random.Random
    fleet: Fleet
    nodes: tuple[int, ...]
    peaks: dict[int, int] = field(default_factory=dict)  # Resident bytes by node.
    sent: int = 0

    async def run(self, seconds: float) -> None:
        """Lets the clients send for some seconds."""
        if not seconds:
            return
        until = time.monotonic() + seconds
        watch = asyncio.create_task(self._watch())
        await asyncio.gather(*(self._run_client(number, until) for number in range(CLIENTS)))
        watch.cancel()

    async def _watch(self) -> None:
        while True:
            for number in self.nodes:
                with contextlib.suppress(psutil.Error):
                    process = psutil.Process(self.fleet.processes[number].pid)
                    size = process.memory_info().rss
                    self.peaks[number] = max(self.peaks.get(number, 0), size)
            await asyncio.sleep(SAMPLE_S)

    async def _run_client(self, client: int, until: float) -> None:
        rng = random.Random(self.rng.random())
        while time.monotonic() < until:
            writer = None
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(rng.uniform(0.5, 4.0)):
                    node = address(rng.choice(self.nodes))
                    reader, writer = await asyncio.open_connection(node, CALLERS_PORT)
                    self.sent += 1
                    await self._send(reader, writer, draw_behaviour(rng), f"x{self.sent}")
            if writer is not None:
                writer.transport.abort()
            await asyncio.sleep(rng.uniform(0.0, 0.2))

    async def _send(self, reader, writer, behaviour: Behaviour, attempt: str) -> None:
        head = (
            "POST /a/x HTTP/1.1\r\nHost: one.example\r\nX-Deadline-Ms: 2000\r\n"
            f"X-Credential: k1\r\nX-Attempt-Id: {attempt}\r\n"
        )
        match behaviour:
            case UnfinishedBody(size, piece_bytes, is_chunked):
                framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
                writer.write(f"{head}{framing}\r\n\r\n".encode())
                chunk = b"%x\r\n%b\r\n" % (piece_bytes, bytes(piece_bytes))
                for _ in range(max(1, (size - 1) // piece_bytes)):
                    writer.write(chunk if is_chunked else bytes(piece_bytes))
                    await writer.drain()
                await asyncio.sleep(10)
            case AbandonedBody(size, waits):
                writer.write(f"{head}Content-Length: {size}\r\n\r\n".encode() + bytes(size))
                await writer.drain()
                if waits:
                    await reader.readuntil(b"\r\n\r\n")
            case UnreadResponses(count):
                writer.transport.pause_reading()
                for number in range(count):
                    request = head.replace("POST", "GET").replace(attempt, f"{attempt}-{number}")
                    writer.write(f"{request}\r\n".encode())
                await asyncio.sleep(10)
            case UnfinishedHead(size):
                writer.write(f"{head}X-Padding: {'x' * size}".encode())
                await asyncio.sleep(10)

    def find_violations(self) -> list[str]:
        """Returns the nodes that took more than their machine has."""
        return [
            f"node {number} took {peak // MIB} MB of {MEMORY_MB}"
            for number, peak in self.peaks.items()
            if peak > MEMORY_MB * MIB
        ]
