"""A running instance: its core, links to other instances and HTTP servers."""

import asyncio
import random
import time

import structlog

from marjoramvalve.controller import ControllerOptions, StartFailure, open_controller
from marjoramvalve.daemon.control import ControlServer
from marjoramvalve.daemon.cores import NodeCore
from marjoramvalve.gateway import CallerLimits, CallerServer, Forwarder
from marjoramvalve.links import split_address
from marjoramvalve.settings import Settings
from marjoramvalve.telemetry import set_up_metrics, set_up_traces
from marjoramvalve.wire import Codec, DatagramLink, Envelope, Message, StreamLink

CLOSING_GRACE_S = 1.0

log = structlog.get_logger("node")


class Node(NodeCore):
    """An instance; it runs a controller if it has a data folder."""

    def __init__(self, cfg: Settings) -> None:
        secret = cfg.fleet_secret_file.read_bytes().strip()
        rng = random.Random()
        codec = Codec(secret, cfg.instance, cfg.peer)
        self.streams = StreamLink(codec, cfg.peer, self._receive)
        self.datagrams = DatagramLink(codec, cfg.peer, self._receive)
        self.tracing = set_up_traces(
            cfg.trace_exporter, cfg.otlp_endpoint, cfg.trace_ratio, rng, cfg.instance
        )
        super().__init__(
            cfg,
            secret,
            time.monotonic,
            time.time,
            rng,
            self._cast_datagram,
            self.streams.send,
            Forwarder(cfg.buffer_bytes),
            self.tracing,
        )
        self._rng = rng
        self._stop_metrics = set_up_metrics(cfg.trace_exporter, cfg.otlp_endpoint, self.counters)
        self._control_server = ControlServer(self)
        self._caller_server: CallerServer | None = None

    def _receive(self, envelope: Envelope) -> None:
        self.dispatch(envelope)

    def _cast_datagram(self, address: str, body: Message) -> None:
        if not self.datagrams.send(address, body):
            self.streams.send(address, body)

    async def start(self) -> StartFailure | None:
        """Starts the instance; returns the failure if the controller could not start."""
        cfg = self.cfg
        if cfg.data_dir is not None:
            controller = open_controller(
                self._controller_options(),
                self.streams,
                self.context.clock,
                self.context.wall,
                self._rng,
            )
            if isinstance(controller, StartFailure):
                return controller
            self.controller = controller
        await self.streams.start()
        await self.datagrams.start()
        await self.gateway.start()
        await self._control_server.start()
        await self._listen()
        await self.start_core()
        log.info("node.started", listen=cfg.listen, control=cfg.control, peer=cfg.peer)
        return None

    def _controller_options(self) -> ControllerOptions:
        cfg = self.cfg
        return ControllerOptions(
            name=cfg.instance,
            peer_address=cfg.peer,
            data_folder=cfg.data_dir,
            initial_voters=cfg.controllers,
            join=cfg.join == "yes",
            election_timeout_s=cfg.election_timeout,
            clock_drift=cfg.clock_drift,
            snapshot_entries=cfg.snapshot_entries,
            remove_after_s=cfg.remove_after,
        )

    async def _listen(self) -> None:
        cfg = self.cfg
        limits = CallerLimits(cfg.max_header_bytes, cfg.read_timeout, cfg.write_timeout)
        self._caller_server = CallerServer(self.gateway.handle, limits)
        await self._caller_server.start(*split_address(cfg.listen))

    async def stop(self) -> None:
        """Stops gracefully: leaves the roster, hands over records and finishes running calls."""
        log.info("node.stopping", running=self.gateway.running)
        deadline = self.context.clock() + self.cfg.drain_timeout
        await self.leave(deadline)
        await self._close_caller_connections()
        await self.wait_for(lambda: self.gateway.running == 0, deadline)
        await self.once.close()
        log.info("node.left", running=self.gateway.running)

    async def _close_caller_connections(self) -> None:
        """Stops listening, asks callers to close kept-alive connections, then closes idle ones."""
        self._caller_server.stop_listening()
        self.gateway.closing = True
        await asyncio.sleep(CLOSING_GRACE_S)
        self._caller_server.close_idle()
        self.gateway.stopping = True

    async def close(self) -> None:
        """Closes all servers and links immediately."""
        if self._caller_server is not None:
            await self._caller_server.close()
        await self._control_server.close()
        await self.close_core()
        await self.gateway.close()
        await self.datagrams.close()
        await self.streams.close()
        self._stop_metrics()
        self.tracing.stop()
