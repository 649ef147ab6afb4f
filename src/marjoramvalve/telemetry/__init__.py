"""Logs, metrics and traces, none of which blocks a call.

The OpenTelemetry metrics and traces are imported on first use, because they load its SDK.
"""

from importlib import import_module

from marjoramvalve.telemetry.exposition import CONTENT_TYPE, MetricsRegistry
from marjoramvalve.telemetry.logs import RateLimitedWriter, set_up_logs, set_up_rate_limited_logs

_LAZY_IMPORTS = {
    "Counters": "metrics",
    "set_up_metrics": "metrics",
    "Tracing": "traces",
    "set_up_traces": "traces",
}

__all__ = [
    *_LAZY_IMPORTS,
    "CONTENT_TYPE",
    "MetricsRegistry",
    "RateLimitedWriter",
    "set_up_logs",
    "set_up_rate_limited_logs",
]


def __getattr__(name: str):
    if name in _LAZY_IMPORTS:
        return getattr(import_module(f"{__name__}.{_LAZY_IMPORTS[name]}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
