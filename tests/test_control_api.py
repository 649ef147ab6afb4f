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
from marjoramvalve.mesh import UpstreamState  # noqa: E402
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


INVALID_HEARTBEATS = {
    "nested": b'{"service":"s1","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "only brackets": b"[" * 100_000,
    "not UTF-8": heartbeat().replace(b'"v1"', b'"\xff"'),
    "cut short": heartbeat()[:-9],
    "empty": b"",
    "list": b"[" + heartbeat() + b"]",
}
INVALID_FIELDS = (
    *({"capacity": value} for value in (0, -1, 1e308, 10**30, 1 << 63, "many", None, [7])),
    *({"seq": value} for value in (-1, 10**30, 1 << 64, 2.5, None, "4")),
    *({"born": value} for value in (-1, 10**30, 1 << 64, 1.5, 1 << 62, "1000")),
    *({"coldLeftMs": value} for value in (-1, 1e308, 10**30, "0")),
    *({"address": value} for value in ("", "host", ":80", "a:0", "a:65536", "a:-1", "a b:1", 5)),
    *({"address": value} for value in ("a:99999999", "a:8\u0660", "\u00e9:80", ["127.0.0.1:80"])),
    *({name: None} for name in ("zone", "version", "service", "state")),
    *({"state": value} for value in ("gone", "Ready", 1)),
    {"service": "s2"},
)
REQUIRED_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "capacity",
    "state",
    "coldLeftMs",
    "seq",
)


class InvalidHeartbeatTests(ControlApiTestCase):
    """Heartbeats that name no sound upstream: they are refused, change nothing and reach nobody."""

    def check_refused(self, path, body):
        """Posts a message to a node that knows a sound upstream, which must stay in use."""
        self.assertEqual(self.beat(seq=4), 200)
        state, told = self.ingress.state, []
        self.ingress.on_change = lambda: told.append(self.ingress.state)
        status = self.post(path, body)
        self.assertTrue(400 <= status < 500, status)
        self.assertEqual((self.ingress.state, told), (state, []))
        self.ingress.on_change = self.program.node.sessions.broadcast_state
        self.program.node.sessions._welcome_payload()
        self.assertEqual(self.beat(seq=5), 200)
        self.assertEqual((self.ingress.state.seq, self.ingress.ready), (5, True))

    def check_heartbeat_refused(self, body, name):
        for instance in ("i-1", "i-2"):
            with self.subTest(name, instance=instance):
                self.check_refused(f"/instances/{instance}/heartbeat", body)
                self.program.node.ingress.state = UpstreamState()

    def test_heartbeat_that_can_not_be_read_is_refused(self):
        for name, body in INVALID_HEARTBEATS.items():
            self.check_heartbeat_refused(body, name)

    def test_heartbeat_with_an_invalid_field_is_refused(self):
        for fields in INVALID_FIELDS:
            self.check_heartbeat_refused(heartbeat(**{"born": 2000, **fields}), str(fields))

    def test_heartbeat_without_a_field_is_refused(self):
        for field in REQUIRED_FIELDS:
            fields = json.loads(heartbeat(born=2000))
            del fields[field]
            self.check_heartbeat_refused(json.dumps(fields).encode(), field)

    def test_invalid_name_is_refused(self):
        for name in ("%20" * 100, "a/b", "\u00e9", "x" * 257):
            with self.subTest(name):
                self.check_refused(f"/instances/{name}/heartbeat", heartbeat(born=2000))
                self.program.node.ingress.state = UpstreamState()

    def test_invalid_deregistration_is_refused(self):
        bodies = (b"[" * 100_000, b'{"born":' + b"9" * 30 + b"}", b'{"born":-1}', b"\xff")
        for body in (*bodies, b'{"born":4611686018427387904}'):
            with self.subTest(body[:40]):
                self.check_refused("/instances/i-1/deregister", body)
                self.program.node.ingress.state = UpstreamState()


class FailingHandlerTests(ControlApiTestCase):
    """A request on which a handler fails."""

    def test_request_is_answered_when_its_handler_fails(self):
        def fail(request):
            raise ValueError("the test's own")

        self._server.handler = fail
        self.assertEqual(self.post("/any"), 500)
