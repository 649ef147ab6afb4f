"""Decisions of the control plane without a network: plan, tokens, roster, state, identity."""

import random
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from marjoramvalve.fleet.identities import Founding, founder_name, load_identity
from marjoramvalve.fleet.messages import NodeLoad, Report, RouteRuns
from marjoramvalve.fleet.plans import KEPT, ROUND_S, SETTLE_S, TARGET, LoadPlan
from marjoramvalve.fleet.rosters import GONE_AFTER_S, RosterBook
from marjoramvalve.fleet.states import FleetState, Publish, VerdictKind, pack, unpack_document
from marjoramvalve.fleet.tokens import ANSWER_S, FALLBACK_S, IDLE_S, TokenDesk, TokenLots
from marjoramvalve.model import encode_document, validate_document


def document(rate=10.0, burst=10.0, limited=True, ranks=None, service="s"):
    """Returns a valid document with one customer and routes of these ranks."""
    routes = {
        name: {"service": service, "path": f"/{name}/", "rank": rank}
        for name, rank in (ranks or {}).items()
    }
    customers = {"shed": {"rate": rate, "burst": burst, "limited": limited}}
    return validate_document({"routes": routes, "customers": customers}).value


class PlanTests(unittest.TestCase):
    """The plan. Load: more outside calls than the tightest service has slots for."""

    def setUp(self):
        self.plan = LoadPlan()
        ranks = {"pay": 0, "view": 1, "browse": 2, "fetch": 2}
        self.plan.set_document(document(ranks=ranks, service="leaf"))
        self.now = 50.0

    def play(self, offered, slots, costs, rounds=40, waiting=0, runs=None):
        """Reports a fleet of one caller's node and one node of a leaf service.

        A call of each route takes `costs` slot-seconds at the leaf.
        """
        if runs is None:
            runs = {route: RouteRuns(10, 10 * cost, {}) for route, cost in costs.items()}
        for _ in range(rounds):
            self.now += ROUND_S + 0.01
            caller = NodeLoad(offered, {}, 1000, 0)
            leaf = NodeLoad({}, runs, slots, waiting)
            self.plan.note("caller", "front", caller, self.now)
            self.plan.note("leaf", "leaf", leaf, self.now)
            caps = self.plan.caps("caller", self.now)
        return caps

    def test_with_room_nothing_is_limited(self):
        rates = {"pay": 10.0, "browse": 20.0}
        self.assertEqual(self.play(rates, 40, {"pay": 0.3, "browse": 0.3}), {})

    def test_the_least_important_route_gives_way(self):
        offered = {"pay": 60.0, "view": 50.0, "browse": 140.0}
        costs = {"pay": 0.32, "view": 0.064, "browse": 0.32}
        caps = self.play(offered, 57, costs)
        self.assertEqual(set(caps), {"browse"})
        room = 57 * TARGET - 60 * 0.32 - 50 * 0.064
        self.assertAlmostEqual(caps["browse"], room / 0.32, delta=2.0)

    def test_every_route_keeps_a_part(self):
        offered = {"pay": 300.0, "browse": 100.0}
        caps = self.play(offered, 57, {"pay": 0.32, "browse": 0.32})
        mean = (caps["browse"] + caps["pay"]) / 400
        self.assertGreater(caps["browse"] / 100, mean / 4)
        self.assertGreater(caps["browse"], 100 * KEPT * 0.4)

    def test_routes_that_do_not_use_the_tight_service_are_left_alone(self):
        offered = {"pay": 300.0, "view": 500.0}
        caps = self.play(offered, 57, {"pay": 0.32})
        self.assertEqual(set(caps), {"pay"})

    def test_calls_that_wait_lower_what_is_planned_for(self):
        offered = {"browse": 200.0}
        calm = self.play(offered, 57, {"browse": 0.32})["browse"]
        crowded = self.play(offered, 57, {"browse": 0.32}, waiting=50)["browse"]
        self.assertLess(crowded, calm)

    def test_a_new_leader_limits_nothing_before_it_has_heard_the_nodes(self):
        offered = {"browse": 100.0}
        self.play(offered, 40, {"browse": 0.3})
        self.plan.begin(self.now)
        caller = NodeLoad(offered, {}, 1000, 0)
        half = NodeLoad({}, {}, 0, 0)
        self.plan.note("caller", "front", caller, self.now + 0.3)
        self.plan.note("leaf", "leaf", half, self.now + 0.3)
        self.assertIsNone(self.plan.caps("caller", self.now + 0.3))
        self.assertEqual(self.plan.limits(), {})
        self.now += SETTLE_S
        self.assertEqual(self.play(offered, 40, {"browse": 0.3}), {})

    def test_calls_of_calls_count_at_the_service_they_reach(self):
        offered = {"browse": 100.0}
        runs = {"browse": RouteRuns(5, 1.0, {"fetch": 40}), "fetch": RouteRuns(10, 0.4, {})}
        caps = self.play(offered, 20, {}, runs=runs)
        self.assertAlmostEqual(caps["browse"], 20 * TARGET / (0.2 + 8 * 0.04), delta=0.5)

    def test_runs_that_failed_do_not_make_a_route_look_cheap(self):
        offered = {"browse": 100.0}
        before = self.play(offered, 20, {"browse": 0.5})
        self.assertEqual(self.play(offered, 20, {}, rounds=80), before)

    def test_calls_that_call_each_other_end(self):
        runs = {
            "browse": RouteRuns(5, 1.0, {"fetch": 5}),
            "fetch": RouteRuns(5, 1.0, {"browse": 5}),
        }
        self.assertIn("browse", self.play({"browse": 100.0}, 20, {}, runs=runs))

    def test_the_end_of_a_long_chain_counts(self):
        names = [f"r{number}" for number in range(12)]
        self.plan.set_document(document(ranks=dict.fromkeys(names, 1), service="leaf"))
        runs = {
            name: RouteRuns(10, 0.5, {below: 10})
            for name, below in zip(names, [*names[1:], "none"], strict=True)
        }
        caps = self.play({"r0": 100.0}, 20, {}, runs=runs)
        self.assertAlmostEqual(caps["r0"], 20 * TARGET / (12 * 0.05), delta=0.5)

    def test_a_deep_graph_with_many_ways_is_counted_in_time(self):
        names = [f"r{number}" for number in range(24)]
        self.plan.set_document(document(ranks=dict.fromkeys(names, 1), service="leaf"))
        runs = {
            name: RouteRuns(10, 0.1, dict.fromkeys(names[number + 1 :], 10))
            for number, name in enumerate(names)
        }
        caps = self.play({"r0": 100.0}, 20, {}, rounds=2, runs=runs)
        self.assertLess(caps["r0"], 100.0)

    def test_a_cheap_route_is_not_shut_out_by_a_dear_one_of_higher_rank(self):
        offered = {"pay": 400.0, "view": 20.0}
        caps = self.play(offered, 57, {"pay": 0.32, "view": 0.064})
        self.assertEqual(set(caps), {"pay"})

    def test_many_cheap_routes_do_not_take_the_room_of_the_important_one(self):
        views = {f"view{number}": 20.0 for number in range(30)}
        ranks = {"pay": 0, **dict.fromkeys(views, 1)}
        self.plan.set_document(document(ranks=ranks, service="leaf"))
        offered = {"pay": 60.0, **views}
        caps = self.play(offered, 40, {"pay": 0.32, **dict.fromkeys(views, 0.2)})
        self.assertNotIn("pay", caps)

    def test_nodes_that_are_silent_no_longer_count(self):
        rates = {"browse": 100.0}
        self.play(rates, 40, {"browse": 0.3})
        self.now += 10
        self.assertEqual(self.plan.caps("caller", self.now), {})

    def test_without_slots_the_plan_lets_only_free_routes_in(self):
        rates = {"browse": 100.0, "view": 10.0}
        self.play(rates, 40, {"browse": 0.3})
        caps = self.play(rates, 0, {"browse": 0.3})
        self.assertEqual(caps, {"browse": 0.0})


