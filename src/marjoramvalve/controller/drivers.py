"""Driver of a controller: executes the effects of its replica on disk and on the links."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import structlog

from marjoramvalve.consensus import (
    Apply,
    Effect,
    Persist,
    ProposalVerdict,
    Replica,
    Restore,
    Role,
    SaveSnapshot,
    Send,
    Timing,
)
from marjoramvalve.controller.commands import COMMAND_ENCODER, Command, Verdict
from marjoramvalve.controller.rosters import RosterPlanner
from marjoramvalve.controller.states import ControllerState
from marjoramvalve.fleet.replica_stores import load_replica, store_effect
from marjoramvalve.membership import FailureDetector, Publisher
from marjoramvalve.model import encode_document
from marjoramvalve.storage import (
    CorruptRecord,
    DataFolder,
    FolderLocked,
    RecoveredData,
    open_folder,
)
from marjoramvalve.wire import Envelope, Members, Poll, PollResponse, StreamLink
from marjoramvalve.wire.messages import FullDocument

TICK_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 0.1
DISK_RETRY_S = 1.0
NEW_GROUP_MARKER = "founded"

log = structlog.get_logger("controller")


@dataclass(frozen=True, slots=True)
class StartFailure:
    """Why a controller did not start: the log event, the cause, and how to fix it."""

    event: str
    detail: str
    hint: str


@dataclass(frozen=True, slots=True)
class ControllerOptions:
    """Configuration of a controller. Durations are in seconds; `clock_drift` is a ratio.

    `join` is set if the controller joins an existing group instead of starting as one of
    `initial_voters`.
    """

    name: str
    peer_address: str
    data_folder: Path
    initial_voters: dict[str, str]
    join: bool
    election_timeout_s: float
    clock_drift: float
    snapshot_entries: int
    remove_after_s: float


@dataclass(slots=True)
class _PendingProposal:
    term: int
    future: asyncio.Future


class _StateSource:
    """Gives a publisher read access to the replicated state."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state

    @property
    def version(self) -> int:
        return self._state.version

    @property
    def digest(self) -> str:
        return self._state.digest

    @property
    def roster(self):
        return self._state.roster

    def deltas(self, version: int):
        return self._state.deltas(version)

    def whole(self) -> FullDocument:
        return FullDocument(self._state.version, encode_document(self._state.document))


def mark_new_group_folder(folder: Path) -> None:
    """Marks a folder as the first of a new group. Raises OSError, also if it is already marked.

    Run once per group, by an operator.
    """
    marker = folder / NEW_GROUP_MARKER
    marker.touch(exist_ok=False)


def open_controller(
    options: ControllerOptions,
    link: StreamLink,
    clock: Callable[[], float],
    wall: Callable[[], float],
    rng: random.Random,
) -> "Controller | StartFailure":
    """Opens the data folder and returns a controller, or the reason why it may not start."""
    match open_folder(options.data_folder):
        case FolderLocked(path):
            detail = f"data folder {str(path)!r} is in use by another process"
            return StartFailure("folder.locked", detail, "stop the other process first")
        case CorruptRecord(path, offset, problem):
            detail = f"file {str(path)!r} is damaged at offset {offset}: {problem}"
            command = f"marjoramvalve controller replace {options.name}"
            hint = f"run `{command}`; see docs/ops/controllers.md"
            return StartFailure("folder.damaged", detail, hint)
        case (folder, recovered):
            failure = _check_first_start(options, recovered)
            if failure is not None:
                folder.close()
                return failure
            return Controller(options, folder, recovered, link, clock, wall, rng)


def _check_first_start(options: ControllerOptions, recovered: RecoveredData) -> StartFailure | None:
    if recovered.payloads or recovered.snapshot is not None or options.join:
        return None
    if (options.data_folder / NEW_GROUP_MARKER).exists():
        return None
    detail = f"data folder {str(options.data_folder)!r} is empty and not marked for a new group"
    hint = (
        "for a new group run `marjoramvalve controller found --data-dir ...` once; "
        "for a lost folder run `marjoramvalve controller replace`, then start with --join yes"
    )
    return StartFailure("folder.empty", detail, hint)


