"""Test until when a process that stops answers, and what it refuses at once.

The tests guard against requests that are begun too late to be answered, and against
requests that are refused while there is time for them.
"""

import unittest

from bulrushspur_daemon.stop_schedule import (
    CLOSE_TIME_S,
    MIN_HANDLING_TIME_S,
    make_stop_schedule,
)

GRACE_S = 6.0
BEGAN_S = 100.0


class StopScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = make_stop_schedule(GRACE_S, BEGAN_S)

    def test_answers_are_due_and_connections_closed_before_the_last_sixth(self):
        self.assertAlmostEqual(self.schedule.ends_s, BEGAN_S + GRACE_S * 5 / 6)
        due_s = self.schedule.ends_s - CLOSE_TIME_S
        self.assertAlmostEqual(self.schedule.answers_due_s, due_s)

    def test_request_is_served_while_time_is_ample(self):
        self.assertFalse(self.schedule.must_refuse(0.02, BEGAN_S))
        due_s = self.schedule.answers_due_s
        self.assertFalse(self.schedule.must_refuse(1.0, due_s - 1.1))

    def test_request_that_takes_longer_is_refused_earlier(self):
        due_s = self.schedule.answers_due_s
        self.assertTrue(self.schedule.must_refuse(1.0, due_s - 0.9))
        self.assertFalse(self.schedule.must_refuse(0.02, due_s - 0.9))

    # Guards against: a first request on a process whose answers were quick so far.
    def test_least_time_is_left_for_every_request(self):
        late_s = self.schedule.answers_due_s - MIN_HANDLING_TIME_S + 0.01
        self.assertTrue(self.schedule.must_refuse(0.0, late_s))

    def test_no_time_is_left_after_the_end(self):
        self.assertEqual(self.schedule.remaining_s(BEGAN_S + 60), 0.0)
        self.assertTrue(self.schedule.must_refuse(0.0, BEGAN_S + 60))

    def test_setting_limits_the_time_for_answers(self):
        schedule = make_stop_schedule(GRACE_S, BEGAN_S, 1.5)
        self.assertEqual(schedule.answers_due_s, BEGAN_S + 1.5)

    def test_short_grace_period_leaves_no_time_for_requests(self):
        schedule = make_stop_schedule(0.5, BEGAN_S)
        self.assertEqual(schedule.answers_due_s, BEGAN_S)
        self.assertTrue(schedule.must_refuse(0.0, BEGAN_S))


if __name__ == "__main__":
    unittest.main()
