"""What an upstream says about itself in its responses: its rate limit, and that it is leaving."""

import asyncio
import unittest

from marjoramvalve.h1 import UpstreamResponse
from marjoramvalve.mesh import UpstreamState
from marjoramvalve.mesh.announced_rates import parse_rate
from marjoramvalve.mesh.announcements import UpstreamAnnouncements, UpstreamNotices
from marjoramvalve.mesh.frames import UpstreamNotice
from tests.meshes import header_value, ok_response
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


class AnnouncementTestCase(MeshTestCase):
    """Base class of tests with two nodes, the second beside an upstream that announces things."""

    @property
    def remote_peer(self):
        """Returns the second node as the first one knows it."""
        return next(iter(self.bench.nodes[0].egress.peers.remote.values()))

    def refuse_queued(self, headers):
        """Makes a call wait behind one whose response has these headers.

        Returns how many calls wait once that response has come, and the status and the
        Retry-After of the one that waited.
        """
        release = asyncio.Event()

        async def respond(request, writer):
            await release.wait()
            writer.write(ok_response(request, extra=headers))

        async def play():
            caller = await self.connect_pair(respond, slots=1)
            other = await self.bench.connect_caller(self.bench.nodes[0])
            ingress = self.bench.nodes[1].ingress
            caller.send("/read/", "a1")
            while not self.received_requests:
                await asyncio.sleep(0.005)
            other.send("/read/", "a2")
            while not ingress.load[1]:
                await asyncio.sleep(0.005)
            release.set()
            self.assertEqual((await caller.read_response())[0], 200)
            waiting = ingress.load[1]
            status, head, _ = await other.read_response()
            return waiting, status, float(header_value(head, "Retry-After"))

        return self.bench.run(play())


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


LEAVING = "Marjoramvalve-Leaving: 1\r\n"


class LeavingUpstreamTests(AnnouncementTestCase):
    """An upstream that has said in a response that it is leaving."""

    async def leave(self):
        """Returns a caller that has passed on such a response, and the upstream's node."""
        caller = await self.connect_pair(announcing([LEAVING]))
        status, head, _ = await caller.request("/read/", "a1")
        self.assertEqual((status, header_value(head, "Marjoramvalve-Leaving")), (200, "1"))
        return caller, self.bench.nodes[1]

    def request_after(self, change):
        """Returns the status of a call after a change of the node, a function of it."""

        async def play():
            caller, node = await self.leave()
            await change(node)
            return (await caller.request("/read/", "a2"))[0]

        return self.bench.run(play())

    def test_it_gets_no_further_calls(self):
        async def nothing(node):
            pass

        self.assertEqual(self.request_after(nothing), 503)
        self.assertEqual(len(self.received_requests), 1)

    def test_its_queued_calls_are_refused(self):
        waiting, status, _ = self.refuse_queued(LEAVING)
        self.assertEqual((waiting, status), (0, 503))
        self.assertEqual(len(self.received_requests), 1)

    def test_a_late_heartbeat_does_not_bring_it_back(self):
        async def announce(node):
            self.bench.set_upstream_state(node, "i-n1")

        self.assertEqual(self.request_after(announce), 503)
        self.assertEqual(len(self.received_requests), 1)

    def test_another_start_at_its_address_is_used(self):
        async def announce(node):
            self.bench.set_upstream_state(node, "i-n1", started_at_ms=2)
            peer = self.remote_peer
            while not peer.usable:
                await asyncio.sleep(0.005)

        self.assertEqual(self.request_after(announce), 200)

    def restart_ingress(self, started_at_ms):
        """Restarts the node of the upstream, which then announces itself; returns the status."""

        async def play():
            caller, node = await self.leave()
            await node.close()
            peer = self.remote_peer
            while peer._stream is not None:
                await asyncio.sleep(0.005)
            restarted = await self.bench.restart_node(node)
            self.bench.set_upstream_state(restarted, "i-n1", started_at_ms=started_at_ms)
            while peer._stream is None:
                await asyncio.sleep(0.005)
            return (await caller.request("/read/", "a2"))[0]

        return self.bench.run(play())

    def test_it_is_not_used_again_after_a_restart_of_its_node(self):
        self.assertEqual(self.restart_ingress(started_at_ms=1), 503)
        self.assertEqual(len(self.received_requests), 1)

    def test_another_start_is_used_after_a_restart_of_its_node(self):
        self.assertEqual(self.restart_ingress(started_at_ms=2), 200)


