"""Messages between instances, their codec, and the two links that carry them.

Codec and links are imported on first use: a process that needs the messages alone does not load
the libraries behind them.
"""

from importlib import import_module

from marjoramvalve.wire.messages import *  # noqa: F403
from marjoramvalve.wire.messages import __all__ as _messages

_HOMES = {
    "Codec": "codec",
    "Envelope": "codec",
    "DatagramLink": "datagrams",
    "StreamLink": "streams",
}

__all__ = [*_HOMES, *_messages]


def __getattr__(name: str):
    if name in _HOMES:
        return getattr(import_module(f"{__name__}.{_HOMES[name]}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
