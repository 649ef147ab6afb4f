"""Runs a scenario in a simulation and evaluates its result."""

import asyncio
import json
from dataclasses import dataclass

from marjoramvalve.gateway import headers as h
from marjoramvalve.model import key_digest
from marjoramvalve.scenario.backends import POISON_HEADER
from marjoramvalve.scenario.clients import Clients
from marjoramvalve.scenario.deployments import Deployment
from marjoramvalve.scenario.loops import VirtualLoop
from marjoramvalve.scenario.metrics import RunMetrics
from marjoramvalve.scenario.scripts import Action, Expectation, Script
from marjoramvalve.scenario.simulations import SUB_CALL_PREFIX, Simulation
from marjoramvalve.scenario.traces import ExpectedLimits, InvariantChecker, Trace, Violation

POISON_REQUESTS = 8
CHAIN_RETRIES = 2


@dataclass(frozen=True, slots=True)
class UnmetExpectation:
    """An expectation that was not met, with the measured value."""

    expectation: Expectation
    actual: float


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Result of a scenario run.

    `violations` lists violated invariants, `unmet` the expectations that failed, and `measured` the
    value of every expectation.
    """

    metrics: RunMetrics
    trace: Trace
    violations: list[Violation]
    unmet: list[UnmetExpectation]
    measured: list[tuple[Expectation, float]]


def customer_names(deployment: Deployment) -> list[str]:
    """Returns the customer names of a deployment, in the order of its load shares."""
    return [f"shed-{number + 1}" for number in range(len(deployment.customers))]


class ScenarioRun:
    """Runs a scenario: applies its steps to a simulation and measures the outcome."""

    def __init__(self, deployment: Deployment, script: Script, seed: int, simulation_class) -> None:
        self.deployment = deployment
        self.script = script
        self.seed = seed
        self.simulation = simulation_class(deployment, seed)
        names = customer_names(deployment)
        self.keys = {name: f"mvk_{name}" for name in names}
        capacity = deployment.capacity()
        self.rates = {
            name: (script.rate_factor * capacity * share, script.rate_factor * capacity * share)
            for name, share in zip(names, deployment.customers, strict=True)
        }
        self.clients = Clients(self.simulation, self.keys, script.load * capacity, seed)
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
                "path": SUB_CALL_PREFIX + service.name,
                "priority": "high",
                "deadline_ms": self.deployment.deadline_ms,
            }
        return {
            "customers": {
                name: {"rate": rate, "burst": burst} for name, (rate, burst) in self.rates.items()
            },
            "keys": {key_digest(key): {"customer": name} for name, key in self.keys.items()},
            "routes": routes,
            "policy": {"chain_retries": CHAIN_RETRIES},
        }

    async def run(self) -> ScenarioResult:
        """Runs the scenario to its end and evaluates it."""
        simulation = self.simulation
        await simulation.start()
        await self._patch(self._document())
        version = simulation.trace.accepted[-1][1]
        await simulation.wait_until(
            lambda: all(item.core.view.version >= version for item in simulation.instances.values())
        )
        started_at = simulation.loop.time()
        self.clients.start()
        for step in self.script.steps:
            await asyncio.sleep(max(0.0, started_at + step.at - simulation.loop.time()))
            await self._apply(step.action)
        await asyncio.sleep(max(0.0, started_at + self.script.duration_s - simulation.loop.time()))
        await self.clients.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await simulation.close()
        return self._evaluate(started_at)

    async def _patch(self, patch: dict) -> None:
        for _ in range(100):
            verdict = await self.simulation.patch(json.dumps(patch).encode())
            if verdict is not None:
                assert verdict.accepted, verdict
                return
            await asyncio.sleep(0.1)

    def _spawn(self, coro) -> None:
        self._tasks.append(asyncio.create_task(coro))

    async def _apply(self, action: Action) -> None:
        simulation = self.simulation
        match action:
            case Action("load", (share,)):
                self.clients.behavior.rate = share * self.deployment.capacity()
            case Action("clients", (retry_mode,)):
                self.clients.behavior.retries_hard = retry_mode == "hard"
            case Action("customer_factor", (name, factor)):
                self.clients.load_factors[name] = factor
            case Action("slows", (kind, name, factor)):
                for backend in self._matching_backends(kind, name):
                    backend.slowdown = factor
            case Action("state", (kind, name, state)):
                for backend in self._matching_backends(kind, name):
                    backend.failing = state == "fails"
            case Action("crashes", (name, restart_delay_s)):
                self._spawn(self._crash_and_restart(name, restart_delay_s))
            case Action("cold", (name,)):
                for backend in self._matching_backends("service", name):
                    backend.crash()
                    backend.restart()
            case Action("drains", (name,)):
                simulation.drain(name)
            case Action("poison", (name,)):
                self._spawn(self._send_poison(name))
            case Action("withdraw", (name,)):
                self._spawn(self._withdraw_key(name))
            case Action("patch_rate", (name, rate, burst)):
                old_rate, old_burst = self.rates[name]
                self.rates[name] = (max(rate, old_rate), max(burst, old_burst))
                self._spawn(self._patch({"customers": {name: {"rate": rate, "burst": burst}}}))
            case _:
                await self._apply_to_instances(action)

    async def _apply_to_instances(self, action: Action) -> None:
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
                for backend in simulation.instances[name].local_backends:
                    backend.crash()
            case Action("cut_domains", (first, second)):
                simulation.partitions.add(frozenset((first, second)))
                self._record_unreachable(now)
            case Action("cut_instance", (name,)):
                simulation.partitions |= {
                    frozenset((name, other)) for other in simulation.instances
                }
                self._record_unreachable(now)
            case Action("heal", ()):
                simulation.partitions.clear()
                self._record_unreachable(now, True)
            case _:
                raise AssertionError(f"unknown action {action}")

    def _record_unreachable(self, now: float, is_healed: bool = False) -> None:
        """Records which instances a partition may cut off from configuration updates."""
        unreachable = self.simulation.trace.unreachable
        if is_healed:
            unreachable[:] = [(a, min(b, now), name) for a, b, name in unreachable]
            return
        cut = {name for pair in self.simulation.partitions for name in pair}
        for name, instance in self.simulation.instances.items():
            if name in cut or instance.domain in cut:
                unreachable.append((now, float("inf"), name))

    def _matching_backends(self, kind: str, name: str) -> list:
        matching = self.simulation.backends.values()
        if kind == "upstream":
            return [item for item in matching if item.name == name]
        return [item for item in matching if item.service.name == name]

    async def _crash_and_restart(self, name: str, restart_delay_s: float) -> None:
        backend = self.simulation.backends[name]
        backend.crash()
        await asyncio.sleep(restart_delay_s)
        backend.restart()

    async def _send_poison(self, customer: str) -> None:
        entry = next(item for item in self.deployment.entries if item.repeatable)
        restarter = asyncio.create_task(self._restart_crashed_backends())
        for _ in range(POISON_REQUESTS):
            await self.clients.call(customer, entry, {POISON_HEADER: "1", h.PRIORITY: "low"})
            await asyncio.sleep(0.2)
        await asyncio.sleep(5)
        restarter.cancel()

    async def _restart_crashed_backends(self) -> None:
        """Restarts crashed upstreams every two seconds, as their platform would."""
        while True:
            await asyncio.sleep(2.0)
            for backend in self.simulation.backends.values():
                if not backend.alive:
                    backend.restart()

    async def _withdraw_key(self, name: str) -> None:
        await self._patch({"keys": {key_digest(self.keys[name]): None}})
        self.simulation.trace.withdrawn_keys[self.keys[name]] = self.simulation.loop.time()

    # Evaluation

    def _evaluate(self, started_at: float) -> ScenarioResult:
        trace = self.simulation.trace
        offered_calls = self.clients.offered_calls
        metrics = RunMetrics(self.deployment, trace, offered_calls, started_at, self.rates)
        expected = ExpectedLimits(
            CHAIN_RETRIES,
            self._max_calls(),
            self.rates,
            {key: name for name, key in self.keys.items()},
        )
        violations = InvariantChecker(trace, expected).check()
        measured = [(item, self._measure(metrics, item)) for item in self.script.expectations]
        unmet = [
            UnmetExpectation(item, actual)
            for item, actual in measured
            if not item.is_met_by(actual)
        ]
        return ScenarioResult(metrics, trace, violations, unmet, measured)

    def _max_calls(self) -> dict[str, int]:
        """Returns the maximum number of calls to each service per root call, without retries."""
        max_calls: dict[str, int] = {}
        for entry in self.deployment.entries:
            counts: dict[str, int] = {}
            self._count_calls(entry.service, counts)
            for name, count in counts.items():
                max_calls[name] = max(max_calls.get(name, 0), count)
        return max_calls

    def _count_calls(self, name: str, counts: dict[str, int]) -> None:
        counts[name] = counts.get(name, 0) + 1
        for callee in self.deployment.service(name).calls:
            self._count_calls(callee, counts)

    def _measure(self, metrics: RunMetrics, item: Expectation) -> float:
        end = min(item.end, self.script.duration_s)
        match item.measure:
            case "goodput":
                return metrics.goodput(item.begin, end)
            case "recovery":
                return metrics.recovery(item.begin, end)
            case "worst":
                return metrics.worst_customer(item.begin, end)
            case "success":
                return metrics.success(item.argument, item.begin, end)
            case "wrongful":
                return metrics.wrongful_refusals()
            case _:
                runs_by_key: dict[str, int] = {}
                for started in self.simulation.trace.runs:
                    if started.idempotency_key:
                        runs_by_key[started.idempotency_key] = (
                            runs_by_key.get(started.idempotency_key, 0) + 1
                        )
                return max(runs_by_key.values(), default=0)


async def _run(
    deployment: Deployment, script: Script, seed: int, simulation_class
) -> ScenarioResult:
    return await ScenarioRun(deployment, script, seed, simulation_class).run()


def run_scenario(
    deployment: Deployment,
    script: Script,
    seed: int,
    simulation_class: type[Simulation] = Simulation,
) -> ScenarioResult:
    """Runs a scenario on virtual time; the same arguments produce the same trace."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_run(deployment, script, seed, simulation_class))
