"""Budget of repeated sends of one node, for each service.

Every node may add a part of its own first sends, so that the sum over the fleet stays a part of
all first sends whatever the number of nodes; the small start lets a quiet node repeat at all.
"""

from dataclasses import dataclass, field

DEFAULT_RATIO = 0.12  # Part of the first sends that may be repeated.
INITIAL_BALANCE = 1.0  # Repeats allowed to a node that has sent little.
MAX_BALANCE = 4.0  # Repeats that a node may save up.


@dataclass(slots=True)
class RetryBudget:
    """Counts first sends and repeats."""

    ratio: float = DEFAULT_RATIO
    _balances: dict[str, float] = field(default_factory=dict)

    def record_first_send(self, service: str) -> None:
        """Notes a first send."""
        self._balances[service] = min(
            MAX_BALANCE, self._balances.get(service, INITIAL_BALANCE) + self.ratio
        )

    def charge(self, service: str) -> None:
        """Notes a send that a repeat further up has caused, and that can't be left out."""
        self._balances[service] = max(
            -MAX_BALANCE, self._balances.get(service, INITIAL_BALANCE) - 1.0
        )

    def try_take(self, service: str) -> bool:
        """Takes a repeat, where there is one."""
        balance = self._balances.get(service, INITIAL_BALANCE)
        if balance < 1.0:
            return False
        self._balances[service] = balance - 1.0
        return True
