"""At-most-once execution: keepers under crashes, message faults and changes of placement.

A request must not run twice although messages are lost, duplicated and reordered.
"""

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.controller import ControllerState, JoinRoster, LeaveRoster
from marjoramvalve.controller.commands import COMMAND_ENCODER, SettleRoster
from marjoramvalve.idempotency import (
    HandOverState,
    IdempotencyKey,
    Keeper,
    KeeperVerdict,
    KeyProblem,
    parse_key,
    request_digest,
)
from marjoramvalve.idempotency.handovers import split_parts
from marjoramvalve.membership import keepers
from marjoramvalve.wire.messages import (
    IdempotencyRecord,
    KeeperBeginRequest,
    KeeperFinishRequest,
    Member,
)

CI = settings(derandomize=True, deadline=None, max_examples=60)
ORDERS = 6
STEPS_PER_ORDER = 25


class FakeKeeperNode:
    """The keeper, the roster and the hand-over state of one instance."""

    def __init__(self, name):
        self.name = name
        self.keeper = Keeper()
        self.hand_over = HandOverState()
        self.roster = None

    def apply_roster(self, roster, keepers_of):
        """Applies a newer roster; a change of placement starts a hand-over."""
        if self.roster is not None and roster.epoch <= self.roster.epoch:
            return
        self.roster = roster
        if roster.placement_epoch != self.hand_over.placement_epoch:
            others = tuple(item.name for item in roster.members if item.name != self.name)
            records = self.keeper.records()
            self.hand_over.begin(roster.placement_epoch, others, records, keepers_of)


class FakeKeepers:
    """The keepers of a fleet, with messages that are delayed, duplicated or lost.

    A request starts only if both of its keepers have recorded it. Clearing `check_epoch` or
    `check_ready` disables a safeguard.
    """

    check_epoch = True
    check_ready = True

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = ControllerState()
        self.nodes = {}
        self.run_counts = Counter()
        self.answers = {}
        self.packets = []
        self.now = 1.0
        self.requests = 0
        for number in range(6):
            self.start(f"n{number}")
        self.settle()

    def apply(self, command):
        """Commits a roster command."""
        self.state.apply(COMMAND_ENCODER.encode(command))

    def start(self, name):
        """Starts or restarts an instance, which has no records."""
        self.now += 1
        self.nodes[name] = FakeKeeperNode(name)
        domain = f"d{int(name[1:]) % 3}"
        member = Member(name, domain, "r", name, name, int(self.now * 1000))
        self.apply(JoinRoster(member, self.now))

    def crash(self, name):
        """Crashes an instance, which the controllers remove from the roster."""
        if name in self.nodes and len(self.nodes) > 3:
            del self.nodes[name]
            self.now += 1
            self.apply(LeaveRoster((name,), self.now))

    def apply_roster(self, name):
        """Delivers the committed roster to one instance."""
        if name in self.nodes:
            roster = self.state.roster
            self.nodes[name].apply_roster(
                roster, lambda scope: [m.name for m in keepers(roster, scope)]
            )

    def send_hand_over(self, name):
        """Sends the due hand-over parts of an instance."""
        node = self.nodes.get(name)
        if node is not None:
            self.now += 1
            for target, part in node.hand_over.due_parts(self.now):
                self.packets.append((name, target, part))

    def deliver(self, position):
        """Delivers a hand-over part and its acknowledgement; some parts are duplicated."""
        if not self.packets:
            return
        src, dst, part = self.packets.pop(position % len(self.packets))
        if self.rng.random() < 0.1:
            self.packets.append((src, dst, part))
        if dst in self.nodes and src in self.nodes:
            self.nodes[dst].keeper.merge(part.records)
            self.nodes[dst].hand_over.record_part(src, part)
            self.nodes[src].hand_over.record_acknowledgement(dst, part.placement_epoch, part.part)

    def settle(self):
        """Completes the hand-over of all instances and commits the settled placement epoch."""
        for _ in range(4):
            for name in list(self.nodes):
                self.apply_roster(name)
                self.send_hand_over(name)
            while self.packets:
                self.deliver(0)
        epochs = [node.hand_over.settled_epoch() for node in self.nodes.values()]
        if min(epochs) >= self.state.roster.placement_epoch:
            self.apply(SettleRoster(min(epochs)))

    def request(self, name, order):
        """Handles a request with an idempotency key that arrives at an instance.

        Raises AssertionError if the order runs a second time.
        """
        node = self.nodes.get(name)
        if node is None or node.roster is None or node.roster.idempotency_floor > 0:
            return  # Refused: the record of an earlier request may have been lost.
        self.requests += 1
        scope = f"order-{order}"
        record = IdempotencyRecord(scope, "digest", 0.0, self.now, False, f"r{self.requests}")
        epoch = node.roster.placement_epoch
        for keeper_member in keepers(node.roster, scope):
            verdict = self._begin(keeper_member.name, epoch, record)
            if verdict is not KeeperVerdict.STARTED:
                if verdict is not KeeperVerdict.EXISTS:
                    self._withdraw(record)
                return
        if self.rng.random() < 0.2:
            self._withdraw(record)  # No slot was free: nothing was sent.
            return
        self.run_counts[scope] += 1
        assert self.run_counts[scope] == 1, f"{scope} ran twice"
        if self.rng.random() < 0.5:
            done = IdempotencyRecord(scope, "digest", 0.0, self.now, True, record.owner, b"answer")
            self._finish(done, False)

    def _begin(self, name, epoch, record):
        target = self.nodes.get(name)
        if target is None or target.roster is None or self.rng.random() < 0.1:
            return None
        own_epoch = target.roster.placement_epoch if self.check_epoch else epoch
        ready = target.hand_over.has_received_all() or not self.check_ready
        answer = target.keeper.begin(KeeperBeginRequest(1, epoch, record), own_epoch, ready)
        return None if self.rng.random() < 0.1 else answer.verdict

    def _withdraw(self, record):
        self._finish(record, True)

    def _finish(self, record, withdrawn):
        for keeper_member in keepers(self.state.roster, record.scope):
            if keeper_member.name in self.nodes and self.rng.random() < 0.8:
                body = KeeperFinishRequest(1, 0, record, withdrawn)
                self.nodes[keeper_member.name].keeper.finish(body)


