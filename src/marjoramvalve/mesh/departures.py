"""Upstreams that have announced their end, which is final for that run of them."""

from collections import OrderedDict
from dataclasses import dataclass

MAX_DEPARTURES = 64  # Names of which the latest departure is remembered.
# Where a start time is unknown, an upstream may come back under its name after this long; messages
# from before its departure have arrived by then.
UNKNOWN_START_TTL_S = 30.0


@dataclass(frozen=True, slots=True)
class Departure:
    """The end of a run. `departed_at` is on the event loop's clock, in seconds."""

    started_at_ms: int
    departed_at: float


class DepartedUpstreams:
    """The latest departure of each upstream by name.

    Start times are in Unix milliseconds, 0 if unknown. A departure also covers earlier runs.
    """

    def __init__(self) -> None:
        self._by_name: OrderedDict[str, Departure] = OrderedDict()

    def record(self, instance: str, started_at_ms: int, now: float) -> None:
        """Records that a run has announced its end."""
        previous = self._by_name.pop(instance, None)
        if previous is not None:
            started_at_ms = max(started_at_ms, previous.started_at_ms)
        self._by_name[instance] = Departure(started_at_ms, now)
        if len(self._by_name) > MAX_DEPARTURES:
            self._by_name.popitem(last=False)

    def has_departed(self, instance: str, started_at_ms: int, now: float) -> bool:
        """Returns whether a run has announced its end, or must be assumed to have done so."""
        departure = self._by_name.get(instance)
        if departure is None:
            return False
        if departure.started_at_ms and started_at_ms:
            return started_at_ms <= departure.started_at_ms
        return now < departure.departed_at + UNKNOWN_START_TTL_S
