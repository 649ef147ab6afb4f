"""An instance's view of configuration and roster, which never goes back."""

from collections import deque
from enum import StrEnum

from marjoramvalve.model import (
    Document,
    PatchKind,
    apply_patch,
    decode_document,
    document_digest,
    encode_document,
)
from marjoramvalve.outcomes import Ok
from marjoramvalve.wire.messages import FullDocument, PatchRecord, PollResponse, Roster

KEPT_DELTAS = 256
NEVER = -1e18


class Taken(StrEnum):
    """What came of an update."""

    NOTHING = "nothing"
    CHANGED = "changed"
    GAP = "gap"
    STALE = "stale"


class ConfigView:
    """Document, roster and the time up to which both are confirmed to be current.

    `confirmed_at` is on the caller's monotonic clock: the latest moment at which the view is
    known to have been the newest committed one. `longest_call_s` is the longest that any call
    may take.
    """

    def __init__(self) -> None:
        self.version = 0
        self.document = Document()
        self.digest = document_digest(self.document)
        self.roster = Roster(0, 0, ())
        self.longest_call_s = 0.0
        self.controllers: dict[str, str] = {}
        self.leader = ""
        self.confirmed_at = NEVER
        self._delta_failed = False
        self._deltas: deque[PatchRecord] = deque(maxlen=KEPT_DELTAS)

    def take(self, body: PollResponse, asked_at: float | None) -> Taken:
        """Takes in an update; `asked_at` is when the poll it answers was sent, None for a push."""
        if not body.current:
            return Taken.NOTHING
        if body.version < self.version or body.epoch < self.roster.epoch:
            return Taken.STALE
        before = (self.version, self.roster.epoch)
        self._take_document(body)
        if body.roster is not None and body.roster.epoch > self.roster.epoch:
            self.roster = body.roster
        self.leader = body.leader or self.leader
        self.controllers = body.controllers or self.controllers
        if self.version < body.version or self.roster.epoch < body.epoch:
            return Taken.GAP
        if asked_at is not None:
            self.confirmed_at = max(self.confirmed_at, asked_at - body.age_s)
        return Taken.CHANGED if before != (self.version, self.roster.epoch) else Taken.NOTHING

    def _take_document(self, body: PollResponse) -> None:
        if body.full_document is not None and body.full_document.version > self.version:
            document = decode_document(body.full_document.body)
            if document_digest(document) == body.digest:
                self._set(body.full_document.version, document, body.digest)
                self._deltas.clear()
        for record in body.deltas:
            if record.version == self.version + 1 and not self._take_delta(record):
                self._delta_failed = True
                return

    def _take_delta(self, record: PatchRecord) -> bool:
        match apply_patch(self.document, PatchKind(record.kind), record.body):
            case Ok(document) if document_digest(document) == record.digest:
                self._set(record.version, document, record.digest)
                self._deltas.append(record)
                return True
        return False

    @property
    def is_known(self) -> bool:
        """Tells whether any configuration was ever confirmed to this process."""
        return self.confirmed_at > NEVER

    @property
    def poll_version(self) -> int:
        """Version to poll with; -1 asks for the whole document after a delta did not fit."""
        return -1 if self._delta_failed else self.version

    def _set(self, version: int, document: Document, digest: str) -> None:
        self.version = version
        self.document = document
        self.digest = digest
        deadlines = [route.deadline_ms for route in document.routes.values()]
        self.longest_call_s = max(deadlines, default=0) / 1000
        self._delta_failed = False

    def is_current(self, now: float, lease_s: float) -> bool:
        """Tells whether the view was confirmed within the lease."""
        return now < self.confirmed_at + lease_s

    def deltas(self, version: int) -> tuple[PatchRecord, ...] | None:
        """Returns the patches after `version`, or None where they are not all held."""
        if version == self.version:
            return ()
        found = tuple(record for record in self._deltas if record.version > version)
        if not found or found[0].version != version + 1:
            return None
        return found

    def whole(self) -> FullDocument:
        """Returns the whole document."""
        return FullDocument(self.version, encode_document(self.document))
