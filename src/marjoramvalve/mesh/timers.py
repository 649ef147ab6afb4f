"""Deadlines of many calls on one timer."""

import asyncio
from collections.abc import Callable

GRAIN_S = 0.02  # Deadlines are kept to this; each call costs no timer of its own.


class DeadlineScheduler:
    """Calls `on_due` of each item within a grain after its time.

    Items that are done by then simply have nothing to do; they are not removed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._slots: dict[int, list[Callable[[], None]]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._next = 0

    def add(self, at: float, on_due: Callable[[], None]) -> None:
        """Calls `on_due` at a time of the loop's clock."""
        slot = int(at / GRAIN_S) + 1
        items = self._slots.get(slot)
        if items is not None:
            items.append(on_due)
            return
        self._slots[slot] = [on_due]
        if self._timer is None or slot < self._next:
            self._arm(slot)

    def _arm(self, slot: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._next = slot
        self._timer = self._loop.call_at(slot * GRAIN_S, self._fire)

    def _fire(self) -> None:
        self._timer = None
        current = int(self._loop.time() / GRAIN_S)
        due = sorted(slot for slot in self._slots if slot <= max(current, self._next))
        for slot in due:
            for on_due in self._slots.pop(slot):
                on_due()
        if self._slots:
            self._arm(min(self._slots))
