"""The fault soak: its checks find what they are for, and one short run holds."""

import asyncio
import json
import unittest

from tests import soak
from tests.platform_fleet import config

CI_SEED, CI_SECONDS = 7, 8.0


class CheckTests(unittest.TestCase):
    """Each check of the soak finds the fault it is for."""

    def judged(self, runs, *asked, read=None):
        """Returns what a run finds in which backends ran attempts and callers got answers."""
        run = soak.Soak(1, 0.0)
        self.addCleanup(run.fleet.close)
        run.backends[11].runs = dict(runs)
        run.asked = list(asked)
        run.acked = (0.0, 12, config("0000000c"))

        async def read_config():
            return json.loads(config(read or "0000000c"))

        original, soak.read_config = soak.read_config, read_config
        try:
            asyncio.run(run.judge())
        finally:
            soak.read_config = original
        return run.found

    def asked(self, repeatable, status, body=b"a"):
        return soak.Asked("a", "k1", repeatable, 0.0, status, body)

    def test_a_sound_run_passes(self):
        self.assertEqual(self.judged({"a": 1}, self.asked(False, 200)), [])
        self.assertEqual(self.judged({"a": 2}, self.asked(True, 200)), [])
        self.assertEqual(self.judged({"a": 1}, self.asked(False, 502, b"")), [])

    def test_a_second_run_is_found(self):
        self.assertEqual(len(self.judged({"a": 2}, self.asked(False, 200))), 1)

    def test_a_false_promise_is_found(self):
        self.assertEqual(len(self.judged({"a": 1}, self.asked(False, 503, b""))), 1)

    def test_an_answer_of_another_request_is_found(self):
        self.assertEqual(len(self.judged({"a": 1}, self.asked(True, 200, b"b"))), 1)

    def test_a_lost_configuration_is_found(self):
        self.assertEqual(len(self.judged({}, read="00000004")), 1)
        self.assertEqual(len(self.judged({}, read="0000000e")), 1)


class FatalCheckTests(unittest.TestCase):
    """The check on requests that end upstreams: three ends, and three later ones in touch."""

    def judged(self, ends, sends):
        run = soak.Soak(1, 0.0)
        self.addCleanup(run.fleet.close)
        run.backends[11].crashes = [(at, "/a/fatal-0") for at in ends]
        run.fatal = [("/a/fatal-0", at, calm) for at, calm in sends]
        run.judge_fatal()
        return len(run.found)

    def test_ends_that_go_on_are_found(self):
        ends = [1.0, 2.0, 3.0, 7.0, 8.0, 9.0, 10.0]
        self.assertEqual(self.judged(ends, [(at - 0.1, True) for at in ends]), 1)

    def test_what_comes_by_nodes_out_of_touch_is_allowed(self):
        ends = [1.0, 2.0, 3.0, 7.0, 8.0, 9.0, 10.0]
        self.assertEqual(self.judged(ends, [(at - 0.1, at < 8.5) for at in ends]), 0)

    def test_what_comes_within_the_time_in_which_all_learn_of_it_is_allowed(self):
        ends = [1.0, 2.0, 3.0, 3.5, 4.0, 4.5, 5.0, 5.5]
        self.assertEqual(self.judged(ends, [(at - 0.1, True) for at in ends]), 0)


class ShortRunTests(unittest.TestCase):
    """A short seeded run, and every seed that once failed."""

    def test_seeds(self):
        for seed in (CI_SEED, *soak.REGRESSIONS):
            with self.subTest(seed=seed):
                run = asyncio.run(soak.play_seed(seed, CI_SECONDS))
                self.assertEqual(run.found, [], soak.describe(run))
                self.assertGreater(sum(item.status == 200 for item in run.asked), 0)
