"""Test what counts as cause to show a job as failed in fuzzed histories.

Guards against a check that passes over jobs that fail too early, or that takes a run
for crashed that had ended before.
"""

import random
import unittest

import msgspec

from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.job_states import FailureReason, JobState
from bulrushspur_scheduler.progress_records import ProgressRecord
from bulrushspur_scheduler.verdicts import VerdictRecord
from fuzz.deadly import make_job
from fuzz.evidence import FailureEvidence
from fuzz.recorder import Oracle
from fuzz.verdicts import find_verdict_fault
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


class StoredVerdictTest(unittest.TestCase):
    """A job of two attempts, of which a task has failed twice on one worker."""

    def setUp(self):
        self.evidence = FailureEvidence({"j": 2})
        for number in (1, 2):
            self.evidence.record_failed_run(TASK, number, False, "w", 7)

    def find_fault(self, *runs, path="0.0.0", reason=FailureReason.ATTEMPTS.value):
        rows = VerdictRecord(path, 5, [(run, "w", 7, 4) for run in runs])
        state = list(JobState).index(JobState.FAILED)
        record = ProgressRecord(state, "team", "q", reason=reason, verdict=rows)
        data = msgspec.msgpack.encode(record)
        return find_verdict_fault(self.evidence, make_job("j", 2), data)

    def test_runs_that_a_worker_reported_are_evidence(self):
        self.assertEqual(self.find_fault(1, 2), "")

    def test_too_few_runs_are_a_fault_also_if_one_is_named_twice(self):
        for runs in ((1,), (1, 1)):
            self.assertIn("1 of 2 runs", self.find_fault(*runs))

    def test_run_that_no_worker_reported_is_a_fault(self):
        self.assertIn("no worker reported", self.find_fault(1, 3))
        self.assertIn("no worker reported", self.find_fault(1, 2, path="0.0.1"))

    def test_run_of_another_incarnation_is_a_fault(self):
        self.evidence.reported_runs[TASK] = {
            run._replace(incarnation_start_ms=8)
            for run in self.evidence.reported_runs[TASK]
        }
        self.assertIn("no worker reported", self.find_fault(1, 2))

    def test_final_state_without_a_verdict_is_a_fault(self):
        state = list(JobState).index(JobState.FAILED)
        reason = FailureReason.ATTEMPTS.value
        data = msgspec.msgpack.encode(ProgressRecord(state, "t", "q", reason=reason))
        fault = find_verdict_fault(self.evidence, make_job("j", 2), data)
        self.assertIn("does not have", fault)


if __name__ == "__main__":
    unittest.main()
