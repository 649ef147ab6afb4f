"""Follows the rate for a cold upstream from step to step."""

import asyncio
from collections.abc import Callable

from marjoramvalve.mesh.announcements import UpstreamAnnouncements

MIN_DELAY_S = 0.001  # A timer that fires too early must not fire again immediately.


class ColdStartTimer:
    """Calls `on_step` with the time when the rate comes to another step.

    Times are on the event loop's clock, in seconds.
    """

    def __init__(
        self, announcements: UpstreamAnnouncements, on_step: Callable[[float], None]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._announcements = announcements
        self._on_step = on_step
        self._timer: asyncio.TimerHandle | None = None

    def configure(self, cold_rate: float, warm_up_s: float) -> None:
        """Sets how many requests per second a cold upstream takes, and how long it is cold."""
        self._announcements.cold_starts.configure(cold_rate, warm_up_s, self._loop.time())
        self.update()

    def assume_restart(self) -> None:
        """Takes the upstream as cold because nobody listens at its address any more."""
        self._announcements.cold_starts.assume_restart(self._loop.time())
        self.update()

    def update(self) -> None:
        """Looks whether there is a change, and when the next one comes."""
        now = self._loop.time()
        if self._announcements.advance_cold_start(now):
            self._on_step(now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_s = self._announcements.cold_starts.next_change_in(now)
        if next_s is not None:
            self._timer = self._loop.call_later(max(MIN_DELAY_S, next_s), self.update)
