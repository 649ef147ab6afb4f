"""Responses that a node generates itself: problem details that tell whether the request ran."""

import asyncio
import random

import structlog

from marjoramvalve.h1 import IncomingRequest
from marjoramvalve.mesh.calls import Call
from marjoramvalve.outcomes import Reason, RunStatus
from marjoramvalve.telemetry import MetricsRegistry

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # They state that the request has not run.
# The jitter is the largest random extension of Retry-After, as a fraction of it.
MIN_RETRY_AFTER_S, RETRY_JITTER = 0.1, 0.5
PROBLEM_HEADER = b"Content-Type: application/problem+json\r\n"

log = structlog.get_logger("egress")


class LocalResponder:
    """Sends, logs and counts the responses that the node generates itself."""

    def __init__(self, metrics: MetricsRegistry, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._metrics = metrics
        self._rng = rng

    def respond(
        self, request: IncomingRequest, reason: Reason, status: int, after_s: float, run: RunStatus
    ) -> None:
        """Responds to a request.

        `after_s` is the time in seconds after which its caller may retry; 0 stands for never.
        """
        self._metrics.add("own_answers", f"{status} {reason}")
        head = PROBLEM_HEADER
        if after_s > 0 and status in NOT_RUN_STATUSES:
            retry_after_s = max(MIN_RETRY_AFTER_S, after_s) * (
                1 + RETRY_JITTER * self._rng.random()
            )
            head += b"Retry-After: %.2f\r\n" % retry_after_s
        body = b'{"type":"urn:marjoramvalve:refusal:%b","run":"%b"}' % (
            reason.value.encode(),
            run.value.encode(),
        )
        request.respond(status, head, body)

    def refuse(
        self,
        request: IncomingRequest,
        reason: Reason,
        status: int,
        after_s: float,
        **inputs: object,
    ) -> None:
        """Refuses a request before it becomes a call, and logs the reason."""
        log.info(
            "request.refused",
            request=request.attempt,
            reason=str(reason),
            status=status,
            after_s=round(after_s, 3),
            **inputs,
        )
        self.respond(request, reason, status, after_s, RunStatus.NOT_RUN)

    def log_call(self, event: str, call: Call, reason: Reason, detail: str, version: int) -> None:
        """Logs why a call ends without a response from an upstream."""
        log.info(
            event,
            request=call.attempt,
            route=call.target.name,
            service=call.service,
            customer=call.customer,
            rank=call.rank,
            reason=str(reason),
            detail=detail,
            peer=call.peer.name if call.peer is not None else "",
            tries=call.tries,
            runs=call.runs,
            held_ms=int((self._loop.time() - call.request.received_at) * 1000),
            version=version,
        )
