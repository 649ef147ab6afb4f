"""What an upstream announces about itself in responses, for as long as it runs.

An ingress that restarts beside an upstream knows nothing of earlier responses. Until it has seen
one itself, it sends few requests, and goes by what the egresses remember of the earlier ones.
"""

from collections import OrderedDict

import msgspec
import structlog

from marjoramvalve.h1 import UpstreamResponse
from marjoramvalve.mesh.announced_rates import AnnouncedRateLimiter
from marjoramvalve.mesh.cold_starts import ColdStartLimiter, Phase, UpstreamPacing, parse_cold_s
from marjoramvalve.mesh.departures import DepartedUpstreams
from marjoramvalve.mesh.frames import UpstreamNotice
from marjoramvalve.mesh.jobs import UpstreamState

LEAVING_VALUE = b"1"
# An upstream that started so shortly before this process can't have announced a limit for long.
FRESH_UPSTREAM_MS = 3000
MAX_NOTICES = 16  # Incarnations of which an ingress keeps notices.
MAX_ADDRESSES = 4096  # Addresses of which an egress keeps notices.

log = structlog.get_logger("upstreams")


def is_same_incarnation(
    instance: str, started_at_ms: int, other: UpstreamState | UpstreamNotice
) -> bool:
    """Returns whether this is the same run of an upstream; a start time of 0 is unknown."""
    return instance == other.instance and (
        started_at_ms == other.started_at_ms or not (started_at_ms and other.started_at_ms)
    )


