"""Memory and descriptors of the programs under crowds of clients that nobody controls.

The node that takes the calls is 12; its calls go over a link to node 11, beside an upstream. Memory
is judged by the peak that the kernel keeps of each process (VmHWM), so that no peak is missed.
"""

import asyncio
import contextlib
import json
import re
import signal
import socket
import unittest
from pathlib import Path

import psutil
import uvloop

from tests.platform_fleet import (
    CALLERS_PORT,
    METRICS_PORT,
    NODE_LINK_PORT,
    UPSTREAM_PORT,
    Backend,
    Fleet,
    address,
    call_node,
    config,
    put_config,
    ready_status,
    wait_until,
)

MIB = 1 << 20
INGRESS, EGRESS = 11, 12
MEMORY_MB = 140  # limits.memoryMb of each process here.
MAX_FDS = 400  # limits.maxFds of each process here.
# Of memoryMb, above the resident memory at rest, which takes less than the other 0.4.
MAX_GROWTH_SHARE = 0.6
MAX_GROWTH_FDS = 60  # More than the whole crowd and its calls take, far below the limit.
ASSUMED_MEMORY_MB = 512  # Of a machine whose settings name none.
MAX_BODY_BYTES = 8 * MIB
MEDIUM_BODY_BYTES = 15_000
CROWD = 24  # Connections at once; two in three stop just short of their end and stay open.
PIECE_BYTES = 64 << 10
HANG_S = 25.0  # A sender that is still blocked then gives up; nothing is judged by it.


def is_unfinished(number):
    return number % 3 != 0


class LargeBackend(Backend):
    """A backend for large messages, whose targets say what it does.

    Targets below `/a/large` and `/a/medium` are answered with bodies of that size. Those below
    `/a/early` are answered before their body is read, and those with `/work` after `work_s`.
    """

    READ_ON_S = 10.0  # Until the rest of a body is read after an early answer.

    def __init__(self, number, name, slots):
        super().__init__(number, name)
        self.slots = slots
        self.large_bytes = MAX_BODY_BYTES
        self.work_s = 5.0
        self.started = set()  # The attempts that have arrived whole.

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
        sock.bind((address(self.number), UPSTREAM_PORT))
        self._server = await asyncio.start_server(self._serve, sock=sock, backlog=1024)

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                match = re.search(r"X-Attempt-Id: (\S+)", head)
                attempt = match[1] if match else ""
                size = re.search(r"(?i)content-length: (\d+)", head)
                left = int(size[1]) if size else 0
                is_early = " /a/early" in head
                if is_early:
                    self._respond(writer, attempt, attempt.encode())
                    await asyncio.sleep(self.READ_ON_S)
                while left:
                    piece = await reader.read(min(left, PIECE_BYTES))
                    if not piece:
                        return
                    left -= len(piece)
                self.started.add(attempt)
                if "/work" in head:
                    await asyncio.sleep(self.work_s)
                body = attempt.encode()
                if " /a/large" in head:
                    body = bytes(self.large_bytes)
                elif " /a/medium" in head:
                    body = bytes(MEDIUM_BODY_BYTES)
                if not is_early:
                    self._respond(writer, attempt, body)
                    await writer.drain()
        writer.close()

    def _respond(self, writer, attempt, body):
        extra = f"X-Attempt-Id: {attempt}\r\n" if attempt else ""
        extra += f"X-Instance-Id: {self.name}\r\nX-Server-Load: 0,0,{self.slots}\r\n"
        extra += f"X-Server-Stamp: {attempt}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{extra}".encode())
        writer.write(body)


