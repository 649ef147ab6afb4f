"""A link to another process of the control plane that is made anew whenever it is lost."""

import asyncio
from collections.abc import Callable

import structlog

from marjoramvalve.fleet.messages import FrameKind
from marjoramvalve.links import FrameStream, connect_stream

CHECK_S = 0.25
PING_AFTER_S = 0.5  # A link that has been silent for this is asked.
LOST_AFTER_S = 1.3  # A link silent for this is made anew.
RECONNECT_S, MOST_RECONNECT_S = 0.1, 0.8

log = structlog.get_logger("links")


class Dialer:
    """Keeps one stream to an address."""

    def __init__(
        self,
        address: str,
        on_open: Callable[["Dialer"], None],
        on_frame: Callable[["Dialer", int, bytes], None],
    ) -> None:
        self.address = address
        self._on_open = on_open
        self._on_frame = on_frame
        self._loop = asyncio.get_running_loop()
        self._stream: FrameStream | None = None
        self._task: asyncio.Task | None = None
        self._lost_logged = False

    @property
    def is_open(self) -> bool:
        """Tells whether frames can be sent."""
        return self._stream is not None

    def start(self) -> None:
        """Starts connecting."""
        self._task = self._loop.create_task(self._run())

    async def _run(self) -> None:
        pause_s = RECONNECT_S
        while True:
            if self._stream is None:
                try:
                    await connect_stream(self.address, self)
                    pause_s = RECONNECT_S
                    continue
                except (OSError, TimeoutError) as exc:
                    if not self._lost_logged:
                        self._lost_logged = True
                        log.info("link.unreachable", address=self.address, error=repr(exc))
                await asyncio.sleep(pause_s)
                pause_s = min(MOST_RECONNECT_S, pause_s * 2)
                continue
            await asyncio.sleep(CHECK_S)
            stream = self._stream
            if stream is None:
                continue
            silent_s = self._loop.time() - stream.last_received_at
            if silent_s > LOST_AFTER_S:
                log.warning("link.silent", address=self.address, silent_s=round(silent_s, 2))
                stream.abort()
                self._stream = None
            elif silent_s > PING_AFTER_S:
                stream.send(FrameKind.PING, b"")

    def send(self, kind: int, payload: bytes) -> bool:
        """Sends a frame; False where the link is down."""
        if self._stream is None:
            return False
        self._stream.send(kind, payload)
        return True

    def stream_opened(self, stream: FrameStream) -> None:
        """Tells the owner."""
        self._stream = stream
        self._lost_logged = False
        log.info("link.up", address=self.address)
        self._on_open(self)

    def stream_closed(self, stream: FrameStream) -> None:
        """Lets the link be made anew."""
        if self._stream is stream:
            self._stream = None
            log.info("link.lost", address=self.address)

    def stream_frame(self, stream: FrameStream, kind: int, payload: bytes) -> None:
        """Hands a frame on."""
        if kind != FrameKind.PONG:
            self._on_frame(self, kind, payload)

    def close(self) -> None:
        """Ends the link."""
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()
            self._stream = None
