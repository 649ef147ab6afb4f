"""Which requests are set aside: the book's evidence, and what a controller makes of it."""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from marjoramvalve.fleet import Controller, ControllerOptions
from marjoramvalve.fleet.messages import Kind as FrameKind
from marjoramvalve.fleet.messages import Report, Suspects, UpstreamEnded, decode, encode
from marjoramvalve.fleet.suspects import SuspectDesk
from marjoramvalve.retries import EndedRun, Standing, SuspectBook, Suspicion, fingerprints
from marjoramvalve.retries.suspects import (
    ENDS_TO_HOLD,
    MEMORY_S,
    MOST_FRESH,
    MOST_LISTED,
)
from marjoramvalve.telemetry import set_up_logs

HOLD_S = 60.0
FATAL = fingerprints(b"read", b"shed", b"GET", b"/read/fatal?a=1", b"")
OTHER = fingerprints(b"read", b"shed", b"GET", b"/read/fine", b"")


def end(book, at, *marks, began=None, is_repeat=False):
    """Ends an upstream under requests that began a tenth of a second before."""
    ran_s = 0.1 if began is None else at - began
    return book.note_end([EndedRun(mark, ran_s, is_repeat) for mark in marks], at, HOLD_S)


class EvidenceTests(unittest.TestCase):
    """What counts against a request, and what for it."""

    def setUp(self):
        self.book = SuspectBook()

    def standing(self, marks, now):
        return self.book.standing(marks, now)[0]

    def test_three_ends_one_after_the_other_set_a_request_aside(self):
        found = []
        for at in (10.0, 11.0, 12.0):
            end(self.book, at, *FATAL)
            found.append(self.standing(FATAL, at))
        self.assertEqual(found, [Standing.FREE, Standing.WATCHED, Standing.HELD])
        self.assertEqual(self.book.standing(FATAL, 12.0)[1], HOLD_S)
        self.assertEqual(self.standing(OTHER, 12.0), Standing.FREE)

    def test_upstreams_that_end_together_are_one_event(self):
        for _ in range(5):
            end(self.book, 10.0, *OTHER)
        self.assertEqual(self.standing(OTHER, 10.0), Standing.FREE)

    def test_several_runs_under_one_end_count_once(self):
        for at in (10.0, 11.0):
            end(self.book, at, *OTHER, *OTHER, *OTHER, is_repeat=True)
        self.assertEqual(self.standing(OTHER, 11.0), Standing.WATCHED)

    def test_a_repeat_counts_however_close_to_the_first_end(self):
        ends = ((10.0, False), (9.99, True))
        for order in (ends, ends[::-1]):
            book = SuspectBook()
            for at, is_repeat in order:
                end(book, at, *FATAL, began=9.95, is_repeat=is_repeat)
            self.assertEqual(book.standing(FATAL, 10.0)[0], Standing.WATCHED)

    def test_a_failure_domain_that_ends_within_a_second_is_one_event(self):
        for step in range(5):
            end(self.book, 10.0 + step / 10, *OTHER, began=9.9)
        self.assertEqual(self.standing(OTHER, 10.4), Standing.FREE)

    def test_an_answer_clears_a_request(self):
        for at in (10.0, 11.0, 12.0):
            end(self.book, at, *FATAL)
        for mark in FATAL:
            self.assertTrue(self.book.clear(mark))
        end(self.book, 13.0, *FATAL)
        self.assertEqual(self.standing(FATAL, 13.0), Standing.FREE)
        self.assertFalse(self.book.may_list(b"/read/fatal"))

    def test_a_query_that_differs_each_time_hides_nothing(self):
        for number in range(3):
            target = b"/read/fatal?page=%d" % number
            end(self.book, 10.0 + number, *fingerprints(b"read", b"shed", b"GET", target, b""))
        fourth = fingerprints(b"read", b"shed", b"GET", b"/read/fatal?page=9", b"")
        self.assertEqual(self.standing(fourth, 13.0), Standing.HELD)

    def test_others_on_the_same_path_do_not_hide_a_fatal_query(self):
        fine = fingerprints(b"read", b"shed", b"GET", b"/read/fatal", b"")
        for number in range(3):
            end(self.book, 10.0 + number, *FATAL)
            for mark in fine:
                self.book.clear(mark)
        self.assertEqual(self.standing(FATAL, 13.0), Standing.HELD)
        self.assertEqual(self.standing(fine, 13.0), Standing.FREE)

    def test_another_customer_is_not_touched(self):
        for at in (10.0, 11.0, 12.0):
            end(self.book, at, *FATAL)
        other = fingerprints(b"read", b"mill", b"GET", b"/read/fatal?a=1", b"")
        self.assertTrue(self.book.may_list(b"/read/fatal?a=1"))
        self.assertEqual(self.standing(other, 12.0), Standing.FREE)

    @given(st.lists(st.tuples(st.floats(0, 30), st.integers(0, 3)), max_size=40))
    def test_nothing_is_held_without_three_ends_of_its_own(self, ends):
        book = SuspectBook()
        counts = dict.fromkeys(range(4), 0)
        for at, number in sorted(ends):
            mark = b"%016d" % number
            end(book, at, mark)
            counts[number] += 1
            if book.standing((mark,), at)[0] is Standing.HELD:
                self.assertGreaterEqual(counts[number], ENDS_TO_HOLD)


