"""Structured logs: one line of key=value pairs for each event."""

import logging
import os
import sys
from collections.abc import Callable

import structlog

STDOUT = 1


class _LibraryLogHandler(logging.Handler):
    """Turns what libraries log into events of one line each."""

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
    """Writes lines to a descriptor without blocking, and at most `per_s` of them a second.

    What is left out is counted, and said once a line fits again.
    """

    def __init__(self, per_s: float, clock: Callable[[], float], fd: int = STDOUT) -> None:
        self._per_s = per_s
        self._clock = clock
        self._fd = fd
        self._room = per_s
        self._at = clock()
        self._left_out = 0
        os.set_blocking(fd, False)

    def msg(self, line: str) -> None:
        """Writes a line, or counts it as left out."""
        now = self._clock()
        self._room = min(self._per_s, self._room + self._per_s * (now - self._at))
        self._at = now
        if self._room < 1.0:
            self._left_out += 1
            return
        self._room -= 1.0
        if self._left_out:
            line = f"level='warning' event='log.left_out' lines={self._left_out}\n{line}"
        try:
            os.write(self._fd, f"{line}\n".encode("utf-8", "replace"))
            self._left_out = 0
        except OSError:
            self._left_out += 1

    log = debug = info = warning = error = critical = msg


def set_up_rate_limited_logs(level: str, per_s: float, clock: Callable[[], float]) -> None:
    """Sends events to standard output as key=value lines, bounded and without blocking."""
    writer = RateLimitedWriter(per_s, clock)
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
