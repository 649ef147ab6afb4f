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

LEAST_PACKED_BYTES = 1_024  # Smaller messages gain little.
PACK_LEVEL = 1  # Names and addresses differ by a few bytes each: a third of the size, fast.


class Kind(IntEnum):
    """Kinds of frames of the control plane."""

    PING = 30
    PONG = 31
    REPORT = 32
    STATUS = 33
    CONFIG = 34
    ROSTER = 35
    ASK = 36
    GRANT = 37
    CONTROLLER = 38
    CONSENSUS = 39
    UPSTREAM_ENDED = 40
    SUSPECTS = 41
    ORDER_BEGIN = 42
    ORDER_END = 43
    ORDER_VERDICT = 44
    BEAT = 45
    PACKED_ROSTER = 46


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a node says of itself. `stamp` is its own clock at the time of sending.

    `takes_roster` tells whether it wants to hear of other nodes on this link.
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
    takes_roster: bool = True


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """What changes from one report of a node to the next on the same link."""

    version: int
    stamp: float
    load: "NodeLoad | None" = None


class RouteRuns(msgspec.Struct, frozen=True, array_like=True):
    """Runs of one route that ended well: number, slot-seconds, and sub-calls made by route."""

    count: int
    seconds: float
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
    caps: dict[str, float] | None = None
    leader: str = ""
    period_s: float = 0.0
    parts: dict[str, float] | None = None


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

    whole: bool
    entries: tuple[RosterEntry, ...]
    gone: tuple[str, ...] = ()


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a node wants, and unused ones that it gives back, by customer."""

    nonce: int
    wants: dict[str, float]
    returned: dict[str, float] = {}


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted by customer, and how long to wait where there are none."""

    nonce: int
    granted: dict[str, float]
    wait_s: dict[str, float]


class UpstreamEnded(msgspec.Struct, frozen=True, array_like=True):
    """The end of the upstream beside a node, told to every controller.

    `number` grows with each end that a node tells. `ago_s` is how long ago it was, and `hold_s`
    how long requests are set aside at first.
    """

    number: int
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


class OrderSaid(msgspec.Struct, frozen=True, array_like=True):
    """What the leader says to the begin or the end of an order of this owner."""

    owner: bytes
    outcome: OrderOutcome


class ControllerHello(msgspec.Struct, frozen=True, array_like=True):
    """What a controller says of itself.

    That is its name in the group, its addresses for links and for operators, and where it stands.
    """

    name: str
    address: str
    control: str
    domain: str = ""


ConsensusBody = PreVote | PreVoted | Vote | Voted | AppendEntries | Appended | InstallSnapshot


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A consensus message with its sender."""

    src: str
    address: str
    to: str
    body: ConsensusBody


encode = msgspec.msgpack.Encoder().encode
DECODERS = {
    Kind.BEAT: msgspec.msgpack.Decoder(Beat),
    Kind.REPORT: msgspec.msgpack.Decoder(Report),
    Kind.STATUS: msgspec.msgpack.Decoder(Status),
    Kind.CONFIG: msgspec.msgpack.Decoder(Config),
    Kind.ROSTER: msgspec.msgpack.Decoder(Roster),
    Kind.PACKED_ROSTER: msgspec.msgpack.Decoder(Roster),
    Kind.ASK: msgspec.msgpack.Decoder(Ask),
    Kind.GRANT: msgspec.msgpack.Decoder(Grant),
    Kind.CONTROLLER: msgspec.msgpack.Decoder(ControllerHello),
    Kind.CONSENSUS: msgspec.msgpack.Decoder(Envelope),
    Kind.UPSTREAM_ENDED: msgspec.msgpack.Decoder(UpstreamEnded),
    Kind.SUSPECTS: msgspec.msgpack.Decoder(Suspects),
    Kind.ORDER_BEGIN: msgspec.msgpack.Decoder(OrderBegin),
    Kind.ORDER_END: msgspec.msgpack.Decoder(OrderEnd),
    Kind.ORDER_VERDICT: msgspec.msgpack.Decoder(OrderSaid),
}


def roster_frame(roster: Roster) -> tuple[Kind, bytes]:
    """Returns kind and payload of a roster; large ones are compressed."""
    payload = encode(roster)
    if len(payload) < LEAST_PACKED_BYTES:
        return Kind.ROSTER, payload
    return Kind.PACKED_ROSTER, zlib.compress(payload, PACK_LEVEL)


def decode(kind: int, payload: bytes):
    """Returns the message of a frame, or None for a kind that holds none or does not parse."""
    decoder = DECODERS.get(kind)
    if decoder is None:
        return None
    try:
        if kind == Kind.PACKED_ROSTER:
            payload = zlib.decompress(payload)
        return decoder.decode(payload)
    except (msgspec.DecodeError, zlib.error):
        return None
