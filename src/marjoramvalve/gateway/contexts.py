"""What the parts of the call path share."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from marjoramvalve.membership import ConfigView
from marjoramvalve.settings import Settings
from marjoramvalve.telemetry import Counters
from marjoramvalve.wire import Message


@dataclass(slots=True)
class Context:
    """Settings, clocks, random source, links and the configuration view of one instance.

    `cast` sends a datagram and `send` a stream message, both to a peer address. Messages to the
    instance itself come back to it without a socket.
    """

    cfg: Settings
    incarnation: int
    clock: Callable[[], float]
    wall: Callable[[], float]
    rng: random.Random
    view: ConfigView
    counters: Counters
    cast: Callable[[str, Message], None]
    send: Callable[[str, Message], None]

    def is_current(self) -> bool:
        """Tells whether configuration and roster were confirmed within the lease."""
        lease = self.cfg.config_lease * (1 - self.cfg.clock_drift)
        return self.view.is_current(self.clock(), lease)
