"""Simulates slot owners and callers on virtual time, with unreliable datagrams between them."""

import random
from dataclasses import dataclass

from marjoramvalve.admission import SlotCaller, SlotDemand, SlotOwner, StaticLimit
from marjoramvalve.wire.messages import (
    HeldSlotsQuery,
    HeldSlotsReport,
    SlotGrant,
    SlotRequest,
    UpstreamInfo,
)

LEASE_S = 1.0
LONGEST_CALL_S = 2.0
CLOCK_DRIFT = 0.02


@dataclass(frozen=True, slots=True)
class Datagram:
    """A message in transit."""

    src: str
    dst: str
    body: object


@dataclass(slots=True)
class RunningCall:
    """A call that runs at the upstream: its caller, its slot and its end time in seconds."""

    caller: str
    slot: int
    ends_at: float


class FakeSlots:
    """Simulates an upstream, its slot owner and several callers, and tracks the running calls.

    Datagrams may be lost, duplicated and reordered; clocks run at different rates.
    """

    def __init__(self, seed: int, slots: int = 6, callers: int = 4, owner_class=SlotOwner) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self._owner_class = owner_class
        self.info = UpstreamInfo("u", "s", "a", slots, 400, 1)
        self.caller_names = [f"n{number}" for number in range(callers)]
        self.clock_rates = {
            name: 1 + self.rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
            for name in [*self.caller_names, "owner"]
        }
        self.datagrams: list[Datagram] = []
        self.running: list[RunningCall] = []
        self.served = 0
        self.max_running = 0
        self._owner_incarnation = 0
        self.started_at: dict[str, float] = {}
        self.callers: dict[str, SlotCaller] = {}
        self._session_count = 0
        for name in self.caller_names:
            self.restart_caller(name)
        self.restart_owner(())

    def clock(self, name: str) -> float:
        """Returns the local time of a caller or of the owner, in seconds."""
        return self.now * self.clock_rates[name]

    def restart_owner(self, unreported: tuple[str, ...] | None = None) -> None:
        """Replaces the owner by a new one that has no record of earlier slots."""
        self._owner_incarnation += 1
        instances = tuple(self.caller_names) if unreported is None else unreported
        limit = StaticLimit(self.info.slots)
        now = self.clock("owner")
        self.owner = self._owner_class(
            self.info,
            self._owner_incarnation,
            limit,
            LEASE_S,
            CLOCK_DRIFT,
            instances,
            4,
            LONGEST_CALL_S,
            now,
        )

    def restart_caller(self, name: str) -> None:
        """Replaces a caller by a new one; calls of the old one continue until they end."""
        self._session_count += 1
        self.started_at[name] = self.clock(name)
        renew_interval = LEASE_S / 4
        self.callers[name] = SlotCaller(
            "u", self._session_count * 1000, renew_interval, self.clock(name)
        )

    def call(self, name: str) -> None:
        """Starts a call at a caller, or adds it to the waiting calls."""
        caller = self.callers[name]
        now = self.clock(name)
        demand = SlotDemand(1, f"customer-{self.rng.randrange(3)}", 1.0, now + LONGEST_CALL_S)
        slot = caller.take(demand, now)
        if slot:
            self._run(name, slot)
        else:
            caller.enqueue(demand, now)

    def _run(self, name: str, slot: int) -> None:
        self.served += 1
        deadline = self.callers[name].in_use[slot] / self.clock_rates[name]
        ends_at = min(deadline, self.now + self.rng.uniform(0.05, LONGEST_CALL_S))
        self.running.append(RunningCall(name, slot, ends_at))
        self.max_running = max(self.max_running, len(self.running))

    def advance(self, seconds: float) -> None:
        """Advances time: ends calls and runs the periodic work of callers and owner."""
        self.now += seconds
        for item in [item for item in self.running if item.ends_at <= self.now]:
            self.running.remove(item)
            self.callers[item.caller].give_back(item.slot, self.clock(item.caller))
        for name, caller in self.callers.items():
            if caller.is_request_due(self.clock(name)):
                self.datagrams.append(
                    Datagram(name, "owner", caller.build_request(self.clock(name), LONGEST_CALL_S))
                )
        self._send(self.owner.tick(self.clock("owner")))
        for name in self.owner.unreported() if self.rng.random() < 0.2 else ():
            self.datagrams.append(
                Datagram("owner", name, HeldSlotsQuery("u", self.owner.incarnation))
            )
        self.check()

    def _send(self, replies) -> None:
        for reply in replies:
            self.datagrams.append(Datagram("owner", reply.name, reply.grant))

    def deliver(self, position: int, keep: bool = False) -> None:
        """Delivers a datagram in transit; with `keep`, it can be delivered again."""
        if not self.datagrams:
            return
        index = position % len(self.datagrams)
        datagram = self.datagrams[index] if keep else self.datagrams.pop(index)
        match datagram.body:
            case SlotRequest():
                now = self.clock("owner")
                self._send(
                    self.owner.handle_request(datagram.src, datagram.src, datagram.body, now)
                )
            case HeldSlotsReport():
                if datagram.body.owner == self.owner.incarnation:
                    self.owner.handle_report(datagram.src, datagram.body, self.clock("owner"))
            case HeldSlotsQuery():
                caller = self.callers[datagram.dst]
                now = self.clock(datagram.dst)
                uptime = now - self.started_at[datagram.dst]
                report = caller.build_held_report(datagram.body.owner, now, uptime)
                self.datagrams.append(Datagram(datagram.dst, "owner", report))
            case SlotGrant():
                caller = self.callers[datagram.dst]
                granted = caller.handle_grant(datagram.body, self.clock(datagram.dst))
                for slot, _ in granted.slots:
                    self._run(datagram.dst, slot)
        self.check()

    def drop(self, position: int) -> None:
        """Drops a datagram in transit."""
        if self.datagrams:
            self.datagrams.pop(position % len(self.datagrams))

    def check(self) -> None:
        """Asserts that running calls, held slots and connections are within their limits."""
        running = len(self.running)
        assert running <= self.info.slots, f"{running} calls run on {self.info.slots} slots"
        assert self.owner.held() <= self.info.slots
        assert self.owner.connections() <= self.info.connections
