"""Effects that a replica returns for its driver to carry out, in the given order.

A driver must sync a `Persist` or `SaveSnapshot` to disk before it carries out any later effect,
because the messages that follow acknowledge what it stores.
"""

from dataclasses import dataclass

from marjoramvalve.wire.messages import Entry, Members, Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Store and sync the term, the vote and the entries.

    The entries replace all stored entries from index `first` on; without entries, the stored ones
    stay.
    """

    term: int
    voted_for: str
    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the named peer at `address`, which is empty for an unknown peer."""

    to: str
    address: str
    body: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed command to the state machine."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state of the state machine by a snapshot received from the leader."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Store and sync a snapshot, the term and vote, and the entries kept after the snapshot.

    `index` and `term_at` are the snapshot's last index and its term.
    """

    index: int
    term_at: int
    members: Members
    state: bytes
    term: int
    voted_for: str
    entries: tuple[Entry, ...]


Effect = Persist | Send | Apply | Restore | SaveSnapshot
