"""Concurrency limits for an upstream, adjusted to the results that its callers report.

Sources: Chiu and Jain (1989) for additive increase and multiplicative decrease; Brakmo and
Peterson, "TCP Vegas" (1995), for the gradient of latency.
"""

import math
from dataclasses import dataclass
from typing import Protocol

INITIAL_RATIO = 0.1
MAX_SHED_RATIO = 0.02
MAX_FAILED_RATIO = 0.5
BUSY_RATIO = 0.8
DECREASE_FACTOR = 0.9
INCREASE_RATIO = 0.05
GRADIENT_TOLERANCE = 2.0
GRADIENT_FLOOR = 0.5
GRADIENT_SMOOTHING = 0.2
BASELINE_GROWTH = 1.002


@dataclass(frozen=True, slots=True)
class Window:
    """Results of the calls to an upstream in one time window, as its callers observed them.

    `latency_ms` is the mean latency and `latency_min_ms` the lowest. `done` excludes shed and
    failed calls. `in_use` is the highest number of slots in use at once.
    """

    done: int
    latency_ms: float
    latency_min_ms: float
    shed: int
    failed: int
    in_use: int

    @property
    def total(self) -> int:
        """The number of calls that finished in the window."""
        return self.done + self.shed + self.failed


class Limit(Protocol):
    """A concurrency limit, in slots."""

    value: int

    def update(self, window: Window) -> None:
        """Adjusts the limit to the results of one window."""


class StaticLimit:
    """Fixed limit: the number of slots that the upstream announced."""

    def __init__(self, slots: int) -> None:
        self.value = slots

    def update(self, window: Window) -> None:
        """Ignores the window."""


class AimdLimit:
    """Additive-increase, multiplicative-decrease limit.

    It grows while the upstream is busy and healthy, and shrinks if too many calls are shed or fail.
    It starts low and doubles until the first decrease or until it reaches the announced slots.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._fractional = max(1.0, slots * INITIAL_RATIO)
        self._in_slow_start = True

    @property
    def value(self) -> int:
        """The limit in slots."""
        return max(1, int(self._fractional))

    def update(self, window: Window) -> None:
        """Adjusts the limit to the results of one window."""
        total = window.total
        if total and (
            window.shed / total > MAX_SHED_RATIO or window.failed / total > MAX_FAILED_RATIO
        ):
            self._in_slow_start = False
            self._fractional = max(1.0, self._fractional * DECREASE_FACTOR)
            return
        if window.in_use < BUSY_RATIO * self.value:
            return
        step = (
            self._fractional if self._in_slow_start else max(1.0, self._fractional * INCREASE_RATIO)
        )
        self._fractional = min(float(self.slots), self._fractional + step)


class GradientLimit:
    """Limit that follows the ratio of the baseline latency to the observed latency.

    The baseline is the lowest latency seen, multiplied by `BASELINE_GROWTH` in every window that
    has successful calls.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._fractional = max(1.0, slots * INITIAL_RATIO)
        self._baseline_ms = 0.0

    @property
    def value(self) -> int:
        """The limit in slots."""
        return max(1, int(self._fractional))

    def update(self, window: Window) -> None:
        """Adjusts the limit to the results of one window."""
        if window.shed:
            self._fractional = max(1.0, self._fractional * DECREASE_FACTOR)
        if not window.done:
            return
        if self._baseline_ms == 0.0 or window.latency_min_ms < self._baseline_ms:
            self._baseline_ms = window.latency_min_ms
        self._baseline_ms *= BASELINE_GROWTH
        if window.in_use < BUSY_RATIO * self.value:
            return
        ratio = GRADIENT_TOLERANCE * self._baseline_ms / max(window.latency_ms, 1e-6)
        gradient = min(1.0, max(GRADIENT_FLOOR, ratio))
        target = self._fractional * gradient + math.sqrt(self._fractional)
        smoothed = (1 - GRADIENT_SMOOTHING) * self._fractional + GRADIENT_SMOOTHING * target
        self._fractional = min(float(self.slots), max(1.0, smoothed))
