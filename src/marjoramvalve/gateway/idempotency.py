"""At-most-once execution for the calls of this instance.

A request with an idempotency key is recorded at both of its keepers before its first byte is sent
to an upstream.
"""

import asyncio
from dataclasses import dataclass

import msgspec

from marjoramvalve.gateway.contexts import Context
from marjoramvalve.idempotency import IdempotencyKey, KeeperVerdict, complete_record
from marjoramvalve.membership import keepers
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

ATTEMPT_TIMEOUT_S = 0.15
MAX_ATTEMPTS = 3
MAX_STORE_ATTEMPTS = 20
CLOCK_SKEW_S = 30.0
MAX_STORED_BYTES = 262_144
NO_KEEPER_RETRY_S = 2.0


class StoredResponse(msgspec.Struct, frozen=True, array_like=True):
    """A response stored for resends of its request. `body` is None if it was too large to store."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Started:
    """The request may run; both keepers have its record."""

    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class Replay:
    """The request ran before; `response` is its stored response."""

    response: StoredResponse


class IdempotencyClient:
    """Exchanges messages with the keepers of the requests that this instance serves."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._nonce = context.incarnation
        self._pending_responses: dict[int, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Waits for responses that are still being stored, for a bounded time."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=ATTEMPT_TIMEOUT_S * MAX_ATTEMPTS)

    async def begin(
        self, scope: str, key: IdempotencyKey, digest: str, request_id: str
    ) -> Started | Replay | Refusal:
        """Records a request as started at both keepers.

        Returns the stored response or a refusal if the request was started before.
        """
        too_old = self._key_too_old(key)
        if too_old is not None:
            return too_old
        now = self._context.wall()
        record = IdempotencyRecord(scope, digest, key.created, now, False, request_id)
        targets = keepers(self._context.view.roster, scope)
        if not targets:
            return self._no_keeper_refusal()
        for position, target in enumerate(targets):
            response = await self._begin_at(target, record)
            match response:
                case KeeperResponse(verdict=KeeperVerdict.STARTED):
                    continue
                case KeeperResponse(verdict=KeeperVerdict.EXISTS, record=existing):
                    if position:
                        self._adopt_existing(record, existing, targets)
                    return self._resolve_existing(existing, digest)
                case _:
                    self.withdraw(record)
                    return self._no_keeper_refusal()
        return Started(record)

    def _adopt_existing(
        self,
        own_record: IdempotencyRecord,
        existing: IdempotencyRecord,
        targets: tuple[Member, ...],
    ) -> None:
        """Replaces the record just started at the first keeper by the one of the second keeper."""
        if existing.done:
            copied = msgspec.structs.replace(existing, owner=own_record.owner)
            self._send_to_keepers(copied, False, targets)

    def _key_too_old(self, key: IdempotencyKey) -> Refusal | None:
        floor = self._context.view.roster.idempotency_floor
        retention = self._context.view.document.policy.retention_s
        if not floor or self._context.wall() > floor + retention:
            return None
        if key.created > floor + CLOCK_SKEW_S:
            return None
        detail = (
            "records of idempotency keys were lost, and this key may have been created before "
            "that; send a key with a `created` parameter"
        )
        return refuse(Reason.KEY_TOO_OLD, detail, RunStatus.UNKNOWN)

    def _no_keeper_refusal(self) -> Refusal:
        wait = retry_after(NO_KEEPER_RETRY_S, self._context.rng)
        detail = "keepers of the idempotency record did not respond"
        return refuse(Reason.NO_KEEPER, detail, RunStatus.NOT_RUN, wait)

    def _resolve_existing(self, existing: IdempotencyRecord, digest: str) -> Replay | Refusal:
        if existing.request_digest != digest:
            detail = "idempotency key was used for another request"
            return refuse(Reason.KEY_REUSED, detail, RunStatus.NOT_RUN)
        if not existing.done:
            detail = "request with this idempotency key was started, and its outcome is unknown"
            return refuse(Reason.CONFLICT, detail, RunStatus.UNKNOWN)
        response = msgspec.msgpack.decode(existing.answer, type=StoredResponse)
        if response.body is None:
            detail = (
                "request with this idempotency key ran, but its response was too large to store"
            )
            return refuse(Reason.CONFLICT, detail, RunStatus.UNKNOWN)
        return Replay(response)

    async def _begin_at(self, target: Member, record: IdempotencyRecord) -> KeeperResponse | None:
        epoch = self._context.view.roster.placement_epoch

        def build(nonce: int) -> Message:
            return KeeperBeginRequest(nonce, epoch, record)

        return await self._call(target.peer, build, MAX_ATTEMPTS)

    async def _call(self, address: str, build, tries: int) -> KeeperResponse | None:
        self._nonce += 1
        nonce = self._nonce
        fut = asyncio.get_running_loop().create_future()
        self._pending_responses[nonce] = fut
        try:
            for _ in range(tries):
                self._context.send_stream(address, build(nonce))
                done, _ = await asyncio.wait((fut,), timeout=ATTEMPT_TIMEOUT_S)
                if done:
                    return fut.result()
            return None
        finally:
            del self._pending_responses[nonce]

    def on_response(self, body: KeeperResponse) -> None:
        """Processes the response of a keeper."""
        fut = self._pending_responses.get(body.nonce)
        if fut is not None and not fut.done():
            fut.set_result(body)

    def withdraw(self, record: IdempotencyRecord) -> None:
        """Tells the keepers that the request was not sent to any upstream."""
        self._send_to_keepers(record, True, ())

    async def finish(self, record: IdempotencyRecord, response: StoredResponse) -> None:
        """Stores the response at the keepers.

        Returns once one of them has acknowledged it, or after `ATTEMPT_TIMEOUT_S`.
        """
        if response.body is not None and len(response.body) > MAX_STORED_BYTES:
            response = msgspec.structs.replace(response, body=None)
        done = complete_record(record, msgspec.msgpack.encode(response))
        tasks = self._send_to_keepers(done, False, ())
        if tasks:
            await asyncio.wait(
                tasks, timeout=ATTEMPT_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
            )

    def _send_to_keepers(
        self, record: IdempotencyRecord, withdrawn: bool, targets: tuple[Member, ...]
    ) -> list[asyncio.Task]:
        targets = targets or keepers(self._context.view.roster, record.scope)
        tasks = []
        for position in range(len(targets)):
            task = asyncio.create_task(self._deliver(record, withdrawn, position, targets))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            tasks.append(task)
        return tasks

    async def _deliver(
        self, record: IdempotencyRecord, withdrawn: bool, position: int, targets: tuple[Member, ...]
    ) -> None:
        """Delivers a record to one keeper, which is looked up again if the placement changes."""
        for _ in range(MAX_STORE_ATTEMPTS):
            epoch = self._context.view.roster.placement_epoch

            def build(nonce: int, epoch: int = epoch) -> Message:
                return KeeperFinishRequest(nonce, epoch, record, withdrawn)

            if await self._call(targets[position].peer, build, 1) is not None:
                if self._context.view.roster.placement_epoch == epoch:
                    return
            current = keepers(self._context.view.roster, record.scope)
            if position < len(current):
                targets = current
