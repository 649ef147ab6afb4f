"""The loopback proxy of the soak: what it passes on, holds back and breaks off."""

import asyncio
import unittest

from benches.fleets import free_address
from marjoramvalve.links import split_address
from tests.proxies import INBOUND, OUTBOUND, LinkProxy


class ProxyTests(unittest.TestCase):
    """A proxy before a server that sends back what it gets."""

    def run_through(self, play):
        """Runs a coroutine function of a proxy and a connection through it."""

        async def echo(reader, writer):
            while data := await reader.read(100):
                self.arrived.append(data)
                writer.write(data)
            writer.close()

        async def whole():
            listen, target = free_address(), free_address()
            server = await asyncio.start_server(echo, *split_address(target))
            proxy = LinkProxy(listen, target)
            await proxy.start()
            try:
                async with asyncio.timeout(10):
                    return await play(proxy, *await asyncio.open_connection(*split_address(listen)))
            finally:
                proxy.close()
                server.close()

        self.arrived = []
        return asyncio.run(whole())

    def test_bytes_go_both_ways(self):
        async def play(proxy, reader, writer):
            writer.write(b"a")
            return await reader.readexactly(1)

        self.assertEqual(self.run_through(play), b"a")

    def test_a_cut_holds_one_direction_and_loses_nothing(self):
        async def play(proxy, reader, writer):
            proxy.block(OUTBOUND)
            writer.write(b"a")
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.read(1)
            arrived = list(self.arrived)
            proxy.restore()
            return arrived, await reader.readexactly(1)

        self.assertEqual(self.run_through(play), ([b"a"], b"a"))

    def test_silence_holds_both(self):
        async def play(proxy, reader, writer):
            proxy.block(INBOUND, OUTBOUND)
            writer.write(b"a")
            await asyncio.sleep(0.1)
            arrived = list(self.arrived)
            proxy.restore()
            return arrived, await reader.readexactly(1)

        self.assertEqual(self.run_through(play), ([], b"a"))

    def test_a_reset_breaks_connections_off(self):
        async def play(proxy, reader, writer):
            writer.write(b"a")
            await reader.readexactly(1)
            proxy.reset()
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)

        self.run_through(play)
