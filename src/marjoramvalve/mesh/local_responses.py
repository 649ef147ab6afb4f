"""Answers that a node gives in its own name: problem details with a statement on the run."""

import asyncio
import random

import structlog

from marjoramvalve.h1 import IncomingRequest
from marjoramvalve.mesh.calls import Call
from marjoramvalve.outcomes import Reason, Run
from marjoramvalve.telemetry import Exposition

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # Statuses that say a request has not run.
LEAST_AFTER_S, JITTER = 0.1, 0.5  # Refused callers come back over a spread of this part.
PROBLEM = b"Content-Type: application/problem+json\r\n"

log = structlog.get_logger("egress")


class LocalResponder:
    """Writes, logs and counts the answers."""

    def __init__(self, metrics: Exposition, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._metrics = metrics
        self._rng = rng

    def respond(
        self, request: IncomingRequest, reason: Reason, status: int, after_s: float, run: Run
    ) -> None:
        """Answers a request; `after_s` is when its caller may come back, 0 for never."""
        self._metrics.add("own_answers", f"{status} {reason}")
        head = PROBLEM
        if after_s > 0 and status in NOT_RUN_STATUSES:
            spread_s = max(LEAST_AFTER_S, after_s) * (1 + JITTER * self._rng.random())
            head += b"Retry-After: %.2f\r\n" % spread_s
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
        """Refuses a request that has not become a call, and writes why."""
        log.info(
            "request.refused",
            request=request.attempt,
            reason=str(reason),
            status=status,
            after_s=round(after_s, 3),
            **inputs,
        )
        self.respond(request, reason, status, after_s, Run.NOT_RUN)

    def log_call(self, event: str, call: Call, reason: Reason, detail: str, version: int) -> None:
        """Writes why a call ends without an answer of an upstream."""
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
