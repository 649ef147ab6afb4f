"""Drives a consensus replica: runs its effects on disk, off the event loop, and on the links."""

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
from marjoramvalve.fleet.evacuations import Evacuations
from marjoramvalve.fleet.identities import Identity
from marjoramvalve.fleet.replica_stores import load_replica, store_effect
from marjoramvalve.fleet.states import FleetState, PublishResult
from marjoramvalve.idempotency import OrderOutcome
from marjoramvalve.storage import DataFolder, open_folder
from marjoramvalve.wire.messages import Members, Message

TICK_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 0.15  # Several heartbeats fit into one election timeout.
ELECTION_TIMEOUT_S = 0.7  # Many times a slow disk sync plus a round trip between failure domains.
MAX_CLOCK_DRIFT = 0.05  # Largest relative difference between the rates of two clocks.
# Documents may be large, and a restart reads every log entry that follows the snapshot.
MIN_SNAPSHOT_ENTRIES = 200
DISK_RETRY_INTERVAL_S = 0.5

CommandOutcome = PublishResult | OrderOutcome | Evacuations

log = structlog.get_logger("group")


class DataFolderError(Exception):
    """Raised when a data folder cannot be opened or read."""


class RaftGroup:
    """This controller's replica in the Raft group, with the replicated state built from its log.

    Raises DataFolderError if the data folder cannot be used.
    """

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
        self._persist_task: asyncio.Task | None = None
        self._tick_task: asyncio.Task | None = None
        self._disk_executor = ThreadPoolExecutor(1, "disk")
        self._pending_proposals: dict[int, tuple[int, asyncio.Future]] = {}
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
        if recovered.torn_bytes:
            log.warning("folder.tail_cut", bytes=recovered.torn_bytes)
        self.state.restore(loaded.log.snapshot.state)
        timing = Timing(HEARTBEAT_INTERVAL_S, ELECTION_TIMEOUT_S, MAX_CLOCK_DRIFT)
        replica = Replica(
            self.identity.name, timing, self._rng, loaded.log, loaded.hard_state, self._clock()
        )
        return folder, replica

    async def start(self) -> None:
        """Starts the replica's timer."""
        self._tick_task = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stops the replica; pending proposals end with an unknown outcome."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._fail_pending_proposals()
        self._disk_executor.shutdown(wait=False)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            if not self._halted:
                self._enqueue_effects(self.replica.tick(self._clock()))
                self._check_role_change()

    def _check_role_change(self) -> None:
        role, leader = self.replica.role, self.replica.leader
        if (role, leader) == (self._role, self._leader):
            return
        self._role, self._leader = role, leader
        log.info("group.role", role=str(role), leader=leader, term=self.replica.term)
        if role is not Role.LEADER:
            self._fail_pending_proposals()
        self._on_change()

    def step(self, src: str, body: Message) -> None:
        """Handles a consensus message from another controller."""
        if not self._halted:
            self._enqueue_effects(self.replica.step(src, body, self._clock()))

    # Effects

    def _enqueue_effects(self, effects: list[Effect]) -> None:
        self._effects.extend(effects)
        if self._persist_task is None and self._effects:
            if self._run_effects():
                return
            self._persist_task = asyncio.create_task(self._persist_effects())

    def _run_effects(self) -> bool:
        """Runs queued effects up to the first that needs the disk; True if none is left."""
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
                    self._resolve_proposal(entry.index, entry.term, outcome)
                    self._on_change()
                    self._maybe_compact()
                case Restore(state=state):
                    self.state.restore(state)
                    self._on_change()
        return True

    async def _persist_effects(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._run_effects():
            effect = self._effects[0]
            try:
                await loop.run_in_executor(self._disk_executor, store_effect, self.folder, effect)
            except OSError as exc:
                await self._reopen(exc)
                continue
            self._effects.popleft()
        self._persist_task = None

    async def _reopen(self, exc: OSError) -> None:
        """Reloads the replica from disk after a failed write, retrying until that succeeds."""
        log.error("folder.write_failed", error=str(exc), retry_s=DISK_RETRY_INTERVAL_S)
        self._halted = True
        self._effects.clear()
        self._fail_pending_proposals()
        self.folder.close()
        while True:
            await asyncio.sleep(DISK_RETRY_INTERVAL_S)
            try:
                self.folder, self.replica = self._open()
                break
            except (OSError, DataFolderError) as problem:
                log.error("folder.open_failed", error=str(problem))
        self._halted = False
        self._on_change()

    def _maybe_compact(self) -> None:
        # The cost of a snapshot grows with the number of order records in it.
        threshold = max(MIN_SNAPSHOT_ENTRIES, len(self.state.orders))
        if self.replica.applied - self.replica.log.snapshot.index < threshold:
            return
        if any(isinstance(item, Apply | Restore) for item in self._effects):
            return  # The state does not yet include every entry that the replica counts as applied.
        self._effects.extend(self.replica.compact(self.state.save(), self._clock()))
        log.info("group.snapshot", index=self.replica.applied)

    def _resolve_proposal(self, index: int, term: int, outcome: CommandOutcome) -> None:
        pending = self._pending_proposals.pop(index, None)
        if pending is not None and not pending[1].done():
            pending[1].set_result(outcome if pending[0] == term else None)

    def _fail_pending_proposals(self) -> None:
        for _, fut in self._pending_proposals.values():
            if not fut.done():
                fut.set_result(None)
        self._pending_proposals.clear()

    # Queries and commands

    def is_leader(self) -> bool:
        """Returns whether this controller holds the leader lease and has no entry left to apply."""
        if self._halted or not self.replica.holds_lease(self._clock()):
            return False
        return not any(isinstance(item, Apply | Restore) for item in self._effects)

    async def propose(self, data: bytes, timeout_s: float) -> CommandOutcome | None:
        """Proposes a command and returns its outcome once it is applied.

        Returns None if the outcome is unknown, or if this controller does not lead.
        """
        if not self.is_leader():
            return None
        verdict, index, effects = self.replica.propose(data, self._clock())
        if verdict is not ProposalVerdict.ACCEPTED:
            return None
        fut = asyncio.get_running_loop().create_future()
        self._pending_proposals[index] = (self.replica.term, fut)
        self._enqueue_effects(effects)
        try:
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError:
            self._pending_proposals.pop(index, None)
            return None

    def change_membership(self, action: str, name: str, address: str = "") -> ProposalVerdict:
        """Adds a learner ("add"), promotes a learner ("promote"), or else removes a member."""
        now = self._clock()
        match action:
            case "add":
                verdict, _, effects = self.replica.add_learner(name, address, now)
            case "promote":
                verdict, _, effects = self.replica.promote(name, now)
            case _:
                verdict, _, effects = self.replica.remove(name, now)
        self._enqueue_effects(effects)
        return verdict
