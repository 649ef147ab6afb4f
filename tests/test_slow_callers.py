"""Callers that take their responses slowly, or not at all."""

import asyncio
import unittest

from marjoramvalve.h1 import CallerServer, HeaderNames
from marjoramvalve.h1.callers import LINGER_S, MIN_SEND_BYTES_PER_S, SEND_TIMEOUT_S
from marjoramvalve.h1.servers import STALLED_REQUEST_S
from marjoramvalve.links import MemoryBudget
from tests.test_endless import RecordingTransport

MIB = 1 << 20
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class SlowTransport(RecordingTransport):
    """A transport whose peer takes as much as it is told to."""

    unsent = 0

    def write(self, data):
        self.unsent += len(data)

    def get_write_buffer_size(self):
        return self.unsent


class SlowCallerTests(unittest.TestCase):
    """When a caller is disconnected for its pace, and for whom it makes room."""

    def setUp(self):
        self.runner = asyncio.Runner()
        self.addCleanup(self.runner.close)
        self.now = 1000.0
        self.runner.get_loop().time = lambda: self.now
        self.requests = []
        self.server = self.runner.run(self.make_server())

    async def make_server(self):
        memory = MemoryBudget(asyncio.get_running_loop().time, memory_mb=200, max_descriptors=4)
        return CallerServer(HeaderNames(), self.requests.append, lambda *args: None, memory)

    def connect(self, data=b""):
        conn, transport = self.server.make_connection(), SlowTransport()
        conn.connection_made(transport)
        if data:
            conn.data_received(data)
        return conn, transport

    def respond(self, size):
        """Returns a connection with a response of so many bytes that is being read."""
        conn, transport = self.connect(REQUEST)
        self.requests[-1].respond(200, b"", bytes(size))
        return conn, transport

    def test_large_response_may_be_taken_steadily(self):
        conn, transport = self.respond(32 * MIB)
        while transport.unsent:
            self.now += 0.5
            transport.unsent = max(0, transport.unsent - MIB)
            conn.check_timeouts(self.now, self.server.limits)
        self.assertFalse(transport.closed)

    def test_response_that_is_being_read_is_not_idle(self):
        conn, transport = self.respond(32 * MIB)
        self.now += self.server.limits.idle_ms / 1000 - SEND_TIMEOUT_S / 2
        transport.unsent -= MIB
        conn.check_timeouts(self.now, self.server.limits)
        self.assertFalse(transport.closed)
        self.now += SEND_TIMEOUT_S - 1
        transport.unsent -= MIB
        conn.check_timeouts(self.now, self.server.limits)
        self.assertFalse(transport.closed)

    def test_caller_that_takes_nothing_is_disconnected(self):
        conn, transport = self.respond(32 * MIB)
        self.now += SEND_TIMEOUT_S - 0.1
        conn.check_timeouts(self.now, self.server.limits)
        self.assertFalse(transport.closed)
        self.now += 0.2
        conn.check_timeouts(self.now, self.server.limits)
        self.assertTrue(transport.closed)

    def test_caller_that_takes_a_byte_at_a_time_is_disconnected(self):
        conn, transport = self.respond(MIB)
        seconds = 0
        while not transport.closed:
            seconds += 1
            self.now += 1
            transport.unsent -= 1
            conn.check_timeouts(self.now, self.server.limits)
        self.assertLess(seconds, SEND_TIMEOUT_S + MIB / MIN_SEND_BYTES_PER_S + 3)

    def test_unread_response_makes_room_for_a_new_caller(self):
        _, unread = self.respond(100)
        self.now += STALLED_REQUEST_S + 0.1
        _, read = self.respond(100)
        _, new = self.connect()
        self.assertEqual((unread.closed, read.closed, new.closed), (True, False, False))

    def test_response_that_is_being_read_makes_no_room(self):
        transports = [self.respond(100)[1] for _ in range(2)]
        _, new = self.connect()
        closed = [item.closed for item in transports]
        self.assertEqual((closed, new.closed), ([False, False], True))

    def test_refused_caller_that_has_not_closed_makes_room(self):
        _, refused = self.connect(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
        refused.unsent, refused.closed = 0, False
        _, busy = self.connect(REQUEST)
        self.now += LINGER_S / 2
        _, new = self.connect()
        self.assertEqual((refused.closed, busy.closed, new.closed), (True, False, False))
