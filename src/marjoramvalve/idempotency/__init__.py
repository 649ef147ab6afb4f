"""At-most-once execution of requests by idempotency records.

The records are kept either by the controllers (orders) or by two of the instances (keepers).
"""

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
