"""Budget of repeated sends of one node, for each service.

Every node may add a part of its own first sends, so that the sum over the fleet stays a part of
all first sends whatever the number of nodes; the small start lets a quiet node repeat at all.
"""

from dataclasses import dataclass, field

RATIO = 0.12  # Part of the first sends that may be repeated.
START = 1.0  # Repeats allowed to a node that has sent little.
MOST = 4.0  # Repeats that a node may save up.


@dataclass(slots=True)
class RetryBudget:
    """Counts first sends and repeats."""

    ratio: float = RATIO
    _saved: dict[str, float] = field(default_factory=dict)

    def first(self, service: str) -> None:
        """Notes a first send."""
        self._saved[service] = min(MOST, self._saved.get(service, START) + self.ratio)

    def charge(self, service: str) -> None:
        """Notes a send that a repeat further up has caused, and that can't be left out."""
        self._saved[service] = max(-MOST, self._saved.get(service, START) - 1.0)

    def take(self, service: str) -> bool:
        """Takes a repeat, where there is one."""
        saved = self._saved.get(service, START)
        if saved < 1.0:
            return False
        self._saved[service] = saved - 1.0
        return True
