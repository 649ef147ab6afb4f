"""Decisions on the way of a call, without a network: waiting, placing, routes, budgets, gates."""

import random
import types
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from marjoramvalve.mesh.answers import JITTER
from marjoramvalve.mesh.budgets import MOST, RATIO, START, RepeatBudget
from marjoramvalve.mesh.gates import CAPS_LIFE_S, RootGate
from marjoramvalve.mesh.knees import ENOUGH, FEW_EVERY_S, TRIAL_EVERY_S, Knee
from marjoramvalve.mesh.knees import LIFE_S as KNEE_LIFE_S
from marjoramvalve.mesh.places import MEMORY_S, NEWS_CALLS, Place, RouteMeans, choose
from marjoramvalve.mesh.routes import RouteTable
from marjoramvalve.mesh.waiting import FIRST_SERVICE_S, ServiceTimes, WaitingRoom
from marjoramvalve.model import key_digest, validate_document
from marjoramvalve.node import LoadMeter


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class WaitingRoomTests(unittest.TestCase):
    """Order and expected waits at an ingress."""

    def test_important_calls_go_first_and_equals_in_order(self):
        room = WaitingRoom()
        jobs = {name: object() for name in ("low", "first", "second")}
        room.put(jobs["low"], 5, 0.0, 0.1)
        room.put(jobs["first"], 1, 1.0, 0.1)
        room.put(jobs["second"], 1, 1.0, 0.1)
        self.assertIs(room.take(), jobs["first"])
        self.assertIs(room.take(), jobs["second"])
        self.assertIs(room.take(), jobs["low"])
        self.assertIsNone(room.take())

    def test_wait_counts_only_work_that_goes_before(self):
        room = WaitingRoom()
        room.put(object(), 1, 1.0, 0.2)
        room.put(object(), 5, 1.0, 0.4)
        self.assertAlmostEqual(room.wait_s(1, 2.0, 2), 0.1)
        self.assertAlmostEqual(room.wait_s(5, 2.0, 2), 0.3)

    def test_sub_calls_of_the_oldest_call_go_first(self):
        room = WaitingRoom()
        young, old = object(), object()
        room.put(young, 1, 9.0, 0.2)
        self.assertEqual(room.wait_s(1, 4.0, 1), 0.0)
        room.put(old, 1, 4.0, 0.2)
        self.assertIs(room.take(), old)
        self.assertIs(room.take(), young)

    def test_removed_calls_are_passed_over_and_not_counted(self):
        room = WaitingRoom()
        gone, stays = object(), object()
        room.put(gone, 1, 0.0, 0.1)
        room.put(stays, 1, 0.0, 0.1)
        self.assertTrue(room.remove(gone))
        self.assertFalse(room.remove(gone))
        self.assertEqual(len(room), 1)
        self.assertAlmostEqual(room.wait_s(1, 1.0, 1), 0.1)
        self.assertIs(room.take(), stays)
        self.assertEqual(len(room), 0)

    @given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=60))
    def test_everything_put_is_taken_once_or_removed(self, steps):
        room = WaitingRoom()
        held = {}
        for number, (rank, removes) in enumerate(steps):
            job = (number, object())
            room.put(job, rank, float(-number), 0.01)
            held[number] = job
            if removes:
                room.remove(held.pop(min(held)))
        taken = []
        while (job := room.take()) is not None:
            taken.append(job[0])
        self.assertEqual(sorted(taken), sorted(held))
        self.assertAlmostEqual(room.wait_s(9, 0.0, 1), 0.0)

    def test_service_times_follow_what_is_seen(self):
        times = ServiceTimes()
        self.assertEqual(times.of(b"r"), FIRST_SERVICE_S)
        for _ in range(60):
            times.note(b"r", 0.2)
        self.assertAlmostEqual(times.of(b"r"), 0.2, places=3)


