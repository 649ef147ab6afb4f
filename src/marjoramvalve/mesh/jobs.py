"""Calls at an ingress, and the state and statistics of its upstream."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from marjoramvalve.h1 import Exchange, UpstreamResponse
from marjoramvalve.mesh.frames import ErrorCode
from marjoramvalve.mesh.timers import Deadline, DeadlineScheduler


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """The state that the local upstream announces.

    `started_at_ms` is its start time in milliseconds. `cold_until_s` is a time on the event loop's
    clock; until then, the upstream is expected to be slow because it has just started. It is None
    if the upstream has not told, and in the past if it is not cold.
    """

    instance: str = ""
    service: str = ""
    slots: int = 0
    ready: bool = False
    started_at_ms: int = 0
    seq: int = 0
    cold_until_s: float | None = None

    def without_times(self) -> "UpstreamState":
        """Returns the state without its age, cold or not, to compare it with others."""
        return replace(self, seq=0, cold_until_s=float((self.cold_until_s or 0.0) > 0.0))


class JobCallbacks(Protocol):
    """Receives the outcome of a job."""

    def job_completed(self, job: "Job", response: UpstreamResponse, service_s: float) -> None:
        """Called when the upstream has sent a complete response."""

    def job_refused(self, job: "Job", code: ErrorCode, retry_after_s: float) -> None:
        """Called when the request did not run and will not run."""

    def job_failed(self, job: "Job", code: ErrorCode) -> None:
        """Called when the call failed after the request may have run."""


@dataclass(slots=True)
class RunStats:
    """Successful runs of a route: number, slot-seconds, and number of sub-calls by route."""

    count: int = 0
    slot_seconds: float = 0.0
    sub_calls: dict[str, int] = field(default_factory=dict)


class Job:
    """A call at the ingress. Times are on the event loop's clock, in seconds.

    `objective_at` is when its objective is missed. `root_received_at` is when the external call at
    the root of the call chain was received. `is_retry` is set if the call or one of its ancestors
    has been sent before. `calls` counts the sub-calls made on its behalf, by route.
    `started_at_capacity` is set if the upstream was at capacity when the job started.
    """

    __slots__ = (
        "attempt",
        "root_received_at",
        "body",
        "call_id",
        "calls",
        "deadline",
        "done",
        "exchange",
        "started_at_capacity",
        "head",
        "is_head",
        "is_retry",
        "is_sub_call",
        "callbacks",
        "rank",
        "repeatable",
        "route",
        "started_at",
        "timer",
        "objective_at",
    )

    def __init__(
        self,
        callbacks: JobCallbacks,
        call_id: int,
        route: bytes,
        attempt: bytes,
        head: bytes,
        body: bytes,
        deadline: float,
        objective_at: float,
        root_received_at: float,
        rank: int,
        repeatable: bool,
        is_head: bool,
        is_sub_call: bool,
        is_retry: bool,
    ) -> None:
        self.callbacks = callbacks
        self.call_id = call_id
        self.route = route
        self.is_retry = is_retry
        self.attempt = attempt
        self.head = head
        self.body = body
        self.deadline = deadline
        self.objective_at = objective_at
        self.root_received_at = root_received_at
        self.calls: dict[str, int] = {}
        self.rank = rank
        self.repeatable = repeatable
        self.is_head = is_head
        self.is_sub_call = is_sub_call
        self.started_at = 0.0
        self.started_at_capacity = False
        self.exchange: Exchange | None = None
        self.timer: Deadline | None = None
        self.done = False

    def set_timer(
        self, deadlines: DeadlineScheduler, when: float, callback: Callable[[], None]
    ) -> None:
        """Runs a callback at a time instead of the one that was set before."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = deadlines.add(when, callback)

    def end(self) -> None:
        """Marks the job as done, and frees its request.

        The callbacks of the exchange and of the timer refer to the job, so that it would stay in
        memory until the garbage collector finds them.
        """
        self.done = True
        self.head = self.body = b""
        self.exchange = None
        if self.timer is not None:
            self.timer.cancel()
