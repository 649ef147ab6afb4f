"""Replica state in a data folder: what is written, and how it is read back."""

from dataclasses import dataclass

import msgspec

from marjoramvalve.consensus import HardState, Log, Persist, SaveSnapshot, Snapshot
from marjoramvalve.storage import DataFolder, Recovered
from marjoramvalve.wire.messages import Entry, Members


class StoredHardState(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Term and vote."""

    term: int
    voted_for: str


class StoredEntries(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Entries that replace everything from `first` on."""

    first: int
    entries: tuple[Entry, ...]


_RECORD = msgspec.msgpack.Decoder(StoredHardState | StoredEntries)
_ENCODER = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class LoadedReplica:
    """Log, term and vote as read from a folder."""

    log: Log
    hard_state: HardState


def load_replica(recovered: Recovered, first_members: Members) -> LoadedReplica:
    """Returns the replica state that a folder held; `first_members` serve an empty folder."""
    snapshot = Snapshot(0, 0, first_members, b"")
    if recovered.snapshot is not None:
        snapshot = msgspec.msgpack.decode(recovered.snapshot, type=Snapshot)
    hard = HardState()
    entries: list[Entry] = []
    for payload in recovered.payloads:
        match _RECORD.decode(payload):
            case StoredHardState(term=term, voted_for=voted_for):
                hard = HardState(term, voted_for)
            case StoredEntries(first=first, entries=new):
                entries = [entry for entry in entries if entry.index < first]
                entries.extend(new)
    if any(item.index == snapshot.index and item.term != snapshot.term for item in entries):
        entries = []  # A crash came between a received snapshot and the log that follows it.
    return LoadedReplica(Log(snapshot, tuple(entries)), hard)


def store_effect(folder: DataFolder, effect: Persist | SaveSnapshot) -> None:
    """Writes and syncs an effect. Raises OSError, and then nothing of it counts as kept."""
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
                kept = StoredEntries(effect.entries[0].index, effect.entries)
                payloads.append(_ENCODER.encode(kept))
            folder.write_snapshot(_ENCODER.encode(snapshot), payloads)
