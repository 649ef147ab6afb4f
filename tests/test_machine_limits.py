"""Limits of a process whose settings don't name them."""

import unittest

from marjoramvalve.node import ProcessLimits, resolve_limits
from marjoramvalve.node.machine_limits import MAX_ASSUMED_MEMORY_MB, read_available_mb


class ProcessLimitTests(unittest.TestCase):
    """Where the limits of a process come from."""

    def test_settings_go_first(self):
        self.assertEqual(resolve_limits(200, 4100), ProcessLimits(200, 4100))

    def test_small_machine_is_taken_as_it_is(self):
        limits = resolve_limits(0, 4100, lambda: 256)
        self.assertEqual(limits, ProcessLimits(256, 4100, True))

    def test_large_machine_may_be_shared(self):
        limits = resolve_limits(0, 4100, lambda: 65_536)
        self.assertEqual(limits, ProcessLimits(MAX_ASSUMED_MEMORY_MB, 4100, True))

    def test_this_machine_has_limits(self):
        limits = resolve_limits(0, 0)
        self.assertGreater(limits.max_descriptors, 0)
        self.assertEqual(limits.memory_mb, min(read_available_mb(), MAX_ASSUMED_MEMORY_MB))