class RateChangeTests(AnnouncementTestCase):
    """Announced rates that change while calls wait and egresses place calls."""

    def test_queued_calls_that_would_wait_too_long_are_refused_when_the_rate_falls(self):
        headers = "Marjoramvalve-Rate-Limit: 0.25\r\n"
        waiting, status, retry_after_s = self.refuse_queued(headers)
        self.assertEqual((waiting, status), (0, 503))
        self.assertGreater(retry_after_s, 1.0)

    def test_callers_node_knows_a_rate_before_the_response_is_passed_on(self):
        async def play():
            caller = await self.connect_pair(announcing(["Marjoramvalve-Rate-Limit: 7\r\n"]))
            await caller.request("/read/", "a1")
            return self.remote_peer.stats.rate_per_s

        self.assertEqual(self.bench.run(play()), 7.0)

    def test_callers_node_learns_further_changes(self):
        headers = ["Marjoramvalve-Rate-Limit: 70\r\n"]

        async def play():
            caller = await self.connect_pair(announcing(headers))
            for attempt, rate in enumerate((70, 60, 50)):
                headers[0] = f"Marjoramvalve-Rate-Limit: {rate}\r\n"
                await caller.request("/read/", f"a{attempt}")
            while self.remote_peer.stats.rate_per_s != 50.0:
                await asyncio.sleep(0.005)

        self.bench.run(play())


class ConnectionHeaderTests(MeshTestCase):
    """What responses say about the connection that they come on."""

    def opened_connections(self, *headers):
        """Returns how many connections two calls take after a response with these headers."""

        async def play():
            caller = await self.connect_pair(announcing(headers))
            for attempt in ("a1", "a2"):
                await caller.request("/read/", attempt)
            return self.bench.nodes[1].ingress.pool.opened_connections

        return self.bench.run(play())

    def test_a_connection_is_used_again(self):
        self.assertEqual(self.opened_connections(), 1)

    def test_a_connection_that_the_upstream_will_close_is_not(self):
        self.assertEqual(self.opened_connections("Connection: close\r\n"), 2)

    def test_a_connection_is_not_used_up_to_its_idle_timeout(self):
        self.assertEqual(self.opened_connections("Keep-Alive: timeout=1\r\n"), 2)


class ReplacedUpstreamTests(MeshTestCase):
    """Another upstream at the address, which refuses what is meant for the one before."""

    def test_its_announcements_are_not_those_of_the_one_before(self):
        async def respond(request, writer):
            extra = f"{LEAVING}Marjoramvalve-Rate-Limit: 0.5\r\n"
            response = ok_response(request, extra=extra)
            writer.write(response.replace(b"200 OK", b"421 Misdirected"))

        async def play():
            caller = await self.connect_pair(respond)
            await caller.request("/read/", "a1")
            ingress = self.bench.nodes[1].ingress
            return ingress.announcements.is_leaving, ingress.rate_limiter.per_s

        self.assertEqual(self.bench.run(play()), (False, None))


