"""Links of nodes to the controllers: which ones, how many, and over the loss of leaders."""

import asyncio
import collections
import unittest

import uvloop

from benches.fleets import free_address
from marjoramvalve.fleet import ControlPlaneClient, ControlPlaneClientOptions
from marjoramvalve.fleet.links import (
    LEAST_PERIOD_S,
    MOST_PERIOD_S,
    MOST_REPORTS_PER_S,
    OTHERS,
    choose_links,
    report_period_s,
)
from marjoramvalve.fleet.messages import (
    Beat,
    Kind,
    Report,
    Roster,
    RosterEntry,
    Status,
    decode,
    encode,
    roster_frame,
)
from marjoramvalve.links import Listener
from marjoramvalve.telemetry import set_up_logs

DOMAINS = ("a", "b", "c", "d", "e")
CONTROLLERS = {f"{domain}{number}": domain for domain in DOMAINS for number in (1, 2)}


class ChooseLinksTests(unittest.TestCase):
    """The choice. Load: reports of hundreds of nodes to ten controllers."""

    def test_the_leader_and_those_of_the_own_domain(self):
        links = choose_links("n", "b", CONTROLLERS, "d2")
        self.assertTrue({"d2", "b1", "b2"} <= links)
        self.assertEqual(len(links), 1 + OTHERS)

    def test_without_a_leader_all_are_asked(self):
        self.assertEqual(choose_links("n", "b", CONTROLLERS, None), CONTROLLERS.keys())

    def test_small_groups_are_linked_whole(self):
        few = {"a1": "a", "b1": "b", "c1": "c"}
        self.assertEqual(choose_links("n", "b", few, "a1"), few.keys())

    def test_a_leader_that_is_not_listed_yet_is_linked(self):
        self.assertIn("new", choose_links("n", "b", CONTROLLERS, "new"))

    def test_links_spread_evenly(self):
        for nodes in (190, 900):
            counts = collections.Counter()
            for number in range(nodes):
                domain = DOMAINS[number % len(DOMAINS)]
                counts.update(choose_links(f"n{number}", domain, CONTROLLERS, "a1") - {"a1"})
            mean = nodes * OTHERS / (len(CONTROLLERS) - 1)
            self.assertLess(max(counts.values()), 1.5 * mean)

    def test_the_leader_is_not_asked_more_by_more_nodes(self):
        self.assertEqual(report_period_s(15), LEAST_PERIOD_S)
        self.assertAlmostEqual(190 / report_period_s(190), MOST_REPORTS_PER_S)
        self.assertEqual(report_period_s(900), MOST_PERIOD_S)


class RosterFrameTests(unittest.TestCase):
    """Rosters on the wire."""

    def test_large_rosters_are_small_on_the_wire_and_come_whole(self):
        entries = tuple(
            RosterEntry(f"node-{n}", "a", f"10.0.0.{n}:7000", "s", 1_700_000_000_000 + n)
            for n in range(190)
        )
        roster = Roster(True, entries, ("x",))
        kind, payload = roster_frame(roster)
        self.assertEqual(decode(kind, payload), roster)
        self.assertLess(len(payload), len(encode(roster)) / 2)
        small = Roster(False, entries[:2])
        self.assertEqual(decode(*roster_frame(small)), small)
        self.assertIsNone(decode(Kind.PACKED_ROSTER, b"no such thing"))


class FakeController:
    """Answers reports; whether it leads is said from outside."""

    def __init__(self, domain: str) -> None:
        self.domain = domain
        self.address = free_address()
        self.leader = ""
        self.listed: dict[str, str] = {}
        self.reports = 0
        self.beats = 0
        self.tells_roster = False
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
        if kind == Kind.PING:
            stream.send(Kind.PONG, b"")
            return
        match decode(kind, payload):
            case Report(stamp=stamp, takes_roster=takes_roster):
                self.reports += 1
                self.tells_roster = takes_roster
                self._answer(stream, stamp, self.listed)
            case Beat(stamp=stamp):
                self.beats += 1
                self._answer(stream, stamp, None)

    def _answer(self, stream, stamp, listed) -> None:
        leads = self.leader == self.address
        status = Status(stamp, leads, 0, listed, None, self.leader, 0.0)
        stream.send(Kind.STATUS, encode(status))


class MemberLinkTests(unittest.TestCase):
    """One node among ten controllers on loopback sockets."""

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
        listed = {item.address: item.domain for item in self.controllers}
        for item in self.controllers:
            item.listed = listed
            await item.start()
        self.elect(self.controllers[-1])
        seeds = tuple(item.address for item in self.controllers[:3])
        options = ControlPlaneClientOptions("n", "a", "s", free_address(), 1, seeds, 5.0)
        loop = asyncio.get_running_loop()
        self.paused_s = 0.0
        clock = lambda: loop.time() + self.paused_s  # noqa: E731
        self.member = ControlPlaneClient(options, clock, lambda *config: None, lambda peers: None)
        await self.member.start()

    def elect(self, leader, by=None):
        for item in by or self.controllers:
            item.leader = leader.address

    @property
    def linked(self):
        return {item.address for item in self.controllers if item.streams}

    @property
    def tellers(self):
        return {item.address for item in self.controllers if item.streams and item.tells_roster}

    def is_settled(self):
        return self.controllers[-1].beats and len(self.linked) == 1 + OTHERS

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.02)

    async def close(self):
        await self.member.close()
        for item in self.controllers:
            await item.close()

    def test_a_node_keeps_to_a_few_and_turns_to_a_new_leader(self):
        async def play():
            await self.start()
            first, second = self.controllers[-1], self.controllers[4]
            await self.until(self.is_settled)
            self.assertTrue({first.address, *(self.own_domain())} <= self.linked)
            self.assertLessEqual(first.reports, 2)  # Again where it takes the roster now.
            # Of other nodes it hears from the leader and from nearby.
            await self.until(lambda: self.tellers == {first.address, *self.own_domain()})
            # The leader goes; those that the node is linked to name the next one.
            await first.close()
            self.elect(second)
            await self.until(lambda: self.member._leader.address == second.address)
            wanted = choose_links("n", "a", second.listed, second.address) - {first.address}
            await self.until(lambda: self.linked == wanted)
            await self.close()

        self.run_coro(play())

    def own_domain(self):
        return [item.address for item in self.controllers if item.domain == "a"]

    def test_a_confirmation_has_run_out_after_a_pause_before_anything_else_happens(self):
        async def play():
            await self.start()
            await self.until(self.member.is_confirmed)
            self.paused_s = self.member.options.lease_s
            confirmed = self.member.is_confirmed()
            await self.until(self.member.is_confirmed)
            await self.close()
            return confirmed

        self.assertFalse(self.run_coro(play()))

    def test_a_node_whose_controllers_know_no_leader_asks_all(self):
        async def play():
            await self.start()
            await self.until(self.is_settled)
            kept = [item for item in self.controllers if item.streams]
            others = [item for item in self.controllers if not item.streams]
            # A group cut in two: the node's own controllers follow nobody any more.
            for item in kept:
                item.leader = ""
                if item.domain == "a":
                    await item.close()
            self.elect(others[0], others)
            await self.until(lambda: self.member._leader.address == others[0].address)
            await self.until(lambda: others[0].address in self.tellers)
            await self.close()

        self.run_coro(play())
