"""Quarantine of requests at a controller: aggregates the upstream ends that nodes report.

Soft state like the roster: a node reports to every controller, and each one counts independently,
so that no leader is needed and a partitioned failure domain continues with its own controller.
Counts may differ because reports reach controllers in different orders: nodes use the highest.
"""

from collections import OrderedDict

import structlog

from marjoramvalve.fleet.messages import Report, Suspects, UpstreamEnded
from marjoramvalve.retries import ListedSuspect, SuspectTable

MAX_NODES = 4_096  # Nodes whose last end is remembered; several times the planned fleet size.

log = structlog.get_logger("suspects")


class SuspectAggregator:
    """Aggregates reported upstream ends and returns the changes to send to all nodes."""

    def __init__(self) -> None:
        self.table = SuspectTable()
        self._last_ends: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def record_end(self, report: Report, ended: UpstreamEnded, now: float) -> Suspects | None:
        """Records the end of a node's upstream; returns the changed suspects, or None.

        A node resends its latest ends on each new link; those recorded before are ignored.
        """
        incarnation, sequence = self._last_ends.get(report.address, (0, 0))
        if incarnation == report.incarnation and ended.sequence <= sequence:
            return None
        self._last_ends[report.address] = (report.incarnation, ended.sequence)
        self._last_ends.move_to_end(report.address)
        if len(self._last_ends) > MAX_NODES:
            self._last_ends.popitem(last=False)
        ended_at = now - ended.ago_s
        changed = self.table.record_crash(ended.runs, ended_at, ended.hold_s)
        listed = [
            item
            for fingerprint in changed
            if (item := self.table.get_listed(fingerprint, now)) is not None
        ]
        log.info(
            "upstream.end_told",
            node=report.name,
            ago_s=round(ended.ago_s, 3),
            runs=len(ended.runs),
            listed=[(item.fingerprint.hex(), item.crashes) for item in listed],
        )
        return _changes(listed, [])

    def merge(self, suspects: Suspects, now: float) -> Suspects | None:
        """Merges suspects from a node or another controller; returns the changes, or None."""
        cleared = [item for item in suspects.cleared if self.table.clear(item)]
        listed = [item for item in suspects.listed if self.table.merge(item, now)]
        if cleared:
            log.info("quarantine.cleared", fingerprints=[item.hex() for item in cleared])
        return _changes(listed, cleared)

    def snapshot(self, now: float) -> Suspects | None:
        """Returns all listed suspects, or None."""
        return _changes(self.table.listed(now), [])


def _changes(listed: list[ListedSuspect], cleared: list[bytes]) -> Suspects | None:
    return Suspects(tuple(listed), tuple(cleared)) if listed or cleared else None
