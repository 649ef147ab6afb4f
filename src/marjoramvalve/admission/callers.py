"""Client side of the slot lease protocol: the slots that an instance leases at one upstream."""

from dataclasses import dataclass

from marjoramvalve.wire.messages import HeldSlotsReport, SlotGrant, SlotRequest, WaitingCall

DEMAND_DECAY = 0.8
IDLE_SESSION_TIMEOUT_S = 2.0
REQUEST_RETRY_INTERVAL_S = 0.05
SILENT_OWNER_PROBE_INTERVAL_S = 1.0
NEVER = -1e18


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """A call that needs a slot; `deadline` is in seconds on the caller's clock."""

    rank: int
    customer: str
    weight: float
    deadline: float


@dataclass(frozen=True, slots=True)
class GrantResult:
    """The effect of a grant on waiting calls.

    `slots` holds pairs of a slot and the id of the waiting call that it is for; `refused` holds the
    ids of refused calls.
    """

    slots: tuple[tuple[int, int], ...]
    refused: tuple[int, ...]


@dataclass(slots=True)
class _CallStats:
    done: int = 0
    latency_ms: float = 0.0
    min_latency_ms: float = 1e9
    shed: int = 0
    failed: int = 0


@dataclass(slots=True)
class _SentRequest:
    seq: int
    sent_at: float


@dataclass(slots=True)
class _OwnerState:
    limit: int = 1
    queue_ms: float = 0.0
    shortage: bool = False
    draining: bool = False
    connections: int = 1
    answered_at: float = NEVER
    unanswered_since: float = NEVER


