"""Decides which share of a service's calls leaves the failure domain.

Answers a domain whose own upstreams are too few for a while. Each egress decides for itself, from
the load that answers report: what leaves costs a round trip and traffic between domains, and a
domain that helps keeps what its own callers need. The share is damped, since reports are late and
all egresses of a domain act alike.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

import structlog

from marjoramvalve.mesh.balancing import CROSS_DOMAIN_S, UTILIZATION_EXPONENT, EndpointStats

LEAVE_USE, TARGET_USE, RETURN_USE = 0.92, 0.85, 0.75  # Use of the slots at home.
KEEP_USE, WITHDRAW_USE = 0.75, 0.9  # Use away above which the share doesn't rise, and falls.
DAMPING = 0.3  # Part of the way to the wanted share that one step goes.
OBSERVE_INTERVAL_S = 0.05  # Between looks at the loads...
USE_MEMORY_S = 0.5  # ...which count for about this time, against chance in few slots.
INTERVAL_S = 0.25  # Least time between steps; an answer that shows the last one takes longer.
REPORT_AGE_S = 2.0  # Older reports tell nothing.
TRIAL_SHARE = 0.1  # Highest share while it is unknown whether there is room away.
FULL_HOLD_S = 3.0  # Without trials after a report that there is no room away.
MIN_SHARE, MAX_SHARE = 0.01, 0.98  # Below, nothing leaves; some calls show when home recovers.
BYTES_PER_S = 12.5e6  # Of one link between domains.
SMOOTHING = 0.05  # Weight of a new call in mean sizes and service times.
TRIP_RISE = 0.01  # How fast the shortest round trip is forgotten.
LOG_STEP, LOG_INTERVAL_S = 0.05, 1.0  # Least change of a share that is logged, and how often.

log = structlog.get_logger("spillover")


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Use of the slots of a group of upstreams, and the age of the newest report in seconds.

    The use is None if it isn't known.
    """

    use: float | None
    age_s: float

    @classmethod
    def measure(cls, group: Iterable[EndpointStats], service_s: float, now: float) -> "GroupLoad":
        """Returns the load of a group whose calls take `service_s` seconds."""
        slots = own = reported = weights = 0.0
        age_s = REPORT_AGE_S
        for stats in group:
            capacity = stats.usable_slots(service_s, now)
            slots += capacity
            own += stats.in_flight
            weight = max(0.0, 1.0 - (now - stats.reported_at) / REPORT_AGE_S)
            if stats.reported_at and weight:
                weights += weight * capacity
                reported += weight * stats.calls_of_others
                age_s = min(age_s, now - stats.reported_at)
        if not weights:
            return cls(None, age_s)
        return cls(reported / weights + own / slots, age_s)

    def moved_to(self, newer: "GroupLoad", weight: float) -> "GroupLoad":
        """Returns a load between this one and a newer one, which has this weight."""
        if self.use is None or newer.use is None:
            return newer
        return replace(newer, use=self.use + weight * (newer.use - self.use))


def _congestion(use: float) -> float:
    return 1.0 + use**UTILIZATION_EXPONENT if use < 1.0 else 2.0 * use


