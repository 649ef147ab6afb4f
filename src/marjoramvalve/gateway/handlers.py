"""Handles calls, from a caller's request to its response."""

import asyncio

import structlog
from multidict import CIMultiDict

from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.attempts import Attempts
from marjoramvalve.gateway.bodies import read_body
from marjoramvalve.gateway.callers import CallerRequest
from marjoramvalve.gateway.calls import Call, CallOpener
from marjoramvalve.gateway.contexts import Context
from marjoramvalve.gateway.forwarders import TRANSPORT_ERRORS, Forwarder, StreamingResponse
from marjoramvalve.gateway.idempotency import IdempotencyClient, Replay, Started, StoredResponse
from marjoramvalve.gateway.journals import Journal
from marjoramvalve.gateway.rates import RateClient
from marjoramvalve.gateway.responses import RelayedResponse, Response, problem_response
from marjoramvalve.gateway.slots import SlotClient
from marjoramvalve.idempotency import KeyProblem, parse_key, request_digest
from marjoramvalve.outcomes import Reason, Refusal, RunStatus, refuse
from marjoramvalve.retries import TokenSigner, retry_after
from marjoramvalve.routing import RouteTable
from marjoramvalve.telemetry import Tracing

MIN_TIME_LEFT_S = 0.001

log = structlog.get_logger("gateway")