class KneeTests(unittest.TestCase):
    """Slots left free. Load: an upstream that takes longer with all of its slots in use."""

    IN_TRIAL, AFTER = 10.0, 11.0

    def note(self, knee, seconds, was_full, times=ENOUGH):
        return any([knee.note(b"r", seconds, was_full, self.IN_TRIAL) for _ in range(times)])

    def test_the_last_slots_are_left_free_but_for_trials(self):
        knee = Knee()
        self.assertEqual(knee.limit(19, self.AFTER), 18)
        self.assertEqual(knee.limit(19, self.IN_TRIAL), 19)
        self.assertEqual(knee.limit(20, self.AFTER), 18)
        self.assertEqual([knee.limit(slots, self.IN_TRIAL) for slots in (1, 3, 9)], [1, 3, 9])
        half = FEW_EVERY_S / 2
        self.assertEqual([knee.limit(slots, half) for slots in (1, 3, 9)], [1, 3, 9])
        self.note(knee, 0.05, False, 1)
        self.assertEqual([knee.limit(slots, half) for slots in (1, 3, 9)], [1, 2, 8])
        self.assertFalse(knee.is_full(18, 19))

    def test_all_slots_are_used_where_they_do_no_harm(self):
        knee = Knee()
        self.note(knee, 0.05, False)
        self.assertTrue(self.note(knee, 0.052, True))
        self.assertEqual(knee.limit(19, self.AFTER), 19)

    def test_an_upstream_that_slows_down_is_left_alone_for_a_while(self):
        knee = Knee()
        self.note(knee, 0.05, False)
        self.assertTrue(self.note(knee, 0.065, True))
        self.assertEqual(knee.limit(19, self.IN_TRIAL + TRIAL_EVERY_S), 18)
        later = self.IN_TRIAL + KNEE_LIFE_S + TRIAL_EVERY_S
        self.assertEqual(knee.limit(19, later), 19)

    def test_the_last_of_a_few_slots_is_left_free_once_it_is_known_to_do_harm(self):
        knee = Knee()
        self.assertEqual(knee.limit(7, self.AFTER), 7)
        self.note(knee, 0.05, False)
        self.assertTrue(self.note(knee, 0.057, True))
        self.assertEqual(knee.limit(7, self.AFTER), 6)
        self.assertEqual(knee.limit(3, self.AFTER), 3)
        self.assertEqual(knee.limit(1, self.AFTER), 1)

    def test_some_slow_calls_show_nothing(self):
        knee = Knee()
        self.note(knee, 0.05, False)
        self.assertFalse(self.note(knee, 0.5, True, ENOUGH - 1))


def cheapest(places, now):
    """Returns the name of the cheapest place, chance left aside."""
    return choose(tuple(places.items()), 0.05, now, lambda: 0.0)


