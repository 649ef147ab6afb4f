"""At most once for the calls of this instance: both keepers before the first byte."""

import asyncio
from dataclasses import dataclass

import msgspec

from marjoramvalve.gateway.contexts import Context
from marjoramvalve.membership import keepers
from marjoramvalve.once import IdempotencyKey, KeeperVerdict, done_record
from marjoramvalve.outcomes import Reason, Refusal, RunStatus, refuse
from marjoramvalve.retries import retry_after
from marjoramvalve.wire.messages import (
    IdempotencyRecord,
    KeeperBeginRequest,
    KeeperFinishRequest,
    KeeperResponse,
    Member,
    Message,
)

TRY_S = 0.15
TRIES = 3
STORE_TRIES = 20
CLOCK_SKEW_S = 30.0
MAX_STORED_BYTES = 262_144
NO_KEEPER_RETRY_S = 2.0


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """A whole answer as kept for resends. `body` is None where it was too large to keep."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Started:
    """The request may run; the record stands at both keepers."""

    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class Replay:
    """The request ran before; this is its whole answer."""

    answer: StoredResponse


class IdempotencyClient:
    """Talks to the keepers of the requests that this instance serves."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._nonce = context.incarnation
        self._answers: dict[int, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Waits for the storing of answers that is under way."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=TRY_S * TRIES)

    async def begin(
        self, scope: str, key: IdempotencyKey, digest: str, request_id: str
    ) -> Started | Replay | Refusal:
        """Records a request as started at both keepers, or tells what became of it before."""
        old = self._too_old(key)
        if old is not None:
            return old
        now = self._context.wall()
        record = IdempotencyRecord(scope, digest, key.created, now, False, request_id)
        places = keepers(self._context.view.roster, scope)
        if not places:
            return self._no_keeper()
        for position, place in enumerate(places):
            answer = await self._begin_at(place, record)
            match answer:
                case KeeperResponse(verdict=KeeperVerdict.STARTED):
                    continue
                case KeeperResponse(verdict=KeeperVerdict.EXISTS, record=known):
                    if position:
                        self._store(record, known, places)
                    return self._known(known, digest)
                case _:
                    self.withdraw(record)
                    return self._no_keeper()
        return Started(record)

    def _store(
        self, mine: IdempotencyRecord, known: IdempotencyRecord, places: tuple[Member, ...]
    ) -> None:
        """Puts the record that the second keeper knows in place of the one just begun."""
        if known.done:
            copied = msgspec.structs.replace(known, owner=mine.owner)
            self._spread(copied, False, places)

    def _too_old(self, key: IdempotencyKey) -> Refusal | None:
        floor = self._context.view.roster.idempotency_floor
        retention = self._context.view.document.policy.retention_s
        if not floor or self._context.wall() > floor + retention:
            return None
        if key.created > floor + CLOCK_SKEW_S:
            return None
        detail = (
            "records of idempotency keys were lost, and this key does not say that it was made "
            "after that; send a key with a `created` parameter"
        )
        return refuse(Reason.KEY_TOO_OLD, detail, RunStatus.UNKNOWN)

    def _no_keeper(self) -> Refusal:
        wait = retry_after(NO_KEEPER_RETRY_S, self._context.rng)
        detail = "keepers of the idempotency record do not answer"
        return refuse(Reason.NO_KEEPER, detail, RunStatus.NOT_RUN, wait)

    def _known(self, known: IdempotencyRecord, digest: str) -> Replay | Refusal:
        if known.request_digest != digest:
            detail = "idempotency key was used for another request"
            return refuse(Reason.KEY_REUSED, detail, RunStatus.NOT_RUN)
        if not known.done:
            detail = "request with this idempotency key was started; its outcome is unknown"
            return refuse(Reason.CONFLICT, detail, RunStatus.UNKNOWN)
        answer = msgspec.msgpack.decode(known.answer, type=StoredResponse)
        if answer.body is None:
            detail = "request with this idempotency key ran; its answer was too large to keep"
            return refuse(Reason.CONFLICT, detail, RunStatus.UNKNOWN)
        return Replay(answer)

    async def _begin_at(self, place: Member, record: IdempotencyRecord) -> KeeperResponse | None:
        epoch = self._context.view.roster.placement_epoch

        def build(nonce: int) -> Message:
            return KeeperBeginRequest(nonce, epoch, record)

        return await self._call(place.peer, build, TRIES)

    async def _call(self, address: str, build, tries: int) -> KeeperResponse | None:
        self._nonce += 1
        nonce = self._nonce
        fut = asyncio.get_running_loop().create_future()
        self._answers[nonce] = fut
        try:
            for _ in range(tries):
                self._context.send_stream(address, build(nonce))
                done, _ = await asyncio.wait((fut,), timeout=TRY_S)
                if done:
                    return fut.result()
            return None
        finally:
            del self._answers[nonce]

    def on_response(self, body: KeeperResponse) -> None:
        """Takes in a keeper's answer."""
        fut = self._answers.get(body.nonce)
        if fut is not None and not fut.done():
            fut.set_result(body)

    def withdraw(self, record: IdempotencyRecord) -> None:
        """Tells the keepers that nothing of the request was sent."""
        self._spread(record, True, ())

    async def finish(self, record: IdempotencyRecord, answer: StoredResponse) -> None:
        """Stores the answer at the keepers; returns once one of them has it, or after a while."""
        if answer.body is not None and len(answer.body) > MAX_STORED_BYTES:
            answer = msgspec.structs.replace(answer, body=None)
        done = done_record(record, msgspec.msgpack.encode(answer))
        tasks = self._spread(done, False, ())
        if tasks:
            await asyncio.wait(tasks, timeout=TRY_S, return_when=asyncio.FIRST_COMPLETED)

    def _spread(
        self, record: IdempotencyRecord, withdrawn: bool, places: tuple[Member, ...]
    ) -> list[asyncio.Task]:
        places = places or keepers(self._context.view.roster, record.scope)
        tasks = []
        for position in range(len(places)):
            task = asyncio.create_task(self._deliver(record, withdrawn, position, places))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            tasks.append(task)
        return tasks

    async def _deliver(
        self, record: IdempotencyRecord, withdrawn: bool, position: int, places: tuple[Member, ...]
    ) -> None:
        """Delivers to one keeper, looking it up anew after a change of placement."""
        for _ in range(STORE_TRIES):
            epoch = self._context.view.roster.placement_epoch

            def build(nonce: int, epoch: int = epoch) -> Message:
                return KeeperFinishRequest(nonce, epoch, record, withdrawn)

            if await self._call(places[position].peer, build, 1) is not None:
                if self._context.view.roster.placement_epoch == epoch:
                    return
            current = keepers(self._context.view.roster, record.scope)
            if position < len(current):
                places = current
