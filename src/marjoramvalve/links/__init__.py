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

__all__ = [
    "ADDRESS_PATTERN",
    "MAX_FRAME_BYTES",
    "FrameStream",
    "Listener",
    "connect_stream",
    "is_address",
    "split_address",
]
