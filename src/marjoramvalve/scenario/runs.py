"""Runs a scenario in a world and judges it."""

import asyncio
import json
from dataclasses import dataclass

from marjoramvalve.gateway import headers as h
from marjoramvalve.model import key_digest
from marjoramvalve.scenario.backends import POISON
from marjoramvalve.scenario.clients import Clients
from marjoramvalve.scenario.deployments import Deployment
from marjoramvalve.scenario.loops import VirtualLoop
from marjoramvalve.scenario.metrics import RunMetrics
from marjoramvalve.scenario.scripts import Action, Expectation, Script
from marjoramvalve.scenario.simulations import INNER, Simulation
from marjoramvalve.scenario.traces import ExpectedLimits, InvariantChecker, Trace, Violation

POISON_TRIES = 8
POLICY_RETRIES = 2


@dataclass(frozen=True, slots=True)
class UnmetExpectation:
    """An expectation that was not met."""

    expectation: Expectation
    actual: float


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """What came of a run."""

    metrics: RunMetrics
    trace: Trace
    violations: list[Violation]
    unmet: list[UnmetExpectation]
    measured: list[tuple[Expectation, float]]


def customer_names(deployment: Deployment) -> list[str]:
    """Returns the names of the customers."""
    return [f"shed-{number + 1}" for number in range(len(deployment.customers))]


