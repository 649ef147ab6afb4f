"""Driver of a controller: carries out the replica's effects on disk and on the links."""

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
from marjoramvalve.controller.rosters import RosterKeeper
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
from marjoramvalve.wire import Confirmed, Envelope, Members, Poll, StreamLink
from marjoramvalve.wire.messages import WholeDocument

TICK_S = 0.05
HEARTBEAT_S = 0.1
DISK_RETRY_S = 1.0
FOUNDED_NAME = "founded"

log = structlog.get_logger("controller")


@dataclass(frozen=True, slots=True)
class StartFailure:
    """A controller that did not start: what is wrong and what to do."""

    event: str
    detail: str
    hint: str


@dataclass(frozen=True, slots=True)
class ControllerOptions:
    """What a controller is built from. Durations in seconds."""

    name: str
    peer: str
    folder: Path
    first: dict[str, str]
    join: bool
    election_s: float
    drift: float
    snapshot_entries: int
    remove_after_s: float


@dataclass(slots=True)
class _Waiting:
    term: int
    fut: asyncio.Future


class _StateSource:
    """Lets a publisher read the replicated state."""

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

    def whole(self) -> WholeDocument:
        return WholeDocument(self._state.version, encode_document(self._state.document))


def found_folder(folder: Path) -> None:
    """Marks a folder as the first one of a new group; done once, by the operator's command."""
    marker = folder / FOUNDED_NAME
    marker.touch(exist_ok=False)


def open_controller(
    options: ControllerOptions,
    link: StreamLink,
    clock: Callable[[], float],
    wall: Callable[[], float],
    rng: random.Random,
) -> "Controller | StartFailure":
    """Opens the data folder and returns a controller, or why it may not start."""
    match open_folder(options.folder):
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
    if (options.folder / FOUNDED_NAME).exists():
        return None
    detail = f"data folder {str(options.folder)!r} is empty and not marked as a new group's"
    hint = (
        "for a new group run `marjoramvalve controller found --data-dir ...` once; "
        "for a lost folder run `marjoramvalve controller replace`, then start with --join yes"
    )
    return StartFailure("folder.empty", detail, hint)


