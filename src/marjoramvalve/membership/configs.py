"""An instance's view of configuration and roster, whose versions never decrease."""

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

MAX_KEPT_DELTAS = 256
NEVER_CONFIRMED = -1e18


class UpdateResult(StrEnum):
    """Result of applying an update to the view.

    `GAP` means that the update was newer than what could be applied; `STALE`, that it was older
    than the view.
    """

    UNCHANGED = "nothing"
    CHANGED = "changed"
    GAP = "gap"
    STALE = "stale"


class ConfigView:
    """Document, roster and the time up to which both are confirmed to be current.

    `confirmed_at` is on the caller's monotonic clock: the latest moment at which the view is
    known to have been the newest committed one. `longest_call_s` is the longest deadline of any
    route.
    """

    def __init__(self) -> None:
        self.version = 0
        self.document = Document()
        self.digest = document_digest(self.document)
        self.roster = Roster(0, 0, ())
        self.longest_call_s = 0.0
        self.controllers: dict[str, str] = {}
        self.leader = ""
        self.confirmed_at = NEVER_CONFIRMED
        self._delta_failed = False
        self._deltas: deque[PatchRecord] = deque(maxlen=MAX_KEPT_DELTAS)

    def apply_update(self, body: PollResponse, asked_at: float | None) -> UpdateResult:
        """Applies an update; `asked_at` is when the poll it answers was sent, None for a push."""
        if not body.current:
            return UpdateResult.UNCHANGED
        if body.version < self.version or body.epoch < self.roster.epoch:
            return UpdateResult.STALE
        before = (self.version, self.roster.epoch)
        self._apply_document(body)
        if body.roster is not None and body.roster.epoch > self.roster.epoch:
            self.roster = body.roster
        self.leader = body.leader or self.leader
        self.controllers = body.controllers or self.controllers
        if self.version < body.version or self.roster.epoch < body.epoch:
            return UpdateResult.GAP
        if asked_at is not None:
            self.confirmed_at = max(self.confirmed_at, asked_at - body.age_s)
        return (
            UpdateResult.CHANGED
            if before != (self.version, self.roster.epoch)
            else UpdateResult.UNCHANGED
        )

    def _apply_document(self, body: PollResponse) -> None:
        if body.full_document is not None and body.full_document.version > self.version:
            document = decode_document(body.full_document.body)
            if document_digest(document) == body.digest:
                self._set_document(body.full_document.version, document, body.digest)
                self._deltas.clear()
        for record in body.deltas:
            if record.version == self.version + 1 and not self._apply_delta(record):
                self._delta_failed = True
                return

    def _apply_delta(self, record: PatchRecord) -> bool:
        match apply_patch(self.document, PatchKind(record.kind), record.body):
            case Ok(document) if document_digest(document) == record.digest:
                self._set_document(record.version, document, record.digest)
                self._deltas.append(record)
                return True
        return False

    @property
    def was_confirmed(self) -> bool:
        """Tells whether any configuration has been confirmed since this process started."""
        return self.confirmed_at > NEVER_CONFIRMED

    @property
    def poll_version(self) -> int:
        """Version to poll with; -1 requests the whole document after a delta failed to apply."""
        return -1 if self._delta_failed else self.version

    def _set_document(self, version: int, document: Document, digest: str) -> None:
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
        """Returns the patches after `version`, or None if not all of them are kept."""
        if version == self.version:
            return ()
        found = tuple(record for record in self._deltas if record.version > version)
        if not found or found[0].version != version + 1:
            return None
        return found

    def whole(self) -> FullDocument:
        """Returns the whole document with its version."""
        return FullDocument(self.version, encode_document(self.document))
