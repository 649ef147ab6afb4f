"""Rate limits: at most burst + rate x t in any interval, with tokens shared between domains."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.rates import BucketOwners, LotCache, LotOutcome, Share, TokenBucket
from marjoramvalve.rates import owners as owners_module
from marjoramvalve.wire.messages import BucketTokenRequest

CI = settings(derandomize=True, deadline=None, max_examples=80)
RATE = 100.0
BURST = 60.0
DOMAINS = 3
FENCE_S = 5.0
DRIFT = 0.02


def check_trace(grants: list[tuple[float, float]], rate: float, burst: float) -> None:
    """Checks that grants (time, tokens) never exceed burst + rate x t in any interval."""
    level = burst
    at = grants[0][0] if grants else 0.0
    for when, amount in grants:
        level = min(burst, level + rate * (when - at)) - amount
        at = when
        assert level >= -1e-6, f"{-level:.2f} tokens too many at {when:.3f}"


class FakeRates:
    """Simulation of owners in three domains and nodes that request lots, on virtual time."""

    def __init__(self, seed: int, fence_s: float = FENCE_S) -> None:
        self.rng = random.Random(seed)
        self.now = 10.0
        self.fence_s = fence_s
        self.owners = {}
        self.lots = [LotCache() for _ in range(4)]
        self.grants: list[tuple[float, float]] = []
        self.in_transit: list[tuple[int, float, float]] = []
        self.refused = 0
        for domain in range(DOMAINS):
            self.start(domain, fresh=True)

    def start(self, domain: int, fresh: bool = False) -> None:
        """Starts the owner of a domain, without any state from before a crash."""
        self.owners[domain] = BucketOwners(self.fence_s, DRIFT)
        share = Share(RATE / DOMAINS, BURST / DOMAINS)
        self.owners[domain].assign("c", share, fresh, self.now)

    def call(self, node: int) -> None:
        """Makes a call, which takes a token from the lot or requests one from the owners."""
        lot = self.lots[node]
        if lot.take("c", self.now) is LotOutcome.TAKEN:
            self.grants.append((self.now, 1.0))
            return
        order = sorted(self.owners, key=lambda domain: (domain != node % DOMAINS, domain))
        for position, domain in enumerate(order):
            lend = position > 0
            want = 1.0 if lend else 1.0 + lot.spare_demand("c")
            body = BucketTokenRequest("c", 1, 1.0, want, 1, lend, 5.0 if lend else 0.0)
            answer = self.owners[domain].request(body, str(node % DOMAINS), self.now)
            if answer.granted >= 1:
                if self.rng.random() < 0.1:
                    return  # The answer is lost together with its tokens.
                self.grants.append((self.now, 1.0))
                lot.put("c", answer.granted - 1, self.now, self.now)
                return
        self.refused += 1

    def transfer_tokens(self) -> None:
        """Transfers tokens between domains, after offers and on requests of owners in deficit."""
        for domain, owner in self.owners.items():
            for offer in owner.offers(self.now):
                self._borrow(int(offer.address), domain, 0.25)
            if self.rng.random() < 0.5:
                self._borrow(domain, self.rng.randrange(DOMAINS), 0.5)
        while self.in_transit and self.rng.random() < 0.7:
            domain, tokens, requested_at = self.in_transit.pop(0)
            if self.now < requested_at + owners_module.LOT_TTL_S:
                self.owners[domain].add("c", tokens, self.now)

    def _borrow(self, domain: int, lender: int, fraction: float) -> None:
        deficit_tokens = self.owners[domain].deficit("c", self.now)
        if lender == domain or deficit_tokens < 0.5:
            return
        want = deficit_tokens * fraction
        body = BucketTokenRequest("c", 1, min(1.0, want), want, 2, True, deficit_tokens)
        answer = self.owners[lender].request(body, str(domain), self.now)
        self.in_transit.append((domain, answer.granted, self.now))


def simulate(seed: int, fence_s: float = FENCE_S) -> FakeRates:
    """Simulates random calls, token transfers and crashes of owners."""
    fake = FakeRates(seed, fence_s)
    for _ in range(2500):
        draw = fake.rng.random()
        if draw < 0.75:
            fake.call(fake.rng.randrange(4))
        elif draw < 0.97:
            fake.now += fake.rng.choice([0.001, 0.01, 0.05])
            fake.transfer_tokens()
        elif draw < 0.972:
            fake.start(fake.rng.randrange(DOMAINS))
        elif draw < 0.974:
            fake.now += 1.0
    return fake


class ConservationTests(unittest.TestCase):
    """The bound on the tokens granted in the whole fleet."""

    @CI
    @given(st.integers(0, 10_000))
    def test_never_above_rate_and_burst(self, seed):
        fake = simulate(seed)
        self.assertGreater(len(fake.grants), 50)
        check_trace(fake.grants, RATE, BURST)

    def test_bound_breaks_if_a_new_owner_starts_full(self):
        class StartsFull(FakeRates):
            def start(self, domain, fresh=False):
                super().start(domain, True)

        with self.assertRaises(AssertionError):
            for seed in range(30):
                fake = StartsFull(seed)
                for _ in range(400):
                    fake.call(fake.rng.randrange(4))
                    fake.start(fake.rng.randrange(DOMAINS))
                check_trace(fake.grants, RATE, BURST)

    def test_lent_tokens_count_against_the_burst(self):
        bucket = TokenBucket(RATE, BURST, BURST, 0.0)
        bucket.take(1, 20, 0.0)
        bucket.lend(20, 1.0)
        bucket.refill(0.5)
        self.assertLessEqual(bucket.tokens, BURST - 20)
        bucket.refill(1.01)
        self.assertGreater(bucket.tokens, BURST - 20)

    def test_calls_within_the_rate_are_not_refused(self):
        """All calls pass if they come from one domain at nine tenths of the fleet's rate."""
        fake = FakeRates(5)
        fake.rng = random.Random(1)
        fake.rng.random = lambda: 0.5
        for _ in range(2000):
            fake.now += 1 / (0.9 * RATE)
            fake.call(0)
            fake.transfer_tokens()
        self.assertEqual(fake.refused, 0)

    def test_one_domain_can_use_nearly_the_whole_burst(self):
        fake = FakeRates(5)
        fake.rng.random = lambda: 0.5
        for _ in range(int(BURST) - 3):
            fake.call(0)
        self.assertEqual(fake.refused, 0)


