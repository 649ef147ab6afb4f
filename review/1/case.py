"""A zone is cut off while it runs an unsafe request of another zone: how often does it run?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import OUTBOUND, attempt_headers, call, configuration, main, new_attempt  # noqa: E402

WORK_S, DEADLINE_MS, CUT_S = 0.3, 6000, 4.0
FRONT = "sidecar-a-1"


async def play(fleet, record, trouble):
    for zone in "abc":
        await fleet.add(f"core-{zone}-1", zone)
    await fleet.add(FRONT, "a", "front")
    await fleet.add("sidecar-b-1", "b", "orders")
    await fleet.add("sidecar-c-1", "c", "orders")
    for name in fleet.numbers:
        fleet.start(name)
    await fleet.start_backends(lambda path: WORK_S)
    route = {
        "name": "r-orders",
        "pathPrefix": "/orders/",
        "kind": "unsafe",
        "service": "orders",
        "timeoutMs": DEADLINE_MS,
        "goalMs": 2000,
        "priority": 0,
    }
    await fleet.put_config(configuration(1, ["front", "orders"], [route]), 0)
    await fleet.wait_ready(fleet.backends)
    await asyncio.sleep(4.0)
    breaks = []
    for _ in range(2):
        attempts = [new_attempt() for _ in range(8)]
        calls = [asyncio.create_task(order(fleet, record, attempt)) for attempt in attempts]
        await asyncio.sleep(WORK_S / 2)
        if trouble:
            record.write(f"cut    zone b from the other zones for {CUT_S} s")
            fleet.network.cut("sidecar-b-1", "core-b-1")
        await asyncio.sleep(CUT_S)
        fleet.network.heal()
        record.write("healed")
        statuses = dict(zip(attempts, await asyncio.gather(*calls), strict=True))
        await asyncio.sleep(5.0)
        for attempt, status in statuses.items():
            runs = sum(backend.runs.get(attempt, 0) for backend in fleet.backends.values())
            if runs > 1:
                breaks.append(f"TWICE: {attempt} ran {runs} times")
            if runs and status in (408, 421, 429, 503):
                breaks.append(f"REFUSED: {attempt} ran and was answered {status}")
    return breaks


async def order(fleet, record, attempt):
    record.write(f"sent   {attempt} POST /orders/x to {FRONT}")
    headers = attempt_headers(attempt, DEADLINE_MS)
    try:
        status, _, _ = await call(
            (fleet.ip(FRONT), OUTBOUND), "POST", "/orders/x", headers, b"a timber order", 8.0
        )
    except (OSError, EOFError, TimeoutError) as exc:
        record.write(f"closed {attempt} {exc!r}")
        return 0
    record.write(f"answer {attempt} {status}")
    return status


main(play)
