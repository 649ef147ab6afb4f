"""Bootstrap, repair and reads of the consensus group, over random histories."""

import os
import random
import tempfile
import unittest
from pathlib import Path

from marjoramvalve.consensus import HardState, Replica, Role, Snapshot
from marjoramvalve.consensus.logs import Members
from marjoramvalve.fakes.clusters import TIMING, Disk, FakeCluster
from marjoramvalve.fleet.identities import BootstrapOptions, load_identity
from marjoramvalve.fleet.repairs import (
    REPLACE_AFTER_S,
    MembershipChange,
    next_membership_change,
    target_voter_count,
)

HISTORIES = 200 if os.environ.get("SOAK") else 12
ROUNDS = 4
# Several times the silence before a replacement, an election and catching up.
REPAIR_TIMEOUT_S = 15.0


class NextChangeTests(unittest.TestCase):
    """The membership changes that a leader makes."""

    def change(self, voters, learners=(), live=None, silent=()):
        voters = {name: name[0] for name in voters}
        learners = {name: name[0] for name in learners}
        live = {name: name[0] for name in (live if live is not None else ("b1", "c1"))}
        silence = {name: REPLACE_AFTER_S + 1 for name in silent}
        return next_membership_change(
            voters, learners, live, "a1", lambda name: silence.get(name, 0.0)
        )

    def test_a_healthy_group_is_not_changed(self):
        self.assertIsNone(self.change(("a1", "b1", "c1")))

    def test_an_unknown_controller_is_added(self):
        found = self.change(("a1", "b1", "c1"), live=("b1", "c1", "d1"))
        self.assertEqual(found, MembershipChange("add", "d1", "d"))

    def test_an_earlier_name_at_the_same_address_is_removed_first(self):
        found = self.change(("a1", "b1", "c1"), live=("b1", "c2"))
        self.assertEqual(found, MembershipChange("remove", "c1"))

    def test_a_learner_is_promoted_if_voters_are_missing(self):
        found = self.change(("a1", "b1"), ("c2",), live=("b1", "c2"))
        self.assertEqual(found, MembershipChange("promote", "c2"))

    def test_a_learner_replaces_a_voter_only_after_long_silence(self):
        group, learner = ("a1", "b1", "c1"), ("d1",)
        self.assertIsNone(self.change(group, learner, live=("b1", "d1")))
        found = self.change(group, learner, live=("b1", "d1"), silent=("c1",))
        self.assertEqual(found, MembershipChange("promote", "d1"))

    def test_a_surplus_voter_is_removed_once_it_is_gone(self):
        group = ("a1", "b1", "c1", "d1")
        self.assertIsNone(self.change(group, live=("b1", "d1")))
        found = self.change(group, live=("b1", "d1"), silent=("c1",))
        self.assertEqual(found, MembershipChange("remove", "c1"))

    def test_the_number_of_voters_is_odd_and_bounded(self):
        self.assertEqual(
            [target_voter_count(count) for count in range(1, 9)], [1, 1, 3, 3, 5, 5, 7, 7]
        )


