"""Run the soak briefly with a fixed seed; ``make soak`` starts longer runs.

Guards against accepted jobs that do not complete, refused jobs that run, and concurrent
runs of a task, while processes, links and the store fail at random.
"""

import unittest

from soak.run import REGRESSION_SEEDS, run_seed

SEED = 7
RUN_DURATION_S = 5.0


class SoakTest(unittest.TestCase):
    def test_short_run_has_no_violations(self):
        violations, soak = run_seed(SEED, RUN_DURATION_S)
        self.assertEqual(violations, [])
        self.assertGreater(
            sum(submission.accepted for submission in soak.submissions.values()), 0
        )

    def test_regression_seeds_have_no_violations(self):
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_seed(seed)[0], [])


if __name__ == "__main__":
    unittest.main()
