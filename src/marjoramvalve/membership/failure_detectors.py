"""Silence of instances as the leader sees it, and suspicion by several observers."""

from dataclasses import dataclass, field

OBSERVERS_NEEDED = 2
ALONE_FACTOR = 2.0


@dataclass(slots=True)
class _Heard:
    at: float
    suspected_by: dict[str, float] = field(default_factory=dict)


class SilenceWatch:
    """Decides which instances leave the roster unplanned.

    An instance goes after `remove_after_s` of silence towards the leader when two observers
    suspect it as well, and after twice that time without any.
    """

    def __init__(self, remove_after_s: float, now: float) -> None:
        self._remove_after_s = remove_after_s
        self._started = now
        self._heard: dict[str, _Heard] = {}

    def _of(self, name: str) -> _Heard:
        return self._heard.setdefault(name, _Heard(self._started))

    def heard(self, name: str, at: float, suspects: tuple[str, ...]) -> None:
        """Notes a sign of life from an instance, and whom it suspects."""
        item = self._of(name)
        item.at = max(item.at, at)
        for other in suspects:
            self._of(other).suspected_by[name] = at

    def silence(self, name: str, now: float) -> float:
        """Returns for how many seconds an instance has been silent."""
        return now - self._of(name).at

    def suspected(self, name: str, now: float) -> int:
        """Returns how many observers suspect an instance at present."""
        recent = now - self._remove_after_s
        return sum(1 for at in self._of(name).suspected_by.values() if at > recent)

    def due(self, names: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Returns the instances to remove now."""
        return tuple(name for name in names if self._is_due(name, now))

    def _is_due(self, name: str, now: float) -> bool:
        silence = self.silence(name, now)
        if silence < self._remove_after_s:
            return False
        if silence >= ALONE_FACTOR * self._remove_after_s:
            return True
        return self.suspected(name, now) >= OBSERVERS_NEEDED
