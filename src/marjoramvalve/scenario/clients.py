"""Simulated clients: open-loop arrivals for each customer, with polite or hard retries."""

import asyncio
import random
from dataclasses import dataclass

from marjoramvalve.gateway import headers as h
from marjoramvalve.scenario.backends import POISON_HEADER
from marjoramvalve.scenario.deployments import EntryRoute
from marjoramvalve.scenario.requests import in_memory_request
from marjoramvalve.scenario.simulations import Simulation
from marjoramvalve.scenario.traces import AttemptEnded

HARD_ATTEMPTS = 4
POLITE_ATTEMPTS = 2
HARD_RETRY_DELAY_S = 0.05
MAX_POLITE_RETRY_DELAY_S = 2.0


@dataclass(slots=True)
class ClientBehavior:
    """Current behavior of the clients: offered calls per second and retry mode."""

    rate: float
    max_attempts: int = POLITE_ATTEMPTS
    retries_hard: bool = False


class Clients:
    """Clients of all customers.

    Polite retries wait as long as the Retry-After header says, up to MAX_POLITE_RETRY_DELAY_S; hard
    retries wait HARD_RETRY_DELAY_S.
    """

    def __init__(
        self, simulation: Simulation, keys: dict[str, str], rate: float, seed: int
    ) -> None:
        self.simulation = simulation
        self.keys = keys
        self.rng = random.Random(seed)
        self.behavior = ClientBehavior(rate)
        self.load_factors = dict.fromkeys(keys, 1.0)
        self.offered_calls: list[tuple[float, str, str]] = []
        self._calls = 0
        self._running: set[asyncio.Task] = set()
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts generating calls."""
        shares = self.simulation.deployment.customers
        for customer, share in zip(self.keys, shares, strict=True):
            self._tasks.append(asyncio.create_task(self._generate_calls(customer, share)))

    async def close(self) -> None:
        """Stops generating calls and waits up to 10 seconds for running ones."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._running:
            await asyncio.wait(self._running, timeout=10)

    async def _generate_calls(self, customer: str, share: float) -> None:
        loop = self.simulation.loop
        while True:
            rate = self.behavior.rate * share * self.load_factors[customer]
            await asyncio.sleep(self.rng.expovariate(rate))
            entry = self._choose_entry()
            self.offered_calls.append((loop.time(), customer, entry.route))
            task = asyncio.create_task(self.call(customer, entry))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    def _choose_entry(self) -> EntryRoute:
        entries = self.simulation.deployment.entries
        return self.rng.choices(entries, [entry.share for entry in entries])[0]

    async def call(
        self, customer: str, entry: EntryRoute, extra_headers: dict | None = None
    ) -> int:
        """Makes a call with its retries and returns the last status, 0 without a response."""
        self._calls += 1
        call_number = self._calls
        headers = {h.KEY: self.keys[customer], **(extra_headers or {})}
        if not entry.repeatable:
            headers[h.IDEMPOTENCY_KEY] = f'"order-{call_number}"'
        method = "GET" if entry.repeatable else "POST"
        max_attempts = HARD_ATTEMPTS if self.behavior.retries_hard else POLITE_ATTEMPTS
        status = 0
        for attempt in range(max_attempts):
            status, retry_after_s = await self._attempt(
                customer, entry, method, headers, call_number
            )
            if status not in (0, 429, 502, 503, 504):
                break
            if attempt + 1 < max_attempts:
                retry_delay_s = (
                    HARD_RETRY_DELAY_S
                    if self.behavior.retries_hard
                    else min(MAX_POLITE_RETRY_DELAY_S, retry_after_s or 0.2)
                )
                await asyncio.sleep(retry_delay_s)
        return status

    async def _attempt(
        self, customer: str, entry: EntryRoute, method: str, headers: dict, call_number: int
    ) -> tuple[int, float]:
        simulation = self.simulation
        names = [
            name for name, item in simulation.instances.items() if item.alive and item.accepts_calls
        ]
        name = self.rng.choice(names)
        sent_at = simulation.loop.time()
        await asyncio.sleep(simulation.deployment.client_delay_s)
        path = f"/{entry.route}/poison" if POISON_HEADER in headers else f"/{entry.route}"
        request = in_memory_request(method, path, headers)
        response = await simulation.call(simulation.instances[name], request)
        if response is None:
            simulation.trace.cut_connections.append((simulation.loop.time(), name))
        await asyncio.sleep(simulation.deployment.client_delay_s)
        self._record_attempt(entry, customer, headers, call_number, sent_at, name, response)
        if response is None:
            return 0, 0.0
        return response.status, float(response.headers.get("Retry-After", 0.0))

    def _record_attempt(
        self, entry, customer, headers, call_number, sent_at, name, response
    ) -> None:
        response_headers = response.headers if response is not None else {}
        request_id = response_headers.get(h.REQUEST_ID, "")
        is_correct = response is not None and response.body.decode().startswith(request_id)
        if response_headers.get(h.REPLAYED):
            is_correct = True
        self.simulation.trace.ends.append(
            AttemptEnded(
                sent_at=sent_at,
                at=self.simulation.loop.time(),
                call=call_number,
                customer=customer,
                route=entry.route,
                priority=entry.priority,
                status=response.status if response is not None else 0,
                reason=response_headers.get(h.REASON, ""),
                run=response_headers.get(h.RUN, ""),
                request_id=request_id,
                instance=name,
                key=headers[h.KEY],
                is_correct=is_correct,
            )
        )
