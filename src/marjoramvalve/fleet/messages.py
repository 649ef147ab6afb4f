"""Messages between nodes and controllers, and among controllers. Durations are in seconds."""

import zlib
from enum import IntEnum
from typing import Annotated

import msgspec
import structlog

from marjoramvalve.fleet.evacuations import Evacuations
from marjoramvalve.idempotency import Order, OrderOutcome
from marjoramvalve.links import ADDRESS_PATTERN, MAX_FRAME_BYTES
from marjoramvalve.retries import CrashedRun, ListedSuspect
from marjoramvalve.wire.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
)

MIN_COMPRESSED_BYTES = 1_024  # Compressing smaller messages saves little.
# The fastest level already reduces a roster to a third, since names and addresses are similar.
COMPRESSION_LEVEL = 1
MAX_AMOUNT = 1e9  # Of calls, slots and seconds in one message.
MAX_NAME_LENGTH = 256

Address = Annotated[str, msgspec.Meta(pattern=rf"\A{ADDRESS_PATTERN}\Z")]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=int(MAX_AMOUNT))]
Ordinal = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]

log = structlog.get_logger("frames")


class FrameKind(IntEnum):
    """Kinds of control plane frames. The values are part of the wire format."""

    PING = 30
    PONG = 31
    REPORT = 32
    STATUS = 33
    CONFIG = 34
    ROSTER = 35
    TOKEN_REQUEST = 36
    TOKEN_GRANT = 37
    CONTROLLER_HELLO = 38
    CONSENSUS = 39
    UPSTREAM_ENDED = 40
    SUSPECTS = 41
    ORDER_BEGIN = 42
    ORDER_END = 43
    ORDER_REPLY = 44
    HEARTBEAT = 45
    PACKED_ROSTER = 46
    EVACUATION = 47


class Report(msgspec.Struct, frozen=True, array_like=True):
    """Describes a node to a controller. `stamp` is the node's clock at the time of sending.

    `wants_roster` tells whether the node wants roster updates on this link.
    """

    name: Name
    domain: Name
    address: Address
    service: Name
    incarnation: Ordinal
    version: Ordinal
    stamp: float
    leaving: bool = False
    load: "NodeLoad | None" = None
    wants_roster: bool = True


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Replaces a full report after the first on a link; holds only the fields that change."""

    version: Ordinal
    stamp: float
    load: "NodeLoad | None" = None


class RouteRuns(msgspec.Struct, frozen=True, array_like=True):
    """Successful runs of one route: count, slot-seconds, and sub-calls by callee route."""

    count: Count
    slot_seconds: Amount
    calls: dict[str, Count]


class NodeLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a node, reported to the leader.

    `offered` holds external calls per second by route. `runs` holds the runs at the local upstream
    since the last report, by route. `slots` is the number of slots of that upstream, and `waiting`
    the number of calls queued for it. `rate_per_s` is how many requests per second the upstream
    accepts, None if it has named no limit. `outcomes` holds how many calls of each route this node
    has seen succeed and fail since the last report: sub-calls, and root calls that ran.
    """

    offered: dict[str, Amount]
    runs: dict[str, RouteRuns]
    slots: Count
    waiting: Count
    rate_per_s: Amount | None = None
    outcomes: dict[str, tuple[Count, Count]] = {}


