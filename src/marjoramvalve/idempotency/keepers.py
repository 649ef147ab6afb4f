"""Keeper: the idempotency records that one instance stores for the fleet."""

from enum import StrEnum

import msgspec

from marjoramvalve.wire.messages import (
    IdempotencyRecord,
    KeeperBeginRequest,
    KeeperFinishRequest,
    KeeperResponse,
)


class KeeperVerdict(StrEnum):
    """Result of a request to a keeper."""

    STARTED = "started"
    EXISTS = "exists"
    NOT_READY = "not-ready"
    STORED = "stored"


class Keeper:
    """Idempotency records that this instance stores as first or second keeper.

    A record changes from started to done and never back. A request may start only in the keeper's
    own placement epoch, after every other instance has handed over its records, and while the
    instance knows that its roster is current; the last two conditions are the argument `ready`.
    """

    def __init__(self) -> None:
        self._records: dict[str, IdempotencyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, body: KeeperBeginRequest, placement_epoch: int, ready: bool) -> KeeperResponse:
        """Records a request as started, or returns the existing record of another attempt."""
        if not ready or body.placement_epoch != placement_epoch:
            return KeeperResponse(body.nonce, KeeperVerdict.NOT_READY)
        existing = self._records.get(body.record.scope)
        if existing is None:
            self._records[body.record.scope] = body.record
            return KeeperResponse(body.nonce, KeeperVerdict.STARTED)
        if existing.owner == body.record.owner and not existing.done:
            return KeeperResponse(body.nonce, KeeperVerdict.STARTED)
        return KeeperResponse(body.nonce, KeeperVerdict.EXISTS, existing)

    def finish(self, body: KeeperFinishRequest) -> KeeperResponse:
        """Stores the answer of a request, or removes the record of a request that was not sent."""
        existing = self._records.get(body.record.scope)
        if body.withdrawn:
            if existing is not None and existing.owner == body.record.owner and not existing.done:
                del self._records[body.record.scope]
        elif existing is None or (existing.owner == body.record.owner and not existing.done):
            self._records[body.record.scope] = body.record
        return KeeperResponse(body.nonce, KeeperVerdict.STORED)

    def merge(self, records: tuple[IdempotencyRecord, ...]) -> None:
        """Adds records handed over by another instance; done records replace started ones."""
        for record in records:
            existing = self._records.get(record.scope)
            if existing is None or (record.done and not existing.done):
                self._records[record.scope] = record

    def records(self) -> tuple[IdempotencyRecord, ...]:
        """Returns every record."""
        return tuple(self._records.values())

    def expire(self, now: float, retention_s: float) -> int:
        """Drops records older than the retention and returns their number.

        Times are wall time in seconds.
        """
        old = [
            scope
            for scope, record in self._records.items()
            if record.started_at + retention_s < now
        ]
        for scope in old:
            del self._records[scope]
        return len(old)

    def size(self) -> int:
        """Returns the total size of the stored answers in bytes."""
        return sum(len(record.answer) for record in self._records.values())


def complete_record(started: IdempotencyRecord, answer: bytes) -> IdempotencyRecord:
    """Returns a copy of a record that is done and holds `answer`."""
    return msgspec.structs.replace(started, done=True, answer=answer)
