"""Calls in progress, and their opening: route, customer, priority and deadline."""

from dataclasses import dataclass

from marjoramvalve.gateway import headers as h
from marjoramvalve.gateway.callers import CallerRequest
from marjoramvalve.gateway.contexts import Context
from marjoramvalve.gateway.slots import HeldSlot
from marjoramvalve.model import PRIORITIES, key_digest
from marjoramvalve.outcomes import Reason, Refusal, RunStatus, refuse
from marjoramvalve.retries import CallToken, TokenSigner, fingerprint, retry_after
from marjoramvalve.routing import RouteMatch, RouteTable

MAX_CALL_DEPTH = 64


@dataclass(slots=True)
class Call:
    """A call in progress. `deadline` is in seconds on the monotonic clock.

    `body` is None if it is too large to buffer. `may_have_run` says whether an upstream may have
    run the call. `suspect` is the fingerprint of the request once an upstream has crashed while
    running it, and is empty otherwise.
    """

    request_id: str
    matched: RouteMatch
    customer: str
    weight: float
    rank: int
    retries: int
    deadline: float
    depth: int
    key: str
    key_hash: str
    body: bytes | None = None
    may_have_run: bool = False
    suspect: str = ""
    isolated: bool = False
    held: HeldSlot | None = None
    span: object = None
    traceparent: str = ""

    def fingerprint(self, request: CallerRequest) -> str:
        """Returns the fingerprint of the request, which the quarantine counts crashes by."""
        return fingerprint(self.customer, request.method, request.target, self.body)


class CallOpener:
    """Opens calls of external callers and sub-calls of upstreams."""

    def __init__(self, context: Context, signer: TokenSigner) -> None:
        self._context = context
        self._signer = signer
        self.table = RouteTable({})

    def new_request_id(self) -> str:
        """Returns a new request id."""
        return f"{self._context.rng.getrandbits(64):016x}"

    def open(self, request: CallerRequest) -> Call | Refusal:
        """Returns the call of a request, or the refusal if it may not proceed."""
        if not self._context.view.was_confirmed:
            delay = retry_after(0.5, self._context.rng)
            detail = "instance has no confirmed configuration yet"
            return refuse(Reason.STALE_CONFIG, detail, RunStatus.NOT_RUN, delay)
        path = request.path
        if not h.is_plain_path(path) or request.method == "CONNECT":
            return refuse(Reason.BAD_REQUEST, f"request target {path[:64]!r} is not a plain path")
        length = request.content_length
        if length is not None and length > self._context.cfg.max_body_bytes:
            return refuse(Reason.TOO_LARGE, f"body of {length} bytes exceeds the limit")
        matched = self.table.match(request.method, path)
        if matched is None:
            return refuse(Reason.NO_ROUTE, f"no route for {request.method} {path[:64]!r}")
        token_text = request.headers.get(h.TOKEN)
        if token_text is not None:
            now_ms = int(self._context.wall() * 1000)
            token = self._signer.verify(token_text, now_ms)
            if token is not None:
                return self._open_sub_call(request, matched, token, now_ms)
        return self._open_external_call(request, matched)

    def _open_sub_call(
        self, request: CallerRequest, matched: RouteMatch, token: CallToken, now_ms: int
    ) -> Call | Refusal:
        if token.depth >= MAX_CALL_DEPTH:
            return refuse(
                Reason.BAD_REQUEST, f"call chain of depth {token.depth} exceeds the limit"
            )
        customer = self._context.view.document.customers.get(token.customer)
        if token.customer and customer is None:
            detail = f"customer {token.customer!r} no longer exists"
            return refuse(Reason.UNKNOWN_KEY, detail)
        if not token.customer and not matched.route.open:
            return refuse(
                Reason.NO_KEY, "route is not open, and the call chain belongs to no customer"
            )
        return Call(
            request_id=f"{token.request_id}.{self._context.rng.getrandbits(24):06x}",
            matched=matched,
            customer=token.customer,
            weight=customer.weight if customer else 1.0,
            rank=_effective_rank(request, token.rank),
            retries=token.retries,
            deadline=self._deadline(request, matched, token.deadline_ms - now_ms),
            depth=token.depth + 1,
            key=h.caller_key(request.headers),
            key_hash="",
            traceparent=token.traceparent,
        )

    def _open_external_call(self, request: CallerRequest, matched: RouteMatch) -> Call | Refusal:
        key = h.caller_key(request.headers)
        customer = ""
        weight = 1.0
        rank = matched.rank
        hashed_key = ""
        if not matched.route.open:
            if not key:
                return refuse(Reason.NO_KEY, f"route {matched.name!r} requires a key")
            hashed_key = key_digest(key)
            found = self.customer_for_key(hashed_key)
            if isinstance(found, Refusal):
                return found
            customer = found
            item = self._context.view.document.customers[customer]
            weight = item.weight
            rank = min(rank, PRIORITIES.index(item.max_priority))
        return Call(
            request_id=self.new_request_id(),
            matched=matched,
            customer=customer,
            weight=weight,
            rank=_effective_rank(request, rank),
            retries=self._context.view.document.policy.chain_retries,
            deadline=self._deadline(request, matched, matched.route.deadline_ms),
            depth=0,
            key=key,
            key_hash=hashed_key,
            traceparent=request.headers.get(h.TRACEPARENT, ""),
        )

    def customer_for_key(self, hashed_key: str) -> str | Refusal:
        """Returns the customer of a key.

        Refuses if the settings demand a confirmed configuration and the lease of the current one
        has expired.
        """
        context = self._context
        if context.cfg.stale_config == "refuse" and not context.is_current():
            delay = retry_after(1.0, context.rng)
            detail = "configuration is not confirmed, so the key may have been withdrawn"
            return refuse(Reason.STALE_CONFIG, detail, RunStatus.NOT_RUN, delay)
        found = context.view.document.keys.get(hashed_key)
        if found is None:
            return refuse(Reason.UNKNOWN_KEY, "key does not exist or was withdrawn")
        return found.customer

    def _deadline(self, request: CallerRequest, matched: RouteMatch, left_ms: int) -> float:
        left = min(left_ms, matched.route.deadline_ms)
        requested = request.headers.get(h.DEADLINE, "")
        if requested.isdigit() and len(requested) < 10:
            left = min(left, int(requested))
        return self._context.clock() + left / 1000


def _effective_rank(request: CallerRequest, max_rank: int) -> int:
    requested = request.headers.get(h.PRIORITY)
    return min(max_rank, PRIORITIES.index(requested)) if requested in PRIORITIES else max_rank
