"""Tells the crash of an upstream from other broken connections.

An upstream that crashes breaks all its connections, and then either nothing listens on its address
or it reports a new start. An upstream that resets a connection, sends a malformed response, hangs
or is unreachable still listens; one that shuts down has announced it before.
"""

from collections import deque
from dataclasses import dataclass

# How long before a refused connection a run may have broken: connecting may take that time.
REFUSED_WINDOW_S = 1.0
RESTART_WINDOW_S = 10.0  # Restarted upstreams are back and report their identity within this time.
MAX_RUNS = 256  # Runs kept: several times the slots of an upstream, which are some tens.


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run whose connection broke. Times are of the event loop's clock.

    `is_retry` tells that an earlier run of the request had failed before this one started.
    """

    attempt: bytes
    fingerprints: tuple[bytes, ...]
    started_at: float
    broken_at: float
    is_retry: bool


class CrashDetector:
    """Keeps broken runs until it is known whether a crash of the upstream broke them."""

    def __init__(self) -> None:
        self._runs: deque[BrokenRun] = deque(maxlen=MAX_RUNS)

    def record(self, run: BrokenRun) -> None:
        """Records a run whose connection broke."""
        self._runs.append(run)

    def take_before_refusal(self, now: float) -> list[BrokenRun]:
        """Removes all runs and returns those that broke just before a connection was refused."""
        return self._take(now - REFUSED_WINDOW_S)

    def take_before_restart(self, now: float) -> list[BrokenRun]:
        """Removes all runs and returns those that broke shortly before the upstream restarted."""
        return self._take(now - RESTART_WINDOW_S)

    def _take(self, since: float) -> list[BrokenRun]:
        runs = [run for run in self._runs if run.broken_at >= since]
        self._runs.clear()
        return runs
