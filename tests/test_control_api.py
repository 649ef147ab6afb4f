"""The node's HTTP interface for the upstream beside it, as the adapter serves it."""

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path

import uvloop

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))

from adapter.programs import NodeProgram  # noqa: E402
from adapter.settings import load_settings  # noqa: E402

from benches.fleets import free_address  # noqa: E402
from marjoramvalve.h1 import CallerServer  # noqa: E402
from marjoramvalve.telemetry import set_up_logs  # noqa: E402
from tests.meshes import Caller  # noqa: E402
from tests.platform_fleet import heartbeat, settings_file  # noqa: E402


class ControlApiTestCase(unittest.TestCase):
    """Base class of tests that call the control interface of a node that is not connected."""

    def setUp(self):
        set_up_logs("critical", "test")
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.addCleanup(self.runner.close)
        with tempfile.NamedTemporaryFile("w") as file:
            json.dump(settings_file("node", 9, None, "s1"), file)
            file.flush()
            os.environ["MARJORAMVALVE_SETTINGS"] = file.name
            self.addCleanup(os.environ.pop, "MARJORAMVALVE_SETTINGS")
            self.settings = load_settings()
        self.program = self.runner.run(self._start())
        self.addCleanup(lambda: self.runner.run(self._server.close()))

    async def _start(self):
        program = NodeProgram(self.settings)
        self._server: CallerServer = program._control
        self._address = free_address()
        await self._server.start(self._address)
        return program

    @property
    def ingress(self):
        return self.program.node.ingress

    def post(self, path, body=b"", limit_s=1.0):
        """Returns the status of the response to a call. Raises TimeoutError."""

        async def call():
            host, _, port = self._address.rpartition(":")
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                status, _, _ = await Caller(reader, writer).read_response()
                writer.close()
            return status

        return self.runner.run(call())

    def beat(self, instance="i-1", **fields):
        return self.post(f"/instances/{instance}/heartbeat", heartbeat(**fields))

    def deregister(self, instance="i-1", body=b""):
        return self.post(f"/instances/{instance}/deregister", body)


class DeregistrationTests(ControlApiTestCase):
    """Deregistrations, and heartbeats that come after them."""

    def test_late_heartbeat_does_not_revive_deregistered_upstream(self):
        for instance, born, body in (("i-1", 1000, b""), ("i-2", 2000, b'{"born":2000}')):
            with self.subTest(body):
                self.assertEqual(self.beat(instance, born=born, seq=4), 200)
                self.assertTrue(self.ingress.ready)
                self.assertEqual(self.deregister(instance, body), 200)
                self.assertEqual(self.beat(instance, born=born, seq=5), 200)
                self.assertFalse(self.ingress.ready)

    def test_deregistration_that_can_not_be_read_changes_nothing(self):
        self.beat(seq=4)
        for body in (b"[]", b"\xff", b'{"born":"soon"}'):
            self.assertEqual(self.deregister(body=body), 400)
        self.assertTrue(self.ingress.ready)