class TokenTests(unittest.TestCase):
    """Rates of customers."""

    def setUp(self):
        self.now = 100.0
        self.asked = []
        self.has_leader = True
        self.lots = TokenLots(lambda: self.now, self.ask)
        self.lots.set_document(document())

    def ask(self, wants):
        if self.has_leader:
            self.asked.append(wants)
        return self.has_leader

    def test_customers_without_a_rate_are_never_asked_about(self):
        self.lots.set_document(document(limited=False))
        self.assertEqual(self.lots.admit("shed"), 0.0)
        self.assertEqual(self.lots.admit("nobody"), 0.0)
        self.assertEqual(self.asked, [])

    def test_a_call_waits_for_the_first_tokens(self):
        self.assertIsNone(self.lots.admit("shed"))
        outcomes = []
        self.lots.wait("shed", outcomes.append)
        self.lots.on_grant({"shed": 2.0}, {})
        self.assertEqual(outcomes, [0.0])
        self.assertEqual(self.lots.admit("shed"), 0.0)

    def test_refusals_tell_when_there_will_be_tokens(self):
        self.lots.admit("shed")
        outcomes = []
        self.lots.wait("shed", outcomes.append)
        self.lots.on_grant({}, {"shed": 1.5})
        self.assertEqual(outcomes, [1.5])
        self.assertAlmostEqual(self.lots.admit("shed"), 1.5)

    def test_a_wait_that_nobody_answers_ends(self):
        self.lots.admit("shed")
        outcomes = []
        self.lots.wait("shed", outcomes.append)
        self.now += ANSWER_S + 0.01
        self.lots.sweep()
        self.assertEqual(len(outcomes), 1)
        self.assertGreater(outcomes[0], 0)

    def test_tokens_of_calls_that_did_not_run_are_used_again(self):
        self.lots.admit("shed")
        self.lots.on_grant({"shed": 1.0}, {})
        self.assertEqual(self.lots.admit("shed"), 0.0)
        self.lots.give_back("shed")
        self.assertEqual(self.lots.admit("shed"), 0.0)

    def test_without_a_leader_a_refusal_says_nothing_of_the_rate(self):
        self.lots.admit("shed")
        self.lots.on_grant({"shed": 1.0}, {})
        self.lots.admit("shed")
        self.has_leader = False
        self.now += FALLBACK_S + ANSWER_S + 1
        self.assertGreater(self.lots.admit("shed"), 0.0)
        self.assertFalse(self.lots.is_at_limit("shed"))
        self.lots.on_grant({}, {"shed": 1.0})
        self.assertTrue(self.lots.is_at_limit("shed"))

    def test_a_customer_that_was_not_short_keeps_its_own_rate_without_a_leader(self):
        for _ in range(40):
            self.now += 0.5
            if self.lots.admit("shed") is None:
                self.lots.on_grant({"shed": 1.0}, {})
                self.lots.admit("shed")
        self.has_leader = False
        refused = 0
        for _ in range(5):
            self.now += 0.5
            refused += self.lots.admit("shed") != 0.0
        self.assertEqual(refused, 0)

    def test_unused_tokens_go_back_to_the_leader(self):
        returned = []
        self.lots.put_back = lambda tokens: returned.append(tokens) or True
        self.lots.admit("shed")
        self.lots.on_grant({"shed": 3.0}, {})
        self.now += IDLE_S + 0.1
        self.lots.sweep()
        self.lots.sweep()
        self.assertEqual(returned, [{"shed": 3.0}])

    def test_without_a_leader_a_node_goes_on_at_its_rate_for_a_while(self):
        for _ in range(100):
            self.now += 0.1
            self.lots.admit("shed")
            self.lots.on_grant({"shed": 1.0}, {})
        self.has_leader = False
        began = self.now
        admitted = {"early": 0, "late": 0}
        while self.now < began + 2 * FALLBACK_S + 2:
            self.now += 0.05
            when = "early" if self.now < began + FALLBACK_S else "late"
            admitted[when] += self.lots.admit("shed") == 0.0
            self.lots.sweep()
        self.assertGreater(admitted["early"], 10)
        self.assertLessEqual(admitted["early"], 10 * FALLBACK_S + 10)
        self.assertLessEqual(admitted["late"], 5)

    @given(st.lists(st.tuples(st.floats(0, 0.4), st.integers(1, 30)), max_size=60))
    def test_the_desk_never_grants_more_than_the_rate(self, asks):
        desk = TokenDesk()
        now = 0.0
        desk.set_document(document(), False, now)
        desk.set_document(document(burst=1), True, now)
        total = 0.0
        for pause, want in asks:
            now += pause
            granted, wait_s = desk.grant({"shed": float(want)}, now)
            total += granted.get("shed", 0.0)
            self.assertTrue("shed" in granted or wait_s["shed"] > 0)
            self.assertLessEqual(total, 1 + 10.0 * now + 1e-6)

    def test_a_new_leader_starts_with_nothing_but_for_new_customers(self):
        desk = TokenDesk()
        desk.set_document(document(), True, 0.0)
        self.assertEqual(desk.grant({"shed": 5.0}, 0.0)[0], {})
        first = validate_document({}).value
        desk = TokenDesk()
        desk.set_document(first, True, 0.0)
        desk.set_document(document(), True, 0.0)
        self.assertEqual(desk.grant({"shed": 5.0}, 0.0)[0], {"shed": 5.0})


