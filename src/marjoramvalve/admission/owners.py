"""Owner of an upstream's slots: leases them to instances and queues calls under shortage."""

from dataclasses import dataclass, field

from marjoramvalve.admission.limits import Limit, Window
from marjoramvalve.admission.queues import FairQueue, Waiter
from marjoramvalve.wire.messages import HeldSlotsReport, SlotGrant, SlotRequest, UpstreamInfo

WINDOW_S = 0.1
QUEUE_FACTOR = 4
MIN_QUEUE = 16
MIN_SESSION_SHARES = 8
LATENCY_SMOOTHING = 0.2
SHORTAGE_NOTICE_INTERVAL_S = 0.05
SLOT_ID_SPACES = 1 << 20
MIN_CONNECTION_QUOTA = 2
CONNECTIONS_PER_SLOT = 2


@dataclass(slots=True)
class _Session:
    name: str
    number: int
    address: str
    quota: int
    expires_at: float
    longest_call_s: float
    slots: dict[int, int] = field(default_factory=dict)
    granted_waits: dict[int, int] = field(default_factory=dict)
    seq: int = 0
    request_seq: int = 0
    want: int = 0


@dataclass(frozen=True, slots=True)
class _Orphan:
    slots: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Reply:
    """A grant with the name and address of the instance that receives it."""

    name: str
    address: str
    grant: SlotGrant


