"""Test that the probation of a worker ends, also where what it runs lasts.

Guards against workers that wait for a success or an end that never comes.
"""

import unittest

from bulrushspur_scheduler.eviction import evict_runs
from bulrushspur_scheduler.health import (
    MAX_QUARANTINE_S,
    PROOF_S,
    QUARANTINE_S,
    quarantine_worker,
)
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.pools import MAX_FAILED_WAIT_S, MIN_FAULT_AGE_S
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
)


class LastingRunTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_test_cell(1)
        self.worker = self.cell.workers["w0"]
        self.now_s = 0.1

    def add_lasting_job(self, job_id, count=1):
        return add_test_job(
            self.cell,
            job_id,
            now_s=self.now_s,
            count=count,
            long_running=True,
            max_per_worker=1,
        )

    def pass_time(self, duration_s=0.1, failing=()):
        """Report all runs, those of failing jobs as failed; return what starts."""
        self.now_s += duration_s
        runs = list(self.worker.runs.values())
        failed = [run for run in runs if run.task.key.job in failing]
        running = [run.key for run in runs if run not in failed]
        first = self.worker.applied_end_sequence + 1
        ends = [(first + i, *run.key, "failed") for i, run in enumerate(failed)]
        apply_worker_report(self.cell, "w0", self.now_s, running, ends)
        evict_runs(self.cell, self.now_s)
        plan(self.cell, self.now_s)
        orders = acknowledge_starts(self.cell, self.now_s)
        return [order.run.task.key.job for order in orders]

    def fail_twice(self, job_id="b"):
        """Let the task of a job fail twice on the worker, which is put apart."""
        self.add_lasting_job(job_id)
        for _ in range(3):
            self.pass_time(failing=(job_id,))
        self.assertTrue(self.worker.on_probation)

    def wait_for_start(self, job_id, max_wait_s, failing=()):
        began_s = self.now_s
        while job_id not in self.pass_time(failing=failing):
            self.assertLess(self.now_s - began_s, max_wait_s)

    def test_lasting_run_from_before_does_not_keep_its_worker_on_probation(self):
        self.add_lasting_job("a")
        self.pass_time()
        self.fail_twice()
        self.wait_for_start("b", QUARANTINE_S + 0.3)

    def test_run_that_lasts_and_goes_on_ends_the_probation(self):
        self.fail_twice()
        self.wait_for_start("b", QUARANTINE_S + 0.3)
        add_test_job(self.cell, "s", "bulk", now_s=self.now_s)
        self.assertEqual(self.pass_time(), [])
        self.assertIn("s", self.pass_time(PROOF_S))
        self.assertFalse(self.worker.on_probation)
        self.assertLess(self.worker.failure_score, 1.0)

    def test_run_that_began_before_the_last_fault_ends_no_probation(self):
        self.add_lasting_job("a")
        self.pass_time()
        self.fail_twice()
        for _ in range(20):
            self.pass_time(failing=("b",))
        self.assertTrue(self.worker.on_probation)

    def test_run_that_an_earlier_leader_began_ends_no_probation(self):
        self.fail_twice()
        self.wait_for_start("b", QUARANTINE_S + 0.3)
        for run in self.worker.runs.values():
            run.adopted = True
        self.pass_time(PROOF_S + 0.1)
        self.assertTrue(self.worker.on_probation)

    def test_lasting_task_starts_again_where_it_failed_before_a_long_quarantine_ends(
        self,
    ):
        self.fail_twice()
        self.worker.quarantined_until_s = self.now_s + MAX_QUARANTINE_S
        self.wait_for_start("b", MAX_FAILED_WAIT_S + 0.3)

    def test_task_with_attempts_does_not_start_where_it_failed_in_a_quarantine(self):
        job = add_test_job(self.cell, "f", "bulk", now_s=self.now_s)
        (task,) = job.occurrences[0].steps[0].tasks
        task.failed_worker_ids.add("w0")
        quarantine_worker(self.cell, self.worker, self.now_s, "failures")
        self.worker.quarantined_until_s = self.now_s + MAX_QUARANTINE_S
        for _ in range(100):
            self.assertEqual(self.pass_time(), [])

    def test_step_without_a_failure_goes_first_where_others_have_failed(self):
        self.fail_twice()
        self.worker.quarantined_until_s = self.now_s + MAX_QUARANTINE_S
        self.add_lasting_job("c")
        self.wait_for_start("c", MIN_FAULT_AGE_S + 0.3)


if __name__ == "__main__":
    unittest.main()
