"""What a call leaves in memory once it has ended, whatever way it ended."""

import asyncio
import contextlib
import gc

from marjoramvalve.h1 import IncomingRequest
from marjoramvalve.h1.callers import CallerConnection
from marjoramvalve.h1.upstreams import Exchange, UpstreamConnection
from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.jobs import Job
from marjoramvalve.mesh.sessions import SWEEP_INTERVAL_S
from tests.meshes import make_document, ok_response, reset_connection
from tests.test_mesh import MeshTestCase

TYPES = (Call, CallerConnection, Exchange, IncomingRequest, Job, UpstreamConnection)


def list_objects():
    """Returns the objects of calls that exist, those that only the collector can free included."""
    return [item for item in gc.get_objects() if isinstance(item, TYPES)]


class FreedCallTests(MeshTestCase):
    """An ended call is freed at once, and doesn't wait for its deadline or for the collector."""

    def setUp(self):
        super().setUp()
        gc.collect()
        self.others = list_objects()  # Other tests of the process may still refer to theirs.
        gc.disable()
        self.addCleanup(gc.enable)

    def count_objects(self):
        """Returns how many objects of the calls of this test exist, by type."""
        others = {id(item) for item in self.others}
        names = [type(item).__name__ for item in list_objects() if id(item) not in others]
        return {name: names.count(name) for name in set(names)}

    def check_freed(self, respond, send, slots=4):
        """Lets `send` use a caller, closes it, and checks that nothing of its calls is left."""
        doc = make_document(
            read={"deadline_ms": 60_000, "objective_ms": 60_000},
            order={"deadline_ms": 60_000, "objective_ms": 60_000},
        )

        async def play():
            caller = await self.connect_pair(respond, slots=slots, doc=doc)
            await send(caller)
            caller.writer.transport.abort()
            for node in self.bench.nodes:
                node.ingress.pool.close()
            await asyncio.sleep(0.3)  # The ingress waits a little longer than the egress.
            objects = self.count_objects()
            await asyncio.sleep(SWEEP_INTERVAL_S + 0.2)  # Until outcomes are acknowledged.
            return objects, [node.memory.used_bytes for node in self.bench.nodes]

        self.assertEqual(self.bench.run(play()), ({}, [0, 0]))

    def check_requests(self, respond, status, **options):
        async def send(caller):
            for number in range(5):
                response = await caller.request("/order/", f"a{number}", method="POST", **options)
                self.assertEqual(response[0], status)

        self.check_freed(respond, send)

    async def answer(self, request, writer):
        writer.write(ok_response(request))

    async def answer_at_length(self, request, writer):
        writer.write(ok_response(request, b"x" * 300_000))

    async def reset(self, request, writer):
        reset_connection(writer)

    async def shed(self, request, writer):
        writer.write(
            ok_response(request, extra="Marjoramvalve-Run: not-run\r\n").replace(b"200", b"503", 1)
        )

    async def never_answer(self, request, writer):
        await asyncio.sleep(3600)

    def test_answered(self):
        self.check_requests(self.answer, 200, body="x" * 65_000)

    def test_answered_at_length(self):
        self.check_requests(self.answer_at_length, 200, body="x" * 300_000)

    def test_failed(self):
        self.check_requests(self.reset, 502, body="x" * 65_000)

    def test_shed(self):
        self.check_requests(self.shed, 503, body="x" * 65_000)

    def test_expired(self):
        extra = "Marjoramvalve-Deadline-Ms: 50\r\n"
        self.check_requests(self.never_answer, 504, extra=extra, body="x" * 65_000)

    def test_left_by_their_callers(self):
        async def send(caller):
            for number in range(20):  # Most of them wait for a slot.
                caller.send("/read/", f"a{number}", body="x" * 3000, method="PUT")
            await asyncio.sleep(0.2)

        self.check_freed(self.never_answer, send)

    def test_left_while_their_orders_run(self):
        async def answer_late(request, writer):
            await asyncio.sleep(0.3)
            writer.write(ok_response(request, b"x" * 300_000))

        async def send(caller):
            for number in range(4):
                other = await self.bench.connect_caller(self.bench.nodes[0])
                other.send("/order/", f"a{number}", body="x" * 300_000, method="POST")
                await asyncio.sleep(0.05)
                other.writer.transport.abort()
            await asyncio.sleep(0.5)

        self.check_freed(answer_late, send)

    def test_not_read_by_their_callers(self):
        async def send(caller):
            caller.writer.transport.pause_reading()
            for number in range(50):
                caller.send("/read/", f"a{number}")
            await asyncio.sleep(0.2)

        self.check_freed(self.answer_at_length, send, slots=64)

    def test_waiting_for_a_slow_one(self):
        async def answer_first_late(request, writer):
            if " /read/slow" in request:
                await asyncio.sleep(3600)
            writer.write(ok_response(request, b"x" * 15_000))

        async def send(caller):
            caller.send("/read/slow", "a0")
            for number in range(1, 50):
                caller.send("/read/", f"a{number}")
            await asyncio.sleep(0.2)

        self.check_freed(answer_first_late, send, slots=64)

    def test_unfinished(self):
        async def send(caller):
            caller.writer.write(b"PUT /read/ HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx")
            await asyncio.sleep(0.1)

        self.check_freed(self.answer, send)

    def test_malformed(self):
        async def send(caller):
            caller.writer.write(b"PUT /read/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
            with contextlib.suppress(asyncio.IncompleteReadError):
                await caller.read_response()

        self.check_freed(self.answer, send)
