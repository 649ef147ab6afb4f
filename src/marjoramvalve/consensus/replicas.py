"""One replica of the consensus group."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from marjoramvalve.consensus.effects import Apply, Effect, Persist, Restore, SaveSnapshot, Send
from marjoramvalve.consensus.logs import Log, Snapshot
from marjoramvalve.wire.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    Members,
    Message,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)

MAX_ENTRIES_PER_MESSAGE = 64


class Role(StrEnum):
    """What a replica currently is."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProposalVerdict(StrEnum):
    """Answer to a proposal."""

    TAKEN = "taken"
    NOT_LEADER = "not-leader"
    CHANGE_PENDING = "change-pending"
    NOT_CAUGHT_UP = "not-caught-up"
    NOT_A_MEMBER = "not-a-member"


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in seconds; an election timeout is drawn from one to two times the shortest."""

    heartbeat: float
    election: float
    drift: float


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote as they were last synced."""

    term: int = 0
    voted_for: str = ""


@dataclass(slots=True)
class _Progress:
    next_index: int
    match: int = 0
    acked_at: float = -1e18
    heard_at: float = -1e18
    snapshot_sent_at: float = -1e18


@dataclass(slots=True)
class _Ballot:
    term: int
    granted: set[str] = field(default_factory=set)