class Gateway:
    """Serves the calls that reach one instance."""

    def __init__(
        self,
        context: Context,
        signer: TokenSigner,
        slots: SlotClient,
        rates: RateClient,
        idempotency: IdempotencyClient,
        tracing: Tracing,
        forwarder: Forwarder,
    ) -> None:
        self._context = context
        self._rates = rates
        self._idempotency = idempotency
        self.forwarder = forwarder
        self._opener = CallOpener(context, signer)
        self.attempts = Attempts(context, self._opener, signer, slots, tracing, forwarder)
        self.quarantine = self.attempts.quarantine
        self.journal = Journal()
        self.closing = False
        self.stopping = False
        self.running = 0

    async def start(self) -> None:
        """Opens the connections to upstreams."""
        await self.forwarder.start()

    async def close(self) -> None:
        """Closes the connections to upstreams."""
        await self.forwarder.close()

    def set_document(self) -> None:
        """Applies the routes of the current configuration."""
        self._opener.table = RouteTable(self._context.view.document.routes)
        self.attempts.set_document()

    async def handle(self, request: CallerRequest) -> Response | None:
        """Serves one request.

        Returns None if the response was already streamed to the caller or the stream was aborted.
        """
        self.running += 1
        try:
            response = await self._handle(request)
        except Exception:
            log.exception("gateway.fault", path=request.path)
            fault = refuse(Reason.INTERNAL, "internal error in the instance", RunStatus.UNKNOWN)
            response = self._refusal_response(request, fault, self._opener.new_request_id(), None)
        finally:
            self.running -= 1
        if isinstance(response, Response):
            response.close = response.close or self.closing
            return response
        return None

    async def _handle(self, request: CallerRequest) -> Response | RelayedResponse:
        if self.stopping:
            delay = retry_after(0.2, self._context.rng)
            stopping = refuse(Reason.STOPPING, "instance is stopping", RunStatus.NOT_RUN, delay)
            return self._refusal_response(request, stopping, self._opener.new_request_id(), None)
        call = self._opener.open(request)
        if isinstance(call, Refusal):
            return self._refusal_response(request, call, self._opener.new_request_id(), None)
        try:
            response = await self._serve(request, call)
        except asyncio.CancelledError:
            self._context.counters.add("calls", Reason.CANCELLED)
            raise
        finally:
            self.attempts.release(call)
            if call.span is not None:
                call.span.end()
        if isinstance(response, Refusal):
            return self._refusal_response(request, response, call.request_id, call)
        self._context.counters.add("calls", "answered")
        return response

    def _refusal_response(
        self, request: CallerRequest, refusal: Refusal, request_id: str, call: Call | None
    ) -> Response:
        counters = self._context.counters
        counters.add("calls", "refused")
        counters.add("refusals", refusal.reason)
        customer = call.customer if call else ""
        route = call.matched.name if call else ""
        now = self._context.wall()
        self.journal.add(request_id, refusal, customer, route, now, self._context.view.version)
        return problem_response(refusal, request_id)

    async def _serve(
        self, request: CallerRequest, call: Call
    ) -> Response | RelayedResponse | Refusal:
        call.span = self.attempts.tracing.start(call.traceparent, call.matched.name)
        if call.depth == 0 and call.customer and not self._rates.take_local(call.customer):
            refusal = await self._rates.take(call.customer)
            if refusal is not None:
                return refusal
        key_text = request.headers.get(h.IDEMPOTENCY_KEY)
        has_idempotency_key = key_text is not None and not call.matched.route.repeatable
        body = await read_body(request, self._context.cfg, has_idempotency_key)
        if isinstance(body, Refusal):
            return body
        if isinstance(body, bytes):
            call.body = body
        refusal = self._quarantined(request, call)
        if refusal is not None:
            return refusal
        if has_idempotency_key:
            return await self._serve_idempotent(request, call, key_text)
        return await self._run(request, call)

    def _quarantined(self, request: CallerRequest, call: Call) -> Refusal | None:
        if not len(self.quarantine) or call.body is None:
            return None
        request_fingerprint = call.fingerprint(request)
        now = self._context.clock()
        if self.quarantine.crashes(request_fingerprint, now):
            call.suspect = request_fingerprint
        if not self.quarantine.is_quarantined(request_fingerprint, now):
            return None
        delay = self._context.view.document.policy.quarantine_s
        detail = "request was quarantined because it crashed the upstreams that ran it"
        return refuse(Reason.QUARANTINED, detail, RunStatus.NOT_RUN, delay)

    async def _run(
        self, request: CallerRequest, call: Call
    ) -> Response | RelayedResponse | Refusal:
        result = await self.attempts.run(request, call)
        if isinstance(result, StreamingResponse):
            return await self._stream(request, call, result)
        return result

    # Idempotency

    async def _serve_idempotent(
        self, request: CallerRequest, call: Call, key_text: str
    ) -> Response | RelayedResponse | Refusal:
        parsed = parse_key(key_text)
        if isinstance(parsed, KeyProblem):
            return refuse(Reason.BAD_REQUEST, f"invalid idempotency key {parsed.text!r}")
        digest = request_digest(request.method, request.target, call.body)
        scope = f"{call.customer}\n{call.matched.name}\n{parsed.value}"
        outcome = await self._idempotency.begin(scope, parsed, digest, call.request_id)
        match outcome:
            case Refusal():
                return outcome
            case Replay(stored):
                headers = CIMultiDict(stored.headers)
                headers[h.REPLAYED] = "1"
                return Response(stored.status, headers, stored.body)
            case Started(record):
                return await self._run_idempotent(request, call, record)

    async def _run_idempotent(
        self, request: CallerRequest, call: Call, record
    ) -> Response | RelayedResponse | Refusal:
        try:
            response = await self._run(request, call)
        except asyncio.CancelledError:
            if not call.may_have_run:
                self._idempotency.withdraw(record)
            raise
        if not call.may_have_run:
            self._idempotency.withdraw(record)
            return response
        match response:
            case Response():
                headers = tuple((str(name), value) for name, value in response.headers.items())
                stored = StoredResponse(response.status, headers, response.body)
                await self._idempotency.finish(record, stored)
            case RelayedResponse(status):
                await self._idempotency.finish(record, StoredResponse(status, (), None))
        return response

    # Streamed responses

    async def _stream(
        self, request: CallerRequest, call: Call, streaming: StreamingResponse
    ) -> RelayedResponse | Refusal:
        """Relays a response as it arrives; aborts the caller's connection if it is incomplete."""
        chunked = streaming.length is None
        if chunked and not request.can_chunk:
            streaming.abort()
            detail = "response has no length, and the caller's HTTP version has no chunked encoding"
            return refuse(Reason.BAD_REQUEST, detail, RunStatus.UNKNOWN)
        headers = h.returned_headers(streaming.headers)
        headers[h.REQUEST_ID] = call.request_id
        try:
            async with asyncio.timeout(max(MIN_TIME_LEFT_S, call.deadline - self._context.clock())):
                request.start_response(streaming.status, headers, chunked)
                await _copy_body(request, streaming)
        except (*TRANSPORT_ERRORS, TimeoutError) as exc:
            log.warning("call.cut", request=call.request_id, error=repr(exc))
            self._context.counters.add("calls", "cut")
            streaming.abort()
            request.abort()
            raise asyncio.CancelledError from exc
        except asyncio.CancelledError:
            streaming.abort()
            raise
        return RelayedResponse(streaming.status)


async def _copy_body(request: CallerRequest, streaming: StreamingResponse) -> None:
    if streaming.buffered:
        await request.write(streaming.buffered)
    async for part in streaming.parts():
        await request.write(part)
    request.finish()
    streaming.finish()
