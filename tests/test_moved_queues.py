"""Test that accepted jobs go where the configuration sends their queue.

Guards against jobs that were accepted before their queue was sent to another service,
and that wait for workers of the former one for good.
"""

import dataclasses
import unittest
import unittest.mock

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.advice import apply_advice
from bulrushspur_scheduler.config import make_config
from bulrushspur_scheduler.job_specs import StepSpec
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress_records import encode_progress
from bulrushspur_scheduler.queue_changes import apply_queue, log_moved_queues
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from fuzz.moves import run_moves_history
from tests.cell_fixtures import (
    QUEUES,
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
)

FULL = Resources(16_000, 100)
SEEDS = range(1, 13)


def send_queues(cell, service, *without):
    """Put a configuration in force that sends all queues to a service."""
    queues = [
        dataclasses.replace(queue, service=service)
        for queue in QUEUES
        if queue.name not in without
    ]
    before, version = cell.config, cell.config.version + 1
    cell.config = make_config(version, tuple(queues), accounts=before.accounts)
    for job in cell.jobs.values():
        apply_queue(cell, job)
    log_moved_queues(cell, before)


def recover(cell, service, *without):
    """Recover the jobs of a cell in a term whose configuration sends queues there."""
    stored = {}
    for job in cell.jobs.values():
        stored["j" + job.id] = encode_job(job)
        stored["s" + job.id] = encode_progress(cell, job.id)
    recovered = make_test_cell(0)
    send_queues(recovered, service, *without)
    takeover.recover_jobs(recovered, stored, 0.0, 0.0)
    recovered.reconciled = False
    takeover.reconcile(recovered, 0.1)
    return recovered


class MovedQueueTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_test_cell(1)
        add_worker(self.cell, "o0", service="other")
        self.now_s = 0.1

    def start(self, cell=None):
        """Plan, and return the workers of the starts, which all begin."""
        cell = cell or self.cell
        self.now_s += 0.2
        for name in list(cell.workers):
            runs = [run.key for run in cell.workers[name].runs.values()]
            apply_worker_report(cell, name, self.now_s, runs)
        plan(cell, self.now_s)
        return [order.worker_id for order in acknowledge_starts(cell, self.now_s)]

    def end(self, name, outcome="done"):
        worker = self.cell.workers[name]
        sequence = worker.applied_end_sequence
        ends = [
            (sequence + index, *run.key, outcome)
            for index, run in enumerate(worker.runs.values(), 1)
        ]
        apply_worker_report(self.cell, name, self.now_s, ended=ends)

    def test_job_that_has_not_begun_starts_where_its_queue_is_sent_to(self):
        add_test_job(self.cell, "first", resources=FULL)
        self.assertEqual(self.start(), ["w0"])
        add_test_job(self.cell, "waiting", resources=FULL)
        self.assertEqual(self.start(), [])
        send_queues(self.cell, "other")
        self.assertEqual(self.start(), ["o0"])

    def test_later_step_starts_where_the_queue_is_sent_to(self):
        each = Resources(1000, 100)
        steps = (StepSpec(1, each, 1.0), StepSpec(1, each, 1.0, depends_on=(0,)))
        add_test_job(self.cell, steps=steps)
        self.assertEqual(self.start(), ["w0"])
        send_queues(self.cell, "other")
        self.end("w0")
        self.assertEqual(self.start(), ["o0"])

    def test_task_that_lasts_goes_on_and_restarts_where_the_queue_is_sent_to(self):
        add_test_job(self.cell, long_running=True)
        self.assertEqual(self.start(), ["w0"])
        send_queues(self.cell, "other")
        self.assertEqual(self.start(), [])
        self.assertEqual(len(self.cell.workers["w0"].runs), 1)
        self.end("w0", "failed")
        self.assertEqual(self.start(), ["o0"])

    def test_queue_that_is_sent_there_and_back(self):
        add_test_job(self.cell, count=2, resources=FULL)
        self.assertEqual(self.start(), ["w0"])
        send_queues(self.cell, "other")
        send_queues(self.cell, "svc")
        self.assertEqual(self.start(), [])
        self.end("w0")
        self.assertEqual(self.start(), ["w0"])

    def test_next_leader_follows_its_configuration(self):
        add_test_job(self.cell)
        recovered = recover(self.cell, "other")
        add_worker(recovered, "o0", service="other")
        self.assertEqual(self.start(recovered), ["o0"])

    def test_next_leader_without_the_queue_knows_where_it_was_sent(self):
        add_test_job(self.cell)
        send_queues(self.cell, "other")
        self.assertIn("j1", self.cell.dirty_jobs)
        recovered = recover(self.cell, "other", "heavy")
        add_worker(recovered, "o0", service="other")
        self.assertEqual(self.start(recovered), ["o0"])

    def test_queue_that_is_moved_and_removed_keeps_its_last_service(self):
        add_test_job(self.cell)
        send_queues(self.cell, "other")
        send_queues(self.cell, "svc", "heavy")
        self.assertEqual(self.start(), ["o0"])

    def test_job_accepted_by_an_older_configuration_starts_by_the_newer_one(self):
        send_queues(self.cell, "other")
        # Its gateway has not read that.
        job = add_test_job(self.cell)
        self.assertEqual(self.start(), ["o0"])
        self.assertIn(job.id, self.cell.dirty_jobs)

    def test_advice_on_workers_of_the_former_service_does_not_count(self):
        job = add_test_job(self.cell, queue="advised")
        self.start()
        (late_call,) = self.cell.advice_calls
        self.cell.advice_calls.clear()
        send_queues(self.cell, "other")
        apply_advice(self.cell, late_call, [("w0", "t")], 2.5, self.now_s)
        (step,) = job.steps()
        self.assertEqual(step.tickets, {})
        self.assertEqual(self.start(), [])
        (call,) = self.cell.advice_calls
        self.assertEqual(call.worker_ids, ("o0",))
        apply_advice(self.cell, call, [("o0", "t")], 2.5, self.now_s)
        self.assertEqual(self.start(), ["o0"])

    def test_gang_is_not_completed_at_another_service(self):
        add_worker(self.cell, "w1")
        add_worker(self.cell, "o1", service="other")
        fields = {"count": 2, "gang": True, "resources": FULL}
        job = add_test_job(self.cell, **fields)
        self.assertEqual(sorted(self.start()), ["w0", "w1"])
        (step,) = job.steps()
        (run,) = step.tasks[0].runs
        self.cell.workers[run.worker_id].runs.pop(run.key)
        step.tasks[0].runs.clear()
        self.cell.waiting_steps[step.key] = step
        send_queues(self.cell, "other")
        self.assertEqual(self.start(), [])
        reasons = [order.run.stop_reason for order in self.cell.stop_orders]
        self.assertEqual(reasons, ["gang incomplete"])

    def test_moved_queue_is_logged_with_its_jobs(self):
        add_test_job(self.cell)
        send_queues(self.cell, "other")
        (event,) = [
            row.fields
            for row in self.cell.events
            if row.name == "queue_moved" and row.fields["queue"] == "heavy"
        ]
        self.assertEqual((event["jobs"], event["service"]), (1, "other"))


class MovesFuzzTest(unittest.TestCase):
    def test_moved_queues_leave_no_job_behind(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_moves_history(seed).oracle.violations, [])

    def test_histories_find_jobs_that_keep_their_service(self):
        with unittest.mock.patch("bulrushspur_scheduler.queue_changes._move_job"):
            violations = [run_moves_history(seed).oracle.violations for seed in SEEDS]
        self.assertTrue(any(violations))


if __name__ == "__main__":
    unittest.main()
