"""Data of a connection that has arrived and is parsed later."""

import math
from collections import deque
from collections.abc import Iterator
from typing import Protocol

from marjoramvalve.links import MemoryBudget

PIECE_BYTES = 160  # Memory of a piece of data, beside its bytes.
MERGE_S = 0.05  # Small pieces that arrive within this time are kept as one.
MAX_MERGED_BYTES = 8 << 10


class HeldDataOwner(Protocol):
    """Counts the data of all connections."""

    held_bytes: int
    memory: MemoryBudget


class HeldData:
    """Pieces of data with the times of their arrival, in the order in which they came."""

    def __init__(self, owner: HeldDataOwner) -> None:
        self._owner = owner
        self._pieces: deque[tuple[float, bytes | bytearray]] = deque()
        self.size = 0

    def __len__(self) -> int:
        return len(self._pieces)

    def __iter__(self) -> Iterator[tuple[float, bytes | bytearray]]:
        return iter(self._pieces)

    def append(self, arrived_at: float, data: bytes) -> None:
        """Adds data that has arrived. Pieces of a few bytes would take far more than their size."""
        last_at, last = self._pieces[-1] if self._pieces else (-math.inf, b"")
        if arrived_at <= last_at + MERGE_S and len(last) < MAX_MERGED_BYTES:
            if type(last) is bytes:
                last = bytearray(last)
                self._pieces[-1] = last_at, last
            last += data
            self._count(len(data), 0)
        else:
            self._pieces.append((arrived_at, data))
            self._count(len(data), 1)

    def prepend(self, arrived_at: float, data: bytes | bytearray) -> None:
        """Puts back what could not be parsed yet."""
        self._pieces.appendleft((arrived_at, data))
        self._count(len(data), 1)

    def pop(self) -> tuple[float, bytes | bytearray]:
        """Removes and returns the piece that came first. Raises IndexError if there is none."""
        arrived_at, data = self._pieces.popleft()
        self._count(-len(data), -1)
        return arrived_at, data

    def clear(self) -> None:
        """Frees all pieces."""
        pieces = len(self._pieces)
        self._pieces.clear()
        self._count(-self.size, -pieces)

    def _count(self, size: int, pieces: int) -> None:
        self.size += size
        self._owner.held_bytes += size
        self._owner.memory.charge(size + pieces * PIECE_BYTES)
