"""Planned stops of the platform's programs: what was read is answered, or refused in time."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import uvloop

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from adapter.documents import parse_config  # noqa: E402
from adapter.programs import ControllerProgram, NodeProgram  # noqa: E402
from adapter.settings import load_settings  # noqa: E402
from adapter.stops import LAME_DUCK_S, StopTimes, plan_stop  # noqa: E402

from marjoramvalve.fleet.messages import FrameKind, OrderBegin, OrderReply, encode  # noqa: E402
from marjoramvalve.fleet.states import unpack_document  # noqa: E402
from marjoramvalve.idempotency import Order, OrderOutcome, OrderVerdict  # noqa: E402
from marjoramvalve.telemetry import set_up_logs  # noqa: E402
from tests.meshes import Caller, FakeUpstream  # noqa: E402
from tests.platform_fleet import (  # noqa: E402
    CONTROL_PORT,
    METRICS_PORT,
    READY_PORT,
    UPSTREAM_PORT,
    address,
    call_node,
    config,
    heartbeat,
    send_request,
    settings_file,
)

NUMBER = 21


class ProgramStopTestCase(unittest.TestCase):
    """Base class of tests that stop a program while its control interface is called."""

    def setUp(self):
        set_up_logs("critical", "test")
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.addCleanup(self.runner.close)
        data_dir = tempfile.TemporaryDirectory()
        self.addCleanup(data_dir.cleanup)
        self.data_dir = data_dir.name

    def load_settings(self, kind, service=None, seeds=(NUMBER,), **bounds):
        """Returns the settings of the program. `bounds` replace those of the platform."""
        settings = settings_file(kind, NUMBER, self.data_dir, service, seeds=seeds)
        settings["bounds"] |= bounds
        with tempfile.NamedTemporaryFile("w") as file:
            json.dump(settings, file)
            file.flush()
            os.environ["MARJORAMVALVE_SETTINGS"] = file.name
            self.addCleanup(os.environ.pop, "MARJORAMVALVE_SETTINGS", None)
            return load_settings()

    def run_bounded(self, coro):
        """Runs a coroutine; raises TimeoutError after 30 seconds."""

        async def bounded():
            async with asyncio.timeout(30):
                return await coro

        return self.runner.run(bounded())

    async def send(self, method, path, body=b"", headers="", cut=0, port=CONTROL_PORT):
        """Sends a request without its last `cut` bytes; returns the caller."""
        caller = Caller(*await asyncio.open_connection(address(NUMBER), port))
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\n{headers}"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        caller.writer.write((head.encode() + body)[: -cut or None])
        return caller

    async def read_status(self, caller):
        """Returns the status of a response, and None where the connection ends without it."""
        try:
            status = (await caller.read_response())[0]
        except (ConnectionError, asyncio.IncompleteReadError):
            status = None
        caller.writer.close()
        return status

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)

    async def start_stop(self, program):
        """Starts to stop a program and waits until its control interface takes no connections."""
        task = asyncio.create_task(program.stop())
        await self.wait_until(lambda: not program._control._server.is_serving())
        return task


class ControllerStopTests(ProgramStopTestCase):
    """Requests of operators at a controller that stops."""

    async def start_program(self, **settings):
        program = ControllerProgram(self.load_settings("core", **settings))
        await program.start()
        return program

    async def publish(self, program):
        """Returns a caller whose configuration waits for the disk, and a function to go on."""
        group = program.controller.group
        await self.wait_until(group.is_leader)
        unblock = self.block_disk(group)
        headers = "X-Base-Version: 00000000\r\n"
        caller = await self.send("POST", "/config/put", config("00000001"), headers)
        await self.wait_until(lambda: group._pending_proposals)
        return caller, unblock

    def block_disk(self, group):
        """Blocks writes of the group; returns a function that unblocks them."""
        unblocked = threading.Event()
        self.addCleanup(unblocked.set)
        group._disk_executor.submit(unblocked.wait)
        return unblocked.set

    def test_publication_in_progress_is_acknowledged(self):
        async def play():
            program = await self.start_program()
            caller, unblock = await self.publish(program)
            stop = await self.start_stop(program)
            unblock()
            status = await self.read_status(caller)
            await stop
            return status, program.controller.group.state.version

        self.assertEqual(self.run_bounded(play()), (200, 1))

    def set_stop_times(self, finish_s):
        """Lets a program finish work for `finish_s`, and refuse what is left without haste."""
        times = StopTimes(0.0, finish_s, 20.0)
        patch = mock.patch("adapter.programs.plan_stop", return_value=times)
        patch.start()
        self.addCleanup(patch.stop)

    def test_order_that_waits_for_the_disk_is_recorded_and_later_ones_are_not(self):
        async def play():
            program = await self.start_program()
            group, stream = program.controller.group, mock.Mock()
            await self.wait_until(group.is_leader)
            unblock = self.block_disk(group)
            self.send_order(program, stream, b"first")
            finish, finishing = program._control.finish_pending, []

            async def finish_pending(timeout_s):
                finishing.append(timeout_s)
                await finish(timeout_s)

            program._control.finish_pending = finish_pending
            stop = asyncio.create_task(program.stop())
            await self.wait_until(lambda: len(finishing) == 2 or stop.done())
            self.send_order(program, stream, b"second")
            unblock()
            await stop
            return [call.args for call in stream.send.call_args_list]

        reply = OrderReply(b"first", OrderOutcome(OrderVerdict.STARTED))
        self.assertEqual(self.run_bounded(play()), [(FrameKind.ORDER_REPLY, encode(reply))])

    def send_order(self, program, stream, name):
        payload = encode(OrderBegin(Order(name, b"digest", name)))
        program.controller.stream_frame(stream, FrameKind.ORDER_BEGIN, payload)

    def test_publication_that_does_not_end_in_time_is_refused(self):
        async def play():
            self.set_stop_times(0.1)
            program = await self.start_program()
            caller, _ = await self.publish(program)
            status, _ = await asyncio.gather(self.read_status(caller), program.stop())
            return status

        self.assertEqual(self.run_bounded(play()), 503)

    def test_request_that_is_read_whole_too_late_is_refused(self):
        async def play():
            self.set_stop_times(0.1)
            program = await self.start_program()
            body, headers = config("00000001"), "X-Base-Version: 00000000\r\n"
            waiting, _ = await self.publish(program)
            late = await self.send("POST", "/config/put", body, headers, cut=9)
            await self.wait_until(lambda: len(program._control.connections) == 2)
            stop = asyncio.create_task(program.stop())
            statuses = [await self.read_status(waiting)]
            late.writer.write(body[-9:])
            statuses.append(await self.read_status(late))
            await stop
            return statuses

        self.assertEqual(self.run_bounded(play()), [503, 503])

    def test_request_whose_handler_has_not_begun_in_time_is_refused(self):
        async def play():
            program = await self.start_program()

            def serve(request):
                program._serve_control(request)
                for task in program._tasks:
                    task.cancel()

            program._control.handler = serve
            status = await self.read_status(await self.send("GET", "/config/get"))
            await program.stop()
            return status

        self.assertEqual(self.run_bounded(play()), 503)

    def test_read_that_waits_for_a_leader_is_answered(self):
        async def play():
            program = await self.start_program(seeds=(NUMBER, NUMBER + 1, NUMBER + 2))
            caller = await self.send("GET", "/config/get")
            await self.wait_until(lambda: program._tasks)
            stop = await self.start_stop(program)
            status = await self.read_status(caller)
            await stop
            return status

        self.assertEqual(self.run_bounded(play()), 503)

    def test_configuration_that_was_received_in_part_is_read_and_answered(self):
        async def play():
            program = await self.start_program()
            await self.wait_until(program.controller.is_leader)
            body, headers = config("00000001"), "X-Base-Version: 00000000\r\n"
            caller = await self.send("POST", "/config/put", body, headers, cut=9)
            await self.wait_until(program._control.is_busy)
            stop = await self.start_stop(program)
            caller.writer.write(body[-9:])
            status = await self.read_status(caller)
            await stop
            return status

        self.assertEqual(self.run_bounded(play()), 200)


class NodeStopTests(ProgramStopTestCase):
    """Requests of callers at a node that stops."""

    async def start_program(self, **bounds):
        """Starts a node whose upstream responds to requests once `self.released` is set."""
        self.released = asyncio.Event()
        self.upstream = FakeUpstream(self.respond)
        self.upstream.address = f"{address(NUMBER)}:{UPSTREAM_PORT}"
        await self.upstream.start()
        program = NodeProgram(self.load_settings("side", "s1", **bounds))
        program.node.egress.is_config_confirmed = lambda: True
        await program.start()
        route = {"timeoutMs": 20_000, "split": [{"service": "s1", "weight": 1}]}
        command = parse_config(config("00000001", path=route), 0).value
        program.node.apply_config(1, unpack_document(command.document))
        path = "/instances/i-1/heartbeat"
        await send_request(NUMBER, CONTROL_PORT, "POST", path, heartbeat())
        return program

    async def respond(self, request, writer):
        if "GET /a/" in request:
            await self.released.wait()
        head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\nX-Instance-Id: i-1\r\n"
        head += "X-Server-Load: 0,0,5\r\nX-Server-Stamp: a-1\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())

    async def call(self):
        """Returns the status of a call, and None where its connection ends without a response."""
        try:
            return (await call_node(NUMBER, "/a/x", "a-1", key="k3", deadline_ms=20_000))[0]
        except (ConnectionError, asyncio.IncompleteReadError):
            return None

    def answer_after_lame_duck(self, **bounds):
        """Returns the status of a call that ends after the lame duck phase."""

        async def play():
            program = await self.start_program(**bounds)
            call = asyncio.create_task(self.call())
            await self.wait_until(lambda: any("GET /a/" in r for r in self.upstream.requests))
            stop = asyncio.create_task(program.stop())
            await self.wait_until(lambda: program.node.callers.accepts_only_local)
            self.released.set()
            status = await call
            await stop
            self.upstream.close()
            return status

        return self.run_bounded(play())

    def answer_to_late_end(self, port, path, body):
        """Returns the status of a request of which the last byte comes at the end of the stop."""

        async def play():
            program = NodeProgram(self.load_settings("side", "s1"))
            program.node.drain = mock.AsyncMock()
            run = asyncio.create_task(program.run())
            await self.wait_until(lambda: program._metrics._server is not None)
            servers = {CONTROL_PORT: program._control, READY_PORT: program._ready}
            server = servers.get(port, program._metrics)
            caller = await self.send("POST", path, body, cut=1, port=port)
            await self.wait_until(server.is_busy)
            program.stopping.set()
            await self.wait_until(lambda: not server._server.is_serving())
            caller.writer.write(body[-1:])
            status = await self.read_status(caller)
            await run
            return status

        return self.run_bounded(play())

    def test_deregistration_that_was_received_in_part_is_acknowledged(self):
        path = "/instances/i-1/deregister"
        self.assertEqual(self.answer_to_late_end(CONTROL_PORT, path, b'{"born":1000}'), 200)

    def test_ready_check_that_was_received_in_part_is_answered(self):
        self.assertEqual(self.answer_to_late_end(READY_PORT, "/readyz", b"{}"), 503)

    def test_read_of_metrics_that_was_received_in_part_is_answered(self):
        self.assertEqual(self.answer_to_late_end(METRICS_PORT, "/metrics", b"{}"), 200)

    def stop_with_unconfirmed_order(self, close_s, *confirmations):
        """Stops a node while no leader replies; returns how often the end of an order was sent.

        The owners of `confirmations` are confirmed once the end has been sent twice.
        """

        async def play():
            program = await self.start_program()
            program.node.drain = mock.AsyncMock()
            orders, ends = program.control_plane.orders, []
            orders._send = lambda kind, payload: ends.append(kind) or True
            orders.finish(Order(b"scope", b"digest", b"owner"), b"answer")
            times = StopTimes(0.0, 0.0, close_s)
            with mock.patch("adapter.programs.plan_stop", return_value=times):
                stop = asyncio.create_task(program.stop())
                await self.wait_until(lambda: len(ends) > 1 or stop.done())
                for owner in confirmations:
                    orders.on_reply(OrderReply(owner, OrderOutcome(OrderVerdict.ENDED)))
                await stop
            self.upstream.close()
            return len(ends)

        return self.run_bounded(play())

    def test_end_of_an_order_is_resent_until_a_leader_has_recorded_it(self):
        self.assertGreater(self.stop_with_unconfirmed_order(1000.0, b"owner"), 1)

    def test_stop_ends_though_no_leader_records_the_end_of_an_order(self):
        self.assertGreater(self.stop_with_unconfirmed_order(0.5), 0)

    def test_grace_period_of_reloaded_settings_binds(self):
        async def play():
            program = NodeProgram(self.load_settings("side", "s1", graceS=6))
            with mock.patch("adapter.programs.load_settings") as load:
                load.return_value = self.load_settings("side", "s1", graceS=2)
                program._reload()
            program.node.drain = mock.AsyncMock()
            await program.stop()
            return program.node.options

        options, times = self.run_bounded(play()), plan_stop(2)
        self.assertEqual(options.drain_timeout_s, times.finish_s)
        self.assertEqual(options.lame_duck_s, times.lame_duck_s)

    def test_call_is_answered_though_the_grace_period_is_short(self):
        self.assertEqual(self.answer_after_lame_duck(graceS=2), 200)


class StartTests(unittest.TestCase):
    """Signals to a program that starts."""

    def test_changed_settings_do_not_end_a_program_that_starts(self):
        program = "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\nmain = print"
        with tempfile.TemporaryDirectory() as folder:
            run = Path(folder) / "run.py"
            run.write_text((ROOT / "platform" / "run.py").read_text())
            (Path(folder) / "adapter").mkdir()
            (Path(folder) / "adapter" / "programs.py").write_text(program)
            command = [sys.executable, str(run), "node"]
            result = subprocess.run(command, capture_output=True, check=False)
        self.assertEqual((result.returncode, result.stdout), (0, b"['node']\n"))


class StopTimesTests(unittest.TestCase):
    """The phases of a stop."""

    def test_short_grace_period_leaves_most_of_the_time_for_finishing(self):
        for grace_s in (0.0, 0.5, 1.0, 2.0, 3.0, 4.0):
            with self.subTest(grace_s):
                times = plan_stop(grace_s)
                self.assertLessEqual(0.0, times.lame_duck_s)
                self.assertLessEqual(times.lame_duck_s, times.finish_s / 3)

    def test_calls_may_take_until_the_last_sixth_of_the_grace_period(self):
        for grace_s in (0.5, 2.0, 6.0, 10.0, 30.0):
            with self.subTest(grace_s):
                times = plan_stop(grace_s)
                self.assertGreater(times.finish_s, grace_s * 5 / 6)
                self.assertLess(times.finish_s, times.close_s)
                self.assertLess(times.close_s, grace_s)

    def test_callers_have_time_to_notice_the_stop(self):
        for grace_s in (6.0, 10.0, 30.0):
            self.assertAlmostEqual(plan_stop(grace_s).lame_duck_s, LAME_DUCK_S)
