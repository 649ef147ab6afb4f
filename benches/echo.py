"""A lean stand-in upstream for benches: 512 bytes to every request, announced to its node."""

import asyncio
import signal
import sys
import time

import aiohttp
import uvloop

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 512\r\nX-U: 1\r\n\r\n" + b"x" * 512


class Echo(asyncio.Protocol):
    """Answers each request head without a body."""

    def __init__(self) -> None:
        self._tail = b""

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers every whole head."""
        parts = (self._tail + data).split(b"\r\n\r\n")
        self._tail = parts.pop()
        for _ in parts:
            self._transport.write(ANSWER)


async def run(name: str, service: str, listen: str, control: str) -> None:
    """Serves and announces until SIGTERM."""
    host, _, port = listen.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(Echo, host, int(port))
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    began = time.monotonic()
    body = {
        "service": service,
        "address": listen,
        "slots": 200,
        "connections": 4000,
        "incarnation": int(time.time() * 1000),
    }
    url = f"http://{control}/v1/upstreams/{name}"
    async with aiohttp.ClientSession() as session:
        while not stopped.is_set():
            body["uptime_s"] = time.monotonic() - began
            try:
                async with session.put(url, json=body) as response:
                    await response.read()
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.5)


if __name__ == "__main__":
    uvloop.run(run(*sys.argv[1:5]))
