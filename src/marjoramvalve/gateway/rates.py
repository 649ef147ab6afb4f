"""Tokens of customers' rates for the calls of this instance."""

import asyncio
from dataclasses import dataclass, field

from marjoramvalve.gateway.contexts import Context
from marjoramvalve.membership import bucket_owner
from marjoramvalve.outcomes import Reason, Refusal, RunStatus, refuse
from marjoramvalve.rates import LotBook, LotOutcome
from marjoramvalve.retries import retry_after
from marjoramvalve.wire.messages import BucketTokenGrant, BucketTokenRequest, TokenTransfer

RESEND_S = 0.02
TRIES = 3
DRY_MOST_S = 0.02
ROUNDING = 1e-9
UNREACHABLE_RETRY_S = 0.5


@dataclass(slots=True)
class _Batch:
    waiting: list[asyncio.Future] = field(default_factory=list)
    task: asyncio.Task | None = None
    dry_until: float = 0.0
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Denied:
    retry_after_s: float
    known: bool


class RateClient:
    """Takes one token for each call: from the lot held here, else from a bucket's owner."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._lots = LotBook()
        self._batches: dict[str, _Batch] = {}
        self._answers: dict[int, asyncio.Future] = {}
        self._nonce = context.incarnation
        self._owners: dict[str, tuple[str, ...]] = {}
        self._owners_epoch = -1

    def close(self) -> None:
        """Ends every ask."""
        for batch in self._batches.values():
            if batch.task is not None:
                batch.task.cancel()

    def take_local(self, customer: str) -> bool:
        """Takes a token from the lot held here; False where the owner must be asked."""
        return self._lots.take(customer, self._context.clock()) is LotOutcome.TAKEN

    async def take(self, customer: str) -> Refusal | None:
        """Asks the owner for a token; returns the refusal, or None when the call may go on."""
        batch = self._batches.setdefault(customer, _Batch())
        now = self._context.clock()
        if now < batch.dry_until:
            return self._refusal(customer, batch.dry_until - now)
        fut = asyncio.get_running_loop().create_future()
        batch.waiting.append(fut)
        if batch.task is None:
            batch.task = asyncio.create_task(self._serve(customer, batch))
        return await fut

    def _refusal(self, customer: str, wait_s: float) -> Refusal:
        detail = f"rate of customer {customer!r} is used up"
        return refuse(
            Reason.RATE, detail, RunStatus.NOT_RUN, retry_after(wait_s, self._context.rng)
        )

    async def _serve(self, customer: str, batch: _Batch) -> None:
        try:
            await asyncio.sleep(0)
            while batch.waiting:
                await self._round(customer, batch)
        finally:
            batch.task = None
            for fut in batch.waiting:
                if not fut.done():
                    fut.set_result(self._refusal(customer, UNREACHABLE_RETRY_S))
            batch.waiting.clear()

    async def _round(self, customer: str, batch: _Batch) -> None:
        batch.waiting = [fut for fut in batch.waiting if not fut.done()]
        need = len(batch.waiting)
        if not need:
            return
        asked_at = self._context.clock()
        granted = await self._gather(customer, need)
        if isinstance(granted, _Denied):
            self._deny(customer, batch, need, granted)
            return
        for _ in range(min(int(granted), need)):
            fut = batch.waiting.pop(0)
            granted -= 1
            if not fut.done():
                fut.set_result(None)
        whole = int(granted)
        if whole:
            self._lots.put(customer, whole, asked_at, self._context.clock())
        self._give_back(customer, self._owner_addresses(customer)[0], granted - whole)

    def _deny(self, customer: str, batch: _Batch, need: int, denied: _Denied) -> None:
        """Refuses the calls that waited when the owners were asked.

        Until the first token can be there, later calls are refused without asking again.
        """
        now = self._context.clock()
        refused, batch.waiting = batch.waiting[:need], batch.waiting[need:]
        if denied.known:
            batch.dry_until = now + min(denied.retry_after_s, DRY_MOST_S)
        for fut in refused:
            if fut.done():
                continue
            if denied.known:
                fut.set_result(self._refusal(customer, denied.retry_after_s))
                continue
            detail = f"no owner of the rate of customer {customer!r} answers"
            wait = retry_after(UNREACHABLE_RETRY_S, self._context.rng)
            fut.set_result(refuse(Reason.NO_UPSTREAM, detail, RunStatus.NOT_RUN, wait))

    async def _gather(self, customer: str, need: int) -> float | _Denied:
        """Asks the own domain's owner, then puts together what the others have.

        Each may hold a part of a token, and the parts add up. What does not make a whole one is
        given to the own domain's owner, where the next call finds it.
        """
        addresses = self._owner_addresses(customer)
        if not addresses:
            return _Denied(UNREACHABLE_RETRY_S, False)
        answer = await self._ask(addresses[0], customer, need, False, False)
        known = answer is not None and answer.known
        if known and answer.granted >= 1:
            return answer.granted
        gathered = 0.0
        for position, address in enumerate([*addresses[1:], addresses[0]]):
            lend = position < len(addresses) - 1
            answer = await self._ask(address, customer, need, lend, True)
            if answer is not None and answer.known:
                known = True
                gathered += answer.granted
            if gathered >= need:
                break
        if gathered >= 1 - ROUNDING:
            return gathered + ROUNDING
        return self._put_back(customer, addresses[0], gathered, known)

    def _give_back(self, customer: str, address: str, tokens: float) -> None:
        if tokens > ROUNDING:
            epoch = self._context.view.roster.placement_epoch
            self._context.send_datagram(address, TokenTransfer(customer, epoch, tokens, True))

    def _put_back(self, customer: str, address: str, gathered: float, known: bool) -> _Denied:
        self._give_back(customer, address, gathered)
        item = self._context.view.document.customers.get(customer)
        wait = (1 - gathered) / item.rate if item and known else UNREACHABLE_RETRY_S
        return _Denied(wait, known)

    def _owner_addresses(self, customer: str) -> tuple[str, ...]:
        roster = self._context.view.roster
        if self._owners_epoch != roster.epoch:
            self._owners.clear()
            self._owners_epoch = roster.epoch
        found = self._owners.get(customer)
        if found is None:
            mine = self._context.cfg.domain
            domains = sorted({item.domain for item in roster.members}, key=lambda d: (d != mine, d))
            owners = (bucket_owner(roster, customer, domain) for domain in domains)
            found = tuple(owner.peer for owner in owners if owner is not None)
            self._owners[customer] = found
        return found

    async def _ask(
        self, address: str, customer: str, need: int, lend: bool, partial: bool
    ) -> BucketTokenGrant | None:
        self._nonce += 1
        nonce = self._nonce
        want = need if partial else need + self._lots.want(customer)
        epoch = self._context.view.roster.placement_epoch
        body = BucketTokenRequest(
            customer, epoch, float(need), float(want), nonce, lend, 0.0, partial
        )
        fut = asyncio.get_running_loop().create_future()
        self._answers[nonce] = fut
        try:
            for _ in range(TRIES):
                self._context.send_datagram(address, body)
                done, _ = await asyncio.wait((fut,), timeout=RESEND_S)
                if done:
                    return fut.result()
            return None
        finally:
            del self._answers[nonce]

    def on_response(self, body: BucketTokenGrant) -> bool:
        """Takes in an owner's answer; False where nobody waits for it any more."""
        fut = self._answers.get(body.nonce)
        if fut is None or fut.done():
            return False
        fut.set_result(body)
        return True
