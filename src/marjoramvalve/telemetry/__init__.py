"""Logs, metrics and traces. None of it blocks a call."""

from marjoramvalve.telemetry.logs import set_up_logs
from marjoramvalve.telemetry.metrics import Counters, set_up_metrics
from marjoramvalve.telemetry.traces import Tracing, set_up_traces

__all__ = ["Counters", "Tracing", "set_up_logs", "set_up_metrics", "set_up_traces"]
