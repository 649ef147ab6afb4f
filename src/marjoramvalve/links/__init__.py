"""Framed byte streams between instances."""

from marjoramvalve.links.frames import (
    FrameStream,
    Listener,
    connect_stream,
    is_address,
    split_address,
)

__all__ = ["FrameStream", "Listener", "connect_stream", "is_address", "split_address"]
