"""Outgoing link to another control-plane process, reconnected whenever it is lost."""

import asyncio
from collections.abc import Callable

import structlog

from marjoramvalve.fleet.messages import FrameKind
from marjoramvalve.links import FrameStream, connect_stream

CHECK_INTERVAL_S = 0.25
PING_AFTER_S = 0.5  # A link that has been silent for this long is pinged.
SILENCE_TIMEOUT_S = 1.3  # A link that has been silent for this long is reconnected.
MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.1, 0.8

log = structlog.get_logger("links")


class ReconnectingLink:
    """Keeps one stream open to an address, and reconnects it with exponential backoff.

    `on_open` is called after each successful connection, and `on_frame` with the kind and payload
    of each frame received, except for answers to pings.
    """

    def __init__(
        self,
        address: str,
        on_open: Callable[["ReconnectingLink"], None],
        on_frame: Callable[["ReconnectingLink", int, bytes], None],
    ) -> None:
        self.address = address
        self._on_open = on_open
        self._on_frame = on_frame
        self._loop = asyncio.get_running_loop()
        self._stream: FrameStream | None = None
        self._task: asyncio.Task | None = None
        self._unreachable_logged = False

    @property
    def is_open(self) -> bool:
        """Whether the link is up."""
        return self._stream is not None

    def start(self) -> None:
        """Starts connecting in the background."""
        self._task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            if self._stream is None:
                try:
                    await connect_stream(self.address, self)
                    delay_s = MIN_RECONNECT_DELAY_S
                    continue
                except (OSError, TimeoutError) as exc:
                    if not self._unreachable_logged:
                        self._unreachable_logged = True
                        log.info("link.unreachable", address=self.address, error=repr(exc))
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RECONNECT_DELAY_S, delay_s * 2)
                continue
            await asyncio.sleep(CHECK_INTERVAL_S)
            stream = self._stream
            if stream is None:
                continue
            silent_s = self._loop.time() - stream.last_received_at
            if silent_s > SILENCE_TIMEOUT_S:
                log.warning("link.silent", address=self.address, silent_s=round(silent_s, 2))
                stream.abort()
                self._stream = None
            elif silent_s > PING_AFTER_S:
                stream.send(FrameKind.PING, b"")

    def send(self, kind: int, payload: bytes) -> bool:
        """Sends a frame; returns False, and drops the frame, if the link is down."""
        if self._stream is None:
            return False
        self._stream.send(kind, payload)
        return True

    def stream_opened(self, stream: FrameStream) -> None:
        """Records the new stream and calls `on_open`."""
        self._stream = stream
        self._unreachable_logged = False
        log.info("link.up", address=self.address)
        self._on_open(self)

    def stream_closed(self, stream: FrameStream) -> None:
        """Marks the link as down, so that it is reconnected."""
        if self._stream is stream:
            self._stream = None
            log.info("link.lost", address=self.address)

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Passes a frame to `on_frame`, unless it answers a ping."""
        if kind != FrameKind.PONG:
            self._on_frame(self, kind, payload)

    def close(self) -> None:
        """Closes the link and stops reconnecting."""
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()
            self._stream = None
