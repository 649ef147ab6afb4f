"""A leaving backend's late heartbeat: does the node send requests to it again?"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import (  # noqa: E402
    BOUNDS,
    OUTBOUND,
    Backend,
    SetupError,
    attempt_headers,
    call,
    configuration,
    main,
    new_attempt,
)

FRONT, LEAVING, OTHER = "sidecar-a-1", "sidecar-b-1", "sidecar-c-1"
answers: dict[str, int] = {}
LATE_S = 2.4  # How late the last heartbeat before the deregistration arrives.
EXIT_S = 2.8  # After the acknowledgement: `drainMs` and a little longer.
WORK_S = 0.4


class LeavingBackend(Backend):
    """Says in all its answers that it leaves, once it has deregistered, and exits in the end."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.writers: set = set()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        await super()._serve(reader, writer)

    def exit(self) -> None:
        self.record.write(f"exit   {self.instance}")
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    def extra_headers(self) -> str:
        return "Server-Leaving: 1\r\n" if self.state != "ready" else ""


async def play(fleet, record, trouble):
    for zone in "abc":
        await fleet.add(f"core-{zone}-1", zone)
    await fleet.add(FRONT, "a", "front")
    await fleet.add(LEAVING, "b", "ledger")
    await fleet.add(OTHER, "c", "ledger")
    for name in fleet.numbers:
        fleet.start(name)
    await fleet.start_backends(lambda path: WORK_S, kind=LeavingBackend)
    route = {"name": "r-dues", "pathPrefix": "/dues/", "kind": "unsafe", "service": "ledger"}
    await fleet.put_config(configuration(1, ["front", "ledger"], [route]), 0)
    await fleet.wait_ready(fleet.backends)
    await asyncio.sleep(4.0)
    for _ in range(4):
        await asyncio.gather(*(send(fleet, record) for _ in range(4)))
    backend = fleet.backends[LEAVING]
    if not backend.runs:
        raise SetupError("the backend was not in use")
    # The backend sends a heartbeat, which is on its way for some seconds, and deregisters.
    backend.beating = False
    late = backend.beat_body("ready")
    backend.state = "leaving"
    body = json.dumps({"born": backend.born}).encode()
    status = await backend.post("deregister", body)
    acked_at = record.now()
    record.write(f"acked  deregistration of {backend.instance}: {status}")
    asyncio.get_running_loop().call_later(EXIT_S, backend.exit)
    await asyncio.sleep(LATE_S)
    if trouble:
        status = await backend.post("heartbeat", late)
        record.write(f"beat   {backend.instance}, {LATE_S} s late: {status}")
    await asyncio.sleep(0.1)
    before = set(backend.runs)
    for _ in range(4):
        await asyncio.gather(*(send(fleet, record) for _ in range(16)))
        await asyncio.sleep(0.1)
    breaks = []
    for attempt in set(backend.runs) - before:
        after_s = backend.began[attempt] - acked_at
        if after_s > BOUNDS["drainMs"] / 1000:
            breaks.append(
                f"DRAIN: {attempt} reached {backend.instance} {after_s:.2f} s after the"
                f" acknowledgement, and was answered {answers[attempt]}"
            )
    return breaks


async def send(fleet, record):
    attempt = new_attempt()
    record.write(f"sent   {attempt} POST /dues/x to {FRONT}")
    headers = attempt_headers(attempt, 5000)
    status, _, _ = await call((fleet.ip(FRONT), OUTBOUND), "POST", "/dues/x", headers, b"dues", 6.0)
    answers[attempt] = status
    record.write(f"answer {attempt} {status}")


main(play)
