"""Queue of calls that wait for a slot: priority first, weighted fair between customers.

Within a customer the oldest call comes first while the queue drains, and the newest once it
stands (Nichols and Jacobson, "Controlling Queue Delay", 2012, for the standing queue). Between
customers of one priority: start-time fair queueing (Goyal, Vin and Cheng, 1996).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

STANDING_TARGET_S = 0.02
STANDING_INTERVAL_S = 0.1
NEVER = -1e18


@dataclass(frozen=True, slots=True)
class Waiter:
    """A waiting call. `origin` and `wait` identify it; times on the owner's clock, in seconds."""

    origin: object
    wait: int
    rank: int
    customer: str
    weight: float
    arrived: float
    deadline: float


@dataclass(slots=True)
class _Class:
    waiters: dict[str, deque[Waiter]] = field(default_factory=dict)
    virtual: float = 0.0
    finish: dict[str, float] = field(default_factory=dict)


class FairQueue:
    """Waiting calls of one upstream."""

    def __init__(self) -> None:
        self._classes: dict[int, _Class] = {}
        self._known: dict[tuple[object, int], Waiter] = {}
        self._above_since = NEVER
        self.standing = False

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, key: tuple[object, int]) -> bool:
        return key in self._known

    def push(self, waiter: Waiter) -> None:
        """Adds a waiting call; a known one is left as it is."""
        key = (waiter.origin, waiter.wait)
        if key in self._known:
            return
        self._known[key] = waiter
        group = self._classes.setdefault(waiter.rank, _Class())
        group.waiters.setdefault(waiter.customer, deque()).append(waiter)

    def remove(self, origin: object, wait: int) -> None:
        """Removes a waiting call that was cancelled."""
        waiter = self._known.pop((origin, wait), None)
        if waiter is not None:
            self._discard(waiter)

    def remove_origin(self, origin: object, keep: frozenset[int] = frozenset()) -> None:
        """Removes every call of an origin except those in `keep`."""
        for key in [key for key in self._known if key[0] == origin and key[1] not in keep]:
            self.remove(*key)

    def _discard(self, waiter: Waiter) -> None:
        group = self._classes[waiter.rank]
        line = group.waiters[waiter.customer]
        line.remove(waiter)
        if not line:
            del group.waiters[waiter.customer]

    def pop(self, now: float) -> Waiter | None:
        """Takes the call that is next by priority, fairness and age."""
        for rank in sorted(self._classes, reverse=True):
            group = self._classes[rank]
            if group.waiters:
                return self._pop_class(group, now)
        return None

    def _pop_class(self, group: _Class, now: float) -> Waiter:
        customer = min(group.waiters, key=lambda name: (group.finish.get(name, 0.0), name))
        line = group.waiters[customer]
        self._watch_delay(now - line[0].arrived, now)
        waiter = line.pop() if self.standing else line.popleft()
        start = max(group.virtual, group.finish.get(customer, 0.0))
        group.virtual = start
        group.finish[customer] = start + 1.0 / waiter.weight
        if not line:
            del group.waiters[customer]
        del self._known[(waiter.origin, waiter.wait)]
        if not group.waiters:
            group.finish.clear()
            group.virtual = 0.0
        return waiter

    def _watch_delay(self, delay: float, now: float) -> None:
        if delay < STANDING_TARGET_S:
            self._above_since = NEVER
            self.standing = False
        elif self._above_since == NEVER:
            self._above_since = now
        elif now - self._above_since > STANDING_INTERVAL_S:
            self.standing = True

    def oldest_delay(self, now: float) -> float:
        """Returns how long the oldest waiting call has waited, in seconds."""
        return max((now - waiter.arrived for waiter in self._known.values()), default=0.0)

    def drop_hopeless(self, is_hopeless: Callable[[Waiter], bool]) -> list[Waiter]:
        """Removes and returns the calls that `is_hopeless` picks."""
        gone = [waiter for waiter in self._known.values() if is_hopeless(waiter)]
        for waiter in gone:
            self.remove(waiter.origin, waiter.wait)
        return gone

    def drop_excess(self, most: int) -> list[Waiter]:
        """Removes and returns calls until `most` are left: lowest priority first.

        Within a priority the customer with the longest line for its weight gives up its oldest
        call, so that one customer's surge does not push out the calls of others.
        """
        gone = []
        while len(self._known) > most:
            rank = min(rank for rank, group in self._classes.items() if group.waiters)
            lines = self._classes[rank].waiters
            longest = max(lines, key=lambda name: len(lines[name]) / lines[name][0].weight)
            waiter = lines[longest][0]
            self.remove(waiter.origin, waiter.wait)
            gone.append(waiter)
        return gone