class Controller:
    """One controller of the group."""

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
        self._waiting: dict[int, _Waiting] = {}
        self.task: asyncio.Task | None = None
        self._halted_until = 0.0
        self.publisher = Publisher(_StateSource(self.state))
        self._watch = FailureDetector(options.remove_after_s, clock())
        self._rosters = RosterKeeper(self.state)
        self._led = False
        self.replica = self._load(recovered)
        if recovered.torn_bytes:
            log.warning("folder.tail_cut", bytes=recovered.torn_bytes, file=str(folder.log.path))

    def _load(self, recovered: RecoveredData) -> Replica:
        first = Members({}, {}) if self.options.join else Members(dict(self.options.first), {})
        loaded = load_replica(recovered, first)
        timing = Timing(HEARTBEAT_S, self.options.election_s, self.options.drift)
        self.state.restore(loaded.log.snapshot.state)
        return Replica(
            self.options.name, timing, self._rng, loaded.log, loaded.hard_state, self._clock()
        )

    async def start(self) -> None:
        """Starts ticking."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops and closes the folder; waiting proposals end with an unknown outcome."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self._fail_waiting()
        self.folder.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self._clock()
            if now < self._halted_until:
                continue
            self._carry_out(self.replica.tick(now))
            self._lead(now)

    # Leadership over the roster

    def _lead(self, now: float) -> None:
        leads = self.replica.role is Role.LEADER
        if leads != self._led:
            self._led = leads
            self._watch = FailureDetector(self.options.remove_after_s, now)
            self._rosters.reset()
            log.info("controller.role", role=str(self.replica.role), term=self.replica.term)
        if not leads:
            self._fail_waiting()
            return
        if not self.replica.holds_lease(now):
            return
        for command in self._rosters.due(self._watch, now, self._wall()):
            log.info("roster.change", command=str(command))
            self._propose(command)

    def on_poll(self, poll: Poll, src: str, now: float) -> None:
        """Answers an instance's or a relay's poll."""
        if not self.replica.holds_lease(now):
            answer = Confirmed(
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
        self._rosters.note(poll, self._watch, now)
        for inner in poll.relayed:
            self._rosters.note(inner, self._watch, now)
        for item in poll.alive:
            self._rosters.note_alive(item, self._watch, now)
        voters = self.replica.members.voters
        self._link.send(
            poll.member.peer, self.publisher.answer(poll, now, 0.0, self.options.peer, voters)
        )

    def _push(self) -> None:
        now = self._clock()
        if not self.replica.holds_lease(now):
            return
        voters = self.replica.members.voters
        for _, address, update in self.publisher.pushes(now, self.options.peer, voters):
            self._link.send(address, update)

    # Consensus

    def on_message(self, envelope: Envelope) -> None:
        """Hands a consensus message to the replica."""
        now = self._clock()
        if now < self._halted_until:
            return
        self._addresses[envelope.src] = envelope.address
        self._carry_out(self.replica.step(envelope.src, envelope.body, now))

    def _carry_out(self, effects: list[Effect]) -> None:
        changed = False
        for effect in effects:
            match effect:
                case Persist() | SaveSnapshot():
                    try:
                        store_effect(self.folder, effect)
                    except OSError as exc:
                        self._halt(exc)
                        return
                case Send(to=to, address=address, body=body):
                    where = address or self._addresses.get(to, "")
                    if where:
                        self._link.send(where, body, to)
                case Apply(entry=entry):
                    changed = True
                    result = self.state.apply(entry.data)
                    self._answer(entry.index, entry.term, result)
                case Restore(state=state):
                    changed = True
                    self.state.restore(state)
        if changed:
            self._push()
            self._compact()

    def _halt(self, exc: OSError) -> None:
        """Steps down after a failed write and begins again from what the disk holds."""
        log.error("folder.write_failed", error=str(exc), retry_s=DISK_RETRY_S)
        self._fail_waiting()
        self.folder.close()
        match open_folder(self.options.folder):
            case (folder, recovered):
                self.folder = folder
                self.replica = self._load(recovered)
                self._halted_until = self._clock() + DISK_RETRY_S
            case other:
                raise SystemExit(f"data folder failed and did not open again: {other}")

    def _compact(self) -> None:
        log_size = self.replica.applied - self.replica.log.snapshot.index
        if log_size >= self.options.snapshot_entries:
            self._carry_out(self.replica.compact(self.state.save(), self._clock()))
            log.info("controller.snapshot", index=self.replica.applied)

    def _answer(self, index: int, term: int, result: Verdict | None) -> None:
        waiting = self._waiting.pop(index, None)
        if waiting is None or waiting.fut.done():
            return
        waiting.fut.set_result(result if waiting.term == term else None)

    def _fail_waiting(self) -> None:
        for waiting in self._waiting.values():
            if not waiting.fut.done():
                waiting.fut.set_result(None)
        self._waiting.clear()

    def _propose(self, command: Command) -> int:
        now = self._clock()
        data = COMMAND_ENCODER.encode(command)
        verdict, index, effects = self.replica.propose(data, now)
        if verdict is not ProposalVerdict.ACCEPTED:
            return 0
        self._carry_out(effects)
        return index

    # For the operators' interface

    def leads(self) -> bool:
        """Tells whether this controller may answer for the group."""
        return self.replica.holds_lease(self._clock())

    def leader_control(self) -> str:
        """Returns the operators' address of the leader, or an empty text."""
        for member in self.state.roster.members:
            if member.name == self.replica.leader:
                return member.control
        return ""

    async def submit(self, command: Command, timeout_s: float) -> Verdict | None:
        """Proposes a command; None means that the outcome is unknown."""
        now = self._clock()
        if not self.replica.holds_lease(now):
            return None
        fut = asyncio.get_running_loop().create_future()
        term = self.replica.term
        index = self.replica.log.last_index + 1
        self._waiting[index] = _Waiting(term, fut)
        if not self._propose(command):
            self._waiting.pop(index, None)
            return None
        try:
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError:
            self._waiting.pop(index, None)
            return None

    def change_group(self, action: str, name: str, address: str) -> ProposalVerdict:
        """Adds a learner, promotes or removes a member of the group."""
        now = self._clock()
        match action:
            case "add":
                verdict, _, effects = self.replica.add_learner(name, address, now)
            case "promote":
                verdict, _, effects = self.replica.promote(name, now)
            case _:
                verdict, _, effects = self.replica.remove(name, now)
        self._carry_out(effects)
        return verdict

    def silence(self, name: str) -> float:
        """Returns for how long an instance has been silent, as this leader sees it."""
        return self._watch.silence_s(name, self._clock())
