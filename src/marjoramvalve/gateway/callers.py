"""Callers' side of the call path: aiohttp's request parser on a plain protocol.

One task a request, none a connection; answers at hand leave in one write.
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
    """Limits on what callers may do. Sizes in bytes, durations in seconds."""

    max_header_bytes: int
    read_timeout: float
    write_timeout: float


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller. `path` and `target` are as they came, without and with the query."""

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
        """Sends the head of an answer whose body follows in parts."""
        self.conn.start_response(status, headers, chunked)

    async def write(self, part: bytes) -> None:
        """Sends a part of the body; waits while the caller does not take it."""
        await self.conn.write_part(part)

    def finish(self) -> None:
        """Ends the body as whole."""
        self.conn.finish_response()

    def abort(self) -> None:
        """Ends the connection, so that what was sent does not look whole."""
        self.conn.abort()


Handler = Callable[[CallerRequest], Awaitable[Response | None]]


def _length_of(message: RawRequestMessage) -> int | None:
    text = message.headers.get("Content-Length")
    return int(text) if text is not None else None


class CallerConnection(BaseProtocol):
    """One connection of a caller, which may send request after request."""

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
        self._partial_since = 0.0

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels what runs for the caller, which tells the upstream to stop."""
        super().connection_lost(exc)
        self._server.connections.discard(self)
        self._queue.clear()
        self._fail_body()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Keeps the connection open for the answer where the caller only ends its side."""
        return False

    def data_received(self, data: bytes) -> None:
        """Feeds the parser and starts on whole request heads."""
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
            self._partial_since = 0.0
        elif self._task is None and data and not self._partial_since:
            self._partial_since = self._last_active_at
        if self._task is None and self._queue:
            self._task = self._loop.create_task(self._serve())

    def _fail_body(self) -> None:
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(ConnectionResetError("caller's body broke off"))

    def _reject_message(self, exc: BadHttpMessage) -> None:
        """Answers a request that does not parse, or ends the body that breaks off."""
        self._close_after = True
        if self._task is not None:
            self._fail_body()
            return
        text = str(exc.message).splitlines()[0] if exc.message else "request does not parse"
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
        length = _length_of(message)
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
            self._close_after = True  # What is left of the body must not pass for a request.
        if response is not None:
            self._write_response(response, message.method == "HEAD")
            await self._drain()
        self._last_active_at = self._loop.time()

    # Answers

    def _head(self, status: int, headers: CIMultiDict[str]) -> list[str]:
        lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
        lines.extend([f"{name}: {value}" for name, value in headers.items()])
        if "Date" not in headers:
            lines.append(f"Date: {self._server.date()}")
        if self._close_after:
            lines.append("Connection: close")
        return lines

    def _write_response(self, response: Response, is_head: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self._close_after = self._close_after or response.close
        has_no_body = is_head or response.status in NO_BODY_STATUSES
        if not has_no_body:
            response.headers.popall("Content-Length", None)
        lines = self._head(response.status, response.headers)
        if not has_no_body:
            lines.append(f"Content-Length: {len(response.body)}")
        lines.append("\r\n")
        raw = "\r\n".join(lines).encode("utf-8", "surrogateescape")
        self.transport.write(raw if has_no_body else raw + response.body)
        if self._task is None:
            self.transport.close()

    def start_response(self, status: int, headers: CIMultiDict[str], chunked: bool) -> None:
        """Sends the head of an answer whose body follows in parts."""
        self._chunked = chunked
        lines = self._head(status, headers)
        if chunked:
            lines.append("Transfer-Encoding: chunked")
        lines.append("\r\n")
        self.transport.write("\r\n".join(lines).encode("utf-8", "surrogateescape"))

    async def write_part(self, part: bytes) -> None:
        """Sends a part of a body."""
        if self.transport is None:
            raise ConnectionResetError("caller has gone")
        self.transport.write(b"%x\r\n%b\r\n" % (len(part), part) if self._chunked else part)
        await self._drain()

    def finish_response(self) -> None:
        """Ends a body as whole."""
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
            raise ConnectionResetError("caller does not take its answer") from None

    # Ends

    def abort(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def sweep(self, now: float) -> None:
        """Ends the connection where it is idle for long or sends its head too slowly."""
        if self._task is not None or self.transport is None:
            return
        slow = self._partial_since and now > self._partial_since + self._limits.read_timeout
        if slow:
            refusal = refuse(Reason.SLOW_CALLER, "request head did not come in time")
            self._close_after = True
            self._write_response(problem_response(refusal, ""), False)
        elif now > self._last_active_at + KEEPALIVE_S:
            self.transport.close()

    def close_idle(self) -> None:
        """Ends the connection unless a request is under way."""
        self._close_after = True
        if self._task is None and self.transport is not None:
            self.transport.close()


class CallerServer:
    """Listens for callers."""

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
        """Returns the value of the Date header, made once a second."""
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
        """Takes no new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Ends the connections on which nothing is under way, and the others after their answer."""
        for conn in list(self.connections):
            conn.close_idle()

    async def close(self) -> None:
        """Ends everything."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conn in list(self.connections):
            conn.abort()
        await asyncio.sleep(0)
