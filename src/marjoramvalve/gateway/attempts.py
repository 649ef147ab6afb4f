"""Attempts of a call at upstreams, within its retry budgets, and the retry decision after each."""

import asyncio
from dataclasses import dataclass

import structlog

from marjoramvalve.admission import SlotDemand
from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.bodies import stream_body
from marjoramvalve.gateway.callers import CallerRequest
from marjoramvalve.gateway.calls import Call, CallOpener
from marjoramvalve.gateway.contexts import Context
from marjoramvalve.gateway.forwarders import (
    BrokenConnection,
    BufferedResponse,
    Forwarder,
    NotSent,
    StreamingResponse,
    UpstreamRequest,
)
from marjoramvalve.gateway.responses import Response
from marjoramvalve.gateway.slots import HeldSlot, SlotClient
from marjoramvalve.outcomes import Reason, Refusal, RunStatus, refuse
from marjoramvalve.retries import (
    CRASHES_TO_QUARANTINE,
    CallToken,
    ChainBudget,
    QuarantineTable,
    RouteBudget,
    TokenSigner,
    child_budget,
    retry_after,
)
from marjoramvalve.telemetry import Tracing
from marjoramvalve.wire.messages import Quarantine

RETRYABLE_STATUSES = frozenset({502, 503, 504})
INTERNAL_SERVER_ERROR = 500

Outcome = BufferedResponse | StreamingResponse | NotSent | BrokenConnection | Refusal

log = structlog.get_logger("gateway")


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """The result of an attempt for the caller, and whether to retry."""

    result: Response | StreamingResponse | Refusal
    retry: bool