class UpstreamAnnouncements:
    """The announcements of the upstream that runs now.

    `node_started_at_ms` is the start time of this process in Unix milliseconds, 0 if unknown.
    """

    def __init__(self, node_started_at_ms: int = 0) -> None:
        self._node_started_at_ms = node_started_at_ms
        self._state = UpstreamState()
        self._has_responded = False
        self._notices: OrderedDict[tuple[str, int], UpstreamNotice] = OrderedDict()
        self._departed = DepartedUpstreams()
        self._has_said_leaving = False
        self.is_leaving = False
        self.rate_limiter = AnnouncedRateLimiter()
        self.cold_starts = ColdStartLimiter()
        self.pacing = UpstreamPacing(self.rate_limiter, self.cold_starts)
        self._first_seen_at: float | None = None  # When the first state came.
        self._has_logged_odd_figure = False

    def _update_leaving(self) -> None:
        """Determines whether the upstream has said that it is leaving, here or to an egress."""
        self.is_leaving = self._has_said_leaving or any(
            notice.is_leaving for notice in self._notices.values() if self._is_current(notice)
        )

    def record_departure(self, instance: str, started_at_ms: int, now: float) -> bool:
        """Records that a run of an upstream has announced its end.

        A run whose start is not told is the one that is known under its name. Returns whether it is
        the one that runs now.
        """
        state = self._state
        self._departed.record(instance, started_at_ms or self._known_start_ms(instance), now)
        if not self.has_departed(state.instance, state.started_at_ms, now):
            return False
        previous = self._announced
        self._has_said_leaving = self.is_leaving = True
        return self._log_change(previous, b"")

    def _known_start_ms(self, instance: str) -> int:
        """Returns when the run of an upstream started that is not leaving, 0 if unknown."""
        if instance == self._state.instance and self._state.started_at_ms:
            return self._state.started_at_ms
        return max(
            (
                notice.started_at_ms
                for notice in self._notices.values()
                if notice.instance == instance and not notice.is_leaving
            ),
            default=0,
        )

    def has_departed(self, instance: str, started_at_ms: int, now: float) -> bool:
        """Returns whether a run of an upstream has announced its end. The start may be unknown."""
        return self._departed.has_departed(instance, started_at_ms, now)

    def _is_current(self, notice: UpstreamNotice) -> bool:
        state = self._state
        return bool(state.instance) and is_same_incarnation(
            state.instance, state.started_at_ms, notice
        )

    @property
    def notice(self) -> UpstreamNotice:
        """Returns the announcements in the form that other processes remember."""
        state = self._state
        return UpstreamNotice(
            state.instance,
            state.started_at_ms,
            self.rate_limiter.announced_per_s,
            self.is_leaving,
        )

    @property
    def announced_kinds(self) -> tuple[bool, bool, bool]:
        """Returns whether the upstream announces a rate, is leaving, and is paced as cold."""
        is_rate_announced = self.rate_limiter.announced_per_s is not None
        return is_rate_announced, self.is_leaving, self.cold_starts.per_s is not None

    def set_state(self, state: UpstreamState, now: float) -> None:
        """Forgets the announcements of an earlier upstream.

        `now` is in seconds on the event loop's clock.
        """
        previous, self._state = self._state, state
        if not state.instance or is_same_incarnation(state.instance, state.started_at_ms, previous):
            self._update_leaving()  # The start time may have been unknown.
            is_new = (state.seq, state.cold_until_s) != (previous.seq, previous.cold_until_s)
            if state.cold_until_s is not None and is_new:
                self.cold_starts.record_figure(state.slots, state.cold_until_s, now)
            return
        self._has_responded = False
        self._has_said_leaving = False
        self._update_leaving()
        self._has_logged_odd_figure = False
        is_first = not previous.instance
        started_at = self._estimate_start(state.started_at_ms, now)
        self.cold_starts.start_run(state.slots, state.cold_until_s, started_at, is_first, now)
        self.rate_limiter = AnnouncedRateLimiter()
        self.pacing = UpstreamPacing(self.rate_limiter, self.cold_starts)
        fresh_since_ms = self._node_started_at_ms - FRESH_UPSTREAM_MS
        if self._node_started_at_ms and state.started_at_ms < fresh_since_ms:
            self.rate_limiter.assume_low_rate(now)
        for notice in self._notices.values():
            self._adopt_rate(notice, now)

    def _estimate_start(self, started_at_ms: int, now: float) -> float:
        """Returns when an upstream started that this process sees for the first time.

        It is now, unless it started after this process, which then had no earlier one to ask.
        """
        if self._first_seen_at is None:
            self._first_seen_at = now
        if not 0 < self._node_started_at_ms < started_at_ms:
            return now
        after_s = (started_at_ms - self._node_started_at_ms) / 1000
        return min(now, self._first_seen_at + after_s)

    def parse_cold_until(self, value: bytes, now: float) -> float | None:
        """Returns until when an upstream is cold by a header value, None if it tells nothing."""
        cold_s = parse_cold_s(value.strip())
        if cold_s is None and value.strip() and not self._has_logged_odd_figure:
            self._has_logged_odd_figure = True
            log.warning("upstream.odd_cold_time", instance=self._state.instance, value=value[:64])
        return now + cold_s if cold_s else cold_s

    def advance_cold_start(self, now: float) -> bool:
        """Returns whether the rate for a cold upstream has come to another step."""
        cold, previous = self.cold_starts, self.cold_starts.phase
        is_changed = cold.advance(now)
        if cold.phase is not previous and cold.phase is not Phase.WARMING:
            log.info(
                "upstream.cold" if cold.phase is Phase.COLD else "upstream.warm",
                instance=self._state.instance,
                limit_per_s=cold.per_s,
                left_s=round(cold.cold_left_s(now), 2),
                assumed=cold.is_assumed,
            )
        return is_changed

    def record(self, response: UpstreamResponse, request: bytes, now: float) -> bool:
        """Records the announcements in a response; returns whether they have changed.

        `request` is the request ID, for the log.
        """
        self._has_responded = True
        previous = self._announced
        is_changed = self.rate_limiter.record(response.rate_limits, now)
        self._record_leaving(response)
        return self._log_change(previous, request) or is_changed

    def _record_leaving(self, response: UpstreamResponse) -> None:
        if response.leaving.strip() == LEAVING_VALUE:
            self._has_said_leaving = self.is_leaving = True

    def record_probe(self, response: UpstreamResponse, now: float) -> bool:
        """Records the rate in a response to a health check, which may lack it."""
        previous = self._announced
        if response.rate_limits:
            self.rate_limiter.record(response.rate_limits, now)
        self._record_leaving(response)
        return self._log_change(previous, b"")

    def remember(self, notice: UpstreamNotice, now: float) -> bool:
        """Records what an egress remembers; returns whether the announcements have changed."""
        if not notice.instance:
            return False
        previous = self._announced
        key = (notice.instance, notice.started_at_ms)
        known = self._notices.pop(key, None)
        if known is not None:
            notice = merge_notices(known, notice)
        self._notices[key] = notice
        if len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        self._update_leaving()
        self._adopt_rate(notice, now)
        return self._log_change(previous, b"")

    def _adopt_rate(self, notice: UpstreamNotice, now: float) -> None:
        """Uses a rate that an egress remembers, until the upstream has responded here."""
        if self._is_current(notice) and not self._has_responded and notice.rate_per_s is not None:
            self.rate_limiter.adopt(notice.rate_per_s, now)

    @property
    def _announced(self) -> tuple[float | None, bool]:
        return self.rate_limiter.announced_per_s, self.is_leaving

    def _log_change(self, previous: tuple[float | None, bool], request: bytes) -> bool:
        if self._announced == previous:
            return False
        log.info(
            "upstream.announced",
            instance=self._state.instance,
            request=request,
            limit_per_s=self.rate_limiter.announced_per_s,
            previous_per_s=previous[0],
            leaving=self.is_leaving,
        )
        return True


def merge_notices(first: UpstreamNotice, second: UpstreamNotice) -> UpstreamNotice:
    """Merges two notices of one incarnation: the lower rate, and leaving if either says so."""
    rates = [item.rate_per_s for item in (first, second) if item.rate_per_s is not None]
    return UpstreamNotice(
        first.instance,
        first.started_at_ms,
        min(rates, default=None),
        first.is_leaving or second.is_leaving,
    )


class UpstreamNotices:
    """What an egress remembers of the upstreams beside other ingresses, by their address.

    It outlives the links, as an ingress may come back after it was removed from the roster.
    """

    def __init__(self) -> None:
        self._by_address: OrderedDict[str, UpstreamNotice] = OrderedDict()

    def record(self, address: str, notice: UpstreamNotice) -> None:
        """Records what an ingress tells; one that has just started may not know its upstream."""
        if not notice.instance:
            return
        known = self._by_address.pop(address, None)
        if known is not None and is_same_incarnation(known.instance, known.started_at_ms, notice):
            is_leaving = known.is_leaving or notice.is_leaving
            notice = msgspec.structs.replace(notice, is_leaving=is_leaving)
        self._by_address[address] = notice
        if len(self._by_address) > MAX_ADDRESSES:
            self._by_address.popitem(last=False)

    def recall(self, address: str) -> UpstreamNotice:
        """Returns the notice of the upstream at an address; it is empty if none is known."""
        return self._by_address.get(address, UpstreamNotice())
