"""Refusals as answers: problem details (RFC 9457) with the run statement in body and header."""

import math

import msgspec
from aiohttp import web

from marjoramvalve.gateway import headers as h
from marjoramvalve.outcomes import Refusal

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:marjoramvalve:refusal:"


def problem_answer(refusal: Refusal, request_id: str) -> web.Response:
    """Returns the answer for a refusal."""
    body = {
        "type": TYPE_PREFIX + refusal.reason,
        "title": refusal.reason.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "run": refusal.run,
        "request_id": request_id,
    }
    headers = {h.RUN: refusal.run, h.REASON: refusal.reason, h.REQUEST_ID: request_id}
    if refusal.retry_after_s > 0:
        body["retry_after_ms"] = int(refusal.retry_after_s * 1000)
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode(body),
        headers=headers,
        content_type=PROBLEM_TYPE,
    )
