"""Test that tasks that last run wherever they may, beside crashes and failures.

Guards against workers that are kept from other work for good, by a state that ends only
with an event that never comes. Each mutant takes one bound out, and some seed finds it.
"""

import math
import unittest
import unittest.mock

from fuzz.lasting import run_lasting_history

SEEDS = range(12)
MUTANTS = {
    "a suspect that runs alone does so for good": (
        "bulrushspur_scheduler.pools.ALONE_SURVIVAL_S",
        math.inf,
        (2, 3, 4),
    ),
    "workers are held until runs that last have ended": (
        "bulrushspur_scheduler.isolation._may_become_fit",
        lambda step, worker, alone: True,
        (21, 30),
    ),
}


class CrashesTest(unittest.TestCase):
    def test_no_lasting_task_waits_for_a_worker_isolated_for_another(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = run_lasting_history(seed, has_failing_workers=False)
                self.assertEqual(simulation.oracle.violations, [])

    def test_histories_find_each_mutant(self):
        for name, (target, value, seeds) in MUTANTS.items():
            with self.subTest(name=name), unittest.mock.patch(target, value):
                histories = [run_lasting_history(seed, False) for seed in seeds]
                self.assertTrue(any(row.oracle.violations for row in histories))


if __name__ == "__main__":
    unittest.main()
