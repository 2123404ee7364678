"""Test that a job fails only after the failed runs promised at its acceptance.

The tests guard against a configuration that changes what was promised: its queue is
removed, lowers or raises its attempts, or is not known yet.
"""

import dataclasses
import unittest

from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.attempts import follow_configuration
from bulrushspur_scheduler.config import DEFAULT_MAX_ATTEMPTS, make_config
from bulrushspur_scheduler.failed_runs import FailedRun
from bulrushspur_scheduler.headroom import UrgentCpu
from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.job_states import FailureReason, JobState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import (
    fail_job,
    finish_job,
    mark_task_done,
    purge_finished_jobs,
)
from bulrushspur_scheduler.progress_records import encode_progress
from bulrushspur_scheduler.queue_changes import apply_queue
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.takeover import RUN_NUMBERS_PER_TERM, recover_jobs
from tests.cell_fixtures import (
    QUEUES,
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    fail_run,
    make_test_cell,
    make_test_job,
    task_key,
)
from tests.test_config_watch import NullEventLog

MAX_RUNS = 9


def configure(cell, *queues):
    """Put a configuration with these queues in force, as a term does."""
    cell.config = make_config(2, queues, accounts=cell.config.accounts)
    follow_configuration(cell, 1.0)


def change_heavy(**fields):
    return dataclasses.replace(QUEUES[1], **fields)


def count_failed_runs(cell, job, first=1):
    """Let runs of the first task fail until its job has failed; return their number."""
    (step,) = job.steps()
    for number in range(first, first + MAX_RUNS):
        if job.state is JobState.FAILED:
            return number - first
        fail_run(cell, step.tasks[0], number, 1.0)
    return MAX_RUNS


