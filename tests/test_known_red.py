"""Tests that only listed tests may fail without failing the run."""

import types
import unittest

from tests.known_red import KnownRed, parse_listed_tests

LISTED = "tests.test_a.A.test_x"


class KnownRedTests(unittest.TestCase):
    """The plugin changes the outcomes of listed tests only."""

    def setUp(self):
        self.plugin = KnownRed()
        self.plugin._listed = parse_listed_tests(
            f"Text.\n\n- {LISTED}\n  (seed 1): seen\n- python -m x\n"
        )

    def outcome_of(self, name, outcome):
        test = types.SimpleNamespace(id=lambda: name)
        event = types.SimpleNamespace(test=test, outcome=outcome, expected=False)
        self.plugin.setTestOutcome(event)
        return event.outcome

    def test_only_listed_tests_may_fail(self):
        self.assertEqual(self.plugin._listed, {LISTED})
        self.assertEqual(self.outcome_of(LISTED, "failed"), "expectedFailure")
        self.assertEqual(self.outcome_of(LISTED, "error"), "expectedFailure")
        self.assertEqual(self.outcome_of(LISTED, "passed"), "passed")
        self.assertEqual(self.outcome_of("tests.test_a.A.test_y", "failed"), "failed")
        self.assertEqual(self.outcome_of(f"{LISTED}_too", "failed"), "failed")
