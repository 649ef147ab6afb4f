"""Kills controllers at random while operators submit concurrent patches; then measures restarts.

    python -m benches.chaos [--patches 200] [--kills 12] [--changes 2000]

Five controllers run as processes. The exit status is 0 only if every accepted patch is present
exactly once and every resent patch got the same verdict again.
"""

import asyncio
import random
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import fire
import uvloop

from benches.fleets import Fleet

DOMAINS = ("amman", "irbid", "zarqa", "amman", "irbid")
OPERATORS = 4
RESEND_PROBABILITY = 0.3
KILL_INTERVAL_S = 0.8
MAX_ATTEMPTS = 200


@dataclass(slots=True)
class VerdictLog:
    """Holds the verdicts on patches, `accepted` with their versions, and contradictory ones."""

    accepted: dict[str, int] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    resent: int = 0
    contradictions: list[str] = field(default_factory=list)


class Operator:
    """Submits patches, and resends those without a verdict and a random share of the others."""

    def __init__(self, fleet: Fleet, verdicts: VerdictLog, number: int, rng: random.Random) -> None:
        self._fleet = fleet
        self._verdicts = verdicts
        self._number = number
        self._rng = rng

    async def run(self, patches: int) -> None:
        """Submits patches until `patches` of them were accepted."""
        headers = {"Authorization": f"Bearer {self._fleet.credential()}"}
        timeout = aiohttp.ClientTimeout(total=6)
        async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
            accepted_count = 0
            base = 0
            while accepted_count < patches:
                patch_id = f"op{self._number}-{accepted_count}-{self._rng.getrandbits(32):x}"
                verdict = await self._submit(session, patch_id, base)
                base = verdict["current"]
                if not verdict["accepted"]:
                    continue
                accepted_count += 1
                if self._rng.random() < RESEND_PROBABILITY:
                    self._verdicts.resent += 1
                    await self._submit(session, patch_id, base - 1)

    async def _submit(self, session, patch_id: str, base: int) -> dict:
        body = {
            "patch_id": patch_id,
            "base": base,
            "patch": {"customers": {patch_id: {"rate": 1, "burst": 1}}},
        }
        if patch_id in self._verdicts.accepted:
            body["base"] = self._verdicts.accepted[patch_id] - 1
        for _ in range(MAX_ATTEMPTS):
            daemon = self._rng.choice(list(self._fleet.daemons.values()))
            url = f"http://{daemon.control}/v1/patches"
            try:
                async with session.post(url, json=body) as response:
                    verdict = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            if "accepted" not in verdict:
                await asyncio.sleep(0.02)
                continue
            self._record_verdict(patch_id, verdict)
            return verdict
        raise TimeoutError(f"patch {patch_id!r} got no verdict")

    def _record_verdict(self, patch_id: str, verdict: dict) -> None:
        verdicts = self._verdicts
        if verdict["accepted"]:
            first = verdicts.accepted.setdefault(patch_id, verdict["version"])
            if first != verdict["version"] or patch_id in verdicts.refused:
                verdicts.contradictions.append(patch_id)
        else:
            verdicts.refused.add(patch_id)
            if patch_id in verdicts.accepted:
                verdicts.contradictions.append(patch_id)


