"""What an egress asks before it lets a call in."""

from collections.abc import Callable
from typing import Protocol

from marjoramvalve.once import Order, OrderOutcome


class CustomerRateLimiter(Protocol):
    """Fleet-wide rates of customers."""

    def admit(self, customer: str) -> float | None:
        """Returns 0 where a call may go on, seconds after which to come back, or None to wait."""

    def wait(self, customer: str, resume: Callable[[float], None]) -> None:
        """Calls `resume` once, with what `admit` would return."""

    def give_back(self, customer: str) -> None:
        """Takes back what was taken for a call that has not run."""

    def is_at_limit(self, customer: str) -> bool:
        """Tells whether a customer is at its rate; else nobody could be asked about it."""


class RootCallAdmission(Protocol):
    """Admission of root calls by what they cause further down."""

    def admit(self, route: str, window_s: float) -> float:
        """Returns 0 where a root call is let in, or seconds after which to come back.

        `window_s` is the time in which it can begin and still be answered within its objective.
        """

    def limit_and_age(self, route: str) -> tuple[float, float]:
        """Returns the calls a second that are let in of a limited route, and the limit's age."""

    def give_back(self, route: str) -> None:
        """Takes back what was taken for a call that goes no further."""


class OrderKeeper(Protocol):
    """Fleet-wide records of orders under an idempotency key."""

    def begin(self, order: Order, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Calls `on_outcome` once with what is known of an order; at once or later."""

    def finish(self, order: Order, answer: bytes) -> None:
        """Lets the answer of an order be recorded."""

    def withdraw(self, order: Order) -> None:
        """Lets an order be taken out that was not sent and never will be."""
