"""Failure detection of instances at the leader, from heartbeats and observers' suspicions."""

from dataclasses import dataclass, field

MIN_SUSPECTING_OBSERVERS = 2
NO_SUSPICION_FACTOR = 2.0


@dataclass(slots=True)
class _Liveness:
    heard_at: float
    suspected_at: dict[str, float] = field(default_factory=dict)


class FailureDetector:
    """Decides which instances are removed from the roster as failed.

    An instance is removed after `remove_after_s` of silence at the leader when two observers
    suspect it as well, and after twice that time without any.
    """

    def __init__(self, remove_after_s: float, now: float) -> None:
        self._remove_after_s = remove_after_s
        self._started_at = now
        self._liveness: dict[str, _Liveness] = {}

    def _of(self, name: str) -> _Liveness:
        return self._liveness.setdefault(name, _Liveness(self._started_at))

    def record_heartbeat(self, name: str, heard_at: float, suspects: tuple[str, ...]) -> None:
        """Records a heartbeat of an instance and the instances that it suspects."""
        item = self._of(name)
        item.heard_at = max(item.heard_at, heard_at)
        for other in suspects:
            self._of(other).suspected_at[name] = heard_at

    def silence_s(self, name: str, now: float) -> float:
        """Returns for how many seconds an instance has been silent."""
        return now - self._of(name).heard_at

    def count_suspicions(self, name: str, now: float) -> int:
        """Returns how many observers have recently suspected an instance."""
        recent = now - self._remove_after_s
        return sum(1 for at in self._of(name).suspected_at.values() if at > recent)

    def find_failed(self, names: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Returns the instances to remove now."""
        return tuple(name for name in names if self._has_failed(name, now))

    def _has_failed(self, name: str, now: float) -> bool:
        silence = self.silence_s(name, now)
        if silence < self._remove_after_s:
            return False
        if silence >= NO_SUSPICION_FACTOR * self._remove_after_s:
            return True
        return self.count_suspicions(name, now) >= MIN_SUSPECTING_OBSERVERS
