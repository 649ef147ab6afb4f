"""The replicated state: document, history, verdicts and roster. Applying is deterministic."""

import hashlib

import msgspec

from marjoramvalve.controller.commands import (
    COMMAND_DECODER,
    JoinRoster,
    LeaveRoster,
    SettleRoster,
    SubmitPatch,
    Verdict,
)
from marjoramvalve.model import (
    Document,
    PatchKind,
    apply_patch,
    decode_document,
    document_digest,
    encode_document,
)
from marjoramvalve.outcomes import Err, Ok
from marjoramvalve.wire.messages import Member, PatchRecord, Roster

MAX_HISTORY_VERSIONS = 512
VERDICT_RETENTION = 20_000


class HistoryEntry(msgspec.Struct, frozen=True):
    """One accepted patch with its author, its id and the wall time it was submitted at."""

    record: PatchRecord
    patch_id: str
    author: str
    at: float


class Loss(msgspec.Struct, frozen=True):
    """An instance of a failure domain was lost or left, which made a placement epoch."""

    placement_epoch: int
    domain: str


class _Saved(msgspec.Struct, frozen=True):
    version: int
    document: bytes
    oldest_version: int
    oldest_document: bytes
    history: tuple[HistoryEntry, ...]
    verdicts: tuple[Verdict, ...]
    roster: Roster
    losses: tuple[Loss, ...]


def _body_digest(command: SubmitPatch) -> str:
    raw = msgspec.msgpack.encode((command.base, command.kind, command.body))
    return hashlib.blake2b(raw, digest_size=16).hexdigest()


