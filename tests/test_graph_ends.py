"""Upstreams that end under load: the real decisions on virtual time, and what callers get.

Every call of a route is for the same path here, so that each end has the most popular requests of
all routes under it.
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
ENDS_ALLOWED = 3  # Upstreams that a request may end before it is set aside: the users' rule.
SERVED = 0.99  # Of what others ask for, once upstreams are back: the brief's target.
SETTLED_S = 5.0  # After an end: three seconds away, and a round of the plan.

SERVICES = (
    GraphService("catalogue", 45, (0.8, 0.9, 1.0, 1.1, 1.2)),
    GraphService("ledger", 56, (1.0, 1.0, 1.0, 1.0)),
)
ROUTES = (
    GraphRoute("browse", "catalogue", 0.16, 1.5, 5.0, 95.0, 1, 0.3, 2, calls=(("find", 2, True),)),
    GraphRoute("pay", "ledger", 0.21, 1.5, 5.0, 45.0, 3, 0.6, 0, repeatable=False),
    GraphRoute("find", "ledger", 0.015, 1.0, 2.5, rank=2),
)


class UpstreamEndTests(unittest.TestCase):
    """Ends of upstreams, several at a time and again and again."""

    @classmethod
    def setUpClass(cls):
        set_up_logs("critical", "test")

    def play(self, seed, fatal=None, outages=()):
        simulation = CallGraphSimulation(SERVICES, ROUTES, seed=seed, fatal=fatal, outages=outages)
        return simulation.run(LENGTH_S)

    def check_others(self, result, since):
        self.assertEqual(result.quarantined, 0)
        for route in result.tallies:
            self.assertGreaterEqual(result.success_share_since(route, since), SERVED, route)

    def test_a_fatal_request_ends_three_upstreams_and_no_more(self):
        for seed, route, every_s in ((1, "browse", 0.3), (2, "pay", 0.3), (3, "pay", 2.0)):
            with self.subTest(seed=seed, route=route):
                result = self.play(seed, FatalRequest(route, 5.0, every_s))
                self.assertGreater(result.fatal_requests, 10)
                self.assertLessEqual(result.fatal_crashes, ENDS_ALLOWED)
                self.check_others(result, 5.0 + 3 * every_s + SETTLED_S)

    def test_upstreams_that_end_together_put_no_request_out(self):
        outages = tuple(Outage(at, "catalogue", 4) for at in (5.0, 10.0, 15.0, 20.0))
        result = self.play(4, outages=outages)
        self.check_others(result, 20.0 + SETTLED_S)

    def test_a_fatal_request_among_upstreams_that_end_by_themselves(self):
        outages = tuple(Outage(5.0 + 0.7 * turn, "ledger", 2) for turn in range(20))
        result = self.play(5, FatalRequest("browse", 6.0, 1.0), outages)
        self.assertLessEqual(result.fatal_crashes, ENDS_ALLOWED)
        self.check_others(result, 19.0 + SETTLED_S)
