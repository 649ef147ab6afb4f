"""Hand-over of idempotency records when the placement of keepers changes.

In a new placement epoch each instance sends every other instance the records that the other one
has to keep from then on, in at least one part even if there are none. A keeper is ready once it
has received all parts from all others. An instance is settled once it is ready and all the parts
that it sent have been acknowledged.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from marjoramvalve.wire.messages import HandOver, IdempotencyRecord

MAX_PART_BYTES = 200_000
RESEND_INTERVAL_S = 0.5


@dataclass(slots=True)
class _Outgoing:
    parts: dict[int, HandOver]
    sent_at: float = -1e18


@dataclass(slots=True)
class _Incoming:
    parts: set[int] = field(default_factory=set)
    last_part: int = -1

    def is_complete(self) -> bool:
        return self.last_part >= 0 and len(self.parts) == self.last_part + 1


def split_parts(placement_epoch: int, records: list[IdempotencyRecord]) -> dict[int, HandOver]:
    """Splits records into numbered parts of about `MAX_PART_BYTES` at most; the last is marked.

    A record that exceeds the limit alone gets a part of its own.
    """
    groups: list[list[IdempotencyRecord]] = [[]]
    size = 0
    for record in records:
        size += len(record.answer) + len(record.scope) + 100
        if size > MAX_PART_BYTES and groups[-1]:
            groups.append([])
            size = len(record.answer) + len(record.scope) + 100
        groups[-1].append(record)
    last_part = len(groups) - 1
    return {
        part: HandOver(placement_epoch, part, tuple(group), part == last_part)
        for part, group in enumerate(groups)
    }


class HandOverState:
    """Progress of one instance's hand-over, sent and received, in the current placement epoch."""

    def __init__(self) -> None:
        self.placement_epoch = 0
        self._outgoing: dict[str, _Outgoing] = {}
        self._incoming: dict[str, _Incoming] = {}
        self._early_incoming: dict[tuple[str, int], _Incoming] = {}
        self._other_instances: tuple[str, ...] = ()

    def begin(
        self,
        placement_epoch: int,
        others: tuple[str, ...],
        records: tuple[IdempotencyRecord, ...],
        keepers_of: Callable[[str], tuple[str, ...]],
    ) -> None:
        """Starts the hand-over for a new placement epoch; `keepers_of` maps a scope to keepers."""
        self.placement_epoch = placement_epoch
        self._other_instances = others
        by_keeper: dict[str, list[IdempotencyRecord]] = {name: [] for name in others}
        for record in records:
            for name in keepers_of(record.scope):
                if name in by_keeper:
                    by_keeper[name].append(record)
        self._outgoing = {
            name: _Outgoing(split_parts(placement_epoch, copies))
            for name, copies in by_keeper.items()
        }
        self._incoming = {
            name: self._early_incoming.pop((name, placement_epoch), _Incoming()) for name in others
        }
        self._early_incoming = {
            key: item for key, item in self._early_incoming.items() if key[1] > placement_epoch
        }

    def record_part(self, src: str, body: HandOver) -> None:
        """Records a part from another instance; it may arrive before its epoch is known here."""
        if body.placement_epoch < self.placement_epoch:
            return
        if body.placement_epoch > self.placement_epoch:
            item = self._early_incoming.setdefault((src, body.placement_epoch), _Incoming())
        else:
            item = self._incoming.setdefault(src, _Incoming())
        item.parts.add(body.part)
        if body.last:
            item.last_part = body.part

    def record_acknowledgement(self, src: str, placement_epoch: int, part: int) -> None:
        """Records that another instance has acknowledged a part."""
        outgoing = self._outgoing.get(src)
        if outgoing is not None and placement_epoch == self.placement_epoch:
            outgoing.parts.pop(part, None)

    def due_parts(self, now: float) -> list[tuple[str, HandOver]]:
        """Returns (instance name, part) for each part to send or resend now."""
        due = []
        for name, outgoing in self._outgoing.items():
            if outgoing.parts and now >= outgoing.sent_at + RESEND_INTERVAL_S:
                outgoing.sent_at = now
                due.extend((name, part) for part in outgoing.parts.values())
        return due

    def has_received_all(self) -> bool:
        """Tells whether all parts from every other instance have been received."""
        return self.placement_epoch > 0 and all(
            self._incoming[name].is_complete() for name in self._other_instances
        )

    def is_acknowledged(self) -> bool:
        """Tells whether every part that this instance sends has been acknowledged."""
        return all(not outgoing.parts for outgoing in self._outgoing.values())

    def settled_epoch(self) -> int:
        """Returns the current placement epoch if this instance is settled, else the one before."""
        is_settled = self.has_received_all() and self.is_acknowledged()
        return self.placement_epoch if is_settled else self.placement_epoch - 1
