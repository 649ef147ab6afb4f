"""A world on virtual time: instances with the real decision code, upstreams, a network."""

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
    found_folder,
    open_controller,
)
from marjoramvalve.daemon.cores import NodeCore
from marjoramvalve.gateway import CallerRequest, Response
from marjoramvalve.gateway import headers as h
from marjoramvalve.rates import BucketOwners
from marjoramvalve.retries import TokenMint
from marjoramvalve.scenario.backends import Backend, MemoryForwarder
from marjoramvalve.scenario.deployments import Deployment
from marjoramvalve.scenario.loops import run_killable
from marjoramvalve.scenario.requests import memory_request
from marjoramvalve.scenario.traces import Drawn, Trace
from marjoramvalve.settings import Settings, load_settings
from marjoramvalve.telemetry import Tracing
from marjoramvalve.wire import Envelope, Message

EPOCH_S = 1_700_000_000.0
SECRET = b"scenario secret of the fleet"
HEARTBEAT_S = 0.5
CONTROLLERS = 3
SAMPLE_S = 0.25
CLOCK_SKEW_S = 0.05
INNER = "/_inner/"


class _CountingOwners(BucketOwners):
    """Notes every token drawn by a node."""

    def __init__(self, fence_s: float, drift: float, trace: Trace) -> None:
        super().__init__(fence_s, drift)
        self._trace = trace

    def request(self, body, address, now):
        """Answers a request and notes what was drawn."""
        answer = super().request(body, address, now)
        if answer.granted and not body.deficit:  # With a deficit, tokens move between owners.
            self._trace.draws.append(
                Drawn(asyncio.get_running_loop().time(), body.customer, answer.granted)
            )
        return answer

    def take_back(self, customer, tokens, now):
        """Takes tokens back and notes that they were not used."""
        super().take_back(customer, tokens, now)
        self._trace.draws.append(Drawn(asyncio.get_running_loop().time(), customer, -tokens))


@dataclass(slots=True)
class Instance:
    """An instance in the world, its core and the calls it serves."""

    name: str
    domain: str
    peer: str
    core: NodeCore
    alive: bool = True
    calls: set[asyncio.Task] = field(default_factory=set)
    beside: list[Backend] = field(default_factory=list)
    serves: bool = True


@dataclass(frozen=True, slots=True)
class _Link:
    """Carries consensus messages of one instance; stands in for the stream link."""

    send_from: Callable[[str, Message, str], bool]

    def send(self, address: str, body: Message, dst: str = "") -> bool:
        """Sends a message."""
        return self.send_from(address, body, dst)


