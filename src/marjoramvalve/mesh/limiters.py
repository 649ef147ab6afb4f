"""Interfaces that an egress consults before it admits a call."""

from collections.abc import Callable
from typing import Protocol

from marjoramvalve.idempotency import Order, OrderOutcome


class CustomerRateLimiter(Protocol):
    """Fleet-wide rate limits of customers."""

    def admit(self, customer: str) -> float | None:
        """Returns 0 if a call may proceed, or the seconds after which to come back.

        None means that the answer is not known yet and `wait` delivers it.
        """

    def wait(self, customer: str, resume: Callable[[float], None]) -> None:
        """Calls `resume` once, with the number that `admit` would return."""

    def give_back(self, customer: str) -> None:
        """Returns the token that was taken for a call that has not run."""

    def is_at_limit(self, customer: str) -> bool:
        """Tells why a customer was refused.

        True means that its rate is used up, False that no controller could be asked about it.
        """


class RootCallAdmission(Protocol):
    """Admission of root calls by the load that they cause further down the call graph."""

    def admit(self, route: str, window_s: float) -> float:
        """Returns 0 if a root call is admitted, or the seconds after which to come back.

        `window_s` is the time in which it can begin and still be answered within its objective.
        """

    def explain_refusal(self, route: str) -> dict[str, object]:
        """Returns the inputs of the last refusal; `unreachable` is a service out of reach."""

    def give_back(self, route: str) -> None:
        """Returns the token of an admitted call that goes no further."""


class OrderKeeper(Protocol):
    """Fleet-wide records of orders, which are requests under an idempotency key."""

    def begin(self, order: Order, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Records an order as started, unless it is known already.

        Calls `on_outcome` once with the result, either immediately or later.
        """

    def finish(self, order: Order, answer: bytes) -> None:
        """Records the response of an order."""

    def withdraw(self, order: Order) -> None:
        """Removes the record of an order that was not sent and never will be."""
