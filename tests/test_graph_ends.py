"""Crashes under load must lead to quarantine of the requests that cause them, and of no others.

All calls of a route have the same path, so the most popular requests of every route are running at
each crash and become suspects.
"""

import os
import random
import unittest
from dataclasses import replace

from marjoramvalve.scenario import (
    CallGraphSimulation,
    Departures,
    FatalRequest,
    GraphRoute,
    GraphService,
    Outage,
)
from marjoramvalve.telemetry import set_up_logs

LENGTH_S = 40.0
MAX_CRASHES = 3  # Upstreams that a request may crash before quarantine: required by users.
MAX_LATE_RUNS = 3  # Runs later than STABLE_WINDOW_S after the third crash: required by users.
STABLE_WINDOW_S = 3.0
MIN_SUCCESS = 0.99  # Required success of other calls once upstreams have restarted.
RECOVERY_S = 5.0  # After a crash: 3 s until the restart, and a round of the plan.

SERVICES = (
    GraphService("catalogue", 45, (0.8, 0.9, 1.0, 1.1, 1.2)),
    GraphService("ledger", 56, (1.0, 1.0, 1.0, 1.0)),
)
ROUTES = (
    GraphRoute("browse", "catalogue", 0.16, 1.5, 5.0, 95.0, 1, 0.3, 2, calls=(("find", 2, True),)),
    GraphRoute("pay", "ledger", 0.21, 1.5, 5.0, 45.0, 3, 0.6, 0, repeatable=False),
    GraphRoute("find", "ledger", 0.015, 1.0, 2.5, rank=2),
)

SEEDS = int(os.environ.get("CRASH_SEEDS", "12"))
FIRST_SEED = int(os.environ.get("CRASH_FIRST_SEED", "0"))


class CrashTestCase(unittest.TestCase):
    """Base class of simulations in which upstreams crash."""

    @classmethod
    def setUpClass(cls):
        set_up_logs("critical", "test")

    def simulate(self, seed, fatal=None, outages=(), routes=ROUTES, departures=None):
        simulation = CallGraphSimulation(
            SERVICES, routes, seed=seed, fatal=fatal, outages=outages, departures=departures
        )
        return simulation.run(LENGTH_S)

    def check_late_runs(self, result):
        """Few runs of the fatal request begin long after it has crashed its third upstream."""
        if len(result.fatal_crashes) < MAX_CRASHES:
            return
        since = result.fatal_crashes[MAX_CRASHES - 1] + STABLE_WINDOW_S
        late = [at for at in result.fatal_runs if at > since]
        self.assertLessEqual(len(late), MAX_LATE_RUNS, late)

    def check_others(self, result, since):
        self.assertEqual(result.quarantined, 0)
        for route in result.tallies:
            self.assertGreaterEqual(result.success_share_since(route, since), MIN_SUCCESS, route)


