"""Backends of the soak test that announce rate limits and departures, and checks of the rules."""

import asyncio
import random
import re
import time
from dataclasses import dataclass, field

from tests.platform_fleet import CrashingBackend
from tests.rate_rules import allowed_in_window, most_in_window

# From an announcement until the users' rules on it hold.
LIMIT_GRACE_S, TOLD_DELAY_S, DRAIN_S = 3.0, 0.5, 2.0

RATES_PER_S = (0.5, 2.0, 6.0, 12.0)
LEAVING_PROBABILITY = 0.25
ATTEMPT_PATTERN = re.compile(r"X-Attempt-Id: ((\d+)-\S+)")


class AnnouncingBackend(CrashingBackend):
    """A backend that records when it gets requests, and can leave for another start."""

    def __init__(self, number: int, name: str, service: str, response_delay_s: float) -> None:
        super().__init__(number, name, service, response_delay_s)
        self.arrivals: list[tuple[float, int, str]] = []  # Time, node of origin, attempt ID.

    def on_request(self, head: str) -> None:
        match = ATTEMPT_PATTERN.search(head)
        if match:
            self.arrivals.append((time.monotonic(), int(match[2]), match[1]))
        super().on_request(head)

    def start_again(self) -> None:
        """Announces another start under another name."""
        self.announcements = ""
        self._born += 1
        self._seq = 0
        self.name = f"{self._original_name}-again-{self._born}"


@dataclass
class Announcement:
    """A period in which a backend announced a rate, or that it was leaving if `rate` is None."""

    backend: AnnouncingBackend
    rate: float | None
    begin: float
    end: float = float("inf")


@dataclass
class Announcer:
    """Lets random backends announce something, one after the other."""

    rng: random.Random
    backends: list[AnnouncingBackend]
    periods: list[Announcement] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Announces for about this long; afterwards no backend announces anything."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            backend = self.rng.choice(self.backends)
            if self.rng.random() < LEAVING_PROBABILITY:
                await self._leave(backend)
            else:
                await self._limit(backend, self.rng.choice(RATES_PER_S))
            await asyncio.sleep(self.rng.uniform(0.0, 1.5))

    async def _limit(self, backend: AnnouncingBackend, rate: float) -> None:
        period = Announcement(backend, rate, time.monotonic())
        self.periods.append(period)
        backend.announcements = f"Server-Limit: {rate}\r\n"
        await asyncio.sleep(self.rng.uniform(4.0, 9.0))
        period.end = time.monotonic()
        backend.announcements = ""

    async def _leave(self, backend: AnnouncingBackend) -> None:
        period = Announcement(backend, None, time.monotonic())
        self.periods.append(period)
        backend.announcements = "Server-Leaving: 1\r\n"
        await asyncio.sleep(self.rng.uniform(3.0, 5.0))
        period.end = time.monotonic()
        backend.start_again()

    def find_violations(
        self, received: dict[str, float], faults: list[tuple[float, str]]
    ) -> list[str]:
        """Returns the periods in which a backend got more than the rules allow.

        `received` holds when the response to each attempt was received. `faults` holds times and
        texts that end with the number of a node, which excuse its requests from then on.
        """
        return [
            text for period in self.periods if (text := self._violation(period, received, faults))
        ]

    def _violation(self, period: Announcement, received, faults) -> str:
        told_at: dict[int, float] = {}
        for at, node, attempt in period.backend.arrivals:
            if period.begin <= at < period.end and attempt in received:
                told_at[node] = min(told_at.get(node, float("inf")), received[attempt])
        counted = []
        for at, node, _ in period.backend.arrivals:
            told = told_at.get(node, float("inf"))
            is_excused = any(
                told <= fault_at <= at and text.endswith(f" {node}") for fault_at, text in faults
            )
            if told <= at < period.end and not is_excused:
                counted.append((at, told))
        name = f"backend {period.backend.number}"
        if period.rate is None:
            late = sum(at > told + DRAIN_S + TOLD_DELAY_S for at, told in counted)
            return f"{name} got {late} requests after it said it was leaving" if late else ""
        times = [at for at, told in counted if at >= told + TOLD_DELAY_S]
        most = most_in_window(times, period.begin + LIMIT_GRACE_S)
        allowed = allowed_in_window(period.rate)
        return f"{name} got {most} requests in 4 s at {period.rate}/s" if most > allowed else ""
