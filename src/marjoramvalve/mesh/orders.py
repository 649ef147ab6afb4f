"""Orders, which are requests under an idempotency key: sent only once recorded as started.

A caller that lost its connection can send the order again under the same key, to any node. It gets
the stored response or is told that the order was started; the order never runs a second time.
"""

from collections.abc import Callable

import msgspec
import structlog

from marjoramvalve.idempotency import (
    KeyProblem,
    Order,
    OrderOutcome,
    OrderVerdict,
    parse_key,
    request_digest,
    scope_digest,
)
from marjoramvalve.mesh.calls import Call
from marjoramvalve.mesh.limiters import OrderKeeper
from marjoramvalve.outcomes import HTTP_STATUSES, Reason, RunStatus

NO_KEEPER_RETRY_AFTER_S = 1.0  # About the time that a leader election takes.
RUNNING_RETRY_AFTER_S = 0.5  # The response of a running order may be available by then.
REPLAYED_HEADER = b"Marjoramvalve-Replayed: 1\r\n"

log = structlog.get_logger("orders")


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A complete response as kept for resends of its order."""

    status: int
    head: bytes
    body: bytes


_DECODER = msgspec.msgpack.Decoder(StoredAnswer)

# How a resend is refused, by the verdict on its order: the reason, whether the order may have run,
# and the seconds after which to come back (0: never).
REFUSALS: dict[OrderVerdict, tuple[Reason, RunStatus, float]] = {
    OrderVerdict.RUNNING: (Reason.CONFLICT, RunStatus.UNKNOWN, RUNNING_RETRY_AFTER_S),
    # The response was too large to store.
    OrderVerdict.DONE: (Reason.CONFLICT, RunStatus.UNKNOWN, 0.0),
    OrderVerdict.REUSED: (Reason.KEY_REUSED, RunStatus.NOT_RUN, 0.0),
    OrderVerdict.FULL: (Reason.NO_KEEPER, RunStatus.NOT_RUN, NO_KEEPER_RETRY_AFTER_S),
    OrderVerdict.UNREACHED: (Reason.NO_KEEPER, RunStatus.NOT_RUN, NO_KEEPER_RETRY_AFTER_S),
}


class EgressOrders:
    """Records and replays the orders of one egress process.

    `incarnation` makes the owners of its records unique in the fleet.
    """

    def __init__(
        self, keeper: OrderKeeper, incarnation: int, service: str, attempt_name: bytes
    ) -> None:
        self._keeper = keeper
        self._incarnation = incarnation
        self._service = service
        self._attempt_prefix = attempt_name.lower() + b":"

    def identify(self, call: Call) -> KeyProblem | None:
        """Sets `call.order` if the caller gave an idempotency key; returns a bad key's problem.

        Calls that may be repeated need no record.
        """
        request = call.request
        if not request.idempotency_key or call.repeatable:
            return None
        parsed = parse_key(request.idempotency_key.decode("latin-1"))
        if isinstance(parsed, KeyProblem):
            return parsed
        # A customer's name can't contain a line feed, so the two kinds of holder never collide.
        holder = f"\n{self._service}" if call.is_sub_call else call.customer
        method, path = request.method.decode("latin-1"), request.target.decode("latin-1")
        call.order = Order(
            scope_digest(holder, call.target.name, parsed.value),
            bytes.fromhex(request_digest(method, path, request.body)),
            b"%x.%d" % (self._incarnation, call.call_id),
        )
        return None

    def begin(self, call: Call, on_outcome: Callable[[Call, OrderOutcome], None]) -> None:
        """Asks whether an order may be sent, and withdraws one whose call has ended meanwhile."""

        def handle_outcome(outcome: OrderOutcome) -> None:
            if call.done:
                self._withdraw_if_maybe_started(call.order, outcome)
                return
            if outcome.verdict is not OrderVerdict.STARTED:
                self._withdraw_if_maybe_started(call.order, outcome)
                log.info(
                    "order.not_started",
                    request=call.attempt,
                    scope=call.order.scope.hex(),
                    verdict=str(outcome.verdict),
                )
            on_outcome(call, outcome)

        self._keeper.begin(call.order, handle_outcome)

    def _withdraw_if_maybe_started(self, order: Order, outcome: OrderOutcome) -> None:
        if outcome.verdict in (OrderVerdict.STARTED, OrderVerdict.UNREACHED):
            self._keeper.withdraw(order)

    def withdraw(self, call: Call) -> None:
        """Withdraws the record of an order that has not run."""
        if call.order is not None:
            self._keeper.withdraw(call.order)

    def finish(self, call: Call, status: int, head: bytes, body: bytes) -> None:
        """Stores the response of an order."""
        if call.order is not None:
            stored = msgspec.msgpack.encode(StoredAnswer(status, head, body))
            self._keeper.finish(call.order, stored)

    def read_answer(self, call: Call, outcome: OrderOutcome) -> StoredAnswer | None:
        """Returns the stored response for a resend, with the attempt id of the resend, or None."""
        if outcome.verdict is not OrderVerdict.DONE or not outcome.answer:
            return None
        stored = _DECODER.decode(outcome.answer)
        lines = [
            line
            for line in stored.head.splitlines(keepends=True)
            if not line.lower().startswith(self._attempt_prefix)
        ]
        attempt_line = b"%b %b\r\n" % (self._attempt_prefix, call.attempt)
        return StoredAnswer(
            stored.status, b"".join((*lines, attempt_line, REPLAYED_HEADER)), stored.body
        )


def refusal_of(outcome: OrderOutcome) -> tuple[Reason, int, RunStatus, float]:
    """Returns how a resend is refused: reason, status, whether it ran, and seconds to wait."""
    reason, run, after_s = REFUSALS[outcome.verdict]
    return reason, HTTP_STATUSES[reason], run, after_s