class Controller:
    """One controller of the group: runs the replica and serves polls while it leads."""

    def __init__(
        self,
        options: ControllerOptions,
        folder: DataFolder,
        recovered: RecoveredData,
        link: StreamLink,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.options = options
        self.state = ControllerState()
        self.folder = folder
        self.bytes_read = recovered.bytes_read
        self._link = link
        self._clock = clock
        self._wall = wall
        self._rng = rng
        self._addresses: dict[str, str] = {}
        self._pending_proposals: dict[int, _PendingProposal] = {}
        self.task: asyncio.Task | None = None
        self._paused_until = 0.0
        self.publisher = Publisher(_StateSource(self.state))
        self._detector = FailureDetector(options.remove_after_s, clock())
        self._rosters = RosterPlanner(self.state)
        self._was_leader = False
        self.replica = self._load_replica(recovered)
        if recovered.torn_bytes:
            log.warning("folder.tail_cut", bytes=recovered.torn_bytes, file=str(folder.log.path))

    def _load_replica(self, recovered: RecoveredData) -> Replica:
        first = (
            Members({}, {}) if self.options.join else Members(dict(self.options.initial_voters), {})
        )
        loaded = load_replica(recovered, first)
        timing = Timing(
            HEARTBEAT_INTERVAL_S, self.options.election_timeout_s, self.options.clock_drift
        )
        self.state.restore(loaded.log.snapshot.state)
        return Replica(
            self.options.name, timing, self._rng, loaded.log, loaded.hard_state, self._clock()
        )

    async def start(self) -> None:
        """Starts the periodic task."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops and closes the data folder; pending proposals end with an unknown outcome."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self._fail_pending_proposals()
        self.folder.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self._clock()
            if now < self._paused_until:
                continue
            self._run_effects(self.replica.tick(now))
            self._update_leadership(now)

    # Roster, while this controller leads

    def _update_leadership(self, now: float) -> None:
        is_leader = self.replica.role is Role.LEADER
        if is_leader != self._was_leader:
            self._was_leader = is_leader
            self._detector = FailureDetector(self.options.remove_after_s, now)
            self._rosters.reset()
            log.info("controller.role", role=str(self.replica.role), term=self.replica.term)
        if not is_leader:
            self._fail_pending_proposals()
            return
        if not self.replica.holds_lease(now):
            return
        for command in self._rosters.next_commands(self._detector, now, self._wall()):
            log.info("roster.change", command=str(command))
            self._propose(command)

    def on_poll(self, poll: Poll, src: str, now: float) -> None:
        """Answers the poll of an instance or a relay; redirects it if this is not the leader."""
        if not self.replica.holds_lease(now):
            answer = PollResponse(
                poll.nonce,
                False,
                0.0,
                0,
                "",
                0,
                leader=self._addresses.get(self.replica.leader, ""),
                controllers=self.replica.members.voters,
            )
            self._link.send(poll.member.peer, answer)
            return
        self._rosters.record_poll(poll, self._detector, now)
        for relayed_poll in poll.relayed:
            self._rosters.record_poll(relayed_poll, self._detector, now)
        for item in poll.alive:
            self._rosters.record_alive(item, self._detector, now)
        voters = self.replica.members.voters
        self._link.send(
            poll.member.peer,
            self.publisher.answer(poll, now, 0.0, self.options.peer_address, voters),
        )

    def _push_updates(self) -> None:
        now = self._clock()
        if not self.replica.holds_lease(now):
            return
        voters = self.replica.members.voters
        for _, address, update in self.publisher.pushes(now, self.options.peer_address, voters):
            self._link.send(address, update)

    # Consensus

    def on_message(self, envelope: Envelope) -> None:
        """Passes a consensus message to the replica; drops it while paused after a failed write."""
        now = self._clock()
        if now < self._paused_until:
            return
        self._addresses[envelope.src] = envelope.address
        self._run_effects(self.replica.step(envelope.src, envelope.body, now))

    def _run_effects(self, effects: list[Effect]) -> None:
        changed = False
        for effect in effects:
            match effect:
                case Persist() | SaveSnapshot():
                    try:
                        store_effect(self.folder, effect)
                    except OSError as exc:
                        self._reopen_after_write_failure(exc)
                        return
                case Send(to=to, address=address, body=body):
                    destination = address or self._addresses.get(to, "")
                    if destination:
                        self._link.send(destination, body, to)
                case Apply(entry=entry):
                    changed = True
                    result = self.state.apply(entry.data)
                    self._resolve_proposal(entry.index, entry.term, result)
                case Restore(state=state):
                    changed = True
                    self.state.restore(state)
        if changed:
            self._push_updates()
            self._maybe_compact()

    def _reopen_after_write_failure(self, exc: OSError) -> None:
        """Drops the state in memory after a failed write and reloads the replica from disk.

        Gives up leadership; the replica resumes after DISK_RETRY_S.
        """
        log.error("folder.write_failed", error=str(exc), retry_s=DISK_RETRY_S)
        self._fail_pending_proposals()
        self.folder.close()
        match open_folder(self.options.data_folder):
            case (folder, recovered):
                self.folder = folder
                self.replica = self._load_replica(recovered)
                self._paused_until = self._clock() + DISK_RETRY_S
            case other:
                raise SystemExit(f"data folder cannot be reopened after a failed write: {other}")

    def _maybe_compact(self) -> None:
        entries_since_snapshot = self.replica.applied - self.replica.log.snapshot.index
        if entries_since_snapshot >= self.options.snapshot_entries:
            self._run_effects(self.replica.compact(self.state.save(), self._clock()))
            log.info("controller.snapshot", index=self.replica.applied)

    def _resolve_proposal(self, index: int, term: int, result: Verdict | None) -> None:
        pending = self._pending_proposals.pop(index, None)
        if pending is None or pending.future.done():
            return
        pending.future.set_result(result if pending.term == term else None)

    def _fail_pending_proposals(self) -> None:
        for pending in self._pending_proposals.values():
            if not pending.future.done():
                pending.future.set_result(None)
        self._pending_proposals.clear()

    def _propose(self, command: Command) -> int:
        now = self._clock()
        data = COMMAND_ENCODER.encode(command)
        verdict, index, effects = self.replica.propose(data, now)
        if verdict is not ProposalVerdict.ACCEPTED:
            return 0
        self._run_effects(effects)
        return index

    # Operator interface

    def is_leader(self) -> bool:
        """Returns whether this controller holds the leader lease and may answer for the group."""
        return self.replica.holds_lease(self._clock())

    def leader_control_address(self) -> str:
        """Returns the control address of the leader, or an empty string if it is unknown."""
        for member in self.state.roster.members:
            if member.name == self.replica.leader:
                return member.control
        return ""

    async def submit(self, command: Command, timeout_s: float) -> Verdict | None:
        """Proposes a command and waits for its verdict. Returns None if the outcome is unknown."""
        now = self._clock()
        if not self.replica.holds_lease(now):
            return None
        future = asyncio.get_running_loop().create_future()
        term = self.replica.term
        index = self.replica.log.last_index + 1
        self._pending_proposals[index] = _PendingProposal(term, future)
        if not self._propose(command):
            self._pending_proposals.pop(index, None)
            return None
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            self._pending_proposals.pop(index, None)
            return None

    def change_membership(self, action: str, name: str, address: str) -> ProposalVerdict:
        """Adds a learner, promotes a learner or removes a member, as `action` says."""
        now = self._clock()
        match action:
            case "add":
                verdict, _, effects = self.replica.add_learner(name, address, now)
            case "promote":
                verdict, _, effects = self.replica.promote(name, now)
            case _:
                verdict, _, effects = self.replica.remove(name, now)
        self._run_effects(effects)
        return verdict

    def silence(self, name: str) -> float:
        """Returns for how many seconds an instance has been silent towards this leader."""
        return self._detector.silence_s(name, self._clock())
