"""Calls at an ingress, and what is known of the upstream beside it."""

from dataclasses import dataclass, field
from typing import Protocol

from marjoramvalve.h1 import Exchange, UpstreamResponse
from marjoramvalve.mesh.frames import Why


@dataclass(frozen=True, slots=True)
class UpstreamState:
    """What the upstream beside says of itself. `born` is the time of its start in milliseconds.

    `cold_until` is a time of the loop's clock, up to which it is slow after its start.
    """

    instance: str = ""
    service: str = ""
    slots: int = 0
    ready: bool = False
    born: int = 0
    seq: int = 0
    cold_until: float = 0.0


class Port(Protocol):
    """Where the outcome of a job goes."""

    def job_answered(self, job: "Job", answer: UpstreamResponse, service_s: float) -> None:
        """The upstream gave a whole answer."""

    def job_refused(self, job: "Job", why: Why, after_s: float) -> None:
        """The request has not run and will not."""

    def job_failed(self, job: "Job", why: Why) -> None:
        """The request may have run."""


@dataclass(slots=True)
class Runs:
    """Runs of one route that ended well: their slot-seconds, and the sub-calls that they made."""

    count: int = 0
    seconds: float = 0.0
    calls: dict[str, int] = field(default_factory=dict)


class Job:
    """A call at the ingress. Times are of the loop's clock.

    `began` is when the outside call that caused this one came in. `is_repeat` tells that the call,
    or one above it, has been sent before. `calls` counts the sub-calls made for it, by route.
    `found_full` tells that it found the upstream full when it started. `watched` holds its
    fingerprints where it is a request under which upstreams have ended.
    """

    __slots__ = (
        "attempt",
        "began",
        "body",
        "call_id",
        "calls",
        "deadline",
        "done",
        "exchange",
        "found_full",
        "head",
        "is_head",
        "is_repeat",
        "is_sub_call",
        "port",
        "rank",
        "repeatable",
        "route",
        "started_at",
        "timely",
        "watched",
    )

    def __init__(
        self,
        port: Port,
        call_id: int,
        route: bytes,
        attempt: bytes,
        head: bytes,
        body: bytes,
        deadline: float,
        timely: float,
        began: float,
        rank: int,
        repeatable: bool,
        is_head: bool,
        is_sub_call: bool,
        is_repeat: bool,
    ) -> None:
        self.port = port
        self.call_id = call_id
        self.route = route
        self.is_repeat = is_repeat
        self.attempt = attempt
        self.head = head
        self.body = body
        self.deadline = deadline
        self.timely = timely
        self.began = began
        self.calls: dict[str, int] = {}
        self.rank = rank
        self.repeatable = repeatable
        self.is_head = is_head
        self.is_sub_call = is_sub_call
        self.started_at = 0.0
        self.found_full = False
        self.exchange: Exchange | None = None
        self.done = False
        self.watched: tuple[bytes, ...] = ()
