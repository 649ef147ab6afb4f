"""Priority queue of the calls waiting at an ingress for its upstream.

Calls are ordered by rank, then by the start of the root call that caused them. Under overload, a
call whose expected wait is too long is refused on arrival instead of timing out in the queue, and
the more important calls displace the less important ones. A call that makes many sub-calls fails
as soon as one of them fails: so the sub-calls of the oldest root call go first, which lets some
root calls succeed completely instead of all of them partially.
"""

import heapq
from collections.abc import Callable
from itertools import count

SMOOTHING = 0.1  # Weight of a new service time in the moving average: about the last ten calls.
FIRST_SERVICE_S = 0.05  # Service time assumed for a route that has not been seen yet.

ROOT_CALL_BIT = 1  # Within the same rank, sub-calls go before new root calls.


def combine_ranks(customer_rank: int, route_rank: int) -> int:
    """Returns the rank of a root call in queues: the customer's rank first, then the route's."""
    return min(customer_rank, 15) << 4 | min(route_rank, 7) << 1 | ROOT_CALL_BIT


class ServiceTimes:
    """Mean service time of each route at one upstream, in seconds."""

    def __init__(self) -> None:
        self._means: dict[bytes, float] = {}

    def record(self, route: bytes, service_s: float) -> None:
        """Adds the service time of a call to the mean of its route."""
        mean = self._means.get(route)
        if mean is None:
            self._means[route] = service_s
        else:
            self._means[route] = mean + SMOOTHING * (service_s - mean)

    def has_seen(self, route: bytes) -> bool:
        """Returns whether a service time of a route has been recorded."""
        return route in self._means

    def mean_s(self, route: bytes) -> float:
        """Returns the mean service time of a route, in seconds."""
        return self._means.get(route, FIRST_SERVICE_S)


class CallQueue:
    """Waiting calls, ordered by rank and then by the start of their root call."""

    def __init__(self) -> None:
        # Rank, start of the root call, sequence number and expected service time of each call.
        self._heap: list[tuple[int, float, int, float]] = []
        self._sequence = count()
        # Without the removed calls, whose entries stay in the heap for a while.
        self._jobs: dict[int, object] = {}
        self._sequence_by_job: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def expected_wait_s(
        self,
        rank: int,
        began: float,
        slots: int,
        turn_delay_s: Callable[[int], float] = lambda calls: 0.0,
        work_factor: float = 1.0,
    ) -> float:
        """Returns the expected wait of a new call, in seconds.

        `turn_delay_s` returns the time until a call may be sent after this many others.
        `work_factor` is the time of work now, relative to the service times of the calls.
        """
        position = (rank, began)
        calls, work_s = 0, 0.0
        for item in self._heap:
            if item[:2] <= position and item[2] in self._jobs:
                calls += 1
                work_s += item[3]
        return max(work_factor * work_s / max(1, slots), turn_delay_s(calls))

    def push(self, job: object, rank: int, began: float, service_s: float) -> None:
        """Adds a call with its expected service time in seconds."""
        sequence = next(self._sequence)
        self._sequence_by_job[id(job)] = sequence
        self._jobs[sequence] = job
        heapq.heappush(self._heap, (rank, began, sequence, service_s))

    def in_order(self) -> list:
        """Returns the waiting calls, the next one first."""
        return [self._jobs[item[2]] for item in sorted(self._heap) if item[2] in self._jobs]

    def remove(self, job: object) -> bool:
        """Removes a call; returns False if it is not in the queue."""
        sequence = self._sequence_by_job.pop(id(job), None)
        if sequence is None:
            return False
        del self._jobs[sequence]
        if len(self._heap) > 2 * len(self._jobs):
            self._heap = [item for item in self._heap if item[2] in self._jobs]
            heapq.heapify(self._heap)
        return True

    def pop(self) -> object | None:
        """Removes and returns the next call, or None if no call waits."""
        while self._heap:
            sequence = heapq.heappop(self._heap)[2]
            job = self._jobs.pop(sequence, None)
            if job is not None:
                del self._sequence_by_job[id(job)]
                return job
        return None
