"""Route tables, load balancing, ejection, placement and the configuration view."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.controller import ControllerState, SubmitPatch
from marjoramvalve.controller.commands import COMMAND_ENCODER
from marjoramvalve.controller.drivers import _StateSource
from marjoramvalve.membership import (
    ConfigView,
    LocalUpstreams,
    Publisher,
    UpdateResult,
    UpstreamStatus,
    bucket_owner,
    keepers,
)
from marjoramvalve.model import Route
from marjoramvalve.routing import Candidate, OutlierDetector, RouteTable, choose, subset
from marjoramvalve.wire.messages import Member, Poll, Roster, UpstreamInfo

CI = settings(derandomize=True, deadline=None, max_examples=100)


def roster(count, domains=3):
    """Returns a roster of `count` instances in `domains` failure domains."""
    members = tuple(
        Member(f"n{number}", f"d{number % domains}", "r", f"p{number}", "", 1)
        for number in range(count)
    )
    return Roster(1, 1, members)


class TableTests(unittest.TestCase):
    """Look-up of routes by path and method."""

    def setUp(self):
        self.table = RouteTable(
            {
                "root": Route("web", "/"),
                "orders": Route("timber", "/orders", ("POST",)),
                "order-list": Route("stock", "/orders", ("GET",)),
                "deep": Route("deep", "/orders/deep/"),
            }
        )

    def test_longest_prefix_at_a_segment_wins(self):
        cases = {
            ("GET", "/"): "root",
            ("GET", "/orders"): "order-list",
            ("POST", "/orders/7"): "orders",
            ("GET", "/orders/deep/x"): "deep",
            ("GET", "/ordersx"): "root",
            ("DELETE", "/orders"): "root",
        }
        for (method, path), name in cases.items():
            self.assertEqual(self.table.match(method, path).name, name, path)

    def test_no_route(self):
        self.assertIsNone(RouteTable({"a": Route("s", "/a")}).match("GET", "/b"))


class ChoiceTests(unittest.TestCase):
    """Choice and ejection of upstreams."""

    def test_subsets_are_stable_and_even(self):
        names = tuple(f"u{number}" for number in range(100))
        uses = dict.fromkeys(names, 0)
        for caller in range(500):
            for name in subset(f"n{caller}", names):
                uses[name] += 1
        self.assertLess(max(uses.values()), 2 * min(uses.values()))
        before = set(subset("n1", names))
        after = set(subset("n1", names[1:]))
        self.assertGreaterEqual(len(before & after), 19)

    def test_own_domain_is_preferred_until_its_load_is_much_higher(self):
        rng = random.Random(1)
        near = Candidate("near", 0.5, True)
        far = Candidate("far", 0.0, False)
        self.assertEqual(choose([near, far], rng).name, "near")
        self.assertEqual(choose([Candidate("near", 9.0, True), far], rng).name, "far")
        loaded_far = Candidate("far", 9.0, False)
        self.assertEqual(choose([Candidate("near", 9.1, True), loaded_far], rng).name, "near")
        self.assertIsNone(choose([], rng))

    @CI
    @given(st.lists(st.floats(0, 10), min_size=3, max_size=9), st.integers(0, 99))
    def test_the_most_loaded_is_never_chosen(self, loads, seed):
        candidates = [Candidate(str(index), load, True) for index, load in enumerate(loads)]
        max_load = max(loads)
        if loads.count(max_load) == 1:
            self.assertNotEqual(choose(candidates, random.Random(seed)).load, max_load)

    def test_ejection_is_limited_and_expires(self):
        detector = OutlierDetector()
        names = ["a", "b", "c", "d"]
        for name in names:
            for _ in range(3):
                detector.record_failure(name, 0.0)
        self.assertEqual(len(detector.usable(names, 0.5)), 2)
        self.assertEqual(len(detector.usable(names, 1.5)), 4)
        detector.record_success("a")
        self.assertIn("a", detector.usable(names, 0.5))


class PlacementTests(unittest.TestCase):
    """Placement of keepers and bucket owners."""

    @CI
    @given(st.integers(2, 30), st.text(max_size=10))
    def test_keepers_are_in_different_domains(self, count, scope):
        first, second = keepers(roster(count), scope)
        self.assertNotEqual(first.domain, second.domain)

    def test_one_domain_and_one_instance(self):
        self.assertEqual(len(keepers(roster(3, 1), "x")), 2)
        self.assertEqual(len(keepers(roster(1), "x")), 1)
        self.assertEqual(keepers(roster(0), "x"), ())

    def test_loss_of_one_instance_moves_few_buckets(self):
        before = roster(30)
        after = Roster(2, 2, before.members[1:])
        moved = sum(
            bucket_owner(before, f"c{number}", "d0") != bucket_owner(after, f"c{number}", "d0")
            for number in range(500)
        )
        self.assertLess(moved, 100)


class ViewTests(unittest.TestCase):
    """The configuration view of an instance."""

    def setUp(self):
        self.state = ControllerState()
        self.publisher = Publisher(_StateSource(self.state))
        self.view = ConfigView()
        self.member = Member("n", "d", "r", "p", "c", 1)

    def submit_patches(self, count):
        for _ in range(count):
            base = self.state.version
            body = f'{{"customers":{{"c":{{"rate":{base + 1},"burst":1}}}}}}'.encode()
            self.state.apply(
                COMMAND_ENCODER.encode(SubmitPatch(f"p{base}", base, "merge", body, "", 0.0))
            )

    def poll(self, now=1.0, nonce=1):
        poll = Poll(self.member, self.view.poll_version, self.view.roster.epoch, 0, nonce)
        return self.publisher.answer(poll, now, 0.25, "leader", {})

    def test_deltas_update_the_view(self):
        self.submit_patches(3)
        answer = self.poll()
        self.assertEqual(len(answer.deltas), 3)
        self.assertIs(self.view.apply_update(answer, 1.0), UpdateResult.CHANGED)
        self.assertEqual(self.view.version, 3)
        self.assertEqual(self.view.confirmed_at, 0.75)

    def test_view_far_behind_gets_the_whole_document(self):
        self.submit_patches(200)
        answer = self.poll()
        self.assertIsNotNone(answer.full_document)
        self.view.apply_update(answer, 1.0)
        self.assertEqual(self.view.version, 200)

    def test_stale_answer_does_not_revert_the_view(self):
        self.submit_patches(2)
        old = self.poll()
        self.view.apply_update(old, 1.0)
        self.submit_patches(1)
        self.view.apply_update(self.poll(), 2.0)
        confirmed = self.view.confirmed_at
        self.assertIs(self.view.apply_update(old, 9.0), UpdateResult.STALE)
        self.assertEqual((self.view.version, self.view.confirmed_at), (3, confirmed))

    def test_push_does_not_confirm_the_view(self):
        self.submit_patches(1)
        self.view.apply_update(self.poll(), None)
        self.assertFalse(self.view.is_current(1.0, 5.0))

    def test_delta_that_does_not_apply_requests_the_whole_document(self):
        self.submit_patches(2)
        self.view.document = self.view.document.__class__(policy=None)
        answer = self.poll()
        self.assertIs(self.view.apply_update(answer, 1.0), UpdateResult.GAP)
        self.assertEqual(self.view.poll_version, -1)
        self.view.apply_update(self.poll(), 2.0)
        self.assertEqual(self.view.version, 2)


class UpstreamTests(unittest.TestCase):
    """The upstreams announced to an instance."""

    def test_upstream_lifecycle(self):
        upstreams = LocalUpstreams(2.0)
        info = UpstreamInfo("u", "s", "a", 1, 2, 5)
        self.assertTrue(upstreams.announce(info, 0.0, 0.0))
        self.assertEqual(upstreams.expire(2.5), ["u"])
        self.assertEqual(upstreams.announced(), ())
        self.assertTrue(upstreams.announce(info, 3.0, 3.0))
        self.assertIs(upstreams.get("u").status, UpstreamStatus.UP)
        upstreams.drain("u")
        upstreams.announce(info, 4.0, 4.0)
        self.assertIs(upstreams.get("u").status, UpstreamStatus.DRAINING)
        older = UpstreamInfo("u", "s", "a", 1, 2, 4)
        self.assertFalse(upstreams.announce(older, 4.0, 0.0))
        newer = UpstreamInfo("u", "s", "a", 1, 2, 6)
        self.assertTrue(upstreams.announce(newer, 4.0, 0.0))
        self.assertIs(upstreams.get("u").status, UpstreamStatus.UP)
