"""Outcomes of calls that a node sees, and its part in refusing root calls that can't succeed.

Answers the outage of a service deep in the call graph: the leader decides from the outcomes that
all nodes report which share of the root calls of a route is let through.
"""

import random
from collections.abc import Callable, Mapping

from marjoramvalve.mesh.calls import Call
from marjoramvalve.outcomes import Reason
from marjoramvalve.telemetry import MetricsRegistry

SHARES_TTL_S = 2.0  # A node that the leader does not reach any more serves as usual after this.
# Refusals and failures that tell of the called service; others are due to the caller or its node.
SERVICE_REASONS = frozenset(
    {Reason.OVERLOAD, Reason.NO_UPSTREAM, Reason.UPSTREAM_FAILED, Reason.DEADLINE}
)


class CallOutcomes:
    """Counts how many calls of each route succeeded and failed, until they are reported."""

    def __init__(self, metrics: MetricsRegistry) -> None:
        self._metrics = metrics
        self._counts: dict[str, tuple[int, int]] = {}

    def record_answer(self, call: Call, failed: bool) -> None:
        """Records the answer of an upstream."""
        self._add(call, failed)

    def record_end(self, call: Call, reason: Reason, has_run: bool) -> None:
        """Records that a call was refused or failed.

        A root call that has not run has cost no other service anything.
        """
        if reason in SERVICE_REASONS and (has_run or call.is_sub_call):
            self._add(call, True)

    def _add(self, call: Call, failed: bool) -> None:
        route = call.target.name
        succeeded, failures = self._counts.get(route, (0, 0))
        self._counts[route] = (succeeded + (not failed), failures + failed)
        if call.is_sub_call:
            self._metrics.add("dependency_failure" if failed else "dependency_success", route)

    def take(self) -> dict[str, tuple[int, int]]:
        """Returns successes and failures by route since the last call of this method."""
        counts, self._counts = self._counts, {}
        return counts


class DependencyShares:
    """The shares of root calls that are let through, as the leader has told them."""

    def __init__(self, clock: Callable[[], float], rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._shares: Mapping[str, tuple[str, float]] = {}
        self._told_at = 0.0

    def set(self, shares: Mapping[str, tuple[str, float]]) -> None:
        """Replaces the shares: service that fails and share by route; others are not limited."""
        self._shares = shares
        self._told_at = self._clock()

    def refuses(self, route: str) -> bool:
        """Returns whether to refuse a root call because a service that it needs is out of reach."""
        _, share = self._shares.get(route, ("", 1.0))
        if share >= 1.0 or self._clock() >= self._told_at + SHARES_TTL_S:
            return False
        return self._rng.random() >= share

    def explain(self, route: str) -> dict[str, object]:
        """Returns the inputs of a refusal for its log line."""
        service, share = self._shares.get(route, ("", 1.0))
        age_s = round(self._clock() - self._told_at, 2)
        return {"unreachable": service, "share": share, "share_age_s": age_s}
