"""What becomes of requests under which upstreams have ended, on the way over two nodes."""

import asyncio

from marjoramvalve.retries import EndedRun, Standing, Suspicion, fingerprints
from tests.meshes import header_value, ok_response, respond_after, respond_immediately
from tests.test_mesh import MeshTestCase

HOLD_S = 60.0


def marks_of(target, route=b"read", customer=b"shed"):
    """Returns the fingerprints of a request, by default one of the tests' customer."""
    return fingerprints(route, customer, b"GET", target.encode(), b"")


class QuarantineTestCase(MeshTestCase):
    """Base of the tests with suspects."""

    def suspect(self, node, target, ends, route=b"read", customer=b"shed"):
        """Lets a node believe that upstreams have ended under a request."""
        now = asyncio.get_running_loop().time()
        marks = marks_of(target, route, customer)
        for number in range(ends):
            at = now - ends + number
            runs = [EndedRun(mark, 0.0, False) for mark in marks]
            node.quarantine.book.note_end(runs, at, HOLD_S)

    def standing(self, node, target):
        now = asyncio.get_running_loop().time()
        return node.quarantine.book.standing(marks_of(target), now)[0]


class HeldTests(QuarantineTestCase):
    """A request that is set aside."""

    def refuse_at(self, number):
        """Returns the answers to a request that the node of this number holds, and to another."""

        async def play():
            caller = await self.connect_pair(respond_immediately)
            self.suspect(self.bench.nodes[number], "/read/fatal", 3)
            held = await caller.request("/read/fatal", "a1")
            return held, await caller.request("/read/fine", "a2")

        (status, head, body), (other, _, _) = self.bench.run(play())
        self.assertEqual((status, other), (503, 200))
        self.assertIn(b'quarantined","run":"not-run"', body)
        self.assertGreater(float(header_value(head, "Retry-After")), HOLD_S / 2)
        self.assertEqual(len(self.received_requests), 1)

    def test_its_callers_node_refuses_it(self):
        self.refuse_at(0)

    def test_the_upstreams_node_refuses_it_where_the_callers_does_not_know(self):
        self.refuse_at(1)

    def test_it_takes_nothing_from_the_customers_rate(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            node = self.bench.nodes[0]
            asked = []
            node.egress._limiter.admit = lambda customer: asked.append(customer) or 0.0
            self.suspect(node, "/read/fatal", 3)
            await caller.request("/read/fatal", "a1")
            return asked

        self.assertEqual(self.bench.run(play()), [])

    def test_one_that_waits_for_a_slot_is_refused_when_its_turn_comes(self):
        release = asyncio.Event()

        async def play():
            caller = await self.connect_pair(respond_after(release), slots=1)
            other = await self.bench.connect_caller(self.bench.nodes[0])
            caller.send("/read/fine", "a1")
            node = self.bench.nodes[1]
            while not node.ingress.running:
                await asyncio.sleep(0.005)
            node.ingress.service_times.note(b"read", 0.01)
            other.send("/read/fatal", "a2")
            while not node.ingress.load[1]:
                await asyncio.sleep(0.005)
            self.suspect(node, "/read/fatal", 3)
            release.set()
            return (await caller.read_response())[0], (await other.read_response())[0]

        self.assertEqual(self.bench.run(play()), (200, 503))
        self.assertEqual(len(self.received_requests), 1)


class WatchedTests(QuarantineTestCase):
    """A request under which two upstreams have ended."""

    def test_it_runs_alone_among_the_watched_ones(self):
        release = asyncio.Event()

        async def play():
            caller = await self.connect_pair(respond_after(release))
            node = self.bench.nodes[1]
            for target in ("/read/one", "/read/two"):
                self.suspect(node, target, 2)
            others = [await self.bench.connect_caller(self.bench.nodes[0]) for _ in range(2)]
            caller.send("/read/one", "a1")
            while not node.ingress.running:
                await asyncio.sleep(0.005)
            second = await others[0].request("/read/two", "a2")
            others[1].send("/read/fine", "a3")
            release.set()
            return (
                (await caller.read_response())[0],
                second[0],
                (await others[1].read_response())[0],
            )

        self.assertEqual(self.bench.run(play()), (200, 503, 200))

    def test_many_of_the_same_run_at_once(self):
        release = asyncio.Event()

        async def play():
            caller = await self.connect_pair(respond_after(release))
            node = self.bench.nodes[1]
            self.suspect(node, "/read/one", 2)
            others = [caller, await self.bench.connect_caller(self.bench.nodes[0])]
            for number, other in enumerate(others):
                other.send("/read/one", f"a{number}")
            while len(node.ingress.running) < 2:
                await asyncio.sleep(0.005)
            release.set()
            return [(await other.read_response())[0] for other in others]

        self.assertEqual(self.bench.run(play()), [200, 200])

    def test_its_answer_clears_it(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            node = self.bench.nodes[1]
            told = []
            node.quarantine.on_cleared = told.append
            self.suspect(node, "/read/one", 2)
            status, _, _ = await caller.request("/read/one", "a1")
            return status, self.standing(node, "/read/one"), told

        outcome = self.bench.run(play())
        self.assertEqual(outcome, (200, Standing.FREE, [marks_of("/read/one")]))

    def test_an_upstream_that_has_answered_it_lately_speaks_for_it(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            node = self.bench.nodes[1]
            told = []
            node.quarantine.on_cleared = told.append
            await caller.request("/read/one", "a1")
            now = asyncio.get_running_loop().time()
            marks = marks_of("/read/one") + marks_of("/read/two")
            node.quarantine.learn([Suspicion(mark, 2, 60.0, 0) for mark in marks], [], now)
            return set(told[0]), self.standing(node, "/read/one"), self.standing(node, "/read/two")

        told, one, two = self.bench.run(play())
        self.assertEqual(told, set(marks_of("/read/one")))
        self.assertEqual((one, two), (Standing.FREE, Standing.WATCHED))

    def ends(self, number_of_ends):
        """Asks for a fatal request at a service of two upstreams; returns how many have ended."""
        ended = []

        async def fatal(request, writer):
            upstream = next(u for u in self.bench.upstreams if request in u.requests[-1:])
            ended.append(upstream)
            upstream.crash()

        async def play():
            front = await self.bench.add_node(respond_immediately, service="front")
            for _ in range(2):
                await self.bench.add_node(fatal)
            await self.bench.connect_nodes()
            caller = await self.bench.connect_caller(front)
            self.suspect(front, "/read/fatal", number_of_ends)
            return (await caller.request("/read/fatal", "a1"))[0]

        return self.bench.run(play()), len(ended)

    def test_what_fails_for_the_first_time_is_tried_once_more(self):
        self.assertEqual(self.ends(0), (502, 2))

    def test_it_is_not_tried_once_more(self):
        self.assertEqual(self.ends(2), (502, 1))


class SubCallTests(QuarantineTestCase):
    """A request that an upstream makes for another one."""

    def test_it_is_refused_at_once_and_its_parent_goes_on(self):
        async def play():
            answers = []

            async def parent(request, writer):
                caller = await self.bench.connect_caller(self.bench.nodes[1])
                attempt = f"{header_value(request, 'Marjoramvalve-Request-Id')}.1"
                answers.append((await caller.request("/open/fatal", attempt, key=""))[0])
                writer.write(ok_response(request))

            caller = await self.connect_pair(parent)
            self.suspect(self.bench.nodes[1], "/open/fatal", 3, b"open", b"")
            status, _, _ = await caller.request("/read/parent", "a1")
            return status, answers

        self.assertEqual(self.bench.run(play()), (200, [503]))
