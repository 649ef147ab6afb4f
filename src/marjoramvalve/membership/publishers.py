"""Answers to polls, at the leader and at relays, and pushes to instances that polled recently."""

from dataclasses import dataclass
from typing import Protocol

from marjoramvalve.wire.messages import FullDocument, PatchRecord, Poll, PollResponse, Roster

MAX_DELTAS = 64
SUBSCRIPTION_S = 10.0


class ConfigSource(Protocol):
    """Configuration and roster that a publisher sends."""

    version: int
    digest: str
    roster: Roster

    def deltas(self, version: int) -> tuple[PatchRecord, ...] | None:
        """Returns the patches after `version`, or None if not all of them are kept."""

    def whole(self) -> FullDocument:
        """Returns the whole document with its version."""


@dataclass(slots=True)
class _Subscriber:
    address: str
    version: int
    epoch: int
    polled_at: float


class Publisher:
    """Builds answers that contain only what the polling instance does not have yet."""

    def __init__(self, source: ConfigSource) -> None:
        self._source = source
        self._subscribers: dict[str, _Subscriber] = {}

    def answer(
        self, poll: Poll, now: float, age_s: float, leader: str, controllers: dict[str, str]
    ) -> PollResponse:
        """Returns the answer to a poll and subscribes its sender for `SUBSCRIPTION_S` seconds."""
        member = poll.member
        self._subscribers[member.name] = _Subscriber(member.peer, poll.version, poll.epoch, now)
        return self._build(poll.nonce, poll.version, poll.epoch, age_s, leader, controllers)

    def pushes(
        self, now: float, leader: str, controllers: dict[str, str]
    ) -> list[tuple[str, str, PollResponse]]:
        """Returns (name, address, update) for each subscriber that is behind.

        Drops expired subscriptions and assumes that the others receive their update.
        """
        out = []
        for name, item in list(self._subscribers.items()):
            if now > item.polled_at + SUBSCRIPTION_S:
                del self._subscribers[name]
                continue
            source = self._source
            if (item.version, item.epoch) == (source.version, source.roster.epoch):
                continue
            out.append(
                (
                    name,
                    item.address,
                    self._build(0, item.version, item.epoch, 0.0, leader, controllers),
                )
            )
            item.version, item.epoch = source.version, source.roster.epoch
        return out

    def _build(
        self,
        nonce: int,
        version: int,
        epoch: int,
        age_s: float,
        leader: str,
        controllers: dict[str, str],
    ) -> PollResponse:
        source = self._source
        deltas = source.deltas(version)
        needs_whole = deltas is None or len(deltas) > MAX_DELTAS
        return PollResponse(
            nonce=nonce,
            current=True,
            age_s=age_s,
            version=source.version,
            digest=source.digest,
            epoch=source.roster.epoch,
            deltas=() if needs_whole else deltas,
            full_document=source.whole() if needs_whole else None,
            roster=source.roster if epoch != source.roster.epoch else None,
            leader=leader,
            controllers=controllers,
        )
