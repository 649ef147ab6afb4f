"""Records of orders, replicated by the controllers. Every change is deterministic.

An order is a request with an idempotency key, which is executed at most once. Its record changes
from started to done and never back. A started record is removed only by its own owner, which then
never sends the order, and any record once its retention has passed.
"""

from collections import OrderedDict
from enum import StrEnum

import msgspec

MAX_RECORDS = 100_000  # 20 MB of records; further orders are refused until old records expire.
MAX_TOTAL_ANSWER_BYTES = (
    16 << 20
)  # Of all stored answers together; answers beyond that are not stored.
MAX_ANSWER_BYTES = 16 << 10  # For receipts, not documents: every controller logs it.


class OrderVerdict(StrEnum):
    """Result of beginning or ending an order.

    `RUNNING` means that another attempt has started the order, `REUSED` that its key belongs to a
    different request, and `FULL` that no further record can be stored. `ENDED` is the reply to
    the end of an order; `UNREACHED` means that no reply was received.
    """

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    REUSED = "reused"
    FULL = "full"
    ENDED = "ended"
    UNREACHED = "unreached"


class Order(msgspec.Struct, frozen=True, array_like=True):
    """One attempt to execute an order.

    `scope` is a digest of customer, route and idempotency key. `digest` is one of the request, by
    which a different request under the same key is detected. `owner` is unique to the attempt.
    """

    scope: bytes
    digest: bytes
    owner: bytes


class OrderOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Verdict on an order; `answer` is the stored answer if the order is done, or empty."""

    verdict: OrderVerdict
    answer: bytes = b""


class OrderRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of a started or done order; `at` is its start in seconds of the store's own time."""

    order: Order
    at: float
    done: bool = False
    answer: bytes = b""


class OrderStore:
    """Order records by scope, oldest first.

    The store's time in seconds is the sum of the time that each leader has measured while it led.
    It never runs ahead of real time, so a wrong time of day cannot expire a record early.
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
        """Returns the outcome for an order; None if it may be recorded as started."""
        record = self._records.get(order.scope)
        if record is None:
            if len(self._records) >= MAX_RECORDS:
                return OrderOutcome(OrderVerdict.FULL)
            return None
        if record.order.digest != order.digest:
            return OrderOutcome(OrderVerdict.REUSED)
        if record.done:
            return OrderOutcome(OrderVerdict.DONE, record.answer)
        if record.order.owner == order.owner:
            return OrderOutcome(OrderVerdict.STARTED)
        return OrderOutcome(OrderVerdict.RUNNING)

    def begin(self, order: Order, now: float, retention_s: float) -> OrderOutcome:
        """Drops expired records, then records an order as started or returns why it may not start.

        The attempt that already owns the record gets `STARTED` again, so retries are safe.
        """
        self.now = max(self.now, now)
        self._expire(retention_s)
        outcome = self.look_up(order)
        if outcome is not None:
            return outcome
        self._records[order.scope] = OrderRecord(order, self.now)
        return OrderOutcome(OrderVerdict.STARTED)

    def finish(self, order: Order, answer: bytes) -> OrderOutcome:
        """Marks an order as done and stores its answer, or an empty one if it is too large."""
        record = self._records.get(order.scope)
        if self._is_running(record, order):
            available_bytes = min(MAX_ANSWER_BYTES, MAX_TOTAL_ANSWER_BYTES - self._answer_bytes)
            if len(answer) > available_bytes:
                answer = b""
            self._answer_bytes += len(answer)
            self._records[order.scope] = OrderRecord(record.order, record.at, True, answer)
        return OrderOutcome(OrderVerdict.ENDED)

    def withdraw(self, order: Order) -> OrderOutcome:
        """Removes the record of an order that has not been sent and never will be."""
        if self._is_running(self._records.get(order.scope), order):
            del self._records[order.scope]
        return OrderOutcome(OrderVerdict.ENDED)

    @staticmethod
    def _is_running(record: OrderRecord | None, order: Order) -> bool:
        return record is not None and not record.done and record.order.owner == order.owner

    def _expire(self, retention_s: float) -> None:
        while self._records:
            oldest = next(iter(self._records.values()))
            if self.now < oldest.at + retention_s:
                return
            self._records.popitem(last=False)
            self._answer_bytes -= len(oldest.answer)
