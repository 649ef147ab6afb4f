"""The replicated state: the published document with its version, and the records of orders.

Applying is deterministic.
"""

import zlib
from enum import StrEnum

import msgspec

from marjoramvalve.model import Document, decode_document
from marjoramvalve.once import Order, OrderBook, OrderOutcome, OrderRecord

COMPRESSION_LEVEL = (
    6  # zlib's own default: a tenth of the size at a millisecond for a large document.
)


class PublishStatus(StrEnum):
    """Outcome of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"


class Publish(msgspec.Struct, frozen=True, array_like=True):
    """A whole document as the next version, built on version `base`.

    `publish_id` makes sending it again safe. `source` is the text that the author sent, which is
    what readers get back; `document` is the canonical document made of it. Both are compressed.
    """

    publish_id: bytes
    base: int
    version: int
    document: bytes
    source: bytes


class BeginOrder(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Records an order as started. `now` is of the book's time, in seconds."""

    order: Order
    now: float
    retention_s: float


class FinishOrder(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Stores the answer of an order."""

    order: Order
    answer: bytes


class WithdrawOrder(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Takes out an order that was never sent."""

    order: Order


OrderCommand = BeginOrder | FinishOrder | WithdrawOrder

ORDER_PREFIX = b"\xc1"  # Begins no msgpack value: a publication has no tag to be told by.
_ORDER_DECODER = msgspec.msgpack.Decoder(OrderCommand)


def encode_order_command(command: OrderCommand) -> bytes:
    """Returns a command on an order as an entry of the log."""
    return ORDER_PREFIX + msgspec.msgpack.encode(command)


def compress(raw: bytes) -> bytes:
    """Returns bytes compressed for the log and the links."""
    return zlib.compress(raw, COMPRESSION_LEVEL)


def unpack_document(packed: bytes) -> Document:
    """Returns a document from its compressed canonical form."""
    return decode_document(zlib.decompress(packed)) if packed else Document()


class PublishResult(msgspec.Struct, frozen=True):
    """Outcome of a publication, and the version in force after it."""

    kind: PublishStatus
    current: int


class _SavedState(msgspec.Struct, frozen=True, array_like=True):
    version: int
    document: bytes
    source: bytes
    accepted: dict[bytes, int]
    orders_now: float = 0.0
    orders: tuple[OrderRecord, ...] = ()


class FleetState:
    """State machine behind the replicated log."""

    def __init__(self) -> None:
        self.version = 0
        self.document = b""
        self.source = b""
        self.orders = OrderBook()
        self._accepted_versions: dict[bytes, int] = {}

    def check_publish(self, publish_id: bytes, base: int, version: int) -> PublishResult | None:
        """Returns the verdict on a publication as things stand; None where it would be accepted."""
        if publish_id in self._accepted_versions:
            return PublishResult(PublishStatus.ACCEPTED, self.version)
        if base != self.version or version <= self.version:
            return PublishResult(PublishStatus.CONFLICT, self.version)
        return None

    def apply(self, data: bytes) -> PublishResult | OrderOutcome:
        """Applies a committed command."""
        if data.startswith(ORDER_PREFIX):
            return self._apply_order(_ORDER_DECODER.decode(data[len(ORDER_PREFIX) :]))
        command = msgspec.msgpack.decode(data, type=Publish)
        verdict = self.check_publish(command.publish_id, command.base, command.version)
        if verdict is not None:
            return verdict
        self.version = command.version
        self.document = command.document
        self.source = command.source
        self._accepted_versions[command.publish_id] = command.version
        return PublishResult(PublishStatus.ACCEPTED, self.version)

    def _apply_order(self, command: OrderCommand) -> OrderOutcome:
        match command:
            case BeginOrder(order=order, now=now, retention_s=retention_s):
                return self.orders.begin(order, now, retention_s)
            case FinishOrder(order=order, answer=answer):
                return self.orders.finish(order, answer)
            case WithdrawOrder(order=order):
                return self.orders.withdraw(order)

    def current_document(self) -> Document:
        """Returns the document in force."""
        return unpack_document(self.document)

    def read_source(self) -> bytes:
        """Returns the text of the version in force as its author sent it."""
        return zlib.decompress(self.source) if self.source else b""

    def save(self) -> bytes:
        """Returns the whole state as bytes."""
        saved = _SavedState(
            self.version,
            self.document,
            self.source,
            self._accepted_versions,
            self.orders.now,
            self.orders.records(),
        )
        return msgspec.msgpack.encode(saved)

    def restore(self, raw: bytes) -> None:
        """Replaces the state by a saved one; empty bytes are the initial state."""
        if not raw:
            self.__init__()
            return
        saved = msgspec.msgpack.decode(raw, type=_SavedState)
        self.version = saved.version
        self.document = saved.document
        self.source = saved.source
        self._accepted_versions = dict(saved.accepted)
        self.orders = OrderBook(saved.orders_now, saved.orders)
