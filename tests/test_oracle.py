"""Test when times are steady, and which clauses there are.

The tests guard against waits that count though something was disturbed.
"""

import unittest

from oracle.calm import find_waited_s, list_steady_stretches
from oracle.observations import Observations
from oracle.rules import CLAUSES
from tests.oracle_fixtures import BOUNDS


class CalmTest(unittest.TestCase):
    def test_steady_stretches(self):
        seen = Observations()
        for from_s, until_s in ((10, 11), (12, 13), (30, 40), (32, 33)):
            seen.record_disruption(from_s, until_s)
        stretches = list_steady_stretches(seen, BOUNDS)
        inf = float("inf")
        self.assertEqual(stretches, [(-inf, 10), (16, 30), (43, inf)])
        seen.record_disruption(50)
        self.assertEqual(list_steady_stretches(seen, BOUNDS)[-1], (43, 50))

    def test_waits_count_together_and_overlaps_once(self):
        stretches = [(0.0, 10.0), (20.0, 30.0)]
        waits = [(8.0, 12.0), (8.5, 9.0), (19.0, 21.0), (22.0, 40.0)]
        self.assertEqual(find_waited_s(waits, stretches, 4.0), 23.0)
        self.assertEqual(find_waited_s(waits, stretches, 20.0), float("inf"))


class RulesTest(unittest.TestCase):
    def test_clauses(self):
        self.assertEqual(
            set(CLAUSES),
            {
                "UNASKED (unsubmitted)",
                "UNASKED (payload)",
                "UNASKED (checkpoint)",
                "UNASKED (start after cancel)",
                "UNASKED (run after cancel)",
                "REFUSED (refused)",
                "TWICE (parallel)",
                "TWICE (done)",
                "TWICE (noted)",
                "LIMIT (overcommitted)",
                "LOST (unanswered)",
                "LOST (late exit)",
            },
        )


if __name__ == "__main__":
    unittest.main()
