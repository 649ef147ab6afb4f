"""Roster decisions of the leader: joins, leaves, and when losses are settled."""

from marjoramvalve.controller.commands import Command, JoinRoster, LeaveRoster, SettleRoster
from marjoramvalve.controller.states import ControllerState
from marjoramvalve.membership import FailureDetector
from marjoramvalve.wire.messages import Alive, Member, Poll

REPROPOSE_AFTER_S = 1.0


class RosterPlanner:
    """Collects the content of polls and turns it into commands, one placement change at a time."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self.reset()

    def reset(self) -> None:
        """Discards the collected polls; called when leadership changes."""
        self._pending_joins: dict[str, Member] = {}
        self._pending_leaves: set[str] = set()
        self._settled_epochs: dict[str, int] = {}
        self._last_nonces: dict[str, int] = {}
        self._proposed_at = -1e18
        self._proposed_epoch = -1

    def record_poll(self, poll: Poll, detector: FailureDetector, now: float) -> None:
        """Records a poll that came directly or through a relay."""
        name = poll.member.name
        detector.record_heartbeat(name, now, poll.suspects)
        if poll.nonce < self._last_nonces.get(name, 0):
            return  # A relay forwarded it late; a newer poll has been recorded already.
        self._last_nonces[name] = poll.nonce
        self._settled_epochs[name] = poll.settled_epoch
        if poll.leaving:
            self._pending_leaves.add(name)
            self._pending_joins.pop(name, None)
            return
        self._pending_leaves.discard(name)
        self._pending_joins[name] = poll.member

    def record_alive(self, alive: Alive, detector: FailureDetector, now: float) -> None:
        """Records what a relay reports about a member that has not changed."""
        detector.record_heartbeat(alive.name, now - alive.silent_s, alive.suspects)
        self._settled_epochs[alive.name] = alive.settled_epoch

    def next_commands(self, detector: FailureDetector, now: float, wall: float) -> list[Command]:
        """Returns the commands to propose now.

        While the roster epoch is unchanged, commands are proposed again only after
        REPROPOSE_AFTER_S.
        """
        epoch = self._state.roster.epoch
        if epoch == self._proposed_epoch and now < self._proposed_at + REPROPOSE_AFTER_S:
            return []
        commands = self._required_commands(detector, now, wall)
        if commands:
            self._proposed_at = now
            self._proposed_epoch = epoch
        return commands

    def _required_commands(
        self, detector: FailureDetector, now: float, wall: float
    ) -> list[Command]:
        members = {item.name: item for item in self._state.roster.members}
        expired = detector.find_failed(tuple(members), now)
        expired = tuple(
            name for name in expired if name not in self._pending_joins or name in members
        )
        if expired:
            for name in expired:
                self._pending_joins.pop(name, None)
                self._settled_epochs.pop(name, None)
            return [LeaveRoster(expired, wall)]
        if self._state.losses:
            settled = min((self._settled_epochs.get(name, -1) for name in members), default=0)
            if settled >= self._state.roster.placement_epoch:
                return [SettleRoster(settled)]
        commands = self._join_commands(members, wall)
        if commands:
            return commands
        return self._leave_commands(members, wall)

    def _join_commands(self, members: dict[str, Member], wall: float) -> list[Command]:
        commands: list[Command] = []
        for name, member in list(self._pending_joins.items()):
            current = members.get(name)
            if current is not None and _revision_key(current) >= _revision_key(member):
                del self._pending_joins[name]
                continue
            commands.append(JoinRoster(member, wall))
        return commands

    def _leave_commands(self, members: dict[str, Member], wall: float) -> list[Command]:
        self._pending_leaves &= members.keys()
        if not self._pending_leaves:
            return []
        domain = members[min(self._pending_leaves)].domain
        if any(loss.domain != domain for loss in self._state.losses):
            return []  # The records of an earlier loss must have two copies again first.
        names = tuple(
            sorted(name for name in self._pending_leaves if members[name].domain == domain)
        )
        return [LeaveRoster(names, wall)]


def _revision_key(member: Member) -> tuple[int, int]:
    return member.incarnation, member.revision
