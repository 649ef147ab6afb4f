"""Orders with an idempotency key: the leader records the start of an order before a node sends it.

The records are part of the controllers' replicated state. A permission to send does not expire: a
node that was paused may use it late, and no other attempt at the same order gets one within the
retention. Without a leader, orders with a key do not start; other calls are not affected.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from marjoramvalve.fleet.groups import RaftGroup
from marjoramvalve.fleet.messages import FrameKind, OrderBegin, OrderEnd, OrderReply, encode
from marjoramvalve.fleet.states import BeginOrder, FinishOrder, WithdrawOrder, encode_order_command
from marjoramvalve.idempotency import MAX_ANSWER_BYTES, Order, OrderOutcome, OrderVerdict
from marjoramvalve.links import FrameStream

COMMIT_TIMEOUT_S = 2.0  # Time limit of the leader for a commit; the node retries earlier.
MAX_PENDING_COMMITS = 1_000  # At the leader; further commands are dropped, and nodes resend them.
RETRY_INTERVAL_S = 0.3  # Twice the time of a commit on a slow disk.
BEGIN_TIMEOUT_S = 1.0  # An order is refused if no leader replies within this time.
END_TIMEOUT_S = 30.0  # The end of an order is resent this long; an election takes a few seconds.
MAX_PENDING_ORDERS = 2_000  # Unconfirmed orders of a node; no more are started beyond this.

log = structlog.get_logger("orders")


class OrderRecorder:
    """Records orders in the replicated state, at the leader."""

    def __init__(self, group: RaftGroup, clock: Callable[[], float]) -> None:
        self._group = group
        self._clock = clock
        self._term = -1
        self._clock_offset_s = 0.0
        self._retention_s = 0.0
        self._tasks: set[asyncio.Task] = set()
        self._is_finishing = False

    def set_retention(self, retention_s: float) -> None:
        """Sets how long records are kept, in seconds."""
        self._retention_s = retention_s

    def _now(self) -> float:
        """Returns the time of the order store, which advances only while there is a leader."""
        if self._group.replica.term != self._term:
            self._term = self._group.replica.term
            self._clock_offset_s = self._group.state.orders.now - self._clock()
        return self._clock() + self._clock_offset_s

    def begin(self, stream: FrameStream, order: Order) -> None:
        """Records the start of an order and replies once a quorum has stored the record."""
        if not self._group.is_leader():
            return
        known = self._group.state.orders.look_up(order)
        if known is not None:
            self._reply(stream, order, known)
            return
        command = BeginOrder(order, self._now(), self._retention_s)
        self._start_commit(self._commit(stream, order, encode_order_command(command)))

    def end(self, stream: FrameStream, order: Order, answer: bytes | None) -> None:
        """Records the end of an order."""
        if not self._group.is_leader():
            return
        command = WithdrawOrder(order) if answer is None else FinishOrder(order, answer)
        self._start_commit(self._commit(stream, order, encode_order_command(command)))

    async def finish(self, timeout_s: float) -> None:
        """Waits until the commits in progress are done, or for `timeout_s`.

        New commands are dropped; nodes resend them to the next leader.
        """
        self._is_finishing = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def _start_commit(self, coro) -> None:
        if self._is_finishing or len(self._tasks) >= MAX_PENDING_COMMITS:
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
    """An order whose begin or end is not confirmed yet; retries stop at `expires_at`."""

    order: Order
    expires_at: float
    sent_at: float
    on_outcome: Callable[[OrderOutcome], None] | None = None
    answer: bytes | None = None


class OrderClient:
    """Sends the begin and end of a node's orders to the leader, with retries.

    `send` returns False where no leader is known.
    """

    def __init__(self, clock: Callable[[], float], send: Callable[[int, bytes], bool]) -> None:
        self._clock = clock
        self._send = send
        self._pending: OrderedDict[bytes, _PendingOrder] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pending)

    def begin(self, order: Order, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Requests the start of an order; calls `on_outcome` once with the outcome."""
        if len(self._pending) >= MAX_PENDING_ORDERS:
            on_outcome(OrderOutcome(OrderVerdict.UNREACHED))
            return
        now = self._clock()
        self._add_pending(_PendingOrder(order, now + BEGIN_TIMEOUT_S, now, on_outcome))

    def finish(self, order: Order, answer: bytes) -> None:
        """Requests that the answer of an order is recorded, empty if it is too large."""
        kept = answer if len(answer) <= MAX_ANSWER_BYTES else b""
        self._add_end(order, kept)

    def withdraw(self, order: Order) -> None:
        """Requests that the record of an order that was not and will not be sent is removed."""
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

    def on_reply(self, reply: OrderReply) -> None:
        """Handles a reply of the leader."""
        pending = self._pending.get(reply.owner)
        is_end = reply.outcome.verdict is OrderVerdict.ENDED
        if pending is None or is_end != (pending.on_outcome is None):
            return  # A late reply to an earlier message about the same order.
        del self._pending[reply.owner]
        if pending.on_outcome is not None:
            pending.on_outcome(reply.outcome)

    def sweep(self) -> None:
        """Resends pending messages and gives up the expired ones."""
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
