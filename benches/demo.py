"""Demo: a fleet of real processes, real calls, and the failures that operators meet.

Exit status 0 only if everything that must hold held.
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
ANSWER_BYTES = 512
KEY_LIMIT_S = 7.0
ORDERS_EVERY = 5
PAUSE_S = 0.03


@dataclass(slots=True)
class Tally:
    """What the callers saw."""

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
    """A caller that browses and, now and then, orders; resends orders of unknown outcome."""

    def __init__(self, number: int, fleet: Fleet, key: str, tally: Tally) -> None:
        self._number = number
        self._fleet = fleet
        self._key = key
        self._tally = tally
        self._live: list[str] = []
        self.stopped = False

    def set_live(self, addresses: list[str]) -> None:
        """Names the addresses that the caller may use."""
        self._live = addresses

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Calls until stopped."""
        turn = 0
        while not self.stopped:
            turn += 1
            address = self._live[(self._number + turn) % len(self._live)]
            if turn % ORDERS_EVERY == 0:
                await self._order(session, f"order-{self._number}-{turn}")
            else:
                await self._get(session, address)
            await asyncio.sleep(PAUSE_S)

    async def _get(self, session: aiohttp.ClientSession, address: str) -> None:
        headers = {"Marjoramvalve-Key": self._key}
        await self._call(session, "GET", f"http://{address}/catalogue/tools", headers, None)

    async def _order(self, session: aiohttp.ClientSession, order: str) -> None:
        headers = {"Marjoramvalve-Key": self._key, "Idempotency-Key": f'"{order}"'}
        for attempt in range(3):
            address = self._live[(self._number + attempt) % len(self._live)]
            url = f"http://{address}/timber/orders"
            if await self._call(session, "POST", url, headers, order.encode()):
                self._tally.answered_orders.add(order)
                return
            await asyncio.sleep(0.2)

    async def _call(self, session, method: str, url: str, headers: dict, body) -> bool:
        tally = self._tally
        tally.calls += 1
        try:
            async with session.request(method, url, headers=headers, data=body) as response:
                raw = await response.read()
        except aiohttp.ClientConnectorError:
            tally.not_connected += 1
            return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            tally.cut += 1
            return False
        if response.status == 200:
            tally.whole += 1
            tally.wrong += len(raw) != ANSWER_BYTES
            return True
        reason = response.headers.get("Marjoramvalve-Reason")
        tally.refused[reason or f"upstream {response.status}"] += 1
        if reason is not None:
            tally.runs_said[response.headers.get("Marjoramvalve-Run", "-")] += 1
        return False


async def build(fleet: Fleet) -> None:
    """Starts three controllers and three more nodes, with upstreams of two services."""
    for number, domain in enumerate(DOMAINS):
        fleet.add_daemon(f"c{number}", domain, controller=True)
        fleet.add_daemon(f"n{number}", domain)
    fleet.mark_founded()
    for name in fleet.daemons:
        fleet.start_daemon(name)
    await fleet.wait_settled()
    for number in range(3):
        beside = f"n{number}"
        fleet.start_upstream(
            f"catalogue-{number}", "catalogue", beside, slots=20, calls="/stock/levels"
        )
        fleet.start_upstream(f"timberstore-{number}", "timberstore", f"c{number}", slots=20)
    await fleet.wait_upstreams()


def configure(fleet: Fleet) -> tuple[str, str]:
    """Creates customers, routes and keys; returns two keys."""
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
    for _ in range(2):  # The second time is a resend: the same verdict, nothing done twice.
        done = fleet.cli("patch", str(file), "--base=0", "--id=demo-1")
        assert json.loads(done.stdout)["version"] == 1, done.stderr
    stale = fleet.cli("patch", str(file), "--base=0", "--id=demo-2")
    assert stale.returncode == 1 and "current version is 1" in stale.stderr, stale.stderr
    keys = []
    for name in ("shed-irbid", "shed-zarqa"):
        issued = fleet.cli("key", "issue", name)
        assert issued.returncode == 0, issued.stderr
        keys.append(json.loads(issued.stdout)["key"])
    return keys[0], keys[1]


async def withdraw(fleet: Fleet, key: str, live: list[str]) -> float:
    """Withdraws a key under traffic; returns the seconds from the command until it stopped."""
    began = time.monotonic()
    command = asyncio.create_task(asyncio.to_thread(fleet.cli, "key", "withdraw", key))
    last_ok = began
    headers = {"Marjoramvalve-Key": key}
    async with aiohttp.ClientSession() as session:
        while not command.done() or time.monotonic() < began + 3:
            for address in live:
                url = f"http://{address}/catalogue/tools"
                async with session.get(url, headers=headers) as response:
                    await response.read()
                    if response.status == 200:
                        last_ok = time.monotonic()
            await asyncio.sleep(0.02)
    assert command.result().returncode == 0, command.result().stderr
    return last_ok - began


