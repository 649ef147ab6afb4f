"""Framed byte streams between instances."""

from marjoramvalve.links.frames import (
    ADDRESS_PATTERN,
    MAX_FRAME_BYTES,
    FrameStream,
    Listener,
    connect_stream,
    is_address,
    split_address,
)
from marjoramvalve.links.memory_budgets import (
    MAX_SMALL_BYTES,
    UNCOUNTED_BYTES,
    ChargedBuffer,
    Holding,
    MemoryBudget,
    allocated_bytes,
    plain_bytes,
)

__all__ = [
    "ADDRESS_PATTERN",
    "MAX_FRAME_BYTES",
    "MAX_SMALL_BYTES",
    "UNCOUNTED_BYTES",
    "ChargedBuffer",
    "FrameStream",
    "Holding",
    "Listener",
    "MemoryBudget",
    "allocated_bytes",
    "connect_stream",
    "is_address",
    "plain_bytes",
    "split_address",
]
