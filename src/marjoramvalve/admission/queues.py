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
class _PriorityClass:
    waiters: dict[str, deque[Waiter]] = field(default_factory=dict)
    virtual: float = 0.0
    finish: dict[str, float] = field(default_factory=dict)


class FairQueue:
    """Waiting calls of one upstream."""

    def __init__(self) -> None:
        self._classes: dict[int, _PriorityClass] = {}
        self._waiters: dict[tuple[object, int], Waiter] = {}
        self._above_since = NEVER
        self.standing = False

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, key: tuple[object, int]) -> bool:
        return key in self._waiters

    def push(self, waiter: Waiter) -> None:
        """Adds a waiting call; a known one is left as it is."""
        key = (waiter.origin, waiter.wait)
        if key in self._waiters:
            return
        self._waiters[key] = waiter
        priority_class = self._classes.setdefault(waiter.rank, _PriorityClass())
        priority_class.waiters.setdefault(waiter.customer, deque()).append(waiter)

    def remove(self, origin: object, wait: int) -> None:
        """Removes a waiting call that was cancelled."""
        waiter = self._waiters.pop((origin, wait), None)
        if waiter is not None:
            self._discard(waiter)

    def remove_origin(self, origin: object, keep: frozenset[int] = frozenset()) -> None:
        """Removes every call of an origin except those in `keep`."""
        for key in [key for key in self._waiters if key[0] == origin and key[1] not in keep]:
            self.remove(*key)

    def _discard(self, waiter: Waiter) -> None:
        priority_class = self._classes[waiter.rank]
        queue = priority_class.waiters[waiter.customer]
        queue.remove(waiter)
        if not queue:
            del priority_class.waiters[waiter.customer]

    def pop(self, now: float) -> Waiter | None:
        """Takes the call that is next by priority, fairness and age."""
        for rank in sorted(self._classes, reverse=True):
            priority_class = self._classes[rank]
            if priority_class.waiters:
                return self._pop_class(priority_class, now)
        return None

    def _pop_class(self, priority_class: _PriorityClass, now: float) -> Waiter:
        customer = min(
            priority_class.waiters, key=lambda name: (priority_class.finish.get(name, 0.0), name)
        )
        queue = priority_class.waiters[customer]
        self._watch_delay(now - queue[0].arrived, now)
        waiter = queue.pop() if self.standing else queue.popleft()
        start = max(priority_class.virtual, priority_class.finish.get(customer, 0.0))
        priority_class.virtual = start
        priority_class.finish[customer] = start + 1.0 / waiter.weight
        if not queue:
            del priority_class.waiters[customer]
        del self._waiters[(waiter.origin, waiter.wait)]
        if not priority_class.waiters:
            priority_class.finish.clear()
            priority_class.virtual = 0.0
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
        return max((now - waiter.arrived for waiter in self._waiters.values()), default=0.0)

    def remove_matching(self, predicate: Callable[[Waiter], bool]) -> list[Waiter]:
        """Removes and returns the calls that `predicate` picks."""
        removed = [waiter for waiter in self._waiters.values() if predicate(waiter)]
        for waiter in removed:
            self.remove(waiter.origin, waiter.wait)
        return removed

    def shed_excess(self, max_waiters: int) -> list[Waiter]:
        """Removes and returns calls until `max_waiters` are left: lowest priority first.

        Within a priority the customer with the longest queue for its weight gives up its oldest
        call, so that one customer's surge does not push out the calls of others.
        """
        removed = []
        while len(self._waiters) > max_waiters:
            rank = min(
                rank for rank, priority_class in self._classes.items() if priority_class.waiters
            )
            queues = self._classes[rank].waiters
            longest = max(queues, key=lambda name: len(queues[name]) / queues[name][0].weight)
            waiter = queues[longest][0]
            self.remove(waiter.origin, waiter.wait)
            removed.append(waiter)
        return removed
