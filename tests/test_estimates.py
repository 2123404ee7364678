"""Tests of how long tasks are expected to take."""

import math
import random
import unittest

from bulrushspur_scheduler.estimates import make_time_model, share_over


def learn(error, count=300):
    """Learn from tasks of 1 to 4 s whose estimates are off by a deviation."""
    rng = random.Random(3)
    model = make_time_model(2.0)
    for _ in range(count):
        taken_s = math.exp(rng.gauss(0.7, 0.4))
        model.note(taken_s * math.exp(rng.gauss(0.0, error)), taken_s)
    return model


class TimeModelTest(unittest.TestCase):
    def test_good_estimates_are_trusted(self):
        model = learn(0.1)
        for estimate_s in (1.0, 4.0):
            mean_s, error = model.predict(estimate_s)
            self.assertAlmostEqual(mean_s / estimate_s, 1.0, delta=0.2)
        self.assertLess(error, 0.35)

    def test_bad_estimates_give_way_to_the_mean_of_the_queue(self):
        model = learn(1.2)
        for estimate_s in (0.2, 20.0):
            mean_s, error = model.predict(estimate_s)
            self.assertLess(abs(math.log(mean_s) - 0.7), 0.5)
        self.assertLess(error, 0.6)

    def test_share_of_tasks_that_have_ended(self):
        self.assertEqual(share_over(0.0, 1.0, 0.3), 0.0)
        self.assertAlmostEqual(share_over(1.0, 1.0, 0.3), 0.5)
        self.assertGreater(share_over(3.0, 1.0, 0.3), 0.99)
