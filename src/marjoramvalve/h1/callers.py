"""Connections of callers: whole requests are buffered and answered in request order."""

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING

import httptools
import structlog

from marjoramvalve.h1.headers import CONNECTION_HEADERS
from marjoramvalve.h1.held_data import HeldData
from marjoramvalve.h1.incoming import NO_RESPONSE, IncomingRequest
from marjoramvalve.h1.redaction import remove_key, remove_key_from_query
from marjoramvalve.links import MAX_SMALL_BYTES, UNCOUNTED_BYTES, ChargedBuffer, plain_bytes
from marjoramvalve.model import CallerLimits

if TYPE_CHECKING:
    from marjoramvalve.h1.servers import CallerServer

STALLED_REQUEST_S = 1.0  # A partial request without new data this long doesn't delay a shutdown.
# A connection with this many requests in progress is read again once that has halved. One slice of
# data is parsed at a time, so that the requests of a slice may come on top.
MAX_PIPELINED = 64
SLICE_BYTES = 8 << 10
# A slice in which the parser finds more parts than this takes about a millisecond, and the next
# one of its connection waits for its turn.
MAX_PARTS = 256
REQUEST_PARTS = 4  # What a request counts for beside the parts of its body.
# Data received but not parsed. Above the first limit a connection isn't read, so that a disconnect
# isn't noticed; above the second one, of all connections, no more requests are taken from it.
MAX_HELD_BYTES = 64 << 10
MAX_HELD_BYTES_IN_TOTAL = 32 << 20
# A caller that takes no response data for this long is disconnected, and so is one that takes it
# more slowly than this on the whole.
SEND_TIMEOUT_S = 20.0
MIN_SEND_BYTES_PER_S = 64 << 10
# Requests that wait behind another one on their connection, with all that is kept for each.
PIPELINED_REQUEST_BYTES = 2 << 10
LINGER_S = 1.0  # How long a caller has to close a connection after the last response on it.
MAX_CHUNK_OVERHEAD = 8  # Framing bytes per body byte; enough for chunks of one byte.
MAX_SMALL_DIGITS = 4  # An announced length up to here is not worth a check before the body comes.
MAX_DEADLINE_DIGITS = 12  # The rest is cut off: any deadline of that length is far away.
RETRY_HEADER = b"Retry-After: 1\r\n"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = structlog.get_logger("callers")


