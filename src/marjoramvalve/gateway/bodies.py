"""Bodies of callers' requests: buffered if they fit in memory limits, streamed otherwise."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp.http_exceptions import HttpProcessingError

from marjoramvalve.gateway.callers import CallerRequest
from marjoramvalve.outcomes import Reason, Refusal, refuse
from marjoramvalve.settings import Settings

MAX_KEYED_BODY_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The body must be streamed; the part already read is the request's `body_prefix`."""


async def read_body(
    request: CallerRequest, cfg: Settings, has_idempotency_key: bool
) -> bytes | BodyTooLarge | Refusal:
    """Reads a body that fits the buffer. With an idempotency key, larger bodies are refused."""
    if not request.body_exists:
        return b""
    max_bytes = MAX_KEYED_BODY_BYTES if has_idempotency_key else cfg.buffer_bytes
    length = request.content_length
    if length is None or length <= max_bytes:
        try:
            async with asyncio.timeout(cfg.read_timeout):
                raw = await _read_up_to(request, max_bytes)
        except TimeoutError:
            return refuse(
                Reason.SLOW_CALLER, f"body was not received within {cfg.read_timeout:g} s"
            )
        except (OSError, HttpProcessingError):
            return refuse(Reason.BAD_REQUEST, "body is incomplete")
        if len(raw) <= max_bytes:
            return raw
        request.body_prefix = raw
    if has_idempotency_key:
        detail = f"body of a request with an idempotency key exceeds {max_bytes} bytes"
        return refuse(Reason.TOO_LARGE, detail)
    return BodyTooLarge()


async def _read_up_to(request: CallerRequest, max_bytes: int) -> bytes:
    """Returns the whole body, or its first part if it is longer than `max_bytes`."""
    chunks = []
    size = 0
    while size <= max_bytes:
        chunk = await request.content.readany()
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
    return b"".join(chunks)


async def stream_body(request: CallerRequest, cfg: Settings) -> AsyncIterator[bytes]:
    """Yields a body as it arrives.

    Raises ValueError if it exceeds the size limit, and TimeoutError if a read takes too long.
    """
    size = len(request.body_prefix)
    if size:
        yield request.body_prefix
    while True:
        async with asyncio.timeout(cfg.read_timeout):
            chunk = await request.content.readany()
        if not chunk:
            return
        size += len(chunk)
        if size > cfg.max_body_bytes:
            raise ValueError(f"body exceeds {cfg.max_body_bytes} bytes")
        yield chunk
