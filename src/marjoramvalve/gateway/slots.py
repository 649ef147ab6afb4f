"""Slots at upstreams for the calls of this instance: selection, leases and waiting."""

import asyncio
from dataclasses import dataclass

import structlog

from marjoramvalve.admission import SlotCaller, SlotDemand
from marjoramvalve.gateway.contexts import Context
from marjoramvalve.outcomes import Reason, Refusal, RunStatus, refuse
from marjoramvalve.retries import retry_after
from marjoramvalve.routing import Candidate, OutlierDetector, choose, subset
from marjoramvalve.wire.messages import HeldSlotsQuery, HeldSlotsReport, SlotGrant, UpstreamInfo

OWNER_SILENCE_TIMEOUT_S = 0.25
WAITING_INTERVAL_S = 0.05
IDLE_INTERVAL_S = 0.1
RENEW_FRACTION = 0.25
MAX_UPSTREAMS_TRIED = 6

log = structlog.get_logger("slots")


@dataclass(slots=True)
class _Target:
    info: UpstreamInfo
    peer: str
    owner: str
    domain: str
    caller: SlotCaller
    serial: int
    refused_until: float = 0.0


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot at an upstream. It must be released with `SlotClient.give_back`."""

    slot: int
    name: str
    address: str
    owner: str
    serial: int


class SlotClient:
    """Manages the client side of slot leases at every upstream in use."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._targets: dict[str, _Target] = {}
        self._retired: dict[tuple[str, int], _Target] = {}
        self._by_service: dict[str, tuple[str, ...]] = {}
        self._waits: dict[tuple[str, int], asyncio.Future] = {}
        self._outliers = OutlierDetector()
        self._dirty: set[str] = set()
        self._flush_planned = False
        self._task: asyncio.Task | None = None
        self._started_at = context.clock()
        self._session = context.incarnation % 2**31

    async def start(self) -> None:
        """Starts renewing leases."""
        self._task = asyncio.create_task(self._renew_periodically())

    async def close(self) -> None:
        """Stops renewing leases."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    # Configuration

    def set_roster(self) -> None:
        """Applies the upstreams of the current roster."""
        roster = self._context.view.roster
        services: dict[str, list[str]] = {}
        found = set()
        for member in roster.members:
            for info in member.upstreams:
                found.add(info.name)
                services.setdefault(info.service, []).append(info.name)
                self._set_target(info, member.peer, member.name, member.domain)
        for name in self._targets.keys() - found:
            self._drop_target(name)
        own_name = self._context.cfg.instance
        self._by_service = {
            service: subset(own_name, tuple(sorted(names))) for service, names in services.items()
        }

    def _set_target(self, info: UpstreamInfo, peer: str, owner: str, domain: str) -> None:
        known = self._targets.get(info.name)
        if known is not None and known.peer == peer:
            known.info = info
            return
        if known is not None:
            self._drop_target(info.name)
        renew = self._context.cfg.slot_lease * RENEW_FRACTION
        self._session += 1
        now = self._context.clock()
        caller = SlotCaller(info.name, self._session, renew, now)
        self._targets[info.name] = _Target(info, peer, owner, domain, caller, self._session)

    def _drop_target(self, name: str) -> None:
        target = self._targets.pop(name, None)
        self._dirty.discard(name)
        if target is not None:
            target.caller.retire()
            self._retired[name, target.serial] = target
            self._send_request(target)
        for key in [key for key in self._waits if key[0] == name]:
            self._resolve(key, 0)

    # Calls

    def has_service(self, service: str) -> bool:
        """Returns whether any upstream of a service is known."""
        return bool(self._by_service.get(service))

    async def acquire(
        self, service: str, demand: SlotDemand, avoid: frozenset[str]
    ) -> HeldSlot | Refusal:
        """Returns a slot at an upstream of the service, or a refusal that is `not-run`."""
        tried = avoid
        for _ in range(MAX_UPSTREAMS_TRIED):
            target = self._choose(service, tried)
            if target is None:
                break
            slot = target.caller.take(demand, self._context.clock())
            if not slot:
                slot = await self._wait(target, demand)
            if slot:
                return self._held_slot(target, slot)
            if self._context.clock() >= demand.deadline:
                return refuse(Reason.DEADLINE, "deadline passed before a slot became free")
            tried = tried | {target.info.name}
        return self._refusal(service)

    def _refusal(self, service: str) -> Refusal:
        if not self.has_service(service):
            detail = f"no upstream of service {service!r} is known"
            delay = retry_after(1.0, self._context.rng)
            return refuse(Reason.NO_UPSTREAM, detail, RunStatus.NOT_RUN, delay)
        detail = f"service {service!r} has no free slot for this call"
        return refuse(
            Reason.OVERLOAD, detail, RunStatus.NOT_RUN, retry_after(0.5, self._context.rng)
        )

    def _held_slot(self, target: _Target, slot: int) -> HeldSlot:
        info = target.info
        return HeldSlot(slot, info.name, info.address, target.owner, target.serial)

    def _choose(self, service: str, avoid: frozenset[str]) -> _Target | None:
        now = self._context.clock()
        names = [name for name in self._by_service.get(service, ()) if name not in avoid]
        names = self._outliers.usable(names, now)
        candidates = []
        for name in names:
            target = self._targets[name]
            caller = target.caller
            if caller.owner_state.draining and now < caller.owner_state.answered_at + 1:
                continue
            if caller.is_silent(now, OWNER_SILENCE_TIMEOUT_S) or now < target.refused_until:
                continue
            local = target.domain == self._context.cfg.domain
            candidates.append(Candidate(name, caller.load(), local))
        chosen = choose(candidates, self._context.rng)
        return self._targets[chosen.name] if chosen else None

    async def _wait(self, target: _Target, demand: SlotDemand) -> int:
        if len(self._waits) >= self._context.cfg.max_waiting:
            return 0
        wait = target.caller.enqueue(demand, self._context.clock())
        key = (target.info.name, wait)
        fut = asyncio.get_running_loop().create_future()
        self._waits[key] = fut
        self._schedule_flush(target)
        silence_timer = asyncio.get_running_loop().call_later(
            OWNER_SILENCE_TIMEOUT_S, self._check_silence, target, key
        )
        deadline_timer = asyncio.get_running_loop().call_later(
            max(0.0, demand.deadline - self._context.clock()), self._resolve, key, 0
        )
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.result():
                self._give_back_to(target, fut.result())
            raise
        finally:
            silence_timer.cancel()
            deadline_timer.cancel()
            self._waits.pop(key, None)
            target.caller.cancel(wait)
            self._schedule_flush(target)

    def _check_silence(self, target: _Target, key: tuple[str, int]) -> None:
        if target.caller.silent_for(self._context.clock()) >= OWNER_SILENCE_TIMEOUT_S:
            self._resolve(key, 0)

    def _resolve(self, key: tuple[str, int], slot: int) -> bool:
        fut = self._waits.get(key)
        if fut is None or fut.done():
            return False
        fut.set_result(slot)
        return True

    def give_back(self, held: HeldSlot) -> None:
        """Releases a slot, also if its upstream has left the roster."""
        target = self._targets.get(held.name)
        if target is None or target.serial != held.serial:
            target = self._retired.get((held.name, held.serial))
        if target is not None:
            self._give_back_to(target, held.slot)

    def _give_back_to(self, target: _Target, slot: int) -> None:
        target.caller.give_back(slot, self._context.clock())
        self._schedule_flush(target)

    def observe(self, held: HeldSlot, latency_s: float, shed: bool, failed: bool) -> None:
        """Records the outcome of a call at an upstream, for its limit and for outlier detection."""
        target = self._targets.get(held.name)
        if target is not None:
            target.caller.observe(latency_s, shed, failed)
        if failed:
            self._outliers.record_failure(held.name, self._context.clock())
        elif not shed:
            self._outliers.record_success(held.name)

    def suspects(self) -> tuple[str, ...]:
        """Returns the instances whose slot owners have not answered for `suspect_after` seconds."""
        now = self._context.clock()
        limit = self._context.cfg.suspect_after
        silent = (item for item in self._targets.values() if item.caller.silent_for(now) > limit)
        return tuple(sorted({item.owner for item in silent}))

    # Messages

    def _schedule_flush(self, target: _Target) -> None:
        if not target.caller.request_pending or target.caller.retired:
            return
        self._dirty.add(target.info.name)
        if not self._flush_planned:
            self._flush_planned = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_planned = False
        dirty, self._dirty = self._dirty, set()
        for name in dirty:
            target = self._targets.get(name)
            if target is not None and target.caller.request_pending:
                self._send_request(target)

    def _send_request(self, target: _Target) -> None:
        ask = target.caller.build_request(self._context.clock(), self._context.view.longest_call_s)
        self._context.send_datagram(target.peer, ask)

    async def _renew_periodically(self) -> None:
        while True:
            await asyncio.sleep(WAITING_INTERVAL_S if self._waits else IDLE_INTERVAL_S)
            now = self._context.clock()
            for target in list(self._targets.values()):
                if target.caller.is_request_due(now):
                    self._send_request(target)
            for key, target in list(self._retired.items()):
                if target.caller.is_request_due(now):
                    self._send_request(target)
                if not target.caller.in_use:
                    del self._retired[key]

    def on_grant(self, body: SlotGrant) -> None:
        """Processes a grant and hands its slots to waiting calls."""
        target = self._targets.get(body.upstream)
        if target is None:
            return
        now = self._context.clock()
        if body.connections == 0 and body.session == target.caller.session:
            target.refused_until = now + OWNER_SILENCE_TIMEOUT_S
        granted = target.caller.handle_grant(body, now)
        for slot, wait in granted.slots:
            if not self._resolve((body.upstream, wait), slot):
                target.caller.give_back(slot, now)
        for wait in granted.refused:
            self._resolve((body.upstream, wait), 0)
        self._schedule_flush(target)

    def on_held_query(self, body: HeldSlotsQuery) -> HeldSlotsReport:
        """Reports the slots held at an upstream to its restarted owner."""
        now = self._context.clock()
        known = now - self._started_at
        reports = [
            target.caller.build_held_report(body.owner, now, known)
            for target in [*self._targets.values(), *self._retired.values()]
            if target.info.name == body.upstream
        ]
        calls = sum(report.calls for report in reports)
        longest = max((report.longest_call_s for report in reports), default=0.0)
        return HeldSlotsReport(body.upstream, body.owner, calls, longest, known)

    def in_use(self) -> int:
        """Returns the number of slots in use by running calls."""
        return sum(len(target.caller.in_use) for target in self._targets.values())

    def describe(self) -> list[dict]:
        """Returns the state of each upstream for the operators' status."""
        return [
            {
                "upstream": name,
                "service": item.info.service,
                "domain": item.domain,
                "owner": item.owner,
                "limit": item.caller.owner_state.limit,
                "in_use": len(item.caller.in_use),
                "waiting": item.caller.waiting(),
                "queue_ms": round(item.caller.owner_state.queue_ms, 1),
                "draining": item.caller.owner_state.draining,
            }
            for name, item in sorted(self._targets.items())
        ]
