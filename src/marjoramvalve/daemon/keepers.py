"""Hosts the keeper of idempotency records and its hand-over when the placement changes."""

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
    """Stores idempotency records and hands them over to the keepers of a new placement."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.keeper = Keeper()
        self._hand_over = HandOverState()
        self._peers: dict[str, str] = {}
        self._last_expiry_at = 0.0

    def set_roster(self) -> None:
        """Starts a hand-over if the placement has changed."""
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
        """Returns the latest placement epoch whose hand-over is complete at this instance."""
        return self._hand_over.settled_epoch()

    def is_handed_over(self) -> bool:
        """Returns whether all parts of the hand-over were acknowledged."""
        return self._hand_over.is_acknowledged()

    def is_ready(self) -> bool:
        """Returns whether requests may be started at this keeper."""
        roster = self._context.view.roster
        current = self._hand_over.placement_epoch == roster.placement_epoch
        return current and self._hand_over.has_received_all() and self._context.is_current()

    def on_begin(self, address: str, body: KeeperBeginRequest) -> None:
        """Handles the start of a request with an idempotency key."""
        epoch = self._context.view.roster.placement_epoch
        self._context.send_stream(address, self.keeper.begin(body, epoch, self.is_ready()))

    def on_finish(self, address: str, body: KeeperFinishRequest) -> None:
        """Handles the end of a request: stores its answer."""
        self._context.send_stream(address, self.keeper.finish(body))

    def on_hand_over(self, src: str, address: str, body: HandOver) -> None:
        """Merges records from another keeper, then acknowledges them."""
        self.keeper.merge(body.records)
        self._hand_over.record_part(src, body)
        self._context.send_stream(address, HandOverAck(body.placement_epoch, body.part))

    def on_hand_over_ack(self, src: str, body: HandOverAck) -> None:
        """Records an acknowledgement of a hand-over part."""
        self._hand_over.record_acknowledgement(src, body.placement_epoch, body.part)

    def tick(self) -> None:
        """Sends hand-over parts that are due and removes expired records."""
        now = self._context.clock()
        for name, part in self._hand_over.due_parts(now):
            address = self._peers.get(name)
            if address is not None:
                self._context.send_stream(address, part)
        if now >= self._last_expiry_at + EXPIRE_INTERVAL_S:
            self._last_expiry_at = now
            retention = self._context.view.document.policy.retention_s
            expired = self.keeper.expire(self._context.wall(), retention)
            if expired:
                log.info("keeper.expired", records=expired)
