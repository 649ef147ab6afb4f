"""How an ingress tells the end of its upstream from other breaks."""

import asyncio
import unittest

from marjoramvalve.mesh.ends import REFUSED_S, REPLACED_S, BrokenRun, EndWatch
from marjoramvalve.retries import fingerprints
from tests.meshes import reset_connection
from tests.test_mesh import MeshTestCase


class EndTests(MeshTestCase):
    """Breaks under two requests at work, on loopback sockets."""

    async def break_both(self, breaks, before=lambda: None):
        """Returns the node whose upstream had two requests at work when `breaks` broke them."""
        at_work = []

        async def play(request, writer):
            at_work.append(writer)
            if len(at_work) == 2:
                before()
                breaks(at_work)
            await asyncio.sleep(5.0)

        caller = await self.connect_pair(play)
        node = self.bench.nodes[1]
        other = await self.bench.connect_caller(self.bench.nodes[0])
        caller.send("/order/1", "a1")
        other.send("/order/2", "a2")
        answers = [(await caller.read_response())[0], (await other.read_response())[0]]
        self.assertEqual(answers, [502, 502])
        while node.ingress._is_checking_listener:
            await asyncio.sleep(0.005)
        return node

    def end(self, writers):
        self.bench.upstreams[1].crash()

    def reset(self, writers):
        for writer in writers:
            reset_connection(writer)

    def spoil(self, writers):
        for writer in writers:
            writer.write(b"no answer at all\r\n\r\n")

    def ends(self, breaks):
        return self.bench.run(self.break_both(breaks)).ingress.upstream_exits

    def test_an_upstream_that_ends_counts_once(self):
        self.assertEqual(self.ends(self.end), 1)

    def test_connections_that_are_reset_are_no_end(self):
        self.assertEqual(self.ends(self.reset), 0)

    def test_spoiled_answers_are_no_end(self):
        self.assertEqual(self.ends(self.spoil), 0)

    def test_an_upstream_that_leaves_may_end(self):
        async def play():
            def leave():
                self.bench.set_upstream_state(self.bench.nodes[1], "i-n1", ready=False)

            return (await self.break_both(self.end, leave)).ingress.upstream_exits

        self.assertEqual(self.bench.run(play()), 0)

    def test_an_upstream_that_is_back_at_once_shows_by_its_new_start(self):
        async def play():
            node = await self.break_both(self.reset)
            before = node.ingress.upstream_exits
            self.bench.set_upstream_state(node, "i-n1", started_at_ms=2)
            return before, node.ingress.upstream_exits

        self.assertEqual(self.bench.run(play()), (0, 1))


class WatchTests(unittest.TestCase):
    """Which runs an end is taken to have broken."""

    def setUp(self):
        self.watch = EndWatch()
        self.broken = BrokenRun(b"a1", (b"f",), 1.0, 5.0, False)
        self.watch.note(self.broken)

    def test_runs_are_given_once(self):
        self.assertEqual(self.watch.take_refused(5.0), [self.broken])
        self.assertEqual(self.watch.take_refused(5.0), [])

    def test_older_breaks_are_left_out(self):
        self.assertEqual(self.watch.take_refused(5.0 + REFUSED_S + 0.1), [])
        self.watch.note(self.broken)
        self.assertEqual(self.watch.take_replaced(5.0 + REPLACED_S - 0.1), [self.broken])


class FingerprintTests(MeshTestCase):
    """What makes two requests the same."""

    def test_route_customer_method_path_and_body_tell_requests_apart(self):
        request = [b"read", b"shed", b"GET", b"/read/1", b"body"]
        found = {fingerprints(*request)}
        for place in range(len(request)):
            other = [*request[:place], request[place] + b"x", *request[place + 1 :]]
            found.add(fingerprints(*other))
        self.assertEqual(len(found), 6)

    def test_the_path_alone_is_one_fingerprint_and_with_its_query_another(self):
        plain = fingerprints(b"read", b"shed", b"GET", b"/read/1", b"")
        asked = fingerprints(b"read", b"shed", b"GET", b"/read/1?q=1", b"")
        other = fingerprints(b"read", b"shed", b"GET", b"/read/1?q=2", b"")
        self.assertEqual({plain[0], asked[0], other[0]}, {plain[0]})
        self.assertEqual(len({plain[0], plain[1], asked[1], other[1]}), 4)

    def test_an_ingress_finds_them_in_what_it_sent(self):
        marks = []

        async def play():
            async def gone(request, writer):
                writer.close()

            caller = await self.connect_pair(gone)
            ingress = self.bench.nodes[1].ingress
            ingress._exit_detector.note = lambda run: marks.append(run.fingerprints)
            await caller.request("/order/1?q=1", "a1", method="POST", body="hello")

        self.bench.run(play())
        wanted = fingerprints(b"order", b"shed", b"POST", b"/order/1?q=1", b"hello")
        self.assertEqual(marks, [wanted])