async def upstream_figures(fleet: Fleet) -> tuple[Counter[str], int, int]:
    """Returns runs by order, late work and leaked keys over the upstreams that answer."""
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
    """Runs the demo; returns whether everything held."""
    fleet = Fleet(folder)
    fleet.daemon_flags = {"log_level": "info"}
    try:
        began = time.monotonic()
        await build(fleet)
        first, second = await asyncio.to_thread(configure, fleet)
        print(f"fleet of 6 instances and 6 upstreams up in {time.monotonic() - began:.1f} s")
        return await drive(fleet, first, second)
    finally:
        fleet.close()


async def wait_key(fleet: Fleet, key: str, live: list[str]) -> None:
    """Waits until a key works everywhere."""

    async def works() -> bool:
        async with aiohttp.ClientSession() as session:
            for address in live:
                url = f"http://{address}/catalogue/tools"
                async with session.get(url, headers={"Marjoramvalve-Key": key}) as response:
                    if response.status != 200:
                        return False
        return True

    await fleet.wait_for(works, "key")


async def drive(fleet: Fleet, first: str, second: str) -> bool:
    """Drives calls through failures and prints the table."""
    live = [item.listen for item in fleet.daemons.values()]
    await wait_key(fleet, first, live)
    await wait_key(fleet, second, live)
    tally = Tally()
    callers = [Caller(number, fleet, second, tally) for number in range(CALLERS)]
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=8)) as session:
        for caller in callers:
            caller.set_live(live)
        tasks = [asyncio.create_task(caller.run(session)) for caller in callers]
        await asyncio.sleep(2)
        stopped_s = await withdraw(fleet, first, live)
        calm_cut = tally.cut
        process = fleet.terminate("n0")
        await asyncio.to_thread(process.wait, 30)
        graceful_cut = tally.cut - calm_cut
        rest = [item.listen for name, item in fleet.daemons.items() if name not in ("n0", "n1")]
        fleet.kill("n1")
        await asyncio.sleep(0.5)
        for caller in callers:
            caller.set_live(rest)
        await asyncio.sleep(4)
        for caller in callers:
            caller.stopped = True
        await asyncio.gather(*tasks)
    runs, late, leaked = await upstream_figures(fleet)
    return report(tally, runs, stopped_s, process.returncode, calm_cut, graceful_cut, late, leaked)


def report(tally, runs, stopped_s, exit_status, calm_cut, graceful_cut, late, leaked) -> bool:
    """Prints the table; returns whether everything held."""
    doubled = {order: count for order, count in runs.items() if count > 1}
    lost = [order for order in tally.answered_orders if not runs[order]]
    rows = [
        ("calls", tally.calls, tally.calls > 300),
        ("whole answers", tally.whole, tally.whole > 0.8 * tally.calls),
        ("answers of wrong size", tally.wrong, tally.wrong == 0),
        ("cut before the failures", calm_cut, calm_cut == 0),
        ("cut by the graceful stop", graceful_cut, graceful_cut == 0),
        ("connections refused (moved on)", tally.not_connected, True),
        ("cut by the kill", tally.cut - calm_cut - graceful_cut, True),
        ("refusals", dict(tally.refused), True),
        ("refusals say run", dict(tally.runs_said), "-" not in tally.runs_said),
        ("orders that ran", len(runs), len(runs) > 0),
        ("most runs of one order", max(runs.values(), default=0), not doubled),
        ("answered orders that never ran", len(lost), not lost),
        ("withdrawn key worked for (s)", round(stopped_s, 2), stopped_s < KEY_LIMIT_S),
        ("exit status of the stopped node", exit_status, exit_status == 0),
        ("new work after leaving for 2 s", late, late == 0),
        ("keys seen by upstreams", leaked, leaked == 0),
    ]
    for name, value, held in rows:
        print(f"{name:34} {str(value):44} {'ok' if held else 'FAILED'}")
    return all(held for _, _, held in rows)


def main() -> None:
    """Runs the demo in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            held = uvloop.run(run(Path(folder)))
        except (TimeoutError, AssertionError) as exc:
            print(f"FAILED: {exc}")
            held = False
        if not held or "--logs" in sys.argv:
            for log in sorted(Path(folder).glob("logs/*.log")):
                print(f"--- {log.name}\n{log.read_text()[-1500:]}")
    raise SystemExit(0 if held else 1)


if __name__ == "__main__":
    main()