class PlaceTests(unittest.TestCase):
    """Choice of an ingress. Load: domains of unequal size, slow and failing upstreams."""

    def place(self, near=True, limit=10, own=0, reported=0, slowness=1.0, failures=0.0):
        place = Place(near, limit)
        place.own, place.reported = own, reported
        place.slowness, place.failures, place.noted_at = slowness, failures, 0.0
        return place

    def pick(self, **places):
        return cheapest(places, 0.0)

    def test_near_goes_first_until_it_is_full(self):
        far = self.place(near=False)
        self.assertEqual(self.pick(near=self.place(own=5), far=far), "near")
        self.assertEqual(self.pick(near=self.place(own=14), far=far), "far")

    def test_load_of_others_counts(self):
        self.assertEqual(self.pick(a=self.place(reported=9), b=self.place(reported=2)), "b")

    def test_own_calls_are_not_counted_twice(self):
        place = self.place(own=4)
        place.report(4, 0, 0.0)
        other = self.place(own=0)
        other.report(3, 0, 0.0)
        self.assertEqual(self.pick(a=place, b=other), "b")
        place.own = 0
        self.assertEqual(self.pick(a=place, b=other), "a")

    def test_slow_and_failing_upstreams_are_avoided_even_for_far_ones(self):
        far = self.place(near=False)
        self.assertEqual(self.pick(slow=self.place(slowness=5.0), far=far), "far")
        self.assertEqual(self.pick(grey=self.place(failures=0.5), far=far), "far")

    def test_an_avoided_upstream_is_tried_again_in_time(self):
        slow = self.place(slowness=5.0)
        busy = self.place(own=7)
        self.assertEqual(cheapest({"slow": slow, "busy": busy}, 0.0), "busy")
        later = MEMORY_S + 0.1
        self.assertEqual(cheapest({"slow": slow, "busy": busy}, later), "slow")

    def test_cold_upstreams_get_less(self):
        cold = self.place()
        cold.cold = True
        self.assertEqual(self.pick(cold=cold, warm=self.place(own=3)), "warm")

    def test_a_new_upstream_is_tried_once_beside_known_faster_ones(self):
        fast, new = self.place(slowness=0.6), Place(True, 10, trial_at=2.0)
        places = {"fast": fast, "new": new}
        self.assertEqual(cheapest(places, 0.0), "fast")
        fast.noted_at = 2.0
        self.assertEqual(cheapest(places, 2.0), "new")
        new.own = 1
        self.assertEqual(cheapest(places, 2.0), "fast")
        new.own = 0
        new.note(1.0, False, 2.0)
        self.assertEqual(cheapest(places, 2.0), "fast")

    def test_a_new_upstream_is_tried_while_it_is_cold_but_not_from_afar(self):
        near = self.place()
        self.assertEqual(self.pick(near=near, new=Place(True, 10, cold=True)), "new")
        self.assertEqual(self.pick(near=near, new=Place(False, 10)), "near")

    def test_old_news_of_load_count_for_less(self):
        full, other = self.place(reported=9), self.place(reported=6)
        self.assertEqual(cheapest({"full": full, "other": other}, 0.0), "other")
        later = 10 * NEWS_CALLS * 0.05
        full.slowness = 0.9
        self.assertEqual(cheapest({"full": full, "other": other}, later), "full")

    def test_places_that_cost_about_the_same_share_the_calls(self):
        rng = random.Random(1)
        places = {name: self.place(slowness=1 + 0.02 * name) for name in range(5)}
        places[9] = self.place(slowness=2.0)
        counts = Counter(choose(tuple(places.items()), 0.05, 0.0, rng.random) for _ in range(1000))
        self.assertEqual(counts[9], 0)
        self.assertLess(max(counts.values()), 2 * 1000 / 5)

    def test_chance_sends_nothing_to_another_domain(self):
        rng = random.Random(1)
        near = [self.place(slowness=slowness) for slowness in (1.7, 2.15)]
        far = [self.place(near=False, own=0) for _ in range(6)]
        places = [(place.near, place) for place in (*near, *far)]
        chosen = {choose(places, 0.05, 0.0, rng.random) for _ in range(300)}
        self.assertEqual(chosen, {True})

    def test_nothing_to_choose_from(self):
        self.assertIsNone(choose((), 0.05, 0.0, random.random))

    def test_loads_of_very_fast_upstreams_are_not_forgotten_at_once(self):
        means = RouteMeans()
        for _ in range(2_000):
            means.note("r", 0.0)
        full, other = self.place(reported=9), self.place(reported=2)
        places = (("full", full), ("other", other))
        chosen = {choose(places, means.of("r"), 0.001, random.random) for _ in range(50)}
        self.assertEqual(chosen, {"other"})

    def test_means_compare_a_call_with_its_route(self):
        means = RouteMeans()
        self.assertAlmostEqual(means.note("r", 0.1), 1.0)
        self.assertAlmostEqual(means.note("r", 0.3), 3.0)
        for _ in range(30):
            means.note_end("r", True)
        self.assertGreater(means.failures("r"), 0.5)


def document(**routes):
    """Returns a valid document with these routes."""
    tree = {
        "routes": routes,
        "customers": {"shed": {"rate": 5, "burst": 5, "rank": 0}},
        "keys": {key_digest("secret"): {"customer": "shed"}},
    }
    return validate_document(tree).value


class LoadMeterTests(unittest.TestCase):
    """Rates that a node reports. Load: fewer calls than reports."""

    def test_rare_calls_count_once(self):
        counts = iter([{"r": 1}, {}, {}, {}] * 100)
        gate = types.SimpleNamespace(take_counts=lambda: next(counts))
        ingress = types.SimpleNamespace(collect_run_stats=dict, load=(0, 0), limit=1, ready=True)
        clock = Clock()
        meter = LoadMeter(ingress, gate, clock)
        total = 0.0
        for _ in range(400):
            clock.now += 0.25
            total += meter.take().offered.get("r", 0.0)
        self.assertLess(abs(total / 400 - 1.0), 0.1)


class RouteTableTests(unittest.TestCase):
    """Look-up of routes and customers."""

    def setUp(self):
        self.table = RouteTable(
            3,
            document(
                top={"service": "a", "path": "/", "host": "one.example"},
                deep={"service": "b", "path": "/x/y/", "host": "one.example"},
                other={"service": "c", "path": "/x/", "host": "two.example"},
            ),
        )

    def name(self, host, target):
        found = self.table.match(host, target)
        return found.name if found is not None else None

    def test_longest_prefix_of_the_host_wins(self):
        self.assertEqual(self.name(b"one.example", b"/x/y/z?a=/b/"), "deep")
        self.assertEqual(self.name(b"one.example", b"/x/yy/z"), "top")
        self.assertEqual(self.name(b"two.example", b"/x/y/z"), "other")

    def test_host_is_compared_without_case_and_port(self):
        self.assertEqual(self.name(b"ONE.example:8080", b"/x/y/"), "deep")

    def test_no_route(self):
        self.assertIsNone(self.name(b"two.example", b"/y/"))
        self.assertIsNone(self.name(b"three.example", b"/"))
        self.assertIsNone(self.name(b"one.example", b"*"))

    def test_customers_by_key(self):
        self.assertEqual(self.table.customer_of(b"secret"), "shed")
        self.assertIsNone(self.table.customer_of(b"other"))
        self.assertEqual(self.table.customer("shed").rank, 0)

    def test_split_keeps_its_weights_in_every_stretch(self):
        split = {"a": 90, "b": 10, "c": 0}
        table = RouteTable(1, document(r={"service": "a", "path": "/", "split": split}))
        target = table.match(b"any", b"/")
        for _ in range(5):
            chosen = [target.next_service() for _ in range(20)]
            self.assertEqual((chosen.count("a"), chosen.count("b")), (18, 2))


