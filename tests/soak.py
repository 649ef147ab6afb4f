"""Fault injection soak test: real processes under load, checked from callers and backends.

`python -m tests.soak --seeds=1-50` runs a range of seeds, `--fresh=10` runs ten random new ones.
`--seconds=20` sets how long faults are injected, `--report=FOLDER` writes a plot of each run.
With `--announce`, backends also announce rate limits and that they are leaving. With `--evacuate`,
failure domains are evacuated and brought back. With `--crowd`, clients that don't behave make nodes
hold as much as they can.
"""

import asyncio
import contextlib
import json
import random
import resource
import signal
import sys
import time
from dataclasses import dataclass, field

import fire

from tests.meshes import Caller
from tests.platform_fleet import (
    CALLERS_PORT,
    Fleet,
    address,
    call_node,
    config,
    put_config,
    read_config,
    ready_status,
    wait_until,
)
from tests.proxies import INBOUND, OUTBOUND
from tests.soak_announcements import Announcer, AnnouncingBackend
from tests.soak_crowds import LIMITS, MAX_FDS, MEMORY_MB, Crowd
from tests.soak_evacuations import Evacuator
from tests.soak_reports import describe, plot

CONTROLLERS, NODES = (1, 2, 3), (11, 12, 13)
SERVICES = {11: "s1", 12: "s1", 13: "s2"}
CALLERS_PER_NODE = 3
CALLER_INTERVAL_S = 0.03  # Between two requests of a caller.
DEADLINE_MS = 2000
PROBE_DEADLINE_MS = 900  # For requests of the test itself, which time out after 1 s.
MAX_REVOKE_S, MAX_APPLY_S = 5.0, 2.0  # Bounds in the platform's settings.
RECOVERY_S = 30.0
STABLE_S = 3.0  # As in the platform's settings: stable after this long without a fault.
# Crashes that one fatal request may cause: in total, and late ones while nodes were stable.
MAX_CRASHES, MAX_LATE_CRASHES = 3, 3
FATAL_SEND_COUNT, FATAL_INTERVAL_S = 8, 0.4  # How often a fatal request is sent.
NOT_RUN_STATUSES = (408, 421, 429, 503)  # Responses that guarantee that the request did not run.
API_KEYS = ("k1", "k2")

# Seeds that once failed, each with its cause. CI runs all of them.
REGRESSION_SEEDS: dict[int, str] = {
    15: "controllers forwarded suspect updates to one another in an endless loop",
}


@dataclass
class RequestRecord:
    """A request of a caller and its response; status 0 means that none was received."""

    attempt_id: str
    key: str
    repeatable: bool
    sent_at: float
    status: int = 0
    body: bytes = b""
    received_at: float = 0.0


