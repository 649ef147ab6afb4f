"""Framed byte streams between instances.

A frame is a header (payload length and kind) and a payload. Frames are sent in batches.
"""

import asyncio
import errno
import re
import struct
from collections.abc import Iterator
from typing import Protocol

import msgspec
import structlog

from marjoramvalve.links.memory_budgets import (
    MAX_SMALL_BYTES,
    STALLED_S,
    ChargedBuffer,
    Holding,
    MemoryBudget,
    allocated_bytes,
)

HEADER = struct.Struct("<IB")
MAX_FRAME_BYTES = 96 << 20  # Fits a body at the largest configurable limit, with its head.
MAX_UNSENT_BYTES = 32 << 20  # The connection to a peer that falls further behind is aborted.
# A frame above this size is received in one piece of memory and passed on as a bytearray, and the
# rest of its payload is not copied when it is sent.
LARGE_FRAME_BYTES = 256 << 10
MAX_DROPPED_PREFIX_BYTES = 64 << 10  # What the owner gets to see of a frame that has no room.
CONNECT_S = 1.0  # Allows for several round trips between failure domains and a lost packet.
BACKLOG = 512  # All instances of a fleet may reconnect at the same time.
# Streams that were accepted and have not sent a frame yet. The other end sends one at once.
MAX_STRANGERS = BACKLOG
STRANGER_SHARE = 0.25  # Of the connections that the main server of the process may have open.
FIRST_FRAME_S = 5.0


class StreamOwner(Protocol):
    """Callbacks of a stream to its owner.

    An owner may have a budget, `memory`. A large frame that has no room in it is not kept;
    `stream_frame_dropped` gets its kind and the beginning of its payload.
    """

    def stream_opened(self, stream: "FrameStream") -> None:
        """Called when the stream is connected."""

    def stream_frame(self, stream: "FrameStream", kind: int, payload: bytes) -> None:
        """Called for each complete frame."""

    def stream_closed(self, stream: "FrameStream") -> None:
        """Called when the stream was closed by either side."""


# `host:port`, with a port from 1 to 65,535.
ADDRESS_PATTERN = (
    r"[A-Za-z0-9._-]{1,253}:"
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
)

log = structlog.get_logger("frames")


