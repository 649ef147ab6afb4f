"""Orders, requests under an idempotency key: records, replication, and what callers get."""

import asyncio
import random
import unittest
import unittest.mock

from marjoramvalve.fleet.messages import FrameKind, OrderReply, decode
from marjoramvalve.fleet.orders import (
    BEGIN_TIMEOUT_S,
    MAX_PENDING_ORDERS,
    RETRY_INTERVAL_S,
    OrderClient,
)
from marjoramvalve.fleet.states import (
    BeginOrder,
    FinishOrder,
    FleetState,
    WithdrawOrder,
    encode_order_command,
)
from marjoramvalve.idempotency import (
    MAX_ANSWER_BYTES,
    Order,
    OrderOutcome,
    OrderStore,
    OrderVerdict,
)
from tests.meshes import REQUEST_ID, header_value, ok_response, respond_after, respond_immediately
from tests.test_mesh import MeshTestCase

RETENTION_S = 60.0
KEY = 'Idempotency-Key: "order-7"\r\n'
POST = {"method": "POST", "body": "planks", "extra": KEY}


def order(owner: bytes, scope: bytes = b"s", digest: bytes = b"d") -> Order:
    """Returns an attempt at an order, by default always the same order."""
    return Order(scope, digest, owner)


class OrderBookTests(unittest.TestCase):
    """What a record allows its order to do."""

    def setUp(self):
        self.store = OrderStore()

    def begin(self, owner, now=0.0, **parts):
        return self.store.begin(order(owner, **parts), now, RETENTION_S).verdict

    def test_only_the_first_attempt_starts(self):
        self.assertIs(self.begin(b"a"), OrderVerdict.STARTED)
        self.assertIs(self.begin(b"a"), OrderVerdict.STARTED)
        self.assertIs(self.begin(b"b"), OrderVerdict.RUNNING)
        self.assertIs(self.begin(b"b", digest=b"other"), OrderVerdict.REUSED)

    def test_the_stored_answer_is_returned(self):
        self.begin(b"a")
        self.store.finish(order(b"a"), b"receipt")
        found = self.store.begin(order(b"b"), 0.0, RETENTION_S)
        self.assertEqual(found, OrderOutcome(OrderVerdict.DONE, b"receipt"))

    def test_only_the_owner_finishes_or_withdraws_an_order(self):
        self.begin(b"a")
        self.store.withdraw(order(b"b"))
        self.store.finish(order(b"b"), b"wrong")
        self.assertIs(self.begin(b"c"), OrderVerdict.RUNNING)
        self.store.withdraw(order(b"a"))
        self.assertIs(self.begin(b"c"), OrderVerdict.STARTED)

    def test_a_finished_order_stays_finished(self):
        self.begin(b"a")
        self.store.finish(order(b"a"), b"receipt")
        self.store.withdraw(order(b"a"))
        self.store.finish(order(b"a"), b"another")
        found = self.store.begin(order(b"b"), 0.0, RETENTION_S)
        self.assertEqual(found, OrderOutcome(OrderVerdict.DONE, b"receipt"))

    def test_records_expire_after_the_retention(self):
        self.begin(b"a")
        self.assertIs(self.begin(b"b", RETENTION_S - 1), OrderVerdict.RUNNING)
        self.assertIs(self.begin(b"b", RETENTION_S), OrderVerdict.STARTED)

    def test_the_time_of_the_store_never_decreases(self):
        self.begin(b"a", 10.0)
        self.begin(b"x", 0.0, scope=b"t")
        self.assertIs(self.begin(b"y", 10.0 + RETENTION_S - 1, scope=b"t"), OrderVerdict.RUNNING)

    def test_large_answers_are_dropped_but_the_order_stays_finished(self):
        self.begin(b"a")
        self.store.finish(order(b"a"), bytes(MAX_ANSWER_BYTES + 1))
        found = self.store.begin(order(b"b"), 0.0, RETENTION_S)
        self.assertEqual(found, OrderOutcome(OrderVerdict.DONE))

    def test_a_full_store_starts_no_order_and_drops_no_record(self):
        store = OrderStore(0.0, ())
        with unittest.mock.patch("marjoramvalve.idempotency.orders.MAX_RECORDS", 2):
            for scope in (b"1", b"2"):
                store.begin(order(b"a", scope), 0.0, RETENTION_S)
            third = store.begin(order(b"a", b"3"), 0.0, RETENTION_S)
            first = store.begin(order(b"b", b"1"), 0.0, RETENTION_S)
        self.assertEqual((third.verdict, first.verdict), (OrderVerdict.FULL, OrderVerdict.RUNNING))