class ManyNodesTests(unittest.TestCase):
    """One customer whose calls come at many nodes, a few at each."""

    NODES = 190
    RATE = 40.0

    def setUp(self):
        self.now = 0.0
        rng = random.Random(1)
        doc = document(rate=self.RATE, burst=self.RATE)
        self.desk = TokenDesk()
        self.desk.set_document(validate_document({}).value, True, 0.0)
        self.desk.set_document(doc, True, 0.0)
        self.asked = []
        self.lots = []
        for _ in range(self.NODES):
            lots = TokenLots(lambda: self.now, lambda wants: False)
            lots.set_document(doc)
            self.lots.append(lots)
        for lots in self.lots:
            lots.ask = lambda wants, lots=lots: self.ask(lots, wants)
            lots.put_back = self.put_back
        self.rng = rng

    def ask(self, lots, wants):
        self.asked.append((lots, wants))
        return True

    def answer(self):
        """Lets the leader answer what has been asked."""
        while self.asked:
            lots, wants = self.asked.pop(0)
            lots.on_grant(*self.desk.grant(wants, self.now))

    def put_back(self, returned):
        self.desk.put_back(returned, self.now)
        return True

    def play(self, rate, seconds, gives_back=0.0):
        """Returns calls let in and refused."""
        let_in = refused = 0
        swept = 0.0
        end = self.now + seconds
        while self.now < end:
            self.now += self.rng.expovariate(rate)
            if self.now > swept + 0.1:
                swept = self.now
                for lots in self.lots:
                    lots.sweep()
            lots = self.rng.choice(self.lots)
            outcomes = []
            after_s = lots.admit("shed")
            if after_s is None:
                lots.wait("shed", outcomes.append)
                self.answer()
                after_s = outcomes[0]
            self.answer()
            let_in += after_s == 0.0
            refused += after_s > 0.0
            if after_s == 0.0 and self.rng.random() < gives_back:
                lots.give_back("shed")
                let_in -= 1
        return let_in, refused

    def test_a_customer_far_under_its_rate_is_never_refused(self):
        self.assertEqual(self.play(self.RATE / 2, 20.0)[1], 0)

    def test_tokens_of_calls_that_did_not_run_are_not_lost(self):
        self.assertEqual(self.play(self.RATE, 20.0, gives_back=0.5)[1], 0)

    def test_a_customer_over_its_rate_gets_its_rate(self):
        let_in, _ = self.play(4 * self.RATE, 20.0)
        self.assertLessEqual(let_in, self.RATE * 21 + 1)
        self.assertGreaterEqual(let_in, self.RATE * 21 * 0.95)


