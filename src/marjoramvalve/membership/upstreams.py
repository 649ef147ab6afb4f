"""Upstreams local to this instance: announcements, heartbeats, draining and loss."""

from dataclasses import dataclass
from enum import StrEnum

from marjoramvalve.wire.messages import UpstreamInfo


class UpstreamStatus(StrEnum):
    """State of a local upstream."""

    UP = "up"
    DRAINING = "draining"
    LOST = "lost"


@dataclass(slots=True)
class LocalUpstream:
    """An upstream with its last heartbeat and its start time on the local clock, in seconds.

    `load` is reported by the upstream itself and may be wrong.
    """

    info: UpstreamInfo
    status: UpstreamStatus
    heard_at: float
    started_at: float
    load: float = 0.0


class LocalUpstreams:
    """Registry of the upstreams that announced themselves to this instance.

    An upstream is lost after `silence_s` seconds without a heartbeat.
    """

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._items: dict[str, LocalUpstream] = {}

    def announce(self, info: UpstreamInfo, now: float, uptime_s: float) -> bool:
        """Handles an announcement or heartbeat; returns False if a newer incarnation is known."""
        item = self._items.get(info.name)
        if item is not None and item.info.incarnation > info.incarnation:
            return False
        if item is None or item.info != info:
            self._items[info.name] = LocalUpstream(info, UpstreamStatus.UP, now, now - uptime_s)
            return True
        item.heard_at = now
        if item.status is UpstreamStatus.LOST:
            item.status = UpstreamStatus.UP
        return True

    def report(self, name: str, load: float) -> None:
        """Records the load that an upstream reports; unknown names are ignored."""
        if name in self._items:
            self._items[name].load = load

    def drain(self, name: str) -> bool:
        """Marks an upstream as draining: it gets no new work; returns False if it is unknown."""
        item = self._items.get(name)
        if item is None:
            return False
        item.status = UpstreamStatus.DRAINING
        return True

    def leave(self, name: str) -> bool:
        """Removes an upstream that has left; returns False if it is unknown."""
        return self._items.pop(name, None) is not None

    def expire(self, now: float) -> list[str]:
        """Marks silent upstreams as lost and returns their names."""
        lost = []
        for name, item in self._items.items():
            if item.status is not UpstreamStatus.LOST and now > item.heard_at + self._silence_s:
                item.status = UpstreamStatus.LOST
                lost.append(name)
        return lost

    def get(self, name: str) -> LocalUpstream | None:
        """Returns the upstream with this name, or None."""
        return self._items.get(name)

    def all(self) -> tuple[LocalUpstream, ...]:
        """Returns every upstream."""
        return tuple(self._items.values())

    def announced(self) -> tuple[UpstreamInfo, ...]:
        """Returns the upstreams to list in the roster: those up or draining."""
        return tuple(
            item.info for item in self._items.values() if item.status is not UpstreamStatus.LOST
        )