class RestartedIngressTests(unittest.TestCase):
    """Announcements that an ingress process has not seen itself."""

    def announcements(self, started_at_ms=1000, node_started_at_ms=90_000):
        announcements = UpstreamAnnouncements(node_started_at_ms)
        announcements.set_state(UpstreamState("i-1", "s", 4, True, started_at_ms), 0.0)
        return announcements

    def sendable(self, announcements):
        """Returns how many requests may be sent at once, at most 50."""
        sent = 0
        while sent < 50 and announcements.rate_limiter.wait_s(0, 0.0) == 0:
            announcements.rate_limiter.take(0.0)
            sent += 1
        return sent

    def test_few_requests_are_sent_before_the_first_response(self):
        self.assertLess(self.sendable(self.announcements()), 5)

    def test_the_first_response_without_a_rate_lifts_this(self):
        announcements = self.announcements()
        announcements.record(UpstreamResponse(200, b"", b"", False), b"a1", 0.1)
        self.assertIsNone(announcements.rate_limiter.per_s)

    def test_an_upstream_that_has_just_started_gets_requests_immediately(self):
        self.assertEqual(self.sendable(self.announcements(started_at_ms=89_000)), 50)

    def test_the_lowest_rate_that_egresses_remember_is_kept_to(self):
        announcements = self.announcements()
        for rate in (7.0, 3.0, 5.0):
            announcements.remember(UpstreamNotice("i-1", 1000, rate), 0.0)
        self.assertEqual(announcements.rate_limiter.per_s, 3.0)

    def test_an_egress_that_does_not_know_of_a_departure_erases_nothing(self):
        announcements = self.announcements()
        announcements.remember(UpstreamNotice("i-1", 1000, None, True), 0.0)
        announcements.remember(UpstreamNotice("i-1", 1000, 3.0), 0.1)
        self.assertTrue(announcements.is_leaving)

    def test_a_rate_in_a_health_check_is_kept_to(self):
        announcements = self.announcements()
        response = UpstreamResponse(200, b"", b"", False, rate_limits=(b"7",))
        announcements.record_probe(response, 0.0)
        announcements.record_probe(UpstreamResponse(200, b"", b"", False), 0.1)
        self.assertEqual(announcements.rate_limiter.announced_per_s, 7.0)

    def test_notices_that_come_before_the_heartbeat_count(self):
        announcements = UpstreamAnnouncements()
        announcements.remember(UpstreamNotice("i-1", 1000, 3.0, True), 0.0)
        announcements.set_state(UpstreamState("i-1", "s", 4, True, 1000), 1.0)
        self.assertEqual((announcements.rate_limiter.per_s, announcements.is_leaving), (3.0, True))

    def test_notices_of_another_upstream_do_not_count(self):
        announcements = self.announcements(node_started_at_ms=0)
        announcements.remember(UpstreamNotice("i-0", 500, 3.0, True), 0.0)
        announcements.remember(UpstreamNotice("i-1", 999, 3.0, True), 0.0)
        self.assertEqual(
            (announcements.rate_limiter.per_s, announcements.is_leaving), (None, False)
        )

    def test_another_start_under_the_same_name_is_used_once_its_start_is_known(self):
        announcements = UpstreamAnnouncements()
        announcements.remember(UpstreamNotice("i-1", 1000, None, True), 0.0)
        announcements.set_state(UpstreamState("i-1", "s", 4, True, 0), 1.0)
        self.assertTrue(announcements.is_leaving)
        announcements.set_state(UpstreamState("i-1", "s", 4, True, 2000), 2.0)
        self.assertFalse(announcements.is_leaving)

    def test_own_responses_are_newer_than_what_egresses_remember(self):
        announcements = self.announcements()
        announcements.record(UpstreamResponse(200, b"", b"", False), b"a1", 0.1)
        announcements.remember(UpstreamNotice("i-1", 1000, 3.0), 0.2)
        self.assertIsNone(announcements.rate_limiter.per_s)


class UpstreamNoticesTests(unittest.TestCase):
    """What an egress remembers of the upstreams beside other ingresses."""

    def test_an_ingress_that_does_not_know_its_upstream_yet_erases_nothing(self):
        notices = UpstreamNotices()
        told = UpstreamNotice("i-1", 1, 4.0, True)
        notices.record("a:1", told)
        notices.record("a:1", UpstreamNotice())
        notices.record("a:1", UpstreamNotice("i-1", 1, 4.0, False))
        self.assertEqual(notices.recall("a:1"), told)

    def test_another_start_replaces_it(self):
        notices = UpstreamNotices()
        notices.record("a:1", UpstreamNotice("i-1", 1, 4.0, True))
        notices.record("a:1", UpstreamNotice("i-1", 2))
        self.assertEqual(notices.recall("a:1"), UpstreamNotice("i-1", 2))