class Attempts:
    """Makes the attempts of calls, and keeps the retry budgets and the quarantine."""

    def __init__(
        self,
        context: Context,
        opener: CallOpener,
        signer: TokenSigner,
        slots: SlotClient,
        tracing: Tracing,
        forwarder: Forwarder,
    ) -> None:
        self._context = context
        self._opener = opener
        self._signer = signer
        self._slots = slots
        self.tracing = tracing
        self._forwarder = forwarder
        self._budgets: dict[str, RouteBudget] = {}
        self._suspect_locks: dict[str, asyncio.Lock] = {}
        self.quarantine = QuarantineTable()

    def set_document(self) -> None:
        """Applies the routes and the retry ratio of the current configuration."""
        document = self._context.view.document
        ratio = document.policy.retry_ratio
        self._budgets = {
            name: self._budgets.get(name) or RouteBudget(ratio) for name in document.routes
        }
        for budget in self._budgets.values():
            budget.ratio = ratio

    async def run(
        self, request: CallerRequest, call: Call
    ) -> Response | StreamingResponse | Refusal:
        """Makes the attempts that the budgets allow.

        Returns the result of the last one, or of the one before if no slot was free for a retry.
        """
        max_attempts = ChainBudget(call.retries).max_attempts()
        budget = self._budgets.get(call.matched.name)
        avoid: frozenset[str] = frozenset()
        decision: RetryDecision | None = None
        for attempt in range(max_attempts):
            if attempt and (budget is None or not budget.take()):
                break
            if attempt:
                self._context.counters.add("retries", call.matched.route.service)
            outcome = await self._attempt_isolated(request, call, attempt, avoid)
            if decision is not None and isinstance(outcome, Refusal) and call.held is None:
                break  # No slot for a retry: keep the previous result.
            decision = self._decide_retry(request, call, outcome, attempt + 1 < max_attempts)
            if not decision.retry:
                if budget is not None and isinstance(outcome, BufferedResponse | StreamingResponse):
                    budget.record_success()
                break
            avoid = avoid | {call.held.name}
            self.release(call)
        return _correct_run_status(call, decision.result)

    def release(self, call: Call) -> None:
        """Releases the call's slot, if it holds one."""
        if call.held is not None:
            self._slots.give_back(call.held)
            call.held = None

    async def _attempt_isolated(
        self, request: CallerRequest, call: Call, attempt: int, avoid: frozenset[str]
    ) -> Outcome:
        """Makes an attempt; those of crash suspects run one at a time for each service.

        When an upstream crashes, every request it was running becomes a suspect. If suspects were
        retried together, one crash would count against all of them, and harmless requests would
        be quarantined too.
        """
        if not call.suspect:
            return await self._attempt(request, call, attempt, avoid)
        lock = self._suspect_locks.setdefault(call.matched.route.service, asyncio.Lock())
        async with lock:
            call.isolated = True
            outcome = await self._attempt(request, call, attempt, avoid)
        if isinstance(outcome, BufferedResponse):
            self.quarantine.clear(call.suspect)
            call.suspect = ""
        return outcome

    async def _attempt(
        self, request: CallerRequest, call: Call, attempt: int, avoid: frozenset[str]
    ) -> Outcome:
        """Acquires a slot and sends the request, unless the key was withdrawn during the wait."""
        service = call.matched.route.service
        demand = SlotDemand(call.rank, call.customer, call.weight, call.deadline)
        held = await self._slots.acquire(service, demand, avoid)
        if isinstance(held, Refusal):
            return held
        call.held = held
        if call.key_hash:
            found = self._opener.customer_for_key(call.key_hash)
            if isinstance(found, Refusal):
                return found
        left_s = call.deadline - self._context.clock()
        if left_s <= 0:
            return refuse(Reason.DEADLINE, "deadline passed before the request was sent")
        self._context.counters.add("attempts", service)
        return await self._send(
            held, call, self._build_upstream_request(request, call, attempt, left_s), left_s
        )

    async def _send(
        self, held: HeldSlot, call: Call, upstream_request: UpstreamRequest, left_s: float
    ) -> Outcome:
        started = self._context.clock()
        may_have_run_before, call.may_have_run = call.may_have_run, True
        try:
            async with asyncio.timeout(left_s):
                result = await self._forwarder.send(held.address, upstream_request)
        except TimeoutError:
            self._slots.observe(held, left_s, False, False)
            detail = "deadline passed while the upstream was processing the request"
            return refuse(Reason.DEADLINE, detail, RunStatus.UNKNOWN)
        if isinstance(result, NotSent) or (isinstance(result, BufferedResponse) and result.shed):
            call.may_have_run = may_have_run_before
        self._observe(held, result, self._context.clock() - started)
        return result

    def _observe(self, held: HeldSlot, result: Outcome, latency_s: float) -> None:
        match result:
            case BufferedResponse(status=status, shed=False) if status == INTERNAL_SERVER_ERROR:
                self._slots.observe(held, latency_s, False, True)
            case BufferedResponse(shed=shed):
                self._slots.observe(held, latency_s, shed, False)
            case StreamingResponse():
                self._slots.observe(held, latency_s, False, False)
            case NotSent() | BrokenConnection():
                self._slots.observe(held, latency_s, False, True)

    def _decide_retry(
        self, request: CallerRequest, call: Call, outcome: Outcome, may_retry: bool
    ) -> RetryDecision:
        body_buffered = call.body is not None
        repeatable = call.matched.route.repeatable and body_buffered
        match outcome:
            case Refusal() | StreamingResponse():
                return RetryDecision(outcome, False)
            case NotSent(detail):
                delay = retry_after(0.5, self._context.rng)
                refusal = refuse(Reason.UPSTREAM_FAILED, detail, RunStatus.NOT_RUN, delay)
                return RetryDecision(refusal, may_retry and body_buffered)
            case BrokenConnection(detail, died):
                crashes = self._record_crash(request, call) if died else 0
                refusal = refuse(Reason.UPSTREAM_FAILED, detail, RunStatus.UNKNOWN)
                return RetryDecision(
                    refusal, may_retry and repeatable and crashes < CRASHES_TO_QUARANTINE
                )
            case BufferedResponse(shed=True):
                retry = may_retry and body_buffered
                return RetryDecision(_build_response(call, outcome, not retry), retry)
            case BufferedResponse(status=status) if (
                status in RETRYABLE_STATUSES and not outcome.retries_spent
            ):
                retry = may_retry and repeatable
                return RetryDecision(_build_response(call, outcome, not retry), retry)
            case BufferedResponse():
                return RetryDecision(_build_response(call, outcome, outcome.retries_spent), False)

    def _record_crash(self, request: CallerRequest, call: Call) -> int:
        """Counts a crash against the request's fingerprint and informs the failure domain.

        Once the request is quarantined, the whole fleet is informed; otherwise it would crash two
        upstreams in every failure domain. Returns the number of crashes.
        """
        if call.body is None:
            return 0
        request_fingerprint = call.fingerprint(request)
        call.suspect = request_fingerprint
        ttl = self._context.view.document.policy.quarantine_s
        crashes = self.quarantine.record_crash(
            request_fingerprint, call.isolated, ttl, self._context.clock()
        )
        log.warning("call.crash_suspect", request=call.request_id, crashes=crashes)
        everywhere = crashes >= CRASHES_TO_QUARANTINE
        for member in self._context.view.roster.members:
            if everywhere or member.domain == self._context.cfg.domain:
                self._context.send_datagram(
                    member.peer, Quarantine(request_fingerprint, crashes, ttl)
                )
        return crashes

    def _build_upstream_request(
        self, request: CallerRequest, call: Call, attempt: int, left_s: float
    ) -> UpstreamRequest:
        headers = h.forwarded_headers(request.headers, call.key)
        left_ms = int(left_s * 1000)
        traceparent = self.tracing.traceparent(call.span, call.traceparent)
        token = CallToken(
            call.request_id,
            call.customer,
            call.rank,
            child_budget(call.retries, attempt),
            int(self._context.wall() * 1000) + left_ms,
            call.depth,
            traceparent,
        )
        headers[h.TOKEN] = self._signer.sign(token)
        headers[h.DEADLINE] = str(left_ms)
        headers[h.REQUEST_ID] = call.request_id
        if traceparent:
            headers[h.TRACEPARENT] = traceparent
        body = call.body
        if body is None:
            body = stream_body(request, self._context.cfg)
            if request.content_length is not None:
                headers["Content-Length"] = str(request.content_length)
        target = h.forwarded_target(request.target, call.key)
        repeatable = call.matched.route.repeatable
        return UpstreamRequest(request.method, target, headers, body or None, repeatable)


def _build_response(
    call: Call, upstream_response: BufferedResponse, retries_spent: bool
) -> Response:
    headers = upstream_response.headers
    headers[h.REQUEST_ID] = call.request_id
    if upstream_response.status >= INTERNAL_SERVER_ERROR and (retries_spent or call.retries == 0):
        headers[h.RETRIES_SPENT] = "1"
    if upstream_response.shed:
        headers[h.RUN] = RunStatus.NOT_RUN.value
    return Response(upstream_response.status, headers, upstream_response.body)


def _correct_run_status(
    call: Call, result: Response | StreamingResponse | Refusal
) -> Response | StreamingResponse | Refusal:
    """Replaces the run status `not-run` if an earlier attempt may have run."""
    match result:
        case Refusal() if call.may_have_run:
            return refuse(result.reason, result.detail, RunStatus.UNKNOWN, result.retry_after_s)
        case Response() if call.may_have_run:
            result.headers.popall(h.RUN, None)
    return result
