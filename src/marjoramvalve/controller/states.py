"""Replicated state: document, history, verdicts and roster. Applying commands is deterministic."""

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
MAX_VERDICTS = 20_000


class HistoryEntry(msgspec.Struct, frozen=True):
    """An accepted patch with its id, its author and the wall time in seconds of its submission."""

    record: PatchRecord
    patch_id: str
    author: str
    at: float


class DomainLoss(msgspec.Struct, frozen=True):
    """An instance in a failure domain was lost or left, which started a placement epoch."""

    placement_epoch: int
    domain: str


class _Snapshot(msgspec.Struct, frozen=True):
    version: int
    document: bytes
    oldest_version: int
    oldest_document: bytes
    history: tuple[HistoryEntry, ...]
    verdicts: tuple[Verdict, ...]
    roster: Roster
    losses: tuple[DomainLoss, ...]


def _body_digest(command: SubmitPatch) -> str:
    raw = msgspec.msgpack.encode((command.base, command.kind, command.body))
    return hashlib.blake2b(raw, digest_size=16).hexdigest()


class ControllerState:
    """State machine that the replicated log drives."""

    def __init__(self) -> None:
        self.version = 0
        self.document = Document()
        self.digest = document_digest(self.document)
        self.oldest_version = 0
        self.oldest_document = Document()
        self.history: list[HistoryEntry] = []
        self.verdicts: dict[str, Verdict] = {}
        self.roster = Roster(0, 0, ())
        self.losses: tuple[DomainLoss, ...] = ()

    def apply(self, data: bytes) -> Verdict | None:
        """Applies a committed command; returns the verdict if it is a patch, else None."""
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
        verdict = self._evaluate_patch(command, digest)
        self.verdicts[command.patch_id] = verdict
        while len(self.verdicts) > MAX_VERDICTS:
            del self.verdicts[next(iter(self.verdicts))]
        return verdict

    def _evaluate_patch(self, command: SubmitPatch, digest: str) -> Verdict:
        if command.base != self.version:
            fault = f"base version {command.base} is not the current version {self.version}"
            return Verdict(command.patch_id, False, 0, self.version, digest, (fault,))
        match apply_patch(self.document, PatchKind(command.kind), command.body):
            case Err(faults):
                texts = tuple(str(fault) for fault in faults)
                return Verdict(command.patch_id, False, 0, self.version, digest, texts)
            case Ok(document):
                self._accept_document(command, document)
        return Verdict(command.patch_id, True, self.version, self.version, digest)

    def _accept_document(self, command: SubmitPatch, document: Document) -> None:
        self.version += 1
        self._update_new_customers(document)
        self.document = document
        self.digest = document_digest(document)
        record = PatchRecord(self.version, command.kind, command.body, self.digest)
        self.history.append(HistoryEntry(record, command.patch_id, command.author, command.at))
        while len(self.history) > MAX_HISTORY_VERSIONS:
            dropped = self.history.pop(0).record
            self.oldest_document = _apply_record(self.oldest_document, dropped)
            self.oldest_version = dropped.version

    def _update_new_customers(self, document: Document) -> None:
        created = document.customers.keys() - self.document.customers.keys()
        kept = [name for name in self.roster.new_customers if name in document.customers]
        fresh = tuple(sorted({*kept, *created}))
        if fresh != self.roster.new_customers:
            epoch = self.roster.epoch + 1
            self.roster = msgspec.structs.replace(self.roster, epoch=epoch, new_customers=fresh)

    def document_at(self, version: int) -> Document | None:
        """Returns the document of a version, or None if it is not in the history."""
        if not self.oldest_version <= version <= self.version:
            return None
        document = self.oldest_document
        for entry in self.history[: version - self.oldest_version]:
            document = _apply_record(document, entry.record)
        return document

    def deltas(self, version: int) -> tuple[PatchRecord, ...] | None:
        """Returns the patches after `version`, or None if they are not in the history."""
        if not self.oldest_version <= version <= self.version:
            return None
        return tuple(entry.record for entry in self.history[version - self.oldest_version :])

    # Roster

    def _apply_join(self, command: JoinRoster) -> None:
        member = command.member
        members = {item.name: item for item in self.roster.members}
        previous = members.get(member.name)
        revision_key = (member.incarnation, member.revision)
        if previous is not None and (previous.incarnation, previous.revision) >= revision_key:
            return
        members[member.name] = member
        placement_changed = previous is None or previous.incarnation != member.incarnation
        lost_domains = {previous.domain} if previous is not None and placement_changed else set()
        self._set_members(members, placement_changed, lost_domains, command.at)

    def _apply_leave(self, command: LeaveRoster) -> None:
        members = {item.name: item for item in self.roster.members}
        removed = [members.pop(name) for name in command.names if name in members]
        if removed:
            self._set_members(members, True, {item.domain for item in removed}, command.at)

    def _set_members(
        self, members: dict[str, Member], placement_changed: bool, lost_domains: set[str], at: float
    ) -> None:
        """Replaces the members; `lost_domains` are the domains where a member took records with it.

        Each record has copies in two failure domains. Losses in a second domain, before new
        copies replace those of the first, may have taken both copies of a record. Then
        `idempotency_floor` rises to `at`.
        """
        domains = {item.domain for item in self.roster.members}
        placement = self.roster.placement_epoch + (1 if placement_changed else 0)
        floor = self.roster.idempotency_floor
        unsettled_domains = {loss.domain for loss in self.losses} | lost_domains
        if lost_domains and (len(unsettled_domains) > 1 or len(domains) < 2):
            floor = max(floor, at)
        self.losses += tuple(DomainLoss(placement, domain) for domain in sorted(lost_domains))
        ordered = tuple(members[name] for name in sorted(members))
        fresh = () if placement_changed else self.roster.new_customers
        self.roster = Roster(self.roster.epoch + 1, placement, ordered, floor, fresh)

    # Snapshots

    def save(self) -> bytes:
        """Serializes the whole state for a snapshot."""
        return msgspec.msgpack.encode(
            _Snapshot(
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
        """Replaces the state by a saved one; empty bytes stand for the initial state."""
        if not raw:
            self.__init__()
            return
        saved = msgspec.msgpack.decode(raw, type=_Snapshot)
        self.version = saved.version
        self.document = decode_document(saved.document)
        self.digest = document_digest(self.document)
        self.oldest_version = saved.oldest_version
        self.oldest_document = decode_document(saved.oldest_document)
        self.history = list(saved.history)
        self.verdicts = {item.patch_id: item for item in saved.verdicts}
        self.roster = saved.roster
        self.losses = saved.losses


def _apply_record(document: Document, record: PatchRecord) -> Document:
    match apply_patch(document, PatchKind(record.kind), record.body):
        case Ok(result):
            return result
        case Err() as err:
            raise AssertionError(f"accepted patch {record.version} no longer applies: {err}")
