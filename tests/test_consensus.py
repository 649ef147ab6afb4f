"""Consensus: invariants under message loss, duplication, crashes and membership changes.

Each safeguard is also tested by disabling it, after which its check must fail.
"""

import os
import random
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from marjoramvalve.consensus import HardState, Log, ProposalVerdict, Replica, Role, Snapshot
from marjoramvalve.fakes.clusters import TIMING, FakeCluster
from marjoramvalve.wire.messages import (
    AppendEntriesResponse,
    Entry,
    EntryKind,
    Members,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)

SOAK = bool(os.environ.get("SOAK"))
HISTORIES = 2000 if SOAK else 40
STEPS = 120 if SOAK else 60
LONG_HISTORIES = 300 if SOAK else 12
NAMES = st.sampled_from([f"c{number}" for number in range(5)])
POSITIONS = st.integers(0, 50)


class ClusterMachine(RuleBasedStateMachine):
    """Random histories of three voters and two spares; invariants are checked at each step."""

    def __init__(self):
        super().__init__()
        self.cluster = FakeCluster(3, 7, spare=2)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.3, 0.7]))
    def advance(self, seconds):
        self.cluster.advance(seconds)

    @rule(position=POSITIONS, duplicate=st.booleans())
    def deliver(self, position, duplicate):
        self.cluster.deliver(position, duplicate)

    @rule()
    def calm(self):
        self.cluster.run(1.5)

    @rule(position=POSITIONS)
    def drop(self, position):
        self.cluster.drop(position)

    @rule(name=NAMES)
    def crash(self, name):
        self.cluster.crash(name)

    @rule(name=NAMES)
    def restart(self, name):
        if name not in self.cluster.replicas:
            self.cluster.restart(name)

    @rule(name=NAMES)
    def cut_off(self, name):
        self.cluster.cut_off(name)

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(name=NAMES)
    def propose(self, name):
        self.cluster.propose(name)

    @rule(name=NAMES)
    def compact(self, name):
        self.cluster.compact(name)

    @rule(action=st.sampled_from(["add", "promote", "remove"]), name=NAMES)
    def change(self, action, name):
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.change(leader, action, name)

    def teardown(self):
        self.cluster.check_states()


def simulate_history(
    seed: int, steps: int, replica_class=Replica, synced: bool = True
) -> FakeCluster:
    """Runs a cluster for `steps` random steps of messages, time, proposals and failures."""
    rng = random.Random(seed)
    cluster = FakeCluster(3, seed, replica_class, synced)
    names = sorted(cluster.disks)
    for _ in range(steps):
        draw = rng.random()
        if draw < 0.70:
            cluster.deliver(rng.randrange(50), rng.random() < 0.05)
        elif draw < 0.86:
            cluster.advance(rng.choice([0.02, 0.1, 0.4]))
        elif draw < 0.90:
            cluster.propose(rng.choice(names))
        elif draw < 0.93:
            cluster.drop(rng.randrange(50))
        elif draw < 0.95:
            cluster.crash(rng.choice(names))
        elif draw < 0.98:
            name = rng.choice(names)
            if name not in cluster.replicas:
                cluster.restart(name)
        elif draw < 0.99:
            cluster.cut_off(rng.choice(names))
        else:
            cluster.heal()
            cluster.run(1.0)
    return cluster


