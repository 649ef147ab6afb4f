"""Demo: runs a fleet of processes under load through a graceful stop and a kill.

The exit status is 0 only if all checks passed.
"""

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import uvloop

from benches.fleets import Fleet

DOMAINS = ("amman", "irbid", "zarqa")
CALLERS = 12
RESPONSE_SIZE_BYTES = 512
MAX_WITHDRAWAL_S = 7.0
REQUESTS_PER_ORDER = 5
CALLER_INTERVAL_S = 0.03


@dataclass(slots=True)
class CallCounts:
    """Counts the outcomes of calls as the callers see them."""

    calls: int = 0
    whole: int = 0
    cut: int = 0
    not_connected: int = 0
    wrong: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    runs_said: Counter[str] = field(default_factory=Counter)
    answered_orders: set[str] = field(default_factory=set)
    withdrawn_last_ok: float = 0.0


class Caller:
    """A caller that sends reads and some orders; resends orders whose outcome is unknown."""

    def __init__(self, number: int, fleet: Fleet, key: str, counts: CallCounts) -> None:
        self._number = number
        self._fleet = fleet
        self._key = key
        self._counts = counts
        self._addresses: list[str] = []
        self.stopped = False

    def set_addresses(self, addresses: list[str]) -> None:
        """Sets the addresses of the nodes to call."""
        self._addresses = addresses

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Sends requests until `stopped` is set."""
        index = 0
        while not self.stopped:
            index += 1
            address = self._addresses[(self._number + index) % len(self._addresses)]
            if index % REQUESTS_PER_ORDER == 0:
                await self._order(session, f"order-{self._number}-{index}")
            else:
                await self._get(session, address)
            await asyncio.sleep(CALLER_INTERVAL_S)

    async def _get(self, session: aiohttp.ClientSession, address: str) -> None:
        headers = {"Marjoramvalve-Key": self._key}
        await self._call(session, "GET", f"http://{address}/catalogue/tools", headers, None)

    async def _order(self, session: aiohttp.ClientSession, order: str) -> None:
        headers = {"Marjoramvalve-Key": self._key, "Idempotency-Key": f'"{order}"'}
        for attempt in range(3):
            address = self._addresses[(self._number + attempt) % len(self._addresses)]
            url = f"http://{address}/timber/orders"
            if await self._call(session, "POST", url, headers, order.encode()):
                self._counts.answered_orders.add(order)
                return
            await asyncio.sleep(0.2)

    async def _call(self, session, method: str, url: str, headers: dict, body) -> bool:
        counts = self._counts
        counts.calls += 1
        try:
            async with session.request(method, url, headers=headers, data=body) as response:
                raw = await response.read()
        except aiohttp.ClientConnectorError:
            counts.not_connected += 1
            return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            counts.cut += 1
            return False
        if response.status == 200:
            counts.whole += 1
            counts.wrong += len(raw) != RESPONSE_SIZE_BYTES
            return True
        reason = response.headers.get("Marjoramvalve-Reason")
        counts.refused[reason or f"upstream {response.status}"] += 1
        if reason is not None:
            counts.runs_said[response.headers.get("Marjoramvalve-Run", "-")] += 1
        return False


async def start_fleet(fleet: Fleet) -> None:
    """Starts three controllers, three nodes and three upstreams for each of two services."""
    for number, domain in enumerate(DOMAINS):
        fleet.add_daemon(f"c{number}", domain, controller=True)
        fleet.add_daemon(f"n{number}", domain)
    fleet.mark_founded()
    for name in fleet.daemons:
        fleet.start_daemon(name)
    await fleet.wait_settled()
    for number in range(3):
        node = f"n{number}"
        fleet.start_upstream(
            f"catalogue-{number}", "catalogue", node, slots=20, calls="/stock/levels"
        )
        fleet.start_upstream(f"timberstore-{number}", "timberstore", f"c{number}", slots=20)
    await fleet.wait_upstreams()


def create_configuration(fleet: Fleet) -> tuple[str, str]:
    """Creates customers, routes and API keys; returns two keys."""
    patch = {
        "customers": {
            "shed-irbid": {"rate": 2000, "burst": 2000},
            "shed-zarqa": {"rate": 2000, "burst": 2000},
        },
        "routes": {
            "catalogue": {"service": "catalogue", "path": "/catalogue", "methods": ["GET"]},
            "stock": {"service": "timberstore", "path": "/stock", "methods": ["GET"]},
            "order": {
                "service": "timberstore",
                "path": "/timber/orders",
                "methods": ["POST"],
                "repeatable": False,
                "priority": "high",
            },
        },
    }
    file = fleet.folder / "patch.json"
    file.write_text(json.dumps(patch))
    for _ in range(2):  # The second is a resend: same verdict, and not applied again.
        result = fleet.cli("patch", str(file), "--base=0", "--id=demo-1")
        assert json.loads(result.stdout)["version"] == 1, result.stderr
    stale = fleet.cli("patch", str(file), "--base=0", "--id=demo-2")
    assert stale.returncode == 1 and "current version is 1" in stale.stderr, stale.stderr
    keys = []
    for name in ("shed-irbid", "shed-zarqa"):
        issued = fleet.cli("key", "issue", name)
        assert issued.returncode == 0, issued.stderr
        keys.append(json.loads(issued.stdout)["key"])
    return keys[0], keys[1]


async def measure_withdrawal(fleet: Fleet, key: str, addresses: list[str]) -> float:
    """Withdraws an API key under load; returns for how many seconds it was still accepted."""
    started_at = time.monotonic()
    withdrawal = asyncio.create_task(asyncio.to_thread(fleet.cli, "key", "withdraw", key))
    last_success_at = started_at
    headers = {"Marjoramvalve-Key": key}
    async with aiohttp.ClientSession() as session:
        while not withdrawal.done() or time.monotonic() < started_at + 3:
            for address in addresses:
                url = f"http://{address}/catalogue/tools"
                async with session.get(url, headers=headers) as response:
                    await response.read()
                    if response.status == 200:
                        last_success_at = time.monotonic()
            await asyncio.sleep(0.02)
    assert withdrawal.result().returncode == 0, withdrawal.result().stderr
    return last_success_at - started_at


async def read_upstream_counts(fleet: Fleet) -> tuple[Counter[str], int, int]:
    """Returns runs by order, late requests and leaked keys, summed over running upstreams."""
    runs: Counter[str] = Counter()
    late = leaked = 0
    async with aiohttp.ClientSession() as session:
        for upstream in fleet.upstreams.values():
            if upstream.process.poll() is not None:
                continue
            async with session.get(f"http://{upstream.address}/_runs") as response:
                body = await response.json()
                runs.update({order.strip('"'): count for order, count in body["runs"].items()})
                late += body["late"]
                leaked += body["leaked"]
    return runs, late, leaked


async def run(folder: Path) -> bool:
    """Runs the demo; returns whether all checks passed."""
    fleet = Fleet(folder)
    fleet.daemon_flags = {"log_level": "info"}
    try:
        started_at = time.monotonic()
        await start_fleet(fleet)
        withdrawn_key, caller_key = await asyncio.to_thread(create_configuration, fleet)
        print(f"fleet of 6 instances and 6 upstreams up in {time.monotonic() - started_at:.1f} s")
        return await run_calls(fleet, withdrawn_key, caller_key)
    finally:
        fleet.close()


async def wait_key(fleet: Fleet, key: str, addresses: list[str]) -> None:
    """Waits until every node accepts an API key."""

    async def is_accepted() -> bool:
        async with aiohttp.ClientSession() as session:
            for address in addresses:
                url = f"http://{address}/catalogue/tools"
                async with session.get(url, headers={"Marjoramvalve-Key": key}) as response:
                    if response.status != 200:
                        return False
        return True

    await fleet.wait_for(is_accepted, "key")


async def run_calls(fleet: Fleet, withdrawn_key: str, caller_key: str) -> bool:
    """Sends calls during a graceful stop and a kill; prints the table of results."""
    addresses = [item.listen for item in fleet.daemons.values()]
    await wait_key(fleet, withdrawn_key, addresses)
    await wait_key(fleet, caller_key, addresses)
    counts = CallCounts()
    callers = [Caller(number, fleet, caller_key, counts) for number in range(CALLERS)]
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=8)) as session:
        for caller in callers:
            caller.set_addresses(addresses)
        tasks = [asyncio.create_task(caller.run(session)) for caller in callers]
        await asyncio.sleep(2)
        withdrawal_s = await measure_withdrawal(fleet, withdrawn_key, addresses)
        cut_before = counts.cut
        process = fleet.terminate("n0")
        await asyncio.to_thread(process.wait, 30)
        graceful_cut = counts.cut - cut_before
        remaining = [
            item.listen for name, item in fleet.daemons.items() if name not in ("n0", "n1")
        ]
        fleet.kill("n1")
        await asyncio.sleep(0.5)
        for caller in callers:
            caller.set_addresses(remaining)
        await asyncio.sleep(4)
        for caller in callers:
            caller.stopped = True
        await asyncio.gather(*tasks)
    runs, late, leaked = await read_upstream_counts(fleet)
    return report(
        counts, runs, withdrawal_s, process.returncode, cut_before, graceful_cut, late, leaked
    )


def report(counts, runs, withdrawal_s, exit_status, cut_before, graceful_cut, late, leaked) -> bool:
    """Prints the table of results; returns whether all checks passed."""
    repeated = {order: count for order, count in runs.items() if count > 1}
    lost = [order for order in counts.answered_orders if not runs[order]]
    rows = [
        ("calls", counts.calls, counts.calls > 300),
        ("whole answers", counts.whole, counts.whole > 0.8 * counts.calls),
        ("answers of wrong size", counts.wrong, counts.wrong == 0),
        ("cut before the failures", cut_before, cut_before == 0),
        ("cut by the graceful stop", graceful_cut, graceful_cut == 0),
        ("connections refused (moved on)", counts.not_connected, True),
        ("cut by the kill", counts.cut - cut_before - graceful_cut, True),
        ("refusals", dict(counts.refused), True),
        ("refusals say run", dict(counts.runs_said), "-" not in counts.runs_said),
        ("orders that ran", len(runs), len(runs) > 0),
        ("most runs of one order", max(runs.values(), default=0), not repeated),
        ("answered orders that never ran", len(lost), not lost),
        ("withdrawn key worked for (s)", round(withdrawal_s, 2), withdrawal_s < MAX_WITHDRAWAL_S),
        ("exit status of the stopped node", exit_status, exit_status == 0),
        ("new work after leaving for 2 s", late, late == 0),
        ("keys seen by upstreams", leaked, leaked == 0),
    ]
    for name, value, passed in rows:
        print(f"{name:34} {str(value):44} {'ok' if passed else 'FAILED'}")
    return all(passed for _, _, passed in rows)


def main() -> None:
    """Runs the demo in a temporary directory; prints logs on failure or with `--logs`."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            passed = uvloop.run(run(Path(folder)))
        except (TimeoutError, AssertionError) as exc:
            print(f"FAILED: {exc}")
            passed = False
        if not passed or "--logs" in sys.argv:
            for log in sorted(Path(folder).glob("logs/*.log")):
                print(f"--- {log.name}\n{log.read_text()[-1500:]}")
    raise SystemExit(0 if passed else 1)


if __name__ == "__main__":
    main()