async def get_from_leader(fleet: Fleet, path: str) -> dict:
    """Returns the leader's response: only the leader has status 200. Raises TimeoutError."""
    headers = {"Authorization": f"Bearer {fleet.credential()}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for _ in range(MAX_ATTEMPTS):
            for daemon in fleet.daemons.values():
                try:
                    async with session.get(f"http://{daemon.control}{path}") as response:
                        if response.status == 200:
                            return await response.json()
                except (aiohttp.ClientError, OSError):
                    pass
            await asyncio.sleep(0.1)
    raise TimeoutError(path)


def start_controllers(folder: Path, count: int, **flags: object) -> Fleet:
    """Starts a fleet of `count` controllers with additional flags."""
    fleet = Fleet(folder)
    fleet.daemon_flags = flags
    for number in range(count):
        fleet.add_daemon(f"c{number}", DOMAINS[number], controller=True)
    fleet.mark_founded()
    for name in fleet.daemons:
        fleet.start_daemon(name)
    return fleet


async def kill_controllers(fleet: Fleet, kills: int, rng: random.Random) -> None:
    """Kills one or two random controllers at a time and restarts them after a short delay."""
    names = list(fleet.daemons)
    for _ in range(kills):
        await asyncio.sleep(KILL_INTERVAL_S * (1 + rng.random()))
        chosen = rng.sample(names, rng.choice((1, 1, 2)))
        for name in chosen:
            fleet.kill(name)
        await asyncio.sleep(KILL_INTERVAL_S * rng.random())
        for name in chosen:
            fleet.start_daemon(name)


async def run_chaos(folder: Path, patches: int, kills: int, seed: int) -> bool:
    """Runs operators while controllers get killed; returns whether all checks passed."""
    rng = random.Random(seed)
    fleet = start_controllers(folder, 5, snapshot_entries=60)
    verdicts = VerdictLog()
    try:
        await fleet.wait_settled()
        operators = [
            Operator(fleet, verdicts, number, random.Random(rng.random()))
            for number in range(OPERATORS)
        ]
        patches_per_operator = patches // OPERATORS
        await asyncio.gather(
            kill_controllers(fleet, kills, rng),
            *(operator.run(patches_per_operator) for operator in operators),
        )
        config = await get_from_leader(fleet, "/v1/config")
        history = await get_from_leader(fleet, "/v1/history")
    finally:
        fleet.close()
    present = set(config["document"]["customers"])
    ids = [item["patch_id"] for item in history["history"]]
    rows = {
        "accepted": len(verdicts.accepted),
        "version": config["current"],
        "resent": verdicts.resent,
        "kills": kills,
        "lost": len(set(verdicts.accepted) - present),
        "present without acceptance": len(present - set(verdicts.accepted)),
        "twice in history": len(ids) - len(set(ids)),
        "contradictory verdicts": len(verdicts.contradictions),
    }
    for name, value in rows.items():
        print(f"{name:32} {value}")
    failures = ("lost", "present without acceptance", "twice in history", "contradictory verdicts")
    return not any(rows[name] for name in failures) and rows["version"] == rows["accepted"]


async def measure_restart(folder: Path, changes: int, snapshot_interval: int) -> None:
    """Submits changes to one controller, kills it, and measures how long its restart takes."""
    fleet = start_controllers(folder, 1, snapshot_entries=snapshot_interval)
    try:
        await fleet.wait_settled()
        headers = {"Authorization": f"Bearer {fleet.credential()}"}
        url = f"http://{fleet.daemons['c0'].control}/v1/patches"
        started_at = time.monotonic()
        async with aiohttp.ClientSession(headers=headers) as session:
            for number in range(changes):
                patch = {"customers": {f"c{number % 50}": {"rate": number + 1, "burst": 5}}}
                body = {"patch_id": f"p{number}", "base": number, "patch": patch}
                async with session.post(url, json=body) as response:
                    assert response.status == 200, await response.text()
        write_s = time.monotonic() - started_at
        fleet.kill("c0")
        started_at = time.monotonic()
        fleet.start_daemon("c0")

        async def is_restarted() -> bool:
            status = await fleet.status("c0")
            return bool(status and status["controller"]["version"] == changes)

        await fleet.wait_for(is_restarted, "restart")
        status = await fleet.status("c0")
        read_bytes = status["controller"]["bytes_read_at_start"]
        mode = (
            f"snapshot each {snapshot_interval}" if snapshot_interval < changes else "no snapshot"
        )
        print(
            f"{mode:24} {changes} changes in {write_s:.1f} s; "
            f"restart {time.monotonic() - started_at:.2f} s, {read_bytes} bytes read"
        )
    finally:
        fleet.close()


async def run(patches: int, kills: int, changes: int, seed: int) -> bool:
    """Runs the chaos test and the restart measurements; returns whether the checks passed."""
    with tempfile.TemporaryDirectory() as temp_dir:
        passed = await run_chaos(Path(temp_dir) / "chaos", patches, kills, seed)
        for snapshot_interval in (10_000_000, 1000):
            await measure_restart(
                Path(temp_dir) / f"restart{snapshot_interval}", changes, snapshot_interval
            )
        return passed


def main(patches: int = 200, kills: int = 12, changes: int = 2000, seed: int = 1) -> None:
    """Runs the bench and exits with 0 if all checks passed, else 1."""
    raise SystemExit(0 if uvloop.run(run(patches, kills, changes, seed)) else 1)


if __name__ == "__main__":
    fire.Fire(main)
