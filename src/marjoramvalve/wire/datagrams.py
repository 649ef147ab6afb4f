"""Datagram link for small, frequent messages that may be lost."""

import asyncio
from collections.abc import Callable

from marjoramvalve.links import split_address
from marjoramvalve.wire.codec import Codec, Envelope
from marjoramvalve.wire.messages import Message

MAX_DATAGRAM_BYTES = 60_000


class DatagramLink(asyncio.DatagramProtocol):
    """Sends and receives messages over UDP."""

    def __init__(self, codec: Codec, address: str, receive: Callable[[Envelope], None]) -> None:
        self._codec = codec
        self._address = address
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self._targets: dict[str, tuple[str, int]] = {}
        self.sent_bytes = 0
        self.sent = 0

    async def start(self) -> None:
        """Binds the address."""
        loop = asyncio.get_running_loop()
        where = split_address(self._address)
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=where)

    def send(self, address: str, body: Message) -> bool:
        """Sends a message; tells whether it fitted into a datagram."""
        if self._transport is None or self._transport.is_closing():
            return False
        frame = self._codec.encode(body)
        if len(frame) > MAX_DATAGRAM_BYTES:
            return False
        target = self._targets.get(address)
        if target is None:
            target = self._targets[address] = split_address(address)
        self._transport.sendto(frame, target)
        self.sent_bytes += len(frame)
        self.sent += 1
        return True

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Decodes a frame and hands it on; frames that do not verify are dropped."""
        envelope = self._codec.decode(data)
        if envelope is not None:
            self._receive(envelope)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of single sends: datagrams may be lost."""

    async def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            await asyncio.sleep(0)