class AttemptsTest(unittest.TestCase):
    def test_job_of_a_removed_queue_keeps_its_attempts(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        configure(cell)
        self.assertEqual(count_failed_runs(cell, job), 3)

    def test_gang_of_a_removed_queue_keeps_its_attempts(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, count=2, gang=True)
        configure(cell)
        self.assertEqual(count_failed_runs(cell, job), 3)

    def test_attempts_lowered_after_acceptance_fail_no_job(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        (step,) = job.steps()
        fail_run(cell, step.tasks[0], 1, 1.0)
        configure(cell, change_heavy(max_attempts=1))
        self.assertEqual(count_failed_runs(cell, job, 2), 2)

    def test_attempts_raised_after_acceptance_allow_no_further_run(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        configure(cell, change_heavy(max_attempts=5))
        self.assertEqual(count_failed_runs(cell, job), 3)

    def fail_while_unknown(self, **fields):
        """Let a task fail as often as the default allows, its queue being unknown."""
        cell = make_test_cell(1)
        configure(cell)
        job = add_test_job(cell, **fields)
        for number in range(1, DEFAULT_MAX_ATTEMPTS + 1):
            plan(cell, 0.1)
            self.assertTrue(acknowledge_starts(cell, 0.1))
            ended = [(number, task_of(job).key, number, "failed")]
            apply_worker_report(cell, "w0", 0.1, ended=ended)
            # Workers with failures are in quarantine.
            cell.workers["w0"].quarantined_until_s = 0.0
        plan(cell, 0.2)
        return cell, job

    def test_job_of_an_unknown_queue_neither_fails_nor_starts_beyond_the_default(self):
        for gang in (False, True):
            with self.subTest(gang=gang):
                cell, job = self.fail_while_unknown(gang=gang)
                self.assertIsNot(job.state, JobState.FAILED)
                self.assertEqual(cell.start_orders, [])

    def test_job_of_an_unknown_queue_fails_as_soon_as_its_attempts_are_told(self):
        for gang in (False, True):
            with self.subTest(gang=gang):
                cell, job = self.fail_while_unknown(gang=gang)
                configure(cell, change_heavy(max_attempts=3))
                self.assertIs(job.state, JobState.FAILED)

    def test_job_of_an_unknown_queue_goes_on_once_more_attempts_are_told(self):
        for gang in (False, True):
            with self.subTest(gang=gang):
                cell, job = self.fail_while_unknown(gang=gang)
                configure(cell, change_heavy(max_attempts=4))
                self.assertIsNot(job.state, JobState.FAILED)
                plan(cell, 0.3)
                self.assertEqual(len(cell.start_orders), 1)

    def test_job_of_an_unknown_queue_keeps_the_first_attempts_that_are_told(self):
        cell = make_test_cell(1)
        configure(cell)
        job = add_test_job(cell)
        configure(cell, change_heavy(max_attempts=4))
        configure(cell, change_heavy(max_attempts=2))
        self.assertEqual(count_failed_runs(cell, job), 4)


def task_of(job):
    return job.occurrences[0].steps[0].tasks[0]


class FailedRunsTest(unittest.TestCase):
    def test_failed_run_of_a_task_that_is_done_fails_no_job(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, count=2)
        task = task_of(job)
        for number in (2, 3):
            fail_run(cell, task, number, 1.0)
        mark_task_done(cell, task, 1.0)
        # This worker was cut off, and its lease had expired when run 2 started.
        apply_worker_report(cell, "w0", 2.0, ended=[(1, task.key, 1, "failed")])
        self.assertIsNot(job.state, JobState.FAILED)

    def test_failed_run_of_a_past_job_does_not_count_for_one_with_its_id(self):
        cell = make_test_cell(1)
        past = add_test_job(cell)
        # Its second run is on a worker that is cut off.
        fail_run(cell, task_of(past), 1, 1.0)
        finish_job(cell, past, JobState.CANCELLED, 2.0)
        purge_finished_jobs(cell, 1000.0)
        job = add_test_job(cell, now_s=1000.0)
        apply_worker_report(cell, "w0", 1001.0, ended=[(1, task_key(), 2, "failed")])
        self.assertEqual(task_of(job).failed_runs, {})

    def test_run_numbers_of_two_terms_differ_however_many_starts_there_were(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        past_number = 5 * RUN_NUMBERS_PER_TERM + RUN_NUMBERS_PER_TERM + 1
        task_of(job).failed_runs = {past_number: FailedRun(past_number)}
        stored = {
            f"j{job.id}": encode_job(job),
            f"s{job.id}": encode_progress(cell, job.id),
        }
        cell = make_test_cell(1)
        cell.fencing_token = 6
        recover_jobs(cell, stored, 1.0, 1.0)
        task = task_of(cell.jobs[job.id])
        self.assertGreater(task.last_run_number + 1, past_number)

    # Guards against: the record of a service that fails for long outgrows the store.
    def test_record_of_a_long_running_step_has_only_the_last_failed_run(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, long_running=True)
        self.fail_runs(cell, job, 1)
        size_bytes = len(encode_progress(cell, job.id))
        self.fail_runs(cell, job, 100)
        self.assertEqual(len(encode_progress(cell, job.id)), size_bytes)
        self.assertEqual(list(task_of(job).failed_runs), [100])

    def recover_older(self, config, **fields):
        """Let a leader recover a job that an older version accepted."""
        job = make_test_job(queue="four", **fields)
        cell = make_test_cell(1)
        cell.config = config
        recover_jobs(cell, {"jj1": encode_job(job)}, 1.0, 1.0)
        return cell, cell.jobs["j1"]

    def fail_runs(self, cell, job, count):
        for number in range(1, count + 1):
            fail_run(cell, task_of(job), number, 1.0)

    def test_job_of_an_older_version_does_not_fail_while_its_queue_is_unknown(self):
        cell, job = self.recover_older(make_config(2))
        self.fail_runs(cell, job, 3)
        four = dataclasses.replace(QUEUES[1], name="four", max_attempts=4)
        cell.config = make_config(3, (four,))
        apply_queue(cell, job)
        self.assertIsNot(job.state, JobState.FAILED)

    # Guards against: a verdict on a task that is done, from the runs before that.
    def test_job_whose_task_failed_and_is_done_is_not_judged_by_it(self):
        allows_two = dataclasses.replace(QUEUES[1], name="four", max_attempts=2)
        cell, job = self.recover_older(make_config(2), count=2)
        self.fail_runs(cell, job, 2)
        mark_task_done(cell, task_of(job), 1.0)
        stored = {"jj1": encode_job(job), "sj1": encode_progress(cell, "j1")}
        cell = make_test_cell(1)
        cell.config = make_config(3, (allows_two,))
        recover_jobs(cell, stored, 2.0, 2.0)
        self.assertIn("j1", cell.jobs)

    def test_attempts_of_a_job_of_an_older_version_outlast_the_leader(self):
        four = dataclasses.replace(QUEUES[1], name="four", max_attempts=4)
        cell, job = self.recover_older(make_config(2, (four,)))
        writer = RecordWriter(None, cell, NullEventLog(), Metrics(), lambda _: None)
        # All that this leader stores.
        stored = {"jj1": encode_job(make_test_job(queue="four"))}
        stored |= dict(writer._assemble_batch().rows)
        cell = make_test_cell(1)
        lowered = dataclasses.replace(four, max_attempts=1)
        cell.config = make_config(3, (lowered,))
        recover_jobs(cell, stored, 1.0, 1.0)
        job = cell.jobs["j1"]
        self.fail_runs(cell, job, 1)
        self.assertIsNot(job.state, JobState.FAILED)


class FinishEventTest(unittest.TestCase):
    def find_finish(self, cell):
        (event,) = [row for row in cell.events if row.name == "finish"]
        return event.fields

    def test_failed_job_tells_failed_runs_and_promised_attempts(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, count=2)
        (step,) = job.steps()
        fail_run(cell, step.tasks[1], 9, 1.0)
        count_failed_runs(cell, job)
        fields = self.find_finish(cell)
        self.assertEqual((fields["failed_runs"], fields["max_attempts"]), (3, 3))

    def test_job_that_crashes_failed_tells_that_no_task_failed_so_often(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, count=2, gang=True)
        (step,) = job.steps()
        fail_run(cell, step.tasks[1], 9, 1.0)
        fail_job(cell, job, FailureReason.CRASHES, 2.0)
        fields = self.find_finish(cell)
        self.assertEqual((fields["failed_runs"], fields["max_attempts"]), (1, 3))


class ObjectiveTest(unittest.TestCase):
    def test_newest_configuration_with_the_queue_counts(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        configure(cell, change_heavy(priority=2, target_latency_s=5.0))
        self.assertEqual((job.priority, job.objective_s), (2, 7.0))

    def test_priority_changed_under_a_run_leaves_no_urgent_cpu_in_use(self):
        for before, after in ((0, 1), (1, 0)):
            with self.subTest(before=before):
                cell = make_test_cell(1)
                configure(cell, change_heavy(priority=before))
                job = add_test_job(cell)
                plan(cell, 0.1)
                acknowledge_starts(cell, 0.1)
                configure(cell, change_heavy(priority=after))
                finish = [(1, TaskKey(job.id, 0, 0, 0), 1, "done")]
                apply_worker_report(cell, "w0", 0.5, ended=finish)
                urgent = cell.urgent_cpu_by_account.get("team", UrgentCpu())
                self.assertEqual(urgent.in_use_milli, 0)

    def test_job_of_an_unknown_queue_is_not_urgent(self):
        cell = make_test_cell(1)
        configure(cell)
        job = add_test_job(cell)
        self.assertGreater(job.priority, 0)
        self.assertGreater(job.objective_s, 0.0)


if __name__ == "__main__":
    unittest.main()
