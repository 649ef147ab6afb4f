"""Callbacks for the deadlines of many calls on a single event loop timer."""

import asyncio
from collections.abc import Callable

RESOLUTION_S = 0.02  # Callbacks may be this late, so that calls don't need a timer each.


class DeadlineScheduler:
    """Runs each callback within `RESOLUTION_S` after its time.

    Callbacks can't be cancelled; one whose call has ended by then must do nothing.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._buckets: dict[int, list[Callable[[], None]]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next_bucket = 0

    def add(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` for a time of the event loop's clock, in seconds."""
        bucket = int(when / RESOLUTION_S) + 1
        callbacks = self._buckets.get(bucket)
        if callbacks is not None:
            callbacks.append(callback)
            return
        self._buckets[bucket] = [callback]
        if self._timer is None or bucket < self._next_bucket:
            self._arm(bucket)

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
            for callback in self._buckets.pop(bucket):
                callback()
        if self._buckets:
            self._arm(min(self._buckets))
