"""Commands in the replicated log, and the verdicts on patches."""

import msgspec

from marjoramvalve.wire.messages import Member


class SubmitPatch(msgspec.Struct, frozen=True, tag="patch"):
    """A patch against version `base`; `patch_id` makes it idempotent."""

    patch_id: str
    base: int
    kind: str
    body: bytes
    author: str
    at: float


class JoinRoster(msgspec.Struct, frozen=True, tag="join"):
    """An instance joins the roster or updates its entry."""

    member: Member
    at: float


class LeaveRoster(msgspec.Struct, frozen=True, tag="leave"):
    """Instances leave the roster."""

    names: tuple[str, ...]
    at: float


class SettleRoster(msgspec.Struct, frozen=True, tag="settle"):
    """Every instance has copied its idempotency records for a placement epoch.

    Losses up to that epoch no longer count.
    """

    placement_epoch: int


Command = SubmitPatch | JoinRoster | LeaveRoster | SettleRoster

COMMAND_ENCODER = msgspec.msgpack.Encoder()
COMMAND_DECODER = msgspec.msgpack.Decoder(Command)


class Verdict(msgspec.Struct, frozen=True):
    """First and only verdict on a patch id: the new version, or the faults.

    `current` is the version at the time of the verdict; `body_digest` distinguishes a resent patch
    from another patch under the same id.
    """

    patch_id: str
    accepted: bool
    version: int
    current: int
    body_digest: str
    faults: tuple[str, ...] = ()
