"""Links of nodes to controllers: which are chosen, how many, and what a change of leader does."""

import asyncio
import collections
import unittest

import uvloop

from benches.fleets import free_address
from marjoramvalve.fleet import ControlPlaneClient, ControlPlaneClientOptions
from marjoramvalve.fleet.links import (
    MAX_FOLLOWER_LINKS,
    MAX_REPORT_PERIOD_S,
    MAX_REPORTS_PER_S,
    MIN_REPORT_PERIOD_S,
    choose_links,
    report_period_s,
)
from marjoramvalve.fleet.messages import (
    FrameKind,
    Heartbeat,
    Report,
    Roster,
    RosterEntry,
    Status,
    decode,
    encode,
    encode_roster,
)
from marjoramvalve.links import Listener
from marjoramvalve.telemetry import set_up_logs

DOMAINS = ("a", "b", "c", "d", "e")
CONTROLLERS = {f"{domain}{number}": domain for domain in DOMAINS for number in (1, 2)}


class ChooseLinksTests(unittest.TestCase):
    """choose_links and report_period_s, for hundreds of nodes that report to ten controllers."""

    def test_leader_and_controllers_of_own_domain_are_chosen(self):
        links = choose_links("n", "b", CONTROLLERS, "d2")
        self.assertTrue({"d2", "b1", "b2"} <= links)
        self.assertEqual(len(links), 1 + MAX_FOLLOWER_LINKS)

    def test_all_controllers_are_chosen_without_leader(self):
        self.assertEqual(choose_links("n", "b", CONTROLLERS, None), CONTROLLERS.keys())

    def test_all_controllers_of_small_group_are_chosen(self):
        small_group = {"a1": "a", "b1": "b", "c1": "c"}
        self.assertEqual(choose_links("n", "b", small_group, "a1"), small_group.keys())

    def test_unlisted_leader_is_chosen(self):
        self.assertIn("new", choose_links("n", "b", CONTROLLERS, "new"))

    def test_links_are_spread_evenly(self):
        for nodes in (190, 900):
            counts = collections.Counter()
            for number in range(nodes):
                domain = DOMAINS[number % len(DOMAINS)]
                counts.update(choose_links(f"n{number}", domain, CONTROLLERS, "a1") - {"a1"})
            mean = nodes * MAX_FOLLOWER_LINKS / (len(CONTROLLERS) - 1)
            self.assertLess(max(counts.values()), 1.5 * mean)

    def test_report_rate_at_leader_is_bounded(self):
        self.assertEqual(report_period_s(15), MIN_REPORT_PERIOD_S)
        self.assertAlmostEqual(190 / report_period_s(190), MAX_REPORTS_PER_S)
        self.assertEqual(report_period_s(900), MAX_REPORT_PERIOD_S)


class RosterFrameTests(unittest.TestCase):
    """Encoding and compression of roster frames."""

    def test_large_roster_is_compressed_and_decoded_unchanged(self):
        entries = tuple(
            RosterEntry(f"node-{n}", "a", f"10.0.0.{n}:7000", "s", 1_700_000_000_000 + n)
            for n in range(190)
        )
        roster = Roster(True, entries, ("x",))
        kind, payload = encode_roster(roster)
        self.assertEqual(decode(kind, payload), roster)
        self.assertLess(len(payload), len(encode(roster)) / 2)
        small = Roster(False, entries[:2])
        self.assertEqual(decode(*encode_roster(small)), small)
        self.assertIsNone(decode(FrameKind.PACKED_ROSTER, b"no such thing"))


class FakeController:
    """Controller that answers reports; tests set `leader` to the address it names as leader."""

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.address = free_address()
        self.leader = ""
        self.controller_domains: dict[str, str] = {}
        self.reports = 0
        self.beats = 0
        self.sends_roster = False
        self.streams: set = set()
        self._listener = Listener(self)

    async def start(self) -> None:
        await self._listener.start(self.address)

    async def close(self) -> None:
        await self._listener.close()
        for stream in list(self.streams):
            stream.abort()

    def stream_opened(self, stream) -> None:
        self.streams.add(stream)

    def stream_closed(self, stream) -> None:
        self.streams.discard(stream)

    def stream_frame(self, stream, kind, payload) -> None:
        if kind == FrameKind.PING:
            stream.send(FrameKind.PONG, b"")
            return
        match decode(kind, payload):
            case Report(stamp=stamp, wants_roster=wants_roster):
                self.reports += 1
                self.sends_roster = wants_roster
                self._answer(stream, stamp, self.controller_domains)
            case Heartbeat(stamp=stamp):
                self.beats += 1
                self._answer(stream, stamp, None)

    def _answer(self, stream, stamp, controller_domains) -> None:
        leads = self.leader == self.address
        status = Status(stamp, leads, 0, controller_domains, None, self.leader, 0.0)
        stream.send(FrameKind.STATUS, encode(status))


