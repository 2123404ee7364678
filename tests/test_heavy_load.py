"""Plays the heaviest days and checks what callers get.

A tenth fewer heavy jobs came in time before gangs had reservations of their own.
"""

import statistics
import unittest

from tests.load import Load, heavy_day


class HeavyDayTest(unittest.TestCase):
    def test_wide_gangs_get_their_turn_among_narrow_work(self):
        rows = []
        for seed in (1, 2, 3, 4):
            load = Load(heavy_day(), 24, 32_000, seed, estimate_error=0.9)
            rows.append(load.run(30.0, 12.0))
        share = {name: statistics.mean(row[name] for row in rows) for name in rows[0]}
        self.assertGreater(share["heavy"], 0.8)
        self.assertGreater(share["middling"], 0.9)
        self.assertGreater(share["small"], 0.95)
