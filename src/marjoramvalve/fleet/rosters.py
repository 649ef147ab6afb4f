"""Roster of the nodes, as one controller hears of them: soft state that nodes repeat.

It needs no consensus: a node says of itself where it is, and a stale entry does no harm, since
the ingress it leads to answers for itself.
"""

from dataclasses import dataclass

from marjoramvalve.fleet.messages import Report, RosterEntry

NODE_TIMEOUT_S = 4.0  # Several missed reports; a restart takes less.


@dataclass(slots=True)
class _RosterRecord:
    entry: RosterEntry
    last_report_at: float


class RosterTable:
    """Entries by address: a machine that takes the address of another takes its place."""

    def __init__(self) -> None:
        self._records: dict[str, _RosterRecord] = {}

    def record_report(self, report: Report, now: float) -> bool:
        """Takes in a report; True where the roster changes."""
        entry = RosterEntry(
            report.name, report.domain, report.address, report.service, report.incarnation
        )
        before = self._records.get(report.address)
        self._records[report.address] = _RosterRecord(entry, now)
        return before is None or before.entry != entry

    def remove(self, report: Report) -> bool:
        """Takes a node out that leaves; True where it was there."""
        item = self._records.get(report.address)
        if item is None or item.entry.incarnation != report.incarnation:
            return False
        del self._records[report.address]
        return True

    def expire(self, now: float) -> list[str]:
        """Takes out the nodes that have been silent for long; returns their addresses."""
        gone = [
            key for key, item in self._records.items() if now > item.last_report_at + NODE_TIMEOUT_S
        ]
        for address in gone:
            del self._records[address]
        return gone

    def entries(self) -> tuple[RosterEntry, ...]:
        """Returns every entry."""
        return tuple(item.entry for item in self._records.values())

    def get(self, address: str) -> RosterEntry | None:
        """Returns the entry at an address."""
        item = self._records.get(address)
        return item.entry if item is not None else None
