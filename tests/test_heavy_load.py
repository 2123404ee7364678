"""Plays the heaviest days and checks what callers get.

A tenth fewer heavy jobs came in time before gangs had reservations of their own.
"""

import statistics
import unittest

from tests.load_simulation import (
    LoadSimulation,
    make_grown_deployment_kinds,
    make_heavy_day_kinds,
)


class HeavyDayTest(unittest.TestCase):
    def test_wide_gangs_get_their_turn_among_narrow_work(self):
        rows = []
        for seed in (1, 2, 3, 4):
            load = LoadSimulation(make_heavy_day_kinds(), 24, 32_000, seed)
            rows.append(load.run(30.0, 12.0))
        share = {name: statistics.mean(row[name] for row in rows) for name in rows[0]}
        self.assertGreater(share["heavy"], 0.8)
        self.assertGreater(share["middling"], 0.9)
        self.assertGreater(share["small"], 0.95)

    def test_grown_deployment_serves_each_kind(self):
        load = LoadSimulation(make_grown_deployment_kinds(), 176, 32_000, 4)
        share = load.run(16.0, 24.0)
        self.assertGreater(share["heavy"], 0.9)
        self.assertGreater(share["middling"], 0.95)
        self.assertGreater(share["small"], 0.95)

    def test_hung_workers_cost_little(self):
        load = LoadSimulation(
            make_grown_deployment_kinds(), 176, 32_000, 1, hung_share=0.06
        )
        share = load.run(16.0, 24.0)
        self.assertGreater(share["heavy"], 0.85)
        self.assertGreater(share["middling"], 0.9)
        self.assertGreater(share["small"], 0.9)
