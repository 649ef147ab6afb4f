"""Consensus replicas in virtual time, with a faulty network and disks that lose unsynced writes.

The invariants of consensus are checked after every step; a violation raises AssertionError.
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
    """The synced state of one replica, and its writes that are not synced yet."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    pending: list[Persist | SaveSnapshot] = field(default_factory=list)

    def write(self, effect: Persist | SaveSnapshot) -> None:
        """Writes and syncs the content of an effect."""
        self.hard_state = HardState(effect.term, effect.voted_for)
        if isinstance(effect, SaveSnapshot):
            self.snapshot = Snapshot(effect.index, effect.term_at, effect.members, effect.state)
            self.entries = list(effect.entries)
        elif effect.entries:
            self.entries = [entry for entry in self.entries if entry.index < effect.first]
            self.entries.extend(effect.entries)

    def sync(self) -> None:
        """Syncs all pending writes."""
        for effect in self.pending:
            self.write(effect)
        self.pending.clear()


@dataclass(frozen=True, slots=True)
class Packet:
    """A message in transit."""

    src: str
    dst: str
    body: Message


class FakeCluster:
    """Replicas, their disks and the network between them.

    With `synced` false, writes stay pending and are lost in a crash. The `spare` replicas are not
    members of the group at first.
    """

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
        """Returns the time in seconds on a replica's own clock, which drifts."""
        return self.now * self.clock_rates[name]

    # Failures

    def crash(self, name: str) -> None:
        """Crashes a replica, which loses its unsynced writes."""
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
        """Cuts the links between a replica and all others."""
        self.cut_links |= {frozenset((name, other)) for other in self.disks if other != name}

    def heal(self) -> None:
        """Restores all links."""
        self.cut_links.clear()

    # Progress

    def advance(self, seconds: float) -> None:
        """Advances time and ticks every replica."""
        self.now += seconds
        for name in sorted(self.replicas):
            self._carry_out(name, self.replicas[name].tick(self.clock(name)))
        self.check_invariants()

    def deliver(self, position: int, duplicate: bool = False) -> None:
        """Delivers one packet in transit; with `duplicate`, it can be delivered again."""
        if not self.packets:
            return
        index = position % len(self.packets)
        packet = self.packets[index] if duplicate else self.packets.pop(index)
        replica = self.replicas.get(packet.dst)
        if replica is None or frozenset((packet.src, packet.dst)) in self.cut_links:
            return
        effects = replica.step(packet.src, packet.body, self.clock(packet.dst))
        self._carry_out(packet.dst, effects)
        self.check_invariants()

    def drop(self, position: int) -> None:
        """Drops one packet in transit."""
        if self.packets:
            self.packets.pop(position % len(self.packets))

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Advances time in steps while the network delivers all packets in order."""
        end = self.now + seconds
        while self.now < end:
            self.advance(step)
            for _ in range(len(self.packets) * 4):
                self.deliver(0)

    def leader(self) -> str | None:
        """Returns the name of a replica that holds the leader's lease, or None."""
        for name, replica in sorted(self.replicas.items()):
            if replica.holds_lease(self.clock(name)):
                return name
        return None

    def propose(self, name: str) -> bool:
        """Proposes a new command at a replica; tells whether it was accepted."""
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
        """Proposes a membership change at a replica; the address defaults to the target's name."""
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
        """Compacts the log of a replica into a snapshot."""
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

    # Invariants

    def check_invariants(self) -> None:
        """Checks the invariants.

        At most one replica leads in a term, and its log holds all entries committed in earlier
        terms. Committed entries never change. At most one replica holds the lease, and it has
        applied every acknowledged command.
        """
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
        """Checks that each replica's state is a prefix of the committed commands."""
        commands = [
            data
            for index, (_, data) in sorted(self.committed.items())
            if data and not self._is_members(index)
        ]
        for name, state in self.states.items():
            assert (
                state == commands[: len(state)]
            ), f"state of {name} is not a prefix of the committed commands"

    def _is_members(self, index: int) -> bool:
        for replica in self.replicas.values():
            entry = replica.log.get(index)
            if entry is not None:
                return entry.kind == EntryKind.MEMBERS
        return not self.committed[index][1].isdigit()


def _decode(state: bytes) -> list[bytes]:
    return state.split(b",") if state else []
