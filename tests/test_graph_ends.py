"""Crashes under load must lead to quarantine of the requests that cause them, and of no others.

All calls of a route have the same path, so the most popular requests of every route are running at
each crash and become suspects.
"""

import unittest

from marjoramvalve.scenario import (
    CallGraphSimulation,
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


class UpstreamCrashTests(unittest.TestCase):
    """Repeated and simultaneous crashes of upstreams."""

    @classmethod
    def setUpClass(cls):
        set_up_logs("critical", "test")

    def simulate(self, seed, fatal=None, outages=()):
        simulation = CallGraphSimulation(SERVICES, ROUTES, seed=seed, fatal=fatal, outages=outages)
        return simulation.run(LENGTH_S)

    def check_others(self, result, since):
        self.assertEqual(result.quarantined, 0)
        for route in result.tallies:
            self.assertGreaterEqual(result.success_share_since(route, since), MIN_SUCCESS, route)

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

    def check_late_runs(self, result):
        """Few runs of the fatal request begin long after it has crashed its third upstream."""
        if len(result.fatal_crashes) < MAX_CRASHES:
            return
        since = result.fatal_crashes[MAX_CRASHES - 1] + STABLE_WINDOW_S
        late = [at for at in result.fatal_runs if at > since]
        self.assertLessEqual(len(late), MAX_LATE_RUNS, late)
