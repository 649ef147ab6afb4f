"""Driver of a replica: its effects on disk, without the loop waiting, and on the links."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
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
from marjoramvalve.fleet.identities import Identity
from marjoramvalve.fleet.replica_stores import load_replica, store_effect
from marjoramvalve.fleet.states import FleetState, Verdict
from marjoramvalve.once import OrderOutcome
from marjoramvalve.storage import DataFolder, open_folder
from marjoramvalve.wire.messages import Members, Message

TICK_S = 0.05
HEARTBEAT_S = 0.15  # Several to an election time-out.
ELECTION_S = 0.7  # Above a slow sync and the way between failure domains many times over.
DRIFT = 0.05  # Largest difference between the rates of two clocks.
SNAPSHOT_ENTRIES = 200  # Documents may be large; a restart reads all that stands behind one.
DISK_RETRY_S = 0.5

Outcome = Verdict | OrderOutcome

log = structlog.get_logger("group")


class DataFolderError(Exception):
    """A data folder that can't be used."""


class RaftGroup:
    """One controller's part in the replicated state."""

    def __init__(
        self,
        folder: Path,
        identity: Identity,
        send: Callable[[str, str, Message], None],
        on_change: Callable[[], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.state = FleetState()
        self._path = folder
        self._send = send
        self._on_change = on_change
        self._clock = clock
        self._rng = rng
        self._effects: deque[Effect] = deque()
        self._worker: asyncio.Task | None = None
        self._ticker: asyncio.Task | None = None
        self._disk = ThreadPoolExecutor(1, "disk")
        self._waiting: dict[int, tuple[int, asyncio.Future]] = {}
        self._halted = False
        self._role = Role.FOLLOWER
        self._leader = ""
        self.folder, self.replica = self._open()

    def _open(self) -> tuple[DataFolder, Replica]:
        match open_folder(self._path):
            case (folder, recovered):
                loaded = load_replica(recovered, Members(dict(self.identity.first), {}))
            case problem:
                raise DataFolderError(f"data folder {str(self._path)!r} can't be used: {problem}")
        if recovered.torn:
            log.warning("folder.tail_cut", bytes=recovered.torn)
        self.state.restore(loaded.log.snapshot.state)
        timing = Timing(HEARTBEAT_S, ELECTION_S, DRIFT)
        replica = Replica(
            self.identity.name, timing, self._rng, loaded.log, loaded.hard_state, self._clock()
        )
        return folder, replica

    async def start(self) -> None:
        """Starts ticking."""
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stops; waiting proposals end with an unknown outcome."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._fail_waiting()
        self._disk.shutdown(wait=False)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if not self._halted:
                self._queue(self.replica.tick(self._clock()))
                self._watch_role()

    def _watch_role(self) -> None:
        role, leader = self.replica.role, self.replica.leader
        if (role, leader) == (self._role, self._leader):
            return
        self._role, self._leader = role, leader
        log.info("group.role", role=str(role), leader=leader, term=self.replica.term)
        if role is not Role.LEADER:
            self._fail_waiting()
        self._on_change()

    def step(self, src: str, body: Message) -> None:
        """Takes in a message of another controller."""
        if not self._halted:
            self._queue(self.replica.step(src, body, self._clock()))

    # Effects

    def _queue(self, effects: list[Effect]) -> None:
        self._effects.extend(effects)
        if self._worker is None and self._effects:
            if self._carry_out():
                return
            self._worker = asyncio.create_task(self._persist())

    def _carry_out(self) -> bool:
        """Carries out effects up to one that needs the disk; True once none is left."""
        while self._effects:
            effect = self._effects[0]
            if isinstance(effect, Persist | SaveSnapshot):
                return False
            self._effects.popleft()
            match effect:
                case Send(to=to, address=address, body=body):
                    self._send(to, address, body)
                case Apply(entry=entry):
                    outcome = self.state.apply(entry.data)
                    self._answer(entry.index, entry.term, outcome)
                    self._on_change()
                    self._compact()
                case Restore(state=state):
                    self.state.restore(state)
                    self._on_change()
        return True

    async def _persist(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._carry_out():
            effect = self._effects[0]
            try:
                await loop.run_in_executor(self._disk, store_effect, self.folder, effect)
            except OSError as exc:
                await self._reopen(exc)
                continue
            self._effects.popleft()
        self._worker = None

    async def _reopen(self, exc: OSError) -> None:
        """Begins again from what the disk holds after a failed write."""
        log.error("folder.write_failed", error=str(exc), retry_s=DISK_RETRY_S)
        self._halted = True
        self._effects.clear()
        self._fail_waiting()
        self.folder.close()
        while True:
            await asyncio.sleep(DISK_RETRY_S)
            try:
                self.folder, self.replica = self._open()
                break
            except (OSError, DataFolderError) as problem:
                log.error("folder.open_failed", error=str(problem))
        self._halted = False
        self._on_change()

    def _compact(self) -> None:
        most = max(SNAPSHOT_ENTRIES, len(self.state.orders))  # A snapshot costs as much as these.
        if self.replica.applied - self.replica.log.snapshot.index < most:
            return
        if any(isinstance(item, Apply | Restore) for item in self._effects):
            return  # The state is behind what the replica counts as applied.
        self._effects.extend(self.replica.compact(self.state.save(), self._clock()))
        log.info("group.snapshot", index=self.replica.applied)

    def _answer(self, index: int, term: int, outcome: Outcome) -> None:
        waiting = self._waiting.pop(index, None)
        if waiting is not None and not waiting[1].done():
            waiting[1].set_result(outcome if waiting[0] == term else None)

    def _fail_waiting(self) -> None:
        for _, fut in self._waiting.values():
            if not fut.done():
                fut.set_result(None)
        self._waiting.clear()

    # Questions and commands

    def is_leader(self) -> bool:
        """Tells whether this controller may answer for the group now."""
        if self._halted or not self.replica.holds_lease(self._clock()):
            return False
        return not any(isinstance(item, Apply | Restore) for item in self._effects)

    async def propose(self, data: bytes, timeout_s: float) -> Outcome | None:
        """Proposes a command; None means that its outcome is unknown."""
        if not self.is_leader():
            return None
        verdict, index, effects = self.replica.propose(data, self._clock())
        if verdict is not ProposalVerdict.TAKEN:
            return None
        fut = asyncio.get_running_loop().create_future()
        self._waiting[index] = (self.replica.term, fut)
        self._queue(effects)
        try:
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError:
            self._waiting.pop(index, None)
            return None

    def change_membership(self, action: str, name: str, address: str = "") -> ProposalVerdict:
        """Adds a learner, promotes or removes a member."""
        now = self._clock()
        match action:
            case "add":
                verdict, _, effects = self.replica.add_learner(name, address, now)
            case "promote":
                verdict, _, effects = self.replica.promote(name, now)
            case _:
                verdict, _, effects = self.replica.remove(name, now)
        self._queue(effects)
        return verdict
