"""In-memory replicated log: a snapshot and the entries after it."""

import msgspec

from marjoramvalve.wire.messages import Entry, EntryKind, Members


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine at an index, with the term and the group's members there."""

    index: int
    term: int
    members: Members
    state: bytes


class Log:
    """A snapshot followed by entries with consecutive indices."""

    def __init__(self, snapshot: Snapshot, entries: tuple[Entry, ...]) -> None:
        self.snapshot = snapshot
        self._entries = [entry for entry in entries if entry.index > snapshot.index]

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there are no entries."""
        return self._entries[-1].index if self._entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there are no entries."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term at `index`, or None if the log does not contain that index."""
        if index == self.snapshot.index:
            return self.snapshot.term
        entry = self.get(index)
        return None if entry is None else entry.term

    def get(self, index: int) -> Entry | None:
        """Returns the entry at `index`, or None if the log does not contain it."""
        offset = index - self.snapshot.index - 1
        if 0 <= offset < len(self._entries):
            return self._entries[offset]
        return None

    def slice(self, first: int, limit: int) -> tuple[Entry, ...]:
        """Returns up to `limit` entries, starting with index `first`."""
        offset = max(0, first - self.snapshot.index - 1)
        return tuple(self._entries[offset : offset + limit])

    def replace_from(self, entries: tuple[Entry, ...]) -> None:
        """Truncates the log at the index of the first of `entries` and appends `entries`."""
        offset = entries[0].index - self.snapshot.index - 1
        del self._entries[offset:]
        self._entries.extend(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Installs a snapshot and drops the entries that it covers.

        All entries are dropped if the log has another term than the snapshot at its index.
        """
        kept = tuple(entry for entry in self._entries if entry.index > snapshot.index)
        if self.term_at(snapshot.index) != snapshot.term:
            kept = ()
        self.snapshot = snapshot
        self._entries = list(kept)

    def members(self, up_to: int | None = None) -> tuple[int, Members]:
        """Returns the index and the content of the latest members entry at or before `up_to`.

        Without `up_to` the whole log is searched; the snapshot's members are the fallback.
        """
        for entry in reversed(self._entries):
            if entry.kind == EntryKind.MEMBERS and (up_to is None or entry.index <= up_to):
                return entry.index, msgspec.msgpack.decode(entry.data, type=Members)
        return self.snapshot.index, self.snapshot.members
