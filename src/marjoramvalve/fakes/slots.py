"""Slot owners and callers on virtual time, over datagrams that are lost, doubled and reordered."""

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
CALL_S = 2.0
DRIFT = 0.02


@dataclass(frozen=True, slots=True)
class Datagram:
    """A message under way."""

    src: str
    dst: str
    body: object


@dataclass(slots=True)
class Running:
    """A call that an upstream runs: whose it is, its slot and when it ends at the latest."""

    caller: str
    slot: int
    ends: float


class FakeSlots:
    """One upstream, its owner and several callers. Counts what really runs."""

    def __init__(self, seed: int, slots: int = 6, callers: int = 4, owner_class=SlotOwner) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self._class = owner_class
        self.info = UpstreamInfo("u", "s", "a", slots, 400, 1)
        self.names = [f"n{number}" for number in range(callers)]
        self.rates = {name: 1 + self.rng.uniform(-DRIFT, DRIFT) for name in [*self.names, "owner"]}
        self.packets: list[Datagram] = []
        self.running: list[Running] = []
        self.served = 0
        self.most = 0
        self._owners = 0
        self.started: dict[str, float] = {}
        self.callers: dict[str, SlotCaller] = {}
        self._sessions = 0
        for name in self.names:
            self.restart_caller(name)
        self.restart_owner(())

    def clock(self, name: str) -> float:
        """Returns the clock of a caller or of the owner."""
        return self.now * self.rates[name]

    def restart_owner(self, others: tuple[str, ...] | None = None) -> None:
        """Starts the owner anew; it knows nothing of earlier slots."""
        self._owners += 1
        asked = tuple(self.names) if others is None else others
        limit = StaticLimit(self.info.slots)
        now = self.clock("owner")
        self.owner = self._class(
            self.info, self._owners, limit, LEASE_S, DRIFT, asked, 4, CALL_S, now
        )

    def restart_caller(self, name: str) -> None:
        """Starts a caller anew; calls of its earlier life go on until they end."""
        self._sessions += 1
        self.started[name] = self.clock(name)
        renew = LEASE_S / 4
        self.callers[name] = SlotCaller("u", self._sessions * 1000, renew, self.clock(name))

    def call(self, name: str) -> None:
        """A call arrives at a caller."""
        caller = self.callers[name]
        now = self.clock(name)
        demand = SlotDemand(1, f"customer-{self.rng.randrange(3)}", 1.0, now + CALL_S)
        slot = caller.take(demand, now)
        if slot:
            self._run(name, slot)
        else:
            caller.enqueue(demand, now)

    def _run(self, name: str, slot: int) -> None:
        self.served += 1
        deadline = self.callers[name].in_use[slot] / self.rates[name]
        ends = min(deadline, self.now + self.rng.uniform(0.05, CALL_S))
        self.running.append(Running(name, slot, ends))
        self.most = max(self.most, len(self.running))

    def advance(self, seconds: float) -> None:
        """Lets time pass: calls end, everyone does what is due."""
        self.now += seconds
        for item in [item for item in self.running if item.ends <= self.now]:
            self.running.remove(item)
            self.callers[item.caller].give_back(item.slot, self.clock(item.caller))
        for name, caller in self.callers.items():
            if caller.is_request_due(self.clock(name)):
                self.packets.append(
                    Datagram(name, "owner", caller.build_request(self.clock(name), CALL_S))
                )
        self._send(self.owner.tick(self.clock("owner")))
        for name in self.owner.unreported() if self.rng.random() < 0.2 else ():
            self.packets.append(Datagram("owner", name, HeldSlotsQuery("u", self.owner.owner)))
        self.check()

    def _send(self, replies) -> None:
        for reply in replies:
            self.packets.append(Datagram("owner", reply.name, reply.grant))

    def deliver(self, position: int, keep: bool = False) -> None:
        """Delivers one datagram under way; `keep` leaves a duplicate."""
        if not self.packets:
            return
        at = position % len(self.packets)
        packet = self.packets[at] if keep else self.packets.pop(at)
        match packet.body:
            case SlotRequest():
                now = self.clock("owner")
                self._send(self.owner.handle_request(packet.src, packet.src, packet.body, now))
            case HeldSlotsReport():
                if packet.body.owner == self.owner.owner:
                    self.owner.handle_report(packet.src, packet.body, self.clock("owner"))
            case HeldSlotsQuery():
                caller = self.callers[packet.dst]
                now = self.clock(packet.dst)
                known = now - self.started[packet.dst]
                report = caller.build_held_report(packet.body.owner, now, known)
                self.packets.append(Datagram(packet.dst, "owner", report))
            case SlotGrant():
                caller = self.callers[packet.dst]
                granted = caller.handle_grant(packet.body, self.clock(packet.dst))
                for slot, _ in granted.slots:
                    self._run(packet.dst, slot)
        self.check()

    def drop(self, position: int) -> None:
        """Loses one datagram."""
        if self.packets:
            self.packets.pop(position % len(self.packets))

    def check(self) -> None:
        """Checks that the upstream never runs more than its slots."""
        running = len(self.running)
        assert running <= self.info.slots, f"{running} calls run on {self.info.slots} slots"
        assert self.owner.held() <= self.info.slots
        assert self.owner.connections() <= self.info.connections
