"""An event loop on virtual time: it never sleeps, it moves its clock on."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Moves the loop's clock on by the time it is asked to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Returns what is ready, without waiting."""
        if timeout is None:
            raise RuntimeError("virtual loop has nothing left to do")
        if timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose `time` is virtual, in seconds from 0."""

    def __init__(self) -> None:
        self._virtual = _VirtualTimeSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the virtual time."""
        return self._virtual.now


async def run_in_process(coro: Coroutine, running: set[asyncio.Task]) -> Any:
    """Runs a coroutine as one of the tasks of a process; returns None where that process ends.

    A process ends by cancelling its `running` tasks. Cancellation of the waiting side goes down.
    """
    task = asyncio.create_task(coro)
    running.add(task)
    try:
        await asyncio.wait((task,))
    except asyncio.CancelledError:
        task.cancel()
        raise
    finally:
        running.discard(task)
    return None if task.cancelled() else task.result()
