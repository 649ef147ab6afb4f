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

from adapter.documents import parse_config  # noqa: E402
from adapter.heartbeats import apply_deregistration, apply_heartbeat  # noqa: E402
from adapter.settings import load_settings  # noqa: E402

from marjoramvalve.fleet.states import unpack_document  # noqa: E402
from marjoramvalve.mesh import UpstreamState  # noqa: E402
from marjoramvalve.model import key_digest  # noqa: E402
from marjoramvalve.outcomes import Err, Fault, Ok  # noqa: E402
from tests.platform_fleet import (  # noqa: E402
    CONTROL_PORT,
    METRICS_PORT,
    Backend,
    Fleet,
    address,
    call_node,
    config,
    heartbeat,
    put_config,
    read_config,
    ready_status,
    send_request,
    settings_file,
    wait_until,
)

PLATFORM_WORDS = re.compile(
    r"\b(sidecar|tenant|tenants|virtualHosts|pathPrefix|goalMs|apiKeys|ratePerS|maxConns|coldLeftMs"
    r"|heartbeatAddr|bootstrap|faultCounted|readyz|deregister|X-Attempt-Id|X-Credential"
    r"|X-Deadline-Ms|X-Tenant|X-Server-[A-Za-z]+|X-Not-Executed|X-Base-Version)\b"
)


class DocumentTests(unittest.TestCase):
    """Configurations."""

    def test_a_configuration_becomes_a_document(self):
        match parse_config(config(), 5):
            case Ok(command):
                pass
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
        document = unpack_document(parse_config(json.dumps(tree).encode(), 0).value.document)
        self.assertTrue(document.routes["r-2"].open)

    def test_the_same_bytes_on_the_same_base_are_the_same_publication(self):
        ident = [parse_config(config(), base).value.publish_id for base in (5, 5, 4)]
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
                self.assertIsInstance(parse_config(raw, 5), Err)

    def test_fields_that_are_not_known_are_left_alone(self):
        self.assertIsInstance(parse_config(config(future={"a": 1}, path={"x": 2}), 5), Ok)


class HeartbeatTests(unittest.TestCase):
    """What upstreams say of themselves."""

    def take(self, state, raw, instance="i-1"):
        return apply_heartbeat(state, instance, raw, "s1", 50.0)

    def setUp(self):
        self.state = self.take(UpstreamState(), heartbeat())

    def test_a_first_heartbeat(self):
        self.assertEqual(self.state, UpstreamState("i-1", "s1", 7, True, 1000, 4, 0.0))

    def test_cold_upstreams_tell_for_how_long(self):
        self.assertEqual(self.take(UpstreamState(), heartbeat(coldLeftMs=2500)).cold_until_s, 52.5)

    def test_old_and_late_ones_change_nothing(self):
        draining = self.take(self.state, heartbeat(seq=5, state="draining"))
        self.assertFalse(draining.ready)
        self.assertIs(self.take(draining, heartbeat(seq=4)), draining)
        other = self.take(draining, heartbeat(seq=1, born=900), "i-0")
        self.assertIs(other, draining)

    def test_a_new_start_under_the_same_name(self):
        again = self.take(self.state, heartbeat(seq=1, born=2000))
        self.assertEqual((again.seq, again.started_at_ms, again.ready), (1, 2000, True))

    def test_a_new_instance_takes_over(self):
        again = self.take(self.state, heartbeat(seq=1, born=2000), "i-2")
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
                self.assertIsNone(self.take(self.state, heartbeat(**change)))
        self.assertIsNone(self.take(self.state, b"\xff{"))

    def test_leaving(self):
        self.assertFalse(apply_deregistration(self.state, "i-1", b"").ready)
        self.assertFalse(apply_deregistration(self.state, "i-1", b'{"born":1000,"seq":9}').ready)
        self.assertTrue(apply_deregistration(self.state, "i-2", b"").ready)
        self.assertTrue(apply_deregistration(self.state, "i-1", b'{"born":999}').ready)


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

    def load(self, raw, **variables):
        with tempfile.NamedTemporaryFile() as file:
            file.write(raw)
            file.flush()
            before = dict(os.environ)
            os.environ.update(variables, MARJORAMVALVE_SETTINGS=file.name)
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
        self.assertEqual(settings.link_address, f"{address(1)}:17000")
        self.assertEqual(settings.listen_address, f"{address(1)}:17000")
        self.assertEqual(settings.controller_seeds[2], f"{address(3)}:17000")

    def test_a_process_behind_translated_addresses_names_the_other_host(self):
        raw = json.dumps(settings_file("side", 11, None, "s1")).encode()
        settings = self.load(raw, MARJORAMVALVE_LINK_HOST="10.9.9.9")
        self.assertEqual(settings.link_address, "10.9.9.9:18543")
        self.assertEqual(settings.listen_address, f"{address(11)}:18543")
        fault = self.load(raw, MARJORAMVALVE_LINK_HOST="10.9.9.9:80")
        self.assertEqual((fault.id, fault.value), ("platform.E003", "10.9.9.9:80"))


