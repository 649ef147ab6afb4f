"""Configuration polls to the relay of the failure domain or to the controllers."""

from dataclasses import dataclass

import msgspec

from marjoramvalve.gateway import Context
from marjoramvalve.membership import Publisher, UpdateResult, relay_of
from marjoramvalve.wire.messages import Alive, Member, Poll, PollResponse

MAX_UNANSWERED_POLLS = 2
DOWNSTREAM_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class _SentPoll:
    nonce: int
    at: float


@dataclass(slots=True)
class _DownstreamPoll:
    poll: Poll
    at: float


class Poller:
    """Polls for the configuration; as a relay, also answers polls from its failure domain."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._publisher = Publisher(context.view)
        self._sent_polls: list[_SentPoll] = []
        self._nonce = context.incarnation
        self._unanswered = 0
        self._controller_index = 0
        self._downstream_polls: dict[str, _DownstreamPoll] = {}
        self.leaving = False

    # Polling

    def poll(self, member: Member, settled: int, suspects: tuple[str, ...]) -> None:
        """Sends a poll.

        `settled` is the settled placement epoch, and `suspects` are the instances whose slot owners
        do not answer.
        """
        now = self._context.clock()
        self._nonce += 1
        view = self._context.view
        alive, relayed = self._downstream_status(now)
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
        self._sent_polls = [*self._sent_polls[-16:], _SentPoll(self._nonce, now)]
        self._unanswered += 1
        self._context.send_stream(self._poll_address(), body)

    def _poll_address(self) -> str:
        view = self._context.view
        cfg = self._context.cfg
        relay = relay_of(view.roster, cfg.domain)
        behind_relay = relay is not None and relay.name != cfg.instance
        if behind_relay and self._unanswered <= MAX_UNANSWERED_POLLS:
            return relay.peer
        if view.leader and self._unanswered <= MAX_UNANSWERED_POLLS:
            return view.leader
        addresses = sorted({**cfg.controllers, **view.controllers}.values())
        self._controller_index += 1
        return addresses[self._controller_index % len(addresses)]

    def apply_response(self, body: PollResponse) -> UpdateResult:
        """Applies a response to a poll or a pushed update."""
        sent_poll = next((item for item in self._sent_polls if item.nonce == body.nonce), None)
        if sent_poll is not None and body.current:
            self._unanswered = 0
        elif sent_poll is not None and body.leader:
            self._context.view.leader = body.leader
            self._unanswered = min(self._unanswered, MAX_UNANSWERED_POLLS)
        return self._context.view.apply_update(body, sent_poll.at if sent_poll else None)

    # Relaying

    def on_poll(self, poll: Poll) -> None:
        """Answers a poll as the relay of the failure domain."""
        now = self._context.clock()
        view = self._context.view
        self._downstream_polls[poll.member.name] = _DownstreamPoll(poll, now)
        if not self._context.is_current():
            stale_response = PollResponse(
                poll.nonce, False, 0.0, 0, "", 0, leader="", controllers=view.controllers
            )
            self._context.send_stream(poll.member.peer, stale_response)
            return
        age = now - view.confirmed_at
        response = self._publisher.answer(poll, now, age, view.leader, view.controllers)
        self._context.send_stream(poll.member.peer, response)

    def push_changes(self) -> None:
        """Sends configuration changes to the instances that poll this relay."""
        view = self._context.view
        now = self._context.clock()
        for _, address, body in self._publisher.pushes(now, view.leader, view.controllers):
            self._context.send_stream(address, body)

    def _downstream_status(self, now: float) -> tuple[tuple[Alive, ...], tuple[Poll, ...]]:
        """Returns the status of the instances that poll this relay.

        Members that are unchanged in the roster are listed as alive; for others the poll itself is
        passed on.
        """
        members = {item.name: item for item in self._context.view.roster.members}
        alive = []
        changed = []
        for name, item in list(self._downstream_polls.items()):
            if now > item.at + DOWNSTREAM_TIMEOUT_S:
                del self._downstream_polls[name]
                continue
            poll = item.poll
            if members.get(name) == poll.member and not poll.leaving:
                alive.append(Alive(name, now - item.at, poll.settled_epoch, poll.suspects))
            else:
                changed.append(msgspec.structs.replace(poll, alive=(), relayed=()))
        return tuple(alive), tuple(changed)
