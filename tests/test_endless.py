"""Size limits on endless responses of an upstream and endless requests of a caller.

They guard against unbounded memory use: every part of a message that the parser buffers or skips
must count towards a limit.
"""

import asyncio
import contextlib
import unittest

import psutil

from marjoramvalve.h1 import CallerServer, HeaderNames
from marjoramvalve.h1.upstreams import MAX_BUFFERED_BYTES, MAX_NON_BODY_BYTES
from tests.meshes import REQUEST_ID, header_value, ok_response
from tests.test_mesh import MeshTestCase

CHUNK_BYTES = 1 << 16
MAX_SENT_BYTES = 256 << 20  # Per call; far above every limit.
# Of the whole process, including the simulated upstream and socket buffers.
MAX_MEMORY_GROWTH_BYTES = MAX_BUFFERED_BYTES + (64 << 20)


class EndlessResponseTests(MeshTestCase):
    """Responses of an upstream that sends data until its connection is closed."""

    def send_endless(self, prefix, piece, attempts=1):
        """Returns the statuses of concurrent calls and how many bytes the upstream sent.

        Checks that the memory of the process stays within limits and that a failure is counted.
        """
        sent_bytes = [0]

        async def respond(request, writer):
            attempt = header_value(request, REQUEST_ID).encode()
            writer.write(prefix.replace(b"ATTEMPT", attempt))
            with contextlib.suppress(OSError):
                while sent_bytes[0] < MAX_SENT_BYTES * attempts and not writer.is_closing():
                    writer.write(piece)
                    sent_bytes[0] += len(piece)
                    await writer.drain()

        async def run():
            await self.connect_pair(respond, slots=attempts)
            node = self.bench.nodes[0]
            callers = [await self.bench.connect_caller(node) for _ in range(attempts)]
            calls = [
                caller.request("/order/", f"a{number}", method="POST")
                for number, caller in enumerate(callers)
            ]
            responses = await asyncio.gather(*calls)
            stats = next(iter(node.egress.peers.remote.values())).stats
            return [status for status, _, _ in responses], stats.failure_rate

        memory_before = psutil.Process().memory_info().rss
        statuses, failures = self.bench.run(run())
        memory_growth = psutil.Process().memory_info().rss - memory_before
        self.assertLess(memory_growth, MAX_MEMORY_GROWTH_BYTES)
        self.assertGreater(failures, 0.0)
        return statuses, sent_bytes[0]

    def assert_connection_closed(self, prefix, piece):
        statuses, sent_bytes = self.send_endless(prefix, piece)
        self.assertEqual(statuses, [502])
        self.assertLess(sent_bytes, MAX_SENT_BYTES)

    def test_endless_header_line(self):
        self.assert_connection_closed(b"HTTP/1.1 200 OK\r\nX: ", b"x" * CHUNK_BYTES)

    def test_endless_header_lines(self):
        self.assert_connection_closed(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * (CHUNK_BYTES // 6))

    def test_endless_interim_responses(self):
        self.assert_connection_closed(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * (CHUNK_BYTES // 28))

    def test_endless_unmatched_responses(self):
        unmatched = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: other\r\nContent-Length: 0\r\n\r\n".encode()
        self.assert_connection_closed(b"", unmatched * (CHUNK_BYTES // len(unmatched)))

    def test_endless_body(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\n\r\n".encode()
        self.assert_connection_closed(head, b"x" * CHUNK_BYTES)

    def test_endless_chunk_extension(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_connection_closed(head.encode() + b"1;a=", b"x" * CHUNK_BYTES)

    def test_endless_trailers(self):
        head = (
            f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        )
        self.assert_connection_closed(head.encode(), b"X: y\r\n" * (CHUNK_BYTES // 6))

    def test_endless_bodies_share_one_limit(self):
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\n\r\n".encode()
        statuses, _ = self.send_endless(head, b"x" * CHUNK_BYTES, attempts=8)
        self.assertEqual(statuses, [502] * 8)

    def test_bytes_after_complete_response_are_discarded(self):
        async def respond(request, writer):
            writer.write(ok_response(request))
            with contextlib.suppress(OSError):
                for _ in range(MAX_SENT_BYTES // CHUNK_BYTES):
                    writer.write(b"x" * CHUNK_BYTES)
                    await writer.drain()

        async def run():
            caller = await self.connect_pair(respond)
            return [await caller.request("/order/", f"a{number}", method="POST") for number in "12"]

        responses = self.bench.run(run())
        self.assertEqual([(status, body) for status, _, body in responses], [(200, b"fine")] * 2)

    def test_large_head_within_limit_is_forwarded(self):
        async def respond(request, writer):
            writer.write(
                ok_response(request, extra=f"X-Large: {'x' * (MAX_NON_BODY_BYTES // 2)}\r\n")
            )

        async def run():
            caller = await self.connect_pair(respond)
            caller.reader._limit = 2 * MAX_NON_BODY_BYTES
            return (await caller.request("/order/", "a1", method="POST"))[0]

        self.assertEqual(self.bench.run(run()), 200)


class RecordingTransport(asyncio.Transport):
    """A transport that records the data written to it, and whether that has ended."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = write_eof = close

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0


class EndlessRequestTests(unittest.TestCase):
    """Requests of a caller that sends data until its connection is closed."""

    def feed(self, prefix, piece, max_pieces):
        """Returns the response status and how many pieces were accepted before the response."""

        async def run():
            server = CallerServer(HeaderNames(), lambda request: None, lambda *args: None)
            conn = server.make_connection()
            transport = RecordingTransport()
            conn.connection_made(transport)
            conn.data_received(prefix)
            for number in range(max_pieces):
                conn.data_received(piece)
                if transport.closed:
                    return transport.written.split(b" ")[1], number
            return b"", max_pieces

        return asyncio.run(run())

    def test_endless_header_line(self):
        status, accepted_pieces = self.feed(b"GET / HTTP/1.1\r\nX: ", b"x" * 1024, 64)
        self.assertEqual((status, accepted_pieces <= 16), (b"431", True))

    def test_endless_head_sent_byte_by_byte(self):
        status, accepted_pieces = self.feed(b"GET / HTTP/1.1\r\nX: ", b"x", 20_000)
        self.assertEqual((status, accepted_pieces <= 16_384), (b"431", True))

    def test_endless_chunk_extension(self):
        head = b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a="
        status, accepted_pieces = self.feed(head, b"x" * CHUNK_BYTES, 1024)
        self.assertEqual((status, accepted_pieces * CHUNK_BYTES <= 33 << 20), (b"413", True))
