"""Messages between instances, their codec, and the two links that carry them."""

from marjoramvalve.wire.codec import Codec, Envelope
from marjoramvalve.wire.datagrams import DatagramLink
from marjoramvalve.wire.messages import *  # noqa: F403
from marjoramvalve.wire.messages import __all__ as _messages
from marjoramvalve.wire.streams import StreamLink

__all__ = ["Codec", "DatagramLink", "Envelope", "StreamLink", *_messages]
