"""Records of orders, replicated by the controllers. Every change is deterministic.

A record goes from started to done and never back. It is taken out by its own owner, which then
never sends the order, or when the retention has passed.
"""

from collections import OrderedDict
from enum import StrEnum

import msgspec

MAX_RECORDS = 100_000  # 20 MB of records; further orders are refused until old ones expire.
MAX_TOTAL_ANSWER_BYTES = 16 << 20  # Of all stored answers; later ones are not kept.
MAX_ANSWER_BYTES = 16 << 10  # A receipt, not a document: it goes to every controller's log.


class OrderVerdict(StrEnum):
    """What a record says to an order that wants to start.

    `ENDED` answers the end of an order, and `UNREACHED` stands for no answer at all.
    """

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    REUSED = "reused"
    FULL = "full"
    ENDED = "ended"
    UNREACHED = "unreached"


class Order(msgspec.Struct, frozen=True, array_like=True):
    """One attempt at an order.

    `scope` stands for customer, route and idempotency key; `digest` for the request, so that
    another one under the same key is told apart. `owner` is unique to the attempt.
    """

    scope: bytes
    digest: bytes
    owner: bytes


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Verdict on an order; `answer` is the stored one of an order that is done, or empty."""

    verdict: OrderVerdict
    answer: bytes = b""


class OrderRecord(msgspec.Struct, frozen=True, array_like=True):
    """A started order. `at` is in seconds of the book's own time."""

    order: Order
    at: float
    done: bool = False
    answer: bytes = b""


class OrderStore:
    """Records by scope, oldest first.

    The book's time is what leaders have counted while they led. It never runs ahead of real time,
    so that no record is dropped early by a wrong time of day.
    """

    def __init__(self, now: float = 0.0, records: tuple[OrderRecord, ...] = ()) -> None:
        self.now = now
        self._records = OrderedDict((record.order.scope, record) for record in records)
        self._answer_bytes = sum(len(record.answer) for record in records)

    def __len__(self) -> int:
        return len(self._records)

    def records(self) -> tuple[OrderRecord, ...]:
        """Returns every record, oldest first."""
        return tuple(self._records.values())

    def look_up(self, order: Order) -> OrderOutcome | None:
        """Returns what is known of an order; None where it may be recorded as started."""
        known = self._records.get(order.scope)
        if known is None:
            if len(self._records) >= MAX_RECORDS:
                return OrderOutcome(OrderVerdict.FULL)
            return None
        if known.order.digest != order.digest:
            return OrderOutcome(OrderVerdict.REUSED)
        if known.done:
            return OrderOutcome(OrderVerdict.DONE, known.answer)
        if known.order.owner == order.owner:
            return OrderOutcome(OrderVerdict.STARTED)
        return OrderOutcome(OrderVerdict.RUNNING)

    def begin(self, order: Order, now: float, retention_s: float) -> OrderOutcome:
        """Records an order as started, or tells what is known of it."""
        self.now = max(self.now, now)
        self._expire(retention_s)
        known = self.look_up(order)
        if known is not None:
            return known
        self._records[order.scope] = OrderRecord(order, self.now)
        return OrderOutcome(OrderVerdict.STARTED)

    def finish(self, order: Order, answer: bytes) -> OrderOutcome:
        """Stores the answer of an order; one that is too large is not kept."""
        known = self._records.get(order.scope)
        if self._is_running(known, order):
            room = min(MAX_ANSWER_BYTES, MAX_TOTAL_ANSWER_BYTES - self._answer_bytes)
            if len(answer) > room:
                answer = b""
            self._answer_bytes += len(answer)
            self._records[order.scope] = OrderRecord(known.order, known.at, True, answer)
        return OrderOutcome(OrderVerdict.ENDED)

    def withdraw(self, order: Order) -> OrderOutcome:
        """Takes out an order of which nothing has been sent, and never will be."""
        if self._is_running(self._records.get(order.scope), order):
            del self._records[order.scope]
        return OrderOutcome(OrderVerdict.ENDED)

    @staticmethod
    def _is_running(known: OrderRecord | None, order: Order) -> bool:
        return known is not None and not known.done and known.order.owner == order.owner

    def _expire(self, retention_s: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if self.now < oldest.at + retention_s:
                return
            self._records.popitem(last=False)
            self._answer_bytes -= len(oldest.answer)