def simulate_history(seed, fake_class=FakeKeepers, steps=400):
    """Runs random requests, crashes, restarts and hand-overs."""
    fake = fake_class(seed)
    rng = random.Random(seed)
    names = [f"n{number}" for number in range(14)]
    for step in range(steps):
        draw = rng.random()
        if draw < 0.50:
            order = step // STEPS_PER_ORDER + rng.randrange(ORDERS)
            fake.request(rng.choice(sorted(fake.nodes)), order)
        elif draw < 0.60:
            fake.deliver(rng.randrange(20))
        elif draw < 0.70:
            fake.apply_roster(rng.choice(names))
        elif draw < 0.85:
            fake.send_hand_over(rng.choice(names))
        elif draw < 0.93:
            fake.settle()
        elif draw < 0.935:
            fake.settle()
            fake.crash(rng.choice(names))
        elif draw < 0.97:
            name = rng.choice(names)
            if name not in fake.nodes:
                fake.start(name)
    return fake


class WithoutEpochCheck(FakeKeepers):
    """Faulty: keepers accept requests of any placement epoch."""

    check_epoch = False


class WithoutReadyCheck(FakeKeepers):
    """Faulty: keepers accept requests before they have received all hand-overs."""

    check_ready = False


def request_all(fake, names):
    """Requests each of 60 orders at every instance of `names`."""
    for order in range(60):
        for name in names:
            fake.request(name, order)


def check_hand_over_first(fake_class) -> None:
    """New keepers must not accept requests before the old ones have handed over their records.

    Otherwise an order runs a second time, since its new keepers do not have its record.
    """
    fake = fake_class(1)
    request_all(fake, ["n0", "n1"])
    assert fake.run_counts
    for number in range(6, 14):
        fake.start(f"n{number}")
    for name in list(fake.nodes):
        fake.apply_roster(name)
    request_all(fake, ["n2", "n6"])


def check_old_roster(fake_class) -> None:
    """An instance that was removed from the roster without knowing it must not start requests.

    It asks the keepers of its old roster, which no longer have to hold the record of an order.
    """
    fake = fake_class(2)
    fake.apply(LeaveRoster(("n0",), 50.0))
    for number in range(6, 14):
        fake.start(f"n{number}")
    stale_node = fake.nodes.pop("n0")
    fake.settle()
    request_all(fake, ["n1", "n2"])
    assert fake.run_counts
    fake.nodes["n0"] = stale_node
    request_all(fake, ["n0"])


