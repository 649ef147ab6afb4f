"""Decisions about calls, without a network: queues, load balancing, routes, budgets, limits."""

import random
import types
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from marjoramvalve.mesh.announced_rates import AnnouncedRateLimiter
from marjoramvalve.mesh.balancing import (
    RECOVERY_S,
    REPORT_DECAY_CALLS,
    EndpointStats,
    RouteStats,
    choose_endpoint,
)
from marjoramvalve.mesh.budgets import DEFAULT_RATIO, INITIAL_BALANCE, MAX_BALANCE, RetryBudget
from marjoramvalve.mesh.local_responses import RETRY_JITTER
from marjoramvalve.mesh.queues import FIRST_SERVICE_S, CallQueue, ServiceTimes
from marjoramvalve.mesh.root_limits import CAPS_TTL_S, RootCallLimiter
from marjoramvalve.mesh.routes import RouteTable
from marjoramvalve.mesh.saturation import (
    CONCLUSION_TTL_S,
    FEW_SLOTS_INTERVAL_S,
    MIN_SAMPLES,
    TRIAL_INTERVAL_S,
    SaturationEstimator,
)
from marjoramvalve.model import key_digest, validate_document
from marjoramvalve.node import LoadMeter


class Clock:
    """A clock whose time the tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class CallQueueTests(unittest.TestCase):
    """Order and expected waits of the calls at an ingress."""

    def test_important_calls_go_first_and_equals_in_order(self):
        queue = CallQueue()
        jobs = {name: object() for name in ("low", "first", "second")}
        queue.push(jobs["low"], 5, 0.0, 0.1)
        queue.push(jobs["first"], 1, 1.0, 0.1)
        queue.push(jobs["second"], 1, 1.0, 0.1)
        self.assertIs(queue.pop(), jobs["first"])
        self.assertIs(queue.pop(), jobs["second"])
        self.assertIs(queue.pop(), jobs["low"])
        self.assertIsNone(queue.pop())

    def test_expected_wait_counts_only_calls_that_go_first(self):
        queue = CallQueue()
        queue.push(object(), 1, 1.0, 0.2)
        queue.push(object(), 5, 1.0, 0.4)
        self.assertAlmostEqual(queue.expected_wait_s(1, 2.0, 2), 0.1)
        self.assertAlmostEqual(queue.expected_wait_s(5, 2.0, 2), 0.3)

    def test_sub_calls_of_the_oldest_call_go_first(self):
        queue = CallQueue()
        young, old = object(), object()
        queue.push(young, 1, 9.0, 0.2)
        self.assertEqual(queue.expected_wait_s(1, 4.0, 1), 0.0)
        queue.push(old, 1, 4.0, 0.2)
        self.assertIs(queue.pop(), old)
        self.assertIs(queue.pop(), young)

    def test_removed_calls_are_skipped_and_not_counted(self):
        queue = CallQueue()
        removed, kept = object(), object()
        queue.push(removed, 1, 0.0, 0.1)
        queue.push(kept, 1, 0.0, 0.1)
        self.assertTrue(queue.remove(removed))
        self.assertFalse(queue.remove(removed))
        self.assertEqual(len(queue), 1)
        self.assertAlmostEqual(queue.expected_wait_s(1, 1.0, 1), 0.1)
        self.assertIs(queue.pop(), kept)
        self.assertEqual(len(queue), 0)

    @given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=60))
    def test_every_call_is_popped_once_or_removed(self, steps):
        queue = CallQueue()
        waiting = {}
        for number, (rank, removes) in enumerate(steps):
            job = (number, object())
            queue.push(job, rank, float(-number), 0.01)
            waiting[number] = job
            if removes:
                queue.remove(waiting.pop(min(waiting)))
        popped = []
        while (job := queue.pop()) is not None:
            popped.append(job[0])
        self.assertEqual(sorted(popped), sorted(waiting))
        self.assertAlmostEqual(queue.expected_wait_s(9, 0.0, 1), 0.0)

    def test_service_times_follow_the_recorded_values(self):
        times = ServiceTimes()
        self.assertEqual(times.mean_s(b"r"), FIRST_SERVICE_S)
        for _ in range(60):
            times.record(b"r", 0.2)
        self.assertAlmostEqual(times.mean_s(b"r"), 0.2, places=3)


class SaturationEstimatorTests(unittest.TestCase):
    """Slots left free. The upstream takes longer per call with all of its slots in use."""

    IN_TRIAL, OUTSIDE_TRIAL = 10.0, 11.0

    def record(self, estimator, seconds, was_saturated, times=MIN_SAMPLES):
        return any(
            [estimator.record(b"r", seconds, was_saturated, self.IN_TRIAL) for _ in range(times)]
        )

    def test_the_last_slots_are_left_free_except_in_trials(self):
        estimator = SaturationEstimator()
        self.assertEqual(estimator.usable_slots(19, self.OUTSIDE_TRIAL), 18)
        self.assertEqual(estimator.usable_slots(19, self.IN_TRIAL), 19)
        self.assertEqual(estimator.usable_slots(20, self.OUTSIDE_TRIAL), 18)
        self.assertEqual(
            [estimator.usable_slots(slots, self.IN_TRIAL) for slots in (1, 3, 9)], [1, 3, 9]
        )
        half = FEW_SLOTS_INTERVAL_S / 2
        self.assertEqual([estimator.usable_slots(slots, half) for slots in (1, 3, 9)], [1, 3, 9])
        self.record(estimator, 0.05, False, 1)
        self.assertEqual([estimator.usable_slots(slots, half) for slots in (1, 3, 9)], [1, 2, 8])
        self.assertFalse(estimator.is_saturated(18, 19))

    def test_all_slots_are_used_where_they_do_no_harm(self):
        estimator = SaturationEstimator()
        self.record(estimator, 0.05, False)
        self.assertTrue(self.record(estimator, 0.052, True))
        self.assertEqual(estimator.usable_slots(19, self.OUTSIDE_TRIAL), 19)

    def test_an_upstream_that_slows_down_gets_no_trials_for_a_while(self):
        estimator = SaturationEstimator()
        self.record(estimator, 0.05, False)
        self.assertTrue(self.record(estimator, 0.065, True))
        self.assertEqual(estimator.usable_slots(19, self.IN_TRIAL + TRIAL_INTERVAL_S), 18)
        later = self.IN_TRIAL + CONCLUSION_TTL_S + TRIAL_INTERVAL_S
        self.assertEqual(estimator.usable_slots(19, later), 19)

    def test_the_last_of_a_few_slots_is_left_free_once_it_is_known_to_do_harm(self):
        estimator = SaturationEstimator()
        self.assertEqual(estimator.usable_slots(7, self.OUTSIDE_TRIAL), 7)
        self.record(estimator, 0.05, False)
        self.assertTrue(self.record(estimator, 0.057, True))
        self.assertEqual(estimator.usable_slots(7, self.OUTSIDE_TRIAL), 6)
        self.assertEqual(estimator.usable_slots(3, self.OUTSIDE_TRIAL), 3)
        self.assertEqual(estimator.usable_slots(1, self.OUTSIDE_TRIAL), 1)

    def test_a_few_slow_calls_lead_to_no_conclusion(self):
        estimator = SaturationEstimator()
        self.record(estimator, 0.05, False)
        self.assertFalse(self.record(estimator, 0.5, True, MIN_SAMPLES - 1))


def cheapest(endpoints, now):
    """Returns the name of the cheapest endpoint, without random spread."""
    return choose_endpoint(tuple(endpoints.items()), 0.05, now, lambda: 0.0)


class EndpointStatsTests(unittest.TestCase):
    """Choice of an ingress, with failure domains of unequal size, slow and failing upstreams."""

    def endpoint(
        self, is_local=True, limit=10, in_flight=0, reported_load=0, slowness=1.0, failure_rate=0.0
    ):
        endpoint = EndpointStats(is_local, limit)
        endpoint.in_flight, endpoint.reported_load = in_flight, reported_load
        endpoint.slowness, endpoint.failure_rate, endpoint.last_answer_at = (
            slowness,
            failure_rate,
            0.0,
        )
        return endpoint

    def pick(self, **endpoints):
        return cheapest(endpoints, 0.0)

    def test_the_local_domain_goes_first_until_it_is_full(self):
        far = self.endpoint(is_local=False)
        self.assertEqual(self.pick(near=self.endpoint(in_flight=5), far=far), "near")
        self.assertEqual(self.pick(near=self.endpoint(in_flight=14), far=far), "far")

    def test_the_load_of_other_callers_counts(self):
        self.assertEqual(
            self.pick(a=self.endpoint(reported_load=9), b=self.endpoint(reported_load=2)), "b"
        )

    def test_own_calls_are_not_counted_twice(self):
        endpoint = self.endpoint(in_flight=4)
        endpoint.record_load(4, 0, 0.0)
        other = self.endpoint(in_flight=0)
        other.record_load(3, 0, 0.0)
        self.assertEqual(self.pick(a=endpoint, b=other), "b")
        endpoint.in_flight = 0
        self.assertEqual(self.pick(a=endpoint, b=other), "a")

    def test_slow_and_failing_upstreams_are_avoided_even_for_remote_ones(self):
        far = self.endpoint(is_local=False)
        self.assertEqual(self.pick(slow=self.endpoint(slowness=5.0), far=far), "far")
        self.assertEqual(self.pick(grey=self.endpoint(failure_rate=0.5), far=far), "far")

    def test_an_avoided_upstream_is_tried_again_later(self):
        slow = self.endpoint(slowness=5.0)
        busy = self.endpoint(in_flight=7)
        self.assertEqual(cheapest({"slow": slow, "busy": busy}, 0.0), "busy")
        later = RECOVERY_S + 0.1
        self.assertEqual(cheapest({"slow": slow, "busy": busy}, later), "slow")

    def test_cold_upstreams_get_fewer_calls(self):
        cold = self.endpoint()
        cold.cold = True
        self.assertEqual(self.pick(cold=cold, warm=self.endpoint(in_flight=3)), "warm")

    def test_a_new_upstream_gets_one_trial_call_beside_faster_ones(self):
        fast, new = self.endpoint(slowness=0.6), EndpointStats(True, 10, first_trial_at=2.0)
        endpoints = {"fast": fast, "new": new}
        self.assertEqual(cheapest(endpoints, 0.0), "fast")
        fast.last_answer_at = 2.0
        self.assertEqual(cheapest(endpoints, 2.0), "new")
        new.in_flight = 1
        self.assertEqual(cheapest(endpoints, 2.0), "fast")
        new.in_flight = 0
        new.record_answer(1.0, False, 2.0)
        self.assertEqual(cheapest(endpoints, 2.0), "fast")

    def test_a_new_upstream_is_tried_while_cold_but_not_from_other_domains(self):
        near = self.endpoint()
        self.assertEqual(self.pick(near=near, new=EndpointStats(True, 10, cold=True)), "new")
        self.assertEqual(self.pick(near=near, new=EndpointStats(False, 10)), "near")

    def limited(self, rate_per_s, **options):
        endpoint = self.endpoint(limit=45, **options)
        endpoint.rate_per_s = rate_per_s
        return endpoint

    def test_a_busy_upstream_that_announces_a_rate_is_avoided(self):
        busy = self.limited(4.0, in_flight=2)
        self.assertEqual(self.pick(limited=busy, other=self.endpoint(limit=45)), "other")

    def test_an_idle_upstream_that_announces_a_rate_is_used_before_another_domain(self):
        far = self.endpoint(is_local=False, limit=45)
        self.assertEqual(self.pick(limited=self.limited(4.0), far=far), "limited")

    def test_calls_waiting_at_different_rates_are_compared_by_time(self):
        slow, fast = self.limited(2.0, in_flight=2), self.limited(20.0, in_flight=6)
        self.assertEqual(self.pick(slow=slow, fast=fast), "fast")

    def test_a_rate_above_what_the_slots_serve_changes_nothing(self):
        endpoint, unlimited = self.limited(1e6, in_flight=9), self.endpoint(limit=45, in_flight=9)
        self.assertEqual(endpoint.cost_s(0.1, 0.0, 0.1), unlimited.cost_s(0.1, 0.0, 0.1))

    def test_old_load_reports_lose_weight(self):
        full, other = self.endpoint(reported_load=9), self.endpoint(reported_load=6)
        self.assertEqual(cheapest({"full": full, "other": other}, 0.0), "other")
        later = 10 * REPORT_DECAY_CALLS * 0.05
        full.slowness = 0.9
        self.assertEqual(cheapest({"full": full, "other": other}, later), "full")

    def test_endpoints_of_similar_cost_share_the_calls(self):
        rng = random.Random(1)
        endpoints = {name: self.endpoint(slowness=1 + 0.02 * name) for name in range(5)}
        endpoints[9] = self.endpoint(slowness=2.0)
        counts = Counter(
            choose_endpoint(tuple(endpoints.items()), 0.05, 0.0, rng.random) for _ in range(1000)
        )
        self.assertEqual(counts[9], 0)
        self.assertLess(max(counts.values()), 2 * 1000 / 5)

    def test_random_spread_sends_nothing_to_another_domain(self):
        rng = random.Random(1)
        near = [self.endpoint(slowness=slowness) for slowness in (1.7, 2.15)]
        far = [self.endpoint(is_local=False, in_flight=0) for _ in range(6)]
        endpoints = [(endpoint.is_local, endpoint) for endpoint in (*near, *far)]
        chosen = {choose_endpoint(endpoints, 0.05, 0.0, rng.random) for _ in range(300)}
        self.assertEqual(chosen, {True})

    def test_no_endpoint_to_choose_from(self):
        self.assertIsNone(choose_endpoint((), 0.05, 0.0, random.random))

    def test_load_reports_of_very_fast_upstreams_keep_weight(self):
        route_stats = RouteStats()
        for _ in range(2_000):
            route_stats.record_service_time("r", 0.0)
        full, other = self.endpoint(reported_load=9), self.endpoint(reported_load=2)
        endpoints = (("full", full), ("other", other))
        chosen = {
            choose_endpoint(endpoints, route_stats.mean_s("r"), 0.001, random.random)
            for _ in range(50)
        }
        self.assertEqual(chosen, {"other"})

    def test_route_stats_compare_a_call_with_its_route(self):
        route_stats = RouteStats()
        self.assertAlmostEqual(route_stats.record_service_time("r", 0.1), 1.0)
        self.assertAlmostEqual(route_stats.record_service_time("r", 0.3), 3.0)
        for _ in range(30):
            route_stats.record_outcome("r", True)
        self.assertGreater(route_stats.failure_rate("r"), 0.5)


def document(**routes):
    """Returns a valid document with these routes."""
    tree = {
        "routes": routes,
        "customers": {"shed": {"rate": 5, "burst": 5, "rank": 0}},
        "keys": {key_digest("secret"): {"customer": "shed"}},
    }
    return validate_document(tree).value


class LoadMeterTests(unittest.TestCase):
    """Rates that a node reports when there are fewer calls than reports."""

    def test_rare_calls_are_counted_once(self):
        counts = iter([{"r": 1}, {}, {}, {}] * 100)
        limiter = types.SimpleNamespace(take_offered=lambda: next(counts))
        ingress = types.SimpleNamespace(
            collect_run_stats=dict,
            load=(0, 0),
            limit=1,
            ready=True,
            rate_limiter=AnnouncedRateLimiter(),
        )
        clock = Clock()
        meter = LoadMeter(ingress, limiter, clock)
        total = 0.0
        for _ in range(400):
            clock.now += 0.25
            total += meter.sample().offered.get("r", 0.0)
        self.assertLess(abs(total / 400 - 1.0), 0.1)


class RouteTableTests(unittest.TestCase):
    """Lookup of routes and customers."""

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

    def test_split_keeps_its_weights_in_every_short_run(self):
        split = {"a": 90, "b": 10, "c": 0}
        table = RouteTable(1, document(r={"service": "a", "path": "/", "split": split}))
        target = table.match(b"any", b"/")
        for _ in range(5):
            chosen = [target.next_service() for _ in range(20)]
            self.assertEqual((chosen.count("a"), chosen.count("b")), (18, 2))


class RetryBudgetTests(unittest.TestCase):
    """Upper bound of the retries."""

    @given(st.lists(st.sampled_from(["first", "take", "charge"]), max_size=300))
    def test_retries_stay_a_fraction_of_first_sends(self, steps):
        budget = RetryBudget()
        first_sends = retries = 0
        for step in steps:
            if step == "first":
                budget.record_first_send("s")
                first_sends += 1
            elif step == "charge":
                budget.charge("s")
            elif budget.try_take("s"):
                retries += 1
        self.assertLessEqual(retries, INITIAL_BALANCE + DEFAULT_RATIO * first_sends)

    def test_charged_retries_leave_fewer_for_others(self):
        budget = RetryBudget()
        for _ in range(100):
            budget.record_first_send("s")
        for _ in range(int(MAX_BALANCE)):
            budget.charge("s")
        self.assertFalse(budget.try_take("s"))


class RootCallLimiterTests(unittest.TestCase):
    """Caps on root calls."""

    def setUp(self):
        self.clock = Clock()
        self.limiter = RootCallLimiter(self.clock, random.Random(1))

    def count_admitted(self, calls, interval_s):
        count = 0
        for _ in range(calls):
            self.clock.now += interval_s
            count += self.limiter.admit("r") == 0
        return count

    def test_without_caps_every_call_is_admitted(self):
        self.assertEqual(self.count_admitted(100, 0.001), 100)

    def test_a_cap_holds_over_time(self):
        self.limiter.set_caps({"r": 10.0})
        self.count_admitted(50, 0.01)
        total = 0
        for _ in range(5):
            self.limiter.set_caps({"r": 10.0})
            total += self.count_admitted(100, 0.01)
        self.assertLessEqual(abs(total - 50), 3)

    def test_small_caps_of_many_nodes_hold_in_total(self):
        limiters = [RootCallLimiter(self.clock, random.Random(seed)) for seed in range(190)]
        rng = random.Random(1)
        offered = admitted = 0
        for _ in range(20):
            for limiter in limiters:
                limiter.set_caps({"r": 0.25}, {"r": 0.25})
            for _ in range(190):
                self.clock.now += 1 / 190
                offered += 1
                admitted += rng.choice(limiters).admit("r") == 0
        self.assertLess(abs(admitted / offered - 0.25), 0.03)

    def test_refused_callers_come_back_in_time_for_a_timely_answer(self):
        self.limiter.set_caps({"r": 0.0})
        self.count_admitted(2, 0.1)  # Uses up the minimum burst.
        window_s = 1.0
        retry_after_s = [self.limiter.admit("r", window_s) for _ in range(200)]
        self.assertLess(max(retry_after_s) * (1 + RETRY_JITTER), window_s)
        self.assertGreater(min(retry_after_s), 0.2)
        self.assertGreater(max(retry_after_s) - min(retry_after_s), 0.3)

    def test_callers_too_late_for_a_timely_answer_come_back_later(self):
        self.limiter.set_caps({"r": 0.0})
        self.count_admitted(2, 0.1)
        retry_after_s = [
            self.limiter.admit("r", window_s) for window_s in (0.2, -1.0) for _ in range(100)
        ]
        self.assertGreaterEqual(min(retry_after_s), 0.4)

    def test_caps_that_are_not_renewed_expire(self):
        self.limiter.set_caps({"r": 0.0})
        self.count_admitted(10, 0.01)
        self.assertGreater(self.limiter.admit("r"), 0)
        self.clock.now += CAPS_TTL_S
        self.assertEqual(self.limiter.admit("r"), 0)

    def test_offered_calls_are_counted(self):
        self.limiter.set_caps({"r": 0.001})
        self.count_admitted(10, 0.0)
        self.assertEqual(self.limiter.take_offered(), {"r": 10})
        self.limiter.set_caps({})
        self.limiter.admit("r")
        self.limiter.give_back("r")
        self.assertEqual(self.limiter.take_offered(), {"r": 0})
