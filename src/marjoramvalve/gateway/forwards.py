"""One attempt at an upstream: send, read the answer whole, or say what went wrong."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from aiohttp import hdrs
from multidict import CIMultiDict
from yarl import URL

from marjoramvalve.gateway import headers as h

IDLE_CONNECTION_S = 10.0
CONNECT_S = 1.0
SKIP_HEADERS = frozenset({"User-Agent", "Accept", "Accept-Encoding", "Content-Type"})
TIMEOUTS = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to an upstream. `body` is bytes, or a stream that can be sent once."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None
    repeatable: bool


@dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer held in memory."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    shed: bool
    retries_spent: bool


@dataclass(frozen=True, slots=True)
class Streaming:
    """An answer whose head has come and whose body is still to be read."""

    response: aiohttp.ClientResponse
    head: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the upstream."""

    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection ended without a whole answer; the request may have run."""

    detail: str
    died: bool


Attempt = Whole | Streaming | NotSent | Broken


class Forwarder:
    """Sends requests to upstreams over warm connections.

    Requests that may not be repeated go over connections of their own: on a kept one, the
    upstream may close just as the request is sent, and then nobody knows whether it ran.
    """

    def __init__(self, buffer_bytes: int) -> None:
        self._buffer_bytes = buffer_bytes
        self._pooled: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None
        self._bases: dict[str, URL] = {}

    async def start(self) -> None:
        """Opens the sessions."""
        self._pooled = _session(aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S))
        self._single = _session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Closes the sessions."""
        await self._pooled.close()
        await self._single.close()

    async def send(self, address: str, out: Outgoing) -> Attempt:
        """Makes one attempt. Cancellation closes the connection, which tells the upstream."""
        session = self._pooled if out.repeatable else self._single
        url = URL(f"http://{address}{out.target}", encoded=True)
        try:
            response = await session.request(
                out.method,
                url,
                headers=out.headers,
                data=out.body,
                allow_redirects=False,
                skip_auto_headers=SKIP_HEADERS,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            return NotSent(str(exc))
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            return Broken(f"upstream gave no answer: {exc}", _died(exc))
        return await self._read(response, out.method)

    async def _read(self, response: aiohttp.ClientResponse, method: str) -> Attempt:
        if _has_no_body(response, method):
            response.release()
            return _whole(response, b"")
        length = response.headers.get(hdrs.CONTENT_LENGTH, "")
        if length.isdigit() and int(length) > self._buffer_bytes:
            return Streaming(response, b"")
        chunks = []
        size = 0
        try:
            async for chunk in response.content.iter_any():
                chunks.append(chunk)
                size += len(chunk)
                if size > self._buffer_bytes:
                    return Streaming(response, b"".join(chunks))
        except (aiohttp.ClientError, OSError) as exc:
            response.close()
            return Broken(f"answer of upstream ended early: {exc}", True)
        except asyncio.CancelledError:
            response.close()
            raise
        body = b"".join(chunks)
        if length.isdigit() and int(length) != size:
            response.close()
            return Broken(f"answer of upstream has {size} of {length} bytes", True)
        response.release()
        return _whole(response, body)


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=TIMEOUTS,
        trust_env=False,
    )
    # The library would send some methods a second time by itself after a broken connection;
    # retries are this project's to count.
    session._retry_connection = False
    return session


def _died(exc: Exception) -> bool:
    return isinstance(
        exc, aiohttp.ServerDisconnectedError | aiohttp.ClientOSError | ConnectionResetError
    )


def _has_no_body(response: aiohttp.ClientResponse, method: str) -> bool:
    return method == "HEAD" or response.status in (204, 304)


def _whole(response: aiohttp.ClientResponse, body: bytes) -> Whole:
    return Whole(
        response.status,
        h.returned_headers(response.headers),
        body,
        response.headers.get(h.RUN) == "not-run",
        h.RETRIES_SPENT in response.headers,
    )
