"""The state of a call at its egress."""

from typing import TYPE_CHECKING

from marjoramvalve.h1 import IncomingRequest
from marjoramvalve.idempotency import Order
from marjoramvalve.mesh.routes import RouteTarget
from marjoramvalve.mesh.timers import Deadline

if TYPE_CHECKING:
    from marjoramvalve.mesh.peers import Peer

DEFAULT_DEADLINE_MS = 30_000  # For requests without a deadline.


class Call:
    """A request from a caller and its progress. Times are on the event loop's clock, in seconds.

    `runs` counts the upstreams that may have executed the request, `tries` the ingress nodes it was
    sent to. `objective_at` is when its objective is missed, which comes at or before `deadline`.
    `send_deadline` is the deadline that its upstream is told, which comes before it if the node
    stops earlier.
    `root_received_at` is when the external call at the root of the call chain was received.
    `is_retry` is set if this call or one of its ancestors has been sent before. `order` is set for
    a call with an idempotency key, which must execute at most once in the fleet. `is_watched` is
    set if upstreams have crashed on the request, and `is_recalled` if its ingress was asked to
    refuse it unless it runs.
    """

    __slots__ = (
        "attempt",
        "root_received_at",
        "body",
        "call_id",
        "customer",
        "deadline",
        "done",
        "head",
        "is_head",
        "is_recalled",
        "is_retry",
        "is_sub_call",
        "is_watched",
        "may_have_run",
        "order",
        "peer",
        "rank",
        "repeatable",
        "request",
        "route_name",
        "runs",
        "send_deadline",
        "sent_at",
        "service",
        "target",
        "timer",
        "objective_at",
        "tried_peers",
        "tries",
    )

    def __init__(self, call_id: int, request: IncomingRequest, target: RouteTarget) -> None:
        self.call_id = call_id
        self.request = request
        self.target = target
        self.route_name = target.raw_name
        self.attempt = request.attempt
        self.body = request.body
        self.head = b""
        self.is_head = request.method == b"HEAD"
        self.repeatable = target.repeatable
        deadline_ms = request.deadline_ms
        if deadline_ms is None:
            deadline_ms = DEFAULT_DEADLINE_MS
        self.deadline = request.received_at + min(deadline_ms / 1000, target.deadline_s)
        self.objective_at = min(self.deadline, request.received_at + target.objective_s)
        self.send_deadline = self.deadline
        self.rank = 0
        self.is_sub_call = False
        self.is_watched = False
        self.is_recalled = False
        self.is_retry = False
        self.root_received_at = request.received_at
        self.customer = ""
        self.service = ""
        self.order: Order | None = None
        self.peer: Peer | None = None
        self.sent_at = 0.0
        self.tried_peers: set[Peer] = set()
        self.tries = 0
        self.runs = 0
        self.may_have_run = False
        self.timer: Deadline | None = None
        self.done = False

    def end(self) -> None:
        """Marks the call as ended, and frees its request."""
        self.done = True
        self.head = self.body = b""
        if self.timer is not None:
            self.timer.cancel()
