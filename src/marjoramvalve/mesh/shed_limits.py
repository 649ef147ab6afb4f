"""Limits how many requests an upstream runs at once after it has shed some.

Answers upstreams that take fewer requests than the slots that they announce.
"""

SHED_LIMIT_FACTOR = 0.95  # Applied to the limit when the upstream sheds a call.
MIN_LIMIT_FRACTION = 0.6  # Of the announced slots; shedding does not reduce the limit below it.
LIMIT_RECOVERY_PER_S = 0.2  # Fraction of the announced slots that the limit regains per second.


class ShedLimit:
    """A limit that shedding lowers and that recovers. Times are in seconds."""

    def __init__(self, now: float) -> None:
        self._limit = 0.0
        self._updated_at = now

    def reset(self, slots: int) -> None:
        """Starts with all slots, for another run of the upstream."""
        self._limit = float(slots)

    def record_shed(self, running: int) -> None:
        """Records that the upstream has shed one of so many requests."""
        self._limit = min(self._limit, running) * SHED_LIMIT_FACTOR

    def update(self, slots: int, now: float) -> int:
        """Returns how many of the announced slots may be used now."""
        announced = float(slots)
        if self._limit < announced:
            recovered = announced * LIMIT_RECOVERY_PER_S * (now - self._updated_at)
            self._limit = min(
                announced, max(announced * MIN_LIMIT_FRACTION, self._limit) + recovered
            )
        else:
            self._limit = announced
        self._updated_at = now
        return int(self._limit)