class CallerConnection(asyncio.Protocol):
    """One connection from a caller."""

    __slots__ = (
        "_announced_bytes",
        "_arrived_at",
        "_body",
        "_charged_partial_bytes",
        "_closing",
        "_connection_options",
        "_expects_continue",
        "_head_bytes",
        "_header_lines",
        "_held",
        "_in_head",
        "_is_blocked",
        "_is_deferred",
        "_is_paused",
        "_is_write_blocked",
        "_last_request",
        "_last_unsent_bytes",
        "_lingers_until",
        "_loop",
        "_parsed_bytes",
        "_parser",
        "_parts",
        "_pending",
        "_received_bytes",
        "_request",
        "_send_until",
        "_sent_at",
        "_server",
        "_transport",
        "is_aborted",
        "is_late",
        "is_local",
        "last_active_at",
        "request_started_at",
        "serves_upstream",
    )

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._loop = server.loop
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: deque[IncomingRequest] = deque()
        self._held = HeldData(server)
        self._parts = 0  # Found by the parser in the present slice.
        self._is_blocked = False  # No requests are parsed: too many are in progress.
        self._is_deferred = False  # Nothing is parsed until the turn of the connection.
        self._is_write_blocked = False
        self._is_paused = False
        self._request: IncomingRequest | None = None
        self._header_lines: list[bytes] = []
        self._body: bytes | ChargedBuffer = b""
        self._charged_partial_bytes = 0  # Without a body that is charged by itself.
        self._expects_continue = False
        self._head_bytes = 0  # Of the head, or of the trailers of the body.
        self._parsed_bytes = 0  # Of the body.
        # Bytes of the head, or of the body with its framing, after the read that began it.
        self._received_bytes = 0
        self._in_head = False
        self._connection_options: set[bytes] = set()
        self._announced_bytes = 0  # Of the body; 1 if there is one of a small or unknown size.
        self._last_request: IncomingRequest | None = None
        self._closing = False  # No more requests are read.
        self._lingers_until: float | None = None
        self.is_aborted = False
        self.is_local = False
        self.is_late = False  # Opened after the server had stopped accepting others.
        self.serves_upstream = False  # Carries the calls of the upstream beside the node.
        self._last_unsent_bytes = 0
        self._send_until = math.inf
        self.last_active_at = self._arrived_at = self._sent_at = self._loop.time()
        self.request_started_at = 0.0

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; a caller with the node's own IP address is local."""
        self._transport = transport
        peer, own = transport.get_extra_info("peername"), transport.get_extra_info("sockname")
        self.is_local = bool(peer and own) and peer[0] == own[0]
        self.is_late = self._server.accepts_only_local
        has_room = self._server.make_room()
        self._server.connections.add(self)
        if not has_room:
            self._server.memory.count_refusal("no_connection")
            log.info("caller.refused", connections=len(self._server.connections))
            self.abort()
        elif self.is_late and not self.is_local:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the pending requests that their caller has disconnected."""
        self._transport = None
        self._server.connections.discard(self)
        self._held.clear()
        self._drop_partial()
        for request in self._pending:
            self._release(request)
        self._notify_disconnected()
        self._request = self._last_request = self._parser = None  # They refer to the connection.

    def eof_received(self) -> bool:
        """Treats a half-close by the caller as a disconnect and closes the connection."""
        for request in self._pending:
            self._release(request)
        self._notify_disconnected()
        return False

    def _notify_disconnected(self) -> None:
        pending, self._pending = self._pending, deque()
        for request in pending:
            if request.on_disconnect is not None:
                on_disconnect, request.on_disconnect = request.on_disconnect, None
                on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parses data, or holds it back while too many requests are in progress."""
        if self._closing:
            return
        self.last_active_at = self._loop.time()
        if self._is_blocked or self._is_deferred or self._held.size:
            self._hold(data)
        else:
            self._parse_slices(self.last_active_at, data)

    def _parse_slices(self, arrived_at: float, data: bytes | bytearray) -> None:
        """Parses data until the connection is blocked or deferred, and holds the rest back."""
        self._arrived_at = arrived_at
        for offset in range(0, len(data), SLICE_BYTES):
            if self._closing:
                return
            if self._is_blocked or self._is_deferred:
                self._held.prepend(arrived_at, data[offset:])
                self._limit_reading()
                return
            self._parts = 0
            self._parse(data if len(data) <= SLICE_BYTES else data[offset : offset + SLICE_BYTES])
            if self._parts > MAX_PARTS and not self._closing:
                self._is_deferred = True
                self._server.defer(self)

    def _parse(self, data: bytes) -> None:
        """Feeds the parser and enforces the size limits."""
        previous_state = (self._request, self._in_head)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            if self._closing:
                return
            # The request has been read and is answered without an upgrade; HTTP goes on behind it.
            self._parser = httptools.HttpRequestParser(self)
            self._parse(data[exc.args[0] :])
        except httptools.HttpParserError as exc:
            if not self._closing:
                self._fail(400, str(exc).encode()[:100])
        if self._request is not None:
            if (self._request, self._in_head) == previous_state:
                self._count_received_bytes(len(data))
            if self._request is not None:
                self._charge_partial()
        self._is_blocked = self._is_write_blocked or (
            bool(self._pending) and len(self._pending) >= self._max_pipelined
        )

    # Back-pressure

    def _hold(self, data: bytes) -> None:
        """Holds back data that has just arrived."""
        self._held.append(self.last_active_at, data)
        if self._server.held_bytes > MAX_HELD_BYTES_IN_TOTAL and not self._closing:
            self.close_after_pending()
        else:
            self._limit_reading()

    def _limit_reading(self) -> None:
        """Reads no more while much is held back."""
        is_read = not (self._is_paused or self._closing or self._transport.is_closing())
        if is_read and self._held.size > MAX_HELD_BYTES:
            self._is_paused = True
            self._transport.pause_reading()

    def _unblock(self) -> None:
        """Parses the data held back once there is room for more requests."""
        while self._held and not (self._is_blocked or self._is_deferred or self._closing):
            self._parse_slices(*self._held.pop())
        if not self._held:
            self._resume_reading()

    def take_turn(self) -> None:
        """Parses one more slice that takes long, or several others."""
        self._is_deferred = False
        self._unblock()

    def _resume_reading(self) -> None:
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Parses no more requests while the caller does not read its responses."""
        self._is_blocked = self._is_write_blocked = True

    def resume_writing(self) -> None:
        """Parses requests again once the caller has read its responses."""
        self._is_write_blocked = False
        self._check_room()

    @property
    def _max_pipelined(self) -> int:
        return MAX_PIPELINED if self._server.memory.is_ample else 1

    def _check_room(self) -> None:
        if (
            self._is_blocked
            and not self._is_write_blocked
            and len(self._pending) <= self._max_pipelined // 2
        ):
            self._is_blocked = False
            self._loop.call_soon(self._unblock)

    # Memory

    def _charge_partial(self) -> None:
        """Charges the request that is arriving, unless it came in one piece."""
        body = self._body
        size = plain_bytes(body) + len(self._request.head) + self._head_bytes
        if self._in_head:
            size += self._received_bytes  # Lines that are not complete are in the parser.
        size -= self._charged_partial_bytes
        self._charged_partial_bytes += size
        self._server.memory.charge(size)
        if isinstance(body, ChargedBuffer) and body is self._body:
            body.charge()
            is_large = body is self._body and len(body) > MAX_SMALL_BYTES
            if is_large and self._server.memory.is_exhausted:
                self.give_up("memory")

    def _uncharge_partial(self) -> None:
        if self._charged_partial_bytes:
            size, self._charged_partial_bytes = self._charged_partial_bytes, 0
            self._server.memory.charge(-size)

    def _drop_partial(self) -> None:
        """Frees the request that is arriving."""
        self._header_lines = []
        self._body = b""
        self._uncharge_partial()

    def _charge_request(self, request: IncomingRequest) -> None:
        """Charges a complete request until its response."""
        self._uncharge_partial()
        size = plain_bytes(request.body) + len(request.head) + len(request.target)
        if len(self._pending) > 1:
            size += PIPELINED_REQUEST_BYTES
        if size > UNCOUNTED_BYTES:
            request.charged_bytes = size
            self._server.memory.charge(size)
        if isinstance(request.body, ChargedBuffer):
            request.body.charge()

    def _release(self, request: IncomingRequest) -> None:
        if request.charged_bytes:
            self._server.memory.charge(-request.charged_bytes)
            request.charged_bytes = 0

    def hold_response(self, request: IncomingRequest) -> None:
        """Charges a response that waits for an earlier one; frees it if the caller is gone."""
        if request not in self._pending:
            request.response = NO_RESPONSE
            return
        head, body = request.response
        size = PIPELINED_REQUEST_BYTES + len(head) + plain_bytes(body)
        added, request.charged_bytes = size - request.charged_bytes, size
        self._server.memory.charge(added)
        if self._server.memory.is_exhausted and self._undelivered_bytes > MAX_SMALL_BYTES:
            self.disconnect("memory")

    @property
    def dispensable_bytes(self) -> int:
        """Returns how many bytes are freed by giving up the connection."""
        if self.is_aborted:
            return 0
        return self._held.size + self._partial_bytes + self._undelivered_bytes

    @property
    def _partial_bytes(self) -> int:
        """Returns how many bytes are charged for the request that is arriving."""
        size = self._charged_partial_bytes
        if isinstance(self._body, ChargedBuffer):
            size += self._body.charged_bytes
        return size

    @property
    def _undelivered_bytes(self) -> int:
        """Returns how many bytes of responses wait to be written or read."""
        size = self.unsent_bytes
        for request in self._pending:
            if request.response is not None:
                body = request.response[1]
                size += request.charged_bytes + len(body) - plain_bytes(body)
        return size

    @property
    def is_idle(self) -> bool:
        """Returns whether nothing is in progress, arriving or being sent."""
        return not (
            self._pending
            or self._request is not None
            or self._held
            or self._closing
            or self.unsent_bytes
        )

    @property
    def is_arriving(self) -> bool:
        """Returns whether a request has begun to arrive and none is in progress."""
        return self._request is not None and not self._pending

    @property
    def moved_at(self) -> float:
        """Returns when data last came from the caller or was taken by it."""
        return max(self.last_active_at, self._sent_at)

    @property
    def is_lingering(self) -> bool:
        """Returns whether all responses have been taken, and the caller has not closed yet."""
        return self._lingers_until is not None and not self.unsent_bytes

    def disconnect(self, reason: str) -> None:
        """Closes the connection at once, and frees the responses that wait on it."""
        self._server.memory.count_refusal(reason)
        log.info("caller.disconnected", reason=reason, undelivered=self._undelivered_bytes)
        self._closing = True
        self._held.clear()
        self._drop_partial()
        for request in self._pending:
            if request.response is not None:
                self._release(request)
                request.response = NO_RESPONSE
        self.abort()

    def give_up(self, reason: str) -> None:
        """Refuses the request that is arriving, which has not run, and frees what is held.

        A caller whose responses can't be delivered is disconnected.
        """
        if self._undelivered_bytes > MAX_SMALL_BYTES or self._closing:
            self.disconnect(reason)
            return
        self._server.memory.count_refusal(reason)
        log.info(
            "caller.given_up",
            reason=reason,
            received=self._partial_bytes,
            idle_s=round(self._loop.time() - self.last_active_at, 3),
        )
        if self._request is not None:
            self._fail(503, b"too many large requests", RETRY_HEADER)
        else:
            self.close_after_pending()

    def _count_received_bytes(self, size: int) -> None:
        """Limits the bytes that the parser buffers or skips without calling back."""
        self._received_bytes += size
        limit = self._server.limits.header_bytes
        if self._in_head and self._received_bytes > limit:
            self._fail(431, b"request head is above the limit")
        elif (
            not self._in_head
            and self._received_bytes
            > limit + self._head_bytes + (1 + MAX_CHUNK_OVERHEAD) * self._parsed_bytes
        ):
            self._fail(413, b"request body is above the limit")

    # Parser

    def on_message_begin(self) -> None:
        """Starts a new request, unless the connection closes after an earlier one."""
        if self._closing:
            return
        self._request = IncomingRequest(self, self._arrived_at)
        self._parts += REQUEST_PARTS
        self._header_lines = []
        self._body = b""
        self._expects_continue = False
        self._head_bytes = self._parsed_bytes = self._received_bytes = 0
        self._in_head = True
        self._connection_options = set()
        self._announced_bytes = 0
        self.request_started_at = self._arrived_at

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        if self._request is None:
            return
        self._request.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Interprets, forwards or drops a header; trailers are dropped."""
        if self._request is not None:
            self._count_head_bytes(len(name) + len(value) + 4)
        if self._request is None or not self._in_head:
            return
        lower = name.lower()
        field = self._server.fields_by_header.get(lower)
        if field is not None:
            self._handle_header(field, value.strip(b" \t"))
        elif lower not in CONNECTION_HEADERS and lower not in self._server.reserved_headers:
            self._header_lines.append(b"%b: %b\r\n" % (name, value))

    def _count_head_bytes(self, size: int) -> None:
        """Limits the size of a head, and that of the trailers of a body."""
        self._head_bytes += size
        if self._head_bytes > self._server.limits.header_bytes and not self._closing:
            self._fail(431, b"request head is above the limit")

    def _handle_header(self, field: str, value: bytes) -> None:
        request = self._request
        match field:
            case "attempt":
                request.attempt = value
            case "deadline":
                digits = value.lstrip(b"0")[:MAX_DEADLINE_DIGITS]
                request.deadline_ms = int(digits or 0) if value.isdigit() else None
            case "key":
                request.key = value
            case "host" if request.host or b"Host: \r\n" in self._header_lines:
                self._fail(400, b"request has two Host headers")
            case "host":
                request.host = value
                self._header_lines.append(b"Host: %b\r\n" % value)
            case "connection":
                self._connection_options = {part.strip().lower() for part in value.split(b",")}
            case "order":
                request.idempotency_key = value
                self._header_lines.append(b"Idempotency-Key: %b\r\n" % value)
            case "length":
                if len(value) > MAX_SMALL_DIGITS and value.isdigit():
                    self._announced_bytes = int(value[:MAX_DEADLINE_DIGITS])
                elif value != b"0":
                    self._announced_bytes = 1
            case "expect":
                self._expects_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """Completes the head: drops hop-by-hop headers and removes the caller's key."""
        if self._request is None:
            return
        if self._announced_bytes and self._parser.should_upgrade():
            # The parser does not read the body of such a request.
            self._fail(400, b"a request with a body can't be upgraded")
            return
        if self._announced_bytes > 1 and self._announced_bytes > self._server.limits.body_bytes:
            self._fail(413, b"request body is above the limit")
            return
        if self._expects_continue and not self._pending:
            self._transport.write(CONTINUE_RESPONSE)
        if self._request.key and self._request.key in self._request.host:
            # Without the key, no host would be left to forward.
            self._fail(400, b"request has its key in the Host header")
            return
        self._in_head = False
        self._head_bytes = self._received_bytes = 0
        lines = self._header_lines
        if self._connection_options - {b"close", b"keep-alive"}:
            lines = [
                line
                for line in lines
                if line.partition(b":")[0].lower() not in self._connection_options
            ]
        request = self._request
        request.head = b"".join(lines)
        request.method = self._parser.get_method()
        if request.key and (request.key in request.head or request.key in request.target):
            request.head = b"".join(remove_key(line, request.key) for line in lines)
            request.target = remove_key_from_query(request.target, request.key)

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        if self._request is None:
            return
        self._parts += 1
        self._parsed_bytes += len(part)
        if self._parsed_bytes > self._server.limits.body_bytes:
            if not self._closing:
                self._fail(413, b"request body is above the limit")
            return
        if not self._body:
            self._body = part
        else:
            if type(self._body) is bytes:
                self._body = ChargedBuffer(self._server.memory, self._body)
            self._body += part

    def on_message_complete(self) -> None:
        """Passes the complete request to the handler."""
        request, self._request = self._request, None
        self.request_started_at = 0.0
        if request is None or self._closing:
            return
        if self._body:
            body, self._body = self._body, b""
            request.body = bytes(body) if len(body) <= MAX_SMALL_BYTES else body
        if self._parser.should_upgrade():
            request.should_close = b"close" in self._connection_options
        else:
            request.should_close = not self._parser.should_keep_alive()
        if not request.host:
            self._fail(400, b"request has no Host header")
            return
        self._pending.append(request)
        is_small = len(request.body) + len(request.head) <= UNCOUNTED_BYTES
        if self._charged_partial_bytes or len(self._pending) > 1 or not is_small:
            self._charge_request(request)
        self._handle(request)
        self._closing = self._closing or request.should_close or request is self._last_request

    def _handle(self, request: IncomingRequest) -> None:
        """Passes a request to the handler; one that it fails on is answered all the same."""
        try:
            self._server.handler(request)
        except Exception as exc:
            log.exception("request.failed", request=request.attempt, error=repr(exc))
            request.respond(500, b"Content-Type: text/plain\r\n", b"internal error", close=True)

    def _fail(self, status: int, detail: bytes, head: bytes = b"") -> None:
        """Responds with an error after the pending responses, then closes the connection."""
        self._closing = True
        self._held.clear()
        self._drop_partial()
        request = self._request or IncomingRequest(self, self.last_active_at)
        self._request = None
        if request not in self._pending:
            self._pending.append(request)
        self._server.on_request_error(status, detail)
        request.respond(status, b"Content-Type: text/plain\r\n" + head, detail, close=True)

    # Responses

    def flush(self) -> None:
        """Writes the responses that are ready, up to the first request without one."""
        if self._transport is None or self._transport.is_closing():
            return
        out = []
        closes = is_large = False
        while self._pending and self._pending[0].response is not None and not closes:
            request = self._pending.popleft()
            closes = request.should_close or request is self._last_request
            if request.charged_bytes:
                self._release(request)
            if len(request.response[1]) > MAX_SMALL_BYTES:
                is_large = True
                out += request.take_parts(closes)
            else:
                out.append(request.take_response(closes))
        if not out:
            return
        self.last_active_at = self._loop.time()
        if not is_large and len(out) > 1:
            out = [b"".join(out)]
        limit = 0 if self.unsent_bytes else MAX_SMALL_BYTES
        if len(out) == 1 and len(out[0]) <= limit:
            self._transport.write(out[0])
        else:
            hold = self._server.memory.hold
            out = [hold(item) if len(item) > limit else item for item in out]
            if self._transport.is_closing():
                return  # It was given up to make room.
            self._transport.writelines(out)
        unsent_bytes = self.unsent_bytes
        if unsent_bytes:
            self._limit_sending(unsent_bytes)
        self._check_room()
        if closes:
            self._closing = True
            self._notify_disconnected()
            self._linger()

    def _limit_sending(self, unsent_bytes: int) -> None:
        """Sets until when the caller must have taken what it has just been sent."""
        self._last_unsent_bytes, self._sent_at = unsent_bytes, self.last_active_at
        send_s = SEND_TIMEOUT_S + unsent_bytes / MIN_SEND_BYTES_PER_S
        self._send_until = self.last_active_at + send_s

    def _linger(self) -> None:
        """Ends the responses, and closes once the caller has closed too or after a timeout.

        Closing while the caller still sends would reset the connection, and the caller could lose a
        response that it has not read.
        """
        self._held.clear()
        self._drop_partial()
        self._lingers_until = self._loop.time() + LINGER_S
        self._resume_reading()
        if not self._transport.is_closing():
            self._transport.write_eof()

    def close_after_pending(self) -> None:
        """Closes the connection after the requests that it has received or begun to receive.

        Those sent behind them are not read; their callers send them again elsewhere.
        """
        if self._closing or self._last_request is not None:
            return
        if self._held and (self._is_blocked or self._request is None):
            self._held.clear()
            self._request, self._in_head = None, False
        if self._request is not None:
            self._last_request = self._request
        elif self._pending:
            self._last_request = self._pending[-1]
            self._closing = True
        else:
            self._closing = True
            self.close()

    def is_busy(self, now: float) -> bool:
        """Returns whether a request is in progress or arriving, or a response on its way."""
        if self._lingers_until is not None and now < self._lingers_until:
            return True
        if self._pending or (
            self._request is not None
            and (self._held or now < self.last_active_at + STALLED_REQUEST_S)
        ):
            return True
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Returns how many response bytes the caller has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def close(self) -> None:
        """Closes the connection after sending the data already written to it."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once and drops the data that is not sent yet."""
        self.is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Closes the connection if its caller is too slow or has been idle for too long."""
        if self._transport is None:
            return
        unsent_bytes = self.unsent_bytes
        if unsent_bytes < self._last_unsent_bytes:
            self._sent_at = now
        self._last_unsent_bytes = unsent_bytes
        if unsent_bytes and now > min(self._send_until, self.moved_at + SEND_TIMEOUT_S):
            self.abort()
        elif self._lingers_until is not None:
            if not unsent_bytes and now > self._lingers_until:
                self.abort()
        elif self._held:
            return  # The rest of the request in progress may have arrived.
        elif self._in_head and now > self.request_started_at + limits.header_ms / 1000:
            self._fail(408, b"request head did not come in time")
        elif self._request is not None and now > self.last_active_at + limits.idle_ms / 1000:
            self._fail(408, b"request body did not come in time")
        elif not (self._pending or unsent_bytes) and now > self.moved_at + limits.idle_ms / 1000:
            self.close_after_pending()