class ServiceSpillover:
    """The share of one service. Times are in seconds of the event loop's clock."""

    def __init__(self) -> None:
        self.share = 0.0
        self.trip_s = CROSS_DOMAIN_S
        self.mean_bytes = 0.0
        self.service_s = 0.0
        self.home = self.away = GroupLoad(None, REPORT_AGE_S)
        self._observed_at = float("-inf")
        self._stepped_at = float("-inf")
        self._full_until = float("-inf")
        self._logged_share, self._logged_at = 0.0, float("-inf")

    def record_call(self, trip_s: float | None, size: int) -> None:
        """Records the bytes of an answered call and, if it left the domain, its round trip."""
        self.mean_bytes += SMOOTHING * (size - self.mean_bytes)
        if trip_s is not None:
            rise = TRIP_RISE if trip_s > self.trip_s else 1.0
            self.trip_s += rise * (max(0.0, trip_s) - self.trip_s)

    def record_service_time(self, service_s: float) -> None:
        """Records the expected service time of a call."""
        self.service_s += (SMOOTHING if self.service_s else 1.0) * (service_s - self.service_s)

    def is_due(self, now: float) -> bool:
        """Returns whether the loads should be observed again."""
        return now >= self._observed_at + OBSERVE_INTERVAL_S

    def observe(self, home: GroupLoad, away: GroupLoad, now: float) -> None:
        """Records the loads, and moves the share when the last move can show in the reports."""
        weight = 1.0 - math.exp((self._observed_at - now) / USE_MEMORY_S)
        self._observed_at = now
        self.home, self.away = self.home.moved_to(home, weight), self.away.moved_to(away, weight)
        if now >= self._stepped_at + max(INTERVAL_S, self.service_s):
            self._stepped_at = now
            stayed = 1.0 - self.share
            self.step(self.home, self.away, now)
            if self.home.use is not None:  # What the move changes needn't be observed first.
                use = self.home.use * (1.0 - self.share) / stayed
                self.home = replace(self.home, use=use)

    def step(self, home: GroupLoad, away: GroupLoad, now: float) -> None:
        """Moves the share towards what the loads call for."""
        if away.use is not None and away.use > KEEP_USE:
            self._full_until = now + FULL_HOLD_S
        moved = self.share + DAMPING * (self._wanted_share(home, away, now) - self.share)
        if away.use is not None and away.use > WITHDRAW_USE:
            moved = min(moved, self.share / 2)
        self.share = moved
        if self.share < MIN_SHARE:
            self.share = 0.0

    def _wanted_share(self, home: GroupLoad, away: GroupLoad, now: float) -> float:
        wanted = self.share
        if home.use is None:
            return wanted
        if home.use < RETURN_USE or (home.use > LEAVE_USE and self._pays(home, away)):
            wanted = 1.0 - (1.0 - self.share) * TARGET_USE / max(0.01, home.use)
        if away.use is None:
            limit = max(self.share, 0.0 if now < self._full_until else TRIAL_SHARE)
        else:
            limit = self.share if away.use > KEEP_USE else MAX_SHARE
        return max(0.0, min(wanted, limit))

    def _pays(self, home: GroupLoad, away: GroupLoad) -> bool:
        saved_s = self.service_s * (_congestion(home.use) - _congestion(away.use or 0.0))
        return saved_s > self.trip_s + self.mean_bytes / BYTES_PER_S

    def log_change(self, service: str, now: float) -> None:
        """Logs a share that has changed since it was last logged."""
        has_changed = abs(self.share - self._logged_share) >= LOG_STEP or (
            (self.share > 0) is not (self._logged_share > 0)
        )
        if not has_changed or now < self._logged_at + LOG_INTERVAL_S:
            return
        self._logged_share, self._logged_at = self.share, now
        home, away = self.home, self.away
        log.info(
            "spillover.changed",
            service=service,
            share=round(self.share, 3),
            home_use=home.use and round(home.use, 2),
            home_age_s=round(home.age_s, 2),
            away_use=away.use and round(away.use, 2),
            away_age_s=round(away.age_s, 2),
            trip_ms=round(1000 * self.trip_s, 1),
            bytes=int(self.mean_bytes),
        )


class Spillovers:
    """The shares of all services that one egress calls."""

    def __init__(self) -> None:
        self.is_enabled = False
        self.services: dict[str, ServiceSpillover] = {}

    def _of(self, service: str) -> ServiceSpillover:
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = ServiceSpillover()
        return found

    def record_call(self, service: str, stats: EndpointStats, trip_s: float, size: int) -> None:
        """Records an answered call: time on the way in seconds and bytes of both directions."""
        if self.is_enabled:
            self._of(service).record_call(None if stats.is_local else trip_s, size)

    def share(
        self,
        service: str,
        tries: int,
        endpoints: Iterable[tuple[object, EndpointStats]],
        service_s: float,
        now: float,
    ) -> float | None:
        """Returns the share of calls that leave the domain, None to go by the cost of each call.

        A call that was refused goes by its cost.
        """
        if not self.is_enabled or tries:
            return None
        spillover = self._of(service)
        spillover.record_service_time(service_s)
        if spillover.is_due(now):
            home = [stats for _, stats in endpoints if stats.is_local]
            away = [stats for _, stats in endpoints if not stats.is_local]
            if home and away:
                spillover.observe(
                    GroupLoad.measure(home, spillover.service_s, now),
                    GroupLoad.measure(away, spillover.service_s, now),
                    now,
                )
                spillover.log_change(service, now)
        return spillover.share
