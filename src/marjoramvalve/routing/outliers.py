"""Ejection of upstreams whose connections fail, with a ceiling on how many are out at once."""

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


class OutlierBook:
    """Counts consecutive failures by upstream."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def succeeded(self, name: str) -> None:
        """Notes an answer."""
        self._records.pop(name, None)

    def failed(self, name: str, now: float) -> None:
        """Notes a failed connection or a failure answered at once.

        Several in a row put the upstream out for a while.
        """
        record = self._records.setdefault(name, _Record())
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            record.failures = 0
            record.until = now + min(MAX_EJECTION_S, EJECTION_S * 2**record.ejections)
            record.ejections += 1

    def usable(self, names: list[str], now: float) -> list[str]:
        """Returns the upstreams that are not out; at least half of them are always usable."""
        if not self._records:
            return names
        out = sorted(
            (name for name in names if name in self._records and now < self._records[name].until),
            key=lambda name: self._records[name].until,
        )
        most = int(len(names) * MAX_EJECTED_RATIO)
        excess = set(out[len(out) - most :]) if most else set()
        return [name for name in names if name not in excess]
