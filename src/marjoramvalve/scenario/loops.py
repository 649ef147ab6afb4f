"""An event loop on virtual time: it advances its clock instead of sleeping."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the loop's clock by each requested timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Advances the clock by the timeout and returns the ready events without waiting.

        Raises RuntimeError if there is no timeout: then nothing can wake the loop any more.
        """
        if timeout is None:
            raise RuntimeError("virtual event loop has no scheduled callback to wait for")
        if timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An asyncio event loop whose clock is virtual, in seconds from 0."""

    def __init__(self) -> None:
        self._virtual = _VirtualTimeSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual.now


async def run_in_process(coro: Coroutine, running: set[asyncio.Task]) -> Any:
    """Runs a coroutine as a task of a simulated process; returns None if that process ends.

    A process ends by cancelling its `running` tasks. Cancelling the caller cancels the task too.
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
