"""Orders under an idempotency key: the leader records that one starts before a node sends it.

The records are part of the controllers' replicated state. A permission to send has no end: nobody
else gets one for the same order within the retention, and a node that was paused may use it late.
Without a leader no order under a key starts; other calls go on.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from marjoramvalve.fleet.groups import Group
from marjoramvalve.fleet.messages import FrameKind, OrderBegin, OrderEnd, OrderReply, encode
from marjoramvalve.fleet.states import BeginOrder, FinishOrder, WithdrawOrder, encode_order_command
from marjoramvalve.links import FrameStream
from marjoramvalve.once import LARGEST_ANSWER_BYTES, Order, OrderOutcome, OrderVerdict

COMMIT_TIMEOUT_S = 2.0  # Longest wait of the leader for a commit; the node asks again before.
MAX_PENDING_COMMITS = (
    1_000  # Commands on their way at the leader; what comes beyond is pending again.
)
RETRY_INTERVAL_S = 0.3  # Twice the time that a commit takes with a slow disk.
BEGIN_TIMEOUT_S = 1.0  # Longest wait of a caller for a leader, before the order is refused.
END_TIMEOUT_S = (
    30.0  # For how long the end of an order is told again; a choice of leader takes a few.
)
MAX_PENDING_ORDERS = 2_000  # Orders that a node has told of and that nobody has recorded yet.

log = structlog.get_logger("orders")


class OrderRecorder:
    """Records orders, at the leader."""

    def __init__(self, group: Group, clock: Callable[[], float]) -> None:
        self._group = group
        self._clock = clock
        self._term = -1
        self._clock_offset_s = 0.0
        self._retention_s = 0.0
        self._tasks: set[asyncio.Task] = set()

    def set_retention(self, retention_s: float) -> None:
        """Takes in how long records are kept."""
        self._retention_s = retention_s

    def _now(self) -> float:
        """Returns the book's time, which goes on only while somebody leads."""
        if self._group.replica.term != self._term:
            self._term = self._group.replica.term
            self._clock_offset_s = self._group.state.orders.now - self._clock()
        return self._clock() + self._clock_offset_s

    def begin(self, stream: FrameStream, order: Order) -> None:
        """Answers an order that a node wants to start, once that is on the disks of a quorum."""
        if not self._group.leads():
            return
        known = self._group.state.orders.look_up(order)
        if known is not None:
            self._reply(stream, order, known)
            return
        command = BeginOrder(order, self._now(), self._retention_s)
        self._start_commit(self._commit(stream, order, encode_order_command(command)))

    def end(self, stream: FrameStream, order: Order, answer: bytes | None) -> None:
        """Records the end of an order."""
        if not self._group.leads():
            return
        command = WithdrawOrder(order) if answer is None else FinishOrder(order, answer)
        self._start_commit(self._commit(stream, order, encode_order_command(command)))

    def _start_commit(self, coro) -> None:
        if len(self._tasks) >= MAX_PENDING_COMMITS:
            coro.close()
            return
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _commit(self, stream: FrameStream, order: Order, data: bytes) -> None:
        outcome = await self._group.propose(data, COMMIT_TIMEOUT_S)
        if isinstance(outcome, OrderOutcome):
            self._reply(stream, order, outcome)

    def _reply(self, stream: FrameStream, order: Order, outcome: OrderOutcome) -> None:
        stream.send(FrameKind.ORDER_REPLY, encode(OrderReply(order.owner, outcome)))


@dataclass(slots=True)
class _PendingOrder:
    """An order whose begin or end nobody has recorded yet. `until` ends the asking."""

    order: Order
    expires_at: float
    sent_at: float
    on_outcome: Callable[[OrderOutcome], None] | None = None
    answer: bytes | None = None


class OrderClient:
    """Asks the leader on behalf of a node. `send` is False where there is no leader."""

    def __init__(self, clock: Callable[[], float], send: Callable[[int, bytes], bool]) -> None:
        self._clock = clock
        self._send = send
        self._pending: OrderedDict[bytes, _PendingOrder] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pending)

    def begin(self, order: Order, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Calls `on_outcome` once with what is known of an order."""
        if len(self._pending) >= MAX_PENDING_ORDERS:
            on_outcome(OrderOutcome(OrderVerdict.UNREACHED))
            return
        now = self._clock()
        self._add_pending(_PendingOrder(order, now + BEGIN_TIMEOUT_S, now, on_outcome))

    def finish(self, order: Order, answer: bytes) -> None:
        """Lets the answer of an order be recorded; one that is too large is left out."""
        kept = answer if len(answer) <= LARGEST_ANSWER_BYTES else b""
        self._add_end(order, kept)

    def withdraw(self, order: Order) -> None:
        """Lets an order be taken out that was not sent and never will be."""
        self._add_end(order, None)

    def _add_end(self, order: Order, answer: bytes | None) -> None:
        now = self._clock()
        self._add_pending(_PendingOrder(order, now + END_TIMEOUT_S, now, None, answer))

    def _add_pending(self, pending: _PendingOrder) -> None:
        self._pending[pending.order.owner] = pending
        self._send_pending(pending)

    def _send_pending(self, pending: _PendingOrder) -> None:
        if pending.on_outcome is not None:
            self._send(FrameKind.ORDER_BEGIN, encode(OrderBegin(pending.order)))
        else:
            self._send(FrameKind.ORDER_END, encode(OrderEnd(pending.order, pending.answer)))

    def on_reply(self, said: OrderReply) -> None:
        """Takes in what a leader says."""
        pending = self._pending.get(said.owner)
        is_end = said.outcome.verdict is OrderVerdict.ENDED
        if pending is None or is_end != (pending.on_outcome is None):
            return  # An earlier question about the same order.
        del self._pending[said.owner]
        if pending.on_outcome is not None:
            pending.on_outcome(said.outcome)

    def sweep(self) -> None:
        """Asks again, and gives up what nobody answers."""
        now = self._clock()
        for owner, pending in list(self._pending.items()):
            if now >= pending.expires_at:
                del self._pending[owner]
                if pending.on_outcome is not None:
                    pending.on_outcome(OrderOutcome(OrderVerdict.UNREACHED))
                else:
                    log.warning("order.end_lost", scope=pending.order.scope.hex())
            elif now >= pending.sent_at + RETRY_INTERVAL_S:
                pending.sent_at = now
                self._send_pending(pending)
