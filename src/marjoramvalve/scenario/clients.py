"""Clients: open-loop arrivals of each customer, with polite or hard retries."""

import asyncio
import random
from dataclasses import dataclass

from marjoramvalve.gateway import headers as h
from marjoramvalve.scenario.backends import POISON
from marjoramvalve.scenario.deployments import EntryRoute
from marjoramvalve.scenario.requests import in_memory_request
from marjoramvalve.scenario.simulations import Simulation
from marjoramvalve.scenario.traces import AttemptEnded

HARD_TRIES = 4
POLITE_TRIES = 2
HARD_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0


@dataclass(slots=True)
class Demand:
    """What the clients do at present."""

    rate: float
    tries: int = POLITE_TRIES
    hard: bool = False


class Clients:
    """Clients of every customer."""

    def __init__(
        self, simulation: Simulation, keys: dict[str, str], rate: float, seed: int
    ) -> None:
        self.simulation = simulation
        self.keys = keys
        self.rng = random.Random(seed)
        self.demand = Demand(rate)
        self.factors = dict.fromkeys(keys, 1.0)
        self.offered: list[tuple[float, str, str]] = []
        self._calls = 0
        self._running: set[asyncio.Task] = set()
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts the arrivals."""
        shares = self.simulation.deployment.customers
        for customer, share in zip(self.keys, shares, strict=True):
            self._tasks.append(asyncio.create_task(self._arrive(customer, share)))

    async def close(self) -> None:
        """Ends the arrivals and waits for the calls under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._running:
            await asyncio.wait(self._running, timeout=10)

    async def _arrive(self, customer: str, share: float) -> None:
        loop = self.simulation.loop
        while True:
            rate = self.demand.rate * share * self.factors[customer]
            await asyncio.sleep(self.rng.expovariate(rate))
            entry = self._draw()
            self.offered.append((loop.time(), customer, entry.route))
            task = asyncio.create_task(self.call(customer, entry))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    def _draw(self) -> EntryRoute:
        entries = self.simulation.deployment.entries
        return self.rng.choices(entries, [entry.share for entry in entries])[0]

    async def call(self, customer: str, entry: EntryRoute, extra: dict | None = None) -> int:
        """Makes a call with its retries; returns the last status."""
        self._calls += 1
        number = self._calls
        headers = {h.KEY: self.keys[customer], **(extra or {})}
        if not entry.repeatable:
            headers[h.IDEMPOTENCY_KEY] = f'"order-{number}"'
        method = "GET" if entry.repeatable else "POST"
        tries = HARD_TRIES if self.demand.hard else POLITE_TRIES
        status = 0
        for attempt in range(tries):
            status, wait = await self._attempt(customer, entry, method, headers, number)
            if status not in (0, 429, 502, 503, 504):
                break
            if attempt + 1 < tries:
                pause = HARD_PAUSE_S if self.demand.hard else min(MAX_PAUSE_S, wait or 0.2)
                await asyncio.sleep(pause)
        return status

    async def _attempt(
        self, customer: str, entry: EntryRoute, method: str, headers: dict, number: int
    ) -> tuple[int, float]:
        simulation = self.simulation
        names = [name for name, item in simulation.instances.items() if item.alive and item.serves]
        name = self.rng.choice(names)
        sent_at = simulation.loop.time()
        await asyncio.sleep(simulation.deployment.client_delay_s)
        path = f"/{entry.route}/poison" if POISON in headers else f"/{entry.route}"
        request = in_memory_request(method, path, headers)
        answer = await simulation.call(simulation.instances[name], request)
        if answer is None:
            simulation.trace.cut_connections.append((simulation.loop.time(), name))
        await asyncio.sleep(simulation.deployment.client_delay_s)
        self._note(entry, customer, headers, number, sent_at, name, answer)
        if answer is None:
            return 0, 0.0
        return answer.status, float(answer.headers.get("Retry-After", 0.0))

    def _note(self, entry, customer, headers, number, sent_at, name, answer) -> None:
        found = answer.headers if answer is not None else {}
        request_id = found.get(h.REQUEST_ID, "")
        is_correct = answer is not None and answer.body.decode().startswith(request_id)
        if found.get(h.REPLAYED):
            is_correct = True
        self.simulation.trace.ends.append(
            AttemptEnded(
                sent_at=sent_at,
                at=self.simulation.loop.time(),
                call=number,
                customer=customer,
                route=entry.route,
                priority=entry.priority,
                status=answer.status if answer is not None else 0,
                reason=found.get(h.REASON, ""),
                run=found.get(h.RUN, ""),
                request_id=request_id,
                instance=name,
                key=headers[h.KEY],
                is_correct=is_correct,
            )
        )
