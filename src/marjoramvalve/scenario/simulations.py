"""Simulates a deployment on virtual time: real node cores, modelled upstreams and network."""

import asyncio
import random
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from marjoramvalve.controller import (
    Controller,
    ControllerOptions,
    SubmitPatch,
    Verdict,
    mark_new_group_folder,
    open_controller,
)
from marjoramvalve.daemon.cores import NodeCore
from marjoramvalve.gateway import CallerRequest, Response
from marjoramvalve.gateway import headers as h
from marjoramvalve.rates import BucketOwners
from marjoramvalve.retries import TokenSigner
from marjoramvalve.scenario.backends import Backend, InMemoryForwarder
from marjoramvalve.scenario.deployments import Deployment
from marjoramvalve.scenario.loops import run_in_process
from marjoramvalve.scenario.requests import in_memory_request
from marjoramvalve.scenario.traces import TokensDrawn, Trace
from marjoramvalve.settings import Settings, load_settings
from marjoramvalve.telemetry import Tracing
from marjoramvalve.wire import Envelope, Message

WALL_CLOCK_START_S = 1_700_000_000.0
SECRET = b"scenario secret of the fleet"
HEARTBEAT_INTERVAL_S = 0.5
CONTROLLER_COUNT = 3
SAMPLE_INTERVAL_S = 0.25
CLOCK_SKEW_S = 0.05
SUB_CALL_PREFIX = "/_inner/"


class _RecordingOwners(BucketOwners):
    """Bucket owners that record every token drawn by a node in the trace."""

    def __init__(self, fence_s: float, drift: float, trace: Trace) -> None:
        super().__init__(fence_s, drift)
        self._trace = trace

    def request(self, body, address, now):
        """Answers a token request and records the tokens drawn."""
        response = super().request(body, address, now)
        if response.granted and not body.deficit:  # A deficit moves tokens between owners.
            self._trace.draws.append(
                TokensDrawn(asyncio.get_running_loop().time(), body.customer, response.granted)
            )
        return response

    def return_unused(self, customer, tokens, now):
        """Takes tokens back and records them as a negative draw."""
        super().return_unused(customer, tokens, now)
        self._trace.draws.append(TokensDrawn(asyncio.get_running_loop().time(), customer, -tokens))


@dataclass(slots=True)
class Instance:
    """A simulated instance: its node core, the calls it is serving and its local upstreams."""

    name: str
    domain: str
    peer: str
    core: NodeCore
    alive: bool = True
    calls: set[asyncio.Task] = field(default_factory=set)
    local_backends: list[Backend] = field(default_factory=list)
    accepts_calls: bool = True


@dataclass(frozen=True, slots=True)
class _MessageSender:
    """Sends consensus messages of one instance; stands in for the stream link."""

    send_from: Callable[[str, Message, str], bool]

    def send(self, address: str, body: Message, dst: str = "") -> bool:
        """Sends a message to a peer address."""
        return self.send_from(address, body, dst)


