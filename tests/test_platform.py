"""The adapter for the users' platform, against stand-ins that speak the platform's pages."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from adapter.documents import draft_config  # noqa: E402
from adapter.heartbeats import take_heartbeat, take_leave  # noqa: E402
from adapter.settings import load_settings  # noqa: E402

from marjoramvalve.fleet.states import unpack_document  # noqa: E402
from marjoramvalve.mesh import UpstreamState  # noqa: E402
from marjoramvalve.model import key_digest  # noqa: E402
from marjoramvalve.outcomes import Err, Fault, Ok  # noqa: E402
from tests.meshes import Caller  # noqa: E402

PLATFORM_WORDS = re.compile(
    r"\b(sidecar|tenant|tenants|virtualHosts|pathPrefix|goalMs|apiKeys|ratePerS|maxConns|coldLeftMs"
    r"|heartbeatAddr|bootstrap|faultCounted|readyz|deregister|X-Attempt-Id|X-Credential"
    r"|X-Deadline-Ms|X-Tenant|X-Server-[A-Za-z]+|X-Not-Executed|X-Base-Version)\b"
)


def config(version="0000000c", **changes):
    """Returns a configuration as the platform's operator sends it."""
    path = {
        "name": "r-1",
        "pathPrefix": "/a/",
        "kind": "safe",
        "timeoutMs": 1000,
        "goalMs": 1500,
        "priority": 2,
        "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
        "attempts": 2,
        "public": False,
    }
    order = {
        **path,
        "name": "r-2",
        "pathPrefix": "/b/",
        "kind": "unsafe",
        "service": "s1",
        "priority": 0,
    }
    del order["split"]
    tree = {
        "version": version,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 20, "protocol": "h1", "tls": False}
            for name in ("s1", "s2")
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 73, "burst": 73},
            {"name": "t2", "apiKeys": ["k3"], "ratePerS": 0},
        ],
        "virtualHosts": [{"host": "One.example", "paths": [path, order]}],
    }
    path.update(changes.pop("path", {}))
    tree.update(changes)
    return json.dumps(tree).encode()


class DocumentTests(unittest.TestCase):
    """Configurations."""

    def test_a_configuration_becomes_a_document(self):
        match draft_config(config(), 5):
            case Ok(draft):
                command = draft.command
        self.assertEqual((command.base, command.version), (5, 12))
        document = unpack_document(command.document)
        route, order = document.routes["r-1"], document.routes["r-2"]
        self.assertEqual((route.host, route.path), ("one.example", "/a/"))
        self.assertEqual(route.split, {"s1": 90.0, "s2": 10.0})
        self.assertEqual((route.deadline_ms, route.objective_ms, route.rank), (1000, 1500, 2))
        self.assertTrue(route.repeatable)
        self.assertFalse(order.repeatable or order.open)
        self.assertEqual(document.keys[key_digest("k2")].customer, "t1")
        self.assertEqual(document.customers["t1"].rank, 1)
        self.assertFalse(document.customers["t2"].limited)
        self.assertEqual(document.services["s1"].connections, 20)
        self.assertEqual(document.callers.body_bytes, 1000)

    def test_without_customers_every_route_is_open(self):
        tree = json.loads(config())
        del tree["tenants"]
        document = unpack_document(
            draft_config(json.dumps(tree).encode(), 0).value.command.document
        )
        self.assertTrue(document.routes["r-2"].open)

    def test_the_same_bytes_on_the_same_base_are_the_same_publication(self):
        ident = [draft_config(config(), base).value.command.publish_id for base in (5, 5, 4)]
        self.assertEqual(ident[0], ident[1])
        self.assertNotEqual(ident[0], ident[2])

    def test_what_is_invalid_is_refused(self):
        broken = {
            "cut short": config()[:-7],
            "unknown service": config(path={"split": [{"service": "s9", "weight": 1}]}),
            "weight below 0": config(path={"split": [{"service": "s1", "weight": -1}]}),
            "no weight": config(path={"split": [{"service": "s1", "weight": 0}]}),
            "time-out": config(path={"timeoutMs": 600_001}),
            "objective": config(path={"goalMs": 61_000}),
            "prefix": config(path={"pathPrefix": "a/"}),
            "host": config(virtualHosts=[{"host": "", "paths": []}]),
            "version": config("00000005"),
            "number": config(path={"timeoutMs": "soon"}),
            "list": config(services={"a": 1}),
        }
        for name, raw in broken.items():
            with self.subTest(name):
                self.assertIsInstance(draft_config(raw, 5), Err)

    def test_fields_that_are_not_known_are_left_alone(self):
        self.assertIsInstance(draft_config(config(future={"a": 1}, path={"x": 2}), 5), Ok)


