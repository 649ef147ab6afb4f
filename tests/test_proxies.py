"""Tests of the loopback proxy that the soak test uses to inject network faults."""

import asyncio
import unittest

from benches.fleets import free_address
from marjoramvalve.links import split_address
from tests.proxies import INBOUND, OUTBOUND, LinkProxy


class ProxyTests(unittest.TestCase):
    """A proxy in front of an echo server."""

    def run_through(self, scenario):
        """Calls `scenario` with a proxy, and the reader and writer of a connection through it."""

        async def echo(reader, writer):
            while data := await reader.read(100):
                self.received.append(data)
                writer.write(data)
            writer.close()

        async def run():
            listen, target = free_address(), free_address()
            server = await asyncio.start_server(echo, *split_address(target))
            proxy = LinkProxy(listen, target)
            await proxy.start()
            try:
                async with asyncio.timeout(10):
                    return await scenario(
                        proxy, *await asyncio.open_connection(*split_address(listen))
                    )
            finally:
                proxy.close()
                server.close()

        self.received = []
        return asyncio.run(run())

    def test_bytes_are_forwarded_both_ways(self):
        async def scenario(proxy, reader, writer):
            writer.write(b"a")
            return await reader.readexactly(1)

        self.assertEqual(self.run_through(scenario), b"a")

    def test_block_holds_one_direction_without_loss(self):
        async def scenario(proxy, reader, writer):
            proxy.block(OUTBOUND)
            writer.write(b"a")
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.read(1)
            received = list(self.received)
            proxy.restore()
            return received, await reader.readexactly(1)

        self.assertEqual(self.run_through(scenario), ([b"a"], b"a"))

    def test_block_holds_both_directions(self):
        async def scenario(proxy, reader, writer):
            proxy.block(INBOUND, OUTBOUND)
            writer.write(b"a")
            await asyncio.sleep(0.1)
            received = list(self.received)
            proxy.restore()
            return received, await reader.readexactly(1)

        self.assertEqual(self.run_through(scenario), ([], b"a"))

    def test_reset_aborts_connections(self):
        async def scenario(proxy, reader, writer):
            writer.write(b"a")
            await reader.readexactly(1)
            proxy.reset()
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)

        self.run_through(scenario)