class TimeTests(unittest.TestCase):
    """How long a request is out, and what follows."""

    def setUp(self):
        self.book = SuspectBook()
        for at in (10.0, 11.0, 12.0):
            end(self.book, at, *FATAL)

    def test_a_request_is_let_go_on_probation(self):
        until = 12.0 + HOLD_S
        self.assertEqual(self.book.standing(FATAL, until - 0.1)[0], Standing.HELD)
        self.assertEqual(self.book.standing(FATAL, until)[0], Standing.WATCHED)
        self.assertEqual(self.book.standing(FATAL, until + MEMORY_S + 1)[0], Standing.FREE)

    def test_one_more_end_sets_it_aside_for_twice_as_long(self):
        at = 12.0 + HOLD_S + 5
        self.book.standing(FATAL, at)
        end(self.book, at, *FATAL)
        standing, left_s = self.book.standing(FATAL, at)
        self.assertEqual((standing, left_s), (Standing.HELD, 2 * HOLD_S))

    def test_suspects_are_forgotten(self):
        end(self.book, 20.0, *OTHER)
        end(self.book, 20.0 + MEMORY_S + 1, *OTHER)
        end(self.book, 20.0 + MEMORY_S + 2, *OTHER)
        self.assertEqual(self.book.standing(OTHER, 90.0)[0], Standing.WATCHED)


class BoundTests(unittest.TestCase):
    """A stream of distinct fatal requests."""

    def test_the_book_stays_small(self):
        book = SuspectBook()
        for number in range(MOST_FRESH + 1000):
            end(book, 10.0, b"%016d" % number)
        self.assertEqual(len(book._fresh), MOST_FRESH)
        for number in range(MOST_LISTED + 100):
            for at in (20.0, 21.0, 22.0):
                end(book, at, b"%016d" % number)
        self.assertEqual(len(book), MOST_LISTED)
        self.assertEqual(sum(book._prefixes.values()), MOST_LISTED)
        size = len(encode(Suspects(tuple(book.listed(23.0)))))
        self.assertLess(size, MOST_LISTED * 40)

    def test_without_suspects_nothing_is_worked_out(self):
        self.assertFalse(SuspectBook().may_list(b"/read/fatal"))


class MergeTests(unittest.TestCase):
    """What books tell one another."""

    def test_the_higher_count_wins_in_any_order(self):
        news = [Suspicion(FATAL[0], 3, 50.0, 1), Suspicion(FATAL[0], 2, 60.0, 0)]
        for order in (news, news[::-1]):
            book = SuspectBook()
            for item in order:
                book.merge(item, 10.0)
            self.assertEqual(book.standing(FATAL, 11.0), (Standing.HELD, 49.0))

    def test_what_is_known_is_no_news(self):
        book = SuspectBook()
        item = Suspicion(FATAL[0], 3, 50.0, 1)
        self.assertEqual([book.merge(item, 10.0), book.merge(item, 11.0)], [True, False])

    def test_an_instance_counts_on_from_what_it_was_told(self):
        book = SuspectBook()
        book.merge(Suspicion(FATAL[0], 2, 60.0, 0), 10.0)
        end(book, 11.0, FATAL[0])
        self.assertEqual(book.standing(FATAL, 11.0)[0], Standing.HELD)


