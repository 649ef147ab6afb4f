"""Open-loop load over raw connections: latency counts from the time a call was due."""

import asyncio
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
TIMER_S = 0.0015


def histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


class Connection(asyncio.Protocol):
    """A client connection that carries one call at a time."""

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        self._buffer = b""
        self._need = -1
        self._due = 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def send(self, request: bytes, due: float) -> None:
        """Sends a request that was due at `due`."""
        self._due = due
        self._buffer = b""
        self._need = -1
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Collects the answer; ends the call once it is whole."""
        self._buffer += data
        if self._need < 0:
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self._buffer[:end].lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            self._need = end + 4 + length
        if len(self._buffer) >= self._need:
            status = int(self._buffer[9:12])
            self._pool.done(self, status, time.perf_counter() - self._due)

    def connection_lost(self, exc) -> None:
        """Forgets the connection."""
        self._pool.lost(self)


@dataclass(slots=True)
class Outcome:
    """Latencies in microseconds of good answers, and counts by status."""

    latencies: HdrHistogram = field(default_factory=histogram)
    statuses: dict[int, int] = field(default_factory=dict)
    unsent: int = 0


class Pool:
    """Connections to one address."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._where = (host, int(port))
        self._idle: list[Connection] = []
        self.outcome = Outcome()
        self.running = 0

    async def warm(self, count: int) -> None:
        """Opens connections."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            _, conn = await loop.create_connection(lambda: Connection(self), *self._where)
            self._idle.append(conn)

    def send(self, request: bytes, due: float) -> None:
        """Sends a call over an idle connection, where there is one."""
        if not self._idle:
            self.outcome.unsent += 1
            return
        self.running += 1
        self._idle.pop().send(request, due)

    def done(self, conn: Connection, status: int, latency_s: float) -> None:
        """Counts an answer."""
        self.running -= 1
        self._idle.append(conn)
        statuses = self.outcome.statuses
        statuses[status] = statuses.get(status, 0) + 1
        if status == 200:
            self.outcome.latencies.record_value(max(1, int(latency_s * 1e6)))

    def lost(self, conn: Connection) -> None:
        """Forgets a connection that has closed."""
        if conn in self._idle:
            self._idle.remove(conn)

    def close(self) -> None:
        """Closes the idle connections."""
        for conn in list(self._idle):
            conn.transport.close()

    async def drive(self, request: bytes, rate: float, seconds: float) -> Outcome:
        """Sends calls at an even rate for a while and returns what came of them."""
        self.outcome = Outcome()
        began = time.perf_counter()
        for number in range(int(rate * seconds)):
            due = began + number / rate
            delay = due - time.perf_counter() - TIMER_S
            if delay > 0:
                await asyncio.sleep(delay)
            while time.perf_counter() < due:
                await asyncio.sleep(0)
            self.send(request, due)
        end = time.perf_counter() + 3
        while self.running and time.perf_counter() < end:
            await asyncio.sleep(0.01)
        return self.outcome
