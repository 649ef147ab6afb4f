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

from marjoramvalve.fleet.groups import RaftGroup
from marjoramvalve.fleet.messages import Kind, OrderBegin, OrderEnd, OrderSaid, encode
from marjoramvalve.fleet.states import BeginOrder, FinishOrder, WithdrawOrder, pack_order
from marjoramvalve.links import FrameStream
from marjoramvalve.once import LARGEST_ANSWER_BYTES, Order, OrderOutcome, OrderVerdict

COMMIT_S = 2.0  # Longest wait of the leader for a commit; the node asks again before.
MOST_COMMITS = 1_000  # Commands on their way at the leader; what comes beyond is asked again.
ASK_EVERY_S = 0.3  # Twice the time that a commit takes with a slow disk.
BEGIN_S = 1.0  # Longest wait of a caller for a leader, before the order is refused.
END_S = 30.0  # For how long the end of an order is told again; a choice of leader takes a few.
MOST_ASKED = 2_000  # Orders that a node has told of and that nobody has recorded yet.

log = structlog.get_logger("orders")


class OrderDesk:
    """Records orders, at the leader."""

    def __init__(self, group: RaftGroup, clock: Callable[[], float]) -> None:
        self._group = group
        self._clock = clock
        self._term = -1
        self._ahead_s = 0.0
        self._retention_s = 0.0
        self._tasks: set[asyncio.Task] = set()

    def set_retention(self, retention_s: float) -> None:
        """Takes in how long records are kept."""
        self._retention_s = retention_s

    def _now(self) -> float:
        """Returns the book's time, which goes on only while somebody leads."""
        if self._group.replica.term != self._term:
            self._term = self._group.replica.term
            self._ahead_s = self._group.state.orders.now - self._clock()
        return self._clock() + self._ahead_s

    def begin(self, stream: FrameStream, order: Order) -> None:
        """Answers an order that a node wants to start, once that is on the disks of a quorum."""
        if not self._group.is_leader():
            return
        known = self._group.state.orders.look_up(order)
        if known is not None:
            self._say(stream, order, known)
            return
        command = BeginOrder(order, self._now(), self._retention_s)
        self._start(self._commit(stream, order, pack_order(command)))

    def end(self, stream: FrameStream, order: Order, answer: bytes | None) -> None:
        """Records the end of an order."""
        if not self._group.is_leader():
            return
        command = WithdrawOrder(order) if answer is None else FinishOrder(order, answer)
        self._start(self._commit(stream, order, pack_order(command)))

    def _start(self, coro) -> None:
        if len(self._tasks) >= MOST_COMMITS:
            coro.close()
            return
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _commit(self, stream: FrameStream, order: Order, data: bytes) -> None:
        outcome = await self._group.propose(data, COMMIT_S)
        if isinstance(outcome, OrderOutcome):
            self._say(stream, order, outcome)

    def _say(self, stream: FrameStream, order: Order, outcome: OrderOutcome) -> None:
        stream.send(Kind.ORDER_VERDICT, encode(OrderSaid(order.owner, outcome)))


@dataclass(slots=True)
class _Asked:
    """An order whose begin or end nobody has recorded yet. `until` ends the asking."""

    order: Order
    until: float
    asked_at: float
    on_outcome: Callable[[OrderOutcome], None] | None = None
    answer: bytes | None = None


class OrderAsker:
    """Asks the leader on behalf of a node. `send` is False where there is no leader."""

    def __init__(self, clock: Callable[[], float], send: Callable[[int, bytes], bool]) -> None:
        self._clock = clock
        self._send = send
        self._asked: OrderedDict[bytes, _Asked] = OrderedDict()

    def __len__(self) -> int:
        return len(self._asked)

    def begin(self, order: Order, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Calls `on_outcome` once with what is known of an order."""
        if len(self._asked) >= MOST_ASKED:
            on_outcome(OrderOutcome(OrderVerdict.UNREACHED))
            return
        now = self._clock()
        self._ask(_Asked(order, now + BEGIN_S, now, on_outcome))

    def finish(self, order: Order, answer: bytes) -> None:
        """Lets the answer of an order be recorded; one that is too large is left out."""
        kept = answer if len(answer) <= LARGEST_ANSWER_BYTES else b""
        self._end(order, kept)

    def withdraw(self, order: Order) -> None:
        """Lets an order be taken out that was not sent and never will be."""
        self._end(order, None)

    def _end(self, order: Order, answer: bytes | None) -> None:
        now = self._clock()
        self._ask(_Asked(order, now + END_S, now, None, answer))

    def _ask(self, asked: _Asked) -> None:
        self._asked[asked.order.owner] = asked
        self._tell(asked)

    def _tell(self, asked: _Asked) -> None:
        if asked.on_outcome is not None:
            self._send(Kind.ORDER_BEGIN, encode(OrderBegin(asked.order)))
        else:
            self._send(Kind.ORDER_END, encode(OrderEnd(asked.order, asked.answer)))

    def on_said(self, said: OrderSaid) -> None:
        """Takes in what a leader says."""
        asked = self._asked.get(said.owner)
        is_end = said.outcome.verdict is OrderVerdict.ENDED
        if asked is None or is_end != (asked.on_outcome is None):
            return  # An earlier question about the same order.
        del self._asked[said.owner]
        if asked.on_outcome is not None:
            asked.on_outcome(said.outcome)

    def sweep(self) -> None:
        """Asks again, and gives up what nobody answers."""
        now = self._clock()
        for owner, asked in list(self._asked.items()):
            if now >= asked.until:
                del self._asked[owner]
                if asked.on_outcome is not None:
                    asked.on_outcome(OrderOutcome(OrderVerdict.UNREACHED))
                else:
                    log.warning("order.end_lost", scope=asked.order.scope.hex())
            elif now >= asked.asked_at + ASK_EVERY_S:
                asked.asked_at = now
                self._tell(asked)
