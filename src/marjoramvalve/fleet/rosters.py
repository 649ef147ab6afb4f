"""Roster of the nodes, as one controller hears of them: soft state that nodes repeat.

It needs no consensus: a node says of itself where it is, and a stale entry does no harm, since
the ingress it leads to answers for itself.
"""

from dataclasses import dataclass

from marjoramvalve.fleet.messages import Report, RosterEntry

GONE_AFTER_S = 4.0  # Several missed reports; a restart takes less.
DECAY_S = 2.0  # A report of pressure counts for this long.


@dataclass(slots=True)
class _Known:
    entry: RosterEntry
    heard_at: float
    pressure: float


class RosterBook:
    """Entries by node name."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def note(self, report: Report, now: float) -> bool:
        """Takes in a report; True where the roster changes."""
        entry = RosterEntry(
            report.name, report.domain, report.address, report.service, report.incarnation
        )
        before = self._known.get(report.name)
        self._known[report.name] = _Known(entry, now, report.pressure)
        return before is None or before.entry != entry

    def drop(self, name: str) -> bool:
        """Takes a node out; True where it was there."""
        return self._known.pop(name, None) is not None

    def expire(self, now: float) -> list[str]:
        """Takes out the nodes that have been silent for long; returns their names."""
        gone = [name for name, item in self._known.items() if now > item.heard_at + GONE_AFTER_S]
        for name in gone:
            del self._known[name]
        return gone

    def entries(self) -> tuple[RosterEntry, ...]:
        """Returns every entry."""
        return tuple(item.entry for item in self._known.values())

    def get(self, name: str) -> RosterEntry | None:
        """Returns the entry of a node."""
        item = self._known.get(name)
        return item.entry if item is not None else None

    def pressure(self, now: float) -> dict[str, float]:
        """Returns the mean pressure of each service."""
        sums: dict[str, tuple[float, int]] = {}
        for item in self._known.values():
            if now < item.heard_at + DECAY_S:
                total, count = sums.get(item.entry.service, (0.0, 0))
                sums[item.entry.service] = (total + item.pressure, count + 1)
        return {service: round(total / count, 2) for service, (total, count) in sums.items()}
