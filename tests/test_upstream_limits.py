"""Upstreams that announce how many requests per second they accept: load on virtual time."""

import unittest

from marjoramvalve.scenario import AnnouncedLimits, CallGraphSimulation, GraphService
from marjoramvalve.telemetry import set_up_logs
from tests.rate_rules import allowed_in_window, most_in_window
from tests.test_graphs import GOODPUT, HIGH_SUCCESS, routes

LENGTH_S = 24.0
LIMITED_FROM_S, LIMITED_UNTIL_S = 4.0, 18.0
GRACE_S = 3.0  # From the first announcement until the rule holds.

SERVICES = (
    GraphService("catalogue", 45, (0.5, 1.0, 1.0, 1.5, 1.0)),
    GraphService("ledger", 56, (0.7, 0.7, 1.6)),
    GraphService("timber", 75, (1.0,)),
    GraphService("bench", 19, (1.0,)),
)
SOME_LIMITED = AnnouncedLimits(LIMITED_FROM_S, LIMITED_UNTIL_S, "catalogue", (6.0, 15.0, 8.0, 4.0))
ALL_LIMITED = AnnouncedLimits(
    LIMITED_FROM_S, LIMITED_UNTIL_S, "catalogue", (1.0, 3.0, 2.0, 0.5, 5.0)
)


class AnnouncedLimitTests(unittest.TestCase):
    """Upstreams of `catalogue` announce limits for a while."""

    def simulate(self, *limits, seed=1, with_plan=True):
        set_up_logs("critical", "test")
        simulation = CallGraphSimulation(
            SERVICES, routes(1.0), seed=seed, limits=limits, with_plan=with_plan
        )
        return simulation.run(LENGTH_S)

    def check_limits(self, result, announced):
        for index, rate in enumerate(announced.rates):
            times = [
                at
                for at in result.arrivals[f"{announced.service}-{index}"]
                if announced.begin_s + GRACE_S <= at < announced.end_s
            ]
            self.assertLessEqual(most_in_window(times), allowed_in_window(rate), (index, rate))

    def test_upstreams_get_no_more_requests_than_they_announce_to_accept(self):
        self.check_limits(self.simulate(SOME_LIMITED), SOME_LIMITED)

    def test_a_whole_service_gets_no_more_requests_than_it_announces_to_accept(self):
        self.check_limits(self.simulate(ALL_LIMITED), ALL_LIMITED)

    def test_calls_find_the_upstreams_that_have_room(self):
        result = self.simulate(SOME_LIMITED)
        for route in result.tallies:
            self.assertGreaterEqual(result.success_share(route), HIGH_SUCCESS, route)

    def test_upstreams_get_nearly_as_much_as_they_accept_while_there_is_demand(self):
        result = self.simulate(ALL_LIMITED)
        begin_s, end_s = ALL_LIMITED.begin_s + GRACE_S, ALL_LIMITED.end_s
        for index, rate in enumerate(ALL_LIMITED.rates):
            times = [at for at in result.arrivals[f"catalogue-{index}"] if begin_s <= at < end_s]
            self.assertGreaterEqual(len(times) + 1, GOODPUT * rate * (end_s - begin_s), index)

    def test_little_work_is_done_for_calls_that_fail_further_down(self):
        limits = AnnouncedLimits(LIMITED_FROM_S, LIMITED_UNTIL_S, "ledger", (8.0, 8.0, 8.0))
        result = self.simulate(limits)
        self.assertLess(result.wasted["catalogue"], (1 - GOODPUT) * result.runs["catalogue"])

    def test_callers_get_more_with_the_plan_when_the_last_service_is_limited(self):
        limits = AnnouncedLimits(LIMITED_FROM_S, LIMITED_UNTIL_S, "bench", (150.0,))
        by_name = {route.name: route for route in routes(1.0)}
        planned = self.simulate(limits).value_share(by_name)
        self.assertGreater(planned, self.simulate(limits, with_plan=False).value_share(by_name))
