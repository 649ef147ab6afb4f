"""The leader's decisions on the roster: who joins, who leaves, when losses are settled."""

from marjoramvalve.controller.commands import Command, JoinRoster, LeaveRoster, SettleRoster
from marjoramvalve.controller.states import ControllerState
from marjoramvalve.membership import FailureDetector
from marjoramvalve.wire.messages import Alive, Member, Poll

REPEAT_S = 1.0


class RosterKeeper:
    """Collects what polls say and turns it into commands, one change of placement at a time."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self.reset()

    def reset(self) -> None:
        """Forgets everything; called when leadership changes."""
        self._joins: dict[str, Member] = {}
        self._leaves: set[str] = set()
        self._settled: dict[str, int] = {}
        self._nonces: dict[str, int] = {}
        self._proposed_at = -1e18
        self._proposed_epoch = -1

    def note(self, poll: Poll, watch: FailureDetector, now: float) -> None:
        """Takes in a poll."""
        name = poll.member.name
        watch.record_heartbeat(name, now, poll.suspects)
        if poll.nonce < self._nonces.get(name, 0):
            return  # A relay passed on what the instance has since said anew.
        self._nonces[name] = poll.nonce
        self._settled[name] = poll.settled_epoch
        if poll.leaving:
            self._leaves.add(name)
            self._joins.pop(name, None)
            return
        self._leaves.discard(name)
        self._joins[name] = poll.member

    def note_alive(self, alive: Alive, watch: FailureDetector, now: float) -> None:
        """Takes in what a relay tells of a member that has not changed."""
        watch.record_heartbeat(alive.name, now - alive.silent_s, alive.suspects)
        self._settled[alive.name] = alive.settled_epoch

    def due(self, watch: FailureDetector, now: float, wall: float) -> list[Command]:
        """Returns the commands to propose now."""
        epoch = self._state.roster.epoch
        if epoch == self._proposed_epoch and now < self._proposed_at + REPEAT_S:
            return []
        commands = self._changes(watch, now, wall)
        if commands:
            self._proposed_at = now
            self._proposed_epoch = epoch
        return commands

    def _changes(self, watch: FailureDetector, now: float, wall: float) -> list[Command]:
        members = {item.name: item for item in self._state.roster.members}
        gone = watch.find_failed(tuple(members), now)
        gone = tuple(name for name in gone if name not in self._joins or name in members)
        if gone:
            for name in gone:
                self._joins.pop(name, None)
                self._settled.pop(name, None)
            return [LeaveRoster(gone, wall)]
        if self._state.losses:
            settled = min((self._settled.get(name, -1) for name in members), default=0)
            if settled >= self._state.roster.placement_epoch:
                return [SettleRoster(settled)]
        commands = self._joins_due(members, wall)
        if commands:
            return commands
        return self._leaves_due(members, wall)

    def _joins_due(self, members: dict[str, Member], wall: float) -> list[Command]:
        commands: list[Command] = []
        for name, member in list(self._joins.items()):
            known = members.get(name)
            if known is not None and _stamp(known) >= _stamp(member):
                del self._joins[name]
                continue
            commands.append(JoinRoster(member, wall))
        return commands

    def _leaves_due(self, members: dict[str, Member], wall: float) -> list[Command]:
        self._leaves &= members.keys()
        if not self._leaves:
            return []
        domain = members[min(self._leaves)].domain
        if any(loss.domain != domain for loss in self._state.losses):
            return []  # The records of an earlier loss must be in two places again first.
        names = tuple(sorted(name for name in self._leaves if members[name].domain == domain))
        return [LeaveRoster(names, wall)]


def _stamp(member: Member) -> tuple[int, int]:
    return member.incarnation, member.revision