class WithoutOwnerCheck(OrderStore):
    """A faulty store: anyone may withdraw a running order."""

    @staticmethod
    def _is_running(known, order):
        return known is not None and not known.done


class WithoutRunningCheck(OrderStore):
    """A faulty store: a started record doesn't keep other attempts from starting."""

    def look_up(self, order):
        found = super().look_up(order)
        return None if found and found.verdict is OrderVerdict.RUNNING else found


def simulate_history(seed: int, store_class=OrderStore) -> int:
    """Returns the most runs of one order, when messages are lost, delayed and repeated.

    An attempt runs as soon as it learns that it may start, however late, unless it has given up
    before; then it withdraws. Some steps save the state and restore it from the snapshot.
    """
    rng = random.Random(seed)
    state = FleetState()
    state.orders = store_class()
    runs: dict[bytes, int] = {}
    given_up: set[Order] = set()
    sent: list[tuple[Order, bytes]] = []
    attempts = [
        Order(b"%d" % rng.randrange(3), b"d", b"%d" % number) for number in range(rng.randrange(30))
    ]
    for item in attempts:
        sent += [(item, encode_order_command(BeginOrder(item, 0.0, RETENTION_S)))] * rng.randrange(
            1, 3
        )
    while sent:
        item, data = sent.pop(rng.randrange(len(sent)))
        outcome = state.apply(data)
        if rng.random() < 0.1:
            saved = state.save()
            state = FleetState()
            state.restore(saved)
            state.orders = store_class(state.orders.now, state.orders.records())
        if item.owner in runs or item in given_up:
            continue
        if outcome.verdict is OrderVerdict.STARTED:
            if rng.random() < 0.3:
                given_up.add(item)
                sent.append((item, encode_order_command(WithdrawOrder(item))))
            else:
                runs[item.owner] = 1
                if rng.random() < 0.6:
                    sent.append((item, encode_order_command(FinishOrder(item, b"receipt"))))
        elif outcome.verdict is OrderVerdict.RUNNING and rng.random() < 0.3:
            given_up.add(item)
            sent.append((item, encode_order_command(WithdrawOrder(item))))
    by_scope: dict[bytes, int] = {}
    for item in attempts:
        by_scope[item.scope] = by_scope.get(item.scope, 0) + runs.get(item.owner, 0)
    return max(by_scope.values(), default=0)


class HistoryTests(unittest.TestCase):
    """Random histories of attempts at a few orders, checked for duplicate runs."""

    def test_no_order_runs_twice(self):
        self.assertLessEqual(max(simulate_history(seed) for seed in range(300)), 1)

    def test_most_histories_run_orders(self):
        self.assertGreater(sum(simulate_history(seed) for seed in range(300)), 200)

    def test_a_store_without_a_check_runs_an_order_twice(self):
        for store_class in (WithoutOwnerCheck, WithoutRunningCheck):
            with self.subTest(store_class.__name__):
                self.assertGreater(
                    max(simulate_history(seed, store_class) for seed in range(300)), 1
                )