class RepairableCluster(FakeCluster):
    """Controllers that found a group from seeds, lose their folders and rejoin.

    `refounds` disables a safeguard: a controller that lost its folder founds the group again.
    """

    def __init__(self, seed: int, refounds: bool = False, replica_class=Replica) -> None:
        super().__init__(0, seed, replica_class)
        self._refounds = refounds
        self.names: dict[str, str] = {}
        for address in "abc":
            self.begin(address, True)

    def begin(self, address: str, is_first_start: bool) -> None:
        """Starts a controller with an empty folder."""
        options = BootstrapOptions(address, ("a", "b", "c"), is_first_start)
        with tempfile.TemporaryDirectory() as folder:
            identity = load_identity(Path(folder), options, self.rng)
        name = self.names[address] = identity.name
        members = Members(identity.first, {})
        self.disks[name] = Disk(HardState(), Snapshot(0, 0, members, b""))
        self.clock_rates.setdefault(name, 1 + self.rng.uniform(-TIMING.drift, TIMING.drift))
        self.restart(name)

    def wipe(self, address: str) -> None:
        """Crashes a controller, empties its folder and restarts it."""
        name = self.names[address]
        self.crash(name)
        del self.disks[name]
        self.begin(address, self._refounds)

    def advance(self, seconds: float) -> None:
        """Advances time; a leader then makes the next membership change."""
        super().advance(seconds)
        name = self.leader()
        if name is None:
            return
        replica = self.replicas[name]
        live = {
            other: address
            for address, other in self.names.items()
            if other != name
            and other in self.replicas
            and frozenset((name, other)) not in self.cut_links
        }
        now = self.clock(name)
        change = next_membership_change(
            replica.members.voters,
            replica.members.learners,
            live,
            name,
            lambda other: replica.peer_silence_s(other, now),
        )
        if change is not None:
            self.change(name, change.action, change.name, change.address)

    def is_repaired(self) -> bool:
        """Tells whether all controllers vote under their current names and have caught up."""
        leader = self.leader()
        if leader is None:
            return False
        members = self.replicas[leader].members
        return set(members.voters) == set(self.names.values()) and all(
            name in self.replicas and self.replicas[name].applied >= self.acknowledged
            for name in members.voters
        )

    def repair(self) -> bool:
        """Heals the network, restarts everything and waits until the group is repaired."""
        self.heal()
        for name in self.names.values():
            if name not in self.replicas:
                self.restart(name)
        end = self.now + REPAIR_TIMEOUT_S
        while self.now < end and not self.is_repaired():
            self.run(0.5)
        return self.is_repaired()


def inject_faults(cluster: RepairableCluster, rng: random.Random, steps: int = 120) -> None:
    """Randomly delivers and drops packets, advances time, proposes, and fails controllers.

    Stops or cuts off one controller at a time.
    """
    for _ in range(steps):
        names = sorted(cluster.names.values())
        draw = rng.random()
        if draw < 0.70:
            cluster.deliver(rng.randrange(50), rng.random() < 0.05)
        elif draw < 0.88:
            cluster.advance(rng.choice([0.02, 0.1, 0.4]))
        elif draw < 0.93:
            cluster.propose(rng.choice(names))
        elif draw < 0.95:
            cluster.drop(rng.randrange(50))
        elif draw < 0.97:
            for name in names:
                if name not in cluster.replicas:
                    cluster.restart(name)
            cluster.crash(rng.choice(names))
        else:
            cluster.heal()
            if rng.random() < 0.7:
                cluster.cut_off(rng.choice(names))


def play(seed: int, refounds: bool = False, replica_class=Replica) -> RepairableCluster:
    """Founds a group and wipes one folder after another, with random faults throughout.

    Raises AssertionError if an invariant is violated: one leader per term, one holder of the lease,
    no committed entry lost or changed, no read older than an acknowledged write.
    """
    rng = random.Random(seed)
    cluster = RepairableCluster(seed, refounds, replica_class)
    for _ in range(ROUNDS):
        assert (
            cluster.repair()
        ), f"group is not repaired {REPAIR_TIMEOUT_S:g} s after the last fault"
        for _ in range(3):
            cluster.propose(cluster.leader())
        inject_faults(cluster, rng, rng.randrange(5, 120))
        cluster.heal()
        cluster.wipe(rng.choice("abc"))
        inject_faults(cluster, rng, rng.randrange(5, 60))
    assert cluster.repair(), f"group is not repaired {REPAIR_TIMEOUT_S:g} s after the last fault"
    cluster.check_states()
    return cluster


class AnswersWithoutLease(Replica):
    """Answers reads while it considers itself the leader, without checking the lease."""

    def holds_lease(self, now):
        return self.role is Role.LEADER


class HistoryTests(unittest.TestCase):
    """Invariants over random histories, and the violation that each safeguard prevents."""

    def is_violated(self, **options):
        """Tells whether some history violates an invariant."""
        for seed in range(HISTORIES):
            try:
                play(seed, **options)
            except AssertionError:
                return True
        return False

    def test_no_entry_is_lost_by_bootstrap_and_repair(self):
        committed = 0
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                committed += play(seed).acknowledged
        self.assertGreater(committed, HISTORIES * ROUNDS)

    def test_an_empty_folder_must_not_found_the_group_again(self):
        self.assertTrue(self.is_violated(refounds=True))

    def test_reads_need_the_lease(self):
        self.assertTrue(self.is_violated(replica_class=AnswersWithoutLease))
