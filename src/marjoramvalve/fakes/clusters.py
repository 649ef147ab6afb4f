"""Consensus replicas on virtual time, with a network that misbehaves and disks that forget.

Checks after every step what consensus promises; a broken promise raises AssertionError.
"""

import random
from dataclasses import dataclass, field

from marjoramvalve.consensus import (
    Apply,
    Effect,
    HardState,
    Log,
    Persist,
    ProposalVerdict,
    Replica,
    Restore,
    Role,
    SaveSnapshot,
    Send,
    Snapshot,
    Timing,
)
from marjoramvalve.wire.messages import Entry, EntryKind, Members, Message

TIMING = Timing(heartbeat=0.1, election=0.6, drift=0.05)


@dataclass(slots=True)
class Disk:
    """What one replica has synced, and the writes that it has not."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    pending: list[Persist | SaveSnapshot] = field(default_factory=list)

    def write(self, effect: Persist | SaveSnapshot) -> None:
        """Writes and syncs an effect."""
        self.hard_state = HardState(effect.term, effect.voted_for)
        if isinstance(effect, SaveSnapshot):
            self.snapshot = Snapshot(effect.index, effect.term_at, effect.members, effect.state)
            self.entries = list(effect.entries)
        elif effect.entries:
            self.entries = [entry for entry in self.entries if entry.index < effect.first]
            self.entries.extend(effect.entries)

    def sync(self) -> None:
        """Syncs what was written without."""
        for effect in self.pending:
            self.write(effect)
        self.pending.clear()


@dataclass(frozen=True, slots=True)
class Packet:
    """A message under way."""

    src: str
    dst: str
    body: Message


class FakeCluster:
    """Replicas, their disks and the network between them."""

    def __init__(
        self,
        voters: int,
        seed: int,
        replica_class: type[Replica] = Replica,
        synced: bool = True,
        spare: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.synced = synced
        self._replica_class = replica_class
        names = [f"c{number}" for number in range(voters + spare)]
        first_members = Members({name: name for name in names[:voters]}, {})
        no_members = Members({}, {})
        self.disks = {
            name: Disk(
                HardState(),
                Snapshot(0, 0, first_members if name in first_members.voters else no_members, b""),
            )
            for name in names
        }
        drift = TIMING.drift
        self.clock_rates = {name: 1 + self.rng.uniform(-drift, drift) for name in names}
        self.replicas: dict[str, Replica] = {}
        self.states: dict[str, list[bytes]] = {}
        self.packets: list[Packet] = []
        self.cut_links: set[frozenset[str]] = set()
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.commit_terms: dict[int, int] = {}
        self.acknowledged = 0
        self.proposed = 0
        for name in names:
            self.restart(name)

    def clock(self, name: str) -> float:
        """Returns a replica's own clock."""
        return self.now * self.clock_rates[name]

    # Failures

    def crash(self, name: str) -> None:
        """Ends a replica; what it had not synced is gone."""
        self.replicas.pop(name, None)
        self.disks[name].pending.clear()

    def restart(self, name: str) -> None:
        """Starts a replica from its disk."""
        disk = self.disks[name]
        log = Log(disk.snapshot, tuple(disk.entries))
        rng = random.Random(self.rng.random())
        self.replicas[name] = self._replica_class(
            name, TIMING, rng, log, disk.hard_state, self.clock(name)
        )
        self.states[name] = _decode(disk.snapshot.state)

    def cut_off(self, name: str) -> None:
        """Cuts a replica off from all others."""
        self.cut_links |= {frozenset((name, other)) for other in self.disks if other != name}

    def heal(self) -> None:
        """Mends the network."""
        self.cut_links.clear()

    # Progress

    def advance(self, seconds: float) -> None:
        """Lets time pass, and ticks everyone."""
        self.now += seconds
        for name in sorted(self.replicas):
            self._carry_out(name, self.replicas[name].tick(self.clock(name)))
        self.check_invariants()

    def deliver(self, position: int, duplicate: bool = False) -> None:
        """Delivers one packet under way; `duplicate` leaves a duplicate."""
        if not self.packets:
            return
        at = position % len(self.packets)
        packet = self.packets[at] if duplicate else self.packets.pop(at)
        replica = self.replicas.get(packet.dst)
        if replica is None or frozenset((packet.src, packet.dst)) in self.cut_links:
            return
        effects = replica.step(packet.src, packet.body, self.clock(packet.dst))
        self._carry_out(packet.dst, effects)
        self.check_invariants()

    def drop(self, position: int) -> None:
        """Loses one packet."""
        if self.packets:
            self.packets.pop(position % len(self.packets))

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Lets time pass while the network delivers everything in order."""
        end = self.now + seconds
        while self.now < end:
            self.advance(step)
            for _ in range(len(self.packets) * 4):
                self.deliver(0)

    def leader(self) -> str | None:
        """Returns a replica that holds the leader's lease, or None."""
        for name, replica in sorted(self.replicas.items()):
            if replica.holds_lease(self.clock(name)):
                return name
        return None

    def propose(self, name: str) -> bool:
        """Proposes a new command at a replica."""
        replica = self.replicas.get(name)
        if replica is None:
            return False
        self.proposed += 1
        data = str(self.proposed).encode()
        verdict, _, effects = replica.propose(data, self.clock(name))
        self._carry_out(name, effects)
        self.check_invariants()
        return verdict is ProposalVerdict.ACCEPTED

    def change(self, name: str, action: str, target: str, address: str = "") -> ProposalVerdict:
        """Changes the group at a replica; without an address, the target's name is its address."""
        replica = self.replicas[name]
        now = self.clock(name)
        match action:
            case "add":
                verdict, _, effects = replica.add_learner(target, address or target, now)
            case "promote":
                verdict, _, effects = replica.promote(target, now)
            case _:
                verdict, _, effects = replica.remove(target, now)
        self._carry_out(name, effects)
        return verdict

    def compact(self, name: str) -> None:
        """Takes a snapshot at a replica."""
        replica = self.replicas.get(name)
        if replica is not None:
            state = b",".join(self.states[name])
            self._carry_out(name, replica.compact(state, self.clock(name)))

    def _carry_out(self, name: str, effects: list[Effect]) -> None:
        disk = self.disks[name]
        for effect in effects:
            match effect:
                case Persist() | SaveSnapshot():
                    disk.pending.append(effect)
                    if self.synced:
                        disk.sync()
                case Send(to=to, body=body):
                    self.packets.append(Packet(name, to, body))
                case Apply(entry=entry):
                    self.states[name].append(entry.data)
                    if self.replicas[name].role is Role.LEADER:
                        self.acknowledged = max(self.acknowledged, entry.index)
                case Restore(state=state):
                    self.states[name] = _decode(state)

    # Promises

    def check_invariants(self) -> None:
        """Checks what must always hold."""
        for name, replica in self.replicas.items():
            if replica.role is Role.LEADER:
                known = self.leaders.setdefault(replica.term, name)
                assert known == name, f"two leaders in term {replica.term}: {known}, {name}"
                self._check_complete(name, replica)
            self._check_committed(name, replica)
        lease_holders = [
            name for name, item in self.replicas.items() if item.holds_lease(self.clock(name))
        ]
        assert len(lease_holders) <= 1, f"two lease holders: {lease_holders}"
        for name in lease_holders:
            applied = self.replicas[name].applied
            assert applied >= self.acknowledged, f"stale read at {name}: {applied}"

    def _check_committed(self, name: str, replica: Replica) -> None:
        first = replica.log.snapshot.index + 1
        for index in range(max(first, replica.commit - 64), replica.commit + 1):
            entry = replica.log.get(index)
            self.commit_terms.setdefault(index, replica.term)
            known = self.committed.setdefault(index, (entry.term, entry.data))
            assert known == (entry.term, entry.data), f"committed entry {index} differs at {name}"

    def _check_complete(self, name: str, replica: Replica) -> None:
        for index, (term, _) in self.committed.items():
            later = self.commit_terms[index] >= replica.term
            if later or index <= replica.log.snapshot.index:
                continue
            found = replica.log.term_at(index)
            assert found == term, f"leader {name} of term {replica.term} lacks entry {index}"

    def check_states(self) -> None:
        """Checks that the states are prefixes of the committed commands."""
        commands = [
            data
            for index, (_, data) in sorted(self.committed.items())
            if data and not self._is_members(index)
        ]
        for name, state in self.states.items():
            assert state == commands[: len(state)], f"state of {name} is no prefix"

    def _is_members(self, index: int) -> bool:
        for replica in self.replicas.values():
            entry = replica.log.get(index)
            if entry is not None:
                return entry.kind == EntryKind.MEMBERS
        return not self.committed[index][1].isdigit()


def _decode(state: bytes) -> list[bytes]:
    return state.split(b",") if state else []
