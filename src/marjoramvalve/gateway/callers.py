"""HTTP server for callers: aiohttp's request parser on an asyncio protocol.

A connection has a task only while it serves requests, and a buffered response is sent in one
write.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from email.utils import formatdate
from http import HTTPStatus

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from multidict import CIMultiDict, CIMultiDictProxy

from marjoramvalve.gateway.responses import Response, problem_response
from marjoramvalve.outcomes import Reason, refuse

READ_LIMIT_BYTES = 1 << 16
MAX_PIPELINED = 16
KEEPALIVE_S = 75.0
SWEEP_INTERVAL_S = 1.0
BACKLOG = 1024
NO_BODY_STATUSES = frozenset({204, 304})
REASON_PHRASES = {item.value: item.phrase for item in HTTPStatus}
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers. Sizes in bytes, durations in seconds."""

    max_header_bytes: int
    read_timeout: float
    write_timeout: float


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller.

    `path` and `target` are as received, without and with the query. `body_prefix` is the part of
    the body that was read before the rest was left to be streamed.
    """

    method: str
    path: str
    target: str
    headers: CIMultiDictProxy[str]
    content: StreamReader
    content_length: int | None
    body_exists: bool
    can_chunk: bool
    conn: "CallerConnection | None" = field(default=None, repr=False)
    body_prefix: bytes = b""

    def start_response(self, status: int, headers: CIMultiDict[str], chunked: bool) -> None:
        """Sends the head of a response whose body follows in parts."""
        self.conn.start_response(status, headers, chunked)

    async def write(self, part: bytes) -> None:
        """Sends a part of the body; waits while the send buffer is full."""
        await self.conn.write_part(part)

    def finish(self) -> None:
        """Marks the body as complete."""
        self.conn.finish_response()

    def abort(self) -> None:
        """Aborts the connection, so that the caller sees an incomplete response."""
        self.conn.abort()


Handler = Callable[[CallerRequest], Awaitable[Response | None]]


def _content_length(message: RawRequestMessage) -> int | None:
    text = message.headers.get("Content-Length")
    return int(text) if text is not None else None


class CallerConnection(BaseProtocol):
    """A connection of a caller, which may carry several requests in sequence."""

    def __init__(
        self, server: "CallerServer", loop: asyncio.AbstractEventLoop, limits: CallerLimits
    ) -> None:
        parser = HttpRequestParser(
            self,
            loop,
            READ_LIMIT_BYTES,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            payload_exception=ConnectionResetError,
            auto_decompress=False,
        )
        super().__init__(loop, parser)
        self._server = server
        self._limits = limits
        self._queue: deque[tuple[RawRequestMessage, StreamReader]] = deque()
        self._task: asyncio.Task | None = None
        self._payload: StreamReader | None = None
        self._chunked = False
        self._close_after = False
        self._last_active_at = loop.time()
        self._partial_head_since = 0.0

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with the server."""
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the request in progress, which closes its upstream connection."""
        super().connection_lost(exc)
        self._server.connections.discard(self)
        self._queue.clear()
        self._fail_body()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Closes the connection, also if the caller has closed only its sending side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feeds the parser and starts to serve requests whose heads are complete."""
        if self._close_after and self._task is None:
            return
        self._last_active_at = self._loop.time()
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except BadHttpMessage as exc:
            self._reject_message(exc)
            return
        for message, payload in messages:
            self._queue.append((message, payload))
        if upgraded:
            self._close_after = True
        if len(self._queue) > MAX_PIPELINED:
            self.abort()
            return
        if messages:
            self._partial_head_since = 0.0
        elif self._task is None and data and not self._partial_head_since:
            self._partial_head_since = self._last_active_at
        if self._task is None and self._queue:
            self._task = self._loop.create_task(self._serve())

    def _fail_body(self) -> None:
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ConnectionResetError("caller's request body is incomplete"))

    def _reject_message(self, exc: BadHttpMessage) -> None:
        """Refuses a request that cannot be parsed, or fails the body being read."""
        self._close_after = True
        if self._task is not None:
            self._fail_body()
            return
        text = str(exc.message).splitlines()[0] if exc.message else "request cannot be parsed"
        refusal = refuse(Reason.BAD_REQUEST, text)
        self._write_response(problem_response(refusal, ""), False)

    # Requests

    async def _serve(self) -> None:
        try:
            while self._queue:
                message, payload = self._queue.popleft()
                await self._serve_one(message, payload)
        finally:
            self._task = None
            if self._close_after and self.transport is not None:
                self.transport.close()

    async def _serve_one(self, message: RawRequestMessage, payload: StreamReader) -> None:
        self._payload = payload
        length = _content_length(message)
        request = CallerRequest(
            method=message.method,
            path=message.path.partition("?")[0],
            target=message.path,
            headers=message.headers,
            content=payload,
            content_length=length,
            body_exists=message.chunked or bool(length),
            can_chunk=message.version >= (1, 1),
            conn=self,
        )
        if "Expect" in message.headers and request.body_exists:
            self.transport.write(CONTINUE_RESPONSE)
        self._close_after = self._close_after or message.should_close
        response = await self._server.handler(request)
        if not payload.is_eof():
            self._close_after = True  # The rest of the body must not be parsed as a request.
        if response is not None:
            self._write_response(response, message.method == "HEAD")
            await self._drain()
        self._last_active_at = self._loop.time()

    # Responses

    def _response_head_lines(self, status: int, headers: CIMultiDict[str]) -> list[str]:
        lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
        lines.extend([f"{name}: {value}" for name, value in headers.items()])
        if "Date" not in headers:
            lines.append(f"Date: {self._server.date()}")
        if self._close_after:
            lines.append("Connection: close")
        return lines

    def _write_response(self, response: Response, is_head_request: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self._close_after = self._close_after or response.close
        has_no_body = is_head_request or response.status in NO_BODY_STATUSES
        if not has_no_body:
            response.headers.popall("Content-Length", None)
        lines = self._response_head_lines(response.status, response.headers)
        if not has_no_body:
            lines.append(f"Content-Length: {len(response.body)}")
        lines.append("\r\n")
        raw = "\r\n".join(lines).encode("utf-8", "surrogateescape")
        self.transport.write(raw if has_no_body else raw + response.body)
        if self._task is None:
            self.transport.close()

    def start_response(self, status: int, headers: CIMultiDict[str], chunked: bool) -> None:
        """Sends the head of a response whose body follows in parts."""
        self._chunked = chunked
        lines = self._response_head_lines(status, headers)
        if chunked:
            lines.append("Transfer-Encoding: chunked")
        lines.append("\r\n")
        self.transport.write("\r\n".join(lines).encode("utf-8", "surrogateescape"))

    async def write_part(self, part: bytes) -> None:
        """Sends a part of a body. Raises ConnectionResetError if the caller is gone or too slow."""
        if self.transport is None:
            raise ConnectionResetError("caller closed the connection")
        self.transport.write(b"%x\r\n%b\r\n" % (len(part), part) if self._chunked else part)
        await self._drain()

    def finish_response(self) -> None:
        """Ends the body; sends the last chunk if it is chunked."""
        if self._chunked and self.transport is not None:
            self.transport.write(b"0\r\n\r\n")

    async def _drain(self) -> None:
        if not self.writing_paused:
            return
        try:
            async with asyncio.timeout(self._limits.write_timeout):
                await self._drain_helper()
        except TimeoutError:
            self.abort()
            raise ConnectionResetError("caller did not read its response in time") from None

    # Closing

    def abort(self) -> None:
        """Closes the connection immediately and discards unsent data."""
        if self.transport is not None:
            self.transport.abort()

    def sweep(self, now: float) -> None:
        """Closes the connection if it was idle too long or a request head takes too long."""
        if self._task is not None or self.transport is None:
            return
        slow = (
            self._partial_head_since and now > self._partial_head_since + self._limits.read_timeout
        )
        if slow:
            refusal = refuse(Reason.SLOW_CALLER, "request head was not received in time")
            self._close_after = True
            self._write_response(problem_response(refusal, ""), False)
        elif now > self._last_active_at + KEEPALIVE_S:
            self.transport.close()

    def close_idle(self) -> None:
        """Closes the connection now, or after the request in progress."""
        self._close_after = True
        if self._task is None and self.transport is not None:
            self.transport.close()


class CallerServer:
    """Accepts connections of callers."""

    def __init__(self, handler: Handler, limits: CallerLimits) -> None:
        self.handler = handler
        self.connections: set[CallerConnection] = set()
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._date = ""
        self._date_at = 0

    async def start(self, host: str, port: int) -> None:
        """Listens on an address."""
        loop = asyncio.get_running_loop()

        def connect() -> CallerConnection:
            return CallerConnection(self, loop, self._limits)

        self._server = await loop.create_server(connect, host, port, backlog=BACKLOG)
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def date(self) -> str:
        """Returns the value of the Date header, formatted once a second."""
        now = int(time.time())
        if now != self._date_at:
            self._date_at = now
            self._date = formatdate(now, usegmt=True)
        return self._date

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        for conn in list(self.connections):
            conn.sweep(loop.time())
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes idle connections now, and the others after their response."""
        for conn in list(self.connections):
            conn.close_idle()

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in list(self.connections):
            conn.abort()
        await asyncio.sleep(0)
