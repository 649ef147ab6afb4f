"""A loopback proxy before a process's links: it delays, cuts, silences and resets them."""

import asyncio
import contextlib

from marjoramvalve.links import split_address

INBOUND, OUTBOUND = "to", "from"  # Directions, as seen from the process behind the proxy.
READ_SIZE_BYTES = 65536


class LinkProxy:
    """Passes connections on to one process.

    Bytes of a direction that is cut wait until it is whole again, as they do on a real network
    where senders repeat them.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._whole = {INBOUND: asyncio.Event(), OUTBOUND: asyncio.Event()}
        self.delay_s = 0.0

    async def start(self) -> None:
        """Listens. Raises OSError."""
        self.restore()
        self._server = await asyncio.start_server(self._accept, *split_address(self._listen))

    def block(self, *directions: str) -> None:
        """Lets nothing more through in these directions."""
        for direction in directions:
            self._whole[direction].clear()

    def restore(self) -> None:
        """Passes everything on again, without delay."""
        self.delay_s = 0.0
        for event in self._whole.values():
            event.set()

    def reset(self) -> None:
        """Breaks every connection off."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Ends the proxy and its connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def _accept(self, reader, writer) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*split_address(self._target))
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        pumps = (
            asyncio.ensure_future(self._pump(reader, far_writer, INBOUND)),
            asyncio.ensure_future(self._pump(far_reader, writer, OUTBOUND)),
        )
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        for end in both:
            end.transport.abort()
        self._writers -= both

    async def _pump(self, reader, writer, direction: str) -> None:
        """Passes one direction on; a delay moves bytes later and leaves their rate as it is."""
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def write() -> None:
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                await self._whole[direction].wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()

        writing = asyncio.ensure_future(write())
        try:
            data = b"-"
            while data:
                data = b""
                with contextlib.suppress(OSError):
                    data = await reader.read(READ_SIZE_BYTES)
                queue.put_nowait((loop.time() + self.delay_s, data))
            await writing
        finally:
            writing.cancel()
