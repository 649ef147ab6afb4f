"""Calls waiting at an ingress for their upstream: by rank, then by the age of the outside call.

Answers overload of one upstream: a wait that would not end in time is refused on arrival, so that
nobody waits in vain, and the more important calls take the room of the less important ones. A call
that makes many sub-calls fails with the first that fails: the sub-calls of the oldest go first, so
that some calls succeed in whole rather than all in part.
"""

import heapq
from itertools import count

SMOOTHING = 0.1  # Weight of a new service time in the mean; some ten calls are remembered.
FIRST_SERVICE_S = 0.05  # Service time taken for a route that has not been seen yet.

ROOT_CALL_BIT = 1  # At the same rank, sub-calls go before new outside calls.


def combine_ranks(first: int, second: int) -> int:
    """Returns the place of an outside call in queues: by customer's rank, then by route's."""
    return min(first, 15) << 4 | min(second, 7) << 1 | ROOT_CALL_BIT


class ServiceTimes:
    """Mean service time of each route at one upstream, in seconds."""

    def __init__(self) -> None:
        self._means: dict[bytes, float] = {}

    def record(self, route: bytes, service_s: float) -> None:
        """Takes in the service time of a call."""
        mean = self._means.get(route)
        if mean is None:
            self._means[route] = service_s
        else:
            self._means[route] = mean + SMOOTHING * (service_s - mean)

    def mean_s(self, route: bytes) -> float:
        """Returns the mean of a route."""
        return self._means.get(route, FIRST_SERVICE_S)


class CallQueue:
    """Calls by rank, then by the time at which the outside call behind them began."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, float, int, object, float]] = []
        self._order = count()
        self._gone: set[int] = set()
        self._tickets: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._heap) - len(self._gone)

    def expected_wait_s(self, rank: int, began: float, slots: int) -> float:
        """Returns the expected wait of a new call, in seconds."""
        place = (rank, began)
        work = 0.0
        for item in self._heap:
            if item[:2] <= place and item[2] not in self._gone:
                work += item[4]
        return work / max(1, slots)

    def push(self, job: object, rank: int, began: float, service_s: float) -> None:
        """Adds a call with its expected service time."""
        order = next(self._order)
        self._tickets[id(job)] = order
        heapq.heappush(self._heap, (rank, began, order, job, service_s))

    def remove(self, job: object) -> bool:
        """Takes a call out; False where it does not wait."""
        order = self._tickets.pop(id(job), None)
        if order is None:
            return False
        self._gone.add(order)
        return True

    def pop(self) -> object | None:
        """Returns the next call, or None."""
        while self._heap:
            _, _, order, job, _ = heapq.heappop(self._heap)
            if order in self._gone:
                self._gone.discard(order)
                continue
            del self._tickets[id(job)]
            return job
        return None
