"""Ejection of failing upstreams, limited to a share of the upstreams at any time."""

from dataclasses import dataclass

FAILURES_TO_EJECT = 3
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_RATIO = 0.5


@dataclass(slots=True)
class _Record:
    failures: int = 0
    ejections: int = 0
    until: float = 0.0


class OutlierDetector:
    """Counts consecutive failures of each upstream and ejects those that fail repeatedly.

    Each further ejection lasts twice as long, until a success resets the upstream.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_success(self, name: str) -> None:
        """Resets an upstream that has answered."""
        self._records.pop(name, None)

    def record_failure(self, name: str, now: float) -> None:
        """Records a failed connection or an immediate error response.

        `FAILURES_TO_EJECT` in a row eject the upstream.
        """
        record = self._records.setdefault(name, _Record())
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            record.failures = 0
            record.until = now + min(MAX_EJECTION_S, EJECTION_S * 2**record.ejections)
            record.ejections += 1

    def usable(self, names: list[str], now: float) -> list[str]:
        """Returns the upstreams that are not ejected, always at least half of them.

        If more are ejected than `MAX_EJECTED_RATIO` allows, those whose ejection ends first stay
        in use.
        """
        if not self._records:
            return names
        ejected = sorted(
            (name for name in names if name in self._records and now < self._records[name].until),
            key=lambda name: self._records[name].until,
        )
        max_ejected = int(len(names) * MAX_EJECTED_RATIO)
        excluded = set(ejected[len(ejected) - max_ejected :]) if max_ejected else set()
        return [name for name in names if name not in excluded]
