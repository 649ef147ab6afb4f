"""Messages between instances, their codec, and the datagram and stream links.

The codec and the links are imported on first use, so that a process that needs only the messages
does not load the libraries they depend on.
"""

from importlib import import_module

from marjoramvalve.wire.messages import *  # noqa: F403
from marjoramvalve.wire.messages import __all__ as _message_names

_LAZY_MODULES = {
    "Codec": "codec",
    "Envelope": "codec",
    "DatagramLink": "datagrams",
    "StreamLink": "streams",
}

__all__ = [*_LAZY_MODULES, *_message_names]


def __getattr__(name: str):
    if name in _LAZY_MODULES:
        return getattr(import_module(f"{__name__}.{_LAZY_MODULES[name]}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