class BucketTests(unittest.TestCase):
    """Bucket owners and lots in isolation."""

    def test_new_owner_starts_empty_and_fenced(self):
        owners = BucketOwners(FENCE_S, DRIFT)
        owners.assign("c", Share(10, 10), False, 0.0)
        one_token = BucketTokenRequest("c", 1, 1.0, 1.0, 1)
        self.assertEqual(owners.request(one_token, "n", 4.9).granted, 0.0)
        self.assertGreater(owners.request(one_token, "n", 5.9).granted, 0.0)

    def test_changed_rate_takes_effect(self):
        owners = BucketOwners(FENCE_S, DRIFT)
        owners.assign("c", Share(100, 100), True, 0.0)
        owners.assign("c", Share(1, 5), True, 0.0)
        taken = owners.request(BucketTokenRequest("c", 1, 50.0, 50.0, 1), "n", 0.0).granted
        self.assertLessEqual(taken, 5)

    def test_lot_expires_a_ttl_after_its_request(self):
        """A lot expires before its owner stops counting the tokens against the burst."""
        cache = LotCache()
        self.assertTrue(cache.put("c", 5, 0.0, 0.01))
        self.assertIs(cache.take("c", owners_module.LOT_TTL_S), LotOutcome.ASK)
        self.assertFalse(cache.put("c", 5, 0.0, owners_module.LOT_TTL_S))

    def test_refusal_states_the_wait_for_the_next_token(self):
        owners = BucketOwners(FENCE_S, DRIFT)
        owners.assign("c", Share(10, 1), True, 0.0)
        owners.request(BucketTokenRequest("c", 1, 1.0, 1.0, 1), "n", 0.0)
        answer = owners.request(BucketTokenRequest("c", 1, 1.0, 1.0, 2), "n", 0.0)
        self.assertAlmostEqual(answer.retry_after_s, 0.1)