class ControllerState:
    """State machine behind the replicated log."""

    def __init__(self) -> None:
        self.version = 0
        self.document = Document()
        self.digest = document_digest(self.document)
        self.oldest_version = 0
        self.oldest_document = Document()
        self.history: list[HistoryEntry] = []
        self.verdicts: dict[str, Verdict] = {}
        self.roster = Roster(0, 0, ())
        self.losses: tuple[Loss, ...] = ()

    def apply(self, data: bytes) -> Verdict | None:
        """Applies one committed command; returns the verdict of a patch."""
        match COMMAND_DECODER.decode(data):
            case SubmitPatch() as command:
                return self._apply_patch(command)
            case JoinRoster() as command:
                self._apply_join(command)
            case LeaveRoster() as command:
                self._apply_leave(command)
            case SettleRoster(placement_epoch=epoch):
                self.losses = tuple(loss for loss in self.losses if loss.placement_epoch > epoch)
        return None

    # Patches

    def _apply_patch(self, command: SubmitPatch) -> Verdict:
        digest = _body_digest(command)
        first = self.verdicts.get(command.patch_id)
        if first is not None and first.body_digest == digest:
            return first
        if first is not None:
            fault = f"patch id {command.patch_id!r} was used for another patch"
            return Verdict(command.patch_id, False, 0, self.version, digest, (fault,))
        verdict = self._judge(command, digest)
        self.verdicts[command.patch_id] = verdict
        while len(self.verdicts) > VERDICT_RETENTION:
            del self.verdicts[next(iter(self.verdicts))]
        return verdict

    def _judge(self, command: SubmitPatch, digest: str) -> Verdict:
        if command.base != self.version:
            fault = f"base version {command.base} is not the current version {self.version}"
            return Verdict(command.patch_id, False, 0, self.version, digest, (fault,))
        match apply_patch(self.document, PatchKind(command.kind), command.body):
            case Err(faults):
                texts = tuple(str(fault) for fault in faults)
                return Verdict(command.patch_id, False, 0, self.version, digest, texts)
            case Ok(document):
                self._accept(command, document)
        return Verdict(command.patch_id, True, self.version, self.version, digest)

    def _accept(self, command: SubmitPatch, document: Document) -> None:
        self.version += 1
        self._note_fresh(document)
        self.document = document
        self.digest = document_digest(document)
        record = PatchRecord(self.version, command.kind, command.body, self.digest)
        self.history.append(HistoryEntry(record, command.patch_id, command.author, command.at))
        while len(self.history) > MAX_HISTORY_VERSIONS:
            dropped = self.history.pop(0).record
            self.oldest_document = _replay(self.oldest_document, dropped)
            self.oldest_version = dropped.version

    def _note_fresh(self, document: Document) -> None:
        created = document.customers.keys() - self.document.customers.keys()
        kept = [name for name in self.roster.fresh if name in document.customers]
        fresh = tuple(sorted({*kept, *created}))
        if fresh != self.roster.fresh:
            epoch = self.roster.epoch + 1
            self.roster = msgspec.structs.replace(self.roster, epoch=epoch, fresh=fresh)

    def document_at(self, version: int) -> Document | None:
        """Returns the document of a kept version, or None."""
        if not self.oldest_version <= version <= self.version:
            return None
        document = self.oldest_document
        for entry in self.history[: version - self.oldest_version]:
            document = _replay(document, entry.record)
        return document

    def deltas(self, version: int) -> tuple[PatchRecord, ...] | None:
        """Returns the patches after `version`, or None where they are no longer kept."""
        if not self.oldest_version <= version <= self.version:
            return None
        return tuple(entry.record for entry in self.history[version - self.oldest_version :])

    # Roster

    def _apply_join(self, command: JoinRoster) -> None:
        member = command.member
        members = {item.name: item for item in self.roster.members}
        before = members.get(member.name)
        stamp = (member.incarnation, member.revision)
        if before is not None and (before.incarnation, before.revision) >= stamp:
            return
        members[member.name] = member
        moved = before is None or before.incarnation != member.incarnation
        lost = {before.domain} if before is not None and moved else set()
        self._set_members(members, moved, lost, command.at)

    def _apply_leave(self, command: LeaveRoster) -> None:
        members = {item.name: item for item in self.roster.members}
        gone = [members.pop(name) for name in command.names if name in members]
        if gone:
            self._set_members(members, True, {item.domain for item in gone}, command.at)

    def _set_members(
        self, members: dict[str, Member], moved: bool, lost: set[str], at: float
    ) -> None:
        """Takes the new members; `lost` names the domains in which records went with a member.

        Each record has copies in two failure domains. Losses in more than one domain, before the
        earlier ones have been made up for, may have taken both copies of a record.
        """
        domains = {item.domain for item in self.roster.members}
        placement = self.roster.placement_epoch + (1 if moved else 0)
        floor = self.roster.once_floor
        unsettled = {loss.domain for loss in self.losses} | lost
        if lost and (len(unsettled) > 1 or len(domains) < 2):
            floor = max(floor, at)
        self.losses += tuple(Loss(placement, domain) for domain in sorted(lost))
        ordered = tuple(members[name] for name in sorted(members))
        fresh = () if moved else self.roster.fresh
        self.roster = Roster(self.roster.epoch + 1, placement, ordered, floor, fresh)

    # Snapshots

    def save(self) -> bytes:
        """Returns the whole state as bytes."""
        return msgspec.msgpack.encode(
            _Saved(
                self.version,
                encode_document(self.document),
                self.oldest_version,
                encode_document(self.oldest_document),
                tuple(self.history),
                tuple(self.verdicts.values()),
                self.roster,
                self.losses,
            )
        )

    def restore(self, raw: bytes) -> None:
        """Replaces the state by a saved one; empty bytes are the initial state."""
        if not raw:
            self.__init__()
            return
        saved = msgspec.msgpack.decode(raw, type=_Saved)
        self.version = saved.version
        self.document = decode_document(saved.document)
        self.digest = document_digest(self.document)
        self.oldest_version = saved.oldest_version
        self.oldest_document = decode_document(saved.oldest_document)
        self.history = list(saved.history)
        self.verdicts = {item.patch_id: item for item in saved.verdicts}
        self.roster = saved.roster
        self.losses = saved.losses


def _replay(document: Document, record: PatchRecord) -> Document:
    match apply_patch(document, PatchKind(record.kind), record.body):
        case Ok(result):
            return result
        case Err() as err:
            raise AssertionError(f"accepted patch {record.version} no longer applies: {err}")
