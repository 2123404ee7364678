"""Test which ends make a job fail: those of its own runs, each one once.

The tests guard against an end of another job, or of no failure, that counts as one.
"""

import unittest

from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.job_states import JobState, RunOutcome
from bulrushspur_scheduler.jobs import MAX_LASTING_STARTS
from bulrushspur_scheduler.leases import expire_leases
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.takeover import RUN_NUMBERS_PER_TERM, recover_jobs
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    make_test_job,
    task_key,
)

LONG_AFTER_S = 100.0


def task_of(job):
    return job.occurrences[0].steps[0].tasks[0]


class LastingTest(unittest.TestCase):
    # Guards against: a task that fails for years takes more and more memory.
    def test_starts_of_a_task_that_lasts_are_not_all_kept(self):
        cell = make_test_cell(1)
        task = task_of(add_test_job(cell, long_running=True))
        for number in range(1, 201):
            plan(cell, number * 1.0)
            (order,) = acknowledge_starts(cell, number * 1.0)
            ended = [(number, task.key, order.run.number, "failed")]
            apply_worker_report(cell, "w0", number * 1.0, ended=ended)
            cell.workers["w0"].quarantined_until_s = 0.0
        self.assertEqual(len(task.started_worker_ids), MAX_LASTING_STARTS)
        self.assertTrue(task.may_be_own_run("w0", task.last_run_number))


class PastJobTest(unittest.TestCase):
    """A job with an id that a past one had, whose run goes on behind a cut."""

    def setUp(self):
        self.cell = make_test_cell(1)
        self.job = add_test_job(self.cell)
        plan(self.cell, 0.1)
        acknowledge_starts(self.cell, 0.1)
        (self.run,) = task_of(self.job).runs
        add_worker(self.cell, "cut", now_s=0.2)

    def report(self, name, number, outcome):
        ended = [(1, task_key(), number, outcome)]
        apply_worker_report(self.cell, name, 0.5, ended=ended)

    def test_failed_run_of_a_past_job_with_a_number_of_its_own_does_not_count(self):
        self.report("cut", self.run.number, "failed")
        self.assertEqual(task_of(self.job).failed_runs, {})
        self.assertEqual(task_of(self.job).runs, [self.run])

    def test_done_run_of_a_past_job_completes_no_job(self):
        self.report("cut", self.run.number, "done")
        self.assertIs(self.job.state, JobState.RUNNING)

    def test_run_of_a_past_job_is_stopped_while_the_own_one_is_missing(self):
        # Its worker lists it no longer, and the store has not confirmed the term since.
        apply_worker_report(self.cell, "w0", 0.3)
        self.assertTrue(task_of(self.job).unreconciled)
        apply_worker_report(self.cell, "cut", 0.4, [(task_key(), self.run.number)])
        self.assertEqual(task_of(self.job).runs, [])
        (order,) = self.cell.stop_orders
        self.assertEqual(order.worker_id, "cut")

    def test_later_runs_have_higher_numbers_than_those_of_a_past_job(self):
        self.report("cut", 7, "failed")
        self.report("w0", self.run.number, "failed")
        plan(self.cell, 0.6)
        (order,) = self.cell.start_orders
        self.assertEqual(order.run.number, 8)


class OwnRunTest(unittest.TestCase):
    def test_run_that_was_given_up_counts_once_its_worker_reports_its_failure(self):
        cell = make_test_cell(1)
        task = task_of(add_test_job(cell))
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        expire_leases(cell, LONG_AFTER_S)
        self.assertEqual(task.runs, [])
        ended = [(1, task.key, 1, "failed")]
        apply_worker_report(cell, "w0", LONG_AFTER_S, ended=ended)
        self.assertEqual(list(task.failed_runs), [1])

    def test_failed_run_of_an_earlier_term_counts_for_a_recovered_job(self):
        cell = make_test_cell(1)
        recover_jobs(cell, {"jj1": encode_job(make_test_job())}, 0.0, 0.0)
        ended = [(1, task_key(), 4 * RUN_NUMBERS_PER_TERM, "failed")]
        apply_worker_report(cell, "w0", 0.5, ended=ended)
        self.assertEqual(len(task_of(cell.jobs["j1"]).failed_runs), 1)

    def test_no_other_end_than_a_failed_one_counts(self):
        for outcome in set(RunOutcome) - {RunOutcome.FAILED, RunOutcome.DONE}:
            with self.subTest(outcome=outcome):
                cell = make_test_cell(1)
                job = add_test_job(cell)
                plan(cell, 0.1)
                (order,) = acknowledge_starts(cell, 0.1)
                key = TaskKey(*order.run.task.key)
                ended = [(1, key, order.run.number, outcome)]
                apply_worker_report(cell, "w0", 0.5, ended=ended)
                self.assertEqual(task_of(job).failed_runs, {})


if __name__ == "__main__":
    unittest.main()