class SlotCaller:
    """Holds the slots leased at one upstream and the calls that wait for one.

    A slot may be used for a new call only until `lease_until`. The lease counts from the time when
    the request answered by the grant was sent, and so never ends later than in the owner's record.
    """

    def __init__(self, upstream: str, session: int, renew_interval_s: float, now: float) -> None:
        self.upstream = upstream
        self.session = session
        self.owner_state = _OwnerState()
        self.request_pending = False
        self.retired = False
        self.lease_until = NEVER
        self.in_use: dict[int, float] = {}
        self._renew_interval_s = renew_interval_s
        self._idle: list[int] = []
        self._waits: dict[int, SlotDemand] = {}
        self._next_wait_id = 1
        self._seq = 0
        self._last_grant_seq = 0
        self._sent_requests: list[_SentRequest] = []
        self._owner = 0
        self._previous_in_use: dict[int, float] = {}
        self._stats = _CallStats()
        self._smoothed_demand = 0.0
        self._peak_demand = 0
        self._requested_at = NEVER
        self._last_used_at = now

    # Calls

    def take(self, demand: SlotDemand, now: float) -> int:
        """Returns an idle slot and marks it as in use, or returns 0 if none is usable."""
        self._last_used_at = now
        while self._idle and now < self.lease_until and not self.owner_state.draining:
            slot = self._idle.pop()
            self.in_use[slot] = demand.deadline
            self._peak_demand = max(self._peak_demand, len(self.in_use))
            return slot
        return 0

    def enqueue(self, demand: SlotDemand, now: float) -> int:
        """Adds a waiting call and returns its id."""
        self._last_used_at = now
        wait_id = self._next_wait_id
        self._next_wait_id += 1
        self._waits[wait_id] = demand
        self._peak_demand = max(self._peak_demand, len(self.in_use) + len(self._waits))
        self.request_pending = True
        return wait_id

    def cancel(self, wait_id: int) -> None:
        """Removes a waiting call, if it is still waiting."""
        if self._waits.pop(wait_id, None) is not None:
            self.request_pending = True

    def give_back(self, slot: int, now: float) -> None:
        """Ends the use of a slot.

        The slot is kept idle if demand needs it and the upstream has no shortage; otherwise the
        next request returns it to the owner.
        """
        if self._previous_in_use.pop(slot, None) is not None:
            return
        if self.in_use.pop(slot, None) is None:
            return
        keep = not self.retired and len(self.in_use) + len(self._idle) < self._wanted_slots()
        if (
            now < self.lease_until
            and not self.owner_state.shortage
            and not self.owner_state.draining
            and keep
        ):
            self._idle.append(slot)
        else:
            self.request_pending = True

    def observe(self, latency_s: float, shed: bool, failed: bool) -> None:
        """Records the outcome of a call; the next request reports it to the owner."""
        stats = self._stats
        if shed:
            stats.shed += 1
        elif failed:
            stats.failed += 1
        else:
            stats.done += 1
            stats.latency_ms += latency_s * 1000
            stats.min_latency_ms = min(stats.min_latency_ms, latency_s * 1000)

    def retire(self) -> None:
        """Stops accepting calls; returns idle slots now and the others when their calls end."""
        self.retired = True
        self.request_pending = True
        self._idle.clear()
        self._waits.clear()

    # Messages

    def _wanted_slots(self) -> int:
        return max(1, self._peak_demand, int(self._smoothed_demand + 0.999))

    def is_request_due(self, now: float) -> bool:
        """Returns whether a request should be sent now."""
        if self.request_pending:
            return True
        if self._waits and now >= self._requested_at + REQUEST_RETRY_INTERVAL_S:
            return True
        active = self.in_use or self._idle or self._waits
        return bool(active) and now >= self._requested_at + self._renew_interval_s

    def build_request(self, now: float, longest_call_s: float) -> SlotRequest:
        """Builds the next request to the owner, which renews the lease or ends an idle session."""
        if now >= self.lease_until:
            self._idle.clear()
        if self.owner_state.shortage or self.owner_state.draining:
            self._idle.clear()
        if (
            now > self._last_used_at + IDLE_SESSION_TIMEOUT_S
            and not self.in_use
            and not self._waits
        ):
            self._idle.clear()
            self._smoothed_demand = 0.0
        if now >= self._requested_at + self._renew_interval_s:
            self._smoothed_demand = max(
                float(self._peak_demand), self._smoothed_demand * DEMAND_DECAY
            )
            self._peak_demand = len(self.in_use)
        self.request_pending = False
        self._requested_at = now
        self._seq += 1
        self._sent_requests = [item for item in self._sent_requests if item.sent_at > now - 10][
            -64:
        ]
        self._sent_requests.append(_SentRequest(self._seq, now))
        ends_session = (
            self._smoothed_demand < 1 and not self.in_use and not self._waits and not self._idle
        )
        if self.owner_state.unanswered_since == NEVER and not ends_session:
            self.owner_state.unanswered_since = now
        body = self._create_request(
            now, longest_call_s, 0 if ends_session or self.retired else self._wanted_slots()
        )
        if ends_session:
            self.restart_session(self.session + 1)
            self._peak_demand = 0
        return body

    def _create_request(self, now: float, longest_call_s: float, want: int) -> SlotRequest:
        stats, self._stats = self._stats, _CallStats()
        mean_latency_ms = stats.latency_ms / stats.done if stats.done else 0.0
        waits = tuple(
            WaitingCall(
                wait_id,
                demand.rank,
                demand.customer,
                demand.weight,
                max(0, int((demand.deadline - now) * 1000)),
            )
            for wait_id, demand in self._waits.items()
        )
        return SlotRequest(
            upstream=self.upstream,
            session=self.session,
            owner=self._owner,
            seq=self._seq,
            last_grant_seq=self._last_grant_seq,
            held=tuple(self.in_use) + tuple(self._idle),
            waits=waits,
            want=want,
            longest_call_s=longest_call_s,
            done=stats.done,
            latency_ms=mean_latency_ms,
            latency_min_ms=stats.min_latency_ms if stats.done else 0.0,
            shed=stats.shed,
            failed=stats.failed,
        )

    def handle_grant(self, body: SlotGrant, now: float) -> GrantResult:
        """Applies a grant; returns the slots for waiting calls and the refused calls."""
        if body.session != self.session:
            return GrantResult((), ())
        if self._owner and body.owner != self._owner:
            self.restart_session(self.session + 1)
            self._owner = body.owner
            return GrantResult((), ())
        self._owner = body.owner
        self._update_owner_state(body, now)
        refused = tuple(wait_id for wait_id in body.refused if self._waits.pop(wait_id, None))
        if body.seq == 0 and self._last_grant_seq:
            self.restart_session(self.session + 1)  # The session expired at the owner.
        if body.seq == 0 or body.seq <= self._last_grant_seq:
            return GrantResult((), refused)
        self._last_grant_seq = body.seq
        sent_at = next(
            (item.sent_at for item in self._sent_requests if item.seq == body.request_seq), NEVER
        )
        self.lease_until = max(self.lease_until, sent_at + body.lease_s)
        return GrantResult(self._assign_slots(body, now), refused)

    def _assign_slots(self, body: SlotGrant, now: float) -> tuple[tuple[int, int], ...]:
        assigned = []
        for slot, wait_id in body.slots:
            demand = self._waits.get(wait_id) if wait_id else None
            if demand is not None and now < self.lease_until:
                del self._waits[wait_id]
                self.in_use[slot] = demand.deadline
                assigned.append((slot, wait_id))
            elif wait_id == 0:
                self._idle.append(slot)
            else:
                self.request_pending = True
        return tuple(assigned)

    def _update_owner_state(self, body: SlotGrant, now: float) -> None:
        view = self.owner_state
        view.limit = body.limit
        view.queue_ms = body.queue_ms
        view.shortage = body.shortage
        view.draining = body.draining
        view.connections = body.connections
        view.answered_at = now
        view.unanswered_since = NEVER
        if (body.shortage or body.draining) and self._idle:
            self.request_pending = True

    def silent_for(self, now: float) -> float:
        """Returns for how long requests have gone unanswered, in seconds."""
        return (
            0.0
            if self.owner_state.unanswered_since == NEVER
            else now - self.owner_state.unanswered_since
        )

    def is_silent(self, now: float, timeout_s: float) -> bool:
        """Returns whether to avoid this upstream because its owner does not answer.

        An owner that was sent no request for a while counts as reachable, so that it is retried.
        """
        return (
            self.silent_for(now) > timeout_s
            and now < self._requested_at + SILENT_OWNER_PROBE_INTERVAL_S
        )

    def restart_session(self, session: int) -> None:
        """Starts a new session; running calls continue, but their slots leave the session."""
        self._previous_in_use.update(self.in_use)
        self.in_use.clear()
        self._idle.clear()
        self.session = session
        self.lease_until = NEVER
        self._last_grant_seq = 0
        self._owner = 0
        self.request_pending = bool(self._waits)

    def build_held_report(self, owner: int, now: float, uptime_s: float) -> HeldSlotsReport:
        """Builds the report of running calls for a restarted owner, and drops idle slots."""
        if self._owner != owner:
            self.restart_session(self.session + 1)
            self._owner = owner
        deadlines = list(self._previous_in_use.values())
        longest = max((deadline - now for deadline in deadlines), default=0.0)
        return HeldSlotsReport(self.upstream, owner, len(deadlines), max(0.0, longest), uptime_s)

    def waiting(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._waits)

    def load(self) -> float:
        """Returns a load score to compare upstreams: queue delay in ms plus use of the limit."""
        utilization = (len(self.in_use) + len(self._waits)) / max(1, self.owner_state.limit)
        return self.owner_state.queue_ms + utilization
