"""Tells the end of an upstream from a connection that broke.

An upstream that ends breaks all its connections, and nobody listens at its address, or another
start of it says so. One that resets a connection, spoils an answer, or is frozen or cut off
still listens; one that leaves has said so before.
"""

from collections import deque
from dataclasses import dataclass

REFUSED_WINDOW_S = 1.0  # A connection that is refused tells of breaks within the time it may take.
RESTART_WINDOW_S = (
    10.0  # Upstreams that are started again are back in this time and say who they are.
)
MAX_RUNS = 256  # Runs kept; an upstream has some tens of slots.


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run whose connection broke. Times are of the loop's clock.

    `is_repeat` tells that an earlier run of the request had failed before this one began.
    """

    attempt: bytes
    fingerprints: tuple[bytes, ...]
    started_at: float
    broken_at: float
    is_repeat: bool


class CrashDetector:
    """Runs that broke and may have broken because their upstream ended."""

    def __init__(self) -> None:
        self._runs: deque[BrokenRun] = deque(maxlen=MAX_RUNS)

    def record(self, run: BrokenRun) -> None:
        """Takes in a run whose connection broke."""
        self._runs.append(run)

    def take_before_refusal(self, now: float) -> list[BrokenRun]:
        """Returns the runs that broke just before nobody listened, once."""
        return self._take(now - REFUSED_WINDOW_S)

    def take_before_restart(self, now: float) -> list[BrokenRun]:
        """Returns the runs that broke before another start of the upstream showed, once."""
        return self._take(now - RESTART_WINDOW_S)

    def _take(self, since: float) -> list[BrokenRun]:
        runs = [run for run in self._runs if run.broken_at >= since]
        self._runs.clear()
        return runs
