"""The calling side of slot leases at one upstream."""

from dataclasses import dataclass

from marjoramvalve.wire.messages import HeldSlotsReport, SlotGrant, SlotRequest, WaitingCall

DEMAND_DECAY = 0.8
IDLE_END_S = 2.0
RETRY_S = 0.05
PROBE_S = 1.0
NEVER = -1e18


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """A call that needs a slot; `deadline` on the caller's clock in seconds."""

    rank: int
    customer: str
    weight: float
    deadline: float


@dataclass(frozen=True, slots=True)
class GrantResult:
    """What a grant brought: slots by wait, and the waits that were refused."""

    slots: tuple[tuple[int, int], ...]
    refused: tuple[int, ...]


@dataclass(slots=True)
class _Stats:
    done: int = 0
    latency_ms: float = 0.0
    least_ms: float = 1e9
    shed: int = 0
    failed: int = 0


@dataclass(slots=True)
class _Sent:
    seq: int
    at: float


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
    """Slots that this instance holds at one upstream, and its calls that wait for one.

    A slot may be taken for a new call only until `lease_until`, which counts from the sending of
    the ask that the grant answered, and is therefore never later than the owner's own reckoning.
    """

    def __init__(self, upstream: str, session: int, renew_s: float, now: float) -> None:
        self.upstream = upstream
        self.session = session
        self.owner_state = _OwnerState()
        self.dirty = False
        self.retired = False
        self.lease_until = NEVER
        self.in_use: dict[int, float] = {}
        self._renew_s = renew_s
        self._idle: list[int] = []
        self._waits: dict[int, SlotDemand] = {}
        self._next_wait = 1
        self._seq = 0
        self._seen = 0
        self._sent: list[_Sent] = []
        self._owner = 0
        self._legacy: dict[int, float] = {}
        self._stats = _Stats()
        self._demand = 0.0
        self._peak = 0
        self._asked_at = NEVER
        self._used_at = now

    # Calls

    def take(self, demand: SlotDemand, now: float) -> int:
        """Takes an idle slot at once and returns it, or 0 when there is none."""
        self._used_at = now
        while self._idle and now < self.lease_until and not self.owner_state.draining:
            slot = self._idle.pop()
            self.in_use[slot] = demand.deadline
            self._peak = max(self._peak, len(self.in_use))
            return slot
        return 0

    def enqueue(self, demand: SlotDemand, now: float) -> int:
        """Registers a waiting call and returns its number."""
        self._used_at = now
        number = self._next_wait
        self._next_wait += 1
        self._waits[number] = demand
        self._peak = max(self._peak, len(self.in_use) + len(self._waits))
        self.dirty = True
        return number

    def cancel(self, wait: int) -> None:
        """Withdraws a waiting call."""
        if self._waits.pop(wait, None) is not None:
            self.dirty = True

    def give_back(self, slot: int, now: float) -> None:
        """Ends the use of a slot: kept idle while nothing is short, otherwise returned."""
        if self._legacy.pop(slot, None) is not None:
            return
        if self.in_use.pop(slot, None) is None:
            return
        keep = not self.retired and len(self.in_use) + len(self._idle) < self._want()
        if (
            now < self.lease_until
            and not self.owner_state.shortage
            and not self.owner_state.draining
            and keep
        ):
            self._idle.append(slot)
        else:
            self.dirty = True

    def observe(self, latency_s: float, shed: bool, failed: bool) -> None:
        """Notes how a call ended, for the owner's estimate."""
        stats = self._stats
        if shed:
            stats.shed += 1
        elif failed:
            stats.failed += 1
        else:
            stats.done += 1
            stats.latency_ms += latency_s * 1000
            stats.least_ms = min(stats.least_ms, latency_s * 1000)

    def retire(self) -> None:
        """Takes no new calls any more; idle slots go back, the others as their calls end."""
        self.retired = True
        self.dirty = True
        self._idle.clear()
        self._waits.clear()

    # Messages

    def _want(self) -> int:
        return max(1, self._peak, int(self._demand + 0.999))

    def is_request_due(self, now: float) -> bool:
        """Tells whether an ask should be sent now."""
        if self.dirty:
            return True
        if self._waits and now >= self._asked_at + RETRY_S:
            return True
        active = self.in_use or self._idle or self._waits
        return bool(active) and now >= self._asked_at + self._renew_s

    def build_request(self, now: float, longest_call_s: float) -> SlotRequest:
        """Builds the next ask."""
        if now >= self.lease_until:
            self._idle.clear()
        if self.owner_state.shortage or self.owner_state.draining:
            self._idle.clear()
        if now > self._used_at + IDLE_END_S and not self.in_use and not self._waits:
            self._idle.clear()
            self._demand = 0.0
        if now >= self._asked_at + self._renew_s:
            self._demand = max(float(self._peak), self._demand * DEMAND_DECAY)
            self._peak = len(self.in_use)
        self.dirty = False
        self._asked_at = now
        self._seq += 1
        self._sent = [item for item in self._sent if item.at > now - 10][-64:]
        self._sent.append(_Sent(self._seq, now))
        ends = self._demand < 1 and not self.in_use and not self._waits and not self._idle
        if self.owner_state.unanswered_since == NEVER and not ends:
            self.owner_state.unanswered_since = now
        body = self._build(now, longest_call_s, 0 if ends or self.retired else self._want())
        if ends:
            self.restart_session(self.session + 1)
            self._peak = 0
        return body

    def _build(self, now: float, longest_call_s: float, want: int) -> SlotRequest:
        stats, self._stats = self._stats, _Stats()
        mean = stats.latency_ms / stats.done if stats.done else 0.0
        waits = tuple(
            WaitingCall(
                number,
                demand.rank,
                demand.customer,
                demand.weight,
                max(0, int((demand.deadline - now) * 1000)),
            )
            for number, demand in self._waits.items()
        )
        return SlotRequest(
            upstream=self.upstream,
            session=self.session,
            owner=self._owner,
            seq=self._seq,
            last_grant_seq=self._seen,
            held=tuple(self.in_use) + tuple(self._idle),
            waits=waits,
            want=want,
            longest_call_s=longest_call_s,
            done=stats.done,
            latency_ms=mean,
            latency_min_ms=stats.least_ms if stats.done else 0.0,
            shed=stats.shed,
            failed=stats.failed,
        )

    def handle_grant(self, body: SlotGrant, now: float) -> GrantResult:
        """Takes in a grant; returns the slots for waiting calls and the refused ones."""
        if body.session != self.session:
            return GrantResult((), ())
        if self._owner and body.owner != self._owner:
            self.restart_session(self.session + 1)
            self._owner = body.owner
            return GrantResult((), ())
        self._owner = body.owner
        self._note_view(body, now)
        refused = tuple(wait for wait in body.refused if self._waits.pop(wait, None))
        if body.seq == 0 and self._seen:
            self.restart_session(self.session + 1)  # The owner has let the session lapse.
        if body.seq == 0 or body.seq <= self._seen:
            return GrantResult((), refused)
        self._seen = body.seq
        sent_at = next((item.at for item in self._sent if item.seq == body.request_seq), NEVER)
        self.lease_until = max(self.lease_until, sent_at + body.lease_s)
        return GrantResult(self._place(body, now), refused)

    def _place(self, body: SlotGrant, now: float) -> tuple[tuple[int, int], ...]:
        placed = []
        for slot, wait in body.slots:
            demand = self._waits.get(wait) if wait else None
            if demand is not None and now < self.lease_until:
                del self._waits[wait]
                self.in_use[slot] = demand.deadline
                placed.append((slot, wait))
            elif wait == 0:
                self._idle.append(slot)
            else:
                self.dirty = True
        return tuple(placed)

    def _note_view(self, body: SlotGrant, now: float) -> None:
        view = self.owner_state
        view.limit = body.limit
        view.queue_ms = body.queue_ms
        view.shortage = body.shortage
        view.draining = body.draining
        view.connections = body.connections
        view.answered_at = now
        view.unanswered_since = NEVER
        if (body.shortage or body.draining) and self._idle:
            self.dirty = True

    def silent_for(self, now: float) -> float:
        """Returns for how long the owner has left an ask without an answer, in seconds."""
        return (
            0.0
            if self.owner_state.unanswered_since == NEVER
            else now - self.owner_state.unanswered_since
        )

    def is_silent(self, now: float, timeout_s: float) -> bool:
        """Tells whether to go round this owner for now.

        An owner that was not asked for a while counts as willing, so that it is tried again.
        """
        return self.silent_for(now) > timeout_s and now < self._asked_at + PROBE_S

    def restart_session(self, session: int) -> None:
        """Begins a new session with a new owner; running calls go on as the old one's."""
        self._legacy.update(self.in_use)
        self.in_use.clear()
        self._idle.clear()
        self.session = session
        self.lease_until = NEVER
        self._seen = 0
        self._owner = 0
        self.dirty = bool(self._waits)

    def build_held_report(self, owner: int, now: float, uptime_s: float) -> HeldSlotsReport:
        """Answers a restarted owner; idle slots of the old one are dropped."""
        if self._owner != owner:
            self.restart_session(self.session + 1)
            self._owner = owner
        ends = list(self._legacy.values())
        longest = max((end - now for end in ends), default=0.0)
        return HeldSlotsReport(self.upstream, owner, len(ends), max(0.0, longest), uptime_s)

    def waiting(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._waits)

    def load(self) -> float:
        """Returns a figure to compare upstreams by: queue delay, then use of the limit."""
        use = (len(self.in_use) + len(self._waits)) / max(1, self.owner_state.limit)
        return self.owner_state.queue_ms + use
