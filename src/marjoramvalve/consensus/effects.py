"""Effects that a replica asks its driver to carry out, in the order given.

A driver must finish a `Persist` or `SaveSnapshot`, synced, before it carries out any later
effect: the messages behind it acknowledge what it holds.
"""

from dataclasses import dataclass

from marjoramvalve.wire.messages import Entry, Members, Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Sync the term and vote, and the entries; they replace what is stored from `first` on."""

    term: int
    voted_for: str
    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer by name."""

    to: str
    address: str
    body: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed command to the state machine."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state machine by a snapshot received from the leader."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Sync a snapshot, the term and vote, and the entries kept behind it."""

    index: int
    term_at: int
    members: Members
    state: bytes
    term: int
    voted_for: str
    entries: tuple[Entry, ...]


Effect = Persist | Send | Apply | Restore | SaveSnapshot
