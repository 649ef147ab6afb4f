"""Upstreams that stop in the middle of a response's head and close the connection."""

from tests.meshes import REQUEST_ID, header_value, reset_connection
from tests.test_mesh import MeshTestCase

BODY = b"0123456789"
FRAMINGS = {
    "length": (f"Content-Length: {len(BODY)}\r\n", BODY),
    "chunked": ("Transfer-Encoding: chunked\r\n", b"a\r\n" + BODY + b"\r\n0\r\n\r\n"),
    "none": ("", BODY),
}
INTERIMS = {
    "no interim response": "",
    "100": "HTTP/1.1 100 Continue\r\n\r\n",
    "103 with the ID": f"HTTP/1.1 103 Early Hints\r\n{REQUEST_ID}: ATTEMPT\r\n\r\n",
    "102 with headers": f"HTTP/1.1 102 Processing\r\n{REQUEST_ID}: ATTEMPT\r\nServer: x\r\n\r\n",
    "another request's response": (
        f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: earlier\r\nContent-Length: 2\r\n\r\nno"
    ),
}


class BrokenHeadTests(MeshTestCase):
    """No caller takes a response for whole whose head has broken off."""

    def check(self, data, close, cuts):
        """Checks the statuses of requests whose response is cut after each of these sizes."""
        cuts = list(cuts)

        async def respond(request, writer):
            attempt = header_value(request, REQUEST_ID)
            whole = data.replace(b"ATTEMPT", attempt.encode())
            writer.write(whole[: cuts[int(attempt)]])
            await writer.drain()
            close(writer)

        async def play():
            await self.connect_pair(respond, slots=64)
            answers = []
            for number in range(len(cuts)):
                caller = await self.bench.connect_caller(self.bench.nodes[0])
                answers.append(await caller.request("/order/", str(1000 + number)[1:]))
                caller.writer.close()
            return answers

        for cut, (status, head, body) in zip(cuts, self.bench.run(play()), strict=True):
            with self.subTest(cut=cut):
                self.assertEqual(status, 502, (head, body))

    def response(self, interim, framing):
        fields, body = FRAMINGS[framing]
        head = f"{INTERIMS[interim]}HTTP/1.1 200 OK\r\n{REQUEST_ID}: ATTEMPT\r\n{fields}\r\n"
        return head.encode(), body

    def restart(self):
        """Replaces the nodes and upstreams by new ones."""
        self.doCleanups()
        self.setUp()

    def check_all(self, close, step):
        for interim in INTERIMS:
            for framing in FRAMINGS:
                with self.subTest(interim, framing=framing):
                    head, _ = self.response(interim, framing)
                    size = len(head.replace(b"ATTEMPT", b"000"))
                    start = len(INTERIMS[interim].replace("ATTEMPT", "000"))
                    self.check(head, close, {0, start, *range(0, size, step), size - 1})
                    self.restart()

    def test_closed_connection(self):
        self.check_all(lambda writer: writer.close(), 5)

    def test_reset_connection(self):
        self.check_all(reset_connection, 23)

    def test_body_that_breaks_off(self):
        for framing in ("length", "chunked"):
            with self.subTest(framing):
                head, body = self.response("no interim response", framing)
                size = len(head.replace(b"ATTEMPT", b"000"))
                cuts = range(size, size + len(body))
                self.check(head + body, lambda writer: writer.close(), cuts)
                self.restart()

    def test_whole_responses_pass(self):
        for interim in INTERIMS:
            for framing in FRAMINGS:

                async def respond(request, writer, interim=interim, framing=framing):
                    attempt = header_value(request, REQUEST_ID).encode()
                    head, body = self.response(interim, framing)
                    writer.write(head.replace(b"ATTEMPT", attempt) + body)
                    writer.close()

                async def play(respond=respond):
                    caller = await self.connect_pair(respond)
                    return await caller.request("/order/", "000")

                with self.subTest(interim, framing=framing):
                    status, _, body = self.bench.run(play())
                    self.assertEqual((status, body), (200, BODY))
                    self.restart()
