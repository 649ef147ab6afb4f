"""Connects the call path with the control plane within one process."""

from marjoramvalve.node.allocators import keep_large_buffers_apart
from marjoramvalve.node.machine_limits import ProcessLimits, resolve_limits
from marjoramvalve.node.meters import LoadMeter
from marjoramvalve.node.quarantines import QuarantineSync

__all__ = [
    "LoadMeter",
    "ProcessLimits",
    "QuarantineSync",
    "keep_large_buffers_apart",
    "resolve_limits",
]
