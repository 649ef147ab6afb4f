"""Quarantine of requests: evidence in the suspect table, and its aggregation at a controller."""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from marjoramvalve.fleet import Controller, ControllerOptions
from marjoramvalve.fleet.messages import FrameKind, Report, Suspects, UpstreamEnded, decode, encode
from marjoramvalve.fleet.suspects import SuspectAggregator
from marjoramvalve.retries import CrashedRun, ListedSuspect, Standing, SuspectTable, fingerprints
from marjoramvalve.retries.suspects import (
    MAX_LISTED,
    MAX_UNLISTED,
    MIN_CRASHES_TO_QUARANTINE,
    SUSPECT_TTL_S,
)
from marjoramvalve.telemetry import set_up_logs

HOLD_S = 60.0
FATAL = fingerprints(b"read", b"shed", b"GET", b"/read/fatal?a=1", b"")
OTHER = fingerprints(b"read", b"shed", b"GET", b"/read/fine", b"")


def end(table, at, *suspects, began=None, is_retry=False):
    """Records an upstream end during requests that began 0.1 s before, or at `began`."""
    ran_s = 0.1 if began is None else at - began
    return table.record_crash(
        [CrashedRun(fingerprint, ran_s, is_retry) for fingerprint in suspects], at, HOLD_S
    )


class EvidenceTests(unittest.TestCase):
    """Which upstream ends count against a request, and what clears it."""

    def setUp(self):
        self.table = SuspectTable()

    def standing(self, suspects, now):
        return self.table.standing(suspects, now)[0]

    def test_three_successive_ends_quarantine_a_request(self):
        found = []
        for at in (10.0, 11.0, 12.0):
            end(self.table, at, *FATAL)
            found.append(self.standing(FATAL, at))
        self.assertEqual(found, [Standing.FREE, Standing.WATCHED, Standing.QUARANTINED])
        self.assertEqual(self.table.standing(FATAL, 12.0)[1], HOLD_S)
        self.assertEqual(self.standing(OTHER, 12.0), Standing.FREE)

    def test_request_of_upstreams_that_end_together_is_watched_at_most(self):
        found = []
        for _ in range(5):
            end(self.table, 10.0, *OTHER)
            found.append(self.standing(OTHER, 10.0))
        self.assertEqual(found, [Standing.FREE] + [Standing.WATCHED] * 4)
        self.assertEqual(self.standing(OTHER, 11.0), Standing.WATCHED)
        self.assertTrue(self.table.clear(OTHER[0]))

    def test_upstreams_that_end_together_in_a_second_event_all_count(self):
        end(self.table, 10.0, *FATAL)
        found = []
        for _ in range(2):
            end(self.table, 12.0, *FATAL)
            found.append(self.standing(FATAL, 12.1))
        self.assertEqual(found, [Standing.WATCHED, Standing.QUARANTINED])

    def test_several_runs_during_one_end_count_once(self):
        for at in (10.0, 11.0):
            end(self.table, at, *OTHER, *OTHER, *OTHER, is_retry=True)
        self.assertEqual(self.standing(OTHER, 11.0), Standing.WATCHED)

    def test_a_repeat_counts_however_close_to_the_first_end(self):
        ends = ((10.0, False), (9.99, True))
        for order in (ends, ends[::-1]):
            table = SuspectTable()
            for at, is_retry in order:
                end(table, at, *FATAL, began=9.95, is_retry=is_retry)
            self.assertEqual(table.standing(FATAL, 10.0)[0], Standing.WATCHED)

    def test_request_of_a_failure_domain_that_ends_within_a_second_is_watched_at_most(self):
        for step in range(5):
            end(self.table, 10.0 + step / 10, *OTHER, began=9.9)
        self.assertEqual(self.standing(OTHER, 11.0), Standing.WATCHED)

    def test_a_run_cancelled_before_each_end_makes_a_request_watched_at_most(self):
        for at in (10.0, 12.0, 14.0, 16.0):
            self.table.record_crash([CrashedRun(OTHER[0], 0.1, False, True)], at, HOLD_S)
        self.assertEqual(self.standing(OTHER, 16.2), Standing.WATCHED)
        self.assertTrue(self.table.clear(OTHER[0]))

    def test_a_running_one_counts_beside_a_cancelled_one_of_the_same_request(self):
        runs = [CrashedRun(FATAL[0], 0.5, False, True), CrashedRun(FATAL[0], 0.1, False)]
        for at in (10.0, 12.0, 14.0):
            self.table.record_crash(runs, at, HOLD_S)
        self.assertEqual(self.standing(FATAL, 14.2), Standing.QUARANTINED)

    def test_clearing_a_request_resets_its_count(self):
        for at in (10.0, 11.0, 12.0):
            end(self.table, at, *FATAL)
        for fingerprint in FATAL:
            self.assertTrue(self.table.clear(fingerprint))
        end(self.table, 13.0, *FATAL)
        self.assertEqual(self.standing(FATAL, 13.0), Standing.FREE)
        self.assertFalse(self.table.may_contain(b"/read/fatal"))

    def test_a_varying_query_does_not_evade_quarantine(self):
        for number in range(3):
            target = b"/read/fatal?page=%d" % number
            end(self.table, 10.0 + number, *fingerprints(b"read", b"shed", b"GET", target, b""))
        fourth = fingerprints(b"read", b"shed", b"GET", b"/read/fatal?page=9", b"")
        self.assertEqual(self.standing(fourth, 13.0), Standing.QUARANTINED)

    def test_answers_on_the_same_path_do_not_clear_a_fatal_query(self):
        fine = fingerprints(b"read", b"shed", b"GET", b"/read/fatal", b"")
        for number in range(3):
            end(self.table, 10.0 + number, *FATAL)
            for fingerprint in fine:
                self.table.clear(fingerprint)
        self.assertEqual(self.standing(FATAL, 13.0), Standing.QUARANTINED)
        self.assertEqual(self.standing(fine, 13.0), Standing.FREE)

    def test_requests_of_other_customers_are_not_quarantined(self):
        for at in (10.0, 11.0, 12.0):
            end(self.table, at, *FATAL)
        other = fingerprints(b"read", b"mill", b"GET", b"/read/fatal?a=1", b"")
        self.assertTrue(self.table.may_contain(b"/read/fatal?a=1"))
        self.assertEqual(self.standing(other, 12.0), Standing.FREE)

    @given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 3)), max_size=40))
    def test_no_request_is_held_before_three_ends(self, ends):
        table = SuspectTable()
        counts = dict.fromkeys(range(4), 0)
        for at, number in sorted(ends):
            fingerprint = b"%016d" % number
            end(table, at, fingerprint)
            counts[number] += 1
            if table.standing((fingerprint,), at)[0] is Standing.QUARANTINED:
                self.assertGreaterEqual(counts[number], MIN_CRASHES_TO_QUARANTINE)


