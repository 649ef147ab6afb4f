"""Forwards requests to upstreams: sends one, then reads the response or reports the failure."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import ClientError, hdrs
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDict

from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.connections import ResponseHead, UpstreamConnection, UpstreamPool

TRANSPORT_ERRORS = (ClientError, HttpProcessingError, OSError, ValueError)


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream. `body` is bytes, or a stream that can be sent only once."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None
    repeatable: bool


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response held in memory."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    shed: bool
    retries_spent: bool


class StreamingResponse:
    """A response whose head was received and whose body is still to be read.

    It must be ended with `finish` once the body was read completely, or with `abort`.
    """

    def __init__(
        self, head: ResponseHead, conn: UpstreamConnection, buffered: bytes, release
    ) -> None:
        self.status = head.message.code
        self.headers = head.message.headers
        self.buffered = buffered
        self._payload = head.payload
        self._conn = conn
        self._release = release

    @property
    def length(self) -> int | None:
        """Body length from the Content-Length header, or None."""
        text = self.headers.get(hdrs.CONTENT_LENGTH, "")
        return int(text) if text.isdigit() else None

    async def parts(self) -> AsyncIterator[bytes]:
        """Yields the rest of the body. Raises one of `TRANSPORT_ERRORS` if it is incomplete."""
        while not self._payload.at_eof():
            part = await self._payload.readany()
            if part:
                yield part

    def finish(self) -> None:
        """Hands the connection back to the pool."""
        self._release(True)

    def abort(self) -> None:
        """Closes the connection."""
        self._conn.abort()


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream."""

    detail: str


@dataclass(frozen=True, slots=True)
class BrokenConnection:
    """The connection failed before the response was complete; the request may have run.

    `died` says whether the upstream may have crashed, as opposed to sending an invalid response.
    """

    detail: str
    died: bool


Attempt = BufferedResponse | StreamingResponse | NotSent | BrokenConnection


class Forwarder:
    """Sends requests to upstreams over pooled connections.

    Requests that may not be repeated get a new connection each: an upstream may close a pooled
    one just as the request is sent, and then it is unknown whether the request ran.
    """

    def __init__(self, buffer_bytes: int) -> None:
        self._buffer_bytes = buffer_bytes
        self._pool = UpstreamPool()

    async def start(self) -> None:
        """Starts closing idle connections."""
        self._pool.start()

    async def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    async def send(self, address: str, request: UpstreamRequest) -> Attempt:
        """Makes one attempt. Cancellation closes the connection, so that the upstream can stop."""
        conn = self._pool.take(address) if request.repeatable else None
        if conn is None:
            try:
                conn = await self._pool.connect(address)
            except (OSError, TimeoutError) as exc:
                return NotSent(f"cannot connect to upstream at {address}: {exc!r}")
        complete = False
        try:
            result = await self._exchange(address, conn, request)
            complete = not isinstance(result, BrokenConnection)
            return result
        except TRANSPORT_ERRORS as exc:
            died = isinstance(exc, OSError | ClientError)
            return BrokenConnection(f"upstream sent no complete response: {exc}", died)
        finally:
            if not complete:
                conn.abort()

    async def _exchange(
        self, address: str, conn: UpstreamConnection, request: UpstreamRequest
    ) -> Attempt:
        raw = _request_head(address, request)
        streamed = request.body is not None and not isinstance(request.body, bytes)
        if request.body is not None and not streamed:
            raw += request.body
        waiter = conn.send(raw, request.method == "HEAD")
        if streamed:
            await _send_body(conn, waiter, request)
        head = await waiter
        return await self._read(address, conn, head, request)

    async def _read(
        self, address: str, conn: UpstreamConnection, head: ResponseHead, request: UpstreamRequest
    ) -> Attempt:
        def release(keep: bool) -> None:
            self._pool.give_back(address, conn, keep and request.repeatable)

        payload = head.payload
        chunks = []
        size = 0
        length = head.message.headers.get(hdrs.CONTENT_LENGTH, "")
        has_body = request.method != "HEAD" and head.message.code not in (204, 304)
        if has_body and length.isdigit() and int(length) > self._buffer_bytes:
            return StreamingResponse(head, conn, b"", release)
        while has_body and not payload.at_eof():
            chunk = await payload.readany()
            chunks.append(chunk)
            size += len(chunk)
            if size > self._buffer_bytes:
                return StreamingResponse(head, conn, b"".join(chunks), release)
        if has_body and length.isdigit() and int(length) != size:
            return BrokenConnection(
                f"upstream sent {size} of {length} bytes of its response body", True
            )
        release(True)
        return _buffered_response(head, b"".join(chunks))


async def _send_body(
    conn: UpstreamConnection, waiter: asyncio.Future, request: UpstreamRequest
) -> None:
    """Sends a streamed body; stops early if the upstream has already responded."""
    chunked = hdrs.CONTENT_LENGTH not in request.headers
    async for part in request.body:
        if waiter.done():
            conn.should_close = True
            return
        conn.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
        await conn.drain()
    if chunked:
        conn.write(b"0\r\n\r\n")


def _request_head(address: str, request: UpstreamRequest) -> bytes:
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    headers = request.headers
    if hdrs.HOST not in headers:
        lines.append(f"Host: {address}")
    lines.extend([f"{name}: {value}" for name, value in headers.items()])
    if isinstance(request.body, bytes):
        lines.append(f"Content-Length: {len(request.body)}")
    elif request.body is not None and hdrs.CONTENT_LENGTH not in headers:
        lines.append("Transfer-Encoding: chunked")
    elif request.body is None and request.method in ("POST", "PUT", "PATCH"):
        lines.append("Content-Length: 0")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")


def _buffered_response(head: ResponseHead, body: bytes) -> BufferedResponse:
    headers = head.message.headers
    return BufferedResponse(
        head.message.code,
        h.returned_headers(headers),
        body,
        headers.get(h.RUN) == "not-run",
        h.RETRIES_SPENT in headers,
    )
