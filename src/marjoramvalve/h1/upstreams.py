"""HTTP/1.1 client for the local upstream.

A connection carries one exchange at a time. A response is passed on complete or not at all.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass
from enum import Enum, auto

import httptools
import structlog

from marjoramvalve.h1.headers import CONNECTION_HEADERS, HeaderNames
from marjoramvalve.links import (
    MAX_SMALL_BYTES,
    ChargedBuffer,
    Holding,
    MemoryBudget,
    split_address,
)

CONNECT_S = 1.0  # The upstream runs on the same machine, so no time is allowed for lost packets.
MAX_IDLE_S = 4.0  # Below the usual idle timeouts of upstreams.
IDLE_MARGIN_S = 1.0  # Upstreams announce their idle timeout in whole seconds.
REUSE_WINDOW_S = 0.25  # A connection idle for less is assumed to be open at the upstream too.
MAX_RESPONSE_BYTES = 64 << 20
MAX_NON_BODY_BYTES = 256 << 10  # Heads, interim responses, chunk sizes and trailers.
MAX_CHUNK_OVERHEAD = 8  # Framing bytes per body byte; enough for chunks of one byte.
MAX_BUFFERED_BYTES = 96 << 20  # Bodies of all responses in progress, over all connections.
MAX_REFUSED = 256  # Refused requests after which a connection is no longer used.
MAX_SLOTS = 1_000_000  # The most that an upstream can have.
MISDIRECTED = 421
INTERIM_STATUSES, FINAL_STATUSES = range(100, 200), range(200, 600)
LOAD_FIELDS = (3, 4)  # The fourth one, how long work takes at present, may be missing.

FORWARDED_FIELDS = frozenset(
    {"attempt", "rate_limit", "leaving", "cold"}
)  # Read, and passed on as well.

log = structlog.get_logger("upstreams")


def _parse_slots(load: bytes) -> int:
    """Returns the slot count in the value of a load header, 0 if it names none or too many."""
    parts = load.split(b",")
    digits = parts[2].strip().lstrip(b"0") if len(parts) in LOAD_FIELDS else b""
    if not digits.isdigit() or len(digits) > len(str(MAX_SLOTS)):
        return 0
    slots = int(digits)
    return slots if slots <= MAX_SLOTS else 0


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response.

    `head` holds the header lines to return to the caller. `not_run` is set if the upstream
    declared that it did not run the request. `rate_limits` holds the values of the headers in which
    it announced a rate, and `leaving` the value of the one in which it announced that it will stop.
    `cold` holds the value of the one that tells how long the upstream stays cold.
    """

    status: int
    head: bytes
    body: bytes
    not_run: bool
    load: bytes = b""
    instance: bytes = b""
    rate_limits: tuple[bytes, ...] = ()
    leaving: bytes = b""
    cold: bytes = b""


class ExchangeFailure(Enum):
    """Why an exchange failed.

    No connection could be made, the upstream closed it before the response was complete, or the
    response was rejected.
    """

    NOT_SENT = auto()
    CONNECTION_CLOSED = auto()
    RESPONSE_REJECTED = auto()


class Exchange:
    """A request to the upstream and its callbacks, of which one is called once.

    `raw` holds the encoded request, and is empty once the exchange is cancelled. A large body is
    not in it but in `body`. `attempt` is the
    request ID that the response must echo; if it is empty, any response is accepted.
    `on_response` gets the complete response; `on_failure` gets a detail and the kind of failure.
    """

    __slots__ = (
        "attempt",
        "body",
        "conn",
        "is_head",
        "on_response",
        "on_failure",
        "raw",
        "repeatable",
    )

    def __init__(
        self,
        raw: bytes,
        attempt: bytes,
        repeatable: bool,
        is_head: bool,
        on_response: Callable[[UpstreamResponse], None],
        on_failure: Callable[[str, ExchangeFailure], None],
        body: bytes | bytearray = b"",
    ) -> None:
        self.raw = raw
        self.body = body
        self.attempt = attempt
        self.repeatable = repeatable
        self.is_head = is_head
        self.on_response = on_response
        self.on_failure = on_failure
        self.conn: UpstreamConnection | None = None


