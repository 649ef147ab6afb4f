"""A call at its egress."""

from typing import TYPE_CHECKING

from marjoramvalve.h1 import IncomingRequest
from marjoramvalve.mesh.routes import RouteTarget
from marjoramvalve.once import Order

if TYPE_CHECKING:
    from marjoramvalve.mesh.peers import Peer


class Call:
    """One request of a caller on its way. Times are of the loop's clock.

    `runs` counts the upstreams that may have run it, `tries` the ingress nodes that were asked.
    `began` is when the outside call that caused this one came in; `is_repeat` tells that this
    call, or one above it, has been sent before. `order` is set where it runs once in the fleet.
    """

    __slots__ = (
        "attempt",
        "began",
        "body",
        "call_id",
        "customer",
        "deadline",
        "done",
        "head",
        "is_head",
        "is_repeat",
        "is_sub_call",
        "maybe_ran",
        "order",
        "peer",
        "rank",
        "repeatable",
        "request",
        "route_name",
        "runs",
        "sent_at",
        "service",
        "target",
        "timely",
        "tried",
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
        self.deadline = 0.0
        self.timely = 0.0
        self.rank = 0
        self.is_sub_call = False
        self.is_repeat = False
        self.began = request.received_at
        self.customer = ""
        self.service = ""
        self.order: Order | None = None
        self.peer: Peer | None = None
        self.sent_at = 0.0
        self.tried: set[Peer] = set()
        self.tries = 0
        self.runs = 0
        self.maybe_ran = False
        self.done = False