def report(name, address, incarnation=1, service="s"):
    """Returns a node's report."""
    return Report(name, "d", address, service, incarnation, 0, 0.0)


class RosterTests(unittest.TestCase):
    """The roster."""

    def test_a_machine_at_the_address_of_another_takes_its_place(self):
        book = RosterBook()
        self.assertTrue(book.note(report("old", "a:1", 1, "x"), 0.0))
        self.assertTrue(book.note(report("new", "a:1", 2, "y"), 1.0))
        self.assertEqual([entry.name for entry in book.entries()], ["new"])

    def test_the_late_farewell_of_an_earlier_process_changes_nothing(self):
        book = RosterBook()
        book.note(report("n", "a:1", 2), 0.0)
        self.assertFalse(book.drop(report("n", "a:1", 1)))
        self.assertTrue(book.drop(report("n", "a:1", 2)))

    def test_silent_nodes_go(self):
        book = RosterBook()
        book.note(report("n", "a:1"), 0.0)
        self.assertFalse(book.note(report("n", "a:1"), 1.0))
        self.assertEqual(book.expire(GONE_AFTER_S), [])
        self.assertEqual(book.expire(1.1 + GONE_AFTER_S), ["a:1"])


class StateTests(unittest.TestCase):
    """The published document."""

    def publish(self, ident, base, version):
        packed = pack(encode_document(document()))
        return Publish(ident, base, version, packed, pack(b"source %d" % version))

    def apply(self, state, command):
        import msgspec

        return state.apply(msgspec.msgpack.encode(command)).kind

    def test_one_of_two_on_the_same_base_wins(self):
        state = FleetState()
        self.assertIs(self.apply(state, self.publish(b"a", 0, 2)), VerdictKind.ACCEPTED)
        self.assertIs(self.apply(state, self.publish(b"b", 0, 2)), VerdictKind.CONFLICT)
        self.assertIs(self.apply(state, self.publish(b"b", 0, 5)), VerdictKind.CONFLICT)
        self.assertEqual((state.version, state.read_source()), (2, b"source 2"))

    def test_what_was_accepted_is_accepted_again_for_ever(self):
        state = FleetState()
        self.apply(state, self.publish(b"a", 0, 2))
        self.apply(state, self.publish(b"b", 2, 7))
        restored = FleetState()
        restored.restore(state.save())
        self.assertIs(self.apply(restored, self.publish(b"a", 0, 2)), VerdictKind.ACCEPTED)
        self.assertEqual(restored.version, 7)
        self.assertEqual(restored.decoded(), document())

    def test_versions_grow(self):
        state = FleetState()
        self.apply(state, self.publish(b"a", 0, 4))
        self.assertIs(self.apply(state, self.publish(b"b", 4, 4)), VerdictKind.CONFLICT)
        self.assertEqual(unpack_document(b""), validate_document({}).value)


class IdentityTests(unittest.TestCase):
    """Names of controllers."""

    def load(self, folder, is_first, seeds=("a:1", "b:1"), seed=1):
        return load_identity(Path(folder), Founding("a:1", seeds, is_first), random.Random(seed))

    def test_founders_know_each_other(self):
        with tempfile.TemporaryDirectory() as folder:
            identity = self.load(folder, True)
            self.assertEqual(identity.name, founder_name("a:1"))
            self.assertEqual(identity.first, {founder_name(seed): seed for seed in ("a:1", "b:1")})
            self.assertEqual(self.load(folder, False, seeds=("c:1",)), identity)

    def test_an_empty_folder_later_on_gets_a_new_name_and_founds_nothing(self):
        with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as two:
            first, second = self.load(one, False, seed=1), self.load(two, False, seed=2)
            self.assertNotEqual(first.name, second.name)
            self.assertNotEqual(first.name, founder_name("a:1"))
            self.assertEqual(first.first, {})

    def test_who_is_no_seed_founds_nothing(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(self.load(folder, True, seeds=("b:1", "c:1")).first, {})
