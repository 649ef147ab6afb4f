"""Bytes without end: from an upstream in a head or a body, and from a caller."""

import asyncio
import contextlib
import unittest

import psutil

from marjoramvalve.h1 import HeaderNames
from marjoramvalve.h1.callers import CallerServer
from marjoramvalve.h1.upstreams import MAX_HEAD_BYTES, MAX_HELD_BYTES
from tests.meshes import REQUEST_ID, header_value, ok_response
from tests.test_mesh import MeshTestCase

CHUNK = 1 << 16
FLOOD_BYTES = 256 << 20  # What a flood sends at most, far above every limit.
MOST_GROWTH = MAX_HELD_BYTES + (64 << 20)  # Of the whole process, stand-ins and buffers included.


class FloodTests(MeshTestCase):
    """An upstream that sends bytes until its connection is closed."""

    def flood(self, first, piece, attempts=1):
        """Returns the status of calls made at once, and how many bytes the upstream could send."""
        sent = [0]

        async def play(request, writer):
            attempt = header_value(request, REQUEST_ID).encode()
            writer.write(first.replace(b"ATTEMPT", attempt))
            with contextlib.suppress(OSError):
                while sent[0] < FLOOD_BYTES * attempts and not writer.is_closing():
                    writer.write(piece)
                    sent[0] += len(piece)
                    await writer.drain()

        async def run():
            await self.connect_pair(play, slots=attempts)
            node = self.bench.nodes[0]
            callers = [await self.bench.connect_caller(node) for _ in range(attempts)]
            asks = [
                caller.request("/order/", f"a{number}", method="POST")
                for number, caller in enumerate(callers)
            ]
            answers = await asyncio.gather(*asks)
            stats = next(iter(node.egress.peers.remote.values())).stats
            return [status for status, _, _ in answers], stats.failure_rate

        before = psutil.Process().memory_info().rss
        statuses, failures = self.bench.run(run())
        grown = psutil.Process().memory_info().rss - before
        self.assertLess(grown, MOST_GROWTH)
        self.assertGreater(failures, 0.0)
        return statuses, sent[0]

    def assert_cut(self, first, piece):
        statuses, sent = self.flood(first, piece)
        self.assertEqual(statuses, [502])
        self.assertLess(sent, FLOOD_BYTES)

    def test_one_header_line_without_end(self):
        self.assert_cut(b"HTTP/1.1 200 OK\r\nX: ", b"x" * CHUNK)

    def test_header_lines_without_end(self):
        self.assert_cut(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * (CHUNK // 6))

    def test_interim_answers_without_end(self):
        self.assert_cut(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * (CHUNK // 28))

    def test_answers_to_nobody_without_end(self):
        stray = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: other\r\nContent-Length: 0\r\n\r\n".encode()
        self.assert_cut(b"", stray * (CHUNK // len(stray)))

    def test_a_body_without_end(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\n\r\n".encode()
        self.assert_cut(head, b"x" * CHUNK)

    def test_chunk_extensions_without_end(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_cut(head.encode() + b"1;a=", b"x" * CHUNK)

    def test_trailers_without_end(self):
        head = (
            f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        )
        self.assert_cut(head.encode(), b"X: y\r\n" * (CHUNK // 6))

    def test_many_bodies_without_end_share_one_limit(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\n\r\n".encode()
        statuses, _ = self.flood(head, b"x" * CHUNK, attempts=8)
        self.assertEqual(statuses, [502] * 8)

    def test_bytes_behind_a_whole_answer_reach_nobody(self):
        async def play(request, writer):
            writer.write(ok_response(request))
            with contextlib.suppress(OSError):
                for _ in range(FLOOD_BYTES // CHUNK):
                    writer.write(b"x" * CHUNK)
                    await writer.drain()

        async def run():
            caller = await self.connect_pair(play)
            return [await caller.request("/order/", f"a{number}", method="POST") for number in "12"]

        answers = self.bench.run(run())
        self.assertEqual([(status, body) for status, _, body in answers], [(200, b"fine")] * 2)

    def test_a_large_head_within_the_limit_is_passed_on(self):
        async def play(request, writer):
            writer.write(ok_response(request, extra=f"X-Large: {'x' * (MAX_HEAD_BYTES // 2)}\r\n"))

        async def run():
            caller = await self.connect_pair(play)
            caller.reader._limit = 2 * MAX_HEAD_BYTES
            return (await caller.request("/order/", "a1", method="POST"))[0]

        self.assertEqual(self.bench.run(run()), 200)


class _Transport(asyncio.Transport):
    """A connection that keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = close

    def get_write_buffer_size(self):
        return 0


class CallerTests(unittest.TestCase):
    """A caller that sends a request without end."""

    def feed(self, first, piece, pieces):
        """Returns what a caller is told, and how many of its pieces were taken before that."""

        async def run():
            server = CallerServer(HeaderNames(), lambda request: None, lambda *said: None)
            conn = server.make_connection()
            transport = _Transport()
            conn.connection_made(transport)
            conn.data_received(first)
            for number in range(pieces):
                conn.data_received(piece)
                if transport.closed:
                    return transport.written.split(b" ")[1], number
            return b"", pieces

        return asyncio.run(run())

    def test_one_header_line_without_end(self):
        status, taken = self.feed(b"GET / HTTP/1.1\r\nX: ", b"x" * 1024, 64)
        self.assertEqual((status, taken <= 16), (b"431", True))

    def test_a_head_that_comes_a_byte_at_a_time(self):
        status, taken = self.feed(b"GET / HTTP/1.1\r\nX: ", b"x", 20_000)
        self.assertEqual((status, taken <= 16_384), (b"431", True))

    def test_chunk_extensions_without_end(self):
        head = b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a="
        status, taken = self.feed(head, b"x" * CHUNK, 1024)
        self.assertEqual((status, taken * CHUNK <= 33 << 20), (b"413", True))
