"""Messages between nodes and controllers, and between controllers. Durations are in seconds."""

import zlib
from enum import IntEnum

import msgspec

from marjoramvalve.once import Order, OrderOutcome
from marjoramvalve.retries import EndedRun, Suspicion
from marjoramvalve.wire.messages import (
    Appended,
    AppendEntries,
    InstallSnapshot,
    PreVote,
    PreVoted,
    Vote,
    Voted,
)

MIN_COMPRESSED_BYTES = 1_024  # Smaller messages gain little.
COMPRESSION_LEVEL = 1  # Names and addresses differ by a few bytes each: a third of the size, fast.


class FrameKind(IntEnum):
    """Kinds of frames of the control plane."""

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


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a node says of itself. `stamp` is its own clock at the time of sending.

    `wants_roster` tells whether it wants to hear of other nodes on this link.
    """

    name: str
    domain: str
    address: str
    service: str
    incarnation: int
    version: int
    stamp: float
    leaving: bool = False
    load: "NodeLoad | None" = None
    wants_roster: bool = True


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What changes from one report of a node to the next on the same link."""

    version: int
    stamp: float
    load: "NodeLoad | None" = None


class RouteRuns(msgspec.Struct, frozen=True, array_like=True):
    """Runs of one route that ended well: number, slot-seconds, and sub-calls made by route."""

    count: int
    slot_seconds: float
    calls: dict[str, int]


class NodeLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a node, told to the leader.

    `offered` counts outside calls a second by route. `runs` tells what ran at the upstream beside
    since the last report, by route; `slots` how many slots it has, and `waiting` how many calls
    wait there.
    """

    offered: dict[str, float]
    runs: dict[str, RouteRuns]
    slots: int
    waiting: int


class Status(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a report. `version` is the newest one only where `leads` is true.

    `controllers` gives the failure domain of each member of the group by address; None where that
    is as said before on this link. `caps` limits the outside calls a second that the node lets in,
    by route, and `parts` tells what part of them the fleet lets in; None leaves both as they are.
    `leader` is the address of the leader, where it is known, and `period_s` how often the leader
    wants to hear the node.
    """

    stamp: float
    leads: bool
    version: int
    controllers: dict[str, str] | None = None
    rate_limits: dict[str, float] | None = None
    leader: str = ""
    period_s: float = 0.0
    admitted_shares: dict[str, float] | None = None


class Config(msgspec.Struct, frozen=True, array_like=True):
    """A version of the configuration document, compressed."""

    version: int
    packed: bytes


class RosterEntry(msgspec.Struct, frozen=True, array_like=True):
    """A node where calls for a service can be sent."""

    name: str
    domain: str
    address: str
    service: str
    incarnation: int


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """Changes of the roster, or all of it where `whole` is true; `gone` holds addresses."""

    is_full: bool
    entries: tuple[RosterEntry, ...]
    removed: tuple[str, ...] = ()


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a node wants, and unused ones that it gives back, by customer."""

    nonce: int
    requested: dict[str, float]
    returned: dict[str, float] = {}


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted by customer, and how long to wait where there are none."""

    nonce: int
    granted: dict[str, float]
    wait_s: dict[str, float]


class UpstreamEnded(msgspec.Struct, frozen=True, array_like=True):
    """The end of the upstream beside a node, told to every controller.

    `number` grows with each end that a node tells. `ago_s` is how long ago it was, and `hold_s`
    how long requests are set aside at first.
    """

    sequence: int
    ago_s: float
    hold_s: float
    runs: tuple[EndedRun, ...]


class Suspects(msgspec.Struct, frozen=True, array_like=True):
    """Requests under which upstreams have ended, and those of them that are clear."""

    listed: tuple[Suspicion, ...]
    cleared: tuple[bytes, ...] = ()


class OrderBegin(msgspec.Struct, frozen=True, array_like=True):
    """An order that a node wants to start."""

    order: Order


class OrderEnd(msgspec.Struct, frozen=True, array_like=True):
    """The answer of an order; None withdraws one that was never sent."""

    order: Order
    answer: bytes | None


class OrderReply(msgspec.Struct, frozen=True, array_like=True):
    """What the leader says to the begin or the end of an order of this owner."""

    owner: bytes
    outcome: OrderOutcome


class ControllerHello(msgspec.Struct, frozen=True, array_like=True):
    """What a controller says of itself.

    That is its name in the group, its addresses for links and for operators, and where it stands.
    """

    name: str
    address: str
    control_address: str
    domain: str = ""


ConsensusBody = PreVote | PreVoted | Vote | Voted | AppendEntries | Appended | InstallSnapshot


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A consensus message with its sender."""

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
}


def encode_roster(roster: Roster) -> tuple[FrameKind, bytes]:
    """Returns kind and payload of a roster; large ones are compressed."""
    payload = encode(roster)
    if len(payload) < MIN_COMPRESSED_BYTES:
        return FrameKind.ROSTER, payload
    return FrameKind.PACKED_ROSTER, zlib.compress(payload, COMPRESSION_LEVEL)


def decode(kind: int, payload: bytes):
    """Returns the message of a frame, or None for a kind that holds none or does not parse."""
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return None
    try:
        if kind == FrameKind.PACKED_ROSTER:
            payload = zlib.decompress(payload)
        return decoder.decode(payload)
    except (msgspec.DecodeError, zlib.error):
        return None
