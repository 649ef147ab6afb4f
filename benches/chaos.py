"""Five real controllers, killed at random under racing and resent patches; then a restart.

    python -m benches.chaos [--patches 200] [--kills 12] [--changes 2000]

Exit status 0 only if every accepted patch is present once and every resend got its verdict.
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
RESEND_PART = 0.3
KILL_PAUSE_S = 0.8
TRIES = 200


@dataclass(slots=True)
class Record:
    """What the operators were told."""

    accepted: dict[str, int] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    resent: int = 0
    contradictions: list[str] = field(default_factory=list)


class Operator:
    """Submits patches, sends again what had no answer, and some that had one."""

    def __init__(self, fleet: Fleet, record: Record, number: int, rng: random.Random) -> None:
        self._fleet = fleet
        self._record = record
        self._number = number
        self._rng = rng

    async def run(self, patches: int) -> None:
        """Submits patches until so many were accepted."""
        headers = {"Authorization": f"Bearer {self._fleet.credential()}"}
        timeout = aiohttp.ClientTimeout(total=6)
        async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
            done = 0
            base = 0
            while done < patches:
                patch_id = f"op{self._number}-{done}-{self._rng.getrandbits(32):x}"
                verdict = await self._submit(session, patch_id, base)
                base = verdict["current"]
                if not verdict["accepted"]:
                    continue
                done += 1
                if self._rng.random() < RESEND_PART:
                    self._record.resent += 1
                    await self._submit(session, patch_id, base - 1)

    async def _submit(self, session, patch_id: str, base: int) -> dict:
        body = {
            "patch_id": patch_id,
            "base": base,
            "patch": {"customers": {patch_id: {"rate": 1, "burst": 1}}},
        }
        if patch_id in self._record.accepted:
            body["base"] = self._record.accepted[patch_id] - 1
        for _ in range(TRIES):
            daemon = self._rng.choice(list(self._fleet.daemons.values()))
            url = f"http://{daemon.control}/v1/patches"
            try:
                async with session.post(url, json=body) as response:
                    answer = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            if "accepted" not in answer:
                await asyncio.sleep(0.02)
                continue
            self._note(patch_id, answer)
            return answer
        raise TimeoutError(f"patch {patch_id!r} got no verdict")

    def _note(self, patch_id: str, answer: dict) -> None:
        record = self._record
        if answer["accepted"]:
            first = record.accepted.setdefault(patch_id, answer["version"])
            if first != answer["version"] or patch_id in record.refused:
                record.contradictions.append(patch_id)
        else:
            record.refused.add(patch_id)
            if patch_id in record.accepted:
                record.contradictions.append(patch_id)


async def get(fleet: Fleet, path: str) -> dict:
    """Asks the leader."""
    headers = {"Authorization": f"Bearer {fleet.credential()}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for _ in range(TRIES):
            for daemon in fleet.daemons.values():
                try:
                    async with session.get(f"http://{daemon.control}{path}") as response:
                        if response.status == 200:
                            return await response.json()
                except (aiohttp.ClientError, OSError):
                    pass
            await asyncio.sleep(0.1)
    raise TimeoutError(path)


def build(folder: Path, count: int, **flags: object) -> Fleet:
    """Starts controllers."""
    fleet = Fleet(folder)
    fleet.daemon_flags = flags
    for number in range(count):
        fleet.add_daemon(f"c{number}", DOMAINS[number], controller=True)
    fleet.mark_founded()
    for name in fleet.daemons:
        fleet.start_daemon(name)
    return fleet


async def kill_some(fleet: Fleet, kills: int, rng: random.Random) -> None:
    """Kills a random controller, or two, and starts them again a moment later."""
    names = list(fleet.daemons)
    for _ in range(kills):
        await asyncio.sleep(KILL_PAUSE_S * (1 + rng.random()))
        chosen = rng.sample(names, rng.choice((1, 1, 2)))
        for name in chosen:
            fleet.kill(name)
        await asyncio.sleep(KILL_PAUSE_S * rng.random())
        for name in chosen:
            fleet.start_daemon(name)


async def run_chaos(folder: Path, patches: int, kills: int, seed: int) -> bool:
    """Runs operators against dying controllers; returns whether everything held."""
    rng = random.Random(seed)
    fleet = build(folder, 5, snapshot_entries=60)
    record = Record()
    try:
        await fleet.wait_settled()
        operators = [
            Operator(fleet, record, number, random.Random(rng.random()))
            for number in range(OPERATORS)
        ]
        share = patches // OPERATORS
        await asyncio.gather(kill_some(fleet, kills, rng), *(op.run(share) for op in operators))
        config = await get(fleet, "/v1/config")
        history = await get(fleet, "/v1/history")
    finally:
        fleet.close()
    present = set(config["document"]["customers"])
    ids = [item["patch_id"] for item in history["history"]]
    rows = {
        "accepted": len(record.accepted),
        "version": config["current"],
        "resent": record.resent,
        "kills": kills,
        "lost": len(set(record.accepted) - present),
        "present without acceptance": len(present - set(record.accepted)),
        "twice in history": len(ids) - len(set(ids)),
        "contradictory verdicts": len(record.contradictions),
    }
    for name, value in rows.items():
        print(f"{name:32} {value}")
    bad = ("lost", "present without acceptance", "twice in history", "contradictory verdicts")
    return not any(rows[name] for name in bad) and rows["version"] == rows["accepted"]


async def restart(folder: Path, changes: int, entries: int) -> None:
    """Makes changes on one controller, kills it, and measures its restart."""
    fleet = build(folder, 1, snapshot_entries=entries)
    try:
        await fleet.wait_settled()
        headers = {"Authorization": f"Bearer {fleet.credential()}"}
        url = f"http://{fleet.daemons['c0'].control}/v1/patches"
        began = time.monotonic()
        async with aiohttp.ClientSession(headers=headers) as session:
            for number in range(changes):
                patch = {"customers": {f"c{number % 50}": {"rate": number + 1, "burst": 5}}}
                body = {"patch_id": f"p{number}", "base": number, "patch": patch}
                async with session.post(url, json=body) as response:
                    assert response.status == 200, await response.text()
        wrote_s = time.monotonic() - began
        fleet.kill("c0")
        began = time.monotonic()
        fleet.start_daemon("c0")

        async def back() -> bool:
            status = await fleet.status("c0")
            return bool(status and status["controller"]["version"] == changes)

        await fleet.wait_for(back, "restart")
        status = await fleet.status("c0")
        read = status["controller"]["bytes_read_at_start"]
        kind = f"snapshot each {entries}" if entries < changes else "no snapshot"
        print(
            f"{kind:24} {changes} changes in {wrote_s:.1f} s; "
            f"restart {time.monotonic() - began:.2f} s, {read} bytes read"
        )
    finally:
        fleet.close()


async def run(patches: int, kills: int, changes: int, seed: int) -> bool:
    """Runs both parts."""
    with tempfile.TemporaryDirectory() as holder:
        held = await run_chaos(Path(holder) / "chaos", patches, kills, seed)
        for entries in (10_000_000, 1000):
            await restart(Path(holder) / f"restart{entries}", changes, entries)
        return held


def main(patches: int = 200, kills: int = 12, changes: int = 2000, seed: int = 1) -> None:
    """Prints what came of it."""
    raise SystemExit(0 if uvloop.run(run(patches, kills, changes, seed)) else 1)


if __name__ == "__main__":
    fire.Fire(main)
