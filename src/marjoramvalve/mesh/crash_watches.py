"""Watches the upstream beside a node for crashes."""

import asyncio
from collections.abc import Callable

import structlog

from marjoramvalve.mesh.crashes import BrokenRun, CrashDetector

MAX_LOGGED_RUNS = 5  # Requests listed when the upstream crashes; each also has its own log line.

log = structlog.get_logger("ingress")


class CrashWatch:
    """Finds out whether the upstream has crashed on broken and cancelled runs.

    `check_listening` calls back with whether a process listens at the upstream's address.
    `on_crash` gets the runs and the time on the event loop's clock, in seconds. `crashes` counts
    the crashes, and `instance` names the upstream that runs now.
    """

    def __init__(
        self,
        check_listening: Callable[[Callable[[bool], None]], None],
        on_crash: Callable[[list[BrokenRun], float], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._check_listening = check_listening
        self._on_crash = on_crash
        self.detector = CrashDetector()
        self.is_checking_listener = False
        self.crashes = 0
        self.instance = ""

    def record_broken(self, run: BrokenRun) -> None:
        """Records a run whose connection the upstream closed."""
        self.detector.record(run)
        self.check_listening()

    def record_restart(self, instance: str, sign: str) -> None:
        """Records that another run of the upstream has replaced the one of this name."""
        self._report(self.detector.take_before_restart(self._loop.time()), instance, sign)

    def check_listening(self) -> None:
        """Takes the upstream for crashed if nothing listens at its address."""
        if not self.is_checking_listener:
            self.is_checking_listener = True
            self._check_listening(self._on_listener_checked)

    def _on_listener_checked(self, is_listening: bool) -> None:
        self.is_checking_listener = False
        if not is_listening:
            runs = self.detector.take_before_refusal(self._loop.time())
            self._report(runs, self.instance, "connection refused")

    def _report(self, runs: list[BrokenRun], instance: str, sign: str) -> None:
        if not runs:
            return
        self.crashes += 1
        log.warning(
            "upstream.ended",
            instance=instance,
            sign=sign,
            runs=len(runs),
            requests=[run.attempt for run in runs[:MAX_LOGGED_RUNS]],
        )
        self._on_crash(runs, self._loop.time())