class InvariantTests(unittest.TestCase):
    """Invariants over random histories."""

    def test_stateful_histories(self):
        run_state_machine_as_test(
            ClusterMachine,
            settings=settings(
                max_examples=HISTORIES,
                stateful_step_count=STEPS,
                derandomize=True,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )

    def test_long_walks(self):
        committed = 0
        for seed in range(LONG_HISTORIES):
            cluster = simulate_history(seed, 3000)
            cluster.check_states()
            committed += len(cluster.committed)
        self.assertGreater(committed, LONG_HISTORIES * 10)


def check_own_term_only(replica_class) -> None:
    """A leader must not commit an earlier term's entry by counting copies (Raft, figure 8).

    Such an entry could still be overwritten by a later leader.
    """
    members = Members({name: name for name in ("a", "b", "c", "d", "e")}, {})
    entries = (Entry(1, 1, EntryKind.NOOP, b""), Entry(2, 2, EntryKind.COMMAND, b"old"))
    log = Log(Snapshot(0, 0, members, b""), entries)
    replica = replica_class("a", TIMING, random.Random(1), log, HardState(3, ""), 0.0)
    replica.tick(2.0)
    for name in ("b", "c"):
        replica.step(name, _pre_voted(replica), 2.0)
    for name in ("b", "c"):
        replica.step(name, _voted(replica), 2.0)
    assert replica.role is Role.LEADER
    for name in ("b", "c"):
        replica.step(name, AppendEntriesResponse(replica.term, True, 2, 2.0), 2.0)
    assert replica.commit == 0, "entry of an earlier term was committed by counting copies"


def _pre_voted(replica):
    return PreVoteResponse(replica.term + 1, replica.term, True)


def _voted(replica):
    return VoteResponse(replica.term, True)


def check_pre_vote(replica_class) -> None:
    """A replica that comes back from a partition must not depose a working leader.

    Without pre-vote it returns with a higher term, which makes the leader step down.
    """
    cluster = FakeCluster(3, 3, replica_class)
    cluster.run(3)
    leader = cluster.leader()
    term = cluster.replicas[leader].term
    isolated = next(name for name in cluster.replicas if name != leader)
    cluster.cut_off(isolated)
    cluster.run(10)
    cluster.heal()
    cluster.run(3)
    assert cluster.leader() == leader, "the leader was deposed"
    assert cluster.replicas[leader].term == term, "the term increased"


def check_catch_up(replica_class) -> None:
    """After the removal of a crashed voter, a second crash must not stop commits or lose entries.

    Both can happen if a learner is promoted in its place before it has caught up.
    """
    cluster = FakeCluster(3, 5, replica_class, spare=1)
    cluster.run(3)
    leader = cluster.leader()
    for _ in range(50):
        cluster.propose(leader)
    cluster.run(1)
    crashed, other = [name for name in ("c0", "c1", "c2") if name != leader]
    cluster.crash(crashed)
    cluster.change(leader, "remove", crashed)
    cluster.run(1)
    cluster.cut_off("c3")
    cluster.change(leader, "add", "c3")
    cluster.run(1)
    verdict = cluster.change(leader, "promote", "c3")
    cluster.run(0.2)
    cluster.crash(other)
    acknowledged_before = cluster.acknowledged
    cluster.restart(other)
    cluster.run(2)
    cluster.propose(cluster.leader() or leader)
    cluster.run(1)
    assert verdict is ProposalVerdict.NOT_CAUGHT_UP, "a lagging learner was promoted"
    assert cluster.acknowledged > acknowledged_before


def check_fsync(synced: bool) -> None:
    """Acknowledged entries must survive a crash of all replicas at once."""
    for seed in range(20):
        cluster = FakeCluster(3, seed, synced=synced)
        cluster.run(3)
        cluster.propose(cluster.leader())
        cluster.run(0.5)
        acknowledged_index = cluster.acknowledged
        for name in list(cluster.replicas):
            cluster.crash(name)
        for name in cluster.disks:
            cluster.restart(name)
        cluster.run(4)
        leader = cluster.leader()
        assert (
            leader and cluster.replicas[leader].log.last_index >= acknowledged_index
        ), "an acknowledged entry was lost"


class WithoutTermCheck(Replica):
    """Faulty: commits entries of any term by counting copies."""

    def _advance_commit(self):
        matches = [
            self.log.last_index if name == self.name else self._progress_of(name).match
            for name in self.members.voters
        ]
        index = sorted(matches, reverse=True)[self._quorum_size() - 1]
        if index > self.commit:
            self._commit_to(index)


class WithoutPreVote(Replica):
    """Faulty: starts elections without pre-vote and grants votes while a leader is live."""

    def _start_pre_vote(self):
        self._start_election()

    def _is_leader_live(self):
        return False


class WithoutCatchUpCheck(Replica):
    """Faulty: promotes a learner however far it lags."""

    def _is_caught_up(self, name, now):
        return True


class GuardTests(unittest.TestCase):
    """Each safeguard works, and its check fails when the safeguard is disabled."""

    def test_commits_only_entries_of_the_own_term(self):
        check_own_term_only(Replica)
        with self.assertRaises(AssertionError):
            check_own_term_only(WithoutTermCheck)

    def test_pre_vote(self):
        check_pre_vote(Replica)
        with self.assertRaises(AssertionError):
            check_pre_vote(WithoutPreVote)

    def test_learner_catch_up(self):
        check_catch_up(Replica)
        with self.assertRaises(AssertionError):
            check_catch_up(WithoutCatchUpCheck)

    def test_fsync_before_acknowledgement(self):
        check_fsync(True)
        with self.assertRaises(AssertionError):
            check_fsync(False)

    def test_votes_only_once_in_a_term(self):
        members = Members({name: name for name in ("a", "b", "c")}, {})
        log = Log(Snapshot(0, 0, members, b""), ())
        replica = Replica("a", TIMING, random.Random(1), log, HardState(), 0.0)
        first = replica.step("b", VoteRequest(1, 0, 0), 5.0)
        second = replica.step("c", VoteRequest(1, 0, 0), 5.0)
        self.assertTrue(first[-1].body.granted)
        self.assertFalse(second[-1].body.granted)

    def test_cut_off_leader_gives_no_stale_answer_and_steps_down(self):
        cluster = FakeCluster(3, 11)
        cluster.run(3)
        old_leader = cluster.leader()
        cluster.cut_off(old_leader)
        cluster.run(4)
        self.assertNotEqual(cluster.leader(), old_leader)
        self.assertIsNotNone(cluster.leader())
        self.assertIs(cluster.replicas[old_leader].role, Role.FOLLOWER)

    def test_group_grows_from_one_to_three(self):
        cluster = FakeCluster(1, 2, spare=2)
        cluster.run(2)
        for name in ("c1", "c2"):
            self.assertIs(cluster.change("c0", "add", name), ProposalVerdict.ACCEPTED)
            cluster.run(1)
            self.assertIs(cluster.change("c0", "promote", name), ProposalVerdict.ACCEPTED)
            cluster.run(1)
        cluster.propose("c0")
        cluster.run(1)
        cluster.crash("c0")
        cluster.run(4)
        self.assertIn(cluster.leader(), ("c1", "c2"))

    def test_snapshot_brings_a_lagging_replica_up(self):
        cluster = FakeCluster(3, 4)
        cluster.run(3)
        leader = cluster.leader()
        crashed = next(name for name in cluster.replicas if name != leader)
        cluster.crash(crashed)
        for _ in range(30):
            cluster.propose(leader)
        cluster.run(1)
        cluster.compact(leader)
        cluster.restart(crashed)
        cluster.run(3)
        self.assertEqual(cluster.states[crashed], cluster.states[leader])
