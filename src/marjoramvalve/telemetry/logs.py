"""Structured logs: one line of key=value pairs for each event."""

import logging
import os
import sys
from collections.abc import Callable

import structlog

STDOUT_FD = 1


class _LibraryLogHandler(logging.Handler):
    """Logs each record of a library as an event on one line."""

    def emit(self, record: logging.LogRecord) -> None:
        problem = repr(record.exc_info[1]) if record.exc_info else ""
        log = structlog.get_logger(record.name)
        log.warning("library.message", source=record.name, text=record.getMessage(), error=problem)


def set_up_logs(level: str, instance: str) -> None:
    """Sends events to standard error as key=value lines."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    logging.basicConfig(handlers=[_LibraryLogHandler()], level=logging.WARNING, force=True)
    structlog.contextvars.bind_contextvars(instance=instance)


class RateLimitedWriter:
    """Writes at most `max_lines_per_s` lines a second to a file descriptor, without blocking.

    Dropped lines are counted; their number is logged before the next line that is written.
    """

    def __init__(
        self, max_lines_per_s: float, clock: Callable[[], float], fd: int = STDOUT_FD
    ) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._clock = clock
        self._fd = fd
        self._tokens = max_lines_per_s
        self._refilled_at = clock()
        self._dropped = 0
        os.set_blocking(fd, False)

    def msg(self, line: str) -> None:
        """Writes a line, or counts it as dropped."""
        now = self._clock()
        self._tokens = min(
            self._max_lines_per_s, self._tokens + self._max_lines_per_s * (now - self._refilled_at)
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        if self._dropped:
            line = f"level='warning' event='log.left_out' lines={self._dropped}\n{line}"
        try:
            os.write(self._fd, f"{line}\n".encode("utf-8", "replace"))
            self._dropped = 0
        except OSError:
            self._dropped += 1

    log = debug = info = warning = error = critical = msg


def set_up_rate_limited_logs(
    level: str, max_lines_per_s: float, clock: Callable[[], float]
) -> None:
    """Sends events to standard output as key=value lines, rate-limited and without blocking."""
    writer = RateLimitedWriter(max_lines_per_s, clock)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(handlers=[_LibraryLogHandler()], level=logging.WARNING, force=True)
