"""What peers may make a process hold, and who gives way when that is full.

Guards against crowds of peers that begin large requests, don't finish them, or don't read their
responses: each may be within the limits of one request, but their sum ends the process.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

MEMORY_SHARE = 0.4  # Of the machine's memory; the rest is for the process itself and its copies.
DESCRIPTOR_SHARE = 0.5  # Of the descriptors; links, upstream connections and files need the rest.
AUXILIARY_SHARE = 1 / 16  # Of these, for a server that only a few known peers need.
MIN_AUXILIARY_CONNECTIONS = 16
MAX_SMALL_BYTES = 16 << 10  # Holdings up to this size don't give way while they move.
UNCOUNTED_BYTES = 2 << 10  # Messages up to this size are bounded by their number.
STALLED_S = 1.0
# Nobody is asked again for this long once too few could give way: asking all takes milliseconds.
# Whoever begins to hold more than a little meanwhile gives way at once (`is_exhausted`).
RELIEF_PAUSE_S = 0.05
FREED_S = 0.1  # What was given up is in memory for at most this long, in its write buffer.
RELIEF_SHARE = 1 / 8  # Freed below the limit, so that relief is not needed for every piece.


def allocated_bytes(size: int) -> int:
    """Returns how many bytes a buffer of this size takes that has grown piece by piece."""
    return size + (size >> 3)


@dataclass(frozen=True, slots=True)
class Holding:
    """Bytes held for one peer that can be given up.

    `moved_at` is when it last made progress, in seconds on the clock of the budget. `give_up`
    frees the bytes, and gets the reason.
    """

    size: int
    moved_at: float
    give_up: Callable[[str], None]


def choose_holdings(holdings: Iterable[Holding], excess: int, now: float) -> list[Holding]:
    """Returns the holdings to give up: those that take most and move least come first.

    Small ones that move are left, even if the excess remains.
    """
    candidates = [
        item
        for item in holdings
        if item.size > MAX_SMALL_BYTES or (item.size and now > item.moved_at + STALLED_S)
    ]
    candidates.sort(key=lambda item: item.size * (0.1 + max(0.0, now - item.moved_at)))
    chosen = []
    while candidates and excess > 0:
        chosen.append(candidates.pop())
        excess -= chosen[-1].size
    return chosen


class ChargedBuffer(bytearray):
    """Bytes of a peer that count in a budget until the last reference to them is gone.

    A message is charged once in a process, however many requests, calls, connections and write
    buffers refer to it, and as long as any of them does.
    """

    __slots__ = ("_budget", "charged_bytes")

    def __init__(self, budget: "MemoryBudget", data: bytes | bytearray = b"") -> None:
        super().__init__(data)
        self._budget = budget
        self.charged_bytes = 0

    def charge(self, reserved_bytes: int = 0) -> None:
        """Charges what was added since the last time, or all that will be added."""
        size = allocated_bytes(max(len(self), reserved_bytes))
        if size > self.charged_bytes:
            added, self.charged_bytes = size - self.charged_bytes, size
            self._budget.charge(added)

    def __del__(self) -> None:
        self._budget.release(self.charged_bytes)


def plain_bytes(data: bytes | bytearray) -> int:
    """Returns how many bytes a message takes that aren't charged by themselves."""
    return 0 if isinstance(data, ChargedBuffer) else len(data)


class MemoryBudget:
    """Counts the bytes held for all peers of a process. Without a limit, nothing is refused.

    `max_connections` is how many connections the main server of the process may have open, and
    `max_auxiliary_connections` how many each of the others. `sources` return the holdings that can
    be given up. `refused` counts refusals by reason.
    """

    def __init__(
        self,
        clock: Callable[[], float] = lambda: 0.0,
        memory_mb: int = 0,
        max_descriptors: int = 0,
    ) -> None:
        self._clock = clock
        self.limit_bytes = int(MEMORY_SHARE * memory_mb * (1 << 20)) or None
        self.max_connections = int(DESCRIPTOR_SHARE * max_descriptors) or None
        self.max_auxiliary_connections = self.max_connections and max(
            MIN_AUXILIARY_CONNECTIONS, int(AUXILIARY_SHARE * self.max_connections)
        )
        self.used_bytes = 0
        self.sources: list[Callable[[], Iterable[Holding]]] = []
        self.refused: dict[str, int] = {}
        self.on_refusal: Callable[[str], None] = lambda reason: None
        self._is_relieving = False
        self._awaited_bytes = 0  # Given up, but not freed yet.
        self._awaited_until = 0.0
        self._paused_until = -math.inf

    @property
    def is_ample(self) -> bool:
        """Returns whether at least half of the budget is free."""
        return self.limit_bytes is None or 2 * self.used_bytes <= self.limit_bytes

    @property
    def is_exhausted(self) -> bool:
        """Returns whether more is held than is allowed, and too few could give way."""
        return (
            self.limit_bytes is not None
            and self._excess(0) > 0
            and self._clock() < self._paused_until
        )

    def can_fit(self, size: int) -> bool:
        """Returns whether a message of this size fits while nothing else is held."""
        return self.limit_bytes is None or allocated_bytes(size) <= self.limit_bytes

    def hold(self, data: bytes | bytearray) -> bytes | bytearray:
        """Returns bytes that are charged until they are freed."""
        if isinstance(data, ChargedBuffer):
            return data
        buffer = ChargedBuffer(self, data)
        buffer.charge()
        return buffer

    def charge(self, size: int) -> None:
        """Adds bytes that are held, or a negative number of them; frees others above the limit."""
        if size <= 0:
            self.release(-size)
            return
        self.used_bytes += size
        if self.limit_bytes is not None and self.used_bytes > self.limit_bytes:
            excess = self._excess(0)
            if excess > 0:
                self._relieve(excess)

    def release(self, size: int) -> None:
        """Gives back bytes that are freed."""
        self.used_bytes -= size
        if self._awaited_bytes:
            self._awaited_bytes = max(0, self._awaited_bytes - size)

    def _excess(self, size: int) -> int:
        if self._awaited_bytes and self._clock() > self._awaited_until:
            self._awaited_bytes = 0
        return self.used_bytes + size - self._awaited_bytes - self.limit_bytes

    def has_room(self, size: int) -> bool:
        """Returns whether so many more bytes fit, after others have given way if need be."""
        if self.limit_bytes is None:
            return True
        if size > self.limit_bytes:
            return False
        excess = self._excess(size)
        if excess > 0:
            self._relieve(excess)
        return self._excess(size) <= 0

    def count_refusal(self, reason: str) -> None:
        """Counts a refusal or a closed connection."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
        self.on_refusal(reason)

    def _relieve(self, excess: int) -> None:
        if self._is_relieving or self._clock() < self._paused_until:
            return
        self._is_relieving = True
        try:
            holdings = [item for source in self.sources for item in source()]
            excess += int(RELIEF_SHARE * self.limit_bytes)
            chosen = choose_holdings(holdings, excess, self._clock())
            if sum(item.size for item in chosen) < excess:
                self._paused_until = self._clock() + RELIEF_PAUSE_S
            for item in chosen:
                used_bytes = self.used_bytes
                item.give_up("memory")
                # Write buffers are freed once their connections have been closed.
                self._awaited_bytes += max(0, item.size - (used_bytes - self.used_bytes))
            self._awaited_until = self._clock() + FREED_S
        finally:
            self._is_relieving = False
