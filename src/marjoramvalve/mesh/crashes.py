"""Tells the crash of an upstream from other broken connections.

An upstream that crashes breaks all its connections, and then either nothing listens on its address
or it reports a new start. An upstream that resets a connection, sends a malformed response, hangs
or is unreachable still listens; one that shuts down has announced it before.

A run that was cancelled has no connection that could break, but its upstream may work on it for a
while and crash. It is attributed to a crash unless the upstream is seen alive later than that.
"""

from collections import deque
from dataclasses import dataclass, replace

# How long before a refused connection a run may have broken: connecting may take that time.
REFUSED_WINDOW_S = 1.0
RESTART_WINDOW_S = 10.0  # Restarted upstreams are back and report their identity within this time.
ABANDONED_S = 3.0  # How long an upstream may work on a cancelled run; most stop at once.
MAX_RUNS = 256  # Runs kept: several times the slots of an upstream, which are some tens.


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run whose connection broke. Times are of the event loop's clock.

    `is_retry` tells that an earlier run of the request had failed before this one started.
    `was_cancelled` tells that the connection was closed to cancel the run.
    """

    attempt: bytes
    fingerprints: tuple[bytes, ...]
    started_at: float
    broken_at: float
    is_retry: bool
    was_cancelled: bool = False


class CrashDetector:
    """Keeps broken and cancelled runs until it is known whether the upstream crashed on them.

    Times are of the event loop's clock, in seconds.
    """

    def __init__(self) -> None:
        self._runs: deque[BrokenRun] = deque(maxlen=MAX_RUNS)
        self._abandoned: deque[BrokenRun] = deque(maxlen=MAX_RUNS)

    def record(self, run: BrokenRun) -> None:
        """Records a run whose connection broke."""
        self._runs.append(run)

    def record_abandoned(self, run: BrokenRun) -> None:
        """Records a run that was cancelled at its `broken_at`, and `was_cancelled`."""
        self._abandoned.append(run)

    def record_alive(self, now: float) -> None:
        """Records that the upstream runs: it has survived the runs cancelled long enough ago."""
        while self._abandoned and now > self._abandoned[0].broken_at + ABANDONED_S:
            self._abandoned.popleft()

    @property
    def has_abandoned(self) -> bool:
        """Whether the upstream may crash on a cancelled run, or may have done so unseen."""
        return bool(self._abandoned)

    def drop_abandoned(self) -> None:
        """Forgets cancelled runs: the upstream shuts down as announced."""
        self._abandoned.clear()

    def take_before_refusal(self, now: float) -> list[BrokenRun]:
        """Removes all runs and returns those that a refused connection attributes to a crash."""
        return self._take(now, REFUSED_WINDOW_S)

    def take_before_restart(self, now: float) -> list[BrokenRun]:
        """Removes all runs and returns those that a restart attributes to a crash."""
        return self._take(now, RESTART_WINDOW_S)

    def _take(self, now: float, window_s: float) -> list[BrokenRun]:
        runs = [run for run in self._runs if run.broken_at >= now - window_s]
        self._runs.clear()
        # Without a broken run, the crash may have happened at any time before it showed.
        crashed_since = min((run.broken_at for run in runs), default=now - RESTART_WINDOW_S)
        abandoned = [
            replace(run, broken_at=now)
            for run in self._abandoned
            if run.broken_at + ABANDONED_S >= crashed_since
        ]
        self._abandoned.clear()
        return abandoned + runs
