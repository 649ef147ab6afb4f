"""An event loop on virtual time whose connections exist in memory."""

import asyncio
from collections import deque
from itertools import count

from marjoramvalve.scenario.loops import VirtualLoop

DELAY_S = 0.001  # Between two ends of a connection.


class _End:
    """The peer has ended its side of the connection, or has reset it."""

    def __init__(self, is_reset: bool) -> None:
        self.is_reset = is_reset


class MemoryTransport(asyncio.Transport):
    """One end of a connection. Data that arrives after it is closed resets the connection."""

    def __init__(self, loop, own_address, peer_address) -> None:
        super().__init__({"sockname": own_address, "peername": peer_address})
        self._loop = loop
        self.far: MemoryTransport | None = None
        self._protocol: asyncio.BaseProtocol | None = None
        self._sent: deque[bytes | _End] = deque()
        self._arrived: deque[bytes | _End] = deque()
        self._is_paused = False
        self._is_closed = False
        self._has_ended = False  # No more data is sent.

    def open(self, far: "MemoryTransport", protocol: asyncio.BaseProtocol) -> None:
        """Connects this end to the other one, and to its protocol."""
        self.far = far
        self._protocol = protocol
        protocol.connection_made(self)

    def get_protocol(self):
        return self._protocol

    def set_protocol(self, protocol) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._is_closed

    # Sending

    def write(self, data: bytes) -> None:
        if data and not self._is_closed and not self._has_ended:
            self._transfer(bytes(data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._transfer(_End(is_reset=False))

    def close(self) -> None:
        if not self._is_closed and not self._loop.is_closed():
            self.write_eof()
            self._close(None)

    def abort(self) -> None:
        if not self._is_closed:
            self._has_ended = True
            self._transfer(_End(is_reset=True))
            self._close(None)

    def get_write_buffer_size(self) -> int:
        return 0

    def _transfer(self, item: bytes | _End) -> None:
        self._sent.append(item)  # Timers of the same time may run in any order.
        self._loop.call_later(DELAY_S, self._deliver)

    def _deliver(self) -> None:
        self.far._arrive(self._sent.popleft())

    def _close(self, exc: Exception | None) -> None:
        self._is_closed = True
        self._loop.call_soon(self._protocol.connection_lost, exc)

    # Receiving

    def is_reading(self) -> bool:
        return not self._is_paused

    def pause_reading(self) -> None:
        self._is_paused = True

    def resume_reading(self) -> None:
        self._is_paused = False
        self._loop.call_soon(self._read)

    def _arrive(self, item: bytes | _End) -> None:
        if self._is_closed:
            if isinstance(item, bytes):
                self._transfer(_End(is_reset=True))
            return
        self._arrived.append(item)
        self._read()

    def _read(self) -> None:
        while self._arrived and not self._is_paused and not self._is_closed:
            match self._arrived.popleft():
                case _End(is_reset=True):
                    self._close(ConnectionResetError())
                case _End():
                    if not self._protocol.eof_received():
                        self.close()
                case data:
                    self._protocol.data_received(data)


class MemoryServer(asyncio.AbstractServer):
    """A listening address."""

    def __init__(self, listeners, address) -> None:
        self._listeners = listeners
        self._address = address

    def close(self) -> None:
        self._listeners.pop(self._address, None)


class MemoryNetworkLoop(VirtualLoop):
    """A virtual event loop: connections between its own servers and clients need no sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._listeners = {}
        self._ports = count(40_000)

    async def create_server(self, factory, host=None, port=None, **options):
        address = (host, port)
        if address in self._listeners:
            raise OSError(f"address {host}:{port} is in use")
        self._listeners[address] = factory
        return MemoryServer(self._listeners, address)

    async def create_connection(self, factory, host=None, port=None, **options):
        await asyncio.sleep(2 * DELAY_S)
        accept = self._listeners.get((host, port))
        if accept is None:
            raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
        source = options.get("local_addr") or (host, 0)
        own = (source[0], next(self._ports))
        near = MemoryTransport(self, own, (host, port))
        far = MemoryTransport(self, (host, port), own)
        near.far = far
        far.open(near, accept())
        protocol = factory()
        near.open(far, protocol)
        return near, protocol