class ScenarioRun:
    """One run of a scenario."""

    def __init__(self, deployment: Deployment, script: Script, seed: int, simulation_class) -> None:
        self.deployment = deployment
        self.script = script
        self.seed = seed
        self.simulation = simulation_class(deployment, seed)
        names = customer_names(deployment)
        self.keys = {name: f"mvk_{name}" for name in names}
        base = deployment.capacity()
        self.rates = {
            name: (script.rate_factor * base * share, script.rate_factor * base * share)
            for name, share in zip(names, deployment.customers, strict=True)
        }
        self.clients = Clients(self.simulation, self.keys, script.load * base, seed)
        self._tasks: list[asyncio.Task] = []

    def _document(self) -> dict:
        routes = {}
        for entry in self.deployment.entries:
            routes[entry.route] = {
                "service": entry.service,
                "path": f"/{entry.route}",
                "priority": entry.priority,
                "repeatable": entry.repeatable,
                "deadline_ms": self.deployment.deadline_ms,
            }
        for service in self.deployment.services:
            routes[f"inner-{service.name}"] = {
                "service": service.name,
                "path": INNER + service.name,
                "priority": "high",
                "deadline_ms": self.deployment.deadline_ms,
            }
        return {
            "customers": {
                name: {"rate": rate, "burst": burst} for name, (rate, burst) in self.rates.items()
            },
            "keys": {key_digest(key): {"customer": name} for name, key in self.keys.items()},
            "routes": routes,
            "policy": {"chain_retries": POLICY_RETRIES},
        }

    async def go(self) -> ScenarioResult:
        """Runs the scenario."""
        simulation = self.simulation
        await simulation.start()
        await self._patch(self._document())
        version = simulation.trace.accepted[-1][1]
        await simulation.until(
            lambda: all(item.core.view.version >= version for item in simulation.instances.values())
        )
        began = simulation.loop.time()
        self.clients.start()
        for step in self.script.steps:
            await asyncio.sleep(max(0.0, began + step.at - simulation.loop.time()))
            await self._act(step.action)
        await asyncio.sleep(max(0.0, began + self.script.duration_s - simulation.loop.time()))
        await self.clients.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await simulation.close()
        return self._judge(began)

    async def _patch(self, tree: dict) -> None:
        for _ in range(100):
            verdict = await self.simulation.patch(json.dumps(tree).encode())
            if verdict is not None:
                assert verdict.accepted, verdict
                return
            await asyncio.sleep(0.1)

    def _spawn(self, coro) -> None:
        self._tasks.append(asyncio.create_task(coro))

    async def _act(self, action: Action) -> None:
        simulation = self.simulation
        match action:
            case Action("load", (share,)):
                self.clients.demand.rate = share * self.deployment.capacity()
            case Action("clients", (manner,)):
                self.clients.demand.hard = manner == "hard"
            case Action("customer_factor", (name, factor)):
                self.clients.factors[name] = factor
            case Action("slows", (kind, name, factor)):
                for backend in self._backends(kind, name):
                    backend.slow = factor
            case Action("state", (kind, name, state)):
                for backend in self._backends(kind, name):
                    backend.failing = state == "fails"
            case Action("crashes", (name, seconds)):
                self._spawn(self._crash(name, seconds))
            case Action("cold", (name,)):
                for backend in self._backends("service", name):
                    backend.crash()
                    backend.start_anew()
            case Action("drains", (name,)):
                simulation.drain(name)
            case Action("poison", (name,)):
                self._spawn(self._poison(name))
            case Action("withdraw", (name,)):
                self._spawn(self._withdraw(name))
            case Action("patch_rate", (name, rate, burst)):
                old_rate, old_burst = self.rates[name]
                self.rates[name] = (max(rate, old_rate), max(burst, old_burst))
                self._spawn(self._patch({"customers": {name: {"rate": rate, "burst": burst}}}))
            case _:
                await self._act_on_places(action)

    async def _act_on_places(self, action: Action) -> None:
        simulation = self.simulation
        now = simulation.loop.time()
        match action:
            case Action("killed", (name,)):
                simulation.kill(name)
            case Action("restarts", (name,)):
                simulation.trace.unreachable.append((now, now + 3, name))
                await simulation.restart(name)
            case Action("stops", (name,)):
                self._spawn(simulation.stop(name))
            case Action("rack", (name,)):
                simulation.kill(name)
                for backend in simulation.instances[name].beside:
                    backend.crash()
            case Action("cut_domains", (first, second)):
                simulation.cuts.add(frozenset((first, second)))
                self._excuse(now)
            case Action("cut_instance", (name,)):
                simulation.cuts |= {frozenset((name, other)) for other in simulation.instances}
                self._excuse(now)
            case Action("heal", ()):
                simulation.cuts.clear()
                self._excuse(now, True)
            case _:
                raise AssertionError(f"unknown action {action}")

    def _excuse(self, now: float, healed: bool = False) -> None:
        """Notes the instances that a cut keeps from configuration."""
        spans = self.simulation.trace.unreachable
        if healed:
            spans[:] = [(a, min(b, now), name) for a, b, name in spans]
            return
        cut = {name for pair in self.simulation.cuts for name in pair}
        for name, instance in self.simulation.instances.items():
            if name in cut or instance.domain in cut:
                spans.append((now, float("inf"), name))

    def _backends(self, kind: str, name: str) -> list:
        found = self.simulation.backends.values()
        if kind == "upstream":
            return [item for item in found if item.name == name]
        return [item for item in found if item.service.name == name]

    async def _crash(self, name: str, seconds: float) -> None:
        backend = self.simulation.backends[name]
        backend.crash()
        await asyncio.sleep(seconds)
        backend.start_anew()

    async def _poison(self, customer: str) -> None:
        entry = next(item for item in self.deployment.entries if item.repeatable)
        watch = asyncio.create_task(self._revive())
        for _ in range(POISON_TRIES):
            await self.clients.call(customer, entry, {POISON: "1", h.PRIORITY: "low"})
            await asyncio.sleep(0.2)
        await asyncio.sleep(5)
        watch.cancel()

    async def _revive(self) -> None:
        """Restarts crashed upstreams, as their platform would."""
        while True:
            await asyncio.sleep(2.0)
            for backend in self.simulation.backends.values():
                if not backend.alive:
                    backend.start_anew()

    async def _withdraw(self, name: str) -> None:
        await self._patch({"keys": {key_digest(self.keys[name]): None}})
        self.simulation.trace.withdrawn_keys[self.keys[name]] = self.simulation.loop.time()

    # Judging

    def _judge(self, began: float) -> ScenarioResult:
        trace = self.simulation.trace
        offered = self.clients.offered
        figures = RunMetrics(self.deployment, trace, offered, began, self.rates)
        expected = ExpectedLimits(
            POLICY_RETRIES,
            self._calls_below(),
            self.rates,
            {key: name for name, key in self.keys.items()},
        )
        broken = InvariantChecker(trace, expected).check()
        measured = [(item, self._measure(figures, item)) for item in self.script.expectations]
        missed = [
            UnmetExpectation(item, figure) for item, figure in measured if not item.holds(figure)
        ]
        return ScenarioResult(figures, trace, broken, missed, measured)

    def _calls_below(self) -> dict[str, int]:
        """Returns the most calls to each service that one root call makes without retries."""
        most: dict[str, int] = {}
        for entry in self.deployment.entries:
            counts: dict[str, int] = {}
            self._count(entry.service, counts)
            for name, count in counts.items():
                most[name] = max(most.get(name, 0), count)
        return most

    def _count(self, name: str, counts: dict[str, int]) -> None:
        counts[name] = counts.get(name, 0) + 1
        for below in self.deployment.service(name).calls:
            self._count(below, counts)

    def _measure(self, figures: RunMetrics, item: Expectation) -> float:
        end = min(item.end, self.script.duration_s)
        match item.measure:
            case "goodput":
                return figures.goodput(item.begin, end)
            case "recovery":
                return figures.recovery(item.begin, end)
            case "worst":
                return figures.worst_customer(item.begin, end)
            case "success":
                return figures.success(item.argument, item.begin, end)
            case "wrongful":
                return figures.wrongful_refusals()
            case _:
                orders: dict[str, int] = {}
                for ran in self.simulation.trace.runs:
                    if ran.idempotency_key:
                        orders[ran.idempotency_key] = orders.get(ran.idempotency_key, 0) + 1
                return max(orders.values(), default=0)


async def _run(
    deployment: Deployment, script: Script, seed: int, simulation_class
) -> ScenarioResult:
    return await ScenarioRun(deployment, script, seed, simulation_class).go()


def run_scenario(
    deployment: Deployment,
    script: Script,
    seed: int,
    simulation_class: type[Simulation] = Simulation,
) -> ScenarioResult:
    """Runs a scenario on virtual time; equal arguments give equal traces."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_run(deployment, script, seed, simulation_class))