class UpstreamConnection(asyncio.Protocol):
    """One connection to the upstream."""

    def __init__(self, pool: "UpstreamPool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self.exchange: Exchange | None = None
        self.idle_until = 0.0
        self.idle_since = 0.0
        self.buffered_bytes = 0  # Of the response body.
        self.received_at = 0.0
        self._refused: set[bytes] = set()
        # Bytes received since the request was sent, and how many of them were body bytes.
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._reset_response()

    def _reset_response(self) -> None:
        self._header_lines: list[bytes] = []
        self._discard_body()
        self._attempt: bytes | None = None
        self._not_run = False
        self._load = b""
        self._instance = b""
        self._rate_limits: list[bytes] = []
        self._leaving = b""
        self._cold = b""
        self._has_framing = False
        self._should_close = False
        self._keep_alive_s = MAX_IDLE_S + IDLE_MARGIN_S
        self._has_head = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can be used."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_sending(self) -> bool:
        """Whether the upstream has not taken all of the request yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def may_carry(self, exchange: Exchange) -> bool:
        """Returns whether only this run of a request can be answered on the connection.

        An upstream may write an earlier refusal of the same request once more.
        """
        return exchange.attempt not in self._refused

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def send(self, exchange: Exchange) -> None:
        """Sends the request of an exchange and waits for its response."""
        self.exchange = exchange
        exchange.conn = self
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._reset_response()
        self._received_bytes = self._received_body_bytes = 0
        if exchange.body:
            self._transport.writelines((exchange.raw, exchange.body))
        else:
            self._transport.write(exchange.raw)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser and enforces the size limits.

        Data that arrives while no response is expected closes the connection.
        """
        if self.exchange is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(f"answer does not parse: {exc}")
            return
        self._received_bytes += len(data)
        if self.exchange is None:
            return
        if self.buffered_bytes:
            self.received_at = self._pool.loop.time()
        overhead = self._received_bytes - self._received_body_bytes
        if overhead > MAX_NON_BODY_BYTES + MAX_CHUNK_OVERHEAD * self._received_body_bytes:
            self._fail(f"response has {overhead} bytes of headers and framing")
        elif self._received_bytes > MAX_RESPONSE_BYTES:
            self._fail(f"response exceeds {MAX_RESPONSE_BYTES} bytes")

    def eof_received(self) -> bool:
        """Completes a response that is delimited by the end of the connection."""
        if self.exchange is not None and self._has_head and not self._has_framing:
            self._should_close = True
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self._transport = None
        self._parser = None  # It refers to the connection.
        self._pool.discard(self)
        self._fail(
            f"upstream closed the connection: {exc or 'end of stream'}",
            ExchangeFailure.CONNECTION_CLOSED,
        )

    def _discard_body(self) -> None:
        self._pool.count_buffered_bytes(-self.buffered_bytes)
        self._body: bytes | ChargedBuffer = b""
        self.buffered_bytes = 0

    def give_up(self, reason: str) -> None:
        """Fails the exchange in progress to free what it holds."""
        self._pool.memory.count_refusal(f"response_{reason}")
        self._fail(f"no room for {self.buffered_bytes} bytes of the response")

    def fail(self, detail: str) -> None:
        """Fails the exchange in progress."""
        self._fail(detail)

    def _fail(
        self, detail: str, failure: ExchangeFailure = ExchangeFailure.RESPONSE_REJECTED
    ) -> None:
        exchange, self.exchange = self.exchange, None
        self.abort()
        if exchange is not None:
            exchange.on_failure(detail, failure)

    def abort(self) -> None:
        """Closes the connection at once, which tells the upstream to stop the request."""
        self.exchange = None
        self._discard_body()
        if self._transport is not None:
            self._transport.abort()

    # Parser

    def on_message_begin(self) -> None:
        """Starts a new response; an unexpected one makes the connection unusable."""
        if self.exchange is None:
            self._should_close = True
        else:
            self._reset_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Interprets, forwards or drops a header; trailers are dropped."""
        if self._has_head:
            return
        lower = name.lower()
        field = self._pool.fields_by_header.get(lower)
        if field is not None:
            self._handle_header(field, value)
        if field in FORWARDED_FIELDS or (field is None and lower not in CONNECTION_HEADERS):
            self._header_lines.append(b"%b: %b\r\n" % (name, value))

    def _handle_header(self, field: str, value: bytes) -> None:
        match field:
            case "attempt":
                self._attempt = value
            case "rate_limit":
                self._rate_limits.append(value)
            case "leaving":
                self._leaving = value
            case "cold":
                self._cold = value
            case "not_run":
                self._not_run = True
            case "load":
                self._load = value
            case "instance":
                self._instance = value
            case "framing":
                self._has_framing = True
            case "connection":
                self._should_close = self._should_close or b"close" in value.lower()
            case "keep-alive":
                for part in value.split(b","):
                    key, _, seconds = part.strip().partition(b"=")
                    if key.lower() == b"timeout" and seconds.isdigit():
                        self._keep_alive_s = float(seconds)

    def on_headers_complete(self) -> None:
        """Completes the head, and for a HEAD request the response; ignores interim responses.

        A response whose status is neither interim nor final is rejected.
        """
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            return
        if status not in FINAL_STATUSES:
            self._fail(f"response has status {status:03}")
            return
        self._has_head = True
        if status in (204, 304):
            self._has_framing = True
        if self.exchange is not None and self.exchange.is_head:
            self._should_close = True
            self._finish()

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self._received_body_bytes += len(part)
        if self.exchange is not None:
            self.buffered_bytes += len(part)
            if not self._body and len(part) <= MAX_SMALL_BYTES:
                self._body = part
            else:
                if type(self._body) is bytes:
                    self._body = ChargedBuffer(self._pool.memory, self._body)
                self._body += part
            self._pool.count_buffered_bytes(len(part))
            if type(self._body) is ChargedBuffer:
                self._body.charge()
                is_large = self.buffered_bytes > MAX_SMALL_BYTES
                if is_large and self._pool.memory.is_exhausted:
                    self.give_up("memory")

    def on_message_complete(self) -> None:
        """Completes a response, unless it is interim or belongs to another request."""
        if self.exchange is None or self._parser.get_status_code() < 200:
            return
        if self._response_attempt() != self.exchange.attempt:
            self._pool.on_mismatch(self.exchange.attempt, self._attempt)
            if self._should_close:
                self._fail("response belongs to another request and closes the connection")
            return
        self._finish()

    def _response_attempt(self) -> bytes | None:
        return self._attempt if self.exchange.attempt else b""

    def _finish(self) -> None:
        exchange = self.exchange
        if self._response_attempt() != exchange.attempt:
            self._fail("response belongs to another request")
            return
        self.exchange = None
        status = self._parser.get_status_code()
        if self._not_run or status == MISDIRECTED:
            self._refused.add(exchange.attempt)
            self._should_close = self._should_close or len(self._refused) >= MAX_REFUSED
        body = self._body if len(self._body) > MAX_SMALL_BYTES else bytes(self._body)
        response = UpstreamResponse(
            status,
            b"".join(self._header_lines),
            body,
            self._not_run,
            self._load,
            self._instance,
            tuple(self._rate_limits),
            self._leaving,
            self._cold,
        )
        self._discard_body()
        # Deferred until the rest of the received data is parsed: extra bytes after this response
        # must not be taken for the response to the next request.
        self._pool.loop.call_soon(self._pool.release, self, self._should_close, self._keep_alive_s)
        exchange.on_response(response)


class UpstreamPool:
    """Connections to one upstream.

    Requests that must not be repeated use a new connection or one that was in use a moment ago.
    The upstream may be closing a connection that has been idle for longer, and then it would be
    unknown whether the request ran.

    `on_mismatch` gets the expected request ID and the one of a response that doesn't match it.
    """

    def __init__(
        self, names: HeaderNames, on_mismatch: Callable[[bytes, bytes | None], None]
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.on_mismatch = on_mismatch
        self.max_connections = 256
        self.opened_connections = 0
        self._address = ""
        self._buffered_bytes = 0
        self.memory = MemoryBudget()
        self._idle: list[UpstreamConnection] = []
        self._connections: set[UpstreamConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        lowered = names.lowered()
        self.fields_by_header = {
            lowered[field]: field
            for field in (
                ("attempt", "not_run", "load", "instance", "rate_limit", "leaving", "cold")
            )
        }
        self.fields_by_header |= {b"connection": "connection", b"keep-alive": "keep-alive"}
        self.fields_by_header |= {b"content-length": "framing", b"transfer-encoding": "framing"}

    def count_buffered_bytes(self, size: int) -> None:
        """Adds to the buffered body bytes; above the limit the largest response is abandoned."""
        if not size:
            return
        self._buffered_bytes += size
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            largest = max(self._connections, key=lambda conn: conn.buffered_bytes)
            largest.fail(f"responses in progress exceed {MAX_BUFFERED_BYTES} bytes")

    def set_memory(self, memory: MemoryBudget) -> None:
        """Counts what responses hold in this budget."""
        self.memory = memory
        memory.sources.append(self._holdings)

    def _holdings(self) -> Iterator[Holding]:
        for conn in self._connections:
            if conn.buffered_bytes:
                yield Holding(conn.buffered_bytes, conn.received_at, conn.give_up)

    def set_address(self, address: str) -> None:
        """Sets the address of the upstream; a change closes the idle connections."""
        if address != self._address:
            self._address = address
            self.drop_idle()

    def drop_idle(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.abort()

    def send(self, exchange: Exchange) -> None:
        """Sends a request over an idle connection or a new one."""
        now = self.loop.time()
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_open or now >= conn.idle_until:
                conn.abort()
                continue
            if not exchange.repeatable and now > conn.idle_since + REUSE_WINDOW_S:
                self._idle.append(conn)
                break
            if not conn.may_carry(exchange):
                conn.abort()
                continue
            conn.send(exchange)
            return
        if len(self._connections) >= self.max_connections and self._idle:
            self._idle.pop(0).abort()
        self._start_task(self._connect(exchange))

    def _start_task(self, coro: Coroutine[None, None, None]) -> None:
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_connection(
        self, factory: Callable[[], asyncio.Protocol]
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connects to the upstream. Raises OSError and TimeoutError."""
        host, port = split_address(self._address)
        async with asyncio.timeout(CONNECT_S):
            return await self.loop.create_connection(factory, host, port)

    async def _connect(self, exchange: Exchange) -> None:
        try:
            _, conn = await self._open_connection(lambda: UpstreamConnection(self))
        except (OSError, TimeoutError) as exc:
            detail = f"cannot connect to upstream at {self._address}: {exc!r}"
            exchange.on_failure(detail, ExchangeFailure.NOT_SENT)
            return
        self.opened_connections += 1
        self._connections.add(conn)
        if exchange.raw:
            conn.send(exchange)
        else:
            conn.abort()

    def probe(
        self, raw: bytes, on_done: Callable[[UpstreamResponse | None, str, int], None]
    ) -> None:
        """Runs a health check and calls `on_done` with its response, instance and slot count.

        The response is None if there was none. The instance is empty if the upstream is not
        healthy. The load header holds the running requests, the waiting requests, the slots and
        possibly how long work takes at present, separated by commas; without it, or with a count
        that is too high, the slot count is 0.
        """
        exchange = Exchange(
            raw, b"", True, False, lambda response: None, lambda detail, failure: None
        )

        def on_response(response: UpstreamResponse) -> None:
            slots = _parse_slots(response.load)
            instance = response.instance.decode("latin-1") if response.status == 200 else ""
            on_done(response, instance, slots)

        exchange.on_response = on_response
        exchange.on_failure = lambda detail, failure: on_done(None, "", 0)
        self.send(exchange)

    def check_listening(self, on_done: Callable[[bool], None]) -> None:
        """Checks whether a process listens at the upstream's address.

        Only a refused connection counts as not listening: a timeout or another error leaves it
        unknown, and `on_done` gets True.
        """
        self._start_task(self._check_listening(on_done))

    async def _check_listening(self, on_done: Callable[[bool], None]) -> None:
        is_listening = True
        try:
            transport, _ = await self._open_connection(asyncio.Protocol)
            transport.abort()
        except ConnectionRefusedError:
            is_listening = False
        except (OSError, TimeoutError) as exc:
            log.info("upstream.unchecked", address=self._address, error=repr(exc))
        on_done(is_listening)

    def cancel(self, exchange: Exchange) -> None:
        """Abandons an exchange: its connection is closed and its callbacks are not called."""
        exchange.on_response = lambda response: None
        exchange.on_failure = lambda detail, failure: None
        exchange.raw = exchange.body = b""
        if exchange.conn is not None and exchange.conn.exchange is exchange:
            exchange.conn.abort()

    def release(self, conn: UpstreamConnection, should_close: bool, keep_alive_s: float) -> None:
        """Returns a connection to the pool after a complete response, or closes it.

        It is closed if the upstream has answered before it has read the request, whose rest would
        be kept until it does.
        """
        is_reusable = conn.is_open and not (should_close or conn._should_close or conn.is_sending)
        if not is_reusable or conn.exchange is not None:
            if conn.exchange is None:
                conn.abort()
            return
        conn.idle_since = self.loop.time()
        conn.idle_until = conn.idle_since + max(0.0, min(keep_alive_s - IDLE_MARGIN_S, MAX_IDLE_S))
        self._idle.append(conn)

    def discard(self, conn: UpstreamConnection) -> None:
        """Removes a closed connection from the pool."""
        self._connections.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)

    def close(self) -> None:
        """Closes all connections."""
        for conn in list(self._connections):
            conn.abort()