class RunTests(unittest.TestCase):
    """Each order runs at most once."""

    @CI
    @given(st.integers(0, 100_000))
    def test_no_order_runs_twice(self, seed):
        simulate_history(seed)

    def test_orders_do_run(self):
        orders_run = sum(len(simulate_history(seed).run_counts) for seed in range(10))
        self.assertGreater(orders_run, 40)

    def test_requests_wait_for_the_hand_over(self):
        check_hand_over_first(FakeKeepers)
        with self.assertRaises(AssertionError):
            check_hand_over_first(WithoutReadyCheck)

    def test_instance_with_an_old_roster_starts_nothing(self):
        check_old_roster(FakeKeepers)
        with self.assertRaises(AssertionError):
            check_old_roster(WithoutEpochCheck)


def record(owner="r1", done=False, answer=b""):
    """Returns an idempotency record of one scope."""
    return IdempotencyRecord("scope", "digest", 0.0, 100.0, done, owner, answer)


class KeeperTests(unittest.TestCase):
    """One keeper."""

    def begin(self, keeper, item, epoch=1, ready=True):
        return keeper.begin(KeeperBeginRequest(1, epoch, item), 1, ready).verdict

    def test_second_request_is_told_of_the_first(self):
        keeper = Keeper()
        self.assertEqual(self.begin(keeper, record()), KeeperVerdict.STARTED)
        self.assertEqual(self.begin(keeper, record()), KeeperVerdict.STARTED)
        self.assertEqual(self.begin(keeper, record("r2")), KeeperVerdict.EXISTS)

    def test_other_epoch_or_unready_keeper_takes_nothing(self):
        keeper = Keeper()
        self.assertEqual(self.begin(keeper, record(), epoch=2), KeeperVerdict.NOT_READY)
        self.assertEqual(self.begin(keeper, record(), ready=False), KeeperVerdict.NOT_READY)
        self.assertEqual(len(keeper), 0)

    def test_withdrawn_request_may_run_later(self):
        keeper = Keeper()
        self.begin(keeper, record())
        keeper.finish(KeeperFinishRequest(1, 1, record("r2"), True))
        self.assertEqual(len(keeper), 1)
        keeper.finish(KeeperFinishRequest(1, 1, record(), True))
        self.assertEqual(self.begin(keeper, record("r2")), KeeperVerdict.STARTED)

    def test_done_record_is_never_undone(self):
        keeper = Keeper()
        self.begin(keeper, record())
        keeper.finish(KeeperFinishRequest(1, 1, record(done=True, answer=b"whole")))
        keeper.finish(KeeperFinishRequest(1, 1, record(), True))
        keeper.merge((record(),))
        found = keeper.begin(KeeperBeginRequest(1, 1, record("r2")), 1, True)
        self.assertEqual(found.record.answer, b"whole")

    def test_records_expire(self):
        keeper = Keeper()
        self.begin(keeper, record())
        self.assertEqual(keeper.expire(150.0, 60.0), 0)
        self.assertEqual(keeper.expire(161.0, 60.0), 1)

    def test_large_sets_are_handed_over_in_parts(self):
        records = [record(f"r{number}", True, bytes(90_000)) for number in range(5)]
        parts = split_parts(3, records)
        self.assertEqual(len(parts), 3)
        self.assertEqual([part.last for part in parts.values()], [False, False, True])


class KeyTests(unittest.TestCase):
    """Parsing of the Idempotency-Key header, and request digests."""

    def test_forms_of_a_key(self):
        self.assertEqual(parse_key('"order-7"'), IdempotencyKey("order-7", 0.0))
        self.assertEqual(parse_key('"a b"; created=1700000000').created, 1_700_000_000)
        self.assertEqual(parse_key("order-7").value, "order-7")
        for text in ("", '""', '"a', "a b", '"a"; created=x', '"\n"', '"' + "a" * 200 + '"'):
            self.assertIsInstance(parse_key(text), KeyProblem, text)

    @CI
    @given(st.binary(max_size=8), st.binary(max_size=8))
    def test_digest_tells_requests_apart(self, first, second):
        same = request_digest("POST", "/a", first) == request_digest("POST", "/a", second)
        self.assertEqual(same, first == second)
