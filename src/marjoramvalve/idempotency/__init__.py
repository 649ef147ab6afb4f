"""At most once: idempotency records, kept by the controllers or by keepers of the direct way."""

from marjoramvalve.idempotency.handovers import HandOverState
from marjoramvalve.idempotency.keepers import Keeper, KeeperVerdict, complete_record
from marjoramvalve.idempotency.keys import (
    IdempotencyKey,
    KeyProblem,
    parse_key,
    request_digest,
    scope_digest,
)
from marjoramvalve.idempotency.orders import (
    MAX_ANSWER_BYTES,
    Order,
    OrderOutcome,
    OrderRecord,
    OrderStore,
    OrderVerdict,
)

__all__ = [
    "MAX_ANSWER_BYTES",
    "HandOverState",
    "IdempotencyKey",
    "Keeper",
    "KeeperVerdict",
    "KeyProblem",
    "Order",
    "OrderOutcome",
    "OrderRecord",
    "OrderStore",
    "OrderVerdict",
    "complete_record",
    "parse_key",
    "request_digest",
    "scope_digest",
]
