"""Dependencies shared by the parts of the call path."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from marjoramvalve.membership import ConfigView
from marjoramvalve.settings import Settings
from marjoramvalve.telemetry import Counters
from marjoramvalve.wire import Message


@dataclass(slots=True)
class Context:
    """Holds the settings, clocks, random source, links and configuration view of one instance.

    `send_datagram` and `send_stream` send a message to a peer address, as a datagram or over a
    stream. Messages to the instance itself are delivered without a socket.
    """

    cfg: Settings
    incarnation: int
    clock: Callable[[], float]
    wall: Callable[[], float]
    rng: random.Random
    view: ConfigView
    counters: Counters
    send_datagram: Callable[[str, Message], None]
    send_stream: Callable[[str, Message], None]

    def is_current(self) -> bool:
        """Returns whether the configuration and the roster were confirmed within the lease."""
        lease = self.cfg.config_lease * (1 - self.cfg.clock_drift)
        return self.view.is_current(self.clock(), lease)
