"""Framed byte streams between instances."""

from marjoramvalve.links.frames import FrameStream, Listener, connect_stream, split_address

__all__ = ["FrameStream", "Listener", "connect_stream", "split_address"]
