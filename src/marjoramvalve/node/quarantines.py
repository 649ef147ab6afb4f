"""Synchronizes a node's suspects with those of the controllers."""

from collections.abc import Callable

from marjoramvalve.fleet import ControlPlaneClient, Suspects
from marjoramvalve.mesh import Quarantine
from marjoramvalve.retries import CrashedRun


class QuarantineSync:
    """Reports crashes and suspects to the controllers, and merges the suspects they send."""

    def __init__(
        self, quarantine: Quarantine, client: ControlPlaneClient, clock: Callable[[], float]
    ) -> None:
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        quarantine.on_crash = self._on_crash
        quarantine.on_cleared = client.report_cleared_requests
        client.on_suspects = self._on_suspects
        client.list_suspects = self._list_suspects

    def _on_crash(self, runs: list[CrashedRun]) -> None:
        self._client.report_upstream_end(tuple(runs), self._quarantine.hold_s)

    def _on_suspects(self, suspects: Suspects) -> None:
        self._quarantine.merge(suspects.listed, suspects.cleared, self._clock())

    def _list_suspects(self) -> Suspects | None:
        listed = self._quarantine.table.listed(self._clock())
        return Suspects(tuple(listed)) if listed else None
