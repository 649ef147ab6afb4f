"""Keeper of idempotency records at this instance, with hand-over on changes of placement."""

import structlog

from marjoramvalve.gateway import Context
from marjoramvalve.idempotency import HandOverState, Keeper
from marjoramvalve.membership import keepers
from marjoramvalve.wire.messages import (
    HandOver,
    HandOverAck,
    KeeperBeginRequest,
    KeeperFinishRequest,
)

EXPIRE_INTERVAL_S = 60.0

log = structlog.get_logger("keeper")


class KeeperHost:
    """Keeps records and hands them over."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.keeper = Keeper()
        self._hand_over = HandOverState()
        self._peers: dict[str, str] = {}
        self._last_expiry_at = 0.0

    def set_roster(self) -> None:
        """Begins a hand-over where the placement has changed."""
        roster = self._context.view.roster
        if roster.placement_epoch == self._hand_over.placement_epoch:
            return
        self._peers = {item.name: item.peer for item in roster.members}
        others = tuple(name for name in self._peers if name != self._context.cfg.instance)
        self._hand_over.begin(
            roster.placement_epoch,
            others,
            self.keeper.records(),
            lambda scope: tuple(item.name for item in keepers(roster, scope)),
        )
        self.tick()

    def settled_epoch(self) -> int:
        """Returns the placement epoch settled at this instance."""
        return self._hand_over.settled_epoch()

    def is_handed_over(self) -> bool:
        """Tells whether everything kept here was handed over."""
        return self._hand_over.is_acknowledged()

    def is_ready(self) -> bool:
        """Tells whether requests may be started here."""
        roster = self._context.view.roster
        current = self._hand_over.placement_epoch == roster.placement_epoch
        return current and self._hand_over.has_received_all() and self._context.is_current()

    def on_begin(self, address: str, body: KeeperBeginRequest) -> None:
        """Answers a request to start."""
        epoch = self._context.view.roster.placement_epoch
        self._context.send(address, self.keeper.begin(body, epoch, self.is_ready()))

    def on_finish(self, address: str, body: KeeperFinishRequest) -> None:
        """Stores an answer."""
        self._context.send(address, self.keeper.finish(body))

    def on_hand_over(self, src: str, address: str, body: HandOver) -> None:
        """Takes in records; acknowledged only once they are here."""
        self.keeper.merge(body.records)
        self._hand_over.record_part(src, body)
        self._context.send(address, HandOverAck(body.placement_epoch, body.part))

    def on_hand_over_ack(self, src: str, body: HandOverAck) -> None:
        """Notes an acknowledgement."""
        self._hand_over.record_acknowledgement(src, body.placement_epoch, body.part)

    def tick(self) -> None:
        """Sends what is due and drops old records."""
        now = self._context.clock()
        for name, part in self._hand_over.due_parts(now):
            address = self._peers.get(name)
            if address is not None:
                self._context.send(address, part)
        if now >= self._last_expiry_at + EXPIRE_INTERVAL_S:
            self._last_expiry_at = now
            retention = self._context.view.document.policy.retention_s
            expired = self.keeper.expire(self._context.wall(), retention)
            if expired:
                log.info("keeper.expired", records=expired)
