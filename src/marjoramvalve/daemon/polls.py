"""Configuration polls: to the relay of the failure domain, or to the controllers."""

from dataclasses import dataclass

import msgspec

from marjoramvalve.gateway import Context
from marjoramvalve.membership import Publisher, UpdateResult, relay_of
from marjoramvalve.wire.messages import Alive, Member, Poll, PollResponse

RELAY_PATIENCE = 2
ALIVE_S = 3.0


@dataclass(frozen=True, slots=True)
class _Asked:
    nonce: int
    at: float


@dataclass(slots=True)
class _Below:
    poll: Poll
    at: float


class Poller:
    """Keeps the configuration view of this instance current, and serves those below a relay."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._publisher = Publisher(context.view)
        self._asked: list[_Asked] = []
        self._nonce = context.incarnation
        self._unanswered = 0
        self._turn = 0
        self._below: dict[str, _Below] = {}
        self.leaving = False

    # Asking

    def poll(self, member: Member, settled: int, suspects: tuple[str, ...]) -> None:
        """Sends one poll."""
        now = self._context.clock()
        self._nonce += 1
        view = self._context.view
        alive, relayed = self._relayed(now)
        body = Poll(
            member=member,
            version=view.poll_version,
            epoch=view.roster.epoch,
            settled_epoch=settled,
            nonce=self._nonce,
            suspects=suspects,
            leaving=self.leaving,
            alive=alive,
            relayed=relayed,
        )
        self._asked = [*self._asked[-16:], _Asked(self._nonce, now)]
        self._unanswered += 1
        self._context.send_stream(self._target(), body)

    def _target(self) -> str:
        view = self._context.view
        cfg = self._context.cfg
        relay = relay_of(view.roster, cfg.domain)
        behind_relay = relay is not None and relay.name != cfg.instance
        if behind_relay and self._unanswered <= RELAY_PATIENCE:
            return relay.peer
        if view.leader and self._unanswered <= RELAY_PATIENCE:
            return view.leader
        known = sorted({**cfg.controllers, **view.controllers}.values())
        self._turn += 1
        return known[self._turn % len(known)]

    def take(self, body: PollResponse) -> UpdateResult:
        """Takes in an answer or a push."""
        asked = next((item for item in self._asked if item.nonce == body.nonce), None)
        if asked is not None and body.current:
            self._unanswered = 0
        elif asked is not None and body.leader:
            self._context.view.leader = body.leader
            self._unanswered = min(self._unanswered, RELAY_PATIENCE)
        return self._context.view.apply_update(body, asked.at if asked else None)

    # Relaying

    def on_poll(self, poll: Poll) -> None:
        """Answers a poll of an instance in the same failure domain, where this one is relay."""
        now = self._context.clock()
        view = self._context.view
        self._below[poll.member.name] = _Below(poll, now)
        if not self._context.is_current():
            unknown = PollResponse(
                poll.nonce, False, 0.0, 0, "", 0, leader="", controllers=view.controllers
            )
            self._context.send_stream(poll.member.peer, unknown)
            return
        age = now - view.confirmed_at
        answer = self._publisher.answer(poll, now, age, view.leader, view.controllers)
        self._context.send_stream(poll.member.peer, answer)

    def push(self) -> None:
        """Sends what has changed to the instances below this relay."""
        view = self._context.view
        now = self._context.clock()
        for _, address, body in self._publisher.pushes(now, view.leader, view.controllers):
            self._context.send_stream(address, body)

    def _relayed(self, now: float) -> tuple[tuple[Alive, ...], tuple[Poll, ...]]:
        """Returns what was heard from below: names of unchanged members, polls of the others."""
        members = {item.name: item for item in self._context.view.roster.members}
        alive = []
        changed = []
        for name, item in list(self._below.items()):
            if now > item.at + ALIVE_S:
                del self._below[name]
                continue
            poll = item.poll
            if members.get(name) == poll.member and not poll.leaving:
                alive.append(Alive(name, now - item.at, poll.settled_epoch, poll.suspects))
            else:
                changed.append(msgspec.structs.replace(poll, alive=(), relayed=()))
        return tuple(alive), tuple(changed)