class UpstreamCrashTests(CrashTestCase):
    """Repeated and simultaneous crashes of upstreams."""

    def test_fatal_request_crashes_at_most_three_upstreams(self):
        for seed, route, every_s in ((1, "browse", 0.3), (2, "pay", 0.3), (3, "pay", 2.0)):
            with self.subTest(seed=seed, route=route):
                result = self.simulate(seed, FatalRequest(route, 5.0, every_s))
                self.assertGreater(result.fatal_requests, 10)
                self.assertLessEqual(len(result.fatal_runs), MAX_CRASHES)
                self.check_others(result, 5.0 + 3 * every_s + RECOVERY_S)

    def test_simultaneous_crashes_quarantine_no_request(self):
        outages = tuple(Outage(at, "catalogue", 4) for at in (5.0, 10.0, 15.0, 20.0))
        result = self.simulate(4, outages=outages)
        self.check_others(result, 20.0 + RECOVERY_S)

    def test_fatal_request_among_unrelated_crashes(self):
        outages = tuple(Outage(5.0 + 0.7 * turn, "ledger", 2) for turn in range(20))
        result = self.simulate(5, FatalRequest("browse", 6.0, 1.0), outages)
        self.assertLessEqual(len(result.fatal_runs), MAX_CRASHES)
        self.check_others(result, 19.0 + RECOVERY_S)

    def test_overlapping_runs_of_a_fatal_request(self):
        for seed, route, instances, gap_s, crash_after_s in (
            (6, "browse", 4, 0.1, 0.5),
            (7, "pay", 4, 0.1, 0.5),
            (8, "pay", 6, 0.0, 0.2),
            (9, "browse", 3, 0.3, 1.0),
            (10, "pay", 9, 0.02, 0.005),
        ):
            with self.subTest(seed=seed):
                fatal = FatalRequest(route, 5.0, 5.0, instances, gap_s, crash_after_s)
                result = self.simulate(seed, fatal)
                self.assertGreaterEqual(len(result.fatal_crashes), 2)
                self.check_late_runs(result)
                self.check_others(result, 20.0)

    def test_overlapping_runs_among_unrelated_crashes(self):
        for seed in range(11, 15):
            with self.subTest(seed=seed):
                outages = tuple(Outage(5.0 + 1.3 * turn, "ledger", 2) for turn in range(8))
                fatal = FatalRequest("browse", 6.0, 4.0, 4, 0.1, 0.4)
                result = self.simulate(seed, fatal, outages)
                self.check_late_runs(result)
                self.check_others(result, 25.0)

    def test_fatal_request_whose_callers_leave_before_the_crash(self):
        for seed, every_s, instances, gap_s, crash_after_s in (
            (15, 5.0, 4, 0.1, 0.5),
            (16, 5.0, 4, 0.1, 2.5),
            (17, 1.0, 1, 0.0, 0.5),
            (18, 2.0, 3, 0.3, 1.0),
            (19, 0.4, 2, 0.05, 2.0),
        ):
            with self.subTest(seed=seed):
                fatal = FatalRequest("browse", 5.0, every_s, instances, gap_s, crash_after_s, 0.2)
                result = self.simulate(seed, fatal)
                self.assertGreaterEqual(len(result.fatal_crashes), MAX_CRASHES)
                self.check_late_runs(result)
                self.check_others(result, 25.0)

    def test_fatal_request_whose_deadline_passes_before_the_crash(self):
        for seed, every_s, instances in ((20, 4.0, 4), (21, 1.5, 1)):
            with self.subTest(seed=seed):
                result = self.simulate(
                    seed, FatalRequest("find", 5.0, every_s, instances, 0.1, 3.0)
                )
                self.assertGreaterEqual(len(result.fatal_crashes), MAX_CRASHES)
                self.check_late_runs(result)
                self.check_others(result, 25.0)


class InterleavingTests(CrashTestCase):
    """Random interleavings of a fatal request with other calls, crashes and departing callers."""

    def draw(self, seed):
        """Returns a fatal request, unrelated outages, routes and departing callers."""
        rng = random.Random(seed)
        crash_after_s = rng.choice((0.005, rng.uniform(0.05, 1.5), rng.uniform(0.5, 1.5)))
        fatal = FatalRequest(
            rng.choice(("browse", "pay", "find")),
            begin_s=5.0,
            every_s=rng.uniform(0.3, 5.0),
            instances=rng.randint(1, 6),
            gap_s=rng.choice((0.0, rng.uniform(0.0, 0.5))),
            crash_after_s=crash_after_s,
            leave_after_s=rng.choice((0.0, rng.uniform(0.1, 1.0) * crash_after_s)),
            jitter=rng.uniform(0.0, 0.9),
        )
        outages = tuple(
            Outage(rng.uniform(4.0, 20.0), rng.choice(SERVICES).name, rng.randint(1, 3))
            for _ in range(rng.choice((0, rng.randint(1, 6))))
        )
        scale = rng.choice((0.1, 0.3))
        paths = rng.choice((1, 30))
        routes = tuple(
            replace(route, calls_per_s=route.calls_per_s * scale, paths=paths) for route in ROUTES
        )
        departures = Departures(rng.choice((0.0, 0.1, 0.4)), rng.choice((0.1, 1.0)))
        return fatal, outages, routes, departures

    def test_fatal_request_is_quarantined_and_no_other(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            fatal, outages, routes, departures = self.draw(seed)
            with self.subTest(seed=seed, fatal=fatal, outages=len(outages)):
                result = self.simulate(seed, fatal, outages, routes, departures)
                self.check_late_runs(result)
                crashes = [*result.fatal_crashes, *(outage.at_s for outage in outages), 5.0]
                self.check_others(result, max(crashes) + RECOVERY_S)
