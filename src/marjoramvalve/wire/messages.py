"""Typed messages between instances. Durations are in seconds unless the name says otherwise."""

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
    """Base of every message."""


# Shared records


class UpstreamInfo(Message, frozen=True):
    """An upstream as its node announces it: name, service, address of its HTTP port."""

    name: str
    service: str
    address: str
    slots: int
    connections: int
    incarnation: int


class Member(Message, frozen=True):
    """An instance in the roster with the upstreams that stand beside it.

    `revision` grows with each change that an instance makes to what it says of itself.
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
    """The committed instances under one epoch.

    `placement_epoch` changes only with the set of instances and incarnations, which determines the
    keepers and bucket owners. Idempotency records from before `idempotency_floor`, the wall-clock
    time in seconds, may have been lost; 0 means that none were. `fresh` names the customers
    created under the current placement epoch: only its bucket owners have spent from their bursts.
    """

    epoch: int
    placement_epoch: int
    members: tuple[Member, ...]
    idempotency_floor: float = 0.0
    fresh: tuple[str, ...] = ()


class PatchRecord(Message, frozen=True):
    """An accepted patch: the version it made and the digest of the resulting document."""

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
    """The consensus group: peer address by name, of voters and of learners."""

    voters: dict[str, str]
    learners: dict[str, str]


class PreVoteRequest(Message, frozen=True, tag=1):
    """Asks whether a vote in `term` would be granted; changes no state."""

    term: int
    last_index: int
    last_term: int


class PreVoteResponse(Message, frozen=True, tag=2):
    """Answers a PreVoteRequest for `term`; `current` is the answering side's own term."""

    term: int
    current: int
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
    """Replicates entries and serves as heartbeat; `sent_at` is the leader's clock, echoed."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float


class AppendEntriesResponse(Message, frozen=True, tag=6):
    """Answers AppendEntries and InstallSnapshot: the last matching index or a hint where to go."""

    term: int
    success: bool
    match: int
    sent_at: float


class InstallSnapshot(Message, frozen=True, tag=7):
    """Carries a whole snapshot to a replica that is behind the log's start."""

    term: int
    last_index: int
    last_term: int
    members: Members
    state: bytes
    sent_at: float


# Configuration


class Poll(Message, frozen=True, tag=10):
    """An instance's poll: what it is, what it has, what it suspects, what it has settled."""

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
    """A member that a relay has heard from, unchanged against the roster."""

    name: str
    silent_s: float
    settled_epoch: int
    suspects: tuple[str, ...] = ()


class FullDocument(Message, frozen=True):
    """A whole document under its version."""

    version: int
    body: bytes


class PollResponse(Message, frozen=True, tag=11):
    """Answers a Poll with what the asking side lacks.

    `age_s` is how long ago the answering side's knowledge was confirmed by the leader;
    `deltas` follow the asker's version, `whole` stands in for them when they are not kept.
    `current` is false where the answering side does not know, and then nothing is confirmed.
    """

    nonce: int
    current: bool
    age_s: float
    version: int
    digest: str
    epoch: int
    deltas: tuple[PatchRecord, ...] = ()
    whole: FullDocument | None = None
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
    """A caller's renewal of its session at an upstream, with its waits and what it saw.

    `held` lists the slots that it still holds, `seen` the highest grant it has taken in;
    grants up to `seen` that are not held are free again. `owner` is the owner's incarnation as the
    caller knows it, 0 before the first answer. `want` is how many slots its demand
    calls for. Latencies are in milliseconds, counted since the last ask.
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
    """The owner's answer: slots granted to waits (or spare, wait 0), waits refused, status."""

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
    """A restarted owner asks which slots an instance still holds from its earlier life."""

    upstream: str
    owner: int


class HeldSlotsReport(Message, frozen=True, tag=23):
    """Answers HeldSlotsQuery: calls in flight and the longest time left to them.

    `uptime_s` is how long the instance has been up: it knows nothing of calls from before.
    """

    upstream: str
    owner: int
    calls: int
    longest_call_s: float
    uptime_s: float


# Rates


class BucketTokenRequest(Message, frozen=True, tag=30):
    """Asks a customer's bucket owner for tokens.

    `need` is for calls that wait, `want` adds what may come soon. `lend` marks a request to the
    owner in another domain; `deficit` is what the asking owner lacks to its burst. `partial` takes
    a part of a token as well, to be put together with those of other owners.
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
    """Tokens granted. `retry_after_s` tells when more come; `known` false asks to try later."""

    customer: str
    nonce: int
    granted: float
    retry_after_s: float
    known: bool


class TokenOffer(Message, frozen=True, tag=33):
    """Tells an owner with a deficit that another one has more than it can hold."""

    customer: str


class TokenTransfer(Message, frozen=True, tag=32):
    """Hands on the tokens of a bucket that was given up. A lost transfer loses them.

    `unused` marks tokens that were drawn for a call and come back.
    """

    customer: str
    placement_epoch: int
    tokens: float
    unused: bool = False


# Idempotency records


class IdempotencyRecord(Message, frozen=True):
    """An idempotency record: scope, digest of the request, state and stored answer.

    `owner` names the one request that may run; times are wall time in seconds.
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
    """A keeper's verdict: started, exists (with the record), not-ready, stored."""

    nonce: int
    verdict: str
    record: IdempotencyRecord | None = None


class KeeperFinishRequest(Message, frozen=True, tag=42):
    """Stores the whole answer of a started request, or withdraws one that did not run."""

    nonce: int
    placement_epoch: int
    record: IdempotencyRecord
    withdrawn: bool = False


class HandOver(Message, frozen=True, tag=43):
    """Records for a keeper under a new placement epoch; `last` closes the sender's set."""

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
    """Tells that a request fingerprint crashed an upstream; `crashes` counts them."""

    fingerprint: str
    crashes: int
    ttl_s: float
