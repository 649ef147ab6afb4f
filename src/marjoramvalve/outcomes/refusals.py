"""Refusals of calls: the reason, and whether the request may have run."""

from dataclasses import dataclass
from enum import StrEnum


class RunStatus(StrEnum):
    """Whether a refused request may have run at an upstream."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Stable identifiers of refusal reasons, used in problem details and metrics."""

    BAD_REQUEST = "bad-request"
    NO_KEY = "no-key"
    UNKNOWN_KEY = "unknown-key"
    NO_ROUTE = "no-route"
    STALE_CONFIG = "stale-config"
    RATE = "rate"
    OVERLOAD = "overload"
    NO_UPSTREAM = "no-upstream"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    NO_KEEPER = "no-keeper"
    CONFLICT = "conflict"
    KEY_REUSED = "key-reused"
    KEY_TOO_OLD = "key-too-old"
    TOO_LARGE = "too-large"
    SLOW_CALLER = "slow-caller"
    UPSTREAM_FAILED = "upstream-failed"
    CANCELLED = "cancelled"
    STOPPING = "stopping"
    INTERNAL = "internal"


HTTP_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_KEY: 401,
    Reason.NO_ROUTE: 404,
    Reason.STALE_CONFIG: 503,
    Reason.RATE: 429,
    Reason.OVERLOAD: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.DEADLINE: 504,
    Reason.QUARANTINED: 503,
    Reason.NO_KEEPER: 503,
    Reason.CONFLICT: 409,
    Reason.KEY_REUSED: 422,
    Reason.KEY_TOO_OLD: 409,
    Reason.TOO_LARGE: 413,
    Reason.SLOW_CALLER: 408,
    Reason.UPSTREAM_FAILED: 502,
    Reason.CANCELLED: 499,
    Reason.STOPPING: 503,
    Reason.INTERNAL: 500,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call.

    `run` says whether the request may have run, `detail` is a text for the caller, and
    `retry_after_s` is 0 if a retry would not help.
    """

    reason: Reason
    status: int
    run: RunStatus
    detail: str
    retry_after_s: float = 0.0


def refuse(
    reason: Reason, detail: str, run: RunStatus = RunStatus.NOT_RUN, retry_after_s: float = 0.0
) -> Refusal:
    """Creates a refusal with the HTTP status of its reason."""
    return Refusal(reason, HTTP_STATUSES[reason], run, detail, retry_after_s)
