"""Retry budgets: one for a whole call chain, and one for each route.

A call that arrives with budget R is retried at most once at each hop. The first attempt passes
R - 1 down the chain, the retry passes 0. The number of extra attempts at a hop and below it, E(R),
is then at most R: E(0) = 0 and E(R) <= 1 + E(R - 1) + E(0). Each level of a chain of any depth
therefore runs at most 1 + R times for one original request, whichever calls fail. A call that fans
out passes the same budget to every sub-call, and the bound holds for each branch separately.
"""

from dataclasses import dataclass

MAX_TOKENS = 10.0
RETRY_COST = 1.0
ROUNDING_TOLERANCE = 1e-9


def child_budget(budget: int, attempt: int) -> int:
    """Returns the budget that an attempt, numbered from 0, passes down the chain."""
    return max(0, budget - 1) if attempt == 0 else 0


@dataclass(frozen=True, slots=True)
class ChainBudget:
    """Retries left for a call and all of its sub-calls."""

    retries_left: int

    def max_attempts(self) -> int:
        """Returns the maximum number of attempts at this hop, including the first."""
        return 1 + min(1, self.retries_left)


class RouteBudget:
    """Token bucket of retries for a route: each success adds `ratio` of a retry."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = MAX_TOKENS

    def record_success(self) -> None:
        """Adds `ratio` of a retry for a successful call."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spends one retry; returns whether one was available."""
        if self.tokens < RETRY_COST - ROUNDING_TOLERANCE:
            return False
        self.tokens -= RETRY_COST
        return True
