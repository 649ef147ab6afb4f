"""Retry budgets: one for a whole call chain, and one for each route.

A call that arrives with budget R makes at most one attempt more than its first. The first
attempt hands down R - 1, the second hands down 0. The extra attempts below and at any hop then
add up to at most R: E(0) = 0 and E(R) <= 1 + E(R - 1) + E(0). Each level of a chain of any depth
therefore runs at most 1 + R times for one original request, whatever fails. A call that fans out
hands its budget to each sub-call, and each branch keeps the bound by itself.
"""

from dataclasses import dataclass

MAX_TOKENS = 10.0
RETRY_COST = 1.0
ROUNDING_TOLERANCE = 1e-9


def child_budget(budget: int, attempt: int) -> int:
    """Returns the budget that attempt number `attempt`, from 0, carries down the chain."""
    return max(0, budget - 1) if attempt == 0 else 0


@dataclass(frozen=True, slots=True)
class ChainBudget:
    """Retries left to a call and everything below it."""

    retries_left: int

    def max_attempts(self) -> int:
        """Returns how many attempts this hop may make in all."""
        return 1 + min(1, self.retries_left)


class RouteBudget:
    """Token bucket of retries for a route: each success earns `ratio` of a retry."""

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = MAX_TOKENS

    def record_success(self) -> None:
        """Earns for a success."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spends one retry, if there is one."""
        if self.tokens < RETRY_COST - ROUNDING_TOLERANCE:
            return False
        self.tokens -= RETRY_COST
        return True
