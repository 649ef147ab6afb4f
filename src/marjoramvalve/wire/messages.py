"""Typed messages between instances.

Durations are in seconds unless a name has another unit.
"""

import msgspec

__all__ = [
    "Alive",
    "AppendEntries",
    "AppendEntriesResponse",
    "BucketTokenGrant",
    "BucketTokenRequest",
    "Entry",
    "EntryKind",
    "FullDocument",
    "HandOver",
    "HandOverAck",
    "HeldSlotsQuery",
    "HeldSlotsReport",
    "IdempotencyRecord",
    "InstallSnapshot",
    "KeeperBeginRequest",
    "KeeperFinishRequest",
    "KeeperResponse",
    "Member",
    "Members",
    "Message",
    "PatchRecord",
    "Poll",
    "PollResponse",
    "PreVoteRequest",
    "PreVoteResponse",
    "Quarantine",
    "Roster",
    "SlotGrant",
    "SlotRequest",
    "TokenOffer",
    "TokenTransfer",
    "UpstreamInfo",
    "VoteRequest",
    "VoteResponse",
    "WaitingCall",
]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages and of the records in them."""


# Shared records


class UpstreamInfo(Message, frozen=True):
    """An upstream as announced by its instance; `address` is that of its HTTP port."""

    name: str
    service: str
    address: str
    slots: int
    connections: int
    incarnation: int


class Member(Message, frozen=True):
    """An instance in the roster, with its local upstreams.

    `revision` increases with each change that the instance makes to its own entry.
    """

    name: str
    domain: str
    region: str
    peer: str
    control: str
    incarnation: int
    upstreams: tuple[UpstreamInfo, ...] = ()
    revision: int = 0


class Roster(Message, frozen=True):
    """The committed instances of the fleet in one epoch.

    `placement_epoch` changes only with the set of instances and incarnations, which determines the
    keepers and bucket owners. Idempotency records from before `idempotency_floor`, the wall-clock
    time in seconds, may have been lost; 0 means that none were. `new_customers` lists the
    customers created in the current placement epoch: nobody but their current bucket owners has
    ever spent from their bursts.
    """

    epoch: int
    placement_epoch: int
    members: tuple[Member, ...]
    idempotency_floor: float = 0.0
    new_customers: tuple[str, ...] = ()


class PatchRecord(Message, frozen=True):
    """An accepted patch: the version it created and the digest of the resulting document."""

    version: int
    kind: str
    body: bytes
    digest: str


# Consensus


class EntryKind:
    """Kinds of log entries."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry(Message, frozen=True):
    """One entry of the replicated log."""

    term: int
    index: int
    kind: int
    data: bytes


class Members(Message, frozen=True):
    """The consensus group: peer addresses of the voters and of the learners, by name."""

    voters: dict[str, str]
    learners: dict[str, str]


class PreVoteRequest(Message, frozen=True, tag=1):
    """Asks whether a vote in `term` would be granted; changes no state."""

    term: int
    last_index: int
    last_term: int


class PreVoteResponse(Message, frozen=True, tag=2):
    """Answers a PreVoteRequest for `term`; `current_term` is the responder's own term."""

    term: int
    current_term: int
    granted: bool


class VoteRequest(Message, frozen=True, tag=3):
    """Asks for a vote in `term`."""

    term: int
    last_index: int
    last_term: int


class VoteResponse(Message, frozen=True, tag=4):
    """Answers a VoteRequest."""

    term: int
    granted: bool


