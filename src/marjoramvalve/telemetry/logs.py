"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys

import structlog


class _LibraryHandler(logging.Handler):
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
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
    structlog.contextvars.bind_contextvars(instance=instance)
