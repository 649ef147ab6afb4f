"""A keeper of idempotency records."""

from enum import StrEnum

import msgspec

from marjoramvalve.wire.messages import KeeperAnswer, KeeperBegin, KeeperFinish, RecordCopy


class KeeperVerdict(StrEnum):
    """Verdicts of a keeper."""

    STARTED = "started"
    EXISTS = "exists"
    NOT_READY = "not-ready"
    STORED = "stored"


class Keeper:
    """Records kept at this instance, as first or second keeper.

    A record goes from started to done and never back. A request may start only under the keeper's
    own placement epoch, once every other instance has handed over what it held, and while the
    instance knows its roster to be current; `ready` tells all of that.
    """

    def __init__(self) -> None:
        self._records: dict[str, RecordCopy] = {}

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, body: KeeperBegin, placement_epoch: int, ready: bool) -> KeeperAnswer:
        """Records a request as started, or tells what is known of it."""
        if not ready or body.placement_epoch != placement_epoch:
            return KeeperAnswer(body.nonce, KeeperVerdict.NOT_READY)
        known = self._records.get(body.record.scope)
        if known is None:
            self._records[body.record.scope] = body.record
            return KeeperAnswer(body.nonce, KeeperVerdict.STARTED)
        if known.owner == body.record.owner and not known.done:
            return KeeperAnswer(body.nonce, KeeperVerdict.STARTED)
        return KeeperAnswer(body.nonce, KeeperVerdict.EXISTS, known)

    def finish(self, body: KeeperFinish) -> KeeperAnswer:
        """Stores an answer, or withdraws a request of which nothing was sent."""
        known = self._records.get(body.record.scope)
        if body.withdrawn:
            if known is not None and known.owner == body.record.owner and not known.done:
                del self._records[body.record.scope]
        elif known is None or (known.owner == body.record.owner and not known.done):
            self._records[body.record.scope] = body.record
        return KeeperAnswer(body.nonce, KeeperVerdict.STORED)

    def merge(self, records: tuple[RecordCopy, ...]) -> None:
        """Takes in records handed over; a done one wins over a started one."""
        for record in records:
            known = self._records.get(record.scope)
            if known is None or (record.done and not known.done):
                self._records[record.scope] = record

    def records(self) -> tuple[RecordCopy, ...]:
        """Returns every record."""
        return tuple(self._records.values())

    def expire(self, now: float, retention_s: float) -> int:
        """Drops records older than the retention (wall time in seconds); returns how many."""
        old = [
            scope
            for scope, record in self._records.items()
            if record.started_at + retention_s < now
        ]
        for scope in old:
            del self._records[scope]
        return len(old)

    def size(self) -> int:
        """Returns the bytes held in stored answers."""
        return sum(len(record.answer) for record in self._records.values())


def complete_record(started: RecordCopy, answer: bytes) -> RecordCopy:
    """Returns the record with its stored answer."""
    return msgspec.structs.replace(started, done=True, answer=answer)
