"""Test how long the last answers are taken to have been.

The tests guard against an estimate that few answers, or old ones, make too long.
"""

import unittest

from bulrushspur_daemon.recent_durations import (
    MAX_AGE_S,
    MAX_DURATIONS,
    RecentDurations,
)


class RecentDurationsTest(unittest.TestCase):
    def setUp(self):
        self.durations = RecentDurations()

    def test_nothing_is_expected_before_the_first(self):
        self.assertEqual(self.durations.find_longest_s(100.0), 0.0)

    def test_longest_of_the_last_counts_and_no_more(self):
        for duration_s in [0.02] * 50 + [1.0] * 3 + [0.02]:
            self.durations.add(duration_s, 100.0)
        self.assertEqual(self.durations.find_longest_s(100.0), 1.0)

    # Guards against: a store that was slow once, and is quick again.
    def test_duration_before_the_last_few_does_not_count(self):
        self.durations.add(1.0, 100.0)
        for _ in range(MAX_DURATIONS):
            self.durations.add(0.02, 100.0)
        self.assertEqual(self.durations.find_longest_s(100.0), 0.02)

    def test_old_duration_does_not_count(self):
        self.durations.add(1.0, 100.0)
        self.durations.add(0.02, 101.0)
        self.assertEqual(self.durations.find_longest_s(100.5 + MAX_AGE_S), 0.02)


if __name__ == "__main__":
    unittest.main()
