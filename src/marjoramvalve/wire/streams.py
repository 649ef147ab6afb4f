"""TCP link over pynng for messages that are large or need order within a connection.

Each instance listens on one pull socket and dials one push socket for each peer it sends to.
Sends never block: a message that does not fit into a peer's buffer is dropped, and the protocols
on top resend it. A silent network partition can be noticed only by missing responses.
"""

import asyncio
from collections.abc import Callable

import pynng

from marjoramvalve.wire.codec import Codec, Envelope
from marjoramvalve.wire.messages import Message

SEND_BUFFER_MESSAGES = 128
RECEIVE_BUFFER_MESSAGES = 512
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000


class StreamLink:
    """Sends and receives messages over pynng push and pull sockets."""

    def __init__(self, codec: Codec, address: str, receive: Callable[[Envelope], None]) -> None:
        self._codec = codec
        self._address = address
        self._receive = receive
        self._pull_socket: pynng.Pull0 | None = None
        self._push_sockets: dict[str, pynng.Push0] = {}
        self._receive_task: asyncio.Task | None = None
        self.sent_bytes = 0
        self.sent = 0

    async def start(self) -> None:
        """Listens on the address."""
        self._pull_socket = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._pull_socket.listen(f"tcp://{self._address}")
        self._receive_task = asyncio.create_task(self._receive_frames())

    async def _receive_frames(self) -> None:
        while True:
            try:
                frame = await self._pull_socket.arecv()
            except pynng.Closed:
                return
            envelope = self._codec.decode(frame)
            if envelope is not None:
                self._receive(envelope)

    def _push_socket(self, address: str) -> pynng.Push0:
        socket = self._push_sockets.get(address)
        if socket is None:
            socket = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            socket.dial(f"tcp://{address}", block=False)
            self._push_sockets[address] = socket
        return socket

    def send(self, address: str, body: Message, dst: str = "") -> bool:
        """Sends a message; returns whether it was added to the peer's send buffer."""
        if self._pull_socket is None:
            return False
        frame = self._codec.encode(body, dst)
        try:
            self._push_socket(address).send(frame, block=False)
        except (pynng.TryAgain, pynng.Timeout):
            return False
        self.sent_bytes += len(frame)
        self.sent += 1
        return True

    def forget(self, addresses: set[str]) -> None:
        """Closes the sockets of peers that are not in `addresses`."""
        for address in self._push_sockets.keys() - addresses:
            self._push_sockets.pop(address).close()

    async def close(self) -> None:
        """Stops receiving and closes all sockets."""
        if self._receive_task is not None:
            self._receive_task.cancel()
            await asyncio.gather(self._receive_task, return_exceptions=True)
        for socket in self._push_sockets.values():
            socket.close()
        self._push_sockets.clear()
        if self._pull_socket is not None:
            self._pull_socket.close()
            self._pull_socket = None
