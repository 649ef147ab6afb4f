"""What is charged to a memory budget, and until when."""

import asyncio
import unittest

from marjoramvalve.h1 import CallerServer, HeaderNames
from marjoramvalve.links import ChargedBuffer, Holding, MemoryBudget, allocated_bytes
from marjoramvalve.links.memory_budgets import RELIEF_PAUSE_S
from marjoramvalve.mesh.sessions import SWEEP_INTERVAL_S
from tests.meshes import FakeUpstream, make_document, ok_response
from tests.test_endless import RecordingTransport
from tests.test_mesh import MeshTestCase

MIB = 1 << 20


class ChargedBufferTests(unittest.TestCase):
    """Bytes that count until the last reference to them is gone."""

    def setUp(self):
        self.budget = MemoryBudget(memory_mb=100)

    def test_buffer_counts_as_it_grows_and_until_it_is_freed(self):
        buffer = ChargedBuffer(self.budget, b"x" * 1000)
        buffer.charge()
        buffer += b"x" * 1000
        buffer.charge()
        self.assertEqual(self.budget.used_bytes, allocated_bytes(2000))
        write_buffer = memoryview(buffer)
        del buffer
        self.assertEqual(self.budget.used_bytes, allocated_bytes(2000))
        del write_buffer
        self.assertEqual(self.budget.used_bytes, 0)

    def test_reserved_bytes_are_charged_once(self):
        buffer = ChargedBuffer(self.budget)
        buffer.charge(5000)
        buffer += b"x" * 5000
        buffer.charge()
        self.assertEqual(self.budget.used_bytes, allocated_bytes(5000))

    def test_held_buffer_is_not_charged_again(self):
        buffer = self.budget.hold(b"x" * 1000)
        self.assertIs(self.budget.hold(buffer), buffer)
        self.assertEqual(self.budget.used_bytes, allocated_bytes(1000))


class ReliefTests(unittest.TestCase):
    """Holdings whose bytes are freed a little after they were given up."""

    def test_nobody_is_asked_for_each_charge_while_too_few_can_give_way(self):
        now = [10.0]
        asked = []
        budget = MemoryBudget(lambda: now[0], memory_mb=100)
        budget.sources.append(lambda: asked.append(now[0]) or ())
        budget.charge(41 * MIB)
        for _ in range(1000):
            budget.charge(1)
        self.assertFalse(budget.has_room(1))
        self.assertEqual(asked, [10.0])
        now[0] += 2 * RELIEF_PAUSE_S
        budget.charge(1)
        self.assertEqual(len(asked), 2)

    def test_nobody_else_gives_way_for_bytes_that_are_about_to_be_freed(self):
        budget = MemoryBudget(lambda: 10.0, memory_mb=100)
        buffers = {name: budget.hold(bytes(17 * MIB)) for name in "ab"}
        given_up = []
        budget.sources.append(
            lambda: [
                Holding(17 * MIB, number, lambda reason, name=name: given_up.append(name))
                for number, name in enumerate("ab")
                if name not in given_up
            ]
        )
        for _ in range(3):
            budget.charge(MIB)
        self.assertEqual(given_up, ["a"])
        del buffers["a"]
        budget.charge(20 * MIB)
        self.assertEqual(given_up, ["a", "b"])


class ExhaustedBudgetTests(unittest.TestCase):
    """Requests that arrive while what runs fills the budget."""

    def test_large_request_is_refused_at_once_and_small_ones_pass(self):
        async def run():
            memory = MemoryBudget(lambda: 10.0, memory_mb=100)
            memory.charge(41 * MIB)
            requests, transports = [], []
            server = CallerServer(HeaderNames(), requests.append, lambda *args: None, memory)
            for size in (12_000, 40_000, 12_000, 8 * MIB):
                conn = server.make_connection()
                transports.append(RecordingTransport())
                conn.connection_made(transports[-1])
                head = b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size
                conn.data_received(head)
                for offset in range(0, size, 4000):
                    conn.data_received(bytes(min(4000, size - offset)))
            statuses = [transport.written[9:12] for transport in transports]
            return [len(request.body) for request in requests], statuses

        sizes, statuses = asyncio.run(run())
        self.assertEqual((sizes, statuses), ([12_000] * 2, [b"", b"503"] * 2))


class HastyUpstream(FakeUpstream):
    """An upstream that answers long requests before it reads them, and reads nothing further."""

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        writer.write(ok_response(head))
        writer.transport.pause_reading()
        await asyncio.sleep(3600)


class EarlyResponseTests(MeshTestCase):
    """Requests that are answered before the upstream has read them."""

    def test_rest_of_the_request_is_freed_after_the_response(self):
        async def play():
            caller = await self.connect_pair(None)
            hasty = HastyUpstream(None)
            await hasty.start()
            node = self.bench.nodes[1]
            node.ingress.pool.set_address(hasty.address)
            statuses = [
                (await caller.request("/order/", f"a{number}", method="POST", body="x" * 12 * MIB))[
                    0
                ]
                for number in range(3)
            ]
            await asyncio.sleep(0.1)
            held = [item.memory.used_bytes for item in self.bench.nodes]
            hasty.close()
            return statuses, held

        self.assertEqual(self.bench.run(play()), ([200] * 3, [0, 0]))


class InterruptionTests(MeshTestCase):
    """Charges of large messages whose node stops, or whose link is lost."""

    async def respond(self, request, writer):
        await asyncio.sleep(0.3)
        writer.write(ok_response(request, b"x" * MIB))

    def play(self, interrupt):
        """Interrupts four orders that run; returns their statuses and what is charged at last."""

        async def run():
            await self.connect_pair(self.respond, slots=8)
            front = self.bench.nodes[0]
            callers = [await self.bench.connect_caller(front) for _ in range(4)]
            calls = [
                asyncio.ensure_future(
                    caller.request("/order/", f"a{number}", method="POST", body="x" * MIB)
                )
                for number, caller in enumerate(callers)
            ]
            while len(self.received_requests) < 4:
                await asyncio.sleep(0.01)
            await interrupt(*self.bench.nodes)
            statuses = [(await call)[0] for call in calls]
            for caller in callers:
                caller.writer.close()
            await asyncio.sleep(SWEEP_INTERVAL_S + 0.3)
            return statuses, [node.memory.used_bytes for node in self.bench.nodes]

        return self.bench.run(run())

    def test_planned_stop_of_the_egress(self):
        async def interrupt(front, back):
            await front.drain(asyncio.get_running_loop().time)

        self.assertEqual(self.play(interrupt), ([200] * 4, [0, 0]))

    def test_planned_stop_of_the_ingress(self):
        async def interrupt(front, back):
            await back.drain(asyncio.get_running_loop().time)

        self.assertEqual(self.play(interrupt), ([200] * 4, [0, 0]))

    def test_lost_links(self):
        async def interrupt(front, back):
            for _ in range(3):
                await asyncio.sleep(0.12)
                for peer in front.egress.peers.remote.values():
                    if peer._stream is not None:
                        peer._stream.abort()

        self.assertEqual(self.play(interrupt), ([200] * 4, [0, 0]))

    def test_new_configuration(self):
        async def interrupt(front, back):
            for node in (front, back):
                node.apply_config(2, make_document())

        self.assertEqual(self.play(interrupt), ([200] * 4, [0, 0]))

    def test_ended_ingress(self):
        async def interrupt(front, back):
            await back.close()

        statuses, held = self.play(interrupt)
        self.assertLessEqual(set(statuses), {502, 504})  # They may have run.
        self.assertEqual(held, [0, 0])
