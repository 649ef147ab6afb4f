"""Loopback proxy that injects network faults into links: delays, partitions and resets."""

import asyncio
import contextlib

from marjoramvalve.links import split_address

INBOUND, OUTBOUND = "to", "from"  # Directions relative to the process behind the proxy.
READ_SIZE_BYTES = 65536


class LinkProxy:
    """Forwards connections to one process.

    Bytes sent in a blocked direction are held until it is restored, as on a real network, where
    TCP retransmits them. `delay_s` is added to each transfer in both directions.
    """

    def __init__(self, listen: str, target: str) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._passing = {INBOUND: asyncio.Event(), OUTBOUND: asyncio.Event()}
        self.delay_s = 0.0

    async def start(self) -> None:
        """Starts listening. Raises OSError."""
        self.restore()
        self._server = await asyncio.start_server(self._on_connection, *split_address(self._listen))

    def block(self, *directions: str) -> None:
        """Holds back all bytes in these directions until `restore`."""
        for direction in directions:
            self._passing[direction].clear()

    def restore(self) -> None:
        """Forwards in both directions again, without delay."""
        self.delay_s = 0.0
        for event in self._passing.values():
            event.set()

    def reset(self) -> None:
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def _on_connection(self, reader, writer) -> None:
        task = asyncio.ensure_future(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self._target)
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        copy_tasks = (
            asyncio.ensure_future(self._copy(reader, target_writer, INBOUND)),
            asyncio.ensure_future(self._copy(target_reader, writer, OUTBOUND)),
        )
        await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in copy_tasks:
            task.cancel()
        await asyncio.gather(*copy_tasks, return_exceptions=True)
        for end in writers:
            end.transport.abort()
        self._writers -= writers

    async def _copy(self, reader, writer, direction: str) -> None:
        """Copies one direction of a connection; a delay adds latency without reducing the rate."""
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def write() -> None:
            while True:
                send_at, data = await queue.get()
                await asyncio.sleep(max(0.0, send_at - loop.time()))
                await self._passing[direction].wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()

        write_task = asyncio.ensure_future(write())
        try:
            data = b"-"
            while data:
                data = b""
                with contextlib.suppress(OSError):
                    data = await reader.read(READ_SIZE_BYTES)
                queue.put_nowait((loop.time() + self.delay_s, data))
            await write_task
        finally:
            write_task.cancel()
