"""Open-loop load over raw connections; latency is measured from when each request was due."""

import asyncio
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
SPIN_S = 0.0015  # Yields in a loop for the last part of a delay: timers are inexact.


def new_histogram() -> HdrHistogram:
    """Returns an empty latency histogram in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class Connection(asyncio.Protocol):
    """A client connection that carries one request at a time."""

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool
        self._buffer = b""
        self._response_size = -1
        self._due_at = 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self.transport = transport

    def send(self, request: bytes, due_at: float) -> None:
        """Sends a request that was due at `due_at`."""
        self._due_at = due_at
        self._buffer = b""
        self._response_size = -1
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Buffers the response; reports it to the pool once it is complete."""
        self._buffer += data
        if self._response_size < 0:
            head_end = self._buffer.find(b"\r\n\r\n")
            if head_end < 0:
                return
            head = self._buffer[:head_end].lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            self._response_size = head_end + 4 + length
        if len(self._buffer) >= self._response_size:
            status = int(self._buffer[9:12])
            self._pool.on_response(self, status, time.perf_counter() - self._due_at)

    def connection_lost(self, exc) -> None:
        """Reports the loss of the connection to the pool."""
        self._pool.on_connection_lost(self)


@dataclass(slots=True)
class LoadResult:
    """Holds latencies of 200 responses in microseconds, and the response count by status.

    `unsent` counts requests that found no idle connection.
    """

    latencies: HdrHistogram = field(default_factory=new_histogram)
    statuses: dict[int, int] = field(default_factory=dict)
    unsent: int = 0


class Pool:
    """A pool of connections to one address, each with at most one request."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._idle: list[Connection] = []
        self.result = LoadResult()
        self.in_flight = 0

    async def open_connections(self, count: int) -> None:
        """Opens a number of connections."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            _, conn = await loop.create_connection(lambda: Connection(self), *self._address)
            self._idle.append(conn)

    def send(self, request: bytes, due_at: float) -> None:
        """Sends a request over an idle connection; counts it as unsent if there is none."""
        if not self._idle:
            self.result.unsent += 1
            return
        self.in_flight += 1
        self._idle.pop().send(request, due_at)

    def on_response(self, conn: Connection, status: int, latency_s: float) -> None:
        """Counts a response and returns the connection to the pool."""
        self.in_flight -= 1
        self._idle.append(conn)
        statuses = self.result.statuses
        statuses[status] = statuses.get(status, 0) + 1
        if status == 200:
            self.result.latencies.record_value(max(1, int(latency_s * 1e6)))

    def on_connection_lost(self, conn: Connection) -> None:
        """Removes a closed connection from the pool."""
        if conn in self._idle:
            self._idle.remove(conn)

    def close(self) -> None:
        """Closes the idle connections."""
        for conn in list(self._idle):
            conn.transport.close()

    async def send_at_rate(self, request: bytes, rate: float, seconds: float) -> LoadResult:
        """Sends requests at a constant rate; waits up to 3 s for the last responses."""
        self.result = LoadResult()
        started_at = time.perf_counter()
        for index in range(int(rate * seconds)):
            due_at = started_at + index / rate
            delay = due_at - time.perf_counter() - SPIN_S
            if delay > 0:
                await asyncio.sleep(delay)
            while time.perf_counter() < due_at:
                await asyncio.sleep(0)
            self.send(request, due_at)
        give_up_at = time.perf_counter() + 3
        while self.in_flight and time.perf_counter() < give_up_at:
            await asyncio.sleep(0.01)
        return self.result
