"""Bodies of callers' requests: held where they fit, streamed where they do not."""

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
    """A body that is to be streamed; what was read of it stands in the request's `head`."""


async def read_body(
    request: CallerRequest, cfg: Settings, has_idempotency_key: bool
) -> bytes | BodyTooLarge | Refusal:
    """Reads a body that fits the buffer. Bodies of keyed requests are always held."""
    if not request.body_exists:
        return b""
    max_bytes = MAX_KEYED_BODY_BYTES if has_idempotency_key else cfg.buffer_bytes
    length = request.content_length
    if length is None or length <= max_bytes:
        try:
            async with asyncio.timeout(cfg.read_timeout):
                raw = await _read_up_to(request, max_bytes)
        except TimeoutError:
            return refuse(Reason.SLOW_CALLER, f"body did not come within {cfg.read_timeout:g} s")
        except (OSError, HttpProcessingError):
            return refuse(Reason.BAD_REQUEST, "body broke off")
        if len(raw) <= max_bytes:
            return raw
        request.body_prefix = raw
    if has_idempotency_key:
        detail = f"body of a request with an idempotency key is above {max_bytes} bytes"
        return refuse(Reason.TOO_LARGE, detail)
    return BodyTooLarge()


async def _read_up_to(request: CallerRequest, max_bytes: int) -> bytes:
    """Returns the whole body, or a first part that is longer than `most`."""
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
    """Yields a body as it comes. Raises ValueError where it is above the limit, TimeoutError."""
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
            raise ValueError(f"body is above {cfg.max_body_bytes} bytes")
        yield chunk