class TimeTests(unittest.TestCase):
    """Duration of a quarantine, and the probation after it."""

    def setUp(self):
        self.table = SuspectTable()
        for at in (10.0, 11.0, 12.0):
            end(self.table, at, *FATAL)

    def test_a_request_is_on_probation_after_quarantine(self):
        until = 12.0 + HOLD_S
        self.assertEqual(self.table.standing(FATAL, until - 0.1)[0], Standing.QUARANTINED)
        self.assertEqual(self.table.standing(FATAL, until)[0], Standing.WATCHED)
        self.assertEqual(self.table.standing(FATAL, until + SUSPECT_TTL_S + 1)[0], Standing.FREE)

    def test_one_more_end_doubles_the_quarantine(self):
        at = 12.0 + HOLD_S + 5
        self.table.standing(FATAL, at)
        end(self.table, at, *FATAL)
        standing, left_s = self.table.standing(FATAL, at)
        self.assertEqual((standing, left_s), (Standing.QUARANTINED, 2 * HOLD_S))

    def test_suspects_are_forgotten(self):
        end(self.table, 20.0, *OTHER)
        end(self.table, 20.0 + SUSPECT_TTL_S + 1, *OTHER)
        end(self.table, 20.0 + SUSPECT_TTL_S + 2, *OTHER)
        self.assertEqual(self.table.standing(OTHER, 90.0)[0], Standing.WATCHED)


class BoundTests(unittest.TestCase):
    """Memory bounds under a stream of distinct fatal requests."""

    def test_the_table_is_bounded(self):
        table = SuspectTable()
        for number in range(MAX_UNLISTED + 1000):
            end(table, 10.0, b"%016d" % number)
        self.assertEqual(len(table._unlisted), MAX_UNLISTED)
        for number in range(MAX_LISTED + 100):
            for at in (20.0, 21.0, 22.0):
                end(table, at, b"%016d" % number)
        self.assertEqual(len(table), MAX_LISTED)
        self.assertEqual(sum(table._prefixes.values()), MAX_LISTED)
        size = len(encode(Suspects(tuple(table.listed(23.0)))))
        self.assertLess(size, MAX_LISTED * 40)

    def test_without_suspects_no_target_needs_fingerprints(self):
        self.assertFalse(SuspectTable().may_contain(b"/read/fatal"))


