"""Retry budgets, the call tokens that carry them, and quarantine of crashing requests."""

from marjoramvalve.retries.backoff import retry_after
from marjoramvalve.retries.budgets import ChainBudget, RouteBudget, child_budget
from marjoramvalve.retries.fingerprints import PREFIX_BYTES, fingerprints, path_prefix
from marjoramvalve.retries.quarantines import CRASHES_TO_QUARANTINE, QuarantineTable, fingerprint
from marjoramvalve.retries.suspects import CrashedRun, ListedSuspect, Standing, SuspectTable
from marjoramvalve.retries.tokens import CallToken, TokenSigner

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "CallToken",
    "ChainBudget",
    "CrashedRun",
    "PREFIX_BYTES",
    "QuarantineTable",
    "RouteBudget",
    "Standing",
    "SuspectTable",
    "ListedSuspect",
    "TokenSigner",
    "fingerprint",
    "fingerprints",
    "child_budget",
    "path_prefix",
    "retry_after",
]
