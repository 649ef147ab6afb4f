"""Bounds on retries, call tokens that carry them, quarantine of crashing requests."""

from marjoramvalve.retries.backoff import retry_after
from marjoramvalve.retries.budgets import ChainBudget, RouteBudget, hand_down
from marjoramvalve.retries.fingerprints import PREFIX_BYTES, fingerprints, path_prefix
from marjoramvalve.retries.quarantines import CRASHES_TO_QUARANTINE, QuarantineBook, fingerprint
from marjoramvalve.retries.suspects import EndedRun, Standing, SuspectBook, Suspicion
from marjoramvalve.retries.tokens import CallToken, TokenMint

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "CallToken",
    "ChainBudget",
    "EndedRun",
    "PREFIX_BYTES",
    "QuarantineBook",
    "RouteBudget",
    "Standing",
    "SuspectBook",
    "Suspicion",
    "TokenMint",
    "fingerprint",
    "fingerprints",
    "hand_down",
    "path_prefix",
    "retry_after",
]
