"""A controller's part in setting requests aside: it adds up what the nodes tell of ends.

Soft state like the roster: a node tells each controller, and each counts for itself, so that no
leader is needed, and a failure domain that is cut off with its controller goes on. Counts may
differ, since ends reach controllers in different orders: nodes go by the highest.
"""

from collections import OrderedDict

import structlog

from marjoramvalve.fleet.messages import Report, Suspects, UpstreamEnded
from marjoramvalve.retries import SuspectBook, Suspicion

MAX_NODES = 4_096  # Nodes whose last told end is remembered: several times the fleet to come.

log = structlog.get_logger("suspects")


class SuspectAggregator:
    """Takes in ends, and says what all nodes should know."""

    def __init__(self) -> None:
        self.book = SuspectBook()
        self._last_ends: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def record_end(self, report: Report, ended: UpstreamEnded, now: float) -> Suspects | None:
        """Takes in the end of the upstream beside a node; returns the news.

        A node tells its last ends again on each new link: those that are known are left out.
        """
        incarnation, number = self._last_ends.get(report.address, (0, 0))
        if incarnation == report.incarnation and ended.sequence <= number:
            return None
        self._last_ends[report.address] = (report.incarnation, ended.sequence)
        self._last_ends.move_to_end(report.address)
        if len(self._last_ends) > MAX_NODES:
            self._last_ends.popitem(last=False)
        ended_at = now - ended.ago_s
        changed = self.book.note_end(ended.runs, ended_at, ended.hold_s)
        listed = [item for mark in changed if (item := self.book.tell(mark, now)) is not None]
        log.info(
            "upstream.end_told",
            node=report.name,
            ago_s=round(ended.ago_s, 3),
            runs=len(ended.runs),
            listed=[(item.fingerprint.hex(), item.ends) for item in listed],
        )
        return _changes(listed, [])

    def merge(self, suspects: Suspects, now: float) -> Suspects | None:
        """Takes in what a node or another controller says; returns the news."""
        cleared = [item for item in suspects.cleared if self.book.clear(item)]
        listed = [item for item in suspects.listed if self.book.merge(item, now)]
        if cleared:
            log.info("quarantine.cleared", fingerprints=[item.hex() for item in cleared])
        return _changes(listed, cleared)

    def snapshot(self, now: float) -> Suspects | None:
        """Returns everything that a node should know."""
        return _changes(self.book.listed(now), [])


def _changes(listed: list[Suspicion], cleared: list[bytes]) -> Suspects | None:
    return Suspects(tuple(listed), tuple(cleared)) if listed or cleared else None
