"""Tests of the instruments behind docs/CAPACITY.md."""

import unittest

from bench.capacity import fit_line
from bench.capacity_cell import CellSize, deep_bytes, is_in_force, make_small_cell


class CapacityTest(unittest.TestCase):
    def test_fit_of_a_line(self):
        a, b, r2 = fit_line([1, 2, 4], [5, 7, 11])
        self.assertAlmostEqual(a, 3)
        self.assertAlmostEqual(b, 2)
        self.assertAlmostEqual(r2, 1)
        self.assertLess(fit_line([1, 2, 3], [1, 9, 2])[2], 0.1)

    def test_shared_state_is_counted_once(self):
        one = {"x": "y" * 1000}
        self.assertLess(deep_bytes([one, one], set()), 2000)

    def test_cell_comes_into_force(self):
        cell = make_small_cell(CellSize(processes=2, domains=1, workers=2), 1)
        cell.advance(3.0)
        self.assertTrue(is_in_force(cell))
        self.assertGreater(cell.usage.messages["Heartbeat"], 0)
