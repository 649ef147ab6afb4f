"""Heads whose fields are doubled, or hold numbers and texts beyond what others can take."""

from tests.meshes import REQUEST_ID, respond_immediately
from tests.test_mesh import MeshTestCase

NINES = (19, 30, 400, 5000)


class CallerHeadTests(MeshTestCase):
    """Heads of requests."""

    def request(self, *fields, limit_bytes=None):
        """Returns the response to a request with these header lines."""

        async def play():
            caller = await self.connect_pair(respond_immediately)
            if limit_bytes is not None:
                limits = self.bench.nodes[0].callers.limits
                self.bench.nodes[0].callers.limits = type(limits)(header_bytes=limit_bytes)
            lines = ["GET /order/ HTTP/1.1", "Marjoramvalve-Key: secret", *fields, "\r\n"]
            caller.writer.write("\r\n".join(lines).encode())
            return await caller.read_response()

        return self.bench.run(play())

    def test_second_host_behind_an_empty_one_is_refused(self):
        for hosts in (("", "any"), ("any", ""), ("", "")):
            with self.subTest(hosts):
                fields = [f"Host: {host}" for host in hosts]
                self.assertEqual(self.request(*fields, f"{REQUEST_ID}: a1")[0], 400)
                self.assertEqual(self.received_requests, [])
                self.doCleanups()
                self.setUp()
