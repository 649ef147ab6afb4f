"""Tests with real processes: command line, killed controllers, graceful stop, refused starts."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

import aiohttp

from benches.chaos import run_chaos
from benches.fleets import Fleet

EXIT_START = 3


class CommandTests(unittest.TestCase):
    """The operators' command line against a running daemon."""

    @classmethod
    def setUpClass(cls):
        cls.holder = tempfile.TemporaryDirectory()
        cls.fleet = Fleet(Path(cls.holder.name))
        cls.fleet.add_daemon("c0", "amman", controller=True)
        done = cls.fleet.cli("controller", "found", f"--data-dir={cls.fleet.folder / 'c0'}")
        assert done.returncode == 0, done.stderr
        cls.fleet.start_daemon("c0")
        asyncio.run(cls.fleet.wait_settled())

    @classmethod
    def tearDownClass(cls):
        cls.fleet.close()
        cls.holder.cleanup()

    def cli(self, *args, status=0):
        done = self.fleet.cli(*args)
        self.assertEqual(done.returncode, status, done.stderr)
        return json.loads(done.stdout) if done.stdout.startswith(("{", "[")) else done.stderr

    def test_commands(self):
        self.cli("customer", "set", "shed", "--rate=50", "--burst=100")
        self.cli("route", "set", "stock", "--service=stock", "--path=/stock")
        issued = self.cli("key", "issue", "shed", "--label=first")
        self.assertTrue(issued["key"].startswith("mvk_"))
        shown = self.cli("show")
        self.assertNotIn(issued["key"], json.dumps(shown))
        self.assertIn(issued["digest"], shown["document"]["keys"])
        self.check_patches(shown["current"])
        self.check_refusal(issued["key"])
        self.cli("key", "withdraw", "first")
        self.assertEqual(self.cli("key", "list"), {})
        self.cli("rate", "shed", "5", "6")
        self.assertEqual(self.cli("customer", "list")["shed"]["rate"], 5)
        self.assertEqual(self.cli("watch", "--count=1")["version"], self.cli("show")["current"])
        self.assertTrue(self.cli("status")["controller"]["leads"])
        self.assertIn("not in the roster", self.cli("drain", "nothing", status=1))

    def check_patches(self, base):
        file = self.fleet.folder / "patch.json"
        file.write_text('{"policy": {"chain_retries": 1}}')
        first = self.cli("patch", str(file), f"--base={base}", "--id=p1")
        again = self.cli("patch", str(file), f"--base={base}", "--id=p1")
        self.assertEqual(first, again)
        late = self.cli("patch", str(file), f"--base={base}", "--id=p2", status=1)
        self.assertIn(f"current version is {base + 1}", late)
        file.write_text('{"customers": {"shed": {"rate": -1}}, "x": 1}')
        bad = self.cli("patch", str(file), f"--base={base + 1}", "--id=p3", status=1)
        self.assertIn("/customers/shed/rate", bad)
        self.assertIn("/x", bad)
        versions = [item["version"] for item in self.cli("history")["history"]]
        self.assertEqual(versions, list(range(1, base + 2)))
        self.assertEqual(self.cli("show", f"--version={base}")["version"], base)

    def check_refusal(self, key):
        async def go():
            url = f"http://{self.fleet.daemons['c0'].listen}/stock"
            async with aiohttp.ClientSession() as session:
                async with session.get(url, headers={"Marjoramvalve-Key": key}) as response:
                    return response.status, response.headers["Marjoramvalve-Request-Id"]

        status, request_id = asyncio.run(go())
        self.assertEqual(status, 503)
        self.assertEqual(self.cli("explain", request_id)["reason"], "no-upstream")
        self.cli("explain", "0000", status=1)

    def test_wrong_credential_and_no_server(self):
        (self.fleet.folder / "wrong").write_text("w" * 32)
        done = self.fleet.cli("--credential-file", str(self.fleet.folder / "wrong"), "status")
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertEqual(self.fleet.cli("status", servers="127.0.0.1:1").returncode, 3)

    def test_check_names_every_fault(self):
        done = self.fleet.cli("check", "--instance=UPPER", "--listen=nowhere")
        self.assertEqual(done.returncode, 2)
        for number in ("E009", "E005", "E010"):
            self.assertIn(f"settings.{number}", done.stderr)


class StartTests(unittest.TestCase):
    """Refused starts, whose log says how to repair the data folder."""

    def start(self, prepare):
        with tempfile.TemporaryDirectory() as holder:
            fleet = Fleet(Path(holder))
            daemon = fleet.add_daemon("c0", "amman", controller=True)
            prepare(daemon.data_dir)
            fleet.start_daemon("c0")
            status = daemon.process.wait(30)
            return status, (fleet.folder / "logs" / "c0.log").read_text()

    def test_unmarked_empty_folder(self):
        status, log = self.start(lambda folder: None)
        self.assertEqual(status, EXIT_START)
        self.assertIn("controller found", log)

    def test_damaged_folder(self):
        status, log = self.start(lambda folder: (folder / "log").write_bytes(b"x" * 500))
        self.assertEqual(status, EXIT_START)
        self.assertIn("offset 0", log)
        self.assertIn("controller replace c0", log)


class FailureTests(unittest.TestCase):
    """Killed controllers, and a node that is stopped under load."""

    def test_patches_survive_killed_controllers(self):
        with tempfile.TemporaryDirectory() as holder:
            self.assertTrue(asyncio.run(run_chaos(Path(holder) / "f", 24, 2, 7)))

    def test_graceful_stop_under_load_drops_no_requests(self):
        with tempfile.TemporaryDirectory() as holder:
            cut, served, status = asyncio.run(self.stop_under_load(Path(holder)))
        self.assertEqual((cut, status), (0, 0))
        self.assertGreater(served, 50)

    async def stop_under_load(self, folder):
        fleet = Fleet(folder)
        try:
            for number, domain in enumerate(("amman", "irbid", "zarqa")):
                fleet.add_daemon(f"c{number}", domain, controller=number == 0)
            fleet.mark_founded()
            for name in fleet.daemons:
                fleet.start_daemon(name)
            await fleet.wait_settled()
            file = folder / "patch.json"
            route = {"service": "stock", "path": "/stock", "open": True}
            file.write_text(json.dumps({"routes": {"stock": route}}))
            done = await asyncio.to_thread(fleet.cli, "patch", str(file), "--base=0", "--id=1")
            assert done.returncode == 0, done.stderr
            fleet.start_upstream("stock-1", "stock", "c0", delay_ms=30)
            await fleet.wait_upstreams()
            return await self.drive(fleet)
        finally:
            fleet.close()

    async def drive(self, fleet):
        counts = {"cut": 0, "served": 0}
        stopped = asyncio.Event()

        async def caller(session):
            url = f"http://{fleet.daemons['c2'].listen}/stock/x"
            while not stopped.is_set():
                try:
                    async with session.get(url) as response:
                        counts["served"] += len(await response.read()) == 512
                except aiohttp.ClientConnectorError:
                    return
                except (aiohttp.ClientError, OSError):
                    counts["cut"] += 1

        async with aiohttp.ClientSession() as session:
            tasks = [asyncio.create_task(caller(session)) for _ in range(8)]
            while counts["served"] < 50:
                await asyncio.sleep(0.05)
            process = fleet.terminate("c2")
            status = await asyncio.to_thread(process.wait, 40)
            stopped.set()
            await asyncio.gather(*tasks)
        return counts["cut"], counts["served"], status