class DeskTests(unittest.TestCase):
    """A controller. Ends come from nodes, over links that are lost and made anew."""

    def setUp(self):
        set_up_logs("critical", "test")
        self.desk = SuspectDesk()
        self.now = 100.0
        self.told = {}

    def tell(self, node, *marks, incarnation=1, number=None, ago_s=0.0):
        self.now += 1.0
        if number is None:
            number = self.told[node] = self.told.get(node, 0) + 1
        report = Report(node, "d", node, "s", incarnation, 1, 0.0)
        ended = UpstreamEnded(
            number, ago_s, HOLD_S, tuple(EndedRun(mark, 0.1, False) for mark in marks)
        )
        ended = decode(FrameKind.UPSTREAM_ENDED, encode(ended))
        return self.desk.note_end(report, ended, self.now)

    def test_ends_at_different_nodes_add_up(self):
        news = [self.tell(node, FATAL[0]) for node in ("a", "b", "c")]
        self.assertIsNone(news[0])
        self.assertEqual([item.listed[0].ends for item in news[1:]], [2, 3])
        self.assertEqual(self.desk.whole(self.now).listed, news[2].listed)

    def test_an_end_that_is_told_again_counts_once(self):
        for _ in range(4):
            self.tell("a", FATAL[0], number=1)
        self.assertIsNone(self.desk.whole(self.now))

    def test_a_node_that_was_started_again_is_heard(self):
        self.tell("a", FATAL[0])
        self.tell("a", FATAL[0])
        news = self.tell("a", FATAL[0], incarnation=0, number=1)
        self.assertEqual(news.listed[0].ends, 3)

    def test_a_controller_that_has_just_started_learns_from_the_nodes(self):
        other = SuspectDesk()
        news = other.merge(Suspects((Suspicion(FATAL[0], 3, 50.0, 1),)), 5.0)
        self.assertEqual(len(news.listed), 1)
        self.assertIsNone(other.merge(news, 6.0))

    def test_what_is_cleared_is_told(self):
        for node in ("a", "b"):
            self.tell(node, FATAL[0])
        news = self.desk.merge(Suspects((), (FATAL[0], OTHER[0])), self.now)
        self.assertEqual(news, Suspects((), (FATAL[0],)))
        self.assertIsNone(self.desk.whole(self.now))


class ForwardTests(unittest.TestCase):
    """What a controller passes on: listed and cleared news that circle would chase one another."""

    def setUp(self):
        set_up_logs("critical", "test")
        self.sent = []

    def play(self, act):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                options = ControllerOptions("d", "a:1", "a:1", "a:2", Path(folder), ("a:1",), True)
                controller = Controller(options, lambda: 10.0, random.Random(1))
                link = SimpleNamespace(send=lambda kind, payload: self.sent.append(kind))
                controller._links = {"b:1": link}
                return act(controller)

        return asyncio.run(run())

    def test_news_of_nodes_do_not_go_to_other_controllers(self):
        listed = encode(Suspects((Suspicion(FATAL[0], 3, 50.0, 1),)))
        cleared = encode(Suspects((), (FATAL[0],)))

        def act(controller):
            for payload in (listed, cleared):
                controller.stream_frame(None, FrameKind.SUSPECTS, payload)
            return controller.quarantined_requests()

        self.assertEqual(self.play(act), [])
        self.assertEqual(self.sent, [])

    def test_what_an_operator_lets_go_does(self):
        listed = encode(Suspects((Suspicion(FATAL[0], 3, 50.0, 1),)))

        def act(controller):
            controller.stream_frame(None, FrameKind.SUSPECTS, listed)
            return controller.release_request(FATAL[0])

        self.assertTrue(self.play(act))
        self.assertEqual(self.sent, [FrameKind.SUSPECTS])