class ProcessTests(unittest.TestCase):
    """Controllers and nodes as processes of their own, through the platform's calls."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    async def metric(self, number, name):
        """Returns a metric of a process, as text."""
        _, _, text = await send_request(number, METRICS_PORT, "GET", "/metrics")
        found = re.search(rf"(?m)^marjoramvalve_{name}(?:{{.*}})? (\S+)$", text.decode())
        return found[1] if found else None

    def test_a_fleet_from_first_start_to_the_loss_of_a_disk(self):
        asyncio.run(self._play())

    def test_operators_are_not_sent_to_a_leader_that_is_silent(self):
        asyncio.run(self._freeze())

    async def _freeze(self):
        for number in (1, 2, 3):
            self.fleet.launch("core", number)
        await wait_until(lambda: put_config(config("00000001"), "00000000"), 200)

        async def read(number):
            return await send_request(number, CONTROL_PORT, "GET", "/config/get")

        statuses = {number: (await read(number))[0] for number in (1, 2, 3)}
        leader = next(number for number, status in statuses.items() if status == 200)
        self.fleet.processes[leader].send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.55)
        for number in {1, 2, 3} - {leader}:
            _, head, _ = await read(number)
            self.assertNotIn(f"http://{address(leader)}:", head)
        await wait_until(read_config, json.loads(config("00000001")))

    def test_an_order_runs_once_through_the_loss_of_its_node_and_of_all_controllers(self):
        asyncio.run(self._order_again())

    async def _order_again(self):
        backend = Backend(13, "i-1", work_s=0.3)
        await backend.start()
        self.addCleanup(backend.close)
        for number in (1, 2, 3):
            self.fleet.launch("core", number)
        for number, service in ((11, "s2"), (12, "s2"), (13, "s1")):
            self.fleet.launch("side", number, service)
        await wait_until(lambda: put_config(config("00000001"), "00000000"), 200)
        for number in (11, 12, 13):
            await wait_until(lambda number=number: ready_status(number), 200)
        self.assertEqual(await backend.send_heartbeat(), 200)

        async def order(number, name, key):
            extra = f'Idempotency-Key: "{key}"\r\n'
            return await call_node(number, "/b/x", name, extra=extra)

        async def fresh_order(number=11):
            return (await order(number, "a-0", "first"))[0]

        await wait_until(fresh_order, 200)
        await wait_until(lambda: fresh_order(12), 200)
        done = await order(11, "a-1", "done")
        self.assertEqual(done[0], 200)

        # The node of the caller is lost while the order runs: its outcome is unknown for good.
        lost = asyncio.create_task(order(11, "a-2", "lost"))
        await wait_until(lambda: asyncio.sleep(0, "a-2" in backend.runs), True)
        self.fleet.kill(11)
        with self.assertRaises((OSError, asyncio.IncompleteReadError)):
            await lost
        for number in (1, 2, 3):
            self.fleet.kill(number)
        for number in (1, 2, 3):
            self.fleet.restart(number)
        await wait_until(lambda: ready_status(12), 200)

        async def repeat_order(name):
            return (await order(12, f"{name}-b", name))[0]

        await wait_until(lambda: repeat_order("done"), 200)
        self.assertEqual((await order(12, "a-3", "done"))[2], done[2])
        await wait_until(lambda: repeat_order("lost"), 409)
        ran = {name: n for name, n in backend.runs.items() if name not in ("", "a-0")}  # A probe.
        self.assertEqual(ran, {"a-1": 1, "a-2": 1})

    async def _play(self):
        backend = Backend(12, "i-1")
        await backend.start()
        for number in (1, 2, 3):
            self.fleet.launch("core", number)
        self.fleet.launch("side", 11, "s2")
        self.fleet.launch("side", 12, "s1")

        # The first configuration, sent again, in a race, and broken.
        first, second = config("00000001"), config("00000004", future=2)
        await wait_until(lambda: put_config(first, "00000000"), 200)
        self.assertEqual(await put_config(first, "00000000"), 200)
        self.assertEqual(await put_config(second, "00000000"), 412)
        self.assertEqual(await put_config(first[:-5], "00000001"), 400)
        self.assertEqual(await read_config(), json.loads(first))

        # A call over two nodes.
        await wait_until(lambda: ready_status(11), 200)
        await wait_until(lambda: ready_status(12), 200)
        self.assertEqual(await backend.send_heartbeat(), 200)
        self.assertEqual(await backend.send_heartbeat(state="odd"), 400)

        async def order():
            return (await call_node(11, "/b/x", "a-1"))[0]

        await wait_until(order, 200)
        head = backend.heads[-1]
        self.assertIn("X-Caller-Service: s2\r\n", head)
        self.assertIn("X-Tenant: t1\r\n", head)
        self.assertIn("X-Expect-Instance: i-1\r\n", head)
        self.assertNotIn("X-Credential", head)
        self.assertEqual((await call_node(11, "/b/x", "a-2", key="k9"))[0], 401)
        self.assertEqual((await call_node(11, "/c/x", "a-3"))[0], 404)

        # Metrics of both programs.
        self.assertNotEqual(await self.metric(11, "answered_seconds_count"), None)
        self.assertEqual(await self.metric(2, "group_voters"), "3")

        # A new version is in force everywhere; the key that it drops is refused.
        third = config("00000009", tenants=[{"name": "t1", "apiKeys": ["k2"]}])
        self.assertEqual(await put_config(third, "00000001"), 200)

        async def old_key():
            return (await call_node(12, "/b/x", "a-4"))[0]

        await wait_until(old_key, 401)
        self.assertEqual((await call_node(12, "/b/x", "a-5", key="k2"))[0], 200)

        # A controller loses its disk and is taken in again; then another is killed, and what was
        # acknowledged is still there.
        self.fleet.kill(1)
        self.fleet.wipe(1)
        self.fleet.restart(1)

        async def is_member_again():
            names = ("group_voters", "group_learners", "config_version")
            return [await self.metric(1, name) for name in names]

        await wait_until(is_member_again, ["3", "0", "9"])
        self.fleet.kill(2)
        await wait_until(read_config, json.loads(third))

        # An upstream that leaves gets nothing more; a planned stop ends by itself.
        await send_request(12, CONTROL_PORT, "POST", "/instances/i-1/deregister")
        self.assertEqual((await call_node(11, "/b/x", "a-6", key="k2"))[0], 503)
        self.fleet.processes[12].send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.to_thread(self.fleet.processes[12].wait, 30), 0)
        backend.close()
