"""Rate limit tokens of customers for the calls of this instance."""

import asyncio
from dataclasses import dataclass, field

from marjoramvalve.gateway.contexts import Context
from marjoramvalve.membership import bucket_owner
from marjoramvalve.outcomes import Reason, Refusal, RunStatus, refuse
from marjoramvalve.rates import LotCache, LotOutcome
from marjoramvalve.retries import retry_after
from marjoramvalve.wire.messages import BucketTokenGrant, BucketTokenRequest, TokenTransfer

RESEND_INTERVAL_S = 0.02
MAX_ATTEMPTS = 3
MAX_EMPTY_S = 0.02
ROUNDING_TOLERANCE = 1e-9
UNREACHABLE_RETRY_S = 0.5


@dataclass(slots=True)
class _Batch:
    waiting: list[asyncio.Future] = field(default_factory=list)
    task: asyncio.Task | None = None
    empty_until: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Denied:
    """No token was granted; `known` is false if no owner could answer for its bucket."""

    retry_after_s: float
    known: bool


class RateClient:
    """Takes one token for each call, from the local lot or else from the owner of a bucket."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._lots = LotCache()
        self._batches: dict[str, _Batch] = {}
        self._pending_responses: dict[int, asyncio.Future] = {}
        self._nonce = context.incarnation
        self._owners: dict[str, tuple[str, ...]] = {}
        self._owners_epoch = -1

    def close(self) -> None:
        """Cancels all requests to owners."""
        for batch in self._batches.values():
            if batch.task is not None:
                batch.task.cancel()

    def take_local(self, customer: str) -> bool:
        """Takes a token from the local lot; returns False if the owner must be asked."""
        return self._lots.take(customer, self._context.clock()) is LotOutcome.TAKEN

    async def take(self, customer: str) -> Refusal | None:
        """Requests a token from the owner; returns None if it was granted, else the refusal."""
        batch = self._batches.setdefault(customer, _Batch())
        now = self._context.clock()
        if now < batch.empty_until:
            return self._refusal(customer, batch.empty_until - now)
        fut = asyncio.get_running_loop().create_future()
        batch.waiting.append(fut)
        if batch.task is None:
            batch.task = asyncio.create_task(self._serve(customer, batch))
        return await fut

    def _refusal(self, customer: str, wait_s: float) -> Refusal:
        detail = f"customer {customer!r} has exceeded its rate"
        return refuse(
            Reason.RATE, detail, RunStatus.NOT_RUN, retry_after(wait_s, self._context.rng)
        )

    async def _serve(self, customer: str, batch: _Batch) -> None:
        try:
            await asyncio.sleep(0)
            while batch.waiting:
                await self._serve_waiting(customer, batch)
        finally:
            batch.task = None
            for fut in batch.waiting:
                if not fut.done():
                    fut.set_result(self._refusal(customer, UNREACHABLE_RETRY_S))
            batch.waiting.clear()

    async def _serve_waiting(self, customer: str, batch: _Batch) -> None:
        batch.waiting = [fut for fut in batch.waiting if not fut.done()]
        need = len(batch.waiting)
        if not need:
            return
        requested_at = self._context.clock()
        granted = await self._collect_tokens(customer, need)
        if isinstance(granted, _Denied):
            self._deny(customer, batch, need, granted)
            return
        for _ in range(min(int(granted), need)):
            fut = batch.waiting.pop(0)
            granted -= 1
            if not fut.done():
                fut.set_result(None)
        whole_tokens = int(granted)
        if whole_tokens:
            self._lots.put(customer, whole_tokens, requested_at, self._context.clock())
        self._return_tokens(customer, self._owner_addresses(customer)[0], granted - whole_tokens)

    def _deny(self, customer: str, batch: _Batch, need: int, denied: _Denied) -> None:
        """Refuses the calls that were waiting when the owners were asked.

        Until the next token can be available, but at most for `MAX_EMPTY_S`, later calls are
        refused without asking again.
        """
        now = self._context.clock()
        refused, batch.waiting = batch.waiting[:need], batch.waiting[need:]
        if denied.known:
            batch.empty_until = now + min(denied.retry_after_s, MAX_EMPTY_S)
        for fut in refused:
            if fut.done():
                continue
            if denied.known:
                fut.set_result(self._refusal(customer, denied.retry_after_s))
                continue
            detail = f"no owner of the rate limit of customer {customer!r} responded"
            wait = retry_after(UNREACHABLE_RETRY_S, self._context.rng)
            fut.set_result(refuse(Reason.NO_UPSTREAM, detail, RunStatus.NOT_RUN, wait))

    async def _collect_tokens(self, customer: str, need: int) -> float | _Denied:
        """Requests tokens from the owner of the own domain, then collects those of the others.

        Each owner may hold a fraction of a token, and the fractions add up. If they add up to
        less than one token, they are moved to the owner of the own domain for the next call.
        """
        addresses = self._owner_addresses(customer)
        if not addresses:
            return _Denied(UNREACHABLE_RETRY_S, False)
        response = await self._request_tokens(addresses[0], customer, need, False, False)
        known = response is not None and response.known
        if known and response.granted >= 1:
            return response.granted
        collected = 0.0
        for position, address in enumerate([*addresses[1:], addresses[0]]):
            lend = position < len(addresses) - 1
            response = await self._request_tokens(address, customer, need, lend, True)
            if response is not None and response.known:
                known = True
                collected += response.granted
            if collected >= need:
                break
        if collected >= 1 - ROUNDING_TOLERANCE:
            return collected + ROUNDING_TOLERANCE
        return self._return_and_deny(customer, addresses[0], collected, known)

    def _return_tokens(self, customer: str, address: str, tokens: float) -> None:
        if tokens > ROUNDING_TOLERANCE:
            epoch = self._context.view.roster.placement_epoch
            self._context.send_datagram(address, TokenTransfer(customer, epoch, tokens, True))

    def _return_and_deny(
        self, customer: str, address: str, collected: float, known: bool
    ) -> _Denied:
        self._return_tokens(customer, address, collected)
        item = self._context.view.document.customers.get(customer)
        wait = (1 - collected) / item.rate if item and known else UNREACHABLE_RETRY_S
        return _Denied(wait, known)

    def _owner_addresses(self, customer: str) -> tuple[str, ...]:
        roster = self._context.view.roster
        if self._owners_epoch != roster.epoch:
            self._owners.clear()
            self._owners_epoch = roster.epoch
        found = self._owners.get(customer)
        if found is None:
            own_domain = self._context.cfg.domain
            domains = sorted(
                {item.domain for item in roster.members}, key=lambda d: (d != own_domain, d)
            )
            owners = (bucket_owner(roster, customer, domain) for domain in domains)
            found = tuple(owner.peer for owner in owners if owner is not None)
            self._owners[customer] = found
        return found

    async def _request_tokens(
        self, address: str, customer: str, need: int, lend: bool, partial: bool
    ) -> BucketTokenGrant | None:
        self._nonce += 1
        nonce = self._nonce
        want = need if partial else need + self._lots.spare_demand(customer)
        epoch = self._context.view.roster.placement_epoch
        body = BucketTokenRequest(
            customer, epoch, float(need), float(want), nonce, lend, 0.0, partial
        )
        fut = asyncio.get_running_loop().create_future()
        self._pending_responses[nonce] = fut
        try:
            for _ in range(MAX_ATTEMPTS):
                self._context.send_datagram(address, body)
                done, _ = await asyncio.wait((fut,), timeout=RESEND_INTERVAL_S)
                if done:
                    return fut.result()
            return None
        finally:
            del self._pending_responses[nonce]

    def on_response(self, body: BucketTokenGrant) -> bool:
        """Processes the response of an owner; returns False if no request is waiting for it."""
        fut = self._pending_responses.get(body.nonce)
        if fut is None or fut.done():
            return False
        fut.set_result(body)
        return True
