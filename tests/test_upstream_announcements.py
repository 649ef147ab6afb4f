"""What an upstream says about itself in its responses: its rate limit, and that it is leaving."""

import unittest

from marjoramvalve.mesh.announced_rates import parse_rate
from tests.meshes import ok_response
from tests.test_mesh import MeshTestCase


class ParseRateTests(unittest.TestCase):
    """Header values that are rates, and others."""

    def test_plain_decimal_numbers_are_rates(self):
        for value, rate in ((b"12", 12.0), (b" 7.25 ", 7.25), (b".5", 0.5), (b"0", 0.0)):
            self.assertEqual(parse_rate([value]), rate, value)

    def test_the_lowest_of_several_rates_counts(self):
        self.assertEqual(parse_rate([b"9", b"4.5"]), 4.5)
        self.assertEqual(parse_rate([b"9, 3", b"4.5"]), 3.0)

    def test_other_texts_are_not_rates(self):
        for value in (b"", b"-1", b"nan", b"inf", b"1e9", b"12/s", b"0x10", b"1" * 400):
            self.assertIsNone(parse_rate([value]), value)


def announcing(headers):
    """Returns a handler that adds header lines, read from a list at each response."""

    async def respond(request, writer):
        writer.write(ok_response(request, extra="".join(headers)))

    return respond


class AnnouncementMetricsTests(MeshTestCase):
    """Metrics of what the upstream has announced."""

    def read_metrics(self, *headers):
        """Returns the metrics of a node whose upstream has sent these headers once."""

        async def play():
            caller = await self.connect_pair(announcing(headers))
            await caller.request("/read/", "a1")
            return self.bench.nodes[1].read_metrics().decode()

        return self.bench.run(play())

    def test_rate_limit_is_shown(self):
        metrics = self.read_metrics("Marjoramvalve-Rate-Limit: 7.5\r\n")
        self.assertRegex(metrics, r"upstream_rate_limited 1(\.0)?\n")
        self.assertRegex(metrics, r"upstream_rate_limit 7\.5\n")
        self.assertRegex(metrics, r"upstream_requests_sent 1(\.0)?\n")

    def test_leaving_upstream_is_shown(self):
        metrics = self.read_metrics("Marjoramvalve-Leaving: 1\r\n")
        self.assertRegex(metrics, r"upstream_leaving 1(\.0)?\n")
        self.assertRegex(metrics, r"upstream_rate_limited 0(\.0)?\n")