@dataclass
class Soak:
    """A soak run of one seed."""

    seed: int
    seconds: float
    announcing: bool = False
    evacuating: bool = False
    crowded: bool = False
    fleet: Fleet = field(default_factory=lambda: Fleet(proxied=True))
    requests: list[RequestRecord] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    acknowledged: tuple[float, int, bytes] = (0.0, 0, b"")
    is_version_unknown: bool = False
    running: bool = True

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.started_at = time.monotonic()
        self.backends = {
            number: AnnouncingBackend(number, f"i-{number}", service, 0.03)
            for number, service in SERVICES.items()
        }
        announcer_rng = random.Random(f"{self.seed}-announcer")
        self.announcer = Announcer(announcer_rng, list(self.backends.values()))
        evacuator_rng = random.Random(f"{self.seed}-evacuator")
        self.evacuator = Evacuator(evacuator_rng, list(self.backends.values()))
        self.crowd = Crowd(random.Random(f"{self.seed}-crowd"), self.fleet, NODES)
        if self.crowded:
            self.fleet.limits = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}

    def record_fault(self, text: str) -> None:
        self.faults.append((time.monotonic() - self.started_at, text))

    def make_config(self, version: int, keys: list[str]) -> bytes:
        """Returns a configuration with one customer."""
        changes = {"limits": LIMITS} if self.crowded else {}
        return config(f"{version:08x}", tenants=[{"name": "t1", "apiKeys": keys}], **changes)

    # Load

    async def run_caller(self, number: int, caller: int) -> None:
        """Sends requests over one connection at a time, and reconnects when it closes."""
        rng = random.Random(f"{self.seed}-{number}-{caller}")
        request_count = 0
        while self.running:
            try:
                streams = await asyncio.open_connection(address(number), CALLERS_PORT)
                conn = Caller(*streams)
                while self.running:
                    request_count += 1
                    request = RequestRecord(
                        f"{number}.{caller}.{request_count}".replace(".", "-"),
                        rng.choice(API_KEYS),
                        rng.random() < 0.5,
                        time.monotonic(),
                    )
                    self.requests.append(request)
                    await self.send_request(conn, request)
                    await asyncio.sleep(CALLER_INTERVAL_S)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)

    async def send_request(self, conn: Caller, request: RequestRecord) -> None:
        path = "/a/x" if request.repeatable else "/b/x"
        lines = [f"GET {path} HTTP/1.1", "Host: one.example", f"X-Attempt-Id: {request.attempt_id}"]
        lines += [f"X-Deadline-Ms: {DEADLINE_MS}", f"X-Credential: {request.key}", "", ""]
        conn.writer.write("\r\n".join(lines).encode())
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            request.status, head, request.body = await conn.read_response()
        request.received_at = time.monotonic()
        if "Connection: close" in head:
            raise ConnectionResetError("the node is closing the connection")

    # Faults

    async def inject_faults(self) -> None:
        """Injects random faults, which may overlap."""
        end = time.monotonic() + self.seconds
        injectors = {
            self.pause: 3,
            self.kill: 2,
            self.stop: 2,
            self.kill_controller: 1,
            self.wipe_controller: 1,
            self.fill_disk: 1,
            self.publish_config: 4,
            self.inject_link_fault: 4,
            self.send_fatal: 3,
        }
        tasks = []
        while time.monotonic() < end:
            injector = self.rng.choices(tuple(injectors), tuple(injectors.values()))[0]
            tasks.append(asyncio.create_task(injector()))
            await asyncio.sleep(self.rng.uniform(0.1, 2.5))
        await asyncio.gather(*tasks)

    def _choose_without_fault(self, numbers) -> int | None:
        """Returns a random process without an active fault, or None."""
        idle = [number for number in numbers if number not in self.busy]
        return self.rng.choice(idle) if idle else None

    busy: set[int] = field(default_factory=set)
    last_fault_at: dict[int, float] = field(default_factory=dict)
    fatal_sends: list[tuple[str, float, bool]] = field(default_factory=list)

    async def pause(self) -> None:
        await self._inject_into_one(NODES + CONTROLLERS, "pause", self._pause)

    async def kill(self) -> None:
        await self._inject_into_one(NODES, "kill", self._kill)

    async def stop(self) -> None:
        await self._inject_into_one(NODES, "stop", self._stop)

    async def kill_controller(self) -> None:
        await self._inject_into_one(CONTROLLERS, "kill controller", self._kill)

    async def wipe_controller(self) -> None:
        """Restarts one controller with an empty data directory, if no controller has a fault."""
        if not self.busy & set(CONTROLLERS):
            self.busy |= set(CONTROLLERS)
            number = self.rng.choice(CONTROLLERS)
            self.record_fault(f"wipe {number}")
            self.fleet.kill(number)
            self.fleet.wipe(number)
            self.fleet.restart(number)
            await asyncio.sleep(4.0)
            self.busy -= set(CONTROLLERS)
            self.last_fault_at[number] = time.monotonic()

    def is_stable(self, number: int) -> bool:
        """Tells whether neither the node nor a controller had a fault within STABLE_S."""
        numbers = {number, *CONTROLLERS}
        since = time.monotonic() - STABLE_S
        return not numbers & self.busy and all(
            self.last_fault_at.get(item, self.started_at) < since for item in numbers
        )

    async def send_fatal(self) -> None:
        """Sends a request that crashes its upstreams, to one node after the other."""
        path = f"/a/fatal-{len(self.fatal_sends)}"
        self.record_fault(f"fatal request {path}")
        for index in range(FATAL_SEND_COUNT):
            number = NODES[index % len(NODES)]
            self.fatal_sends.append((path, time.monotonic(), self.is_stable(number)))
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1):
                    key = next((key for key in API_KEYS if key not in self.revoked_at), API_KEYS[0])
                    await call_node(number, path, f"{path[3:]}-{index}", key, PROBE_DEADLINE_MS)
            await asyncio.sleep(FATAL_INTERVAL_S)

    def crash_times(self, path: str) -> list[float]:
        """Returns when upstreams crashed while they ran a request."""
        all_crashes = [item for backend in self.backends.values() for item in backend.crashes]
        return sorted(at for at, target in all_crashes if target == path)

    def check_fatal_requests(self) -> None:
        """Checks that fatal requests get quarantined, as far as nodes were stable."""
        for path in {path for path, _, _ in self.fatal_sends}:
            crashes = self.crash_times(path)
            if len(crashes) <= MAX_CRASHES:
                continue
            since = crashes[MAX_CRASHES - 1] + STABLE_S
            sends = [
                (at, was_stable) for target, at, was_stable in self.fatal_sends if target == path
            ]
            late = [
                at
                for at in crashes[MAX_CRASHES:]
                if at > since and max((sent for sent in sends if sent[0] <= at), default=(0, 0))[1]
            ]
            if len(late) > MAX_LATE_CRASHES:
                self.violations.append(
                    f"{path} crashed {len(crashes)} upstreams, {len(late)} of them late"
                )

    async def check_fatal_request_after_faults(self) -> None:
        """Sends another fatal request after all faults: it may crash at most three upstreams."""
        await asyncio.sleep(STABLE_S)
        self.last_fault_at.clear()
        await self.send_fatal()
        path = self.fatal_sends[-1][0]
        crashes = len(self.crash_times(path))
        if crashes > MAX_CRASHES:
            self.violations.append(f"{path} crashed {crashes} upstreams without other faults")

    async def _inject_into_one(self, numbers, name, inject) -> None:
        if set(numbers) & set(CONTROLLERS) and self.busy & set(CONTROLLERS):
            numbers = tuple(number for number in numbers if number not in CONTROLLERS)
        number = self._choose_without_fault(numbers)
        if number is None:
            return
        self.busy.add(number)
        self.record_fault(f"{name} {number}")
        await inject(number)
        self.busy.discard(number)
        self.last_fault_at[number] = time.monotonic()

    async def fill_disk(self) -> None:
        await self._inject_into_one(CONTROLLERS, "fill disk", self._fill_disk)

    async def inject_link_fault(self) -> None:
        name = self.rng.choice(
            ("delay link", "reset link", "block inbound", "block outbound", "block link")
        )

        async def inject(number: int) -> None:
            proxy = self.fleet.proxies[number]
            match name:
                case "delay link":
                    proxy.delay_s = self.rng.uniform(0.01, 0.4)
                case "reset link":
                    proxy.reset()
                case "block inbound":
                    proxy.block(INBOUND)
                case "block outbound":
                    proxy.block(OUTBOUND)
                case "block link":
                    proxy.block(INBOUND, OUTBOUND)
            await asyncio.sleep(self.rng.uniform(0.2, 6.0))
            proxy.restore()
            await asyncio.sleep(1.0)

        await self._inject_into_one(NODES + CONTROLLERS, name, inject)

    async def _fill_disk(self, number: int) -> None:
        """Keeps files of a controller from growing for a while, as on a full disk."""
        pid = self.fleet.processes[number].pid
        before = resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        await asyncio.sleep(self.rng.uniform(0.2, 5.0))
        resource.prlimit(pid, resource.RLIMIT_FSIZE, before)
        await asyncio.sleep(1.0)

    async def _pause(self, number: int) -> None:
        process = self.fleet.processes[number]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 6.0))
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)

    async def _kill(self, number: int) -> None:
        self.fleet.kill(number)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.fleet.restart(number)
        await asyncio.sleep(2.0)

    async def _stop(self, number: int) -> None:
        process = self.fleet.processes[number]
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.to_thread(process.wait), 7.0)
        except TimeoutError:
            self.violations.append(f"node {number} did not stop within its grace period")
            self.fleet.kill(number)
        self.fleet.restart(number)
        await asyncio.sleep(1.0)

    async def publish_config(self) -> None:
        """Publishes a configuration, which may revoke an API key or restore it."""
        if "operator" in self.busy:
            return
        self.busy.add("operator")
        _, version, _ = self.acknowledged
        keys = list(API_KEYS) if self.rng.random() < 0.5 else [self.rng.choice(API_KEYS)]
        raw = self.make_config(version + 2, keys)
        for _ in range(8):
            status = await put_config(raw, f"{version:08x}")
            if status is not None:
                break
            await asyncio.sleep(0.2)
        self.record_fault(f"publish version {version + 2} with keys {keys}: {status}")
        now = time.monotonic()
        if status == 200:
            self.acknowledged = (now, version + 2, raw)
            for key in API_KEYS:
                if key in keys:
                    self.revoked_at.pop(key, None)
                else:
                    self.revoked_at.setdefault(key, now)
        elif status is None:
            self.is_version_unknown = True
            return  # Stays busy: the current version is unknown, so publish no others.
        else:
            self.violations.append(f"publishing on top of version {version} got status {status}")
        self.busy.discard("operator")

    async def monitor(self) -> None:
        """Checks the configuration and the use of revoked keys while faults are injected."""
        first_unchecked = 0
        while self.running:
            await asyncio.sleep(0.5)
            acknowledged_at, version, _ = self.acknowledged
            is_due = time.monotonic() > acknowledged_at + MAX_APPLY_S
            current = await read_config()
            if current is not None and is_due and int(current["version"], 16) < version:
                self.violations.append(
                    f"read version {current['version']} after {version} was acknowledged"
                )
            for request in self.requests[first_unchecked:]:
                revoked_at = self.revoked_at.get(request.key)
                if revoked_at is None or request.sent_at < revoked_at + MAX_REVOKE_S:
                    continue
                if self.run_count(request.attempt_id):
                    self.violations.append(
                        f"{request.attempt_id} ran with revoked key {request.key}"
                    )
            first_unchecked = max(0, len(self.requests) - 200)

    def run_count(self, attempt_id: str) -> int:
        return sum(backend.runs.get(attempt_id, 0) for backend in self.backends.values())

    # Run and checks

    async def run(self) -> None:
        """Runs load and faults; afterwards `violations` lists what failed."""
        for backend in self.backends.values():
            await backend.start()
        await self.fleet.start_proxies(CONTROLLERS, NODES)
        for number in CONTROLLERS:
            self.fleet.launch("core", number)
        for number in NODES:
            self.fleet.launch("side", number, SERVICES[number])
        initial = self.make_config(1, list(API_KEYS))
        await wait_until(lambda: put_config(initial, "00000000"), 200)
        self.acknowledged = (time.monotonic(), 1, initial)
        await self.wait_until_serving()
        callers = [
            asyncio.create_task(self.run_caller(number, caller))
            for number in NODES
            for caller in range(CALLERS_PER_NODE)
        ]
        monitor = asyncio.create_task(self.monitor())
        announcing_s = self.seconds if self.announcing else 0.0
        evacuating_s = self.seconds if self.evacuating else 0.0
        crowded_s = self.seconds if self.crowded else 0.0
        await asyncio.gather(
            self.inject_faults(),
            self.announcer.run(announcing_s),
            self.evacuator.run(evacuating_s),
            self.crowd.run(crowded_s),
        )
        if self.evacuating:
            await self.evacuator.finish()
        try:
            await self.wait_until_serving()
        except TimeoutError:
            self.violations.append(f"not serving {RECOVERY_S:g} s after the last fault")
        self.running = False
        await asyncio.gather(*callers, monitor)
        if not self.violations:
            await self.check_fatal_request_after_faults()
        await self.check()

    async def wait_until_serving(self) -> None:
        """Waits until every node is ready and serves a request. Raises TimeoutError."""
        for number in NODES:

            async def probe(number=number):
                key = next(key for key in API_KEYS if key not in self.revoked_at)
                attempt_id = f"s-{number}-{time.monotonic_ns()}"
                status = await ready_status(number)
                async with asyncio.timeout(1):
                    response = await call_node(number, "/b/x", attempt_id, key, PROBE_DEADLINE_MS)
                return status, response[0]

            async def probe_or_none(probe=probe):
                try:
                    return await probe()
                except TimeoutError:
                    return None

            await wait_until(probe_or_none, (200, 200), RECOVERY_S)

    async def check(self) -> None:
        """Checks the guarantees over the whole run."""
        for request in self.requests:
            runs = self.run_count(request.attempt_id)
            if not request.repeatable and runs > 1:
                self.violations.append(
                    f"{request.attempt_id} is not repeatable but ran {runs} times"
                )
            if not request.repeatable and runs and request.status in NOT_RUN_STATUSES:
                self.violations.append(f"{request.attempt_id} ran but got status {request.status}")
            if request.status == 200 and request.body.decode() != request.attempt_id:
                self.violations.append(f"{request.attempt_id} got response body {request.body!r}")
        self.check_fatal_requests()
        self.check_announcements()
        self.violations += self.crowd.find_violations()
        current = await read_config()
        _, version, raw = self.acknowledged
        if current is None or int(current["version"], 16) < version:
            self.violations.append(
                f"final version is {current and current['version']}, acknowledged {version}"
            )
        elif not self.is_version_unknown and current != json.loads(raw):
            self.violations.append("the final configuration differs from the published one")

    def check_announcements(self) -> None:
        """Checks that backends got no more than they had announced to accept."""
        received = {item.attempt_id: item.received_at for item in self.requests if item.status}
        faults = [(self.started_at + at, text) for at, text in self.faults]
        self.violations += self.announcer.find_violations(received, faults)
        self.violations += self.evacuator.find_violations(faults)

    def close(self) -> None:
        self.fleet.close()
        for backend in self.backends.values():
            backend.close()


