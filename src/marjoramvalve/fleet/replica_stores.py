"""Storage of a consensus replica's state in a data folder."""

from dataclasses import dataclass

import msgspec

from marjoramvalve.consensus import HardState, Log, Persist, SaveSnapshot, Snapshot
from marjoramvalve.storage import DataFolder, RecoveredData
from marjoramvalve.wire.messages import Entry, Members


class StoredHardState(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Record of the current term and the vote cast in it: Raft's hard state."""

    term: int
    voted_for: str


class StoredEntries(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Record of log entries that replace everything from index `first` on."""

    first: int
    entries: tuple[Entry, ...]


_RECORD_DECODER = msgspec.msgpack.Decoder(StoredHardState | StoredEntries)
_ENCODER = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class LoadedReplica:
    """Log and hard state as read from a data folder."""

    log: Log
    hard_state: HardState


def load_replica(recovered: RecoveredData, initial_members: Members) -> LoadedReplica:
    """Returns the replica state stored in a folder.

    An empty folder yields an empty log whose group consists of `initial_members`.
    """
    snapshot = Snapshot(0, 0, initial_members, b"")
    if recovered.snapshot is not None:
        snapshot = msgspec.msgpack.decode(recovered.snapshot, type=Snapshot)
    hard_state = HardState()
    entries: list[Entry] = []
    for payload in recovered.payloads:
        match _RECORD_DECODER.decode(payload):
            case StoredHardState(term=term, voted_for=voted_for):
                hard_state = HardState(term, voted_for)
            case StoredEntries(first=first, entries=new):
                entries = [entry for entry in entries if entry.index < first]
                entries.extend(new)
    if any(item.index == snapshot.index and item.term != snapshot.term for item in entries):
        entries = []  # A crash came after a received snapshot was stored and before its log was.
    return LoadedReplica(Log(snapshot, tuple(entries)), hard_state)


def store_effect(folder: DataFolder, effect: Persist | SaveSnapshot) -> None:
    """Writes an effect to the data folder and syncs it.

    Raises OSError; the caller must then assume that nothing of the effect was stored.
    """
    match effect:
        case Persist(term=term, voted_for=voted_for, first=first, entries=entries):
            payloads = [_ENCODER.encode(StoredHardState(term, voted_for))]
            if entries:
                payloads.append(_ENCODER.encode(StoredEntries(first, entries)))
            folder.append(payloads)
        case SaveSnapshot():
            snapshot = Snapshot(effect.index, effect.term_at, effect.members, effect.state)
            payloads = [_ENCODER.encode(StoredHardState(effect.term, effect.voted_for))]
            if effect.entries:
                stored = StoredEntries(effect.entries[0].index, effect.entries)
                payloads.append(_ENCODER.encode(stored))
            folder.write_snapshot(_ENCODER.encode(snapshot), payloads)
