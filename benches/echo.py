"""A minimal upstream for benches: sends 512 bytes for each request; registers with its node."""

import asyncio
import signal
import sys
import time

import aiohttp
import uvloop

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 512\r\nX-U: 1\r\n\r\n" + b"x" * 512


class Echo(asyncio.Protocol):
    """Responds to requests, which must have no body."""

    def __init__(self) -> None:
        self._partial_head = b""

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Sends a response for each complete request head."""
        heads = (self._partial_head + data).split(b"\r\n\r\n")
        self._partial_head = heads.pop()
        for _ in heads:
            self._transport.write(RESPONSE)


async def run(name: str, service: str, listen: str, control: str) -> None:
    """Serves requests, and registers with the node every 0.5 s, until SIGTERM."""
    host, _, port = listen.rpartition(":")
    loop = asyncio.get_running_loop()
    await loop.create_server(Echo, host, int(port))
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    started_at = time.monotonic()
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
            body["uptime_s"] = time.monotonic() - started_at
            try:
                async with session.put(url, json=body) as response:
                    await response.read()
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.5)


if __name__ == "__main__":
    uvloop.run(run(*sys.argv[1:5]))
