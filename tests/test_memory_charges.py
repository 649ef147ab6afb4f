"""What is charged to a memory budget, and until when."""

import unittest

from marjoramvalve.links import ChargedBuffer, Holding, MemoryBudget, allocated_bytes

MIB = 1 << 20


class ChargedBufferTests(unittest.TestCase):
    """Bytes that count until the last reference to them is gone."""

    def setUp(self):
        self.budget = MemoryBudget(memory_mb=100)

    def test_buffer_counts_as_it_grows_and_until_it_is_freed(self):
        buffer = ChargedBuffer(self.budget, b"x" * 1000)
        buffer.charge()
        buffer += b"x" * 1000
        buffer.charge()
        self.assertEqual(self.budget.used_bytes, allocated_bytes(2000))
        write_buffer = memoryview(buffer)
        del buffer
        self.assertEqual(self.budget.used_bytes, allocated_bytes(2000))
        del write_buffer
        self.assertEqual(self.budget.used_bytes, 0)

    def test_reserved_bytes_are_charged_once(self):
        buffer = ChargedBuffer(self.budget)
        buffer.charge(5000)
        buffer += b"x" * 5000
        buffer.charge()
        self.assertEqual(self.budget.used_bytes, allocated_bytes(5000))

    def test_held_buffer_is_not_charged_again(self):
        buffer = self.budget.hold(b"x" * 1000)
        self.assertIs(self.budget.hold(buffer), buffer)
        self.assertEqual(self.budget.used_bytes, allocated_bytes(1000))


class ReliefTests(unittest.TestCase):
    """Holdings whose bytes are freed a little after they were given up."""

    def test_nobody_else_gives_way_for_bytes_that_are_about_to_be_freed(self):
        budget = MemoryBudget(lambda: 10.0, memory_mb=100)
        buffers = {name: budget.hold(bytes(18 * MIB)) for name in "ab"}
        given_up = []
        budget.sources.append(
            lambda: [
                Holding(18 * MIB, number, lambda reason, name=name: given_up.append(name))
                for number, name in enumerate("ab")
                if name not in given_up
            ]
        )
        budget.charge(MIB)
        budget.charge(MIB)
        self.assertEqual(given_up, ["a"])
        del buffers["a"]
        budget.charge(20 * MIB)
        self.assertEqual(given_up, ["a", "b"])
