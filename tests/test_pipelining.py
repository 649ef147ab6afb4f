"""Callers that send requests ahead of the responses to earlier ones."""

import asyncio
import random

from marjoramvalve.h1.callers import (
    MAX_HELD_BYTES,
    MAX_HELD_BYTES_IN_TOTAL,
    MAX_PIPELINED,
    SLICE_BYTES,
)
from marjoramvalve.h1.servers import MAX_UNSENT_BYTES_IN_TOTAL
from tests.meshes import REQUEST_ID, header_value, make_document, ok_response
from tests.test_mesh import MeshTestCase

MIN_REQUEST_BYTES = 60
MAX_IN_PROGRESS = MAX_PIPELINED + SLICE_BYTES // MIN_REQUEST_BYTES


class PipeliningTests(MeshTestCase):
    """Requests that wait for the response to an earlier one on their connection."""

    def setUp(self):
        super().setUp()
        self.blocked = asyncio.Event()
        self.doc = make_document(
            read={"deadline_ms": 5000, "objective_ms": 5000},
            order={"deadline_ms": 5000, "objective_ms": 5000},
        )

    async def respond(self, request, writer):
        """Answers requests for a path that begins with `/read/slow` once they are released."""
        if " /read/slow" in request:
            await self.blocked.wait()
        writer.write(ok_response(request, header_value(request, REQUEST_ID).encode()))

    async def connect(self, slots=80):
        return await self.connect_pair(self.respond, slots=slots, doc=self.doc)

    @property
    def connections(self):
        return list(self.bench.nodes[0].callers.connections)

    async def read_until_close(self, caller):
        """Returns the statuses of all responses up to the one that closes the connection."""
        statuses = []
        while True:
            status, head, _ = await caller.read_response()
            statuses.append(status)
            if header_value(head, "Connection") == "close":
                return statuses

    async def read_all(self, caller, count):
        """Returns the statuses and bodies of so many responses."""
        responses = []
        for _ in range(count):
            status, _, body = await caller.read_response()
            responses.append((status, body.decode()))
        return responses

    def send_ahead(self, count, method="GET"):
        """Returns the responses to a slow request and to those sent behind it."""

        async def play():
            caller = await self.connect()
            caller.send("/read/slow", "a0")
            for number in range(1, count):
                caller.send("/read/fast", f"a{number}", method=method)
            await asyncio.sleep(0.2)
            in_progress = [len(conn._pending) for conn in self.connections]
            self.blocked.set()
            return max(in_progress), await self.read_all(caller, count)

        return self.bench.run(play())

    def test_connection_with_many_waiting_requests_does_not_hang(self):
        for count in (64, 65, 66, 400, 3000):
            with self.subTest(count):
                in_progress, responses = self.send_ahead(count)
                self.assertEqual(responses, [(200, f"a{number}") for number in range(count)])
                self.assertLessEqual(in_progress, MAX_IN_PROGRESS)
                self.doCleanups()
                self.setUp()

    def test_requests_with_bodies_wait_in_order(self):
        async def play():
            caller = await self.connect()
            rng = random.Random(1)
            caller.send("/read/slow", "a0")
            for number in range(1, 300):
                method = rng.choice(("GET", "POST", "PUT", "DELETE"))
                body = "x" * rng.choice((1, 100, 20_000)) if method in ("POST", "PUT") else ""
                path = rng.choice(("/read/fast", "/order/fast", "/none/"))
                caller.send(path, f"a{number}", method=method, body=body)
                if rng.random() < 0.05:
                    await asyncio.sleep(0.01)
            self.blocked.set()
            return await self.read_all(caller, 300)

        responses = self.bench.run(play())
        bodies = [body if status == 200 else None for status, body in responses]
        self.assertEqual({status for status, _ in responses}, {200, 404})
        self.assertEqual(
            [f"a{number}" if body else None for number, body in enumerate(bodies)], bodies
        )

    def test_deadline_counts_from_the_arrival_of_a_request_that_waits(self):
        async def play():
            caller = await self.connect()
            caller.send("/read/slow", "a0")
            for number in range(1, 400):
                extra = "Marjoramvalve-Deadline-Ms: 3000\r\n"
                caller.send("/read/fast", f"a{number}", extra=extra)
            await asyncio.sleep(0.5)
            self.blocked.set()
            return await self.read_all(caller, 400)

        responses = self.bench.run(play())
        self.assertEqual({status for status, _ in responses}, {200})
        last = next(item for item in self.received_requests if f"{REQUEST_ID}: a399\r" in item)
        self.assertLess(int(header_value(last, "Marjoramvalve-Deadline-Ms")), 2600)

    def test_disconnect_of_a_caller_with_waiting_requests_is_noticed(self):
        async def play():
            caller = await self.connect()
            for number in range(100):
                caller.send("/read/slow", f"a{number}")
            upstream = self.bench.upstreams[1]
            while upstream.running < MAX_PIPELINED:
                await asyncio.sleep(0.01)
            caller.writer.close()
            while upstream.running:
                await asyncio.sleep(0.01)
            return self.connections, self.bench.nodes[0].callers.held_bytes

        self.assertEqual(self.bench.run(play()), ([], 0))

    def test_drain_answers_what_was_passed_on(self):
        async def play():
            caller = await self.connect()
            for number in range(300):
                caller.send("/read/slow", f"a{number}")
            upstream = self.bench.upstreams[1]
            while upstream.running < MAX_PIPELINED:
                await asyncio.sleep(0.01)
            front = self.bench.nodes[0]
            stop = asyncio.ensure_future(front.drain(asyncio.get_running_loop().time))
            await asyncio.sleep(0.3)
            self.blocked.set()
            statuses = await self.read_until_close(caller)
            rest = await caller.reader.read()
            caller.writer.close()
            await stop
            return statuses, rest

        statuses, rest = self.bench.run(play())
        self.assertEqual((set(statuses), rest), ({200}, b""))
        self.assertEqual(len(statuses), len(self.received_requests))

    def test_caller_that_does_not_read_is_not_served_further(self):
        async def large(request, writer):
            writer.write(ok_response(request, b"x" * 100_000))

        async def play():
            caller = await self.connect_pair(large, slots=80, doc=self.doc)
            caller.writer.transport.pause_reading()
            for number in range(2000):
                caller.send("/read/", f"a{number}")
            await asyncio.sleep(0.5)
            (conn,) = self.connections
            held = sum(len(data) for _, data in conn._held)
            unsent, passed_on = conn.unsent_bytes, len(self.received_requests)
            caller.writer.transport.resume_reading()
            responses = await self.read_all(caller, 2000)
            return held, unsent, passed_on, {status for status, _ in responses}

        held, unsent, passed_on, statuses = self.bench.run(play())
        self.assertEqual(statuses, {200})
        self.assertLess(passed_on, 1000)
        self.assertLess(unsent, 16 << 20)
        self.assertLess(held, MAX_HELD_BYTES + (256 << 10))

    def test_held_bytes_of_all_connections_are_bounded(self):
        async def play():
            await self.connect()
            server = self.bench.nodes[0].callers
            server.held_bytes = MAX_HELD_BYTES_IN_TOTAL
            caller = await self.bench.connect_caller(self.bench.nodes[0])
            for number in range(1000):
                caller.send("/read/slow", f"a{number}")
            while len(self.received_requests) < MAX_PIPELINED:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            held = server.held_bytes - MAX_HELD_BYTES_IN_TOTAL
            self.blocked.set()
            return held, await self.read_until_close(caller)

        held, statuses = self.bench.run(play())
        self.assertEqual((held, set(statuses)), (0, {200}))
        self.assertEqual(len(statuses), len(self.received_requests))

    def test_slowest_callers_are_disconnected_when_too_much_is_unsent(self):
        async def large(request, writer):
            writer.write(ok_response(request, b"x" * (12 << 20)))

        async def play():
            await self.connect_pair(large, slots=80, doc=self.doc)
            front = self.bench.nodes[0]
            callers = [await self.bench.connect_caller(front) for _ in range(8)]
            for number, caller in enumerate(callers):
                caller.writer.transport.pause_reading()
                caller.send("/read/", f"a{number}")
            while len(front.callers.connections) == 9:
                await asyncio.sleep(0.05)
            unsent = sum(conn.unsent_bytes for conn in front.callers.connections)
            for caller in callers:
                caller.writer.transport.abort()
            return unsent

        self.assertLessEqual(self.bench.run(play()), MAX_UNSENT_BYTES_IN_TOTAL)