class Status(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a report. `version` is known to be the newest one only where `leads` is true.

    `controllers` holds the failure domain of each group member by address; None means unchanged
    since the last status on this link. `rate_limits` holds the external calls per second that the
    node may admit, and `admitted_shares` the share of calls that the fleet admits, both by route;
    None leaves them unchanged. `leader` is the address of the leader, or empty if unknown.
    `period_s` is the interval at which the leader expects reports from the node. `evacuated` is as
    of the last change that this controller knows; an older one than the node knows is out of date.
    `unreachable` holds a service that is out of reach and the share of root calls let through, by
    route that needs it; None leaves it unchanged.
    """

    stamp: float
    leads: bool
    version: int
    controllers: dict[str, str] | None = None
    rate_limits: dict[str, float] | None = None
    leader: str = ""
    period_s: float = 0.0
    admitted_shares: dict[str, float] | None = None
    evacuated: Evacuations = Evacuations()
    unreachable: dict[str, tuple[str, float]] | None = None


class Config(msgspec.Struct, frozen=True, array_like=True):
    """A version of the configuration document, compressed."""

    version: int
    packed: bytes


class RosterEntry(msgspec.Struct, frozen=True, array_like=True):
    """A node that accepts calls for a service."""

    name: str
    domain: str
    address: str
    service: str
    incarnation: int


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """Changes of the roster, or all of it if `is_full`; `removed` holds addresses."""

    is_full: bool
    entries: tuple[RosterEntry, ...]
    removed: tuple[str, ...] = ()


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a node requests, and unused ones that it returns, by customer."""

    nonce: int
    requested: dict[str, float]
    returned: dict[str, float] = {}


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted by customer, and how long to wait where there are none.

    `nonce` is that of the request. `fallback_s` holds how long the node may admit calls without a
    leader, in seconds, for customers with less time than usual.
    """

    nonce: int
    granted: dict[str, float]
    wait_s: dict[str, float]
    fallback_s: dict[str, float] = {}


class UpstreamEnded(msgspec.Struct, frozen=True, array_like=True):
    """Reports to every controller that the local upstream of a node ended.

    `sequence` increases with each end that a node reports. `ago_s` is the time since the end, and
    `hold_s` the initial duration for which suspected requests are quarantined.
    """

    sequence: Ordinal
    ago_s: Amount
    hold_s: Amount
    runs: tuple[CrashedRun, ...]


class Suspects(msgspec.Struct, frozen=True, array_like=True):
    """Requests suspected of ending upstreams, and fingerprints of those cleared of suspicion."""

    listed: tuple[ListedSuspect, ...]
    cleared: tuple[bytes, ...] = ()


class OrderBegin(msgspec.Struct, frozen=True, array_like=True):
    """Asks the leader to record that an order starts."""

    order: Order


class OrderEnd(msgspec.Struct, frozen=True, array_like=True):
    """Asks the leader to record the answer of an order; None withdraws one that was never sent."""

    order: Order
    answer: bytes | None


class OrderReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply of the leader to the begin or the end of an order of this owner."""

    owner: bytes
    outcome: OrderOutcome


class ControllerHello(msgspec.Struct, frozen=True, array_like=True):
    """Describes a controller to another one.

    Holds its name in the group, its addresses for links and for operators, and its failure domain.
    """

    name: Name
    address: Address
    control_address: Address
    domain: Name = ""


ConsensusBody = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A consensus message with its sender and recipient. `address` is that of the sender."""

    src: str
    address: str
    to: str
    body: ConsensusBody


encode = msgspec.msgpack.Encoder().encode
_DECODERS = {
    FrameKind.HEARTBEAT: msgspec.msgpack.Decoder(Heartbeat),
    FrameKind.REPORT: msgspec.msgpack.Decoder(Report),
    FrameKind.STATUS: msgspec.msgpack.Decoder(Status),
    FrameKind.CONFIG: msgspec.msgpack.Decoder(Config),
    FrameKind.ROSTER: msgspec.msgpack.Decoder(Roster),
    FrameKind.PACKED_ROSTER: msgspec.msgpack.Decoder(Roster),
    FrameKind.TOKEN_REQUEST: msgspec.msgpack.Decoder(TokenRequest),
    FrameKind.TOKEN_GRANT: msgspec.msgpack.Decoder(TokenGrant),
    FrameKind.CONTROLLER_HELLO: msgspec.msgpack.Decoder(ControllerHello),
    FrameKind.CONSENSUS: msgspec.msgpack.Decoder(Envelope),
    FrameKind.UPSTREAM_ENDED: msgspec.msgpack.Decoder(UpstreamEnded),
    FrameKind.SUSPECTS: msgspec.msgpack.Decoder(Suspects),
    FrameKind.ORDER_BEGIN: msgspec.msgpack.Decoder(OrderBegin),
    FrameKind.ORDER_END: msgspec.msgpack.Decoder(OrderEnd),
    FrameKind.ORDER_REPLY: msgspec.msgpack.Decoder(OrderReply),
    FrameKind.EVACUATION: msgspec.msgpack.Decoder(Evacuations),
}


def encode_roster(roster: Roster) -> tuple[FrameKind, bytes]:
    """Returns the frame kind and payload of a roster; large ones are compressed."""
    payload = encode(roster)
    if len(payload) < MIN_COMPRESSED_BYTES:
        return FrameKind.ROSTER, payload
    return FrameKind.PACKED_ROSTER, zlib.compress(payload, COMPRESSION_LEVEL)


def decode(kind: int, payload: bytes):
    """Returns the message of a frame, or None for a kind without one or an invalid payload."""
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return None
    try:
        if kind == FrameKind.PACKED_ROSTER:
            payload = _decompress(payload)
        return decoder.decode(payload)
    except (msgspec.DecodeError, zlib.error, RecursionError) as exc:
        log.warning("frame.invalid", kind=kind, bytes=len(payload), error=str(exc)[:200])
        return None


def _decompress(payload: bytes) -> bytes:
    """Decompresses a payload. Raises zlib.error, also if the result exceeds the size of a frame."""
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(payload, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise zlib.error("payload is cut short or too large")
    return data