class SlotOwner:
    """Leases the slots of one upstream to calling instances.

    `others` are the instances that may hold slots of an earlier owner. `instances` is the number of
    instances in the fleet; the upstream's connections are divided among them.

    Invariant: slots in sessions, slots of orphans and slots withheld after a restart never exceed
    the announced slots; quotas of sessions never exceed the announced connections. A session that
    sends no more requests keeps its slots until its lease and then its longest call have timed out,
    both extended by the margin for clock drift.
    """

    def __init__(
        self,
        info: UpstreamInfo,
        incarnation: int,
        limit: Limit,
        lease_s: float,
        drift: float,
        others: tuple[str, ...],
        instances: int,
        longest_call_s: float,
        now: float,
    ) -> None:
        self.info = info
        self.incarnation = incarnation
        self.limit = limit
        self.draining = False
        self.lease_s = lease_s
        self._longest_call_s = longest_call_s
        self._drift_factor = (1 + drift) / (1 - drift)
        self._sessions: dict[tuple[str, int], _Session] = {}
        self._orphans: list[_Orphan] = []
        self._queue = FairQueue()
        self._next_slot = ((incarnation % SLOT_ID_SPACES) << 32) + 1
        session_shares = max(
            MIN_SESSION_SHARES, min(instances, info.connections // MIN_CONNECTION_QUOTA)
        )
        self._quota = max(MIN_CONNECTION_QUOTA, info.connections // session_shares)
        self._unreported = set(others)
        self._withhold_until = now + (lease_s + longest_call_s) * self._drift_factor
        self._shortage_noticed_at = now
        self._window_end = now + WINDOW_S
        self._window = Window(0, 0.0, 0.0, 0, 0, 0)
        self._latency_sum = 0.0
        self._peak_held = 0
        self.latency_s = 0.0

    @property
    def _max_session_slots(self) -> int:
        """Maximum slots of a session: each may use one pooled and one unpooled connection."""
        return self._quota // CONNECTIONS_PER_SLOT

    # Accounting

    def held(self) -> int:
        """Returns the number of slots held by sessions and orphans."""
        in_sessions = sum(len(session.slots) for session in self._sessions.values())
        return in_sessions + sum(orphan.slots for orphan in self._orphans)

    def withheld(self) -> int:
        """Returns the number of slots that instances yet to report may still use."""
        return min(self.info.slots, len(self._unreported) * self._max_session_slots)

    def free(self) -> int:
        """Returns the number of slots that may be granted now."""
        max_held = min(self.limit.value, self.info.slots - self.withheld())
        return max_held - self.held()

    def connections(self) -> int:
        """Returns the number of connections allotted to sessions."""
        return sum(session.quota for session in self._sessions.values())

    def waiting(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._queue)

    # Inputs

    def handle_report(self, name: str, body: HeldSlotsReport, now: float) -> None:
        """Records the slots that an instance still uses from before this owner started.

        Calls started before a recent restart of the instance are unknown to it. Its report is
        ignored until it has been up for the longest call, and its slots stay withheld.
        """
        if (
            name not in self._unreported
            or body.uptime_s < self._longest_call_s * self._drift_factor
        ):
            return
        self._unreported.discard(name)
        if body.calls:
            expires_at = now + body.longest_call_s * self._drift_factor
            self._orphans.append(_Orphan(body.calls, expires_at))

    def unreported(self) -> tuple[str, ...]:
        """Returns the names of the instances that have yet to report."""
        return tuple(sorted(self._unreported))

    def replace_upstream(self, info: UpstreamInfo, limit: Limit) -> None:
        """Replaces the upstream after it restarted.

        Sessions continue: a caller may still start calls on its leased slots, and these calls reach
        the new process.
        """
        self.info = info
        self.limit = limit

    def forget_instance(self, name: str) -> None:
        """Stops waiting for the report of an instance that has left the roster.

        The instance has been gone for longer than any lease and call.
        """
        self._unreported.discard(name)

    def handle_request(self, name: str, address: str, body: SlotRequest, now: float) -> list[Reply]:
        """Applies a request; returns the replies to send."""
        self._expire(now)
        session = self._session(name, address, body, now)
        if session is None:
            refused = tuple(wait.wait_id for wait in body.waits)
            return [self._build_refusal(name, address, body, refused)]
        if body.seq <= session.request_seq:
            return []
        session.request_seq = body.seq
        self._renew(session, body, now)
        refused = self._queue_waits(session, body, now)
        if not body.held and not body.want and not body.waits:
            self._end(session)
            return []
        return self._grant_slots(now, {(name, body.session): list(refused)})

    def tick(self, now: float) -> list[Reply]:
        """Expires sessions, updates the limit and returns grants that became possible."""
        self._expire(now)
        if now >= self._window_end:
            self._close_window(now)
        if now >= self._withhold_until:
            self._unreported.clear()
        return self._grant_slots(now, {})

    # Sessions

    def _session(self, name: str, address: str, body: SlotRequest, now: float) -> _Session | None:
        key = (name, body.session)
        session = self._sessions.get(key)
        if session is not None:
            return session
        if (
            body.held
            or body.last_grant_seq
            or self.draining
            or body.owner not in (0, self.incarnation)
        ):
            return None
        if self.connections() + self._quota > self.info.connections:
            return None
        expires_at = now + self.lease_s * self._drift_factor
        session = _Session(
            name, body.session, address, self._quota, expires_at, body.longest_call_s
        )
        self._sessions[key] = session
        return session

    def _renew(self, session: _Session, body: SlotRequest, now: float) -> None:
        session.expires_at = now + self.lease_s * self._drift_factor
        session.longest_call_s = max(session.longest_call_s, body.longest_call_s)
        session.want = body.want
        held = set(body.held)
        for slot, seq in list(session.slots.items()):
            if seq <= body.last_grant_seq and slot not in held:
                del session.slots[slot]
        for wait_id, seq in list(session.granted_waits.items()):
            if seq <= body.last_grant_seq:
                del session.granted_waits[wait_id]
        self._record_stats(body)

    def _end(self, session: _Session) -> None:
        key = (session.name, session.number)
        self._queue.remove_origin(key)
        if not session.slots:
            del self._sessions[key]

    def _expire(self, now: float) -> None:
        self._orphans = [orphan for orphan in self._orphans if orphan.expires_at > now]
        for key, session in list(self._sessions.items()):
            if session.expires_at > now:
                continue
            self._queue.remove_origin(key)
            if (
                session.expires_at + session.longest_call_s * self._drift_factor <= now
                or not session.slots
            ):
                del self._sessions[key]

    # Waits

    def _queue_waits(self, session: _Session, body: SlotRequest, now: float) -> list[int]:
        key = (session.name, session.number)
        wait_ids = frozenset(wait.wait_id for wait in body.waits)
        self._queue.remove_origin(key, wait_ids)
        if self.draining:
            return sorted(wait_ids)
        for wait in body.waits:
            if wait.wait_id in session.granted_waits:
                continue
            deadline = now + wait.left_ms / 1000
            self._queue.push(
                Waiter(key, wait.wait_id, wait.rank, wait.customer, wait.weight, now, deadline)
            )
        return []

    def _max_waiting(self) -> int:
        return max(MIN_QUEUE, QUEUE_FACTOR * self.limit.value)

    def _drop_unservable(self, now: float) -> list[Waiter]:
        return self._queue.remove_matching(lambda item: item.deadline < now + self.latency_s)

    # Granting

    def _grant_slots(self, now: float, refused: dict[tuple[str, int], list[int]]) -> list[Reply]:
        dropped = self._drop_unservable(now)
        grants: dict[tuple[str, int], list[tuple[int, int]]] = {key: [] for key in refused}
        self._grant_waiting(now, grants)
        dropped += self._queue.shed_excess(self._max_waiting())
        for waiter in dropped:
            refused.setdefault(waiter.origin, []).append(waiter.wait)
        self._grant_spare_slots(grants)
        self._peak_held = max(self._peak_held, self.held())
        return [
            self._build_grant(self._sessions[key], grants.get(key, []), refused.get(key, []), now)
            for key in {**grants, **refused, **self._sessions_to_notify(now)}
            if key in self._sessions
        ]

    def _sessions_to_notify(self, now: float) -> dict[tuple[str, int], None]:
        """Returns the sessions to notify of a shortage, so that they return idle slots."""
        if not len(self._queue) or now < self._shortage_noticed_at + SHORTAGE_NOTICE_INTERVAL_S:
            return {}
        self._shortage_noticed_at = now
        return {key: None for key, session in self._sessions.items() if session.slots}

    def _grant_waiting(self, now: float, grants: dict[tuple[str, int], list]) -> None:
        blocked: list[Waiter] = []
        while self.free() > 0:
            waiter = self._queue.pop(now)
            if waiter is None:
                break
            session = self._sessions[waiter.origin]
            if len(session.slots) >= self._max_session_slots:
                blocked.append(waiter)
                continue
            slot = self._take_slot(session)
            session.granted_waits[waiter.wait] = session.seq + 1
            grants.setdefault(waiter.origin, []).append((slot, waiter.wait))
        for waiter in blocked:
            self._queue.push(waiter)

    def _take_slot(self, session: _Session) -> int:
        slot = self._next_slot
        self._next_slot += 1
        session.slots[slot] = session.seq + 1
        return slot

    def _grant_spare_slots(self, grants: dict[tuple[str, int], list]) -> None:
        if len(self._queue) or self.draining:
            return
        for key, grant in grants.items():
            session = self._sessions.get(key)
            if session is None:
                continue
            max_slots = min(session.want, self._max_session_slots, self._fair_share())
            while self.free() > 1 and len(session.slots) < max_slots:
                grant.append((self._take_slot(session), 0))

    def _fair_share(self) -> int:
        return max(1, self.limit.value // max(1, len(self._sessions)))

    def _build_grant(
        self, session: _Session, slots: list[tuple[int, int]], refused: list[int], now: float
    ) -> Reply:
        session.seq += 1
        grant = SlotGrant(
            upstream=self.info.name,
            session=session.number,
            seq=session.seq,
            owner=self.incarnation,
            request_seq=session.request_seq,
            slots=tuple(slots),
            refused=tuple(refused),
            lease_s=self.lease_s,
            limit=self.limit.value,
            queue_ms=self._queue.oldest_delay(now) * 1000,
            shortage=len(self._queue) > 0,
            draining=self.draining,
            connections=session.quota,
        )
        return Reply(session.name, session.address, grant)

    def _build_refusal(
        self, name: str, address: str, body: SlotRequest, refused: tuple[int, ...]
    ) -> Reply:
        grant = SlotGrant(
            upstream=self.info.name,
            session=body.session,
            seq=0,
            owner=self.incarnation,
            request_seq=body.seq,
            slots=(),
            refused=refused,
            lease_s=0.0,
            limit=self.limit.value,
            queue_ms=0.0,
            shortage=True,
            draining=self.draining,
            connections=0,
        )
        return Reply(name, address, grant)

    # Observation

    def _record_stats(self, body: SlotRequest) -> None:
        stats = self._window
        min_latency_ms = body.latency_min_ms
        if body.done and stats.done:
            min_latency_ms = min(min_latency_ms, stats.latency_min_ms)
        elif not body.done:
            min_latency_ms = stats.latency_min_ms
        self._latency_sum += body.latency_ms * body.done
        self._window = Window(
            stats.done + body.done,
            0.0,
            min_latency_ms,
            stats.shed + body.shed,
            stats.failed + body.failed,
            0,
        )

    def _close_window(self, now: float) -> None:
        stats = self._window
        mean_latency_ms = self._latency_sum / stats.done if stats.done else 0.0
        window = Window(
            stats.done,
            mean_latency_ms,
            stats.latency_min_ms,
            stats.shed,
            stats.failed,
            max(self._peak_held, 0),
        )
        self.limit.update(window)
        if stats.done:
            step = mean_latency_ms / 1000 - self.latency_s
            self.latency_s += LATENCY_SMOOTHING * step
        self._window = Window(0, 0.0, 0.0, 0, 0, 0)
        self._latency_sum = 0.0
        self._peak_held = self.held()
        self._window_end = now + WINDOW_S
