"""Test that tasks that last run wherever they may, beside crashes and failures.

Guards against workers that are kept from other work for good, by a state that ends only
with an event that never comes. Each mutant takes one bound out, and some seed finds it.
"""

import contextlib
import math
import unittest
import unittest.mock

from fuzz.lasting import run_lasting_history

SEEDS = (*range(12), 30)
# Histories in which a suspect waits for others that start before it on its only worker.
CHAINED_SUSPECTS_SEEDS = (44, 56, 292, 369, 377, 489)
# The same without workers that fail.
CHAINED_CRASHES_SEEDS = (71, 191)


def with_crashes_alone(seed):
    return run_lasting_history(seed, has_failing_workers=False)


# By name: what is patched, the seeds that find it, and how they are run. Of those with
# two patches each is a defence against the other.
MUTANTS = {
    "a suspect that runs alone does so for good": (
        {"pools.ALONE_SURVIVAL_S": math.inf},
        (2, 3, 4),
        with_crashes_alone,
    ),
    "workers are held until runs that last have ended": (
        {"isolation._may_become_fit": lambda step, worker, alone: True},
        (149,),
        with_crashes_alone,
    ),
    "probation waits for the end of runs that last": (
        {
            "workers.is_trial": lambda run, worker: True,
            "pools.MAX_FAILED_WAIT_S": math.inf,
        },
        (0, 3, 5),
        run_lasting_history,
    ),
    "probation ends with a success alone": (
        {"health.PROOF_S": math.inf, "pools.MAX_FAILED_WAIT_S": math.inf},
        (38, 44),
        run_lasting_history,
    ),
}


class LastingTest(unittest.TestCase):
    def assert_no_violations(self, run, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertEqual(run(seed).oracle.violations, [])

    def test_no_lasting_task_waits_for_a_worker_isolated_for_another(self):
        self.assert_no_violations(with_crashes_alone, SEEDS)

    def test_no_lasting_task_waits_for_a_worker_that_failed_it(self):
        self.assert_no_violations(run_lasting_history, SEEDS)

    def test_no_lasting_task_waits_behind_a_series_of_suspects(self):
        self.assert_no_violations(run_lasting_history, CHAINED_SUSPECTS_SEEDS)
        self.assert_no_violations(with_crashes_alone, CHAINED_CRASHES_SEEDS)

    def test_histories_find_each_mutant(self):
        for name, (patches, seeds, run) in MUTANTS.items():
            with self.subTest(name=name), contextlib.ExitStack() as stack:
                for target, value in patches.items():
                    path = f"bulrushspur_scheduler.{target}"
                    stack.enter_context(unittest.mock.patch(path, value))
                found = [bool(run(seed).oracle.violations) for seed in seeds]
                self.assertIn(True, found)


if __name__ == "__main__":
    unittest.main()
