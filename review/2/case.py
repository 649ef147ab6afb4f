"""A planned stop of a node whose clients send further requests before the first is answered."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import (  # noqa: E402
    BOUNDS,
    OUTBOUND,
    attempt_headers,
    configuration,
    main,
    new_attempt,
    read_response,
    request,
)

WORK_S, DEADLINE_MS, PIPELINED = 0.04, 5000, 3
FIRST, SECOND = "sidecar-a-1", "sidecar-a-2"


class Client:
    """Keeps connections open and sends safe requests ahead of the answers to earlier ones."""

    def __init__(self, fleet, record, name) -> None:
        self.fleet, self.record, self.name = fleet, record, name
        self.lost: list[tuple[str, float]] = []
        self.answered = 0

    async def run(self, until: float) -> None:
        while time.monotonic() < until:
            try:
                await self._use_connection(until)
            except OSError:
                pass
            await asyncio.sleep(0.05)

    async def _use_connection(self, until: float) -> None:
        if not self.fleet.gets_clients(self.name):
            return
        reader, writer = await asyncio.open_connection(self.fleet.ip(self.name), OUTBOUND)
        waiting: list[tuple[str, float]] = []
        try:
            while True:
                while len(waiting) < PIPELINED and self._may_send(until):
                    attempt = new_attempt()
                    headers = attempt_headers(attempt, DEADLINE_MS)
                    writer.write(request("GET", "/benches/x", headers))
                    self.record.write(f"sent   {attempt} GET /benches/x to {self.name}")
                    waiting.append((attempt, self.record.now()))
                if not waiting:
                    return
                status, headers, _ = await read_response(reader)
                attempt, _ = waiting.pop(0)
                self.answered += 1
                closes = headers.get("connection", "").lower() == "close"
                self.record.write(f"answer {attempt} {status}{' and closes' if closes else ''}")
                if closes:
                    return
        except (asyncio.IncompleteReadError, OSError) as exc:
            self.record.write(f"closed {exc!r}")
        finally:
            writer.close()
            for attempt, sent_at in waiting:
                self.record.write(f"lost   {attempt}: no answer")
                self.lost.append((attempt, sent_at))

    def _may_send(self, until: float) -> bool:
        return time.monotonic() < until and self.fleet.gets_clients(self.name)


async def play(fleet, record, trouble):
    for zone in "abc":
        await fleet.add(f"core-{zone}-1", zone)
    await fleet.add(FIRST, "a", "benchbook")
    await fleet.add(SECOND, "a", "benchbook")
    await fleet.add("sidecar-b-1", "b", "benchbook")
    await fleet.add("sidecar-c-1", "c", "benchbook")
    await fleet.add("sidecar-c-2", "c", "benchbook")
    for name in fleet.numbers:
        fleet.start(name)
    await fleet.start_backends(lambda path: WORK_S)
    route = {
        "name": "r-benches",
        "pathPrefix": "/benches/",
        "kind": "safe",
        "service": "benchbook",
        "timeoutMs": 1000,
        "goalMs": 500,
    }
    await fleet.put_config(configuration(1, ["benchbook"], [route]), 0)
    await fleet.wait_ready(fleet.backends)
    fleet.start_platform()
    clients = [Client(fleet, record, SECOND) for _ in range(6)]
    until = time.monotonic() + 16
    tasks = [asyncio.create_task(client.run(until)) for client in clients]
    await asyncio.sleep(4.0)
    stopped_at = record.now()
    if trouble:
        fleet.signal(FIRST, signal.SIGTERM)
        fleet.signal(SECOND, signal.SIGTERM)
        for name in (FIRST, SECOND):
            await fleet.wait_ended(name)
            fleet.start(name, bootstrap=False)
    await asyncio.gather(*tasks)
    breaks = []
    runs = {}
    for backend in fleet.backends.values():
        runs |= backend.runs
    for client in clients:
        for attempt, sent_at in client.lost:
            in_time = stopped_at <= sent_at <= stopped_at + BOUNDS["graceS"] + 1
            if attempt in runs and in_time:
                after_s = sent_at - stopped_at
                breaks.append(f"LOST: {attempt}, sent {after_s:.2f} s after SIGTERM, had run")
    record.write(f"answered {sum(client.answered for client in clients)}")
    return breaks


main(play)
