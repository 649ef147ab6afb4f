"""Overload of a call graph: production decision code on virtual time, measured at the callers."""

import unittest

from marjoramvalve.scenario import CallGraphSimulation, GraphRoute, GraphService, Surge
from marjoramvalve.telemetry import set_up_logs

LENGTH_S = 20.0
CALLS_PER_S = 70.0
HIGH_SUCCESS = 0.99  # Required success of high priority while it alone fits.
GOODPUT = 0.90  # Required share of what fits, in sustained overload.

SERVICES = (
    GraphService("catalogue", 45, (0.7, 1.3)),
    GraphService("ledger", 56, (1.0,)),
    GraphService("timber", 75, (1.0,)),
    GraphService("bench", 19, (1.0,)),
)


def routes(load: float) -> tuple[GraphRoute, ...]:
    """Returns routes that need 80% of the slots of `bench` at a load of 1."""
    rate = CALLS_PER_S * load
    browse = (("lookup", 2, True),)
    pay = (("stock", 2, True),)
    return (
        GraphRoute("browse", "catalogue", 0.16, 1.5, 1.0, 0.45 * rate, 1, 0.3, 2, True, browse),
        GraphRoute("pay", "ledger", 0.21, 1.5, 1.2, 0.21 * rate, 3, 0.6, 0, False, pay),
        GraphRoute("order", "timber", 0.11, 0.3, 1.2, 0.17 * rate, 3, 0.9, 0, False),
        GraphRoute("view", "bench", 0.064, 0.2, 0.8, 0.17 * rate, 2, 0.6, 1),
        GraphRoute("lookup", "ledger", 0.015, 1.0, 2.5, rank=2, calls=(("stock", 1, False),)),
        GraphRoute("stock", "timber", 0.015, 0.8, 2.0, rank=2, calls=(("roster", 4, False),)),
        GraphRoute("roster", "bench", 0.04, 0.3, 0.7, rank=2),
    )


class GraphTests(unittest.TestCase):
    """Loads near and above the capacity of `bench`, the last service of the graph."""

    @classmethod
    def setUpClass(cls):
        set_up_logs("critical", "test")

    def simulate(self, load, *surges, with_plan=True, services=SERVICES):
        simulation = CallGraphSimulation(services, routes(load), surges, with_plan=with_plan)
        return simulation.run(LENGTH_S), simulation.routes

    def test_a_load_that_fits_is_served(self):
        result, _ = self.simulate(1.0)
        for route in result.tallies:
            self.assertGreaterEqual(result.success_share(route), HIGH_SUCCESS, route)

    def test_an_upstream_that_slows_down_when_full_is_not_filled(self):
        services = (*SERVICES[:3], GraphService("bench", 19, (1.0,), full_slowdown=1.3))
        result, _ = self.simulate(1.05, services=services)
        for route in result.tallies:
            self.assertGreaterEqual(result.success_share(route), GOODPUT, route)

    def test_more_than_fits_costs_only_the_least_important_route(self):
        result, _ = self.simulate(1.4)
        for route in ("pay", "order", "view"):
            self.assertGreaterEqual(result.success_share(route), HIGH_SUCCESS, route)
        capacity = (19 - 1.4 * CALLS_PER_S * (0.21 * 0.32 + 0.17 * 0.064)) / 0.32
        offered = 1.4 * CALLS_PER_S * 0.45
        self.assertGreaterEqual(result.success_share("browse"), GOODPUT * capacity / offered)

    def test_no_route_is_shut_out_in_a_long_surge(self):
        result, _ = self.simulate(1.4, Surge(0.3, 18.0, 1.7))
        shares = [result.success_share(route) for route in result.tallies]
        mean = sum(item.timely + item.late for item in result.tallies.values()) / sum(
            item.arrivals for item in result.tallies.values()
        )
        self.assertGreater(min(shares), mean / 4)

    def test_callers_get_more_than_without_the_plan(self):
        for surge in (Surge(0.3, 18.0, 1.7), Surge(6.0, 11.0, slow_service="bench", slowdown=3.0)):
            with self.subTest(surge=surge):
                planned, by_name = self.simulate(1.25, surge)
                unplanned, _ = self.simulate(1.25, surge, with_plan=False)
                self.assertGreater(planned.value_share(by_name), unplanned.value_share(by_name))

    def test_work_that_comes_to_nothing_stays_little(self):
        result, _ = self.simulate(1.4, Surge(0.3, 18.0, 1.7))
        for service, runs in result.runs.items():
            self.assertLess(result.wasted[service], (1 - GOODPUT) * runs, service)

    def test_a_surge_that_ends_leaves_no_queue(self):
        result, _ = self.simulate(0.9, Surge(2.0, 8.0, 2.5))
        self.assertGreater(result.success_share_since("browse", 13.0), HIGH_SUCCESS)


SMALL_SPEEDS = (0.5, 1.0, 1.0, 1.5)
MANY_SERVICES = (
    GraphService("catalogue", 9, SMALL_SPEEDS * 20),
    GraphService("ledger", 9, SMALL_SPEEDS * 16),
    GraphService("timber", 10, SMALL_SPEEDS * 8),
    GraphService("bench", 7, SMALL_SPEEDS * 4, full_slowdown=1.3),
)


class ManyNodesTests(unittest.TestCase):
    """The same graph on 192 instances, each with a local upstream of 7 to 10 slots."""

    def simulate(self, load):
        browse = (("lookup", 2, True),)
        pay = (("stock", 2, True),)
        routes = (
            GraphRoute("browse", "catalogue", 0.23, 1.5, 1.2, 133 * load, 1, 0.3, 2, True, browse),
            GraphRoute("pay", "ledger", 0.3, 2.0, 1.5, 64 * load, 3, 0.6, 0, False, pay),
            GraphRoute("order", "timber", 0.157, 0.5, 1.0, 50 * load, 3, 0.9, 0, False),
            GraphRoute("view", "bench", 0.092, 0.306, 1.2, 50 * load, 2, 0.6, 1),
            GraphRoute("lookup", "ledger", 0.015, 1.0, 2.5, rank=2, calls=(("stock", 1, False),)),
            GraphRoute("stock", "timber", 0.015, 0.8, 2.0, rank=2, calls=(("roster", 4, False),)),
            GraphRoute("roster", "bench", 0.058, 0.304, 0.7, rank=2),
        )
        set_up_logs("critical", "test")
        return CallGraphSimulation(MANY_SERVICES, routes).run(6.0)

    def test_a_load_that_fits_is_served(self):
        result = self.simulate(0.75)
        for route in result.tallies:
            self.assertGreaterEqual(result.success_share(route), HIGH_SUCCESS, route)

    def test_more_than_fits_leaves_the_important_ones_alone(self):
        result = self.simulate(1.4)
        for route in ("pay", "order"):
            self.assertGreaterEqual(result.success_share(route), HIGH_SUCCESS, route)
        for service, runs in result.runs.items():
            self.assertLess(result.wasted[service], (1 - GOODPUT) * runs, service)
