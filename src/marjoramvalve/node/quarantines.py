"""Keeps a node's book of suspects in step with those of the controllers."""

from collections.abc import Callable

from marjoramvalve.fleet import ControlPlaneClient, Suspects
from marjoramvalve.mesh import Quarantine
from marjoramvalve.retries import CrashedRun


class QuarantineSync:
    """Tells the controllers what the node sees, and the node what they say."""

    def __init__(
        self, quarantine: Quarantine, member: ControlPlaneClient, clock: Callable[[], float]
    ) -> None:
        self._quarantine = quarantine
        self._member = member
        self._clock = clock
        quarantine.on_crash = self._on_end
        quarantine.on_cleared = member.report_cleared_requests
        member.on_suspects = self._on_suspects
        member.list_suspects = self._list

    def _on_end(self, runs: list[CrashedRun]) -> None:
        self._member.report_upstream_end(tuple(runs), self._quarantine.hold_s)

    def _on_suspects(self, suspects: Suspects) -> None:
        self._quarantine.merge(suspects.listed, suspects.cleared, self._clock())

    def _list(self) -> Suspects | None:
        listed = self._quarantine.book.listed(self._clock())
        return Suspects(tuple(listed)) if listed else None