class MemoryLimitTests(unittest.TestCase):
    """Crowds of connections to one node, and one ordinary request afterwards."""

    def play(
        self,
        send,
        crowd=CROWD,
        memory_mb=MEMORY_MB,
        body_bytes=MAX_BODY_BYTES,
        fds=0,
        node=EGRESS,
        hang_s=HANG_S,
        slots=40,
        frozen=(),
        **path,
    ):
        """Lets a crowd of clients run `send` at once and checks both nodes.

        `send` gets the reader, the writer and the number of a client, which is connected to `node`.
        `path` changes the route. Without `memory_mb`, the settings name no memory. The `frozen`
        nodes, beside upstreams of their own, are stopped by a signal before that.
        """

        async def run():
            fleet = Fleet()
            backend = self.backend = LargeBackend(INGRESS, "b1", slots)
            backends = [backend, *(LargeBackend(number, f"b{number}", slots) for number in frozen)]
            writers = []
            try:
                fleet.limits = {"maxFds": MAX_FDS}
                if memory_mb:
                    fleet.limits["memoryMb"] = memory_mb
                await self._start(fleet, backends, body_bytes, path)
                for number in frozen:
                    fleet.processes[number].send_signal(signal.SIGSTOP)
                processes = {
                    number: psutil.Process(fleet.processes[number].pid)
                    for number in (INGRESS, EGRESS)
                }
                rest = {
                    number: (process.memory_info().rss, process.num_fds())
                    for number, process in processes.items()
                }
                most_fds = dict.fromkeys(processes, 0)

                async def watch():
                    while True:
                        for number, process in processes.items():
                            with contextlib.suppress(psutil.Error):
                                most_fds[number] = max(most_fds[number], process.num_fds())
                        await asyncio.sleep(0.05)

                watcher = asyncio.create_task(watch())
                await asyncio.gather(
                    *(
                        self._run_client(send, writers, number, node, hang_s)
                        for number in range(crowd)
                    )
                )
                status = await self._call_patiently("after")
                watcher.cancel()
                peaks = {number: read_peak(fleet.processes[number].pid) for number in processes}
                alive = {number: fleet.processes[number].poll() is None for number in processes}
                growth = {number: peaks[number] - rest[number][0] for number in processes}
                more_fds = {number: most_fds[number] - rest[number][1] for number in processes}
                return status, alive, growth, more_fds
            finally:
                for writer in writers:
                    writer.transport.abort()
                for item in backends:
                    item.close()
                fleet.close()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            status, alive, growth, more_fds = runner.run(run())
        seen = f"growth in MB {({k: v // MIB for k, v in growth.items()})}, descriptors {more_fds}"
        self.assertEqual(alive, {INGRESS: True, EGRESS: True}, seen)
        max_growth = MAX_GROWTH_SHARE * (memory_mb or ASSUMED_MEMORY_MB) * MIB
        self.assertLess(max(growth.values()), max_growth, seen)
        self.assertLess(max(more_fds.values()), fds or MAX_GROWTH_FDS, seen)
        self.assertEqual(status, 200, seen)

    async def _start(self, fleet, backends, body_bytes, path_changes):
        for number in (1, 2, 3):
            fleet.launch("core", number)
        fleet.launch("node", EGRESS, "s2")
        for backend in backends:
            fleet.launch("node", backend.number, "s1")
            await backend.start()
        path = {"split": [{"service": "s1", "weight": 100}], "timeoutMs": 10_000, "goalMs": 12_000}
        path.update(path_changes)
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        }
        fields = json.loads(config(path=path, limits=limits))
        paths = fields["virtualHosts"][0]["paths"]
        paths.append({**paths[0], "name": "r-3", "pathPrefix": "/slow/"})
        raw = json.dumps(fields).encode()
        await wait_until(lambda: put_config(raw, "0"), 200)
        await wait_until(lambda: ready_status(EGRESS), 200)
        for item in backends:
            await wait_until(lambda item=item: ready_status(item.number), 200)
            await wait_until(lambda item=item: item.send_heartbeat(capacity=item.slots), 200)
        for number in (*(item.number for item in backends), EGRESS):
            await wait_until(lambda number=number: self._call_status(number, "before"), 200)

    async def _call_status(self, number, attempt):
        return (await call_node(number, "/a/x", attempt, deadline_ms=9000))[0]

    async def _call_patiently(self, attempt):
        """Returns the status of an ordinary request; a 503 may be sent again, as callers do."""
        status = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANG_S):
                for number in range(100):
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        status = await self._call_status(EGRESS, f"{attempt}{number}")
                        if status == 200:
                            break
                    await asyncio.sleep(0.1)
        return status

    async def _run_client(self, send, writers, number, node, hang_s):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(hang_s):
                reader, writer = await self._connect(node)
                writers.append(writer)
                await send(reader, writer, number)

    async def _connect(self, node, port=CALLERS_PORT):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        await asyncio.get_running_loop().sock_connect(sock, (address(node), port))
        return await asyncio.open_connection(sock=sock, limit=PIECE_BYTES)

    async def _read_status(self, reader):
        """Reads a response; returns its status."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        await reader.readexactly(int(re.search(r"(?i)content-length: (\d+)", head)[1]))
        return int(head.split()[1])

    async def _send_patiently(self, streams, node, request, has_ended=lambda: False):
        """Sends a request until it is not refused, or until `has_ended()` while it runs.

        `streams` are the reader and the writer of the first connection.
        """
        for _ in range(60):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = streams or await self._connect(node)
                streams = None
                response = asyncio.ensure_future(self._read_status(reader))
                try:
                    writer.write(request)
                    while not response.done() and not has_ended():
                        await asyncio.sleep(0.05)
                    if not response.done() or response.result() != 503:
                        return
                finally:
                    response.cancel()
                    writer.transport.abort()
            await asyncio.sleep(0.2)

    @staticmethod
    def head(number, framing, target="/a/x", method="POST", deadline_ms=8000):
        return (
            f"{method} {target} HTTP/1.1\r\nHost: one.example\r\nX-Attempt-Id: c{number}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nX-Credential: k3\r\n{framing}\r\n"
        ).encode()

    async def send_body(self, writer, number, body_bytes, piece_bytes, framed=None):
        """Sends a body in pieces, `framed` as chunks; unfinished ones lack their end."""
        if framed is None:
            writer.write(self.head(number, f"Content-Length: {body_bytes}\r\n"))
            left = body_bytes - is_unfinished(number)
            while left > 0:
                writer.write(bytes(min(left, piece_bytes)))
                left -= piece_bytes
                await writer.drain()
        else:
            writer.write(self.head(number, "Transfer-Encoding: chunked\r\n"))
            for _ in range(body_bytes // piece_bytes):
                writer.write(framed)
                await writer.drain()
            if not is_unfinished(number):
                writer.write(b"0\r\n\r\n")
                await writer.drain()

    def test_whole_bodies_at_once(self):
        async def send(reader, writer, number):
            await self.send_body(writer, number, MAX_BODY_BYTES, MAX_BODY_BYTES)

        self.play(send)

    def test_bodies_piece_by_piece(self):
        async def send(reader, writer, number):
            await self.send_body(writer, number, MAX_BODY_BYTES, 16 << 10)

        self.play(send)

    def test_large_chunks(self):
        chunk = b"%x\r\n%b\r\n" % (MIB, bytes(MIB))

        async def send(reader, writer, number):
            await self.send_body(writer, number, MAX_BODY_BYTES, MIB, chunk)

        self.play(send)

    def test_chunks_of_one_byte(self):
        chunks = b"1\r\nx\r\n" * 8192

        async def send(reader, writer, number):
            await self.send_body(writer, number, MIB // 2, 8192, chunks)

        self.play(send)

    def test_chunks_of_two_bytes(self):
        chunks = b"2\r\nxy\r\n" * 4096

        async def send(reader, writer, number):
            await self.send_body(writer, number, MIB // 2, 8192, chunks)

        self.play(send)

    def test_announced_far_over_the_limit(self):
        async def send(reader, writer, number):
            await self.send_body(writer, number, 4 * MAX_BODY_BYTES, PIECE_BYTES)

        self.play(send)

    def test_just_sent_far_over_the_limit(self):
        chunk = b"%x\r\n%b\r\n" % (PIECE_BYTES, bytes(PIECE_BYTES))

        async def send(reader, writer, number):
            await self.send_body(writer, number, 4 * MAX_BODY_BYTES, PIECE_BYTES, chunk)

        self.play(send)

    def test_one_body_at_the_usual_limit_is_served(self):
        statuses = []

        async def send(reader, writer, number):
            await self.send_body(writer, number, 64 * MIB, MIB)
            statuses.append(int((await reader.readuntil(b"\r\n\r\n")).split()[1]))

        self.play(send, crowd=1, memory_mb=200, body_bytes=64 * MIB)
        self.assertEqual(statuses, [200])

    def test_connections_that_never_send_a_whole_request(self):
        async def send(reader, writer, number):
            writer.write(self.head(number, "")[:-4])
            await writer.drain()
            await asyncio.sleep(2)  # They stay open that long, whatever becomes of them.

        self.play(send, crowd=MAX_FDS, fds=MAX_FDS // 2 + MAX_GROWTH_FDS)

    def test_connections_to_two_ports(self):
        async def send(reader, writer, number):
            _, other = await self._connect(EGRESS, METRICS_PORT)
            try:
                for item in (writer, other):
                    item.write(self.head(number, "")[:-4])
                    await item.drain()
                await asyncio.sleep(2)  # They stay open that long, whatever becomes of them.
            finally:
                other.transport.abort()

        self.play(send, crowd=MAX_FDS // 2, fds=MAX_FDS // 2 + MAX_GROWTH_FDS)

    def test_silent_connections_to_the_port_for_links(self):
        async def send(reader, writer, number):
            writer.transport.abort()
            await asyncio.sleep(1)
            _, other = await self._connect(EGRESS, NODE_LINK_PORT)
            await asyncio.sleep(2)  # They stay open that long, whatever becomes of them.
            other.transport.abort()

        self.play(send, crowd=MAX_FDS, fds=MAX_FDS // 2 + MAX_GROWTH_FDS)

    def test_responses_that_nobody_reads(self):
        async def send(reader, writer, number):
            writer.transport.pause_reading()
            writer.write(self.head(number, "", "/a/large", "GET"))
            await writer.drain()
            await asyncio.sleep(2)  # They stay unread that long, whatever becomes of them.

        self.play(send)

    def test_long_bodies_that_are_answered_before_they_are_read(self):
        async def send(reader, writer, number):
            head = self.head(number, f"Content-Length: {MAX_BODY_BYTES}\r\n", "/a/early")
            await self._send_patiently((reader, writer), EGRESS, head + bytes(MAX_BODY_BYTES))

        self.play(send, crowd=40)

    def test_bodies_that_run_after_their_callers_have_left(self):
        async def send(reader, writer, number):
            head = self.head(number, f"Content-Length: {MAX_BODY_BYTES}\r\n", "/a/work")
            await self._send_patiently(
                (reader, writer),
                INGRESS,
                head + bytes(MAX_BODY_BYTES),
                lambda: f"c{number}" in self.backend.started,
            )

        self.play(send, crowd=30, node=INGRESS, kind="unsafe")

    def test_answered_bodies_of_65_kilobytes(self):
        async def send(reader, writer, number):
            for count in range(300):
                head = self.head(f"{number}.{count}", "Content-Length: 65000\r\n")
                writer.write(head + bytes(65_000))
                await self._read_status(reader)

        self.play(send, crowd=8, hang_s=4 * HANG_S)

    def test_answered_heads_of_15_kilobytes(self):
        async def send(reader, writer, number):
            padding = f"X-Padding: {'x' * MEDIUM_BODY_BYTES}\r\n"
            for count in range(1000):
                attempt = f"{number}.{count}"
                writer.write(self.head(attempt, padding, method="GET", deadline_ms=60_000))
                await self._read_status(reader)

        self.play(send, crowd=8, hang_s=4 * HANG_S, timeoutMs=60_000, goalMs=60_000)

    def test_responses_that_wait_for_a_slow_one(self):
        async def send(reader, writer, number):
            self.backend.work_s = 12.0
            await asyncio.sleep(number * 0.08)  # The backend must be able to accept connections.
            writer.write(self.head(f"{number}.0", "", "/slow/work", "GET", 20_000))
            for count in range(1, 120):
                writer.write(self.head(f"{number}.{count}", "", "/a/medium", "GET", 20_000))
            await writer.drain()
            await asyncio.sleep(self.backend.work_s)  # They stay open that long.

        self.play(
            send,
            crowd=80,
            memory_mb=100,
            fds=MAX_FDS // 2 + MAX_GROWTH_FDS,
            slots=100,
            timeoutMs=20_000,
            goalMs=20_000,
        )

    def test_bodies_for_nodes_that_do_not_read(self):
        async def send(reader, writer, number):
            await asyncio.sleep(0.02 * number)
            head = self.head(number, f"Content-Length: {MAX_BODY_BYTES}\r\n", "/b/x")
            writer.write(head + bytes(MAX_BODY_BYTES))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.15)
            writer.transport.abort()

        self.play(send, crowd=48, frozen=(13, 14, 15, 16, 17, 18))

    def test_settings_that_name_no_memory(self):
        async def send(reader, writer, number):
            writer.write(self.head(number, f"Content-Length: {40 * MIB}\r\n"))
            for _ in range(40):
                writer.write(bytes(MIB - 1))
                await writer.drain()

        self.play(send, crowd=12, memory_mb=0, body_bytes=64 * MIB)

    def test_large_response_that_is_read_slowly_arrives_whole(self):
        received = []

        async def send(reader, writer, number):
            self.backend.large_bytes = 32 * MIB
            writer.write(self.head(number, "", "/a/large", "GET"))
            await reader.readuntil(b"\r\n\r\n")
            size = 0
            while size < 32 * MIB:
                piece = await reader.readexactly(MIB)
                size += len(piece)
                received.append(len(piece))
                await asyncio.sleep(0.1)

        self.play(send, crowd=1, memory_mb=200)
        self.assertEqual(sum(received), 32 * MIB)


def read_peak(pid):
    """Returns the most resident memory that a process has had, in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) << 10
