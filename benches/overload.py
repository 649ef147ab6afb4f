"""Overload of real processes, without control and with it, in one run.

Demand goes to three times what the slots can do, clients retry hard, and then it ends. Without
control clients go to the upstreams themselves; with it, through the nodes beside them.
"""

import asyncio
import itertools
import json
import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import fire
import uvloop

from benches.fleets import Fleet
from marjoramvalve.model import key_digest

DOMAINS = ("amman", "irbid", "zarqa")
SLOTS = 20
DELAY_MS = 200
PHASES = ((0.7, 4.0), (3.0, 8.0), (0.7, 8.0))
TIMEOUT_S = 1.0
TRIES = 4
PAUSE_S = 0.05
CUSTOMERS = {"large": 0.6, "middle": 0.3, "small": 0.1}
KEYS = {name: f"mvk_{name}_0123456789" for name in CUSTOMERS}


@dataclass(slots=True)
class Tally:
    """Whole answers in time, by second and by customer; calls offered by customer."""

    good: Counter[int] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    offered: Counter[str] = field(default_factory=Counter)
    attempts: int = 0


class Clients:
    """Open-loop clients with hard retries."""

    def __init__(self, addresses: list[str], rng: random.Random) -> None:
        self._addresses = itertools.cycle(addresses)
        self._rng = rng
        self.tally = Tally()
        self._began = 0.0

    async def run(self, capacity: float) -> Tally:
        """Runs the phases."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            self._began = due = time.monotonic()
            tasks = []
            for share, seconds in PHASES:
                end = due + seconds
                while due < end:
                    due += self._rng.expovariate(share * capacity)
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
                    tasks.append(asyncio.create_task(self._call(session, share > 1)))
            await asyncio.gather(*tasks)
        return self.tally

    async def _call(self, session: aiohttp.ClientSession, hard: bool) -> None:
        name = self._rng.choices(list(CUSTOMERS), list(CUSTOMERS.values()))[0]
        if hard:
            self.tally.offered[name] += 1
        for _ in range(TRIES):
            self.tally.attempts += 1
            url = f"http://{next(self._addresses)}/stock/levels"
            try:
                async with session.get(url, headers={"Marjoramvalve-Key": KEYS[name]}) as answer:
                    await answer.read()
                    if answer.status == 200:
                        self.tally.good[int(time.monotonic() - self._began)] += 1
                        self.tally.served[name] += hard
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(PAUSE_S)


def figures(name: str, tally: Tally, capacity: float) -> dict:
    """Returns goodput in the surge and after it, recovery, the worst-served customer."""
    calm, surge, _ = (seconds for _, seconds in PHASES)
    begin, end = int(calm) + 1, int(calm + surge)
    in_surge = sum(tally.good[second] for second in range(begin, end)) / (end - begin)
    due = PHASES[2][0] * capacity
    recovered = next(
        (s - end for s in range(end, end + 8) if tally.good[s] >= 0.85 * due), float("inf")
    )
    surge_total = capacity * surge
    fair = surge_total / len(CUSTOMERS)
    worst = min(tally.served[item] / min(fair, tally.offered[item]) for item in CUSTOMERS)
    return {
        "control": name,
        "goodput_in_surge": round(in_surge / capacity, 3),
        "recovery_s": recovered,
        "worst_customer": round(worst, 3),
        "attempts": tally.attempts,
        "good_by_second": [tally.good[second] for second in range(int(sum(s for _, s in PHASES)))],
    }


async def run(seed: int) -> list[dict]:
    """Runs both ways."""
    capacity = len(DOMAINS) * SLOTS * 1000 / DELAY_MS
    rows = []
    with tempfile.TemporaryDirectory() as holder:
        fleet = Fleet(Path(holder))
        try:
            for number, domain in enumerate(DOMAINS):
                fleet.add_daemon(f"c{number}", domain, controller=True)
            fleet.mark_founded()
            for name in fleet.daemons:
                fleet.start_daemon(name)
            await fleet.wait_settled()
            document = {
                "customers": {name: {"rate": 1e5, "burst": 1e5} for name in CUSTOMERS},
                "keys": {key_digest(key): {"customer": name} for name, key in KEYS.items()},
                "routes": {"stock": {"service": "stock", "path": "/stock", "deadline_ms": 900}},
            }
            file = fleet.folder / "patch.json"
            file.write_text(json.dumps(document))
            await asyncio.to_thread(fleet.cli, "patch", str(file), "--base=0", "--id=b")
            for number in range(len(DOMAINS)):
                fleet.start_upstream(
                    f"stock-{number}",
                    "stock",
                    f"c{number}",
                    slots=SLOTS,
                    delay_ms=DELAY_MS,
                    connections=2000,
                    queue=True,
                )
            await fleet.wait_upstreams()
            ways = {
                "none": [item.address for item in fleet.upstreams.values()],
                "marjoramvalve": [item.listen for item in fleet.daemons.values()],
            }
            for name, addresses in ways.items():
                clients = Clients(addresses, random.Random(seed))
                rows.append(figures(name, await clients.run(capacity), capacity))
                await asyncio.sleep(2)
        finally:
            fleet.close()
    return rows


def main(seed: int = 1, out: str = "") -> None:
    """Prints the figures."""
    rows = uvloop.run(run(seed))
    for row in rows:
        print(json.dumps(row))
    if out:
        Path(out).write_text(json.dumps(rows) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