class RepeatBudgetTests(unittest.TestCase):
    """Bound of repeated sends."""

    @given(st.lists(st.sampled_from(["first", "take", "charge"]), max_size=300))
    def test_repeats_stay_a_part_of_first_sends(self, steps):
        budget = RepeatBudget()
        firsts = repeats = 0
        for step in steps:
            if step == "first":
                budget.first("s")
                firsts += 1
            elif step == "charge":
                budget.charge("s")
            elif budget.take("s"):
                repeats += 1
        self.assertLessEqual(repeats, START + RATIO * firsts)

    def test_forced_repeats_leave_less_for_others(self):
        budget = RepeatBudget()
        for _ in range(100):
            budget.first("s")
        for _ in range(int(MOST)):
            budget.charge("s")
        self.assertFalse(budget.take("s"))


class RootGateTests(unittest.TestCase):
    """Caps on outside calls."""

    def setUp(self):
        self.clock = Clock()
        self.gate = RootGate(self.clock, random.Random(1))

    def admitted(self, calls, every_s):
        count = 0
        for _ in range(calls):
            self.clock.now += every_s
            count += self.gate.admit("r") == 0
        return count

    def test_without_caps_everything_is_let_in(self):
        self.assertEqual(self.admitted(100, 0.001), 100)

    def test_a_cap_holds_over_time(self):
        self.gate.set_caps({"r": 10.0})
        self.admitted(50, 0.01)
        total = 0
        for _ in range(5):
            self.gate.set_caps({"r": 10.0})
            total += self.admitted(100, 0.01)
        self.assertLessEqual(abs(total - 50), 3)

    def test_small_caps_of_many_nodes_hold_as_a_sum(self):
        gates = [RootGate(self.clock, random.Random(seed)) for seed in range(190)]
        rng = random.Random(1)
        asked = let_in = 0
        for _ in range(20):
            for gate in gates:
                gate.set_caps({"r": 0.25}, {"r": 0.25})
            for _ in range(190):
                self.clock.now += 1 / 190
                asked += 1
                let_in += rng.choice(gates).admit("r") == 0
        self.assertLess(abs(let_in / asked - 0.25), 0.03)

    def test_refused_callers_come_back_while_an_answer_can_be_timely(self):
        self.gate.set_caps({"r": 0.0})
        self.admitted(2, 0.1)  # The least burst.
        window_s = 1.0
        after = [self.gate.admit("r", window_s) for _ in range(200)]
        self.assertLess(max(after) * (1 + JITTER), window_s)
        self.assertGreater(min(after), 0.2)
        self.assertGreater(max(after) - min(after), 0.3)

    def test_callers_without_time_for_a_timely_answer_come_back_later(self):
        self.gate.set_caps({"r": 0.0})
        self.admitted(2, 0.1)
        after = [self.gate.admit("r", window_s) for window_s in (0.2, -1.0) for _ in range(100)]
        self.assertGreaterEqual(min(after), 0.4)

    def test_caps_that_nobody_renews_no_longer_bind(self):
        self.gate.set_caps({"r": 0.0})
        self.admitted(10, 0.01)
        self.assertGreater(self.gate.admit("r"), 0)
        self.clock.now += CAPS_LIFE_S
        self.assertEqual(self.gate.admit("r"), 0)

    def test_counts_tell_what_was_offered(self):
        self.gate.set_caps({"r": 0.001})
        self.admitted(10, 0.0)
        self.assertEqual(self.gate.take_counts(), {"r": 10})
        self.gate.set_caps({})
        self.gate.admit("r")
        self.gate.give_back("r")
        self.assertEqual(self.gate.take_counts(), {"r": 0})
