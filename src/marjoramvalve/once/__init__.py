"""At most once: idempotency records at two keepers, and their copies when placement changes."""

from marjoramvalve.once.handovers import HandOverState
from marjoramvalve.once.keepers import Keeper, KeeperVerdict, done_record
from marjoramvalve.once.keys import IdempotencyKey, KeyProblem, parse_key, request_digest

__all__ = [
    "HandOverState",
    "IdempotencyKey",
    "Keeper",
    "KeeperVerdict",
    "KeyProblem",
    "done_record",
    "parse_key",
    "request_digest",
]
