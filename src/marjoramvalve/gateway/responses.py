"""Responses to callers, and refusals as problem details (RFC 9457) with their run status."""

import math
from dataclasses import dataclass

import msgspec
from multidict import CIMultiDict

from marjoramvalve.gateway import headers as h
from marjoramvalve.outcomes import Refusal

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:marjoramvalve:refusal:"


@dataclass(slots=True)
class Response:
    """A complete response in memory. The connection is closed after it if `close` is set."""

    status: int
    headers: CIMultiDict[str]
    body: bytes = b""
    close: bool = False


@dataclass(frozen=True, slots=True)
class RelayedResponse:
    """A response that was streamed to the caller completely."""

    status: int


def problem_response(refusal: Refusal, request_id: str) -> Response:
    """Returns the problem details response for a refusal."""
    body = {
        "type": TYPE_PREFIX + refusal.reason,
        "title": refusal.reason.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "run": refusal.run,
        "request_id": request_id,
    }
    headers = CIMultiDict(
        {
            "Content-Type": PROBLEM_TYPE,
            h.RUN: refusal.run.value,
            h.REASON: refusal.reason.value,
            h.REQUEST_ID: request_id,
        }
    )
    if refusal.retry_after_s > 0:
        body["retry_after_ms"] = int(refusal.retry_after_s * 1000)
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return Response(refusal.status, headers, msgspec.json.encode(body))
