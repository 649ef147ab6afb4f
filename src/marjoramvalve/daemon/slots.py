"""Hosts the slot owners of the local upstreams."""

from marjoramvalve.admission import AimdLimit, SlotOwner
from marjoramvalve.gateway import Context
from marjoramvalve.membership import LocalUpstream, LocalUpstreams, UpstreamStatus
from marjoramvalve.wire.messages import HeldSlotsQuery, HeldSlotsReport, SlotGrant, SlotRequest

QUERY_INTERVAL_S = 0.1


class SlotHost:
    """Runs a slot owner for each upstream that announced itself to this instance."""

    def __init__(self, context: Context, upstreams: LocalUpstreams) -> None:
        self._context = context
        self._upstreams = upstreams
        self._owners: dict[str, SlotOwner] = {}
        self._last_query_at = 0.0
        self._started_at = context.clock()

    def owner(self, name: str) -> SlotOwner | None:
        """Returns the slot owner of a local upstream, or None."""
        return self._owners.get(name)

    def owners(self) -> tuple[SlotOwner, ...]:
        """Returns all slot owners."""
        return tuple(self._owners.values())

    def sync(self) -> None:
        """Adds, removes and drains owners to match the local upstreams."""
        now = self._context.clock()
        for item in self._upstreams.all():
            owner = self._owners.get(item.info.name)
            if owner is None:
                self._owners[item.info.name] = self._start(item, now)
            elif owner.info != item.info:
                owner.replace_upstream(item.info, AimdLimit(item.info.slots))
            self._owners[item.info.name].draining = item.status is not UpstreamStatus.UP
        for name in self._owners.keys() - {item.info.name for item in self._upstreams.all()}:
            del self._owners[name]

    def _start(self, item: LocalUpstream, now: float) -> SlotOwner:
        """Starts a slot owner.

        Only an upstream older than this process can still run calls on slots granted by an owner
        from before a restart of this instance; in that case all instances are asked what they hold.
        """
        cfg = self._context.cfg
        view = self._context.view
        predates_instance = item.started_at < self._started_at
        others = tuple(member.name for member in view.roster.members) if predates_instance else ()
        incarnation = int(self._context.wall() * 1000) % 2**40
        return SlotOwner(
            item.info,
            incarnation,
            AimdLimit(item.info.slots),
            cfg.slot_lease,
            cfg.clock_drift,
            others,
            len(view.roster.members),
            view.longest_call_s,
            now,
        )

    def set_roster(self) -> None:
        """Stops waiting for reports of instances that have left the roster."""
        names = {item.name for item in self._context.view.roster.members}
        for owner in self._owners.values():
            for name in owner.unreported():
                if name not in names:
                    owner.forget_instance(name)

    def is_busy(self) -> bool:
        """Returns whether calls wait for a slot or reports of held slots are outstanding."""
        return any(owner.waiting() or owner.unreported() for owner in self._owners.values())

    def tick(self) -> None:
        """Runs the periodic work of every owner and queries instances for held slots."""
        now = self._context.clock()
        for name in self._upstreams.expire(now):
            self._owners[name].draining = True
        for owner in self._owners.values():
            self._send(owner.tick(now))
        if now >= self._last_query_at + QUERY_INTERVAL_S:
            self._last_query_at = now
            self._query()

    def _query(self) -> None:
        peers = {item.name: item.peer for item in self._context.view.roster.members}
        for owner in self._owners.values():
            for name in owner.unreported():
                if name in peers:
                    self._context.send_datagram(
                        peers[name], HeldSlotsQuery(owner.info.name, owner.incarnation)
                    )

    def on_request(self, src: str, address: str, body: SlotRequest) -> None:
        """Handles a slot request; refuses all its waiting calls if the upstream is unknown."""
        owner = self._owners.get(body.upstream)
        if owner is None:
            refused = tuple(wait.wait_id for wait in body.waits)
            grant = SlotGrant(
                body.upstream, body.session, 0, 0, body.seq, (), refused, 0.0, 0, 0.0, True, True, 0
            )
            self._context.send_datagram(address, grant)
            return
        self._send(owner.handle_request(src, address, body, self._context.clock()))

    def on_report(self, src: str, body: HeldSlotsReport) -> None:
        """Handles a report of held slots; ignores one for an earlier owner."""
        owner = self._owners.get(body.upstream)
        if owner is not None and owner.incarnation == body.owner:
            owner.handle_report(src, body, self._context.clock())

    def _send(self, replies) -> None:
        for reply in replies:
            self._context.send_datagram(reply.address, reply.grant)