class MergeTests(unittest.TestCase):
    """Merging of suspicions from other tables."""

    def test_the_higher_count_wins_in_any_order(self):
        changes = [ListedSuspect(FATAL[0], 3, 50.0, 1), ListedSuspect(FATAL[0], 2, 60.0, 0)]
        for order in (changes, changes[::-1]):
            table = SuspectTable()
            for item in order:
                table.merge(item, 10.0)
            self.assertEqual(table.standing(FATAL, 11.0), (Standing.QUARANTINED, 49.0))

    def test_merging_a_known_suspicion_changes_nothing(self):
        table = SuspectTable()
        item = ListedSuspect(FATAL[0], 3, 50.0, 1)
        self.assertEqual([table.merge(item, 10.0), table.merge(item, 11.0)], [True, False])

    def test_an_instance_continues_from_a_merged_count(self):
        table = SuspectTable()
        table.merge(ListedSuspect(FATAL[0], 2, 60.0, 0), 10.0)
        end(table, 11.0, FATAL[0])
        self.assertEqual(table.standing(FATAL, 11.0)[0], Standing.QUARANTINED)


class AggregatorTests(unittest.TestCase):
    """Aggregation of ends at a controller, which nodes report over links that reconnect."""

    def setUp(self):
        set_up_logs("critical", "test")
        self.aggregator = SuspectAggregator()
        self.now = 100.0
        self.sequences = {}

    def report_end(self, node, *suspects, incarnation=1, sequence=None, ago_s=0.0):
        self.now += 1.0
        if sequence is None:
            sequence = self.sequences[node] = self.sequences.get(node, 0) + 1
        report = Report(node, "d", node, "s", incarnation, 1, 0.0)
        ended = UpstreamEnded(
            sequence,
            ago_s,
            HOLD_S,
            tuple(CrashedRun(fingerprint, 0.1, False) for fingerprint in suspects),
        )
        ended = decode(FrameKind.UPSTREAM_ENDED, encode(ended))
        return self.aggregator.record_end(report, ended, self.now)

    def test_ends_at_different_nodes_add_up(self):
        changes = [self.report_end(node, FATAL[0]) for node in ("a", "b", "c")]
        self.assertIsNone(changes[0])
        self.assertEqual([item.listed[0].crashes for item in changes[1:]], [2, 3])
        self.assertEqual(self.aggregator.snapshot(self.now).listed, changes[2].listed)

    def test_an_end_that_is_resent_counts_once(self):
        for _ in range(4):
            self.report_end("a", FATAL[0], sequence=1)
        self.assertIsNone(self.aggregator.snapshot(self.now))

    def test_sequence_numbers_restart_with_a_node(self):
        self.report_end("a", FATAL[0])
        self.report_end("a", FATAL[0])
        changes = self.report_end("a", FATAL[0], incarnation=0, sequence=1)
        self.assertEqual(changes.listed[0].crashes, 3)

    def test_a_new_controller_learns_suspects_from_the_nodes(self):
        other = SuspectAggregator()
        changes = other.merge(Suspects((ListedSuspect(FATAL[0], 3, 50.0, 1),)), 5.0)
        self.assertEqual(len(changes.listed), 1)
        self.assertIsNone(other.merge(changes, 6.0))

    def test_cleared_suspects_are_forwarded(self):
        for node in ("a", "b"):
            self.report_end(node, FATAL[0])
        changes = self.aggregator.merge(Suspects((), (FATAL[0], OTHER[0])), self.now)
        self.assertEqual(changes, Suspects((), (FATAL[0],)))
        self.assertIsNone(self.aggregator.snapshot(self.now))


class ForwardTests(unittest.TestCase):
    """Forwarding by a controller.

    Listed and cleared updates that circulated among controllers would undo each other endlessly.
    """

    def setUp(self):
        set_up_logs("critical", "test")
        self.sent = []

    def play(self, action):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                options = ControllerOptions("d", "a:1", "a:1", "a:2", Path(folder), ("a:1",), True)
                controller = Controller(options, lambda: 10.0, random.Random(1))
                link = SimpleNamespace(send=lambda kind, payload: self.sent.append(kind))
                controller._links = {"b:1": link}
                return action(controller)

        return asyncio.run(run())

    def test_updates_from_nodes_are_not_forwarded_to_other_controllers(self):
        listed = encode(Suspects((ListedSuspect(FATAL[0], 3, 50.0, 1),)))
        cleared = encode(Suspects((), (FATAL[0],)))

        def action(controller):
            for payload in (listed, cleared):
                controller.stream_frame(None, FrameKind.SUSPECTS, payload)
            return controller.quarantined_requests()

        self.assertEqual(self.play(action), [])
        self.assertEqual(self.sent, [])

    def test_a_request_released_by_an_operator_is_cleared_everywhere(self):
        listed = encode(Suspects((ListedSuspect(FATAL[0], 3, 50.0, 1),)))

        def action(controller):
            controller.stream_frame(None, FrameKind.SUSPECTS, listed)
            return controller.release_request(FATAL[0])

        self.assertTrue(self.play(action))
        self.assertEqual(self.sent, [FrameKind.SUSPECTS])
