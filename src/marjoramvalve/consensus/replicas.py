"""Raft replica: elections, log replication, membership changes and the leader's lease."""

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
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProposalVerdict(StrEnum):
    """Result of proposing a command or a membership change."""

    ACCEPTED = "taken"
    NOT_LEADER = "not-leader"
    CHANGE_PENDING = "change-pending"
    NOT_CAUGHT_UP = "not-caught-up"
    NOT_A_MEMBER = "not-a-member"


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in seconds.

    An election timeout is drawn uniformly from one to two times `election`. `drift` is the largest
    relative deviation of a clock's rate, as a fraction.
    """

    heartbeat: float
    election: float
    drift: float


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote as last synced to disk."""

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
class _VoteTally:
    term: int
    granted: set[str] = field(default_factory=set)


class Replica:
    """Raft state machine of one replica: each input returns the effects to carry out in order.

    Time is the caller's monotonic clock in seconds; `rng` draws election timeouts. After its start
    a replica grants no votes for `timing.election` seconds, since it does not know whether it had
    heard from a live leader before.
    """

    def __init__(
        self,
        name: str,
        timing: Timing,
        rng: random.Random,
        log: Log,
        hard_state: HardState,
        now: float,
    ) -> None:
        self.name = name
        self.timing = timing
        self.log = log
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self._rng = rng
        self._now = now
        self._leader_heard_at = now
        self._election_deadline = now + self._draw_election_timeout()
        self._next_heartbeat_at = now
        self._leader_since = now
        self._pre_vote_tally: _VoteTally | None = None
        self._vote_tally: _VoteTally | None = None
        self._progress: dict[str, _Progress] = {}
        self._effects: list[Effect] = []
        self.members_index, self.members = log.members()

    # Inputs

    def tick(self, now: float) -> list[Effect]:
        """Advances time to `now`: sends heartbeats, steps down or starts an election if due."""
        self._now = now
        if self.role is Role.LEADER:
            self._tick_leader()
        elif now >= self._election_deadline and self.name in self.members.voters:
            self._start_pre_vote()
        return self._take_effects()

    def step(self, src: str, body: Message, now: float) -> list[Effect]:
        """Handles a message from a peer."""
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
                self._on_append_entries(src, body)
            case AppendEntriesResponse():
                self._on_appended(src, body)
            case InstallSnapshot():
                self._on_install_snapshot(src, body)
        return self._take_effects()

    def propose(self, data: bytes, now: float) -> tuple[ProposalVerdict, int, list[Effect]]:
        """Appends a command; returns the verdict, the log index and the effects.

        The index is 0 and there are no effects unless the verdict is `ACCEPTED`.
        """
        self._now = now
        if self.role is not Role.LEADER:
            return ProposalVerdict.NOT_LEADER, 0, []
        index = self._append_as_leader(EntryKind.COMMAND, data)
        return ProposalVerdict.ACCEPTED, index, self._take_effects()

    def add_learner(self, name: str, address: str, now: float):
        """Adds a learner, or changes the address of one; returns as `propose` does."""
        voters = dict(self.members.voters)
        if name in voters:
            return ProposalVerdict.CHANGE_PENDING, 0, []
        learners = {**self.members.learners, name: address}
        return self._propose_members(Members(voters, learners), now)

    def promote(self, name: str, now: float):
        """Makes a learner a voter if it has caught up; returns as `propose` does."""
        if name not in self.members.learners:
            return ProposalVerdict.NOT_A_MEMBER, 0, []
        if self.role is Role.LEADER and not self._is_caught_up(name, now):
            return ProposalVerdict.NOT_CAUGHT_UP, 0, []
        learners = dict(self.members.learners)
        address = learners.pop(name)
        return self._propose_members(Members({**self.members.voters, name: address}, learners), now)

    def remove(self, name: str, now: float):
        """Removes a voter or a learner; returns as `propose` does."""
        voters = {key: value for key, value in self.members.voters.items() if key != name}
        learners = {key: value for key, value in self.members.learners.items() if key != name}
        if len(voters) + len(learners) == len(self.members.voters) + len(self.members.learners):
            return ProposalVerdict.NOT_A_MEMBER, 0, []
        return self._propose_members(Members(voters, learners), now)

    def compact(self, state: bytes, now: float) -> list[Effect]:
        """Replaces the log up to `applied` by a snapshot; `state` is the state at that index."""
        self._now = now
        index = self.applied
        if index <= self.log.snapshot.index:
            return []
        term_at = self.log.term_at(index)
        _, members = self.log.members(index)
        self.log.compact(Snapshot(index, term_at, members, state))
        self._save_snapshot()
        return self._take_effects()

    # Queries

    def holds_lease(self, now: float) -> bool:
        """Tells whether this replica leads and no other can yet, given the bound on clock drift."""
        if self.role is not Role.LEADER or self.log.term_at(self.commit) != self.term:
            return False
        lease_s = self.timing.election * (1 - self.timing.drift) / (1 + self.timing.drift)
        return now < self._quorum_time(lambda item: item.acked_at) + lease_s

    def peers(self) -> dict[str, str]:
        """Returns the addresses of all other members, by name."""
        members = {**self.members.voters, **self.members.learners}
        members.pop(self.name, None)
        return members

    def lag(self) -> dict[str, int]:
        """Returns, on the leader, the number of entries by which each peer is behind."""
        return {
            name: self.log.last_index - item.match
            for name, item in self._progress.items()
            if name in self.peers()
        }

    def peer_silence_s(self, name: str, now: float) -> float:
        """Returns, on the leader, the seconds since a peer's last message.

        The result is infinite if the peer is unknown, and very large if it has never answered.
        """
        item = self._progress.get(name)
        return float("inf") if item is None else now - item.heard_at

    # Elections

    def _draw_election_timeout(self) -> float:
        return self.timing.election * (1 + self._rng.random())

    def _quorum_size(self) -> int:
        return len(self.members.voters) // 2 + 1

    def _is_log_up_to_date(self, last_term: int, last_index: int) -> bool:
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)

    def leader_silence_s(self, now: float) -> float:
        """Returns, on a follower, the seconds since its leader's last message."""
        return now - self._leader_heard_at

    def _is_leader_live(self) -> bool:
        if self.role is Role.LEADER:
            return True
        return self._now < self._leader_heard_at + self.timing.election

    def _start_pre_vote(self) -> None:
        self._election_deadline = self._now + self._draw_election_timeout()
        self.role = Role.FOLLOWER
        self.leader = ""
        self._pre_vote_tally = _VoteTally(self.term + 1, {self.name})
        if len(self._pre_vote_tally.granted) >= self._quorum_size():
            self._start_election()
            return
        request = PreVoteRequest(self.term + 1, self.log.last_index, self.log.last_term)
        self._send_to_voters(request)

    def _start_election(self) -> None:
        self._pre_vote_tally = None
        self.role = Role.CANDIDATE
        self.leader = ""
        self.term += 1
        self.voted_for = self.name
        self._vote_tally = _VoteTally(self.term, {self.name})
        self._persist(())
        self._election_deadline = self._now + self._draw_election_timeout()
        if len(self._vote_tally.granted) >= self._quorum_size():
            self._become_leader()
            return
        self._send_to_voters(VoteRequest(self.term, self.log.last_index, self.log.last_term))

    def _on_pre_vote(self, src: str, body: PreVoteRequest) -> None:
        granted = (
            body.term > self.term
            and self.name in self.members.voters
            and not self._is_leader_live()
            and self._is_log_up_to_date(body.last_term, body.last_index)
        )
        self._send(src, PreVoteResponse(body.term, self.term, granted))

    def _on_pre_voted(self, src: str, body: PreVoteResponse) -> None:
        if body.current_term > self.term:
            self._step_down(body.current_term)
            return
        tally = self._pre_vote_tally
        if tally is None or body.term != tally.term or not body.granted:
            return
        if src in self.members.voters:
            tally.granted.add(src)
        if len(tally.granted) >= self._quorum_size():
            self._start_election()

    def _on_vote(self, src: str, body: VoteRequest) -> None:
        if self._is_leader_live() or self.name not in self.members.voters:
            return
        if body.term > self.term:
            self._step_down(body.term)
        granted = (
            body.term == self.term
            and self.voted_for in ("", src)
            and self._is_log_up_to_date(body.last_term, body.last_index)
        )
        if granted:
            self.voted_for = src
            self._persist(())
            self._election_deadline = self._now + self._draw_election_timeout()
        self._send(src, VoteResponse(self.term, granted))

    def _on_voted(self, src: str, body: VoteResponse) -> None:
        if body.term > self.term:
            self._step_down(body.term)
            return
        if self.role is not Role.CANDIDATE or body.term != self.term or not body.granted:
            return
        if src in self.members.voters:
            self._vote_tally.granted.add(src)
        if len(self._vote_tally.granted) >= self._quorum_size():
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self._vote_tally = None
        self._leader_since = self._now
        self._progress = {}
        self._append_as_leader(EntryKind.NOOP, b"")
        self._next_heartbeat_at = self._now

    def _step_down(self, term: int) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._persist(())
        if self.role is Role.LEADER:
            self._election_deadline = self._now + self._draw_election_timeout()
        self.role = Role.FOLLOWER
        self._pre_vote_tally = None
        self._vote_tally = None
        if self.leader == self.name:
            self.leader = ""

    # Leader

    def _tick_leader(self) -> None:
        quorum_heard_at = self._quorum_time(lambda item: item.heard_at)
        if self._now > max(quorum_heard_at, self._leader_since) + 2 * self.timing.election:
            self._step_down(self.term)
            return
        if self._now >= self._next_heartbeat_at:
            self._next_heartbeat_at = self._now + self.timing.heartbeat
            for name in self.peers():
                self._replicate(name)

    def _quorum_time(self, time_of: Callable[[_Progress], float]) -> float:
        times = [
            self._now if name == self.name else time_of(self._progress_of(name))
            for name in self.members.voters
        ]
        times.sort(reverse=True)
        return times[self._quorum_size() - 1] if times else -1e18

    def _progress_of(self, name: str) -> _Progress:
        item = self._progress.get(name)
        if item is None:
            item = self._progress[name] = _Progress(self.log.last_index + 1)
        return item

    def _append_as_leader(self, kind: int, data: bytes) -> int:
        entry = Entry(self.term, self.log.last_index + 1, kind, data)
        self._append((entry,))
        for name in self.peers():
            self._replicate(name)
        self._advance_commit()
        return entry.index

    def _append(self, entries: tuple[Entry, ...]) -> None:
        self.log.replace_from(entries)
        self._update_members()
        self._persist(entries)

    def _update_members(self) -> None:
        self.members_index, self.members = self.log.members()
        for name in self._progress.keys() - self.peers().keys():
            del self._progress[name]

    def _propose_members(self, members: Members, now: float):
        self._now = now
        if self.role is not Role.LEADER:
            return ProposalVerdict.NOT_LEADER, 0, []
        is_committed = self.members_index <= self.commit
        if not is_committed or self.log.term_at(self.commit) != self.term or not members.voters:
            return ProposalVerdict.CHANGE_PENDING, 0, []
        index = self._append_as_leader(EntryKind.MEMBERS, msgspec.msgpack.encode(members))
        return ProposalVerdict.ACCEPTED, index, self._take_effects()

    def _is_caught_up(self, name: str, now: float) -> bool:
        item = self._progress_of(name)
        is_live = now - item.heard_at < self.timing.election
        return is_live and item.match >= self.commit

    def _replicate(self, name: str) -> None:
        item = self._progress_of(name)
        if item.next_index <= self.log.snapshot.index:
            self._send_snapshot(name, item)
            return
        prev_index = item.next_index - 1
        entries = self.log.slice(item.next_index, MAX_ENTRIES_PER_MESSAGE)
        body = AppendEntries(
            self.term, prev_index, self.log.term_at(prev_index), entries, self.commit, self._now
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
        self._advance_commit()
        if item.next_index <= self.log.last_index:
            self._replicate(src)

    def _advance_commit(self) -> None:
        matches = [
            self.log.last_index if name == self.name else self._progress_of(name).match
            for name in self.members.voters
        ]
        matches.sort(reverse=True)
        if not matches:
            return
        index = matches[self._quorum_size() - 1]
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
        is_removed = self.role is Role.LEADER and self.name not in self.members.voters
        if is_removed and self.members_index <= self.commit:
            self._step_down(self.term)

    # Follower

    def _accept_leader(self, src: str, term: int) -> bool:
        if term < self.term:
            return False
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(term)
        self._pre_vote_tally = None
        self.leader = src
        self._leader_heard_at = self._now
        self._election_deadline = self._now + self._draw_election_timeout()
        return True

    def _on_append_entries(self, src: str, body: AppendEntries) -> None:
        if not self._accept_leader(src, body.term):
            self._send(src, AppendEntriesResponse(self.term, False, 0, body.sent_at))
            return
        if body.prev_index > self.commit and self.log.term_at(body.prev_index) != body.prev_term:
            hint = min(self.log.last_index, body.prev_index - 1)
            while hint > self.commit and (self.log.term_at(hint) or 0) > body.prev_term:
                hint -= 1
            self._send(src, AppendEntriesResponse(self.term, False, hint, body.sent_at))
            return
        self._append_missing_entries(body.entries)
        match = body.prev_index + len(body.entries)
        if self.log.term_at(match) is not None:
            self._commit_to(min(body.commit, match))
        self._send(src, AppendEntriesResponse(self.term, True, match, body.sent_at))

    def _append_missing_entries(self, entries: tuple[Entry, ...]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self.commit:
                continue
            if self.log.term_at(entry.index) != entry.term:
                self._append(entries[position:])
                return

    def _on_install_snapshot(self, src: str, body: InstallSnapshot) -> None:
        if not self._accept_leader(src, body.term):
            self._send(src, AppendEntriesResponse(self.term, False, 0, body.sent_at))
            return
        if body.last_index > self.commit:
            snapshot = Snapshot(body.last_index, body.last_term, body.members, body.state)
            self.log.compact(snapshot)
            self._update_members()
            self.commit = self.applied = body.last_index
            self._save_snapshot()
            self._effects.append(Restore(body.last_index, body.state))
        self._send(src, AppendEntriesResponse(self.term, True, body.last_index, body.sent_at))

    # Effects

    def _take_effects(self) -> list[Effect]:
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

    def _send_to_voters(self, body: Message) -> None:
        for name in self.members.voters:
            if name != self.name:
                self._send(name, body)
