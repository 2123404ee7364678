"""Test what counts as cause to show a job as failed in fuzzed histories.

Guards against a check that passes over jobs that fail too early, or that takes a run
for crashed that had ended before.
"""

import random
import unittest

from bulrushspur_scheduler.job_specs import TaskKey
from fuzz.deadly import make_job
from fuzz.recorder import Oracle
from fuzz.workers import SimWorker

TASK = TaskKey("j", 0, 0, 0)
OTHER_TASK = TaskKey("j", 0, 0, 1)
UNTIL_MS = 1_000_000


class FailureEvidenceTest(unittest.TestCase):
    def make_oracle(self, gang=False):
        oracle = Oracle()
        oracle.jobs["j"] = make_job("j", 2, gang=gang)
        oracle.evidence.max_attempts["j"] = 2
        return oracle

    def make_worker(self, oracle, failure_share=0.0):
        worker = SimWorker("w", 8000, oracle, {}, random.Random(1), 0.0)
        worker.peers["w"] = worker
        worker.failure_share = failure_share
        return worker

    def may_fail(self, oracle):
        return not oracle.evidence.find_fault(oracle.jobs["j"])

    def test_failed_runs_count_by_task(self):
        oracle = self.make_oracle()
        worker = self.make_worker(oracle, 1.0)
        worker.start(TASK, 1, UNTIL_MS, 1, 0.0)
        worker.start(OTHER_TASK, 1, UNTIL_MS, 1, 0.0)
        worker.advance(5.0)
        self.assertFalse(self.may_fail(oracle))
        worker.start(TASK, 2, UNTIL_MS, 1, 5.0)
        worker.advance(10.0)
        self.assertTrue(self.may_fail(oracle))

    def test_failed_run_of_a_gang_counts_once(self):
        oracle = self.make_oracle(gang=True)
        for key in (TASK, OTHER_TASK):
            oracle.evidence.record_failed_run(key, 1, True)
        self.assertFalse(self.may_fail(oracle))
        oracle.evidence.record_failed_run(OTHER_TASK, 2, True)
        self.assertTrue(self.may_fail(oracle))

    def test_two_crashes_under_a_task_are_cause(self):
        oracle = self.make_oracle()
        for key in (TASK, OTHER_TASK, TASK):
            self.assertFalse(self.may_fail(oracle))
            worker = self.make_worker(oracle)
            worker.start(key, 1, UNTIL_MS, 1, 0.0)
            worker.crash()
        self.assertTrue(self.may_fail(oracle))

    def test_runs_that_ended_before_or_left_with_their_worker_do_not_count(self):
        oracle = self.make_oracle()
        for end in (
            lambda worker: worker.advance(5.0),
            lambda worker: worker.stop(TASK, 1, 1, 0.1),
            lambda worker: worker.leave(),
            lambda worker: worker.advance(2_000.0),
        ):
            worker = self.make_worker(oracle)
            worker.start(TASK, 1, UNTIL_MS, 1, 0.0)
            end(worker)
            worker.crash()
        self.assertEqual(oracle.evidence.count_crashes("j"), 0)

    def test_failing_without_cause_and_a_changed_final_state_are_violations(self):
        oracle = self.make_oracle()
        oracle.publish_final_state("j", "failed", 1.0)
        self.assertIn("without cause", oracle.violations[0])
        oracle.publish_final_state("j", "completed", 2.0)
        self.assertIn("failed, then as completed", oracle.violations[1])


if __name__ == "__main__":
    unittest.main()
