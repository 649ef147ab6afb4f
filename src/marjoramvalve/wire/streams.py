"""Stream link over pynng for messages that need order within a connection or are large.

Each instance listens on one pull socket and dials one push socket for each peer it sends to.
Sends never block: what does not fit into a peer's buffer is dropped, and the protocols above
send again. A silent partition shows only in missing answers.
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
        self._pull: pynng.Pull0 | None = None
        self._pushes: dict[str, pynng.Push0] = {}
        self._task: asyncio.Task | None = None
        self.sent_bytes = 0
        self.sent = 0

    async def start(self) -> None:
        """Listens on the address."""
        self._pull = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._pull.listen(f"tcp://{self._address}")
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while True:
            try:
                frame = await self._pull.arecv()
            except pynng.Closed:
                return
            envelope = self._codec.decode(frame)
            if envelope is not None:
                self._receive(envelope)

    def _push(self, address: str) -> pynng.Push0:
        push = self._pushes.get(address)
        if push is None:
            push = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            push.dial(f"tcp://{address}", block=False)
            self._pushes[address] = push
        return push

    def send(self, address: str, body: Message, dst: str = "") -> bool:
        """Sends a message; tells whether it was taken into the peer's buffer."""
        if self._pull is None:
            return False
        frame = self._codec.encode(body, dst)
        try:
            self._push(address).send(frame, block=False)
        except (pynng.TryAgain, pynng.Timeout):
            return False
        self.sent_bytes += len(frame)
        self.sent += 1
        return True

    def forget(self, addresses: set[str]) -> None:
        """Closes the links to peers that are not in `addresses`."""
        for address in self._pushes.keys() - addresses:
            self._pushes.pop(address).close()

    async def close(self) -> None:
        """Closes every socket."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for push in self._pushes.values():
            push.close()
        self._pushes.clear()
        if self._pull is not None:
            self._pull.close()
            self._pull = None
