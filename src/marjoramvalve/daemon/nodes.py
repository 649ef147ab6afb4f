"""One running instance: links, decisions and HTTP servers put together."""

import asyncio
import random
import time
from collections.abc import Callable

import structlog
from aiohttp import web

from marjoramvalve.controller import Controller, ControllerOptions, StartFailure, open_controller
from marjoramvalve.daemon.buckets import BucketHost
from marjoramvalve.daemon.control import ControlServer
from marjoramvalve.daemon.keeping import KeeperHost
from marjoramvalve.daemon.polls import Poller
from marjoramvalve.daemon.slots import SlotHost
from marjoramvalve.gateway import Context, Gateway, OnceClient, RateClient, SlotClient
from marjoramvalve.membership import ConfigView, LocalUpstreams, Taken
from marjoramvalve.retries import TokenMint
from marjoramvalve.settings import Settings
from marjoramvalve.telemetry import Counters, set_up_metrics, set_up_traces
from marjoramvalve.wire import Codec, DatagramLink, Envelope, Message, StreamLink
from marjoramvalve.wire import messages as m
from marjoramvalve.wire.datagrams import split_address

TICK_S = 0.02
STOP_POLL_S = 0.05
KEEPALIVE_S = 75.0
CLOSING_GRACE_S = 1.0

log = structlog.get_logger("node")


