"""At most once: idempotency records, kept by the controllers or by keepers of the direct way."""

from marjoramvalve.idempotency.handovers import HandOverState
from marjoramvalve.idempotency.keepers import Keeper, KeeperVerdict, done_record
from marjoramvalve.idempotency.keys import (
    IdempotencyKey,
    KeyProblem,
    parse_key,
    request_digest,
    scope_digest,
)
from marjoramvalve.idempotency.orders import (
    LARGEST_ANSWER_BYTES,
    Order,
    OrderBook,
    OrderOutcome,
    OrderRecord,
    OrderVerdict,
)

__all__ = [
    "LARGEST_ANSWER_BYTES",
    "HandOverState",
    "IdempotencyKey",
    "Keeper",
    "KeeperVerdict",
    "KeyProblem",
    "Order",
    "OrderBook",
    "OrderOutcome",
    "OrderRecord",
    "OrderVerdict",
    "done_record",
    "parse_key",
    "request_digest",
    "scope_digest",
]