class AskerTests(unittest.TestCase):
    """A node that sends requests to a leader that may not reply."""

    def setUp(self):
        self.now = 0.0
        self.sent = []
        self.outcomes = []
        self.asker = OrderClient(lambda: self.now, self.send)

    def send(self, kind, payload):
        self.sent.append((kind, decode(kind, payload)))
        return True

    def reply(self, verdict, owner=b"a"):
        self.asker.on_reply(OrderReply(owner, OrderOutcome(verdict)))

    def test_requests_are_repeated_until_the_leader_replies(self):
        self.asker.begin(order(b"a"), self.outcomes.append)
        self.now += RETRY_INTERVAL_S
        self.asker.sweep()
        self.reply(OrderVerdict.STARTED)
        self.reply(OrderVerdict.STARTED)
        self.now += RETRY_INTERVAL_S
        self.asker.sweep()
        self.assertEqual([kind for kind, _ in self.sent], [FrameKind.ORDER_BEGIN] * 2)
        self.assertEqual([item.verdict for item in self.outcomes], [OrderVerdict.STARTED])

    def test_a_silent_leader_is_given_up(self):
        self.asker.begin(order(b"a"), self.outcomes.append)
        self.now += BEGIN_TIMEOUT_S
        self.asker.sweep()
        self.assertEqual([item.verdict for item in self.outcomes], [OrderVerdict.UNREACHED])
        self.assertEqual(len(self.asker), 0)

    def test_a_late_reply_to_begin_does_not_end_the_withdrawal(self):
        self.asker.begin(order(b"a"), self.outcomes.append)
        self.asker.withdraw(order(b"a"))
        self.reply(OrderVerdict.STARTED)
        self.assertEqual((len(self.asker), self.outcomes), (1, []))
        self.reply(OrderVerdict.ENDED)
        self.assertEqual(len(self.asker), 0)

    def test_the_number_of_open_requests_is_bounded(self):
        for number in range(MAX_PENDING_ORDERS + 1):
            self.asker.begin(order(b"%d" % number), self.outcomes.append)
        self.assertEqual([item.verdict for item in self.outcomes], [OrderVerdict.UNREACHED])


