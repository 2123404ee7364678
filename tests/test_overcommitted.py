"""Test the rule LIMIT, with observations made by hand.

The tests guard against starts over the capacity that it does not see, and false ones.
"""

import unittest

from oracle.requests import DeclaredStep
from tests.oracle_fixtures import JOB, OracleTest, T


class LimitTest(OracleTest):
    CLAUSE = "LIMIT (overcommitted)"

    def setUp(self):
        super().setUp()
        self.submit(DeclaredStep(9))
        self.seen.record_capacity("w", 1, T, 2000)

    def start_all(self, *told_s, cpu_milli=1000):
        for index, start_s in enumerate(told_s):
            self.start(start_s, task=(0, 0, index), cpu_milli=cpu_milli)

    def test_start_over_the_capacity(self):
        self.start_all(T + 1, T + 1, T + 2)
        self.check(self.CLAUSE)

    def test_start_at_the_capacity_after_an_end(self):
        self.start_all(T + 1, T + 1)
        self.end(T + 2, "stopped")
        self.start(T + 2, task=(0, 0, 2), cpu_milli=1000)
        self.check()

    def test_capacity_that_has_shrunk(self):
        self.seen.record_capacity("w", 1, T + 10, 1000)
        self.start_all(T + 1, T + 14.49)
        self.check()
        self.end(T + 14.5, "stopped", task=(0, 0, 1))
        self.start(T + 14.51, task=(0, 0, 2), cpu_milli=1000)
        self.check(self.CLAUSE)

    def test_runs_of_another_incarnation(self):
        self.start_all(T + 1, T + 1)
        self.seen.record_start(
            (JOB, 0, 0, 2), 1, "w", 2, T + 2, payload="p", cpu_milli=1000
        )
        self.check()


if __name__ == "__main__":
    unittest.main()
