"""Callbacks for the deadlines of many calls on a single event loop timer."""

import asyncio
from collections.abc import Callable

RESOLUTION_S = 0.02  # Callbacks may be this late, so that calls don't need a timer each.


class Deadline:
    """A scheduled callback. It must be cancelled when its call ends, which it would keep alive."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Frees the callback, which will not run."""
        self._callback = None

    def run(self) -> None:
        """Runs the callback, unless it was cancelled."""
        if self._callback is not None:
            self._callback()


class DeadlineScheduler:
    """Runs each callback within `RESOLUTION_S` after its time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._buckets: dict[int, list[Deadline]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next_bucket = 0

    def add(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Schedules `callback` for a time of the event loop's clock, in seconds."""
        bucket = int(when / RESOLUTION_S) + 1
        deadline = Deadline(callback)
        deadlines = self._buckets.get(bucket)
        if deadlines is not None:
            deadlines.append(deadline)
            return deadline
        self._buckets[bucket] = [deadline]
        if self._timer is None or bucket < self._next_bucket:
            self._arm(bucket)
        return deadline

    def _arm(self, bucket: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._next_bucket = bucket
        self._timer = self._loop.call_at(bucket * RESOLUTION_S, self._fire)

    def _fire(self) -> None:
        self._timer = None
        current = int(self._loop.time() / RESOLUTION_S)
        due = sorted(
            bucket for bucket in self._buckets if bucket <= max(current, self._next_bucket)
        )
        for bucket in due:
            for deadline in self._buckets.pop(bucket):
                deadline.run()
        if self._buckets:
            self._arm(min(self._buckets))
