"""A fixed part of the fuzzing: 20,000 steps, the same ones at every run."""

import unittest

from fuzz.machine import totals
from fuzz.run import run_round

STEPS = 20_000


class FuzzTest(unittest.TestCase):
    def test_twenty_thousand_steps_without_a_violation(self):
        before, rounds = totals["steps"], 0
        while totals["steps"] - before < STEPS:
            rounds += 1
            self.assertIsNone(run_round(rounds, shrink=False))
        self.assertGreater(totals["told answer"], STEPS // 20)
