"""Queue of calls that wait for a slot, by priority and with weighted fairness between customers.

Customers of the same priority are served by start-time fair queueing (Goyal, Vin and Cheng, 1996).
The calls of one customer are served oldest first while the queue drains, and newest first while
there is a standing queue (Nichols and Jacobson, "Controlling Queue Delay", 2012).
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

STANDING_TARGET_S = 0.02
STANDING_INTERVAL_S = 0.1
NEVER = -1e18


@dataclass(frozen=True, slots=True)
class Waiter:
    """A waiting call, identified by `origin` and `wait`.

    Times are on the slot owner's clock, in seconds.
    """

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
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = field(default_factory=dict)


class FairQueue:
    """The calls that wait for a slot of one upstream."""

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
        """Adds a waiting call, unless it is queued already."""
        key = (waiter.origin, waiter.wait)
        if key in self._waiters:
            return
        self._waiters[key] = waiter
        priority_class = self._classes.setdefault(waiter.rank, _PriorityClass())
        priority_class.waiters.setdefault(waiter.customer, deque()).append(waiter)

    def remove(self, origin: object, wait: int) -> None:
        """Removes a cancelled call, if it is still waiting."""
        waiter = self._waiters.pop((origin, wait), None)
        if waiter is not None:
            self._discard(waiter)

    def remove_origin(self, origin: object, keep: frozenset[int] = frozenset()) -> None:
        """Removes all calls of an origin except those in `keep`."""
        for key in [key for key in self._waiters if key[0] == origin and key[1] not in keep]:
            self.remove(*key)

    def _discard(self, waiter: Waiter) -> None:
        priority_class = self._classes[waiter.rank]
        queue = priority_class.waiters[waiter.customer]
        queue.remove(waiter)
        if not queue:
            del priority_class.waiters[waiter.customer]

    def pop(self, now: float) -> Waiter | None:
        """Removes and returns the next call by priority, fairness and age, if there is one."""
        for rank in sorted(self._classes, reverse=True):
            priority_class = self._classes[rank]
            if priority_class.waiters:
                return self._pop_class(priority_class, now)
        return None

    def _pop_class(self, priority_class: _PriorityClass, now: float) -> Waiter:
        customer = min(
            priority_class.waiters,
            key=lambda name: (priority_class.finish_tags.get(name, 0.0), name),
        )
        queue = priority_class.waiters[customer]
        self._update_standing(now - queue[0].arrived, now)
        waiter = queue.pop() if self.standing else queue.popleft()
        start = max(priority_class.virtual_time, priority_class.finish_tags.get(customer, 0.0))
        priority_class.virtual_time = start
        priority_class.finish_tags[customer] = start + 1.0 / waiter.weight
        if not queue:
            del priority_class.waiters[customer]
        del self._waiters[(waiter.origin, waiter.wait)]
        if not priority_class.waiters:
            priority_class.finish_tags.clear()
            priority_class.virtual_time = 0.0
        return waiter

    def _update_standing(self, delay: float, now: float) -> None:
        if delay < STANDING_TARGET_S:
            self._above_since = NEVER
            self.standing = False
        elif self._above_since == NEVER:
            self._above_since = now
        elif now - self._above_since > STANDING_INTERVAL_S:
            self.standing = True

    def oldest_delay(self, now: float) -> float:
        """Returns the seconds for which the oldest call has waited, 0 if the queue is empty."""
        return max((now - waiter.arrived for waiter in self._waiters.values()), default=0.0)

    def remove_matching(self, predicate: Callable[[Waiter], bool]) -> list[Waiter]:
        """Removes and returns the calls for which `predicate` is true."""
        removed = [waiter for waiter in self._waiters.values() if predicate(waiter)]
        for waiter in removed:
            self.remove(waiter.origin, waiter.wait)
        return removed

    def shed_excess(self, max_waiters: int) -> list[Waiter]:
        """Removes calls until at most `max_waiters` are left, and returns those removed.

        Calls of the lowest priority are removed first. Within a priority, it is the oldest call of
        the customer whose queue is longest relative to its weight, so that a surge of one customer
        does not displace the calls of others.
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
