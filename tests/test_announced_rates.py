"""Decisions of the limiter that keeps to an announced rate, on a clock given as argument."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from marjoramvalve.mesh.announced_rates import MIN_RATE_PER_S, AnnouncedRateLimiter
from tests.rate_rules import allowed_in_window, most_in_window

MAX_SENT = 10_000  # Ends the loop if nothing is limited.


def limiter_at(rate, now=0.0):
    limiter = AnnouncedRateLimiter()
    limiter.record([b"%g" % rate], now)
    return limiter


def send_while_possible(limiter, begin_s, end_s, step_s=0.01):
    """Returns the times of requests that are sent as soon as the limiter lets them."""
    times = []
    for step in range(int((end_s - begin_s) / step_s)):
        now = begin_s + step * step_s
        while limiter.wait_s(0, now) == 0:
            if limiter.per_s is None:
                return times
            limiter.take(now)
            times.append(now)
            if len(times) > MAX_SENT:
                return times
    return times


class AnnouncedRateLimiterTests(unittest.TestCase):
    """Pacing at one rate, and changes of the rate."""

    @given(st.sampled_from([0.0, 0.3, 1.0, 4.8, 15.5, 300.0]), st.floats(0.0, 3.0))
    def test_no_window_gets_more_than_the_users_rule_allows(self, rate, idle_s):
        limiter = limiter_at(rate)
        times = send_while_possible(limiter, idle_s, idle_s + 9.0)
        allowed = allowed_in_window(max(rate, MIN_RATE_PER_S))
        self.assertLessEqual(most_in_window(times), allowed)

    def test_demand_above_the_rate_uses_it_up(self):
        for rate in (0.3, 4.8, 15.5, 60.0):
            times = send_while_possible(limiter_at(rate), 0.0, 20.0)
            self.assertGreaterEqual(len(times), 0.95 * rate * 20.0 - 1, rate)

    def test_a_rate_of_zero_leaves_only_rare_requests(self):
        times = send_while_possible(limiter_at(0.0), 0.0, 20.0)
        self.assertTrue(1 <= len(times) <= MIN_RATE_PER_S * 20.0 + 1, times)

    def test_a_lower_rate_applies_to_the_next_request(self):
        limiter = limiter_at(100.0)
        limiter.take(1.0)
        limiter.record([b"2"], 1.0)
        self.assertLessEqual(len(send_while_possible(limiter, 1.0, 5.0)), 9)

    def test_a_rate_that_rises_and_falls_again_leaves_no_burst(self):
        limiter = limiter_at(2.0)
        limiter.record([b"500"], 3.0)
        limiter.record([b"2"], 3.2)
        self.assertLessEqual(len(send_while_possible(limiter, 3.2, 7.2)), 9)

    def test_wait_grows_with_the_calls_ahead(self):
        limiter = limiter_at(4.0)
        self.assertAlmostEqual(limiter.wait_s(0, 0.0), 0.25)
        self.assertAlmostEqual(limiter.wait_s(7, 0.0), 2.0)

    def test_without_an_announcement_nothing_waits(self):
        limiter = AnnouncedRateLimiter()
        self.assertFalse(limiter.record([], 1.0))
        self.assertEqual(limiter.wait_s(100, 1.0), 0.0)

    def test_texts_that_are_not_rates_change_nothing(self):
        limiter = limiter_at(3.0)
        for number, text in enumerate((b"", b"-1", b"nan", b"soon")):
            self.assertFalse(limiter.record([text], 10.0 + number))
        self.assertEqual(limiter.per_s, 3.0)


class LiftedRateTests(unittest.TestCase):
    """Responses without an announcement, after others with one."""

    def test_a_single_response_without_it_keeps_the_rate(self):
        limiter = limiter_at(3.0)
        self.assertFalse(limiter.record([], 5.0))
        self.assertFalse(limiter.record([b"3"], 5.1))
        self.assertFalse(limiter.record([], 6.0))
        self.assertEqual(limiter.per_s, 3.0)

    def test_responses_that_overtook_each_other_keep_the_rate(self):
        limiter = limiter_at(3.0)
        for number in range(20):
            self.assertFalse(limiter.record([], 0.01 * number))

    def test_responses_without_it_lift_the_rate(self):
        limiter = limiter_at(3.0)
        self.assertFalse(limiter.record([], 2.0))
        self.assertTrue(limiter.record([], 2.1))
        self.assertEqual(limiter.wait_s(50, 2.1), 0.0)

    def test_a_rate_announced_again_starts_without_a_burst(self):
        limiter = limiter_at(3.0)
        limiter.record([], 2.0)
        limiter.record([], 2.1)
        limiter.record([b"2"], 60.0)
        self.assertGreater(limiter.wait_s(0, 60.0), 0.0)
