"""Frames between an egress and an ingress node. Times are in milliseconds."""

import struct
from enum import IntEnum

import msgspec


class FrameType(IntEnum):
    """Kinds of frames on the way of a call."""

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


class ErrorCode(IntEnum):
    """Reasons of refusals (the request has not run) and failures (it may have run)."""

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


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Opens a stream for the calls of an egress; `session` lasts as long as its process."""

    session: int
    name: str
    domain: str


class Welcome(msgspec.Struct, frozen=True, array_like=True):
    """What an ingress says of itself: first, and whenever it changes.

    `incarnation` lasts as long as its process. `limit` is the number of requests that its
    upstream may run at once; `ready` tells whether it takes new ones.
    """

    incarnation: int
    service: str
    ready: bool
    limit: int
    cold: bool = False


# id, left, timely, age of the outside call, rank, flags, length of route, of attempt, of head
REQUEST = struct.Struct("<QIIIBBBHI")
REPEATABLE, IS_HEAD, IS_SUB_CALL, IS_RETRY = 1, 2, 4, 8
# id, status, service time, running, queued, length of head
RESPONSE = struct.Struct("<QHIHHI")
# id, reason, time until there may be room, running, queued
ERROR = struct.Struct("<QBIHH")
# id, whether only to be dropped from the queue
CANCEL = struct.Struct("<QB")
CALL_ID = struct.Struct("<Q")
MAX_U16, MAX_U32 = 0xFFFF, 0xFFFFFFFF
