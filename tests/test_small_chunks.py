"""Data in pieces so small that parsing or holding it back costs far more than its size."""

import asyncio
import tracemalloc
import unittest

from marjoramvalve.h1 import CallerServer, HeaderNames
from marjoramvalve.h1.callers import MAX_PIPELINED, SLICE_BYTES
from marjoramvalve.links import MemoryBudget
from tests.test_endless import RecordingTransport

CHUNKED = b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNK = b"1\r\nx\r\n"
END = b"0\r\n\r\n"
READ_BYTES = 256 << 10  # What a transport passes on at once.


class PausableTransport(RecordingTransport):
    """A transport that records whether it is being read."""

    is_reading = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True


class SmallPieceTestCase(unittest.TestCase):
    """Base class of tests that feed a server without sockets."""

    def run_with_server(self, play):
        async def run():
            self.requests = []
            memory = MemoryBudget(memory_mb=1000)
            server = CallerServer(
                HeaderNames(), self.requests.append, lambda *args: None, memory=memory
            )
            return await play(server)

        return asyncio.run(run())

    def connect(self, server):
        conn = server.make_connection()
        conn.connection_made(PausableTransport())
        return conn


class ChunkTests(SmallPieceTestCase):
    """Bodies in chunks of one byte, which take a millisecond for a few kilobytes."""

    def test_little_is_parsed_at_once(self):
        async def play(server):
            conn = self.connect(server)
            conn.data_received(CHUNKED)
            conn.data_received(CHUNK * (READ_BYTES // len(CHUNK)))
            parsed, is_reading = conn._parsed_bytes, conn._transport.is_reading
            while conn._held:
                await asyncio.sleep(0)
            conn.data_received(END)
            await asyncio.sleep(0)
            return parsed, is_reading, conn._transport.is_reading

        parsed, was_reading, is_reading = self.run_with_server(play)
        self.assertLessEqual(parsed, 2 * SLICE_BYTES // len(CHUNK))
        self.assertEqual((was_reading, is_reading), (False, True))
        self.assertEqual(self.requests[0].body, b"x" * (READ_BYTES // len(CHUNK)))

    def test_others_are_served_meanwhile(self):
        async def play(server):
            conns = [self.connect(server) for _ in range(40)]
            for conn in conns:
                conn.data_received(CHUNKED)
                conn.data_received(CHUNK * (READ_BYTES // len(CHUNK)) + END)
            await asyncio.sleep(0)
            self.connect(server).data_received(REQUEST)
            first = [request.method for request in self.requests]
            while any(conn._held for conn in conns):
                await asyncio.sleep(0)
            return first

        self.assertEqual(self.run_with_server(play), [b"GET"])
        bodies = {bytes(request.body) for request in self.requests[1:]}
        self.assertEqual(bodies, {b"x" * (READ_BYTES // len(CHUNK))})
        self.assertEqual(len(self.requests), 41)

    def test_body_that_has_arrived_is_read_in_a_planned_stop(self):
        async def play(server):
            conn = self.connect(server)
            conn.data_received(CHUNKED + CHUNK * 20_000 + END + REQUEST)
            conn.close_after_pending()
            is_busy = conn.is_busy(asyncio.get_running_loop().time() + 10)
            while not self.requests:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            return is_busy

        self.assertTrue(self.run_with_server(play))
        self.assertEqual([request.method for request in self.requests], [b"PUT"])

    def test_lost_connection_leaves_nothing_charged(self):
        async def play(server):
            conn = self.connect(server)
            conn.data_received(CHUNKED + CHUNK * 40_000)
            held = server.memory.used_bytes
            conn.connection_lost(None)
            for _ in range(10):
                await asyncio.sleep(0)
            return held, server.memory.used_bytes, server.held_bytes

        held, *left = self.run_with_server(play)
        self.assertGreater(held, 100_000)
        self.assertEqual(left, [0, 0])


class HeldPieceTests(SmallPieceTestCase):
    """Pieces of one byte behind requests that wait."""

    def test_memory_of_pieces_is_near_what_is_charged(self):
        async def play(server):
            conn = self.connect(server)
            conn.data_received(REQUEST * MAX_PIPELINED)
            before = server.memory.used_bytes
            tracemalloc.start()
            for offset in range(60_000):
                conn.data_received(REQUEST[offset % len(REQUEST) :][:1])
            allocated = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            charged = server.memory.used_bytes - before
            for request in list(self.requests):
                request.respond(200, b"", b"")
            while conn._held:
                await asyncio.sleep(0)
                for request in list(self.requests):
                    request.respond(200, b"", b"")
            return allocated, charged

        allocated, charged = self.run_with_server(play)
        self.assertLess(allocated, 2 * charged)
        self.assertEqual(len(self.requests), MAX_PIPELINED + 60_000 // len(REQUEST))

    def test_later_piece_keeps_the_time_of_its_arrival(self):
        async def play(server):
            loop = asyncio.get_running_loop()
            conn = self.connect(server)
            conn.data_received(REQUEST * MAX_PIPELINED)
            conn.data_received(REQUEST)
            await asyncio.sleep(0.1)
            arrived_at = loop.time()
            conn.data_received(REQUEST)
            for request in list(self.requests):
                request.respond(200, b"", b"")
            await asyncio.sleep(0)
            return [request.received_at >= arrived_at for request in self.requests[-2:]]

        self.assertEqual(self.run_with_server(play), [False, True])
