"""UDP link for small, frequent messages whose loss is tolerated."""

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
        self._parsed_addresses: dict[str, tuple[str, int]] = {}
        self.sent_bytes = 0
        self.sent = 0

    async def start(self) -> None:
        """Binds the socket to its address."""
        loop = asyncio.get_running_loop()
        local_address = split_address(self._address)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=local_address
        )

    def send(self, address: str, body: Message) -> bool:
        """Sends a message; returns whether it was sent: the link is open and the message fits."""
        if self._transport is None or self._transport.is_closing():
            return False
        frame = self._codec.encode(body)
        if len(frame) > MAX_DATAGRAM_BYTES:
            return False
        target = self._parsed_addresses.get(address)
        if target is None:
            target = self._parsed_addresses[address] = split_address(address)
        self._transport.sendto(frame, target)
        self.sent_bytes += len(frame)
        self.sent += 1
        return True

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Decodes a frame and passes it to the receiver; invalid frames are dropped."""
        envelope = self._codec.decode(data)
        if envelope is not None:
            self._receive(envelope)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of single sends, since datagrams may be lost anyway."""

    async def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            await asyncio.sleep(0)
