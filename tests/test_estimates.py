"""Test the prediction of durations from declared estimates.

The tests guard against a model that ignores accurate estimates or relies on wrong ones.
"""

import math
import random
import unittest

from bulrushspur_scheduler.estimates import completed_fraction, make_duration_model


def train_model(error, count=300):
    """Train a model on tasks of about 1 to 4 s.

    ``error`` is the standard deviation of the log estimates around the log durations.
    """
    rng = random.Random(3)
    model = make_duration_model(2.0)
    for _ in range(count):
        taken_s = math.exp(rng.gauss(0.7, 0.4))
        model.observe(taken_s * math.exp(rng.gauss(0.0, error)), taken_s)
    return model


class DurationModelTest(unittest.TestCase):
    def test_accurate_estimates_are_followed(self):
        model = train_model(0.1)
        for estimate_s in (1.0, 4.0):
            median_s, log_stddev = model.predict(estimate_s)
            self.assertAlmostEqual(median_s / estimate_s, 1.0, delta=0.2)
        self.assertLess(log_stddev, 0.35)

    def test_inaccurate_estimates_are_replaced_by_the_queue_mean(self):
        model = train_model(1.2)
        for estimate_s in (0.2, 20.0):
            median_s, log_stddev = model.predict(estimate_s)
            self.assertLess(abs(math.log(median_s) - 0.7), 0.5)
        self.assertLess(log_stddev, 0.6)

    def test_completed_fraction(self):
        self.assertEqual(completed_fraction(0.0, 1.0, 0.3), 0.0)
        self.assertAlmostEqual(completed_fraction(1.0, 1.0, 0.3), 0.5)
        self.assertGreater(completed_fraction(3.0, 1.0, 0.3), 0.99)
