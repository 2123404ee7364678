"""Run the soak briefly with a fixed seed; ``make soak`` starts longer runs.

Guards against accepted jobs that do not complete, and against what the oracle judges,
such as refused jobs that run, cancelled ones that start, and concurrent runs of a task,
while processes, links, workers and the store fail at random. Guards against requests
that a process leaves without an answer when it stops beside a slow store.
"""

import unittest

from oracle.rules import find_violations
from soak.clients import list_accepted_jobs
from soak.profile import STOPS_AIM
from soak.run import REGRESSION_SEEDS, run_seed
from soak.stop_clients import list_requests_to_stopping

SEED = 7
RUN_DURATION_S = 5.0
# Long enough for workers that restart with late orders under way.
AIM = "late starts"
AIMED_RUN_S = 5.0
# The first stop of this seed is one of the leader beside a slow store.
STOPS_SEED = 4
STOPS_RUN_S = 12.0


class SoakTest(unittest.TestCase):
    def test_short_run_has_no_violations(self):
        violations, soak = run_seed(SEED, RUN_DURATION_S)
        self.assertEqual(violations, [])
        self.assertGreater(len(list_accepted_jobs(soak)), 0)
        self.check_observations(soak)

    def test_short_run_with_orders_over_restarts_has_no_violations(self):
        violations, soak = run_seed(SEED, AIMED_RUN_S, AIM)
        self.assertEqual(violations, [])
        restarts = [row for row in soak.fault_log if "restarts under its id" in row]
        self.assertGreater(len(restarts), 0)

    def test_short_run_with_stops_has_no_violations(self):
        violations, soak = run_seed(STOPS_SEED, STOPS_RUN_S, STOPS_AIM)
        self.assertEqual(violations, [])
        self.assertRegex(soak.fault_log[0], "stop leader n.: appends take")
        self.assertGreater(len(list_requests_to_stopping(soak)), 0)

    def check_observations(self, soak):
        """Check that the oracle sees the starts, whose senders are all known."""
        observations = soak.observations
        self.assertGreater(len(observations.runs), 0)
        terms = {run.term for run in observations.runs}
        self.assertLessEqual(terms, soak.term_holders.keys())
        observations.runs[0].payload += " altered"
        [violation] = find_violations(observations)
        self.assertEqual((violation.rule, violation.clause), ("UNASKED", "payload"))

    def test_regression_seeds_have_no_violations(self):
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_seed(seed)[0], [])


if __name__ == "__main__":
    unittest.main()
