"""Retry budgets of chains and routes, call tokens, crash counts and quarantine."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.retries import (
    CallToken,
    ChainBudget,
    QuarantineTable,
    RouteBudget,
    TokenSigner,
    child_budget,
    fingerprint,
    retry_after,
)

CI = settings(derandomize=True, deadline=None, max_examples=150)


def run_chain(depth, budget, fails, runs, level=0, split=child_budget):
    """Runs a chain of calls and returns whether it succeeded. Adds to the `runs` of each level."""
    for attempt in range(ChainBudget(budget).max_attempts()):
        runs[level] += 1
        sub_call_succeeded = level + 1 == depth or run_chain(
            depth, split(budget, attempt), fails, runs, level + 1, split
        )
        if sub_call_succeeded and not fails(level):
            return True
    return False


class ChainTests(unittest.TestCase):
    """The number of runs that one original request causes, and the delays between them."""

    def test_bound_at_depth_25_under_total_failure(self):
        for budget in range(6):
            runs = [0] * 25
            run_chain(25, budget, lambda level: True, runs)
            self.assertLessEqual(max(runs), 1 + budget)
            self.assertLessEqual(sum(runs), 25 * (1 + budget))

    @CI
    @given(st.integers(1, 25), st.integers(0, 5), st.integers(0, 2**32))
    def test_bound_under_random_failures(self, depth, budget, seed):
        rng = random.Random(seed)
        failure_ratio = rng.random()
        runs = [0] * depth
        run_chain(depth, budget, lambda level: rng.random() < failure_ratio, runs)
        self.assertLessEqual(max(runs), 1 + budget)

    def test_bound_needs_the_split(self):
        runs = [0] * 8
        run_chain(8, 2, lambda level: True, runs, split=lambda budget, attempt: budget)
        self.assertGreater(max(runs), 100)

    def test_route_budget_allows_a_tenth_of_successes(self):
        budget = RouteBudget(0.1)
        while budget.take():
            pass
        for _ in range(100):
            budget.record_success()
        self.assertEqual(sum(budget.take() for _ in range(100)), 10)

    def test_retry_after_is_randomized(self):
        rng = random.Random(1)
        delays = [retry_after(2.0, rng) for _ in range(200)]
        self.assertTrue(all(2.0 <= delay <= 4.0 for delay in delays))
        self.assertGreater(max(delays) - min(delays), 1.5)


class TokenTests(unittest.TestCase):
    """Signing and verification of call tokens."""

    token = CallToken("r", "shed", 2, 1, 5000, 3)

    def test_signed_token_is_verified(self):
        signer = TokenSigner(b"secret")
        self.assertEqual(signer.verify(signer.sign(self.token), 4999), self.token)

    def test_expired_and_wrongly_signed_tokens_are_refused(self):
        signed = TokenSigner(b"secret").sign(self.token)
        self.assertIsNone(TokenSigner(b"secret").verify(signed, 5000))
        self.assertIsNone(TokenSigner(b"other").verify(signed, 0))

    @CI
    @given(st.data())
    def test_forged_tokens_are_refused(self, data):
        signed = TokenSigner(b"secret").sign(self.token)
        at = data.draw(st.integers(0, len(signed) - 3))
        char = data.draw(st.sampled_from("ABCabc019-_"))
        forged = signed[:at] + char + signed[at + 1 :]
        if forged != signed:
            self.assertIsNone(TokenSigner(b"secret").verify(forged, 0))

    @CI
    @given(st.text(max_size=40))
    def test_arbitrary_text_is_refused(self, text):
        self.assertIsNone(TokenSigner(b"secret").verify(text, 0))


class QuarantineTests(unittest.TestCase):
    """Crash counts and quarantine of requests."""

    def test_two_crashes_quarantine_a_request_temporarily(self):
        table = QuarantineTable()
        table.record_crash("m", False, 60.0, 0.0)
        self.assertFalse(table.is_quarantined("m", 1.0))
        table.record_crash("m", True, 60.0, 1.0)
        self.assertTrue(table.is_quarantined("m", 2.0))
        self.assertFalse(table.is_quarantined("other", 2.0))
        self.assertFalse(table.is_quarantined("m", 62.0))

    def test_answered_suspect_is_cleared(self):
        table = QuarantineTable()
        table.record_crash("m", False, 60.0, 0.0)
        table.clear("m")
        table.record_crash("m", True, 60.0, 1.0)
        self.assertFalse(table.is_quarantined("m", 2.0))

    def test_requests_interrupted_by_another_crash_stay_suspects(self):
        table = QuarantineTable()
        for _ in range(20):
            table.record_crash("innocent", False, 60.0, 0.0)
        self.assertFalse(table.is_quarantined("innocent", 1.0))
        self.assertEqual(table.crashes("innocent", 11.0), 0)

    def test_counts_of_other_instances_are_merged(self):
        table = QuarantineTable()
        table.merge("m", 2, 60.0, 0.0)
        table.merge("m", 1, 60.0, 0.0)
        self.assertTrue(table.is_quarantined("m", 1.0))

    def test_fingerprints_differ_by_customer_and_body(self):
        distinct = {
            fingerprint(customer, "GET", path, body)
            for customer in ("a", "b")
            for path in ("/x", "/y")
            for body in (b"", b"1")
        }
        self.assertEqual(len(distinct), 8)
