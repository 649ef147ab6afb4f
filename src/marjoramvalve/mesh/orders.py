"""Orders under a caller's idempotency key: sent once it is on record that they start.

A caller that lost its connection sends the order again under the same key, at any node. It gets the
stored answer, or is told that the order was started; it never runs a second time.
"""

from collections.abc import Callable

import msgspec
import structlog

from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.limiters import OrderKeeper
from marjoramvalve.once import (
    KeyProblem,
    Order,
    OrderOutcome,
    OrderVerdict,
    parse_key,
    request_digest,
    scope_digest,
)
from marjoramvalve.outcomes import STATUS, Reason, Run

NO_KEEPER_AFTER_S = 1.0  # About the time in which another leader is chosen.
RUNNING_AFTER_S = 0.5  # When the answer of an order that is running may be there.
REPLAYED = b"Marjoramvalve-Replayed: 1\r\n"

log = structlog.get_logger("orders")


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A whole answer as kept for a resend."""

    status: int
    head: bytes
    body: bytes


_DECODER = msgspec.msgpack.Decoder(StoredAnswer)

# What a resend is told, by what is known of its order: reason, whether it may have run, and after
# how many seconds to come back.
REFUSALS: dict[OrderVerdict, tuple[Reason, Run, float]] = {
    OrderVerdict.RUNNING: (Reason.CONFLICT, Run.UNKNOWN, RUNNING_AFTER_S),
    OrderVerdict.DONE: (Reason.CONFLICT, Run.UNKNOWN, 0.0),  # Its answer was too large to keep.
    OrderVerdict.REUSED: (Reason.KEY_REUSED, Run.NOT_RUN, 0.0),
    OrderVerdict.FULL: (Reason.NO_KEEPER, Run.NOT_RUN, NO_KEEPER_AFTER_S),
    OrderVerdict.UNREACHED: (Reason.NO_KEEPER, Run.NOT_RUN, NO_KEEPER_AFTER_S),
}


class EgressOrders:
    """The orders of one egress process. `incarnation` makes its owners unique in the fleet."""

    def __init__(
        self, keeper: OrderKeeper, incarnation: int, service: str, attempt_name: bytes
    ) -> None:
        self._keeper = keeper
        self._incarnation = incarnation
        self._service = service
        self._attempt_prefix = attempt_name.lower() + b":"

    def identify(self, call: Call) -> KeyProblem | None:
        """Makes a call an order where its caller gave a key; returns what is wrong with one."""
        request = call.request
        if not request.order_key or call.repeatable:
            return None
        parsed = parse_key(request.order_key.decode("latin-1"))
        if isinstance(parsed, KeyProblem):
            return parsed
        # No customer's name holds a line feed.
        holder = f"\n{self._service}" if call.is_sub_call else call.customer
        method, path = request.method.decode("latin-1"), request.target.decode("latin-1")
        call.order = Order(
            scope_digest(holder, call.target.name, parsed.value),
            bytes.fromhex(request_digest(method, path, request.body)),
            b"%x.%d" % (self._incarnation, call.call_id),
        )
        return None

    def begin(self, call: Call, on_outcome: Callable[[Call, OrderOutcome], None]) -> None:
        """Asks whether an order may be sent; one that has ended meanwhile is withdrawn."""

        def decide(outcome: OrderOutcome) -> None:
            if call.done:
                self._withdraw_begun(call.order, outcome)
                return
            if outcome.verdict is not OrderVerdict.STARTED:
                self._withdraw_begun(call.order, outcome)
                log.info(
                    "order.not_started",
                    request=call.attempt,
                    scope=call.order.scope.hex(),
                    verdict=str(outcome.verdict),
                )
            on_outcome(call, outcome)

        self._keeper.begin(call.order, decide)

    def _withdraw_begun(self, order: Order, outcome: OrderOutcome) -> None:
        if outcome.verdict in (OrderVerdict.STARTED, OrderVerdict.UNREACHED):
            self._keeper.withdraw(order)

    def withdraw(self, call: Call) -> None:
        """Takes out an order that has not been run."""
        if call.order is not None:
            self._keeper.withdraw(call.order)

    def finish(self, call: Call, status: int, head: bytes, body: bytes) -> None:
        """Stores the answer of an order."""
        if call.order is not None:
            stored = msgspec.msgpack.encode(StoredAnswer(status, head, body))
            self._keeper.finish(call.order, stored)

    def read_answer(self, call: Call, outcome: OrderOutcome) -> StoredAnswer | None:
        """Returns the stored answer for a resend, under the resend's own attempt id."""
        if outcome.verdict is not OrderVerdict.DONE or not outcome.answer:
            return None
        stored = _DECODER.decode(outcome.answer)
        lines = [
            line
            for line in stored.head.splitlines(keepends=True)
            if not line.lower().startswith(self._attempt_prefix)
        ]
        own = b"%b %b\r\n" % (self._attempt_prefix, call.attempt)
        return StoredAnswer(stored.status, b"".join((*lines, own, REPLAYED)), stored.body)


def refusal_of(outcome: OrderOutcome) -> tuple[Reason, int, Run, float]:
    """Returns reason, status, statement on the run and seconds to wait for a resend."""
    reason, run, after_s = REFUSALS[outcome.verdict]
    return reason, STATUS[reason], run, after_s