def beat(**changes):
    """Returns a heartbeat."""
    tree = {
        "service": "s1",
        "address": "127.0.0.1:1",
        "zone": "z",
        "version": "v1",
        "capacity": 7,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 4,
        "born": 1000,
    }
    return json.dumps({**tree, **changes}).encode()


class HeartbeatTests(unittest.TestCase):
    """What upstreams say of themselves."""

    def take(self, state, raw, instance="i-1"):
        return take_heartbeat(state, instance, raw, "s1", 50.0)

    def setUp(self):
        self.state = self.take(UpstreamState(), beat())

    def test_a_first_heartbeat(self):
        self.assertEqual(self.state, UpstreamState("i-1", "s1", 7, True, 1000, 4, 0.0))

    def test_cold_upstreams_tell_for_how_long(self):
        self.assertEqual(self.take(UpstreamState(), beat(coldLeftMs=2500)).cold_until, 52.5)

    def test_old_and_late_ones_change_nothing(self):
        draining = self.take(self.state, beat(seq=5, state="draining"))
        self.assertFalse(draining.ready)
        self.assertIs(self.take(draining, beat(seq=4)), draining)
        other = self.take(draining, beat(seq=1, born=900), "i-0")
        self.assertIs(other, draining)

    def test_a_new_start_under_the_same_name(self):
        again = self.take(self.state, beat(seq=1, born=2000))
        self.assertEqual((again.seq, again.born, again.ready), (1, 2000, True))

    def test_a_new_instance_takes_over(self):
        again = self.take(self.state, beat(seq=1, born=2000), "i-2")
        self.assertEqual(again.instance, "i-2")

    def test_what_is_unfit_is_refused(self):
        for change in (
            {"service": "s2"},
            {"state": "odd"},
            {"state": 3},
            {"capacity": "many"},
            {"capacity": 0},
            {"seq": None},
            {"born": 1.5},
        ):
            with self.subTest(change):
                self.assertIsNone(self.take(self.state, beat(**change)))
        self.assertIsNone(self.take(self.state, b"\xff{"))

    def test_leaving(self):
        self.assertFalse(take_leave(self.state, "i-1", b"").ready)
        self.assertFalse(take_leave(self.state, "i-1", b'{"born":1000,"seq":9}').ready)
        self.assertTrue(take_leave(self.state, "i-2", b"").ready)
        self.assertTrue(take_leave(self.state, "i-1", b'{"born":999}').ready)


class BoundaryTests(unittest.TestCase):
    """The adapter stays a folder of its own."""

    def test_nothing_outside_knows_a_name_of_the_platform(self):
        found = []
        for path in sorted((ROOT / "src").rglob("*.py")):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if PLATFORM_WORDS.search(line):
                    found.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual(found, [])

    def test_the_product_does_not_import_the_adapter(self):
        for path in (ROOT / "src").rglob("*.py"):
            self.assertNotRegex(path.read_text(), r"(?m)^\s*(from|import) adapter\b")

    def test_the_module_platform_is_still_found(self):
        code = "import platform, sys; sys.exit(not platform.python_version())"
        for folder in (ROOT / "platform", ROOT):
            done = subprocess.run([sys.executable, "-c", code], cwd=folder, check=False)
            self.assertEqual(done.returncode, 0)
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

    def test_the_adapter_is_small(self):
        def lines(folder):
            return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))

        self.assertLess(lines(ROOT / "platform"), lines(ROOT / "src") / 10)


class SettingsTests(unittest.TestCase):
    """The settings file."""

    def load(self, raw):
        with tempfile.NamedTemporaryFile() as file:
            file.write(raw)
            file.flush()
            before = dict(os.environ)
            os.environ["MARJORAMVALVE_SETTINGS"] = file.name
            try:
                return load_settings()
            finally:
                os.environ.clear()
                os.environ.update(before)

    def test_faults_name_the_file(self):
        self.assertIsInstance(self.load(b"{"), Fault)
        self.assertIsInstance(self.load(b'{"nodeName": 3}'), Fault)

    def test_controllers_are_found_at_the_first_internal_port(self):
        settings = self.load(json.dumps(settings_file("core", 1, "/data")).encode())
        self.assertEqual(settings.controller_address, "127.0.77.1:17000")
        self.assertEqual(settings.controller_seeds[2], "127.0.77.3:17000")


