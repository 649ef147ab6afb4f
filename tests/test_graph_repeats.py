"""Retries across a whole call graph, on virtual time with the production decision code."""

import unittest

from marjoramvalve.scenario import CallGraphSimulation, GraphRoute, GraphService, GreyFailure
from marjoramvalve.telemetry import set_up_logs

LENGTH_S = 20.0
RETRY_RATIO = 0.2  # Retries that users allow, as a share of the requests for a service...
RETRY_ALLOWANCE = 49  # ...plus this fixed number, for fifteen instances.

SERVICES = tuple(
    GraphService(name, 60, (0.9, 1.0, 1.1)) for name in ("one", "two", "three", "four")
)


def chain() -> tuple[GraphRoute, ...]:
    """Returns a chain of routes, each calling the next one twice."""
    return (
        GraphRoute("a", "one", 0.05, 1.5, 5.0, 60.0, 1, 0.3, calls=(("b", 2, True),)),
        GraphRoute("b", "two", 0.02, 1.5, 4.0, calls=(("c", 2, True),)),
        GraphRoute("c", "three", 0.02, 1.5, 3.0, calls=(("d", 2, True),)),
        GraphRoute("d", "four", 0.01, 1.5, 2.0),
    )


class RetryTests(unittest.TestCase):
    """The last service of a chain fails some or all of its runs."""

    @classmethod
    def setUpClass(cls):
        set_up_logs("critical", "test")

    def test_retries_stay_within_their_share_at_every_depth(self):
        for share in (0.02, 0.05, 0.15, 0.5, 1.0):
            simulation = CallGraphSimulation(
                SERVICES, chain(), seed=7, grey=GreyFailure("four", share)
            )
            result = simulation.run(LENGTH_S)
            for service in SERVICES:
                with self.subTest(share=share, service=service.name):
                    first_attempts = result.first_attempts[service.name]
                    allowed = RETRY_RATIO * first_attempts + RETRY_ALLOWANCE
                    self.assertGreater(first_attempts, 500)
                    self.assertLessEqual(result.retries[service.name], allowed)