class World:
    """Instances, upstreams and the network between them, on the running virtual loop."""

    def __init__(self, deployment: Deployment, seed: int, core_class=NodeCore) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.trace = Trace()
        self.instances: dict[str, Instance] = {}
        self.backends: dict[str, Backend] = {}
        self.cuts: set[frozenset[str]] = set()
        self.loss = 0.0
        self._core_class = core_class
        self._by_peer: dict[str, Instance] = {}
        self._by_address: dict[str, Backend] = {}
        self._holder = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task] = []
        self._mint = TokenMint(SECRET)
        self._ports = 0
        self._patches = 0
        self.loop = asyncio.get_running_loop()

    # Building

    async def start(self) -> None:
        """Places upstreams over the failure domains with an instance each, and starts all."""
        plan = []
        for service in self.deployment.services:
            for number in range(service.upstreams):
                plan.append((service, f"{service.name}/{number + 1}"))
        domains = self.deployment.domains
        names = [f"n{number:02d}" for number in range(len(plan))]
        first = {name: self._peer(name) for name in names[:CONTROLLERS]}
        for number, (service, upstream) in enumerate(plan):
            domain = domains[number % len(domains)]
            instance = self._build(names[number], domain, first)
            self._place(upstream, service, instance)
        for instance in self.instances.values():
            await instance.core.start_core()
        self._tasks.append(asyncio.create_task(self._heartbeats()))
        await self.until(self._is_settled)
        self._tasks.append(asyncio.create_task(self._sample()))

    def _peer(self, name: str) -> str:
        return f"10.0.0.{int(name[1:])}:7000"

    def _settings(self, name: str, domain: str, first: dict[str, str], folder: str) -> Settings:
        listed = ",".join(f"{item}@{address}" for item, address in first.items())
        loaded = load_settings(
            {
                "instance": name,
                "domain": domain,
                "listen": "10.0.0.1:80",
                "control": "10.0.0.1:81",
                "peer": self._peer(name),
                "controllers": listed,
                "data_dir": folder,
                "fleet_secret_file": "none",
                "operator_credential_file": "none",
            },
            {},
        )
        return loaded.value

    def _build(self, name: str, domain: str, first: dict[str, str]) -> Instance:
        folder = ""
        if name in first:
            path = Path(self._holder.name) / name
            if not path.exists():
                path.mkdir()
                found_folder(path)
            folder = str(path)
        cfg = self._settings(name, domain, first, folder)
        skew = self.rng.uniform(-CLOCK_SKEW_S, CLOCK_SKEW_S)
        rng = random.Random(self.rng.random())

        def carry(address: str, body: Message, dst: str = "") -> bool:
            return self._carry(cfg.instance, address, body, dst)

        core = self._core_class(
            cfg,
            SECRET,
            self.loop.time,
            lambda: EPOCH_S + self.loop.time() + skew,
            rng,
            carry,
            carry,
            MemoryForwarder(
                self._by_address.get,
                lambda backend: self.delay(cfg.domain, backend.domain),
                lambda backend: self.reaches(cfg.instance, backend.name),
            ),
            Tracing(None, 0.0, rng, lambda: None),
        )
        fence = cfg.config_lease
        core.bucket_host._owners = _CountingOwners(fence, cfg.clock_drift, self.trace)
        if folder:
            core.controller = self._controller(cfg, carry, rng)
        instance = Instance(name, domain, cfg.peer, core)
        self.instances[name] = instance
        self._by_peer[cfg.peer] = instance
        return instance

    def _controller(self, cfg: Settings, carry, rng: random.Random) -> Controller:
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
        opened = open_controller(options, _Link(carry), clock, lambda: EPOCH_S + clock(), rng)
        assert isinstance(opened, Controller), opened
        return opened

    def _place(self, name: str, service, instance: Instance) -> None:
        self._ports += 1
        address = f"10.1.0.{self._ports}:80"
        rng = random.Random(self.rng.random())
        backend = Backend(
            name, address, instance.domain, service, rng, self.trace, self._mint, self.loop.time
        )
        backend.sub_call = lambda below, token: self._sub_call(instance, below, token)
        self.backends[name] = backend
        self._by_address[address] = backend
        instance.beside.append(backend)

    async def _sub_call(self, instance: Instance, service: str, token: str) -> int:
        headers = {h.TOKEN: token}
        answer = await self.call(instance, memory_request("GET", INNER + service, headers))
        return answer.status if answer is not None else 502

    async def close(self) -> None:
        """Ends everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances.values():
            if instance.alive:
                await instance.core.close_core()
        self._holder.cleanup()

    # Network

    def delay(self, first: str, second: str) -> float:
        """Returns the one-way delay between two failure domains, in seconds."""
        same = first == second
        return self.deployment.inner_delay_s if same else self.deployment.domain_delay_s

    def _place_of(self, name: str) -> str:
        if name in self.backends:
            return self.backends[name].domain
        return self.instances[name].domain

    def reaches(self, first: str, second: str) -> bool:
        """Tells whether two parties, named by instance or upstream, reach each other."""
        pairs = (
            frozenset((first, second)),
            frozenset((self._place_of(first), self._place_of(second))),
        )
        return not any(pair in self.cuts for pair in pairs if len(pair) == 2)

    def _carry(self, src: str, address: str, body: Message, dst: str) -> bool:
        target = self._by_peer.get(address)
        source = self.instances[src]
        if target is None or not source.alive or (dst and dst != target.name):
            return True
        if not self.reaches(src, target.name) or self.rng.random() < self.loss:
            return True
        envelope = Envelope(src, source.peer, body)
        delay = self.delay(source.domain, target.domain) * self.rng.uniform(1.0, 1.2)
        self.loop.call_later(delay, self._arrive, target.name, envelope)
        return True

    def _arrive(self, name: str, envelope: Envelope) -> None:
        target = self.instances.get(name)
        if target is not None and target.alive and self.reaches(envelope.src, name):
            target.core.dispatch(envelope)

    # Calls

    async def call(self, instance: Instance, request: CallerRequest) -> Response | None:
        """Has an instance serve a request; None where it ended the connection."""
        if not instance.alive or not instance.serves:
            return None
        return await run_killable(instance.core.gateway.handle(request), instance.calls)

    # Failures

    def kill(self, name: str) -> None:
        """Ends an instance at once; its upstream goes on without it."""
        instance = self.instances[name]
        instance.alive = False
        for task in [*instance.calls, *instance.core._tasks]:
            task.cancel()
        if instance.core.controller is not None:
            instance.core.controller.folder.close()
        instance.core.slots._task.cancel()

    async def restart(self, name: str) -> None:
        """Starts an instance anew in the place of the one that ended."""
        old = self.instances[name]
        first = old.core.cfg.controllers
        instance = self._build(name, old.domain, first)
        instance.beside = old.beside
        for backend in instance.beside:
            backend.sub_call = lambda below, token: self._sub_call(instance, below, token)
        await instance.core.start_core()

    async def stop(self, name: str) -> None:
        """Stops an instance as planned."""
        instance = self.instances[name]
        began = self.loop.time()
        self.trace.stops[name] = (began, began + 60)
        await instance.core.leave(began + 20)
        instance.serves = False
        await instance.core.wait_for(lambda: not instance.calls, began + 20)
        await instance.core.once.close()
        self.trace.stops[name] = (began, self.loop.time())
        instance.alive = False
        await instance.core.close_core()

    def drain(self, name: str) -> None:
        """Lets an upstream announce that it leaves."""
        self.trace.leaving[name] = self.loop.time()
        for instance in self.instances.values():
            if any(item.name == name for item in instance.beside) and instance.alive:
                instance.core.upstreams.drain(name)
                instance.core.sync_upstreams()

    # Operators

    async def patch(self, body: bytes, timeout_s: float = 5.0) -> Verdict | None:
        """Submits a merge patch at the leader against the current version."""
        for instance in self.instances.values():
            controller = instance.core.controller
            if instance.alive and controller is not None and controller.leads():
                self._patches += 1
                base = controller.state.version
                command = SubmitPatch(f"p{self._patches}", base, "merge", body, "", EPOCH_S)
                verdict = await controller.submit(command, timeout_s)
                if verdict is not None and verdict.accepted:
                    self.trace.accepted.append((self.loop.time(), verdict.version))
                return verdict
        return None

    # Time

    async def until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> None:
        """Waits for a condition."""
        end = self.loop.time() + limit_s
        while not condition():
            assert self.loop.time() < end, "condition did not come true"
            await asyncio.sleep(0.05)

    def _is_settled(self) -> bool:
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

    async def _heartbeats(self) -> None:
        while True:
            now = self.loop.time()
            for instance in self.instances.values():
                if not instance.alive:
                    continue
                for backend in instance.beside:
                    if backend.alive:
                        uptime = now - max(0.0, backend.started_at)
                        instance.core.upstreams.announce(backend.info(), now, uptime)
            await asyncio.sleep(HEARTBEAT_S)

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            now = self.loop.time()
            for name, instance in self.instances.items():
                if instance.alive and instance.core.view.is_known:
                    self.trace.versions.append((now, name, instance.core.view.version))
