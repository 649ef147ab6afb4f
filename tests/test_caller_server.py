"""The planned stop of a server for callers."""

import asyncio
import unittest

import uvloop

from benches.fleets import free_address
from marjoramvalve.h1 import CallerServer, HeaderNames
from tests.meshes import Caller

LARGE_BODY = b"x" * (8 << 20)  # More than the socket buffers take.
RESPONSE_HEAD = b"Content-Type: text/plain\r\n"


class FinishPendingTests(unittest.TestCase):
    """Requests that are in progress, or that come, while a server finishes."""

    def setUp(self):
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.addCleanup(self.runner.close)

    def run_with_server(self, play):
        """Returns the result of `play`, a coroutine function that gets a server to stop."""

        async def bounded():
            self.requests = asyncio.Queue()
            server = CallerServer(HeaderNames(), self.requests.put_nowait, lambda *args: None)
            self.address = free_address()
            await server.start(self.address)
            async with asyncio.timeout(20):
                try:
                    return await play(server)
                finally:
                    await server.close()

        return self.runner.run(bounded())

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        return Caller(*await asyncio.open_connection(host, int(port)))

    async def begin_request(self, server, body=""):
        """Returns a caller and its request, which the server has read and not answered."""
        caller = await self.connect()
        caller.send("/any", "a1", method="POST", body=body)
        return caller, await self.requests.get()

    async def start_finishing(self, server, timeout_s=10.0):
        """Starts to finish and waits until the server takes no more connections."""
        task = asyncio.create_task(server.finish_pending(timeout_s))
        while server._server.is_serving():
            await asyncio.sleep(0)
        return task

    def test_request_that_was_read_is_answered(self):
        async def play(server):
            caller, request = await self.begin_request(server)
            finishing = await self.start_finishing(server)
            request.respond(200, RESPONSE_HEAD, b"done")
            status, head, body = await caller.read_response()
            caller.writer.close()
            await finishing
            return status, body, "Connection: close" in head

        self.assertEqual(self.run_with_server(play), (200, b"done", True))

    def test_request_that_was_received_in_part_is_read_and_answered(self):
        async def play(server):
            caller = await self.connect()
            caller.writer.write(b"POST /any HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
            while not server.is_busy():
                await asyncio.sleep(0.005)
            finishing = await self.start_finishing(server)
            caller.writer.write(b"cd")
            request = await self.requests.get()
            request.respond(200, RESPONSE_HEAD, request.body)
            status, _, body = await caller.read_response()
            caller.writer.close()
            await finishing
            return status, body

        self.assertEqual(self.run_with_server(play), (200, b"abcd"))

    def test_response_to_a_slow_reader_is_sent_whole(self):
        async def play(server):
            caller, request = await self.begin_request(server)
            request.respond(200, RESPONSE_HEAD, LARGE_BODY)
            finishing = await self.start_finishing(server)
            await asyncio.sleep(0.1)
            is_finishing = not finishing.done()
            body = (await caller.read_response())[2]
            caller.writer.close()
            await finishing
            return is_finishing, len(body)

        self.assertEqual(self.run_with_server(play), (True, len(LARGE_BODY)))

    def test_kept_connection_without_a_request_is_closed(self):
        async def play(server):
            caller, request = await self.begin_request(server)
            request.respond(200, RESPONSE_HEAD, b"")
            await caller.read_response()
            await server.finish_pending(10.0)
            return await caller.reader.read()

        self.assertEqual(self.run_with_server(play), b"")

    def test_connection_that_was_just_accepted_is_closed(self):
        async def play(server):
            accepted, make_connection = asyncio.Event(), server.make_connection

            def accept():
                accepted.set()
                return make_connection()

            await server.close()
            server.make_connection = accept
            await server.start(self.address)
            caller_task = asyncio.create_task(self.connect())
            await accepted.wait()
            await server.finish_pending(10.0)
            return await (await caller_task).reader.read()

        self.assertEqual(self.run_with_server(play), b"")

    def test_new_connection_is_refused(self):
        async def play(server):
            caller, request = await self.begin_request(server)
            finishing = await self.start_finishing(server)
            with self.assertRaises(OSError):
                await self.connect()
            request.respond(200, RESPONSE_HEAD, b"")
            await caller.read_response()
            caller.writer.close()
            await finishing

        self.run_with_server(play)

    def test_finishing_ends_despite_a_request_without_an_answer(self):
        async def play(server):
            _, request = await self.begin_request(server)
            await server.finish_pending(0.1)
            return server.is_busy(), request.response

        self.assertEqual(self.run_with_server(play), (True, None))
