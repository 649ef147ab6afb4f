"""What an upstream tells of its load, and how long calls take there at this moment.

Answers upstreams whose speed changes many times a second, faster than service times are learned.
An upstream that is wrong about itself must not draw all calls: its figure has a bounded effect,
and none while service times are predicted better without it.
"""

import re
from dataclasses import dataclass

import structlog

from marjoramvalve.mesh.queues import ServiceTimes

MIN_FACTOR, MAX_FACTOR = 0.5, 4.0  # Bounds of the effect of a figure.
MAX_AGE_S = 1.0  # A figure changes many times a second; an older one tells nothing.
MAX_PERCENT = 10_000.0
MAX_COUNT_DIGITS = 7
ERROR_SMOOTHING = 0.02  # About the last fifty runs.
MIN_RUNS = 50  # Before a figure can be found wrong.
DISTRUST_RATIO, TRUST_RATIO = 1.15, 1.05  # Error with the figure, relative to that without it.
_COUNT = re.compile(rb"\d{1,%d}" % MAX_COUNT_DIGITS)
_PERCENT = re.compile(rb"\d{1,5}(\.\d{1,6})?")

log = structlog.get_logger("upstreams")


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Running and waiting requests, slots, and the time of work in percent of the usual one."""

    running: int
    waiting: int
    slots: int
    work_percent: float | None


def parse_load(raw: bytes) -> UpstreamLoad | None:
    """Returns the load in a header value of three or four fields, None if it can't be read."""
    parts = [part.strip() for part in raw.split(b",", 4)]
    if len(parts) not in (3, 4) or not all(_COUNT.fullmatch(part) for part in parts[:3]):
        return None
    percent = None
    if len(parts) == 4:
        if not _PERCENT.fullmatch(parts[3]) or not 1 <= float(parts[3]) <= MAX_PERCENT:
            return None
        percent = float(parts[3])
    return UpstreamLoad(*map(int, parts[:3]), percent)


def bound_factor(percent: float) -> float:
    """Returns the factor that a figure in percent stands for, within the bounds of its effect."""
    return min(MAX_FACTOR, max(MIN_FACTOR, percent / 100))


class UpstreamLoads:
    """Expected service times at one upstream. Times are in seconds of the event loop's clock.

    `observed` takes the service times as they are.
    """

    def __init__(self, observed: ServiceTimes) -> None:
        self._observed = observed
        self.reset()

    def reset(self) -> None:
        """Forgets what an upstream has told; another one runs now."""
        self._usual = ServiceTimes()
        self._percent: float | None = None
        self._told_at = 0.0
        self._has_logged = False
        self._runs = 0
        self._error_with = self._error_without = 0.0
        self.is_trusted = True

    def record(self, raw: bytes, instance: str, now: float) -> None:
        """Records the load header of a response."""
        if not raw:
            return
        load = parse_load(raw)
        if load is not None:
            if load.work_percent is not None:
                self._percent, self._told_at = load.work_percent, now
        elif not self._has_logged:
            self._has_logged = True
            log.warning("upstream.load_unreadable", instance=instance, value=raw[:40])

    def _told_factor(self, now: float) -> float | None:
        if self._percent is None or now - self._told_at > MAX_AGE_S:
            return None
        return bound_factor(self._percent)

    def work_percent(self, now: float) -> int:
        """Returns the time of work in percent of the usual one, 0 if it is unknown."""
        factor = self._told_factor(now) if self.is_trusted else None
        return 0 if factor is None else round(100 * factor)

    def factor(self, now: float) -> float:
        """Returns the time of work relative to the usual one, 1 if it is unknown."""
        return (self.work_percent(now) or 100) / 100

    def mean_s(self, route: bytes, now: float) -> float:
        """Returns the expected service time of a call that starts now, in seconds."""
        percent = self.work_percent(now)
        if percent and self._usual.has_seen(route):
            return self._usual.mean_s(route) * percent / 100
        return self._observed.mean_s(route)

    def record_run(self, route: bytes, service_s: float, made_calls: bool, now: float) -> None:
        """Records the service time of a run; the time of its calls doesn't depend on this upstream.

        The figure that came with the response has to be recorded before.
        """
        factor = None if made_calls else self._told_factor(now)
        if factor is not None:
            if self._usual.has_seen(route):
                self._compare(route, service_s, factor)
            self._usual.record(route, service_s / factor)
        self._observed.record(route, service_s)

    def _compare(self, route: bytes, service_s: float, factor: float) -> None:
        mean_s = max(1e-6, self._observed.mean_s(route))
        with_it = min(MAX_FACTOR, abs(service_s - self._usual.mean_s(route) * factor) / mean_s)
        without = min(MAX_FACTOR, abs(service_s - mean_s) / mean_s)
        self._error_with += ERROR_SMOOTHING * (with_it - self._error_with)
        self._error_without += ERROR_SMOOTHING * (without - self._error_without)
        self._runs += 1
        ratio = DISTRUST_RATIO if self.is_trusted else TRUST_RATIO
        is_trusted = self._runs < MIN_RUNS or self._error_with <= ratio * self._error_without
        if is_trusted is not self.is_trusted:
            self.is_trusted = is_trusted
            log.info(
                "upstream.load_trust",
                trusted=is_trusted,
                error_with=round(self._error_with, 3),
                error_without=round(self._error_without, 3),
                percent=self._percent,
            )
