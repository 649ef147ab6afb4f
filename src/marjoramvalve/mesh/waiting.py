"""Calls waiting at an ingress for their upstream: by rank, then in order of arrival.

Answers overload of one upstream: a wait that would not end in time is refused on arrival, so that
nobody waits in vain, and the more important calls take the room of the less important ones.
"""

import heapq
from itertools import count

SMOOTHING = 0.1  # Weight of a new service time in the mean; some ten calls are remembered.
FIRST_SERVICE_S = 0.05  # Service time taken for a route that has not been seen yet.


class ServiceTimes:
    """Mean service time of each route at one upstream, in seconds."""

    def __init__(self) -> None:
        self._means: dict[bytes, float] = {}

    def note(self, route: bytes, service_s: float) -> None:
        """Takes in the service time of a call."""
        mean = self._means.get(route)
        if mean is None:
            self._means[route] = service_s
        else:
            self._means[route] = mean + SMOOTHING * (service_s - mean)

    def of(self, route: bytes) -> float:
        """Returns the mean of a route."""
        return self._means.get(route, FIRST_SERVICE_S)


class WaitingRoom:
    """Calls in order of rank and arrival, with the work that stands before each rank."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, object, float]] = []
        self._work: dict[int, float] = {}
        self._order = count()
        self._gone: set[int] = set()
        self._tickets: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._heap) - len(self._gone)

    def wait_s(self, rank: int, slots: int) -> float:
        """Returns the expected wait of a new call of a rank, in seconds."""
        work = sum(part for other, part in self._work.items() if other <= rank)
        return work / max(1, slots)

    def put(self, job: object, rank: int, service_s: float) -> None:
        """Adds a call with its expected service time."""
        order = next(self._order)
        self._tickets[id(job)] = order
        self._work[rank] = self._work.get(rank, 0.0) + service_s
        heapq.heappush(self._heap, (rank, order, job, service_s))

    def remove(self, job: object) -> bool:
        """Takes a call out; False where it does not wait."""
        order = self._tickets.pop(id(job), None)
        if order is None:
            return False
        self._gone.add(order)
        return True

    def take(self) -> object | None:
        """Returns the next call, or None."""
        while self._heap:
            rank, order, job, service_s = heapq.heappop(self._heap)
            self._work[rank] = max(0.0, self._work[rank] - service_s)
            if order in self._gone:
                self._gone.discard(order)
                continue
            del self._tickets[id(job)]
            return job
        return None