class Node:
    """An instance, with a controller where it has a data folder."""

    def __init__(
        self,
        cfg: Settings,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        self._rng = rng or random.Random()
        secret = cfg.fleet_secret_file.read_bytes().strip()
        codec = Codec(secret, cfg.instance, cfg.peer)
        self.streams = StreamLink(codec, cfg.peer, self._dispatch)
        self.datagrams = DatagramLink(codec, cfg.peer, self._dispatch)
        self.view = ConfigView()
        self.counters = Counters()
        self.context = Context(
            cfg=cfg,
            incarnation=int(wall() * 1000),
            clock=clock,
            wall=wall,
            rng=self._rng,
            view=self.view,
            counters=self.counters,
            cast=self._cast,
            send=self._send,
        )
        self.upstreams = LocalUpstreams(cfg.upstream_heartbeat)
        self.slots = SlotClient(self.context)
        self.rates = RateClient(self.context)
        self.once = OnceClient(self.context)
        self.tracing = set_up_traces(
            cfg.trace_exporter, cfg.otlp_endpoint, cfg.trace_ratio, self._rng, cfg.instance
        )
        self._stop_metrics = set_up_metrics(cfg.trace_exporter, cfg.otlp_endpoint, self.counters)
        self.gateway = Gateway(
            self.context, TokenMint(secret), self.slots, self.rates, self.once, self.tracing
        )
        self.slot_host = SlotHost(self.context, self.upstreams)
        self.bucket_host = BucketHost(self.context)
        self.keeper_host = KeeperHost(self.context)
        self.poller = Poller(self.context)
        self.controller: Controller | None = None
        self._control = ControlServer(self)
        self._server: web.Server | None = None
        self._site: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._announced: tuple = ()
        self._revision = 0
        self._polled_at = -1e18

    # Life

    async def start(self) -> StartFailure | None:
        """Starts everything; returns why not, where the controller may not start."""
        cfg = self.cfg
        if cfg.data_dir is not None:
            opened = open_controller(
                self._controller_options(),
                self.streams,
                self.context.clock,
                self.context.wall,
                self._rng,
            )
            if isinstance(opened, StartFailure):
                return opened
            self.controller = opened
        await self.streams.start()
        await self.datagrams.start()
        if self.controller is not None:
            await self.controller.start()
        await self.gateway.start()
        await self.slots.start()
        await self._control.start()
        await self._listen()
        self._tasks = [asyncio.create_task(self._run())]
        self._tasks += [self.controller.task] if self.controller else []
        log.info("node.started", listen=cfg.listen, control=cfg.control, peer=cfg.peer)
        return None

    async def failed(self) -> None:
        """Returns once a periodic task has ended, which only a broken invariant does."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                log.error("node.failed", exc_info=task.exception())

    def _controller_options(self) -> ControllerOptions:
        cfg = self.cfg
        return ControllerOptions(
            name=cfg.instance,
            peer=cfg.peer,
            folder=cfg.data_dir,
            first=cfg.controllers,
            join=cfg.join == "yes",
            election_s=cfg.election_timeout,
            drift=cfg.clock_drift,
            snapshot_entries=cfg.snapshot_entries,
            remove_after_s=cfg.remove_after,
        )

    async def _listen(self) -> None:
        cfg = self.cfg
        self._server = web.Server(
            self.gateway.handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=cfg.max_header_bytes,
            max_field_size=cfg.max_header_bytes,
            access_log=None,
            auto_decompress=False,
        )
        host, port = split_address(cfg.listen)
        loop = asyncio.get_running_loop()
        self._site = await loop.create_server(self._server, host, port, backlog=1024)

    async def stop(self) -> None:
        """Stops as planned: takes nothing new, finishes what runs, hands over, leaves."""
        log.info("node.stopping", running=self.gateway.running)
        deadline = self.context.clock() + self.cfg.drain_timeout
        for item in self.upstreams.all():
            self.upstreams.drain(item.info.name)
        self.slot_host.sync()
        self.poller.leaving = True
        self._poll()
        await self._wait_for(self._has_left, deadline)
        log.info("node.out_of_roster", held=self._upstreams_idle())
        await self._close_to_callers()
        log.info("node.closed_to_callers", running=self.gateway.running)
        await self._wait_for(lambda: self.gateway.running == 0, deadline)
        await self.once.close()
        await self._wait_for(self.keeper_host.has_sent, deadline)
        log.info("node.left", running=self.gateway.running)

    async def _close_to_callers(self) -> None:
        """Takes no new connections, asks the callers on kept ones to go, then closes idle ones."""
        self._site.close()
        self.gateway.closing = True
        await asyncio.sleep(CLOSING_GRACE_S)
        self._server.pre_shutdown()
        self.gateway.stopping = True

    def _has_left(self) -> bool:
        names = {item.name for item in self.view.roster.members}
        return self.cfg.instance not in names and self._upstreams_idle()

    def _upstreams_idle(self) -> bool:
        return all(owner.held() == 0 for owner in self.slot_host.owners())

    async def _wait_for(self, condition: Callable[[], bool], deadline: float) -> None:
        while not condition() and self.context.clock() < deadline:
            await asyncio.sleep(STOP_POLL_S)

    async def close(self) -> None:
        """Closes everything at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._site is not None:
            self._site.close()
            await self._server.shutdown(1.0)
        await self._control.close()
        await self.slots.close()
        self.rates.close()
        await self.gateway.close()
        if self.controller is not None:
            await self.controller.close()
        await self.datagrams.close()
        await self.streams.close()
        self._stop_metrics()
        self.tracing.stop()

    # Periodic work

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Does what is due."""
        now = self.context.clock()
        if self.upstreams.announced() != self._announced:
            self.sync_upstreams()
        self.slot_host.tick()
        self.bucket_host.tick()
        self.keeper_host.tick()
        if now >= self._polled_at + self.cfg.poll_interval:
            self._poll()

    def sync_upstreams(self) -> None:
        """Takes up a change of the upstreams beside this instance, and tells the controllers."""
        self._announced = self.upstreams.announced()
        self._revision += 1
        self.slot_host.sync()
        self._poll()

    def member(self) -> m.Member:
        """Returns what this instance says of itself."""
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
        self._polled_at = self.context.clock()
        settled = self.keeper_host.settled_epoch()
        self.poller.poll(self.member(), settled, self.slots.suspects())

    # Messages

    def _cast(self, address: str, body: Message) -> None:
        if address == self.cfg.peer:
            self._loop_back(body)
        elif not self.datagrams.send(address, body):
            self.streams.send(address, body)

    def _send(self, address: str, body: Message) -> None:
        if address == self.cfg.peer:
            self._loop_back(body)
        else:
            self.streams.send(address, body)

    def _loop_back(self, body: Message) -> None:
        envelope = Envelope(self.cfg.instance, self.cfg.peer, body)
        asyncio.get_running_loop().call_soon(self._dispatch, envelope)

    def _dispatch(self, envelope: Envelope) -> None:
        body = envelope.body
        match body:
            case m.SlotGrant():
                self.slots.on_grant(body)
            case m.SlotAsk():
                self.slot_host.on_ask(envelope.src, envelope.address, body)
            case m.LotAnswer():
                if not self.rates.on_answer(body):
                    self.bucket_host.on_loan(body)
            case m.LotRequest():
                self.bucket_host.on_request(envelope.address, body)
            case m.TokenTransfer():
                self.bucket_host.on_transfer(body)
            case m.Poll():
                self._on_poll(envelope, body)
            case m.Confirmed():
                self._on_confirmed(body)
            case m.KeeperBegin():
                self.keeper_host.on_begin(envelope.address, body)
            case m.KeeperFinish():
                self.keeper_host.on_finish(envelope.address, body)
            case m.KeeperAnswer():
                self.once.on_answer(body)
            case m.HandOver():
                self.keeper_host.on_hand_over(envelope.src, envelope.address, body)
            case m.HandOverDone():
                self.keeper_host.on_hand_over_done(envelope.src, body)
            case m.HeldQuery():
                self.context.cast(envelope.address, self.slots.on_held_query(body))
            case m.HeldReport():
                self.slot_host.on_report(envelope.src, body)
            case m.Quarantine():
                now = self.context.clock()
                self.gateway.quarantine.merge(body.fingerprint, body.crashes, body.ttl_s, now)
            case _:
                if self.controller is not None:
                    self.controller.on_message(envelope)

    def _on_poll(self, envelope: Envelope, body: m.Poll) -> None:
        if self.controller is not None and self.controller.leads():
            self.controller.on_poll(body, envelope.src, self.context.clock())
        elif envelope.src == self.cfg.instance:
            if self.controller is not None:
                self.controller.on_poll(body, envelope.src, self.context.clock())
        else:
            self.poller.on_poll(body)

    def _on_confirmed(self, body: m.Confirmed) -> None:
        before = self.view.roster.epoch
        taken = self.poller.take(body)
        match taken:
            case Taken.CHANGED:
                self._apply_view(before)
            case Taken.GAP:
                self._apply_view(before)
                self._poll()

    def _apply_view(self, roster_epoch_before: int) -> None:
        self.gateway.set_document()
        if self.view.roster.epoch != roster_epoch_before:
            self.slots.set_roster()
            self.slot_host.set_roster()
            self.keeper_host.set_roster()
        self.bucket_host.sync()
        self.poller.push()
        log.info("config.changed", version=self.view.version, epoch=self.view.roster.epoch)