class Simulation:
    """Simulates instances, upstreams and their network on the running virtual event loop."""

    def __init__(self, deployment: Deployment, seed: int, core_class=NodeCore) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.trace = Trace()
        self.instances: dict[str, Instance] = {}
        self.backends: dict[str, Backend] = {}
        self.partitions: set[frozenset[str]] = set()
        self.loss_probability = 0.0
        self._core_class = core_class
        self._by_peer: dict[str, Instance] = {}
        self._by_address: dict[str, Backend] = {}
        self._temp_dir = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task] = []
        self._signer = TokenSigner(SECRET)
        self._port_count = 0
        self._patch_count = 0
        self.loop = asyncio.get_running_loop()

    # Setup and teardown

    async def start(self) -> None:
        """Spreads upstreams over the failure domains, an instance each, and starts everything.

        Returns when membership, configuration and placement have settled.
        """
        placements = []
        for service in self.deployment.services:
            for number in range(service.upstreams):
                placements.append((service, f"{service.name}/{number + 1}"))
        domains = self.deployment.domains
        names = [f"n{number:02d}" for number in range(len(placements))]
        controllers = {name: self._peer(name) for name in names[:CONTROLLER_COUNT]}
        for number, (service, upstream) in enumerate(placements):
            domain = domains[number % len(domains)]
            instance = self._build(names[number], domain, controllers)
            self._add_backend(upstream, service, instance)
        for instance in self.instances.values():
            await instance.core.start_core()
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        await self.wait_until(self._has_converged)
        self._tasks.append(asyncio.create_task(self._sample_versions()))

    def _peer(self, name: str) -> str:
        return f"10.0.0.{int(name[1:])}:7000"

    def _settings(
        self, name: str, domain: str, controllers: dict[str, str], data_dir: str
    ) -> Settings:
        controller_list = ",".join(f"{item}@{address}" for item, address in controllers.items())
        loaded = load_settings(
            {
                "instance": name,
                "domain": domain,
                "listen": "10.0.0.1:80",
                "control": "10.0.0.1:81",
                "peer": self._peer(name),
                "controllers": controller_list,
                "data_dir": data_dir,
                "fleet_secret_file": "none",
                "operator_credential_file": "none",
            },
            {},
        )
        return loaded.value

    def _build(self, name: str, domain: str, controllers: dict[str, str]) -> Instance:
        data_dir = ""
        if name in controllers:
            path = Path(self._temp_dir.name) / name
            if not path.exists():
                path.mkdir()
                mark_new_group_folder(path)
            data_dir = str(path)
        cfg = self._settings(name, domain, controllers, data_dir)
        skew = self.rng.uniform(-CLOCK_SKEW_S, CLOCK_SKEW_S)
        rng = random.Random(self.rng.random())

        def send_message(address: str, body: Message, dst: str = "") -> bool:
            return self._send_message(cfg.instance, address, body, dst)

        core = self._core_class(
            cfg,
            SECRET,
            self.loop.time,
            lambda: WALL_CLOCK_START_S + self.loop.time() + skew,
            rng,
            send_message,
            send_message,
            InMemoryForwarder(
                self._by_address.get,
                lambda backend: self.delay(cfg.domain, backend.domain),
                lambda backend: self.is_reachable(cfg.instance, backend.name),
            ),
            Tracing(None, 0.0, rng, lambda: None),
        )
        fence = cfg.config_lease
        core.bucket_host._owners = _RecordingOwners(fence, cfg.clock_drift, self.trace)
        if data_dir:
            core.controller = self._controller(cfg, send_message, rng)
        instance = Instance(name, domain, cfg.peer, core)
        self.instances[name] = instance
        self._by_peer[cfg.peer] = instance
        return instance

    def _controller(self, cfg: Settings, send_message, rng: random.Random) -> Controller:
        options = ControllerOptions(
            cfg.instance,
            cfg.peer,
            cfg.data_dir,
            cfg.controllers,
            False,
            cfg.election_timeout,
            cfg.clock_drift,
            cfg.snapshot_entries,
            cfg.remove_after,
        )
        clock = self.loop.time
        opened = open_controller(
            options, _MessageSender(send_message), clock, lambda: WALL_CLOCK_START_S + clock(), rng
        )
        assert isinstance(opened, Controller), opened
        return opened

    def _add_backend(self, name: str, service, instance: Instance) -> None:
        self._port_count += 1
        address = f"10.1.0.{self._port_count}:80"
        rng = random.Random(self.rng.random())
        backend = Backend(
            name, address, instance.domain, service, rng, self.trace, self._signer, self.loop.time
        )
        backend.call_service = lambda callee, token: self._call_service(instance, callee, token)
        self.backends[name] = backend
        self._by_address[address] = backend
        instance.local_backends.append(backend)

    async def _call_service(self, instance: Instance, service: str, token: str) -> int:
        headers = {h.TOKEN: token}
        response = await self.call(
            instance, in_memory_request("GET", SUB_CALL_PREFIX + service, headers)
        )
        return response.status if response is not None else 502

    async def close(self) -> None:
        """Stops all instances and background tasks, and deletes the controllers' data."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances.values():
            if instance.alive:
                await instance.core.close_core()
        self._temp_dir.cleanup()

    # Network

    def delay(self, first: str, second: str) -> float:
        """Returns the one-way delay between two failure domains, in seconds."""
        same = first == second
        return (
            self.deployment.intra_domain_delay_s if same else self.deployment.inter_domain_delay_s
        )

    def _domain_of(self, name: str) -> str:
        if name in self.backends:
            return self.backends[name].domain
        return self.instances[name].domain

    def is_reachable(self, first: str, second: str) -> bool:
        """Returns whether two parties, each named by instance or upstream, can reach each other."""
        pairs = (
            frozenset((first, second)),
            frozenset((self._domain_of(first), self._domain_of(second))),
        )
        return not any(pair in self.partitions for pair in pairs if len(pair) == 2)

    def _send_message(self, src: str, address: str, body: Message, dst: str) -> bool:
        target = self._by_peer.get(address)
        source = self.instances[src]
        if target is None or not source.alive or (dst and dst != target.name):
            return True
        if not self.is_reachable(src, target.name) or self.rng.random() < self.loss_probability:
            return True
        envelope = Envelope(src, source.peer, body)
        delay = self.delay(source.domain, target.domain) * self.rng.uniform(1.0, 1.2)
        self.loop.call_later(delay, self._deliver, target.name, envelope)
        return True

    def _deliver(self, name: str, envelope: Envelope) -> None:
        target = self.instances.get(name)
        if target is not None and target.alive and self.is_reachable(envelope.src, name):
            target.core.dispatch(envelope)

    # Calls

    async def call(self, instance: Instance, request: CallerRequest) -> Response | None:
        """Has an instance serve a request; returns None if it closes the connection."""
        if not instance.alive or not instance.accepts_calls:
            return None
        return await run_in_process(instance.core.gateway.handle(request), instance.calls)

    # Failures

    def kill(self, name: str) -> None:
        """Kills an instance at once; its upstreams keep running."""
        instance = self.instances[name]
        instance.alive = False
        for task in [*instance.calls, *instance.core._tasks]:
            task.cancel()
        if instance.core.controller is not None:
            instance.core.controller.folder.close()
        instance.core.slots._task.cancel()

    async def restart(self, name: str) -> None:
        """Starts a new instance in place of a killed one, with the same upstreams."""
        previous = self.instances[name]
        controllers = previous.core.cfg.controllers
        instance = self._build(name, previous.domain, controllers)
        instance.local_backends = previous.local_backends
        for backend in instance.local_backends:
            backend.call_service = lambda callee, token: self._call_service(instance, callee, token)
        await instance.core.start_core()

    async def stop(self, name: str) -> None:
        """Stops an instance gracefully: it leaves, finishes its calls, then closes."""
        instance = self.instances[name]
        started_at = self.loop.time()
        self.trace.stops[name] = (started_at, started_at + 60)
        await instance.core.leave(started_at + 20)
        instance.accepts_calls = False
        await instance.core.wait_for(lambda: not instance.calls, started_at + 20)
        await instance.core.once.close()
        self.trace.stops[name] = (started_at, self.loop.time())
        instance.alive = False
        await instance.core.close_core()

    def drain(self, name: str) -> None:
        """Drains an upstream."""
        self.trace.draining_since[name] = self.loop.time()
        for instance in self.instances.values():
            if any(item.name == name for item in instance.local_backends) and instance.alive:
                instance.core.upstreams.drain(name)
                instance.core.sync_upstreams()

    # Operators

    async def patch(self, body: bytes, timeout_s: float = 5.0) -> Verdict | None:
        """Submits a merge patch to the leader against the current configuration version.

        Returns None if there is no leader or the outcome is unknown.
        """
        for instance in self.instances.values():
            controller = instance.core.controller
            if instance.alive and controller is not None and controller.is_leader():
                self._patch_count += 1
                base = controller.state.version
                command = SubmitPatch(
                    f"p{self._patch_count}", base, "merge", body, "", WALL_CLOCK_START_S
                )
                verdict = await controller.submit(command, timeout_s)
                if verdict is not None and verdict.accepted:
                    self.trace.accepted.append((self.loop.time(), verdict.version))
                return verdict
        return None

    # Time

    async def wait_until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> None:
        """Waits until a condition holds; fails an assertion after `limit_s` virtual seconds."""
        end = self.loop.time() + limit_s
        while not condition():
            assert self.loop.time() < end, "condition did not come true"
            await asyncio.sleep(0.05)

    def _has_converged(self) -> bool:
        count = len(self.instances)
        upstreams = len(self.backends)
        for instance in self.instances.values():
            core = instance.core
            roster = core.view.roster
            if len(roster.members) != count or not core.context.is_current():
                return False
            if sum(len(member.upstreams) for member in roster.members) != upstreams:
                return False
            if core.keeper_host.settled_epoch() != roster.placement_epoch:
                return False
        return True

    async def _send_heartbeats(self) -> None:
        while True:
            now = self.loop.time()
            for instance in self.instances.values():
                if not instance.alive:
                    continue
                for backend in instance.local_backends:
                    if backend.alive:
                        uptime = now - max(0.0, backend.started_at)
                        instance.core.upstreams.announce(backend.info(), now, uptime)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _sample_versions(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now = self.loop.time()
            for name, instance in self.instances.items():
                if instance.alive and instance.core.view.was_confirmed:
                    self.trace.versions.append((now, name, instance.core.view.version))
