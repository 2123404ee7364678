"""Test that late periods are skipped and that cancelled timers are not called."""

import unittest

from bulrushspur_kernel.timers import make_timers


class TimersTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.calls = []
        self.timers = make_timers(lambda: self.now_s)

    def test_periodic_timer_skips_missed_periods(self):
        self.timers.every("beat", 1.0, self.calls.append)
        self.now_s = 10.0
        self.assertEqual(self.timers.run_due(), 1.0)
        self.assertEqual(self.calls, [10.0])

    def test_cancelled_timer_is_not_called(self):
        entry = self.timers.after("once", 1.0, self.calls.append)
        entry.cancelled = True
        self.now_s = 2.0
        self.assertIsNone(self.timers.run_due())
        self.assertEqual(self.calls, [])