class AppendEntries(Message, frozen=True, tag=5):
    """Replicates entries and serves as heartbeat.

    `sent_at` is on the leader's clock and is returned in the response.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float


class AppendEntriesResponse(Message, frozen=True, tag=6):
    """Answers AppendEntries and InstallSnapshot.

    `match` is the last matching index, or after a failure a hint from where to retry.
    """

    term: int
    success: bool
    match: int
    sent_at: float


class InstallSnapshot(Message, frozen=True, tag=7):
    """Sends a full snapshot to a replica that needs entries from before the start of the log."""

    term: int
    last_index: int
    last_term: int
    members: Members
    state: bytes
    sent_at: float


# Configuration


class Poll(Message, frozen=True, tag=10):
    """Reports an instance's state and asks for newer configuration and roster.

    `version` and `epoch` are those that the instance has. `settled_epoch` is the latest placement
    epoch for which its transfer of idempotency records is complete. `suspects` names the instances
    that it suspects. A relay adds the instances that polled it: `alive` holds those whose roster
    entry is up to date, and `relayed` the polls of the others.
    """

    member: Member
    version: int
    epoch: int
    settled_epoch: int
    nonce: int
    suspects: tuple[str, ...] = ()
    leaving: bool = False
    alive: tuple["Alive", ...] = ()
    relayed: tuple["Poll", ...] = ()


class Alive(Message, frozen=True):
    """A member that polled a relay and whose roster entry is up to date.

    `silent_s` is the time since its last poll.
    """

    name: str
    silent_s: float
    settled_epoch: int
    suspects: tuple[str, ...] = ()


class FullDocument(Message, frozen=True):
    """A full document and its version."""

    version: int
    body: bytes


class PollResponse(Message, frozen=True, tag=11):
    """Answers a Poll with the configuration and roster changes that the polling side lacks.

    `age_s` is the time since the leader confirmed the responder's state. `deltas` are the patches
    after the version polled with; `full_document` replaces them if some are no longer kept.
    `current` is false if the responder's own state is not current; nothing is confirmed then.
    """

    nonce: int
    current: bool
    age_s: float
    version: int
    digest: str
    epoch: int
    deltas: tuple[PatchRecord, ...] = ()
    full_document: FullDocument | None = None
    roster: Roster | None = None
    leader: str = ""
    controllers: dict[str, str] = {}


# Slots


class WaitingCall(Message, frozen=True):
    """A call that waits for a slot: rank of its priority, customer, time left in milliseconds."""

    wait_id: int
    rank: int
    customer: str
    weight: float
    left_ms: int


class SlotRequest(Message, frozen=True, tag=20):
    """Renews a calling instance's session at an upstream, and reports its calls and statistics.

    `held` lists the slots that the caller still holds, and `last_grant_seq` is the highest sequence
    number of the grants that it has applied; slots granted up to there and not held are free again.
    `owner` is the owner's incarnation as known to the caller, 0 before the first grant. `waits`
    lists the waiting calls, and `want` is the number of slots that the caller's demand needs.
    `longest_call_s` is the longest time that a call may take. Latencies and counts cover the time
    since the last request.
    """

    upstream: str
    session: int
    owner: int
    seq: int
    last_grant_seq: int
    held: tuple[int, ...]
    waits: tuple[WaitingCall, ...]
    want: int
    longest_call_s: float
    done: int = 0
    latency_ms: float = 0.0
    latency_min_ms: float = 0.0
    shed: int = 0
    failed: int = 0


class SlotGrant(Message, frozen=True, tag=21):
    """Answers a SlotRequest, or updates its session: slots granted, calls refused, owner's status.

    `slots` holds pairs of a slot and the `wait_id` of the call that it is for, or 0 for a spare
    slot; `refused` lists the `wait_id` of each refused call. `request_seq` is the `seq` of the
    latest request. `seq` is 0 if the owner does not accept the session; all its calls are refused
    then. `owner` is the owner's incarnation. `shortage` is true while calls wait for slots at the
    owner, and when it does not accept the session.
    """

    upstream: str
    session: int
    seq: int
    owner: int
    request_seq: int
    slots: tuple[tuple[int, int], ...]
    refused: tuple[int, ...]
    lease_s: float
    limit: int
    queue_ms: float
    shortage: bool
    draining: bool
    connections: int


class HeldSlotsQuery(Message, frozen=True, tag=22):
    """Asks, after a restart of the slot owner, which slots an instance holds from before it.

    `owner` is the owner's incarnation.
    """

    upstream: str
    owner: int


class HeldSlotsReport(Message, frozen=True, tag=23):
    """Answers a HeldSlotsQuery: calls in flight from before the restart, longest time left.

    `uptime_s` is how long the instance has been up; it knows of no earlier calls.
    """

    upstream: str
    owner: int
    calls: int
    longest_call_s: float
    uptime_s: float


# Rates


class BucketTokenRequest(Message, frozen=True, tag=30):
    """Asks the owner of a customer's token bucket for tokens.

    `need` is the number for waiting calls, and `want` includes those expected soon. `lend` marks a
    request to the bucket owner in another failure domain; `deficit` is the number of tokens that
    the asking owner's own bucket lacks to its burst. With `partial`, a fraction of a token is
    accepted as well, to be added to fractions from other owners.
    """

    customer: str
    placement_epoch: int
    need: float
    want: float
    nonce: int
    lend: bool = False
    deficit: float = 0.0
    partial: bool = False


class BucketTokenGrant(Message, frozen=True, tag=31):
    """Answers a BucketTokenRequest with the tokens granted.

    `retry_after_s` is the time until more are available. `known` is false if the responder cannot
    answer for the bucket at present, and the request should be retried later.
    """

    customer: str
    nonce: int
    granted: float
    retry_after_s: float
    known: bool


class TokenOffer(Message, frozen=True, tag=33):
    """Tells a bucket owner with a deficit that the sender's bucket overflows."""

    customer: str


class TokenTransfer(Message, frozen=True, tag=32):
    """Transfers the tokens of a bucket that the sender no longer owns; a lost transfer loses them.

    `unused` marks tokens that were taken for a call and are returned.
    """

    customer: str
    placement_epoch: int
    tokens: float
    unused: bool = False


# Idempotency records


class IdempotencyRecord(Message, frozen=True):
    """An idempotency record: scope, digest of the request, state and stored response.

    `owner` identifies the only request that may run. Times are wall-clock times in seconds.
    """

    scope: str
    request_digest: str
    created: float
    started_at: float
    done: bool
    owner: str = ""
    answer: bytes = b""


class KeeperBeginRequest(Message, frozen=True, tag=40):
    """Asks a keeper to record a request as started."""

    nonce: int
    placement_epoch: int
    record: IdempotencyRecord


class KeeperResponse(Message, frozen=True, tag=41):
    """Answers a request to a keeper: started, exists (with the record), not-ready or stored."""

    nonce: int
    verdict: str
    record: IdempotencyRecord | None = None


class KeeperFinishRequest(Message, frozen=True, tag=42):
    """Stores the full response of a started request, or withdraws a request that did not run."""

    nonce: int
    placement_epoch: int
    record: IdempotencyRecord
    withdrawn: bool = False


class HandOver(Message, frozen=True, tag=43):
    """Transfers records to a keeper of a new placement epoch; `last` marks the final part."""

    placement_epoch: int
    part: int
    records: tuple[IdempotencyRecord, ...]
    last: bool


class HandOverAck(Message, frozen=True, tag=44):
    """Acknowledges one part of a HandOver."""

    placement_epoch: int
    part: int


# Quarantine


class Quarantine(Message, frozen=True, tag=50):
    """Reports that requests with a fingerprint crashed upstreams; `crashes` counts the crashes."""

    fingerprint: str
    crashes: int
    ttl_s: float
