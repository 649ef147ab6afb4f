"""Roster of the nodes that report to one controller: soft state that the nodes refresh.

It needs no consensus: each node reports its own address, and a stale entry does no harm because
the ingress at that address states its service and readiness when a link is opened.
"""

from dataclasses import dataclass

from marjoramvalve.fleet.messages import Report, RosterEntry

NODE_TIMEOUT_S = 4.0  # Several report periods; longer than a restart of a node.


@dataclass(slots=True)
class _RosterRecord:
    entry: RosterEntry
    last_report_at: float


class RosterTable:
    """Roster entries by address; a node that takes over an address replaces the earlier one."""

    def __init__(self) -> None:
        self._records: dict[str, _RosterRecord] = {}

    def record_report(self, report: Report, now: float) -> bool:
        """Records a report; returns whether the roster changed."""
        entry = RosterEntry(
            report.name, report.domain, report.address, report.service, report.incarnation
        )
        previous = self._records.get(report.address)
        self._records[report.address] = _RosterRecord(entry, now)
        return previous is None or previous.entry != entry

    def remove(self, report: Report) -> bool:
        """Removes a node that leaves; returns whether it was listed.

        A report of an earlier process at the same address is ignored.
        """
        record = self._records.get(report.address)
        if record is None or record.entry.incarnation != report.incarnation:
            return False
        del self._records[report.address]
        return True

    def expire(self, now: float) -> list[str]:
        """Removes nodes that have stopped reporting; returns their addresses."""
        expired = [
            address
            for address, record in self._records.items()
            if now > record.last_report_at + NODE_TIMEOUT_S
        ]
        for address in expired:
            del self._records[address]
        return expired

    def entries(self) -> tuple[RosterEntry, ...]:
        """Returns all entries."""
        return tuple(record.entry for record in self._records.values())

    def get(self, address: str) -> RosterEntry | None:
        """Returns the entry at an address, or None."""
        record = self._records.get(address)
        return record.entry if record is not None else None