def is_address(address: str) -> bool:
    """Returns whether this is a host and a port that can be connected to, as `host:port`."""
    return re.fullmatch(ADDRESS_PATTERN, address) is not None


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class FrameStream(asyncio.Protocol):
    """A connection that carries frames in both directions.

    Frames sent within one iteration of the event loop are combined into one write.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: StreamOwner) -> None:
        self._loop = loop
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._outgoing: list[bytes] = []
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._needed_bytes = HEADER.size
        self._memory: MemoryBudget | None = getattr(owner, "memory", None)
        self._large: bytearray | None = None  # Payload of a large frame that is arriving.
        self._large_kind = self._large_bytes = self._large_left = 0
        self._is_dropping = False
        self._charged_bytes = 0  # Of frames that are arriving and not large.
        self.is_stranger = True  # Is open, and has not received a frame yet.
        self._is_aborted = False
        self.last_received_at = loop.time()
        self.owner_data: object = None  # For use by the owner; not read here.

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notifies the owner."""
        self._transport = transport
        if self._is_aborted:
            transport.abort()
        if self._memory is not None:
            self._memory.sources.append(self._holdings)
        self._owner.stream_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops unsent frames and notifies the owner."""
        self._transport = None
        self.is_stranger = False
        self._outgoing.clear()
        self._chunks.clear()
        self._large = None
        if self._memory is not None:
            self._memory.sources.remove(self._holdings)
            self._buffered_bytes = 0
            self._charge_buffered()
        self._owner.stream_closed(self)

    def data_received(self, data: bytes) -> None:
        """Passes complete frames to the owner and buffers the rest.

        A frame above the size limit, or one that the owner can't decode, aborts the connection.
        """
        self.last_received_at = self._loop.time()
        if self._large is not None:
            data = self._receive_large(data)
            if not data or not self.is_open:
                return
        self._receive(data)
        if self._buffered_bytes > MAX_SMALL_BYTES or self._charged_bytes:
            self._charge_buffered()

    def _charge_buffered(self) -> None:
        size = self._buffered_bytes if self._buffered_bytes > MAX_SMALL_BYTES else 0
        if size != self._charged_bytes and self._memory is not None:
            added, self._charged_bytes = size - self._charged_bytes, size
            self._memory.charge(added)

    def _receive(self, data: bytes) -> None:
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes < self._needed_bytes:
            return
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        offset, size = 0, len(data)
        self._needed_bytes = HEADER.size
        while size - offset >= HEADER.size:
            length, kind = HEADER.unpack_from(data, offset)
            if length > MAX_FRAME_BYTES:
                self.abort()
                return
            end = offset + HEADER.size + length
            if end > size and length > LARGE_FRAME_BYTES:
                self._chunks, self._buffered_bytes = [], 0
                self._begin_large(kind, length, data[offset + HEADER.size :])
                return
            if end > size:
                self._needed_bytes = HEADER.size + length
                break
            self._pass_on(kind, data[offset + HEADER.size : end])
            if not self.is_open:
                return
            offset = end
        self._chunks = [data[offset:]] if offset < size else []
        self._buffered_bytes = size - offset

    def _pass_on(self, kind: int, payload: bytes | bytearray) -> None:
        self.is_stranger = False
        try:
            self._owner.stream_frame(self, kind, payload)
        except (struct.error, msgspec.DecodeError, RecursionError) as exc:
            log.warning("frame.invalid", kind=kind, bytes=len(payload), error=str(exc)[:200])
            self.abort()

    # Large frames

    def _begin_large(self, kind: int, length: int, data: bytes) -> None:
        self._large_kind, self._large_bytes, self._large_left = kind, length, length
        self._is_dropping = self._memory is not None and not self._memory.has_room(
            allocated_bytes(length)
        )
        self._large = bytearray()
        if self._memory is not None and not self._is_dropping:
            self._large = ChargedBuffer(self._memory)
            self._large.charge(length)
        self._receive_large(data)

    def _receive_large(self, data: bytes) -> bytes:
        """Adds to the payload of a large frame; returns what follows it."""
        rest = data[self._large_left :] if len(data) > self._large_left else b""
        if rest:
            data = data[: self._large_left]
        self._large_left -= len(data)
        if not self._is_dropping:
            self._large += data
        elif len(self._large) < MAX_DROPPED_PREFIX_BYTES:
            self._large += data[: MAX_DROPPED_PREFIX_BYTES - len(self._large)]
        if self._large_left == 0:
            payload, self._large = self._large, None
            if self._is_dropping:
                self._drop(bytes(payload))
            else:
                self._pass_on(self._large_kind, payload)
        return rest

    def _drop(self, prefix: bytes) -> None:
        self._memory.count_refusal("frame")
        log.info("frame.dropped", kind=self._large_kind, bytes=self._large_bytes)
        try:
            self._owner.stream_frame_dropped(self, self._large_kind, prefix)
        except (struct.error, msgspec.DecodeError, RecursionError) as exc:
            log.warning("frame.invalid", kind=self._large_kind, error=str(exc)[:200])
            self.abort()

    def send(self, kind: int, payload: bytes, rest: bytes | bytearray = b"") -> None:
        """Queues a frame, which is written in the next iteration of the event loop.

        `rest` is the end of the payload; it is not copied and must not change any more. Does
        nothing once the connection is lost.
        """
        if self._transport is None:
            return
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        self._outgoing.append(HEADER.pack(len(payload) + len(rest), kind) + payload)
        if rest:
            self._outgoing.append(rest)

    def _flush(self) -> None:
        outgoing, self._outgoing = self._outgoing, []
        if self._transport is None or not outgoing:
            return
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes > MAX_UNSENT_BYTES:
            self.abort()  # One large frame may exceed the limit, but not what comes behind it.
            return
        if len(outgoing) > 1 and sum(map(len, outgoing)) < LARGE_FRAME_BYTES:
            outgoing = [b"".join(outgoing)]
        limit = 0 if unsent_bytes else MAX_SMALL_BYTES
        if len(outgoing) == 1 and len(outgoing[0]) <= limit:
            self._transport.write(outgoing[0])
            return
        if self._memory is not None:
            outgoing = [self._memory.hold(item) if len(item) > limit else item for item in outgoing]
        if self.is_open:  # It may have been given up to make room.
            self._transport.writelines(outgoing)

    @property
    def unsent_bytes(self) -> int:
        """Returns how many bytes of frames the peer has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def _holdings(self) -> Iterator[Holding]:
        """Yields what waits for a peer that is silent."""
        unsent_bytes = self.unsent_bytes
        if unsent_bytes and self._loop.time() > self.last_received_at + STALLED_S and self.is_open:
            yield Holding(unsent_bytes, self.last_received_at, self._give_up)

    def _give_up(self, reason: str) -> None:
        self._memory.count_refusal(f"link_{reason}")
        log.warning("link.given_up", bytes=self.unsent_bytes)
        self.abort()

    def close(self) -> None:
        """Closes the connection after sending the queued frames."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once, without sending or reading more data."""
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()


class Listener:
    """Accepts streams at an address, and closes those that send no frame."""

    def __init__(self, owner: StreamOwner) -> None:
        self._owner = owner
        self._strangers: list[FrameStream] = []
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Starts to listen at `host:port`. Raises OSError."""
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        self._server = await loop.create_server(
            lambda: self._accept(loop), host, port, backlog=BACKLOG
        )

    @property
    def _max_strangers(self) -> int:
        memory: MemoryBudget | None = getattr(self._owner, "memory", None)
        if memory is None or memory.max_connections is None:
            return MAX_STRANGERS
        return max(1, min(MAX_STRANGERS, int(STRANGER_SHARE * memory.max_connections)))

    def _accept(self, loop: asyncio.AbstractEventLoop) -> FrameStream:
        self._strangers = [stream for stream in self._strangers if stream.is_stranger]
        if len(self._strangers) >= self._max_strangers:
            self._close_stranger(self._strangers.pop(0))
        stream = FrameStream(loop, self._owner)
        self._strangers.append(stream)
        loop.call_later(FIRST_FRAME_S, self._close_stranger, stream)
        return stream

    def _close_stranger(self, stream: FrameStream) -> None:
        if stream.is_stranger:
            log.info("stream.closed", reason="no frame")
            stream.abort()

    async def close(self) -> None:
        """Stops accepting streams; the open ones stay."""
        if self._server is not None:
            self._server.close()


async def connect_stream(address: str, owner: StreamOwner) -> FrameStream:
    """Connects to `host:port`. Raises OSError or TimeoutError."""
    if not is_address(address):
        raise OSError(errno.EINVAL, f"not an address: {address[:300]!r}")
    loop = asyncio.get_running_loop()
    host, port = split_address(address)
    async with asyncio.timeout(CONNECT_S):
        _, stream = await loop.create_connection(lambda: FrameStream(loop, owner), host, port)
    return stream