class Replica:
    """A replica: every input returns the effects to carry out in order.

    Time is the caller's monotonic clock in seconds; `rng` draws election timeouts. A replica
    waits a whole election timeout after its start before it grants votes, since it does not know
    which leader it had heard from.
    """

    def __init__(
        self,
        name: str,
        timing: Timing,
        rng: random.Random,
        log: Log,
        hard: HardState,
        now: float,
    ) -> None:
        self.name = name
        self.timing = timing
        self.log = log
        self.term = hard.term
        self.voted_for = hard.voted_for
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self._rng = rng
        self._now = now
        self._heard_at = now
        self._deadline = now + self._draw()
        self._beat_at = now
        self._led_since = now
        self._pre_ballot: _Ballot | None = None
        self._ballot: _Ballot | None = None
        self._progress: dict[str, _Progress] = {}
        self._effects: list[Effect] = []
        self.members_index, self.members = log.members()

    # Inputs

    def tick(self, now: float) -> list[Effect]:
        """Advances time."""
        self._now = now
        if self.role is Role.LEADER:
            self._lead()
        elif now >= self._deadline and self.name in self.members.voters:
            self._campaign_pre()
        return self._take()

    def step(self, src: str, body: Message, now: float) -> list[Effect]:
        """Takes in a message from a peer."""
        self._now = now
        match body:
            case PreVoteRequest():
                self._on_pre_vote(src, body)
            case PreVoteResponse():
                self._on_pre_voted(src, body)
            case VoteRequest():
                self._on_vote(src, body)
            case VoteResponse():
                self._on_voted(src, body)
            case AppendEntries():
                self._on_append(src, body)
            case AppendEntriesResponse():
                self._on_appended(src, body)
            case InstallSnapshot():
                self._on_snapshot(src, body)
        return self._take()

    def propose(self, data: bytes, now: float) -> tuple[ProposalVerdict, int, list[Effect]]:
        """Appends a command; returns the verdict, its index and the effects."""
        self._now = now
        if self.role is not Role.LEADER:
            return ProposalVerdict.NOT_LEADER, 0, []
        index = self._append_own(EntryKind.COMMAND, data)
        return ProposalVerdict.TAKEN, index, self._take()

    def add_learner(self, name: str, address: str, now: float):
        """Adds a learner, or changes the address of one; returns as `propose` does."""
        voters = dict(self.members.voters)
        if name in voters:
            return ProposalVerdict.CHANGE_PENDING, 0, []
        learners = {**self.members.learners, name: address}
        return self._change(Members(voters, learners), now)

    def promote(self, name: str, now: float):
        """Makes a learner a voter once it has caught up; returns as `propose` does."""
        if name not in self.members.learners:
            return ProposalVerdict.NOT_A_MEMBER, 0, []
        if self.role is Role.LEADER and not self._caught_up(name, now):
            return ProposalVerdict.NOT_CAUGHT_UP, 0, []
        learners = dict(self.members.learners)
        address = learners.pop(name)
        return self._change(Members({**self.members.voters, name: address}, learners), now)

    def remove(self, name: str, now: float):
        """Removes a voter or a learner; returns as `propose` does."""
        voters = {key: value for key, value in self.members.voters.items() if key != name}
        learners = {key: value for key, value in self.members.learners.items() if key != name}
        if len(voters) + len(learners) == len(self.members.voters) + len(self.members.learners):
            return ProposalVerdict.NOT_A_MEMBER, 0, []
        return self._change(Members(voters, learners), now)

    def compact(self, state: bytes, now: float) -> list[Effect]:
        """Replaces the log up to `applied` by a snapshot of the state there."""
        self._now = now
        index = self.applied
        if index <= self.log.snapshot.index:
            return []
        term_at = self.log.term_at(index)
        _, members = self.log.members(index)
        self.log.compact(Snapshot(index, term_at, members, state))
        self._save_snapshot()
        return self._take()

    # Questions

    def holds_lease(self, now: float) -> bool:
        """Tells whether this replica leads, and no other can lead yet, by the clocks' margin."""
        if self.role is not Role.LEADER or self.log.term_at(self.commit) != self.term:
            return False
        span = self.timing.election * (1 - self.timing.drift) / (1 + self.timing.drift)
        return now < self._quorum_time(lambda item: item.acked_at) + span

    def peers(self) -> dict[str, str]:
        """Returns the address by name of every other member."""
        everyone = {**self.members.voters, **self.members.learners}
        everyone.pop(self.name, None)
        return everyone

    def lag(self) -> dict[str, int]:
        """Returns, on the leader, how many entries each peer is behind."""
        return {
            name: self.log.last_index - item.match
            for name, item in self._progress.items()
            if name in self.peers()
        }

    def silence(self, name: str, now: float) -> float:
        """Returns, on the leader, the seconds since a peer was heard; infinite where never."""
        item = self._progress.get(name)
        return float("inf") if item is None else now - item.heard_at

    # Elections

    def _draw(self) -> float:
        return self.timing.election * (1 + self._rng.random())

    def _quorum(self) -> int:
        return len(self.members.voters) // 2 + 1

    def _log_is_as_new(self, last_term: int, last_index: int) -> bool:
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def leader_silent_s(self, now: float) -> float:
        """Returns, on a follower, the seconds since its leader was heard."""
        return now - self._heard_at

    def _leader_is_live(self) -> bool:
        if self.role is Role.LEADER:
            return True
        return self._now < self._heard_at + self.timing.election

    def _campaign_pre(self) -> None:
        self._deadline = self._now + self._draw()
        self.role = Role.FOLLOWER
        self.leader = ""
        self._pre_ballot = _Ballot(self.term + 1, {self.name})
        if len(self._pre_ballot.granted) >= self._quorum():
            self._campaign()
            return
        ask = PreVoteRequest(self.term + 1, self.log.last_index, self.log.last_term)
        self._send_voters(ask)

    def _campaign(self) -> None:
        self._pre_ballot = None
        self.role = Role.CANDIDATE
        self.leader = ""
        self.term += 1
        self.voted_for = self.name
        self._ballot = _Ballot(self.term, {self.name})
        self._persist(())
        self._deadline = self._now + self._draw()
        if len(self._ballot.granted) >= self._quorum():
            self._become_leader()
            return
        self._send_voters(VoteRequest(self.term, self.log.last_index, self.log.last_term))

    def _on_pre_vote(self, src: str, body: PreVoteRequest) -> None:
        granted = (
            body.term > self.term
            and self.name in self.members.voters
            and not self._leader_is_live()
            and self._log_is_as_new(body.last_term, body.last_index)
        )
        self._send(src, PreVoteResponse(body.term, self.term, granted))

    def _on_pre_voted(self, src: str, body: PreVoteResponse) -> None:
        if body.current_term > self.term:
            self._step_down(body.current_term)
            return
        ballot = self._pre_ballot
        if ballot is None or body.term != ballot.term or not body.granted:
            return
        if src in self.members.voters:
            ballot.granted.add(src)
        if len(ballot.granted) >= self._quorum():
            self._campaign()

    def _on_vote(self, src: str, body: VoteRequest) -> None:
        if self._leader_is_live() or self.name not in self.members.voters:
            return
        if body.term > self.term:
            self._step_down(body.term)
        granted = (
            body.term == self.term
            and self.voted_for in ("", src)
            and self._log_is_as_new(body.last_term, body.last_index)
        )
        if granted:
            self.voted_for = src
            self._persist(())
            self._deadline = self._now + self._draw()
        self._send(src, VoteResponse(self.term, granted))

    def _on_voted(self, src: str, body: VoteResponse) -> None:
        if body.term > self.term:
            self._step_down(body.term)
            return
        if self.role is not Role.CANDIDATE or body.term != self.term or not body.granted:
            return
        if src in self.members.voters:
            self._ballot.granted.add(src)
        if len(self._ballot.granted) >= self._quorum():
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self._ballot = None
        self._led_since = self._now
        self._progress = {}
        self._append_own(EntryKind.NOOP, b"")
        self._beat_at = self._now

    def _step_down(self, term: int) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._persist(())
        if self.role is Role.LEADER:
            self._deadline = self._now + self._draw()
        self.role = Role.FOLLOWER
        self._pre_ballot = None
        self._ballot = None
        if self.leader == self.name:
            self.leader = ""

    # Leading

    def _lead(self) -> None:
        heard = self._quorum_time(lambda item: item.heard_at)
        if self._now > max(heard, self._led_since) + 2 * self.timing.election:
            self._step_down(self.term)
            return
        if self._now >= self._beat_at:
            self._beat_at = self._now + self.timing.heartbeat
            for name in self.peers():
                self._replicate(name)

    def _quorum_time(self, when: Callable[[_Progress], float]) -> float:
        times = [
            self._now if name == self.name else when(self._progress_of(name))
            for name in self.members.voters
        ]
        times.sort(reverse=True)
        return times[self._quorum() - 1] if times else -1e18

    def _progress_of(self, name: str) -> _Progress:
        item = self._progress.get(name)
        if item is None:
            item = self._progress[name] = _Progress(self.log.last_index + 1)
        return item

    def _append_own(self, kind: int, data: bytes) -> int:
        entry = Entry(self.term, self.log.last_index + 1, kind, data)
        self._append((entry,))
        for name in self.peers():
            self._replicate(name)
        self._advance()
        return entry.index

    def _append(self, entries: tuple[Entry, ...]) -> None:
        self.log.replace_from(entries)
        self._take_members()
        self._persist(entries)

    def _take_members(self) -> None:
        self.members_index, self.members = self.log.members()
        for name in self._progress.keys() - self.peers().keys():
            del self._progress[name]

    def _change(self, members: Members, now: float):
        self._now = now
        if self.role is not Role.LEADER:
            return ProposalVerdict.NOT_LEADER, 0, []
        settled = self.members_index <= self.commit
        if not settled or self.log.term_at(self.commit) != self.term or not members.voters:
            return ProposalVerdict.CHANGE_PENDING, 0, []
        index = self._append_own(EntryKind.MEMBERS, msgspec.msgpack.encode(members))
        return ProposalVerdict.TAKEN, index, self._take()

    def _caught_up(self, name: str, now: float) -> bool:
        item = self._progress_of(name)
        recent = now - item.heard_at < self.timing.election
        return recent and item.match >= self.commit

    def _replicate(self, name: str) -> None:
        item = self._progress_of(name)
        if item.next_index <= self.log.snapshot.index:
            self._send_snapshot(name, item)
            return
        prev = item.next_index - 1
        entries = self.log.slice(item.next_index, MAX_ENTRIES_PER_MESSAGE)
        body = AppendEntries(
            self.term, prev, self.log.term_at(prev), entries, self.commit, self._now
        )
        self._send(name, body)
        if entries:
            item.next_index = entries[-1].index + 1

    def _send_snapshot(self, name: str, item: _Progress) -> None:
        if self._now < item.snapshot_sent_at + self.timing.election:
            return
        item.snapshot_sent_at = self._now
        snap = self.log.snapshot
        self._send(
            name,
            InstallSnapshot(self.term, snap.index, snap.term, snap.members, snap.state, self._now),
        )

    def _on_appended(self, src: str, body: AppendEntriesResponse) -> None:
        if body.term > self.term:
            self._step_down(body.term)
            return
        if self.role is not Role.LEADER or body.term != self.term:
            return
        item = self._progress_of(src)
        item.heard_at = self._now
        item.acked_at = max(item.acked_at, body.sent_at)
        if not body.success:
            item.next_index = max(item.match + 1, min(item.next_index - 1, body.match + 1))
            self._replicate(src)
            return
        item.match = max(item.match, body.match)
        item.next_index = max(item.next_index, item.match + 1)
        self._advance()
        if item.next_index <= self.log.last_index:
            self._replicate(src)

    def _advance(self) -> None:
        matches = [
            self.log.last_index if name == self.name else self._progress_of(name).match
            for name in self.members.voters
        ]
        matches.sort(reverse=True)
        if not matches:
            return
        index = matches[self._quorum() - 1]
        if index > self.commit and self.log.term_at(index) == self.term:
            self._commit_to(index)
            for name in self.peers():
                self._replicate(name)

    def _commit_to(self, index: int) -> None:
        self.commit = max(self.commit, min(index, self.log.last_index))
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.get(self.applied)
            if entry.kind == EntryKind.COMMAND:
                self._effects.append(Apply(entry))
        gone = self.role is Role.LEADER and self.name not in self.members.voters
        if gone and self.members_index <= self.commit:
            self._step_down(self.term)

    # Following

    def _hear(self, src: str, term: int) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(term)
        self._pre_ballot = None
        self.leader = src
        self._heard_at = self._now
        self._deadline = self._now + self._draw()
        return True

    def _on_append(self, src: str, body: AppendEntries) -> None:
        if not self._hear(src, body.term):
            self._send(src, AppendEntriesResponse(self.term, False, 0, body.sent_at))
            return
        if body.prev_index > self.commit and self.log.term_at(body.prev_index) != body.prev_term:
            hint = min(self.log.last_index, body.prev_index - 1)
            while hint > self.commit and (self.log.term_at(hint) or 0) > body.prev_term:
                hint -= 1
            self._send(src, AppendEntriesResponse(self.term, False, hint, body.sent_at))
            return
        self._take_entries(body.entries)
        match = body.prev_index + len(body.entries)
        if self.log.term_at(match) is not None:
            self._commit_to(min(body.commit, match))
        self._send(src, AppendEntriesResponse(self.term, True, match, body.sent_at))

    def _take_entries(self, entries: tuple[Entry, ...]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.commit:
                continue
            if self.log.term_at(entry.index) != entry.term:
                self._append(entries[position:])
                return

    def _on_snapshot(self, src: str, body: InstallSnapshot) -> None:
        if not self._hear(src, body.term):
            self._send(src, AppendEntriesResponse(self.term, False, 0, body.sent_at))
            return
        if body.last_index > self.commit:
            snapshot = Snapshot(body.last_index, body.last_term, body.members, body.state)
            self.log.compact(snapshot)
            self._take_members()
            self.commit = self.applied = body.last_index
            self._save_snapshot()
            self._effects.append(Restore(body.last_index, body.state))
        self._send(src, AppendEntriesResponse(self.term, True, body.last_index, body.sent_at))

    # Effects

    def _take(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects

    def _persist(self, entries: tuple[Entry, ...]) -> None:
        first = entries[0].index if entries else 0
        self._effects.append(Persist(self.term, self.voted_for, first, entries))

    def _save_snapshot(self) -> None:
        snap = self.log.snapshot
        kept = self.log.slice(snap.index + 1, self.log.last_index - snap.index)
        self._effects.append(
            SaveSnapshot(
                snap.index, snap.term, snap.members, snap.state, self.term, self.voted_for, kept
            )
        )

    def _send(self, to: str, body: Message) -> None:
        address = self.peers().get(to, "")
        self._effects.append(Send(to, address, body))

    def _send_voters(self, body: Message) -> None:
        for name in self.members.voters:
            if name != self.name:
                self._send(name, body)
