"""Upstreams that write a response once more, later, on a connection that is in use again."""

import asyncio
import itertools

from tests.meshes import REQUEST_ID, header_value, ok_response, respond_immediately
from tests.test_mesh import MeshTestCase

NOT_RUN = "Marjoramvalve-Run: not-run\r\n"
NOT_RUN_STATUSES = (408, 421, 429, 503)


def refusal(attempt, status="503 Busy", extra="", body=b"busy"):
    """Returns a response that says that a request did not run; without an ID if it is empty."""
    identity = f"{REQUEST_ID}: {attempt}\r\n" if attempt else ""
    head = f"HTTP/1.1 {status}\r\n{identity}{NOT_RUN}{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


REFUSALS = {
    "503": refusal("a1"),
    "429": refusal("a1", "429 Slow"),
    "421": refusal("a1", "421 Other"),
    "without a body": refusal("a1", body=b""),
    "without an ID": refusal(""),
    "closing": refusal("a1", extra="Connection: close\r\n"),
    "cut in its head": refusal("a1")[:40],
    "cut in its body": refusal("a1")[:-2],
    "in chunks": refusal("a1").replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")[:-4]
    + b"4\r\nbusy\r\n0\r\n\r\n",
}


class RepeatedRefusalTests(MeshTestCase):
    """An earlier refusal on the connection of a request that runs."""

    def request_after(self, respond, attempts=("a1", "a2")):
        """Returns the status and the body of the last of the attempts, which are sent in turn."""

        async def play():
            caller = await self.connect_pair(respond)
            for attempt in attempts:
                status, _, body = await caller.request("/order/", attempt, method="POST")
                await asyncio.sleep(0.02)
            return status, body

        return self.bench.run(play())

    def check(self, status, body):
        """The last request has run: it gets its own answer, or one that says that it may have."""
        if status == 200:
            self.assertEqual(body, b"ran a2")
        else:
            self.assertIn(status, (502, 504))

    def test_refusal_in_front_of_the_response_is_not_taken_for_it(self):
        for name, stray in REFUSALS.items():

            async def respond(request, writer, stray=stray):
                if header_value(request, REQUEST_ID) == "a1":
                    writer.write(refusal("a1"))
                else:
                    writer.write(stray)
                    await asyncio.sleep(0.05)
                    writer.write(ok_response(request, b"ran a2"))

            with self.subTest(name):
                self.check(*self.request_after(respond))
                self.restart()

    def restart(self):
        """Replaces the nodes and upstreams by new ones."""
        self.doCleanups()
        self.setUp()

    def test_refusal_at_any_moment_is_not_taken_for_the_response(self):
        stray = refusal("a1")
        for cut, when in itertools.product((0, 10, 40, len(stray) - 2), ("before", "with")):

            async def respond(request, writer, cut=cut, when=when):
                if header_value(request, REQUEST_ID) == "a1":
                    writer.write(refusal("a1"))
                    if when == "before":
                        await asyncio.sleep(0.005)
                    writer.write(stray[:cut])
                else:
                    writer.write(stray[cut:] + ok_response(request, b"ran a2"))

            with self.subTest(cut=cut, when=when):
                self.check(*self.request_after(respond))
                self.restart()

    def test_refusal_of_an_attempt_does_not_answer_its_next_run(self):
        for status in ("503 Busy", "421 Other"):
            refused_on = []

            async def respond(request, writer, refused_on=refused_on, status=status):
                if not refused_on:
                    refused_on.append(writer)
                    writer.write(refusal("a2", status))
                    return
                if writer in refused_on:
                    writer.write(refusal("a2", status))
                await asyncio.sleep(0.05)
                writer.write(ok_response(request, b"ran a2"))

            with self.subTest(status):
                self.check(*self.request_twice(respond))
                self.restart()

    def request_twice(self, respond):
        """Returns the status and the body of an attempt that was refused before.

        The upstream is announced again in between, as it counts as replaced after a 421.
        """

        async def play():
            caller = await self.connect_pair(respond)
            await caller.request("/order/", "a2", method="POST")
            node = self.bench.nodes[1]
            self.bench.set_upstream_state(node, "i-n1")
            while not next(iter(self.bench.nodes[0].egress.peers.remote.values())).usable:
                await asyncio.sleep(0.005)
            status, _, body = await caller.request("/order/", "a2", method="POST")
            return status, body

        return self.bench.run(play())

    def test_request_that_runs_is_not_sent_to_a_second_upstream(self):
        async def respond(request, writer):
            attempt = header_value(request, REQUEST_ID)
            if attempt == "a1":
                writer.write(refusal("a1"))
            else:
                writer.write(refusal("a1"))
                await asyncio.sleep(0.1)
                writer.write(ok_response(request, b"ran a2"))

        async def play():
            caller = await self.connect_pair(respond)
            await caller.request("/order/", "a1", method="POST")
            await self.bench.add_node(respond_immediately)
            await self.bench.connect_nodes()
            for peer in self.bench.nodes[0].egress.peers.remote.values():
                if peer.name == "n2":
                    peer.stats.slowness, peer.stats.last_answer_at = 9.0, 1e9
            status, _, body = await caller.request("/order/", "a2", method="POST")
            return status, body

        self.check(*self.bench.run(play()))
        self.assertEqual(self.bench.upstreams[2].requests, [])


class TrailerTests(MeshTestCase):
    """Fields behind the body of a response, which say nothing about it as a whole."""

    def request(self, head_id, trailer):
        async def respond(request, writer):
            head = (
                f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {head_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(f"{head}4\r\nbody\r\n0\r\n{trailer}\r\n".encode())

        async def play():
            caller = await self.connect_pair(respond)
            status, head, _ = await caller.request("/order/", "a1", method="POST")
            return status, head

        return self.bench.run(play())

    def test_trailer_does_not_say_that_a_request_has_not_run(self):
        status, _ = self.request("a1", NOT_RUN)
        self.assertEqual(status, 200)

    def test_trailer_does_not_identify_a_response(self):
        status, _ = self.request("a0", f"{REQUEST_ID}: a1\r\n")
        self.assertEqual(status, 504)

    def test_trailer_does_not_become_a_header(self):
        status, head = self.request("a1", "X-Behind: 1\r\n")
        self.assertEqual((status, header_value(head, "X-Behind")), (200, None))
