"""Overloads upstream processes, without and with overload control, in one run.

Demand rises to three times the capacity for a while, and clients retry aggressively. Without
control, clients call the upstreams directly; with control, through the nodes.
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
CALL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.05
CUSTOMERS = {"large": 0.6, "middle": 0.3, "small": 0.1}
API_KEYS = {name: f"mvk_{name}_0123456789" for name in CUSTOMERS}


@dataclass(slots=True)
class CallCounts:
    """Counts 200 responses by second, attempts, and calls and successes by customer in surges."""

    good: Counter[int] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    offered: Counter[str] = field(default_factory=Counter)
    attempts: int = 0


class Clients:
    """Open-loop clients that retry aggressively."""

    def __init__(self, addresses: list[str], rng: random.Random) -> None:
        self._addresses = itertools.cycle(addresses)
        self._rng = rng
        self.counts = CallCounts()
        self._started_at = 0.0

    async def run(self, capacity: float) -> CallCounts:
        """Sends calls through all phases; `capacity` is in calls per second."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            self._started_at = due_at = time.monotonic()
            tasks = []
            for demand, seconds in PHASES:
                end = due_at + seconds
                while due_at < end:
                    due_at += self._rng.expovariate(demand * capacity)
                    await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                    tasks.append(asyncio.create_task(self._call(session, demand > 1)))
            await asyncio.gather(*tasks)
        return self.counts

    async def _call(self, session: aiohttp.ClientSession, in_surge: bool) -> None:
        name = self._rng.choices(list(CUSTOMERS), list(CUSTOMERS.values()))[0]
        if in_surge:
            self.counts.offered[name] += 1
        for _ in range(MAX_ATTEMPTS):
            self.counts.attempts += 1
            url = f"http://{next(self._addresses)}/stock/levels"
            try:
                async with session.get(
                    url, headers={"Marjoramvalve-Key": API_KEYS[name]}
                ) as response:
                    await response.read()
                    if response.status == 200:
                        self.counts.good[int(time.monotonic() - self._started_at)] += 1
                        self.counts.served[name] += in_surge
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(RETRY_DELAY_S)


def compute_figures(name: str, counts: CallCounts, capacity: float) -> dict:
    """Returns goodput in the surge, recovery time, the worst customer's share, and raw counts."""
    before_s, surge_s, _ = (seconds for _, seconds in PHASES)
    begin, end = int(before_s) + 1, int(before_s + surge_s)
    goodput = sum(counts.good[second] for second in range(begin, end)) / (end - begin)
    demand = PHASES[2][0] * capacity
    recovery_s = next(
        (s - end for s in range(end, end + 8) if counts.good[s] >= 0.85 * demand), float("inf")
    )
    surge_capacity = capacity * surge_s
    fair_share = surge_capacity / len(CUSTOMERS)
    worst = min(counts.served[item] / min(fair_share, counts.offered[item]) for item in CUSTOMERS)
    return {
        "control": name,
        "goodput_in_surge": round(goodput / capacity, 3),
        "recovery_s": recovery_s,
        "worst_customer": round(worst, 3),
        "attempts": counts.attempts,
        "good_by_second": [counts.good[second] for second in range(int(sum(s for _, s in PHASES)))],
    }


async def run(seed: int) -> list[dict]:
    """Runs the load without and with control; returns the figures of both."""
    capacity = len(DOMAINS) * SLOTS * 1000 / DELAY_MS
    rows = []
    with tempfile.TemporaryDirectory() as temp_dir:
        fleet = Fleet(Path(temp_dir))
        try:
            for number, domain in enumerate(DOMAINS):
                fleet.add_daemon(f"c{number}", domain, controller=True)
            fleet.mark_founded()
            for name in fleet.daemons:
                fleet.start_daemon(name)
            await fleet.wait_settled()
            document = {
                "customers": {name: {"rate": 1e5, "burst": 1e5} for name in CUSTOMERS},
                "keys": {key_digest(key): {"customer": name} for name, key in API_KEYS.items()},
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
            targets = {
                "none": [item.address for item in fleet.upstreams.values()],
                "marjoramvalve": [item.listen for item in fleet.daemons.values()],
            }
            for name, addresses in targets.items():
                clients = Clients(addresses, random.Random(seed))
                rows.append(compute_figures(name, await clients.run(capacity), capacity))
                await asyncio.sleep(2)
        finally:
            fleet.close()
    return rows


def main(seed: int = 1, out: str = "") -> None:
    """Prints the figures; writes them as JSON to the file `out` if given."""
    rows = uvloop.run(run(seed))
    for row in rows:
        print(json.dumps(row))
    if out:
        Path(out).write_text(json.dumps(rows) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
