"""Wire format of the frames between egress and ingress nodes. Times are in milliseconds."""

import struct
from enum import IntEnum
from typing import Annotated

import msgspec

MAX_CALL_ID = (1 << 64) - 1
MAX_RATE_PER_S = 1e12  # The highest that an upstream can announce.


class FrameType(IntEnum):
    """Types of frames between egress and ingress nodes."""

    HELLO = 1
    WELCOME = 2
    REQUEST = 3
    RESPONSE = 4
    REFUSED = 5
    FAILED = 6
    CANCEL = 7
    PING = 8
    PONG = 9
    RESUME = 10
    RECALL = 11


class ErrorCode(IntEnum):
    """Reasons in REFUSED frames (the request did not run) and FAILED frames (it may have run)."""

    BUSY = 1
    NOT_READY = 2
    TOO_LATE = 3
    NEVER_CAME = 4
    SHED = 5
    STOPPING = 6
    BROKEN = 7
    NO_CONNECTION = 8
    DEADLINE = 9
    LINK_LOST = 10
    QUARANTINED = 11


ERROR_CODES = frozenset(ErrorCode)


class UpstreamNotice(msgspec.Struct, frozen=True, array_like=True):
    """What one run of an upstream has announced in its responses.

    `started_at_ms` is its start in Unix milliseconds, 0 if unknown. `rate_per_s` is how many
    requests per second it accepts, None if it has named no limit.
    """

    instance: str = ""
    started_at_ms: int = 0
    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)] | None = None
    is_leaving: bool = False


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Opens a stream for the calls of an egress. `session` identifies the egress process.

    `notice` tells what the egress remembers of the upstream at the ingress's address.
    `last_call_id` is the highest ID of a call that it has sent to this ingress; an egress that
    doesn't tell may have sent any.
    """

    session: int
    name: str
    domain: str
    notice: UpstreamNotice = UpstreamNotice()
    last_call_id: int = MAX_CALL_ID


class Welcome(msgspec.Struct, frozen=True, array_like=True):
    """State of an ingress, sent when a stream opens and whenever the state changes.

    `incarnation` identifies the ingress process. `ready` tells whether it accepts new requests,
    `limit` how many its upstream may run concurrently, and `cold` whether the upstream is
    expected to be slow because it has just started. `notice` tells what the upstream announces.
    `cold_rate_per_s` is how many requests per second it takes while it is cold or warms up, None
    if there is no such limit.
    """

    incarnation: int
    service: str
    ready: bool
    limit: int
    cold: bool = False
    notice: UpstreamNotice = UpstreamNotice()
    cold_rate_per_s: Annotated[float, msgspec.Meta(ge=0)] | None = None


# call ID, time until the deadline, time until the objective, age of the root call, rank, flags,
# lengths of route name, request ID and head
REQUEST = struct.Struct("<QIIIBBBHI")
REPEATABLE, IS_HEAD, IS_SUB_CALL, IS_RETRY = 1, 2, 4, 8
# call ID, status, service time, running, queued, length of head, time of work in percent of the
# usual one, 0 if unknown
RESPONSE = struct.Struct("<QHIHHIH")
# call ID, error code, time after which to retry, running, queued
ERROR = struct.Struct("<QBIHH")
# call ID, whether to cancel the call only if it is still queued
CANCEL = struct.Struct("<QB")
CALL_ID = struct.Struct("<Q")
MAX_U16, MAX_U32 = 0xFFFF, 0xFFFFFFFF
