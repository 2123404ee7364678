"""Tests of how long tasks are expected to take."""

import math
import random
import unittest

from bulrushspur_scheduler.estimates import completed_fraction, make_duration_model


def learn(error, count=300):
    """Learn from tasks of 1 to 4 s whose estimates are off by a deviation."""
    rng = random.Random(3)
    model = make_duration_model(2.0)
    for _ in range(count):
        taken_s = math.exp(rng.gauss(0.7, 0.4))
        model.observe(taken_s * math.exp(rng.gauss(0.0, error)), taken_s)
    return model


class DurationModelTest(unittest.TestCase):
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
        self.assertEqual(completed_fraction(0.0, 1.0, 0.3), 0.0)
        self.assertAlmostEqual(completed_fraction(1.0, 1.0, 0.3), 0.5)
        self.assertGreater(completed_fraction(3.0, 1.0, 0.3), 0.99)
