"""Tokens of customers' rates for the calls of this instance."""

import asyncio
from dataclasses import dataclass, field

from marjoramvalve.gateway.contexts import Context
from marjoramvalve.membership import bucket_owner
from marjoramvalve.outcomes import Reason, Refusal, Run, refuse
from marjoramvalve.rates import LotBook, LotOutcome
from marjoramvalve.retries import retry_after
from marjoramvalve.wire.messages import LotAnswer, LotRequest

RESEND_S = 0.02
TRIES = 3
DRY_MOST_S = 0.02
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

    def take_now(self, customer: str) -> bool:
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
        return refuse(Reason.RATE, detail, Run.NOT_RUN, retry_after(wait_s, self._context.rng))

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
        for _ in range(min(int(granted), len(batch.waiting))):
            fut = batch.waiting.pop(0)
            granted -= 1
            if not fut.done():
                fut.set_result(None)
        if granted > 0:
            self._lots.put(customer, granted, asked_at, self._context.clock())

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
            fut.set_result(refuse(Reason.NO_UPSTREAM, detail, Run.NOT_RUN, wait))

    async def _gather(self, customer: str, need: int) -> float | _Denied:
        """Asks the own domain's owner, then those of the other domains."""
        waits = []
        lend = False
        for address in self._owner_addresses(customer):
            answer = await self._ask(address, customer, need, lend)
            lend = True
            if answer is None or not answer.known:
                continue
            if answer.granted > 0:
                return answer.granted
            waits.append(answer.retry_after_s)
        return _Denied(min(waits, default=UNREACHABLE_RETRY_S), bool(waits))

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

    async def _ask(self, address: str, customer: str, need: int, lend: bool) -> LotAnswer | None:
        self._nonce += 1
        nonce = self._nonce
        want = need if lend else need + self._lots.want(customer)
        epoch = self._context.view.roster.placement_epoch
        body = LotRequest(customer, epoch, float(need), float(want), nonce, lend)
        fut = asyncio.get_running_loop().create_future()
        self._answers[nonce] = fut
        try:
            for _ in range(TRIES):
                self._context.cast(address, body)
                done, _ = await asyncio.wait((fut,), timeout=RESEND_S)
                if done:
                    return fut.result()
            return None
        finally:
            del self._answers[nonce]

    def on_answer(self, body: LotAnswer) -> bool:
        """Takes in an owner's answer; False where nobody waits for it any more."""
        fut = self._answers.get(body.nonce)
        if fut is None or fut.done():
            return False
        fut.set_result(body)
        return True