def settings_file(kind, number, folder, service=None, first=True):
    """Returns the settings of a process at an address of its own."""
    ip = f"127.0.77.{number}"
    listen = {"control": f"{ip}:18540"}
    if kind != "core":
        ports = {"inbound": 18543, "outbound": 18548, "ready": 18546}
        listen.update({name: f"{ip}:{port}" for name, port in ports.items()})
    return {
        "nodeName": f"{kind}-{number}",
        "zone": f"z{number % 3}",
        "ip": ip,
        "listen": listen,
        "internalPorts": [17000, 17015],
        "seeds": [f"127.0.77.{seed}:18540" for seed in (1, 2, 3)],
        "bootstrap": first,
        "dataDir": folder,
        "appAddr": f"{ip}:18547" if service else None,
        "service": service,
        "bounds": {"revokeMs": 5000, "graceS": 6, "drainMs": 2000, "future": 1},
        "future": {"a": 1},
    }


class Backend:
    """A stand-in of the platform's application server."""

    def __init__(self, ip: str, name: str) -> None:
        self.ip = ip
        self.name = name
        self.heads: list[str] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.ip, 18547)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = re.search(r"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(size[1]) if size else 0)
                self.heads.append(head)
                attempt = re.search(r"X-Attempt-Id: (\S+)", head)
                extra = f"X-Attempt-Id: {attempt[1]}\r\n" if attempt else ""
                extra += f"X-Instance-Id: {self.name}\r\nX-Server-Load: 0,0,5\r\n"
                extra += "X-Server-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok"
                writer.write(f"HTTP/1.1 200 OK\r\n{extra}".encode())
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def beat(self, **changes) -> int:
        call = f"/instances/{self.name}/heartbeat"
        return (await control(self.ip, "POST", call, beat(**changes)))[0]


async def http(ip, port, method, path, body=b"", headers=""):
    """Makes one call; returns status, head and body."""
    reader, writer = await asyncio.open_connection(ip, port)
    head = f"{method} {path} HTTP/1.1\r\nHost: one.example\r\n{headers}"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    try:
        return await Caller(reader, writer).answer()
    finally:
        writer.close()


async def control(ip, method, path, body=b"", headers=""):
    """Makes a call at a control address."""
    return await http(ip, 18540, method, path, body, headers)


class ProcessTests(unittest.TestCase):
    """Controllers and nodes as processes of their own, through the platform's calls."""

    def setUp(self):
        self.holder = tempfile.TemporaryDirectory()
        self.addCleanup(self.holder.cleanup)
        self.processes: dict[int, subprocess.Popen] = {}
        self.addCleanup(self.stop)

    def stop(self):
        for process in self.processes.values():
            process.kill()
            process.wait()

    def launch(self, kind, number, service=None, first=True):
        folder = Path(self.holder.name) / f"data-{number}"
        folder.mkdir(exist_ok=True)
        file = Path(self.holder.name) / f"{number}.json"
        file.write_text(json.dumps(settings_file(kind, number, str(folder), service, first)))
        role = "controller" if kind == "core" else "node"
        self.processes[number] = subprocess.Popen(
            [sys.executable, "platform/run.py", role],
            cwd=ROOT,
            env={**os.environ, "MARJORAMVALVE_SETTINGS": str(file)},
            stdout=subprocess.DEVNULL,
        )

    async def until(self, ask, wanted):
        """Asks until the outcome is the wanted one; the test fails after a minute."""
        async with asyncio.timeout(60):
            while True:
                try:
                    outcome = await ask()
                    if outcome == wanted:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    async def put(self, raw, base):
        """Puts a configuration at any controller that gives a clear answer."""
        for number in (1, 2, 3):
            try:
                headers = f"X-Base-Version: {base}\r\n"
                path = "/config/put"
                status, _, _ = await control(f"127.0.77.{number}", "POST", path, raw, headers)
            except OSError:
                continue
            if status not in (307, 503):
                return status
        return None

    async def ask(self, number, path, attempt, key="k1"):
        headers = f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\nX-Credential: {key}\r\n"
        return await http(f"127.0.77.{number}", 18548, "GET", path, headers=headers)

    async def ready(self, number):
        return (await http(f"127.0.77.{number}", 18546, "GET", "/readyz"))[0]

    async def get(self):
        """Reads the configuration from whoever answers for the group."""
        for number in (1, 2, 3):
            try:
                status, _, body = await control(f"127.0.77.{number}", "GET", "/config/get")
            except OSError:
                continue
            if status == 200:
                return json.loads(body)
        return None

    def test_a_fleet_from_first_start_to_the_loss_of_a_disk(self):
        asyncio.run(self._play())

    async def _play(self):
        backend = Backend("127.0.77.12", "i-1")
        await backend.start()
        for number in (1, 2, 3):
            self.launch("core", number)
        self.launch("side", 11, "s2")
        self.launch("side", 12, "s1")

        # The first configuration, sent again, in a race, and broken.
        first, second = config("00000001"), config("00000004", future=2)
        await self.until(lambda: self.put(first, "00000000"), 200)
        self.assertEqual(await self.put(first, "00000000"), 200)
        self.assertEqual(await self.put(second, "00000000"), 412)
        self.assertEqual(await self.put(first[:-5], "00000001"), 400)
        self.assertEqual(await self.get(), json.loads(first))

        # A call over two nodes.
        await self.until(lambda: self.ready(11), 200)
        await self.until(lambda: self.ready(12), 200)
        self.assertEqual(await backend.beat(), 200)
        self.assertEqual(await backend.beat(state="odd"), 400)

        async def order():
            return (await self.ask(11, "/b/x", "a-1"))[0]

        await self.until(order, 200)
        head = backend.heads[-1]
        self.assertIn("X-Caller-Service: s2\r\n", head)
        self.assertIn("X-Tenant: t1\r\n", head)
        self.assertIn("X-Expect-Instance: i-1\r\n", head)
        self.assertNotIn("X-Credential", head)
        self.assertEqual((await self.ask(11, "/b/x", "a-2", key="k9"))[0], 401)
        self.assertEqual((await self.ask(11, "/c/x", "a-3"))[0], 404)

        # Metrics of both programs.
        for number, name in ((11, b"answered_seconds_count"), (2, b"group_voters")):
            status, _, text = await http(f"127.0.77.{number}", 9464, "GET", "/metrics")
            self.assertEqual(status, 200)
            self.assertIn(name, text)

        # A new version is in force everywhere; the key that it drops is refused.
        third = config("00000009", tenants=[{"name": "t1", "apiKeys": ["k2"]}])
        self.assertEqual(await self.put(third, "00000001"), 200)

        async def old_key():
            return (await self.ask(12, "/b/x", "a-4"))[0]

        await self.until(old_key, 401)
        self.assertEqual((await self.ask(12, "/b/x", "a-5", key="k2"))[0], 200)

        # A controller loses its disk, another is killed: what was acknowledged is still there.
        self.processes[1].kill()
        self.processes[1].wait()
        for path in (Path(self.holder.name) / "data-1").iterdir():
            path.unlink()
        self.launch("core", 1, first=False)

        async def is_voter():
            return self.names_in_group()

        await self.until(is_voter, True)
        self.processes[2].kill()
        self.processes[2].wait()
        await self.until(self.get, json.loads(third))

        # An upstream that leaves gets nothing more; a planned stop ends by itself.
        await control(backend.ip, "POST", "/instances/i-1/deregister")
        self.assertEqual((await self.ask(11, "/b/x", "a-6", key="k2"))[0], 503)
        self.processes[12].send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(self.processes[12].wait, 30), 0)
        backend.server.close()

    def names_in_group(self):
        """Tells whether the wiped controller's new name stands in a quorum's folders."""
        path = Path(self.holder.name) / "data-1" / "identity"
        if not path.exists():
            return False
        name = re.search(rb"127\.0\.77\.1:17000/[0-9a-f]{16}", path.read_bytes())
        folders = [Path(self.holder.name) / f"data-{number}" / "log" for number in (1, 2, 3)]
        votes = [raw for raw in (path.read_bytes() for path in folders if path.exists())]
        promoted = rb"\x92.{0,400}" + re.escape(name[0]) + rb".{0,400}\x80" if name else rb"$^"
        return sum(bool(re.search(promoted, raw, re.S)) for raw in votes) >= 2
