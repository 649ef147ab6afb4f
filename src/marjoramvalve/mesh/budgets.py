"""Retry budget of one node, for each service.

Each node may send a fixed fraction of its own first sends again, so retries stay below that
fraction over the whole fleet, whatever the number of nodes. The initial balance allows a node with
little traffic to retry at all.
"""

from dataclasses import dataclass, field

DEFAULT_RATIO = 0.12  # Retries allowed per first send.
INITIAL_BALANCE = 1.0  # Retries allowed to a node that has sent little.
MAX_BALANCE = 4.0  # Most retries that a node may accumulate.


@dataclass(slots=True)
class RetryBudget:
    """Balance of each service: first sends add to it, retries take from it."""

    ratio: float = DEFAULT_RATIO
    _balances: dict[str, float] = field(default_factory=dict)

    def record_first_send(self, service: str) -> None:
        """Adds the share of a first send to the balance."""
        self._balances[service] = min(
            MAX_BALANCE, self._balances.get(service, INITIAL_BALANCE) + self.ratio
        )

    def charge(self, service: str) -> None:
        """Charges a send that is due to a retry further up the call chain and can't be avoided."""
        self._balances[service] = max(
            -MAX_BALANCE, self._balances.get(service, INITIAL_BALANCE) - 1.0
        )

    def try_take(self, service: str) -> bool:
        """Takes one retry from the balance; returns False if it is too low."""
        balance = self._balances.get(service, INITIAL_BALANCE)
        if balance < 1.0:
            return False
        self._balances[service] = balance - 1.0
        return True
