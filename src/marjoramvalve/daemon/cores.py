"""The core of an instance: all its components except sockets and HTTP servers."""

import asyncio
import random
from collections.abc import Callable

import structlog

from marjoramvalve.controller import Controller
from marjoramvalve.daemon.buckets import BucketHost
from marjoramvalve.daemon.keepers import KeeperHost
from marjoramvalve.daemon.polls import Poller
from marjoramvalve.daemon.slots import SlotHost
from marjoramvalve.gateway import (
    Context,
    Forwarder,
    Gateway,
    IdempotencyClient,
    RateClient,
    SlotClient,
)
from marjoramvalve.membership import ConfigView, LocalUpstreams, UpdateResult
from marjoramvalve.retries import TokenSigner
from marjoramvalve.settings import Settings
from marjoramvalve.telemetry import Counters, Tracing
from marjoramvalve.wire import Envelope, Message
from marjoramvalve.wire import messages as m

TICK_S = 0.05
IDLE_TICK_S = 0.2
STOP_POLL_S = 0.05

log = structlog.get_logger("node")


class NodeCore:
    """Connects the components of an instance and dispatches messages to them.

    `cast` and `send` carry messages to other instances; messages to the instance itself are
    dispatched locally.
    """

    def __init__(
        self,
        cfg: Settings,
        secret: bytes,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
        cast: Callable[[str, Message], None],
        send: Callable[[str, Message], None],
        forwarder: Forwarder,
        tracing: Tracing,
    ) -> None:
        self.cfg = cfg
        self.view = ConfigView()
        self.counters = Counters()
        self._cast_remote = cast
        self._send_remote = send
        self.context = Context(
            cfg=cfg,
            incarnation=int(wall() * 1000),
            clock=clock,
            wall=wall,
            rng=rng,
            view=self.view,
            counters=self.counters,
            send_datagram=self._cast,
            send_stream=self._send,
        )
        self.upstreams = LocalUpstreams(cfg.upstream_heartbeat)
        self.slots = SlotClient(self.context)
        self.rates = RateClient(self.context)
        self.once = IdempotencyClient(self.context)
        self.gateway = Gateway(
            self.context, TokenSigner(secret), self.slots, self.rates, self.once, tracing, forwarder
        )
        self.slot_host = SlotHost(self.context, self.upstreams)
        self.bucket_host = BucketHost(self.context)
        self.keeper_host = KeeperHost(self.context)
        self.poller = Poller(self.context)
        self.controller: Controller | None = None
        self._tasks: list[asyncio.Task] = []
        self._announced: tuple = ()
        self._revision = 0
        self._last_poll_at = -1e18

    async def start_core(self) -> None:
        """Starts the periodic tasks."""
        if self.controller is not None:
            await self.controller.start()
        await self.slots.start()
        self._tasks = [asyncio.create_task(self._run())]
        self._tasks += [self.controller.task] if self.controller else []

    async def wait_for_failure(self) -> None:
        """Returns once a periodic task has ended, which only an invariant violation causes."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                log.error("node.failed", exc_info=task.exception())

    async def leave(self, deadline: float) -> None:
        """Drains the local upstreams, leaves the roster and hands over idempotency records.

        Waits until the roster no longer lists this instance, no local slots are held and all
        records are acknowledged, or until `deadline` on the monotonic clock in seconds.
        """
        for item in self.upstreams.all():
            self.upstreams.drain(item.info.name)
        self.slot_host.sync()
        self.poller.leaving = True
        self._poll()
        await self.wait_for(self._is_out_of_roster, deadline)
        await self.wait_for(self.keeper_host.is_handed_over, deadline)
        log.info("node.out_of_roster", idle=self._upstreams_idle())

    async def close_core(self) -> None:
        """Stops the periodic tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.slots.close()
        self.rates.close()
        if self.controller is not None:
            await self.controller.close()

    def _is_out_of_roster(self) -> bool:
        names = {item.name for item in self.view.roster.members}
        return self.cfg.instance not in names and self._upstreams_idle()

    def _upstreams_idle(self) -> bool:
        return all(owner.held() == 0 for owner in self.slot_host.owners())

    async def wait_for(self, condition: Callable[[], bool], deadline: float) -> None:
        """Waits until a condition holds, or until a deadline on the monotonic clock in seconds."""
        while not condition() and self.context.clock() < deadline:
            await asyncio.sleep(STOP_POLL_S)

    # Periodic tasks

    async def _run(self) -> None:
        while True:
            self.tick()
            await asyncio.sleep(TICK_S if self._is_busy() else IDLE_TICK_S)

    def _is_busy(self) -> bool:
        is_host_busy = self.slot_host.is_busy() or self.bucket_host.is_busy()
        return is_host_busy or not self.keeper_host.is_handed_over()

    def tick(self) -> None:
        """Runs the periodic work that is due."""
        now = self.context.clock()
        if self.upstreams.announced() != self._announced:
            self.sync_upstreams()
        self.slot_host.tick()
        self.bucket_host.tick()
        self.keeper_host.tick()
        if now >= self._last_poll_at + self.cfg.poll_interval:
            self._poll()

    def sync_upstreams(self) -> None:
        """Applies a change of the local upstreams and reports it to the controllers."""
        self._announced = self.upstreams.announced()
        self._revision += 1
        self.slot_host.sync()
        self._poll()

    def member(self) -> m.Member:
        """Returns the roster entry that this instance reports for itself."""
        cfg = self.cfg
        return m.Member(
            name=cfg.instance,
            domain=cfg.domain,
            region=cfg.region,
            peer=cfg.peer,
            control=cfg.control,
            incarnation=self.context.incarnation,
            upstreams=self._announced,
            revision=self._revision,
        )

    def _poll(self) -> None:
        self._last_poll_at = self.context.clock()
        settled = self.keeper_host.settled_epoch()
        self.poller.poll(self.member(), settled, self.slots.suspects())

    # Messages

    def _cast(self, address: str, body: Message) -> None:
        if address == self.cfg.peer:
            self._dispatch_locally(body)
        else:
            self._cast_remote(address, body)

    def _send(self, address: str, body: Message) -> None:
        if address == self.cfg.peer:
            self._dispatch_locally(body)
        else:
            self._send_remote(address, body)

    def _dispatch_locally(self, body: Message) -> None:
        envelope = Envelope(self.cfg.instance, self.cfg.peer, body)
        asyncio.get_running_loop().call_soon(self.dispatch, envelope)

    def dispatch(self, envelope: Envelope) -> None:
        """Dispatches a message to the component that handles it."""
        body = envelope.body
        match body:
            case m.SlotGrant():
                self.slots.on_grant(body)
            case m.SlotRequest():
                self.slot_host.on_request(envelope.src, envelope.address, body)
            case m.BucketTokenGrant():
                if not self.rates.on_response(body):
                    self.bucket_host.on_borrowed(body)
            case m.BucketTokenRequest():
                self.bucket_host.on_request(envelope.address, body)
            case m.TokenOffer():
                self.bucket_host.on_offer(envelope.address, body)
            case m.TokenTransfer():
                self.bucket_host.on_transfer(body)
            case m.Poll():
                self._on_poll(envelope, body)
            case m.PollResponse():
                self._on_poll_response(body)
            case m.KeeperBeginRequest():
                self.keeper_host.on_begin(envelope.address, body)
            case m.KeeperFinishRequest():
                self.keeper_host.on_finish(envelope.address, body)
            case m.KeeperResponse():
                self.once.on_response(body)
            case m.HandOver():
                self.keeper_host.on_hand_over(envelope.src, envelope.address, body)
            case m.HandOverAck():
                self.keeper_host.on_hand_over_ack(envelope.src, body)
            case m.HeldSlotsQuery():
                self.context.send_datagram(envelope.address, self.slots.on_held_query(body))
            case m.HeldSlotsReport():
                self.slot_host.on_report(envelope.src, body)
            case m.Quarantine():
                now = self.context.clock()
                self.gateway.quarantine.merge(body.fingerprint, body.crashes, body.ttl_s, now)
            case _:
                if self.controller is not None:
                    self.controller.on_message(envelope)

    def _on_poll(self, envelope: Envelope, body: m.Poll) -> None:
        if self.controller is not None and self.controller.is_leader():
            self.controller.on_poll(body, envelope.src, self.context.clock())
        elif envelope.src == self.cfg.instance:
            if self.controller is not None:
                self.controller.on_poll(body, envelope.src, self.context.clock())
        else:
            self.poller.on_poll(body)

    def _on_poll_response(self, body: m.PollResponse) -> None:
        previous_epoch = self.view.roster.epoch
        result = self.poller.apply_response(body)
        match result:
            case UpdateResult.CHANGED:
                self._apply_view(previous_epoch)
            case UpdateResult.GAP:
                self._apply_view(previous_epoch)
                self._poll()

    def _apply_view(self, roster_epoch_before: int) -> None:
        self.gateway.set_document()
        if self.view.roster.epoch != roster_epoch_before:
            self.slots.set_roster()
            self.slot_host.set_roster()
            self.keeper_host.set_roster()
        self.bucket_host.sync()
        self.poller.push_changes()
        log.info("config.changed", version=self.view.version, epoch=self.view.roster.epoch)
