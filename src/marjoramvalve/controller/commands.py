"""Commands of the replicated log and their verdicts."""

import msgspec

from marjoramvalve.wire.messages import Member


class SubmitPatch(msgspec.Struct, frozen=True, tag="patch"):
    """A patch against version `base`; `patch_id` makes sending it again safe."""

    patch_id: str
    base: int
    kind: str
    body: bytes
    author: str
    at: float


class JoinRoster(msgspec.Struct, frozen=True, tag="join"):
    """An instance joins the roster, or changes what it says of itself."""

    member: Member
    at: float


class LeaveRoster(msgspec.Struct, frozen=True, tag="leave"):
    """Instances leave the roster."""

    names: tuple[str, ...]
    at: float


class SettleRoster(msgspec.Struct, frozen=True, tag="settle"):
    """Every instance has copied its idempotency records for a placement epoch."""

    placement_epoch: int


Command = SubmitPatch | JoinRoster | LeaveRoster | SettleRoster

COMMAND_ENCODER = msgspec.msgpack.Encoder()
COMMAND_DECODER = msgspec.msgpack.Decoder(Command)


class Verdict(msgspec.Struct, frozen=True):
    """First and only verdict on a patch id: the version made, or the faults.

    `current` is the version at the time of the verdict; `body_digest` tells a resend from another
    patch under the same id.
    """

    patch_id: str
    accepted: bool
    version: int
    current: int
    body_digest: str
    faults: tuple[str, ...] = ()
