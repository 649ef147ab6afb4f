"""The replicated state machine: published document and version, evacuations and order records.

Commands are applied deterministically, so that all controllers reach the same state.
"""

import zlib
from enum import StrEnum

import msgspec

from marjoramvalve.fleet.evacuations import Evacuations, SetEvacuation
from marjoramvalve.idempotency import Order, OrderOutcome, OrderRecord, OrderStore
from marjoramvalve.model import Document, decode_document

COMPRESSION_LEVEL = (
    6  # zlib's default: a large document shrinks to a tenth of its size in a millisecond.
)


class PublishStatus(StrEnum):
    """Whether a publication was accepted."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"


class Publish(msgspec.Struct, frozen=True, array_like=True):
    """Publishes a complete document as a new version that replaces version `base`.

    `publish_id` makes retries idempotent. `source` is the text that the author sent, which is
    returned to readers; `document` is the canonical document derived from it. Both are compressed.
    """

    publish_id: bytes
    base: int
    version: int
    document: bytes
    source: bytes


class BeginOrder(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Records an order as started. `now` is the time of the order store, in seconds."""

    order: Order
    now: float
    retention_s: float


class FinishOrder(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Stores the answer of an order."""

    order: Order
    answer: bytes


class WithdrawOrder(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Removes the record of an order that was never sent."""

    order: Order


OrderCommand = BeginOrder | FinishOrder | WithdrawOrder

# Distinguishes order commands from publications, which have no tag: no msgpack value starts with
# this byte.
ORDER_PREFIX = b"\xc1"
_ORDER_DECODER = msgspec.msgpack.Decoder(OrderCommand)
# Distinguishes evacuations from publications, which are arrays: this byte is the whole value nil.
EVACUATION_PREFIX = b"\xc0"
_EVACUATION_DECODER = msgspec.msgpack.Decoder(SetEvacuation)


def encode_order_command(command: OrderCommand) -> bytes:
    """Returns an order command encoded as the data of a log entry."""
    return ORDER_PREFIX + msgspec.msgpack.encode(command)


def encode_evacuation(command: SetEvacuation) -> bytes:
    """Returns an evacuation command encoded as the data of a log entry."""
    return EVACUATION_PREFIX + msgspec.msgpack.encode(command)


def compress(raw: bytes) -> bytes:
    """Returns bytes compressed for the log and for transfer."""
    return zlib.compress(raw, COMPRESSION_LEVEL)


def unpack_document(packed: bytes) -> Document:
    """Returns a document from its compressed canonical form; empty bytes are an empty document."""
    return decode_document(zlib.decompress(packed)) if packed else Document()


class PublishResult(msgspec.Struct, frozen=True):
    """Outcome of a publication, and the current version after it."""

    kind: PublishStatus
    current: int


class _SavedState(msgspec.Struct, frozen=True, array_like=True):
    version: int
    document: bytes
    source: bytes
    accepted: dict[bytes, int]
    orders_now: float = 0.0
    orders: tuple[OrderRecord, ...] = ()
    evacuations: Evacuations = Evacuations()


class FleetState:
    """State machine of the replicated log.

    `document` and `source` are the compressed forms of the current version.
    """

    def __init__(self) -> None:
        self.version = 0
        self.document = b""
        self.source = b""
        self.evacuations = Evacuations()
        self.orders = OrderStore()
        self._accepted_versions: dict[bytes, int] = {}

    def check_publish(self, publish_id: bytes, base: int, version: int) -> PublishResult | None:
        """Returns the result of a publication that is not to be applied; None if it is.

        A publication that was accepted before is reported as accepted again.
        """
        if publish_id in self._accepted_versions:
            return PublishResult(PublishStatus.ACCEPTED, self.version)
        if base != self.version or version <= self.version:
            return PublishResult(PublishStatus.CONFLICT, self.version)
        return None

    def apply(self, data: bytes) -> PublishResult | OrderOutcome | Evacuations:
        """Applies a committed command."""
        if data.startswith(EVACUATION_PREFIX):
            command = _EVACUATION_DECODER.decode(data[len(EVACUATION_PREFIX) :])
            self.evacuations = self.evacuations.apply(command)
            return self.evacuations
        if data.startswith(ORDER_PREFIX):
            return self._apply_order(_ORDER_DECODER.decode(data[len(ORDER_PREFIX) :]))
        command = msgspec.msgpack.decode(data, type=Publish)
        result = self.check_publish(command.publish_id, command.base, command.version)
        if result is not None:
            return result
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
        """Returns the current document."""
        return unpack_document(self.document)

    def read_source(self) -> bytes:
        """Returns the text of the current version as its author sent it."""
        return zlib.decompress(self.source) if self.source else b""

    def save(self) -> bytes:
        """Returns the whole state as bytes for a snapshot."""
        saved = _SavedState(
            self.version,
            self.document,
            self.source,
            self._accepted_versions,
            self.orders.now,
            self.orders.records(),
            self.evacuations,
        )
        return msgspec.msgpack.encode(saved)

    def restore(self, raw: bytes) -> None:
        """Replaces the state with a saved one; empty bytes are the initial state."""
        if not raw:
            self.__init__()
            return
        saved = msgspec.msgpack.decode(raw, type=_SavedState)
        self.version = saved.version
        self.document = saved.document
        self.source = saved.source
        self._accepted_versions = dict(saved.accepted)
        self.orders = OrderStore(saved.orders_now, saved.orders)
        self.evacuations = saved.evacuations
