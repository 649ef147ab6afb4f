"""Tests for slot leases, the fair queue and concurrency limits."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.admission import AimdLimit, FairQueue, GradientLimit, SlotOwner, Waiter, Window
from marjoramvalve.fakes.slots import FakeSlots

CI = settings(derandomize=True, deadline=None, max_examples=60)


def run_random_steps(
    seed: int, steps: int, owner_class=SlotOwner, restarts: bool = True
) -> FakeSlots:
    """Runs random calls, deliveries, losses and restarts of callers and owner."""
    fake = FakeSlots(seed, owner_class=owner_class)
    rng = random.Random(seed)
    for _ in range(steps):
        draw = rng.random()
        if draw < 0.70:
            fake.deliver(rng.randrange(1000), rng.random() < 0.05)
        elif draw < 0.85:
            fake.call(rng.choice(fake.caller_names))
        elif draw < 0.95:
            fake.advance(rng.choice([0.01, 0.05, 0.3]))
            for _ in range(4):
                fake.deliver(rng.randrange(1000))
        elif draw < 0.985:
            fake.drop(rng.randrange(1000))
        elif restarts and draw < 0.993:
            fake.restart_caller(rng.choice(fake.caller_names))
        elif restarts:
            fake.restart_owner()
    return fake


class ForgetsOrphans(SlotOwner):
    """Faulty owner that frees the slots of an expired session while its calls may still run."""

    def _expire(self, now):
        for key, session in list(self._sessions.items()):
            if session.expires_at <= now:
                self._queue.remove_origin(key)
                del self._sessions[key]


class TrustsRestart(SlotOwner):
    """Faulty owner that withholds no slots after a restart for calls that still run."""

    def withheld(self):
        return 0


class SlotTests(unittest.TestCase):
    """Slot leases of one upstream under lost, duplicated and reordered messages."""

    @CI
    @given(st.integers(0, 10_000))
    def test_slots_are_never_exceeded(self, seed):
        run_random_steps(seed, 800)

    def test_simulation_detects_faulty_owners(self):
        for faulty_owner in (ForgetsOrphans, TrustsRestart):
            with self.subTest(faulty_owner.__name__), self.assertRaises(AssertionError):
                for seed in range(60):
                    run_random_steps(seed, 1500, faulty_owner)

    def test_all_slots_are_used(self):
        fake = FakeSlots(1)
        for _ in range(2000):
            fake.call(fake.rng.choice(fake.caller_names))
            fake.advance(0.01)
            while fake.datagrams:
                fake.deliver(0)
        self.assertEqual(fake.max_running, fake.info.slots)
        mean_call = 1.0
        possible = fake.info.slots * 20 / mean_call
        self.assertGreater(fake.served, 0.85 * possible)

    def test_lost_grants_are_recovered(self):
        fake = FakeSlots(2)
        fake.call("n0")
        fake.advance(0.01)
        fake.deliver(0)
        fake.drop(0)
        for _ in range(40):
            fake.advance(0.05)
            while fake.datagrams:
                fake.deliver(0)
        self.assertEqual(fake.served, 1)

    def test_idle_session_ends_and_restarts(self):
        fake = FakeSlots(2)
        for _ in range(3):
            fake.call("n0")
            for _ in range(120):
                fake.advance(0.05)
                while fake.datagrams:
                    fake.deliver(0)
            self.assertEqual(fake.owner.held(), 0)
        self.assertEqual(fake.served, 3)
        self.assertFalse(fake.callers["n0"].is_silent(fake.now, 0.25))

    def test_silent_owner_is_retried(self):
        fake = FakeSlots(2)
        caller = fake.callers["n0"]
        fake.call("n0")
        fake.advance(0.01)
        fake.advance(0.3)
        now = fake.clock("n0")
        self.assertTrue(caller.is_silent(now, 0.25))
        self.assertFalse(caller.is_silent(now + 5, 0.25))

    def test_draining_owner_grants_nothing(self):
        fake = FakeSlots(3)
        fake.owner.draining = True
        for _ in range(30):
            fake.call("n0")
            fake.advance(0.02)
            while fake.datagrams:
                fake.deliver(0)
        self.assertEqual(fake.served, 0)


def waiter(number, rank=1, customer="c", weight=1.0, arrived=0.0):
    """Returns a waiter with defaults for the fields that a test does not set."""
    return Waiter("o", number, rank, customer, weight, arrived, 1e9)


class QueueTests(unittest.TestCase):
    """Order in which the fair queue serves and sheds waiting calls."""

    def test_high_priority_goes_first(self):
        queue = FairQueue()
        for number, rank in enumerate((0, 2, 1)):
            queue.push(waiter(number, rank))
        self.assertEqual([queue.pop(0.0).rank for _ in range(3)], [2, 1, 0])

    def test_surge_of_one_customer_does_not_starve_another(self):
        queue = FairQueue()
        for number in range(100):
            queue.push(waiter(number, customer="large"))
        for number in range(100, 110):
            queue.push(waiter(number, customer="small"))
        served = [queue.pop(0.0).customer for _ in range(20)]
        self.assertEqual(served.count("small"), 10)

    def test_weights_divide_the_slots(self):
        queue = FairQueue()
        for number in range(100):
            queue.push(waiter(number, customer="a", weight=3.0))
            queue.push(waiter(1000 + number, customer="b", weight=1.0))
        served = [queue.pop(0.0).customer for _ in range(40)]
        self.assertAlmostEqual(served.count("a"), 30, delta=1)

    def test_standing_queue_serves_the_newest(self):
        queue = FairQueue()
        for number in range(50):
            queue.push(waiter(number, arrived=number * 0.01))
        for step in range(20):
            last = queue.pop(1.0 + step * 0.02)
        self.assertGreater(last.wait, 25)

    def test_excess_is_shed_from_the_lowest_priority_and_the_longest_queue(self):
        queue = FairQueue()
        for number in range(10):
            queue.push(waiter(number, rank=1, customer="large"))
        queue.push(waiter(20, rank=1, customer="small"))
        queue.push(waiter(30, rank=2, customer="large"))
        queue.push(waiter(40, rank=0, customer="small"))
        shed_waiters = queue.shed_excess(4)
        self.assertEqual(shed_waiters[0].wait, 40)
        self.assertTrue(all(item.customer == "large" for item in shed_waiters[1:]))

    @CI
    @given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abc")), max_size=40))
    def test_everything_pushed_comes_out_once(self, items):
        queue = FairQueue()
        for number, (rank, customer) in enumerate(items):
            queue.push(waiter(number, rank, customer))
        out = [queue.pop(0.0).wait for _ in items]
        self.assertEqual(sorted(out), list(range(len(items))))
        self.assertIsNone(queue.pop(0.0))


class LimitTests(unittest.TestCase):
    """Adaptation of concurrency limits to shed calls and latency."""

    def full_window(self, limit, shed=0, latency=10.0):
        return Window(100, latency, 10.0, shed, 0, limit.value)

    def test_ramp_reaches_the_slots(self):
        limit = AimdLimit(64)
        self.assertLess(limit.value, 10)
        for _ in range(6):
            limit.update(self.full_window(limit))
        self.assertEqual(limit.value, 64)

    def test_sheds_shrink_the_limit_and_it_recovers(self):
        limit = AimdLimit(64)
        for _ in range(8):
            limit.update(self.full_window(limit))
        for _ in range(10):
            limit.update(self.full_window(limit, shed=20))
        self.assertLess(limit.value, 30)
        for _ in range(60):
            limit.update(self.full_window(limit))
        self.assertEqual(limit.value, 64)

    def test_idle_upstream_keeps_its_limit(self):
        limit = AimdLimit(64)
        before = limit.value
        limit.update(Window(1, 10.0, 10.0, 0, 0, 0))
        self.assertEqual(limit.value, before)

    def test_gradient_shrinks_when_latency_grows(self):
        limit = GradientLimit(64)
        for _ in range(60):
            limit.update(self.full_window(limit))
        high = limit.value
        for _ in range(60):
            limit.update(self.full_window(limit, latency=80.0))
        self.assertLess(limit.value, high / 2)