class CallerTests(MeshTestCase):
    """Responses to callers that resend an order, to the same node or to another one."""

    def send_twice(self, play=respond_immediately, first=POST, second=POST, target="/order/"):
        async def run():
            await self.connect_pair(play)
            other = await self.bench.add_node(respond_immediately, service="front")
            await self.bench.connect_nodes()
            one = await self.bench.connect_caller(self.bench.nodes[0])
            two = await self.bench.connect_caller(other)
            return await one.request(target, "a1", **first), await two.request(
                target, "a2", **second
            )

        return self.bench.run(run())

    def test_a_resend_to_another_node_gets_the_stored_answer(self):
        first, second = self.send_twice()
        self.assertEqual((first[0], second[0]), (200, 200))
        self.assertEqual(second[2], first[2])
        self.assertEqual(header_value(second[1], REQUEST_ID), "a2")
        self.assertEqual(header_value(second[1], "Marjoramvalve-Replayed"), "1")
        self.assertIsNone(header_value(first[1], "Marjoramvalve-Replayed"))
        self.assertEqual(len(self.received_requests), 1)
        self.assertEqual(header_value(self.received_requests[0], "Idempotency-Key"), '"order-7"')

    def test_a_different_request_under_the_same_key_is_refused(self):
        _, (status, _, body) = self.send_twice(second={**POST, "body": "beams"})
        self.assertEqual((status, b"not-run" in body), (422, True))
        self.assertEqual(len(self.received_requests), 1)

    def test_a_malformed_key_is_refused(self):
        malformed = {**POST, "extra": 'Idempotency-Key: "half\r\n'}
        _, (status, _, _) = self.send_twice(second=malformed)
        self.assertEqual(status, 400)

    def test_repeatable_requests_need_no_record(self):
        self.send_twice(target="/read/")
        self.assertEqual((len(self.received_requests), len(self.bench.orders.store)), (2, 0))

    def test_an_order_whose_connection_broke_is_not_run_again(self):
        async def close_connection(request, writer):
            writer.close()

        first, (status, _, body) = self.send_twice(play=close_connection)
        self.assertEqual((first[0], status), (502, 409))
        self.assertIn(b"unknown", body)
        self.assertEqual(len(self.received_requests), 1)

    def test_a_refused_order_may_be_sent_again(self):
        async def run():
            one = await self.connect_pair(respond_immediately)
            self.bench.set_upstream_state(self.bench.nodes[1], "i-n1", ready=False)
            while any(peer.usable for peer in self.bench.nodes[0].egress.peers.for_service("s")):
                await asyncio.sleep(0.005)
            refused = await one.request("/order/", "a1", **POST)
            self.bench.set_upstream_state(self.bench.nodes[1], "i-n1")
            while not any(
                peer.usable for peer in self.bench.nodes[0].egress.peers.for_service("s")
            ):
                await asyncio.sleep(0.005)
            return refused[0], (await one.request("/order/", "a2", **POST))[0]

        self.assertEqual(self.bench.run(run()), (503, 200))
        self.assertEqual(len(self.received_requests), 1)

    def test_the_answer_is_stored_for_a_caller_that_disconnected(self):
        async def run():
            release = asyncio.Event()
            one = await self.connect_pair(respond_after(release))
            node = self.bench.nodes[0]
            one.send("/order/", "a1", **POST)
            while not self.received_requests:
                await asyncio.sleep(0.005)
            one.writer.close()
            while node.callers.connections:
                await asyncio.sleep(0.005)
            while_running = await (await self.bench.connect_caller(node)).request(
                "/order/", "a2", **POST
            )
            release.set()
            while node.egress.active_calls:
                await asyncio.sleep(0.005)
            later = await (await self.bench.connect_caller(node)).request("/order/", "a3", **POST)
            return while_running[0], later[0], later[2]

        self.assertEqual(self.bench.run(run()), (409, 200, b"fine"))
        self.assertEqual(len(self.received_requests), 1)

    def test_without_a_leader_nothing_is_sent_and_a_late_start_is_withdrawn(self):
        async def run():
            one = await self.connect_pair(respond_immediately)
            orders = self.bench.orders
            orders.is_reachable = False
            one.send("/order/", "a1", **POST)
            while not orders.pending:
                await asyncio.sleep(0.005)
            item, on_outcome = orders.pending.pop()
            orders.store.begin(item, 0.0, RETENTION_S)
            on_outcome(OrderOutcome(OrderVerdict.UNREACHED))
            status, head, body = await one.read_response()
            orders.is_reachable = True
            again = await one.request("/order/", "a2", **POST)
            return (
                status,
                header_value(head, "Retry-After") is not None,
                b"not-run" in body,
                again[0],
            )

        self.assertEqual(self.bench.run(run()), (503, True, True, 200))
        self.assertEqual(len(self.received_requests), 1)

    def test_a_start_after_the_caller_disconnected_is_withdrawn(self):
        async def run():
            one = await self.connect_pair(respond_immediately)
            orders = self.bench.orders
            orders.is_reachable = False
            one.send("/order/", "a1", **POST)
            while not orders.pending:
                await asyncio.sleep(0.005)
            one.writer.close()
            while self.bench.nodes[0].callers.connections:
                await asyncio.sleep(0.005)
            item, on_outcome = orders.pending.pop()
            on_outcome(orders.store.begin(item, 0.0, RETENTION_S))
            return len(orders.store), self.bench.nodes[0].egress.active_calls

        self.assertEqual(self.bench.run(run()), (0, 0))
        self.assertEqual(self.received_requests, [])

    def test_a_stored_answer_has_its_complete_body(self):
        async def large(request, writer):
            writer.write(ok_response(request, b"x" * 9_000))

        first, second = self.send_twice(play=large)
        self.assertEqual((second[2], len(second[2])), (first[2], 9_000))
