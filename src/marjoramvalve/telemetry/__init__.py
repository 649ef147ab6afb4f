"""Logs, metrics and traces. None of it blocks a call.

Metrics and traces are imported on first use, with the library behind them.
"""

from importlib import import_module

from marjoramvalve.telemetry.exposition import CONTENT_TYPE, Exposition
from marjoramvalve.telemetry.logs import BoundedWriter, set_up_bounded_logs, set_up_logs

_HOMES = {
    "Counters": "metrics",
    "set_up_metrics": "metrics",
    "Tracing": "traces",
    "set_up_traces": "traces",
}

__all__ = [
    *_HOMES,
    "CONTENT_TYPE",
    "BoundedWriter",
    "Exposition",
    "set_up_bounded_logs",
    "set_up_logs",
]


def __getattr__(name: str):
    if name in _HOMES:
        return getattr(import_module(f"{__name__}.{_HOMES[name]}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
