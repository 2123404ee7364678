"""One short seeded run of the soak; long ones are run by hand, with ``make soak``."""

import unittest

from soak.run import REGRESSION_SEEDS, run_seed

SEED = 7
RUN_DURATION_S = 5.0


class SoakTest(unittest.TestCase):
    def test_short_run_breaks_no_promise(self):
        broken, soak = run_seed(SEED, RUN_DURATION_S)
        self.assertEqual(broken, [])
        self.assertGreater(sum(one.accepted for one in soak.submissions.values()), 0)

    def test_seeds_that_failed_once_hold(self):
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_seed(seed)[0], [])


if __name__ == "__main__":
    unittest.main()