class ControlPlaneClientTests(unittest.TestCase):
    """A control-plane client connected to ten fake controllers on loopback sockets."""

    def setUp(self):
        set_up_logs("critical", "test")
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.addCleanup(self.runner.close)

    def run_coro(self, coro):
        async def bounded():
            async with asyncio.timeout(30):
                return await coro

        return self.runner.run(bounded())

    async def start(self):
        self.controllers = [FakeController(domain) for domain in CONTROLLERS.values()]
        domains = {controller.address: controller.domain for controller in self.controllers}
        for controller in self.controllers:
            controller.controller_domains = domains
            await controller.start()
        self.set_leader(self.controllers[-1])
        seeds = tuple(controller.address for controller in self.controllers[:3])
        options = ControlPlaneClientOptions("n", "a", "s", free_address(), 1, seeds, 5.0)
        loop = asyncio.get_running_loop()
        self.pause_s = 0.0
        clock = lambda: loop.time() + self.pause_s  # noqa: E731
        self.client = ControlPlaneClient(options, clock, lambda *config: None, lambda peers: None)
        await self.client.start()

    def set_leader(self, leader, controllers=None):
        for controller in controllers or self.controllers:
            controller.leader = leader.address

    @property
    def linked_addresses(self):
        return {controller.address for controller in self.controllers if controller.streams}

    @property
    def roster_senders(self):
        return {
            controller.address
            for controller in self.controllers
            if controller.streams and controller.sends_roster
        }

    def is_settled(self):
        return self.controllers[-1].beats and len(self.linked_addresses) == 1 + MAX_FOLLOWER_LINKS

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.02)

    async def close(self):
        await self.client.close()
        for controller in self.controllers:
            await controller.close()

    def test_node_keeps_few_links_and_follows_new_leader(self):
        async def scenario():
            await self.start()
            first_leader, second_leader = self.controllers[-1], self.controllers[4]
            await self.wait_until(self.is_settled)
            self.assertTrue(
                {first_leader.address, *(self.own_domain_controllers())} <= self.linked_addresses
            )
            # The full report is repeated once, when the link starts to take the roster.
            self.assertLessEqual(first_leader.reports, 2)
            # It takes the roster from the leader and from the controllers in its own domain.
            await self.wait_until(
                lambda: self.roster_senders
                == {first_leader.address, *self.own_domain_controllers()}
            )
            # The leader stops; the other linked controllers name the new one.
            await first_leader.close()
            self.set_leader(second_leader)
            await self.wait_until(lambda: self.client._leader.address == second_leader.address)
            wanted = choose_links(
                "n", "a", second_leader.controller_domains, second_leader.address
            ) - {first_leader.address}
            await self.wait_until(lambda: self.linked_addresses == wanted)
            await self.close()

        self.run_coro(scenario())

    def own_domain_controllers(self):
        return [controller.address for controller in self.controllers if controller.domain == "a"]

    def test_confirmation_expires_during_pause(self):
        # After a pause as long as the lease, is_confirmed must be false before any timer runs.
        async def scenario():
            await self.start()
            await self.wait_until(self.client.is_confirmed)
            self.pause_s = self.client.options.lease_s
            confirmed = self.client.is_confirmed()
            await self.wait_until(self.client.is_confirmed)
            await self.close()
            return confirmed

        self.assertFalse(self.run_coro(scenario()))

    def test_node_whose_controllers_know_no_leader_connects_to_all(self):
        async def scenario():
            await self.start()
            await self.wait_until(self.is_settled)
            linked = [controller for controller in self.controllers if controller.streams]
            others = [controller for controller in self.controllers if not controller.streams]
            # Network partition: the linked controllers no longer have a leader.
            for controller in linked:
                controller.leader = ""
                if controller.domain == "a":
                    await controller.close()
            self.set_leader(others[0], others)
            await self.wait_until(lambda: self.client._leader.address == others[0].address)
            await self.wait_until(lambda: others[0].address in self.roster_senders)
            await self.close()

        self.run_coro(scenario())
