"""HTTP/1.1 server for callers."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator

from marjoramvalve.h1.callers import STALLED_REQUEST_S, CallerConnection
from marjoramvalve.h1.headers import HeaderNames
from marjoramvalve.h1.incoming import IncomingRequest
from marjoramvalve.links import Holding, MemoryBudget, split_address
from marjoramvalve.model import CallerLimits

BACKLOG = 1024
TIMEOUT_CHECK_INTERVAL_S = 0.5  # Timeouts of callers may fire this much late.
TURNS = 8  # Connections that are slow to parse and get their turn in one iteration of the loop.
FINISH_POLL_INTERVAL_S = 0.05  # How often a finishing server checks for pending requests.
MAX_UNSENT_BYTES_IN_TOTAL = 64 << 20  # Above it, the callers with most of them are disconnected.


class CallerServer:
    """Listens for callers and passes their requests to `handler`.

    `on_request_error` gets the status and the detail of each request that is rejected here. An
    auxiliary server is one beside the main server of the process, for a few known peers.
    """

    def __init__(
        self,
        names: HeaderNames,
        handler: Callable[[IncomingRequest], None],
        on_request_error: Callable[[int, bytes], None],
        memory: MemoryBudget | None = None,
        is_auxiliary: bool = False,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.handler = handler
        self.on_request_error = on_request_error
        self.limits = CallerLimits()
        self.connections: set[CallerConnection] = set()
        self.accepts_only_local = False
        self.held_bytes = 0  # Of all connections.
        self._deferred: deque[CallerConnection] = deque()
        self._are_turns_scheduled = False
        self.memory = memory or MemoryBudget()
        self._max_connections = (
            self.memory.max_auxiliary_connections if is_auxiliary else self.memory.max_connections
        )
        self.memory.sources.append(self._holdings)
        lowered = names.lowered()
        self.fields_by_header = {lowered[field]: field for field in ("attempt", "deadline", "key")}
        self.fields_by_header |= {b"host": "host", b"connection": "connection", b"expect": "expect"}
        self.fields_by_header |= {b"content-length": "length", b"transfer-encoding": "length"}
        self.fields_by_header[b"idempotency-key"] = "order"
        self.reserved_headers = {lowered[field] for field in ("customer", "caller", "expect")}
        self._server: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Starts to listen at `host:port`. Raises OSError."""
        host, port = split_address(address)
        self._server = await self.loop.create_server(
            self.make_connection, host, port, backlog=BACKLOG
        )
        self._timeout_timer = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def _check_timeouts(self) -> None:
        now = self.loop.time()
        for conn in list(self.connections):
            conn.check_timeouts(now, self.limits)
        if self.memory.limit_bytes is None:
            self._limit_unsent_bytes()
        self._timeout_timer = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def _limit_unsent_bytes(self) -> None:
        unsent = {conn: size for conn in self.connections if (size := conn.unsent_bytes)}
        excess = sum(unsent.values()) - MAX_UNSENT_BYTES_IN_TOTAL
        for conn in sorted(unsent, key=unsent.get, reverse=True):
            if excess <= 0:
                return
            conn.abort()
            excess -= unsent[conn]

    def _holdings(self) -> Iterator[Holding]:
        for conn in self.connections:
            if size := conn.dispensable_bytes:
                yield Holding(size, conn.moved_at, conn.give_up)

    def defer(self, conn: CallerConnection) -> None:
        """Lets a connection go on parsing in its turn, so that the others are served meanwhile."""
        self._deferred.append(conn)
        if not self._are_turns_scheduled:
            self._are_turns_scheduled = True
            self.loop.call_soon(self._take_turns)

    def _take_turns(self) -> None:
        turns = min(TURNS, len(self._deferred))
        self._are_turns_scheduled = len(self._deferred) > turns
        if self._are_turns_scheduled:
            self.loop.call_soon(self._take_turns)
        for _ in range(turns):
            self._deferred.popleft().take_turn()

    def make_room(self) -> bool:
        """Returns whether one more connection may be open.

        Where too many are, the one that has been idle longest is closed, or else the one that only
        waits for its caller to close it, or else the one whose request has stalled longest is
        refused, or else the one whose responses have not been read for longest is closed.
        """
        if self._max_connections is None or len(self.connections) < self._max_connections:
            return True
        stalled_before = self.loop.time() - STALLED_REQUEST_S
        conns = [conn for conn in self.connections if not conn.is_aborted]
        for may_close, close in (
            (lambda conn: conn.is_idle, CallerConnection.give_up),
            (lambda conn: conn.is_lingering, CallerConnection.disconnect),
            (
                lambda conn: conn.is_arriving and conn.moved_at < stalled_before,
                CallerConnection.give_up,
            ),
            (
                lambda conn: conn.unsent_bytes and conn.moved_at < stalled_before,
                CallerConnection.disconnect,
            ),
        ):
            candidates = filter(may_close, conns)
            conn = min(candidates, key=lambda conn: conn.moved_at, default=None)
            if conn is not None:
                close(conn, "connections")
                return True
        return False

    def make_connection(self) -> CallerConnection:
        """Creates the protocol of a new connection."""
        return CallerConnection(self)

    def accept_only_local(self) -> None:
        """Closes new connections, except those from the node's own IP address."""
        self.accepts_only_local = True

    def stop_listening(self) -> None:
        """Stops accepting connections; the open ones stay."""
        if self._server is not None:
            self._server.close()

    def close_after_pending(self, keep_upstream: bool = False) -> None:
        """Closes idle connections now and the others after their pending responses.

        With `keep_upstream`, those that the upstream beside the node may use stay.
        """
        for conn in list(self.connections):
            if not (keep_upstream and (conn.serves_upstream or conn.is_late)):
                conn.close_after_pending()

    def is_busy(self) -> bool:
        """Returns whether closing now would lose a caller's request or response."""
        now = self.loop.time()
        return any(conn.is_busy(now) for conn in self.connections)

    async def finish_pending(self, timeout_s: float) -> None:
        """Stops listening, and closes each connection after the response to its last request.

        A request that has begun to arrive is still read, unless it stalls. Returns once no
        connection is busy, or after `timeout_s`; `close` then closes those that are left.
        """
        deadline = self.loop.time() + timeout_s
        self.stop_listening()
        self.close_after_pending()
        await asyncio.sleep(0)  # Lets connections that were just accepted register.
        self.close_after_pending()
        while self.is_busy() and self.loop.time() < deadline:
            await asyncio.sleep(FINISH_POLL_INTERVAL_S)
            self.close_after_pending()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self.stop_listening()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        for conn in list(self.connections):
            conn.close()
