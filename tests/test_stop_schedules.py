"""Which calls a stopping node may still send, and how long a route's calls take."""

import types
import unittest

from marjoramvalve.mesh.stops import ANSWER_S, WINDOW_S, SlowestRuns, StopSchedule


class StopScheduleTests(unittest.TestCase):
    """Calls that may be sent during a stop that serves until 12 s, with runs until 15 s."""

    def allows(
        self,
        now,
        deadline=20.0,
        objective_at=20.0,
        needs_s=0.0,
        slowest_s=0.0,
        is_sub_call=False,
        repeatable=True,
    ):
        call = types.SimpleNamespace(
            deadline=deadline,
            objective_at=objective_at,
            is_sub_call=is_sub_call,
            repeatable=repeatable,
        )
        return StopSchedule(12.0, 15.0 + ANSWER_S).allows(call, needs_s, slowest_s, now)

    def test_call_whose_deadline_comes_before_the_stop_is_sent_at_any_time(self):
        for now in (10.0, 13.0, 14.99):
            self.assertTrue(self.allows(now, deadline=15.0, slowest_s=9.0))

    def test_call_that_would_outlast_the_stop_is_not_sent_while_callers_are_served(self):
        self.assertTrue(self.allows(11.0, needs_s=4.0, slowest_s=9.0))
        self.assertFalse(self.allows(11.1, needs_s=4.0))

    def test_root_call_that_may_outlast_the_stop_is_not_sent_late(self):
        self.assertFalse(self.allows(12.0, objective_at=12.1, slowest_s=0.001))

    def sub_call_allowed(self, now, **call):
        return self.allows(now, is_sub_call=True, **call)

    def test_sub_call_is_sent_late_with_a_margin_on_the_slowest_run(self):
        self.assertTrue(self.sub_call_allowed(12.0, objective_at=12.1, slowest_s=1.5))
        self.assertFalse(self.sub_call_allowed(12.1, objective_at=12.2, slowest_s=1.5))

    def test_sub_call_of_a_fast_route_is_not_sent_later_than_its_objective_allows(self):
        for slowest_s in (0.0, 0.001):
            self.assertTrue(self.sub_call_allowed(12.0, objective_at=15.0, slowest_s=slowest_s))
            self.assertFalse(self.sub_call_allowed(12.0, objective_at=15.1, slowest_s=slowest_s))

    def test_unrepeatable_sub_call_is_sent_late_only_if_most_of_its_time_is_left(self):
        for deadline, expected in ((15.9, True), (16.1, False)):
            allowed = self.sub_call_allowed(
                12.0, deadline=deadline, objective_at=12.1, slowest_s=0.01, repeatable=False
            )
            self.assertEqual(allowed, expected)

    def test_nothing_that_may_outlast_the_stop_is_sent_after_it(self):
        for is_sub_call in (False, True):
            self.assertFalse(
                self.allows(15.1, objective_at=15.2, slowest_s=0.0, is_sub_call=is_sub_call)
            )


class SlowestRunsTests(unittest.TestCase):
    """The longest recent service times."""

    def setUp(self):
        self.runs = SlowestRuns()
        for service_s in (0.1, 0.7, 0.2):
            self.runs.record("r", service_s, 100.0)

    def test_longest_time_of_a_route_is_kept(self):
        self.assertEqual(self.runs.slowest_s("r", 101.0), 0.7)
        self.assertIsNone(self.runs.slowest_s("other", 101.0))

    def test_time_counts_for_at_least_a_window(self):
        self.runs.record("r", 0.3, 100.0 + WINDOW_S)
        self.assertEqual(self.runs.slowest_s("r", 100.0 + 1.9 * WINDOW_S), 0.7)

    def test_time_counts_for_two_windows_at_most(self):
        self.runs.record("r", 0.3, 100.0 + WINDOW_S)
        self.assertEqual(self.runs.slowest_s("r", 100.0 + 2 * WINDOW_S), 0.3)

    def test_times_before_a_pause_of_two_windows_are_forgotten(self):
        self.assertIsNone(self.runs.slowest_s("r", 100.0 + 2 * WINDOW_S))