async def run_seed(
    seed: int,
    seconds: float,
    announcing: bool = False,
    evacuating: bool = False,
    crowded: bool = False,
) -> Soak:
    """Runs one seed; writes the processes' logs to the working directory if a check failed."""
    soak = Soak(seed, seconds, announcing, evacuating, crowded)
    try:
        await soak.run()
    finally:
        if soak.violations:
            for number, text in soak.fleet.read_logs().items():
                with open(f"soak-{seed}-{number}.log", "w") as file:
                    file.write(text)
        soak.close()
    return soak


def list_seeds(seeds: str, fresh: int) -> list[int]:
    """Returns the seeds of a range like `1-50` or `7`, and `fresh` random ones."""
    listed = []
    if seeds:
        first, _, last = seeds.partition("-")
        listed += range(int(first), int(last or first) + 1)
    draw = random.SystemRandom()
    return listed + [draw.randrange(1000, 10**9) for _ in range(fresh)]


def main(
    seeds: str = "",
    fresh: int = 0,
    seconds: float = 20.0,
    report: str = "",
    announce: bool = False,
    evacuate: bool = False,
    crowd: bool = False,
) -> None:
    """Runs seeds; the exit status is the number of failed ones, at most 99."""
    failed = 0
    for seed in list_seeds(str(seeds), fresh):
        run = asyncio.run(run_seed(seed, seconds, announce, evacuate, crowd))
        print(describe(run), flush=True)
        if report:
            plot(run, report)
        failed += bool(run.violations)
    print(f"{failed} seeds failed")
    sys.exit(min(failed, 99))


if __name__ == "__main__":
    fire.Fire(main)
