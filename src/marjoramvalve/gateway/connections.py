"""Connections to upstreams: aiohttp's response parser on an asyncio protocol.

aiohttp's client session costs more than all other processing of a call. This module uses only its
parser and payload reader, and needs no task and no timer for each call.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from marjoramvalve.h1 import FINAL_STATUSES, INTERIM_STATUSES

READ_LIMIT_BYTES = 1 << 16
MAX_LINE_BYTES = 16_384
MAX_IDLE_S = 10.0
CONNECT_TIMEOUT_S = 1.0
SWEEP_INTERVAL_S = 2.0


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a response, whose body is read from `payload`."""

    message: RawResponseMessage
    payload: StreamReader


class UpstreamConnection(BaseProtocol):
    """A connection to an upstream, which carries one call at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._parser: HttpResponseParser | None = None
        self._parser_for_head_request = False
        self._waiter: asyncio.Future[ResponseHead] | None = None
        self._payload: StreamReader | None = None
        self._upgraded = False
        self.should_close = False
        self.idle_since = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be used."""
        return self.transport is not None and not self.transport.is_closing()

    def _set_parser(self, is_head_request: bool) -> None:
        if self._parser is not None and not is_head_request and not self._parser_for_head_request:
            return
        self._parser_for_head_request = is_head_request
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_LIMIT_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            response_with_body=not is_head_request,
            read_until_eof=True,
            auto_decompress=False,
        )

    def send(self, head: bytes, is_head_request: bool) -> asyncio.Future:
        """Sends a request's head and any buffered body; returns a future of the response head."""
        self._set_parser(is_head_request)
        self._waiter = self._loop.create_future()
        self.transport.write(head)
        return self._waiter

    def write(self, data: bytes) -> None:
        """Sends a part of a streamed body."""
        self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the send buffer has room."""
        await self._drain_helper()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self._waiter is None and (self._payload is None or self._payload.is_eof()):
            if data:  # The base class passes no data when it resumes a paused reader.
                self.abort()  # Unrequested data must not be taken for the next response.
            return
        try:
            messages, upgraded, tail = self._parser.feed_data(data)
        except BadHttpMessage as exc:
            self._fail(exc)
            self.abort()
            return
        for message, payload in messages:
            self._receive_response(message, payload)
        if upgraded or tail:
            self.should_close = True

    def _receive_response(self, message: RawResponseMessage, payload: StreamReader) -> None:
        waiter = self._waiter
        if waiter is None:
            self.abort()
            return
        if message.code in INTERIM_STATUSES:
            return
        if message.code not in FINAL_STATUSES:
            self._fail(BadHttpMessage(f"response has status {message.code:03}"))
            self.abort()
            return
        self._waiter = None
        self._payload = payload
        self.should_close = self.should_close or message.should_close
        if not waiter.done():
            waiter.set_result(ResponseHead(message, payload))

    def _fail(self, exc: Exception) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(exc)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the response in progress, which counts as complete only if its framing says so."""
        super().connection_lost(exc)
        if self._parser is not None:
            try:
                self._parser.feed_eof()
            except Exception as problem:
                if self._payload is not None and not self._payload.is_eof():
                    self._payload.set_exception(problem)
        if self._payload is not None and not self._payload.is_eof():
            if self._payload.exception() is None:
                self._payload.set_exception(
                    ConnectionResetError("connection closed by upstream within the response body")
                )
        self._fail(ConnectionResetError("connection closed by upstream before it responded"))

    def abort(self) -> None:
        """Closes the connection immediately, so that the upstream can stop working on the call."""
        if self.transport is not None:
            self.transport.abort()


class UpstreamPool:
    """Idle connections by address. Those idle for longer than `MAX_IDLE_S` are closed."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._sweeper: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts closing idle connections."""
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Closes every idle connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for conns in self._idle.values():
            for conn in conns:
                conn.abort()
        self._idle.clear()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.time() - MAX_IDLE_S
        for conns in self._idle.values():
            while conns and (conns[0].idle_since < limit or not conns[0].is_open):
                conns.popleft().abort()
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def take(self, address: str) -> UpstreamConnection | None:
        """Returns the most recently used idle connection, or None."""
        conns = self._idle.get(address)
        while conns:
            conn = conns.pop()
            if conn.is_open:
                return conn
        return None

    async def connect(self, address: str) -> UpstreamConnection:
        """Opens a connection. Raises OSError or TimeoutError."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(
                lambda: UpstreamConnection(loop), host, int(port)
            )
        return conn

    def give_back(self, address: str, conn: UpstreamConnection, keep: bool) -> None:
        """Keeps a reusable connection if `keep` is set, and closes it otherwise."""
        if not keep or conn.should_close or not conn.is_open:
            conn.abort()
            return
        conn.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(address, deque()).append(conn)
