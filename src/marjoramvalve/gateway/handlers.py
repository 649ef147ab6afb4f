"""Handler of calls: who calls, on which route, by what right, and what came of it."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import structlog
from aiohttp import web
from multidict import CIMultiDict

from marjoramvalve.admission import SlotDemand
from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.answers import problem_answer
from marjoramvalve.gateway.contexts import Context
from marjoramvalve.gateway.forwards import (
    BROKEN,
    Broken,
    Forwarder,
    NotSent,
    Outgoing,
    Streaming,
    Whole,
)
from marjoramvalve.gateway.idempotency import Begun, OnceClient, Replay, StoredAnswer
from marjoramvalve.gateway.journals import Journal
from marjoramvalve.gateway.rates import RateClient
from marjoramvalve.gateway.slots import SlotClient, SlotHeld
from marjoramvalve.model import PRIORITIES, key_digest
from marjoramvalve.once import KeyProblem, parse_key, request_digest
from marjoramvalve.outcomes import Reason, Refusal, Run, refuse
from marjoramvalve.retries import (
    CRASHES_TO_QUARANTINE,
    CallToken,
    ChainBudget,
    QuarantineBook,
    RouteBudget,
    TokenMint,
    fingerprint,
    hand_down,
    retry_after,
)
from marjoramvalve.routing import Matched, RouteTable
from marjoramvalve.telemetry import Tracing
from marjoramvalve.wire.messages import Quarantine

MAX_KEYED_BODY_BYTES = 1 << 20
RETRIED_STATUS = frozenset({502, 503, 504})
MAX_DEPTH = 64
HTTP_UPSTREAM_ERROR = 500

log = structlog.get_logger("gateway")


@dataclass(slots=True)
class Call:
    """One call on its way. `deadline` is on the monotonic clock in seconds."""

    request_id: str
    matched: Matched
    customer: str
    weight: float
    rank: int
    retries: int
    deadline: float
    depth: int
    key: str
    key_hash: str
    body: bytes | None
    maybe_ran: bool = False
    suspect: str = ""
    alone: bool = False
    held: SlotHeld | None = None
    span: object = None
    traceparent: str = ""


class Gateway:
    """The call path of one instance."""

    def __init__(
        self,
        context: Context,
        mint: TokenMint,
        slots: SlotClient,
        rates: RateClient,
        once: OnceClient,
        tracing: Tracing,
        forwarder: Forwarder,
    ) -> None:
        self._context = context
        self._mint = mint
        self._slots = slots
        self._rates = rates
        self._once = once
        self._tracing = tracing
        self._forwarder = forwarder
        self._table = RouteTable({})
        self._budgets: dict[str, RouteBudget] = {}
        self.quarantine = QuarantineBook()
        self.journal = Journal()
        self.closing = False
        self.stopping = False
        self.running = 0
        self._suspect_lanes: dict[str, asyncio.Lock] = {}

    async def start(self) -> None:
        """Opens the connections to upstreams."""
        await self._forwarder.start()

    async def close(self) -> None:
        """Closes the connections to upstreams."""
        await self._forwarder.close()

    def set_document(self) -> None:
        """Takes the routes of the present configuration."""
        document = self._context.view.document
        self._table = RouteTable(document.routes)
        ratio = document.policy.retry_ratio
        self._budgets = {
            name: self._budgets.get(name) or RouteBudget(ratio) for name in document.routes
        }
        for budget in self._budgets.values():
            budget.ratio = ratio

    # Entry

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request of a caller or of an upstream's sub-call."""
        self.running += 1
        try:
            answer = await self._handle(request)
        except Exception:
            log.exception("gateway.fault", path=request.path)
            fault = refuse(Reason.INTERNAL, "fault inside the instance", Run.UNKNOWN)
            answer = await self._refuse(request, fault, self._new_id(), None)
        finally:
            self.running -= 1
        if self.closing:
            answer.force_close()
        return answer

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        call: Call | None = None
        request_id = ""
        try:
            opened = self._open(request)
            if isinstance(opened, Refusal):
                request_id = self._new_id()
                return await self._refuse(request, opened, request_id, None)
            call = opened
            request_id = call.request_id
            answer = await self._serve(request, call)
        except asyncio.CancelledError:
            self._context.counters.add("calls", Reason.CANCELLED)
            raise
        finally:
            if call is not None:
                self._release(call)
        if isinstance(answer, Refusal):
            return await self._refuse(request, answer, request_id, call)
        self._context.counters.add("calls", "answered")
        return answer

    def _release(self, call: Call) -> None:
        if call.held is not None:
            self._slots.give_back(call.held)
            call.held = None
        if call.span is not None:
            call.span.end()

    async def _refuse(
        self, request: web.BaseRequest, refusal: Refusal, request_id: str, call: Call | None
    ) -> web.StreamResponse:
        counters = self._context.counters
        counters.add("calls", "refused")
        counters.add("refusals", refusal.reason)
        customer = call.customer if call else ""
        route = call.matched.name if call else ""
        now = self._context.wall()
        self.journal.add(request_id, refusal, customer, route, now, self._context.view.version)
        answer = problem_answer(refusal, request_id)
        if not request.content.is_eof():
            answer.force_close()
        return answer

    def _new_id(self) -> str:
        return f"{self._context.rng.getrandbits(64):016x}"

    # Who calls, and where to

    def _open(self, request: web.BaseRequest) -> Call | Refusal:
        if self.stopping:
            delay = retry_after(0.2, self._context.rng)
            return refuse(Reason.STOPPING, "instance is stopping", Run.NOT_RUN, delay)
        path = request.rel_url.raw_path
        if not h.is_plain_path(path) or request.method == "CONNECT":
            return refuse(Reason.BAD_REQUEST, f"request target {path[:64]!r} is not a plain path")
        length = request.content_length
        if length is not None and length > self._context.cfg.max_body_bytes:
            return refuse(Reason.TOO_LARGE, f"body of {length} bytes is too large")
        matched = self._table.match(request.method, path)
        if matched is None:
            return refuse(Reason.NO_ROUTE, f"no route for {request.method} {path[:64]!r}")
        token_text = request.headers.get(h.TOKEN)
        if token_text is not None:
            now_ms = int(self._context.wall() * 1000)
            token = self._mint.open(token_text, now_ms)
            if token is not None:
                return self._open_sub_call(request, matched, token, now_ms)
        return self._open_outside(request, matched)

    def _open_sub_call(
        self, request: web.BaseRequest, matched: Matched, token: CallToken, now_ms: int
    ) -> Call | Refusal:
        if token.depth >= MAX_DEPTH:
            return refuse(Reason.BAD_REQUEST, f"call chain is {token.depth} calls deep")
        left_ms = token.deadline_ms - now_ms
        customer = self._context.view.document.customers.get(token.customer)
        if token.customer and customer is None:
            detail = f"customer {token.customer!r} does not exist any more"
            return refuse(Reason.UNKNOWN_KEY, detail)
        if not token.customer and not matched.route.open:
            return refuse(Reason.NO_KEY, "route is not open, and the call chain has no customer")
        return Call(
            request_id=f"{token.request_id}.{self._context.rng.getrandbits(24):06x}",
            matched=matched,
            customer=token.customer,
            weight=customer.weight if customer else 1.0,
            rank=min(token.rank, self._claimed_rank(request, token.rank)),
            retries=token.retries,
            deadline=self._deadline(request, matched, left_ms),
            depth=token.depth + 1,
            key=h.caller_key(request.headers),
            key_hash="",
            body=None,
            traceparent=token.traceparent,
        )

    def _open_outside(self, request: web.BaseRequest, matched: Matched) -> Call | Refusal:
        key = h.caller_key(request.headers)
        customer = ""
        weight = 1.0
        rank = matched.rank
        hashed = ""
        if not matched.route.open:
            if not key:
                return refuse(Reason.NO_KEY, f"route {matched.name!r} needs a key")
            hashed = key_digest(key)
            found = self._customer_of(hashed)
            if isinstance(found, Refusal):
                return found
            customer = found
            item = self._context.view.document.customers[customer]
            weight = item.weight
            rank = min(rank, PRIORITIES.index(item.max_priority))
        return Call(
            request_id=self._new_id(),
            matched=matched,
            customer=customer,
            weight=weight,
            rank=min(rank, self._claimed_rank(request, rank)),
            retries=self._context.view.document.policy.chain_retries,
            deadline=self._deadline(request, matched, matched.route.deadline_ms),
            depth=0,
            key=key,
            key_hash=hashed,
            body=None,
            traceparent=request.headers.get(h.TRACEPARENT, ""),
        )

    def _customer_of(self, hashed: str) -> str | Refusal:
        """Returns the customer of a key, as far as the configuration is known to be current."""
        context = self._context
        if context.cfg.stale_config == "refuse" and not context.is_current():
            delay = retry_after(1.0, context.rng)
            detail = "configuration is not confirmed, so a key may have been withdrawn"
            return refuse(Reason.STALE_CONFIG, detail, Run.NOT_RUN, delay)
        found = context.view.document.keys.get(hashed)
        if found is None:
            return refuse(Reason.UNKNOWN_KEY, "key does not exist or was withdrawn")
        return found.customer

    def _claimed_rank(self, request: web.BaseRequest, default: int) -> int:
        claimed = request.headers.get(h.PRIORITY)
        return PRIORITIES.index(claimed) if claimed in PRIORITIES else default

    def _deadline(self, request: web.BaseRequest, matched: Matched, left_ms: int) -> float:
        left = min(left_ms, matched.route.deadline_ms)
        claimed = request.headers.get(h.DEADLINE, "")
        if claimed.isdigit() and len(claimed) < 10:
            left = min(left, int(claimed))
        return self._context.clock() + left / 1000

    # The way of a call

    async def _serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse | Refusal:
        call.span = self._tracing.start(call.traceparent, call.matched.name)
        if call.depth == 0 and call.customer and not self._rates.take_now(call.customer):
            refusal = await self._rates.take(call.customer)
            if refusal is not None:
                return refusal
        refusal = await self._read_body(request, call)
        if refusal is not None:
            return refusal
        if len(self.quarantine) and call.body is not None:
            mark = _mark(request, call)
            now = self._context.clock()
            if self.quarantine.crashes(mark, now):
                call.suspect = mark
            if self.quarantine.is_quarantined(mark, now):
                delay = self._context.view.document.policy.quarantine_s
                detail = "request has crashed the upstreams that ran it"
                return refuse(Reason.QUARANTINED, detail, Run.NOT_RUN, delay)
        key_text = request.headers.get(h.IDEMPOTENCY_KEY)
        if key_text is not None and not call.matched.route.repeatable:
            return await self._serve_once(request, call, key_text)
        return await self._attempts(request, call)

    async def _read_body(self, request: web.BaseRequest, call: Call) -> Refusal | None:
        """Reads a body that fits the buffer; leaves a larger one to be streamed."""
        if not request.body_exists:
            call.body = b""
            return None
        cfg = self._context.cfg
        keyed = h.IDEMPOTENCY_KEY in request.headers and not call.matched.route.repeatable
        most = MAX_KEYED_BODY_BYTES if keyed else cfg.buffer_bytes
        length = request.content_length
        if length is None or length <= most:
            try:
                async with asyncio.timeout(cfg.read_timeout):
                    raw = await _read_up_to(request, most)
            except TimeoutError:
                detail = f"body did not come within {cfg.read_timeout:g} s"
                return refuse(Reason.SLOW_CALLER, detail)
            if isinstance(raw, bytes):
                call.body = raw
                return None
            request["head"] = raw.head
        if keyed:
            detail = f"body of a request with an idempotency key is above {most} bytes"
            return refuse(Reason.TOO_LARGE, detail)
        return None

    async def _serve_once(
        self, request: web.BaseRequest, call: Call, key_text: str
    ) -> web.StreamResponse | Refusal:
        parsed = parse_key(key_text)
        if isinstance(parsed, KeyProblem):
            return refuse(Reason.BAD_REQUEST, f"idempotency key {parsed.text!r} does not parse")
        digest = request_digest(request.method, request.rel_url.raw_path_qs, call.body or b"")
        scope = f"{call.customer}\n{call.matched.name}\n{parsed.value}"
        begun = await self._once.begin(scope, parsed, digest, call.request_id)
        match begun:
            case Refusal():
                return begun
            case Replay(answer):
                headers = CIMultiDict(answer.headers)
                headers[h.REPLAYED] = "1"
                return web.Response(status=answer.status, headers=headers, body=answer.body)
            case Begun(record):
                return await self._run_once(request, call, record)

    async def _run_once(
        self, request: web.BaseRequest, call: Call, record
    ) -> web.StreamResponse | Refusal:
        try:
            answer = await self._attempts(request, call)
        except asyncio.CancelledError:
            if not call.maybe_ran:
                self._once.withdraw(record)
            raise
        if not call.maybe_ran:
            self._once.withdraw(record)
            return answer
        match answer:
            case web.Response():
                headers = tuple((str(name), value) for name, value in answer.headers.items())
                body = bytes(answer.body or b"")
                await self._once.finish(record, StoredAnswer(answer.status, headers, body))
            case web.StreamResponse():
                stored = StoredAnswer(answer.status, (), None)
                await self._once.finish(record, stored)
        return answer

    async def _attempts(self, request: web.BaseRequest, call: Call) -> web.StreamResponse | Refusal:
        """Makes the attempts that the budgets allow and returns what came of the last."""
        attempts = ChainBudget(call.retries).attempts()
        budget = self._budgets.get(call.matched.name)
        avoid: frozenset[str] = frozenset()
        result: web.StreamResponse | Refusal | None = None
        for attempt in range(attempts):
            if attempt and (budget is None or not budget.take()):
                break
            if attempt:
                self._context.counters.add("retries", call.matched.route.service)
            outcome = await self._guarded(request, call, attempt, avoid)
            if isinstance(outcome, Refusal) and result is not None and not call.held:
                break
            result, again = self._judge(request, call, outcome, attempt + 1 < attempts)
            if call.held is not None:
                avoid = avoid | {call.held.name}
            if not again:
                if budget is not None and isinstance(outcome, Whole | Streaming):
                    budget.succeeded()
                break
            self._give_back(call)
        match result:
            case Streaming():
                return await self._stream(request, call, result)
            case Refusal() if call.maybe_ran:
                return refuse(result.reason, result.detail, Run.UNKNOWN, result.retry_after_s)
            case web.Response() if call.maybe_ran:
                result.headers.popall(h.RUN, None)
        return result

    async def _guarded(
        self, request: web.BaseRequest, call: Call, attempt: int, avoid: frozenset[str]
    ):
        """Makes an attempt; those of crash suspects go one at a time for each service.

        When an upstream crashes, every request it was running becomes a suspect. Retried
        together they would crash together again, and the innocent ones be quarantined as well.
        """
        if not call.suspect:
            return await self._attempt(request, call, attempt, avoid)
        lane = self._suspect_lanes.setdefault(call.matched.route.service, asyncio.Lock())
        async with lane:
            call.alone = True
            outcome = await self._attempt(request, call, attempt, avoid)
        if isinstance(outcome, Whole):
            self.quarantine.clear(call.suspect)
            call.suspect = ""
        return outcome

    def _give_back(self, call: Call) -> None:
        if call.held is not None:
            self._slots.give_back(call.held)
            call.held = None

    async def _attempt(
        self, request: web.BaseRequest, call: Call, attempt: int, avoid: frozenset[str]
    ):
        """Takes a slot and sends; returns a Refusal, or what came back."""
        service = call.matched.route.service
        demand = SlotDemand(call.rank, call.customer, call.weight, call.deadline)
        held = await self._slots.acquire(service, demand, avoid)
        if isinstance(held, Refusal):
            return held
        call.held = held
        if call.key_hash:
            found = self._customer_of(call.key_hash)
            if isinstance(found, Refusal):
                return found
        left_s = call.deadline - self._context.clock()
        if left_s <= 0:
            return refuse(Reason.DEADLINE, "deadline passed before the request was sent")
        out = self._outgoing(request, call, attempt, left_s)
        self._context.counters.add("attempts", service)
        started = self._context.clock()
        ran_before, call.maybe_ran = call.maybe_ran, True
        try:
            async with asyncio.timeout(left_s):
                result = await self._forwarder.send(held.address, out)
        except TimeoutError:
            self._slots.observe(held, left_s, False, False)
            detail = "deadline passed while the upstream was at work"
            return refuse(Reason.DEADLINE, detail, Run.UNKNOWN)
        if isinstance(result, NotSent) or (isinstance(result, Whole) and result.shed):
            call.maybe_ran = ran_before
        self._observe(held, result, self._context.clock() - started)
        return result

    def _observe(self, held: SlotHeld, result, latency_s: float) -> None:
        match result:
            case Whole(status=status, shed=False) if status == HTTP_UPSTREAM_ERROR:
                self._slots.observe(held, latency_s, False, True)
            case Whole(shed=shed):
                self._slots.observe(held, latency_s, shed, False)
            case Streaming():
                self._slots.observe(held, latency_s, False, False)
            case NotSent() | Broken():
                self._slots.observe(held, latency_s, False, True)

    def _judge(self, request: web.BaseRequest, call: Call, outcome, may_retry: bool):
        """Returns (answer or refusal, whether to try again)."""
        repeatable = call.matched.route.repeatable and call.body is not None
        match outcome:
            case Refusal():
                return outcome, False
            case NotSent(detail):
                delay = retry_after(0.5, self._context.rng)
                refusal = refuse(Reason.UPSTREAM_FAILED, detail, Run.NOT_RUN, delay)
                return refusal, may_retry and call.body is not None
            case Broken(detail, died):
                crashes = self._note_crash(request, call) if died else 0
                refusal = refuse(Reason.UPSTREAM_FAILED, detail, Run.UNKNOWN)
                return refusal, may_retry and repeatable and crashes < CRASHES_TO_QUARANTINE
            case Whole(shed=True):
                again = may_retry and call.body is not None
                return self._answer(call, outcome, not again), again
            case Whole(status=status) if status in RETRIED_STATUS and not outcome.retries_spent:
                again = may_retry and repeatable
                return self._answer(call, outcome, not again), again
            case Whole():
                return self._answer(call, outcome, outcome.retries_spent), False
            case Streaming():
                return outcome, False

    def _note_crash(self, request: web.BaseRequest, call: Call) -> int:
        """Counts a crash against the request's fingerprint and tells the failure domain.

        Once it is quarantined the whole fleet is told, or each domain would lose two upstreams.
        """
        if call.body is None:
            return 0
        mark = _mark(request, call)
        call.suspect = mark
        ttl = self._context.view.document.policy.quarantine_s
        crashes = self.quarantine.crashed(mark, call.alone, ttl, self._context.clock())
        log.warning("call.crash_suspect", request=call.request_id, crashes=crashes)
        everywhere = crashes >= CRASHES_TO_QUARANTINE
        for member in self._context.view.roster.members:
            if everywhere or member.domain == self._context.cfg.domain:
                self._context.cast(member.peer, Quarantine(mark, crashes, ttl))
        return crashes

    def _outgoing(
        self, request: web.BaseRequest, call: Call, attempt: int, left_s: float
    ) -> Outgoing:
        headers = h.forwarded_headers(request.headers, call.key)
        left_ms = int(left_s * 1000)
        traceparent = self._tracing.traceparent(call.span, call.traceparent)
        token = CallToken(
            call.request_id,
            call.customer,
            call.rank,
            hand_down(call.retries, attempt),
            int(self._context.wall() * 1000) + left_ms,
            call.depth,
            traceparent,
        )
        headers[h.TOKEN] = self._mint.seal(token)
        headers[h.DEADLINE] = str(left_ms)
        headers[h.REQUEST_ID] = call.request_id
        if traceparent:
            headers[h.TRACEPARENT] = traceparent
        body: bytes | AsyncIterator[bytes] | None = call.body
        if body is None:
            body = self._stream_body(request)
            if request.content_length is not None:
                headers["Content-Length"] = str(request.content_length)
        return Outgoing(
            request.method,
            h.forwarded_target(request.rel_url.raw_path_qs, call.key),
            headers,
            body or None,
            call.matched.route.repeatable,
        )

    async def _stream_body(self, request: web.BaseRequest) -> AsyncIterator[bytes]:
        size = 0
        head = request.get("head", b"")
        if head:
            size = len(head)
            yield head
        while True:
            async with asyncio.timeout(self._context.cfg.read_timeout):
                chunk = await request.content.readany()
            if not chunk:
                return
            size += len(chunk)
            if size > self._context.cfg.max_body_bytes:
                raise ValueError(f"body is above {self._context.cfg.max_body_bytes} bytes")
            yield chunk

    # Answers

    def _answer(self, call: Call, whole: Whole, spent: bool) -> web.Response:
        headers = whole.headers
        headers[h.REQUEST_ID] = call.request_id
        if whole.status >= HTTP_UPSTREAM_ERROR and (spent or call.retries == 0):
            headers[h.RETRIES_SPENT] = "1"
        if whole.shed:
            headers[h.RUN] = Run.NOT_RUN
        if whole.body:
            headers.popall("Content-Length", None)
            return web.Response(status=whole.status, headers=headers, body=whole.body)
        return web.Response(status=whole.status, headers=headers)

    async def _stream(
        self, request: web.BaseRequest, call: Call, streaming: Streaming
    ) -> web.StreamResponse:
        """Passes an answer on as it comes; breaks the caller's connection where it is not whole."""
        headers = h.returned_headers(streaming.headers)
        answer = web.StreamResponse(status=streaming.status, headers=headers)
        answer.headers[h.REQUEST_ID] = call.request_id
        if streaming.length is None:
            answer.enable_chunked_encoding()
        try:
            async with asyncio.timeout(max(0.001, call.deadline - self._context.clock())):
                await self._copy(request, answer, streaming)
        except (*BROKEN, TimeoutError) as exc:
            log.warning("call.cut", request=call.request_id, error=repr(exc))
            self._context.counters.add("calls", "cut")
            streaming.abort()
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError from exc
        except asyncio.CancelledError:
            streaming.abort()
            raise
        return answer

    async def _copy(
        self, request: web.BaseRequest, answer: web.StreamResponse, streaming: Streaming
    ) -> None:
        write_timeout = self._context.cfg.write_timeout
        await answer.prepare(request)
        if streaming.first:
            await answer.write(streaming.first)
        async for chunk in streaming.parts():
            async with asyncio.timeout(write_timeout):
                await answer.write(chunk)
        await answer.write_eof()
        streaming.finish()


def _mark(request: web.BaseRequest, call: Call) -> str:
    target = request.rel_url.raw_path_qs
    return fingerprint(call.customer, request.method, target, call.body)


@dataclass(frozen=True, slots=True)
class _TooMuch:
    head: bytes


async def _read_up_to(request: web.BaseRequest, most: int) -> bytes | _TooMuch:
    chunks = []
    size = 0
    while True:
        chunk = await request.content.readany()
        if not chunk:
            return b"".join(chunks)
        chunks.append(chunk)
        size += len(chunk)
        if size > most:
            return _TooMuch(b"".join(chunks))
