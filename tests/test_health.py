"""Test the quarantine of workers and the eviction of overdue runs.

The tests guard against work that waits forever on a hung or slow worker. They also
guard against needless stops and quarantines, which a bad estimate, a late run that
still makes checkpoints, or failures on all workers could cause.
"""

import math
import unittest

from bulrushspur_scheduler.eviction import evict_runs
from bulrushspur_scheduler.health import (
    record_failure,
    record_success,
)
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import is_schedulable
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
    play,
    report_all_workers,
)


def run_jobs(cell, jobs, now_s=0.1, **fields):
    """Start jobs of one task each; return their start orders."""
    for index in range(jobs):
        add_test_job(cell, f"j{index}", "bulk", now_s, **fields)
    plan(cell, now_s)
    return acknowledge_starts(cell, now_s)


class OverdueTest(unittest.TestCase):
    def test_run_moderately_longer_than_its_estimate_continues(self):
        cell = make_test_cell(1)
        run_jobs(cell, 1, estimate_s=2.0)
        report_all_workers(cell, 6.0)
        evict_runs(cell, 6.0)
        self.assertEqual(cell.stop_orders, [])

    def test_hung_task_is_moved_and_then_gets_twice_the_time(self):
        cell = make_test_cell(2)
        (order,) = run_jobs(cell, 1, estimate_s=2.0)
        report_all_workers(cell, 8.0)
        evict_runs(cell, 8.0)
        self.assertEqual(len(cell.stop_orders), 1)
        key, number = order.run.key
        apply_worker_report(
            cell, order.worker_id, 8.1, ended=[(1, key, number, "stopped")]
        )
        report_all_workers(cell, 8.1)
        plan(cell, 8.1)
        (second_order,) = acknowledge_starts(cell, 8.1)
        self.assertNotEqual(second_order.worker_id, order.worker_id)
        cell.stop_orders.clear()
        report_all_workers(cell, 16.5)
        evict_runs(cell, 16.5)
        self.assertEqual(cell.stop_orders, [])

    def test_stalled_run_on_a_worker_that_is_late_as_a_whole_is_moved_too(self):
        cell = make_test_cell(1, cpu_milli=64_000)
        orders = run_jobs(cell, 8, estimate_s=2.0)
        add_test_job(cell, "saves", "bulk", 0.1, checkpointing=True, estimate_s=60.0)
        plan(cell, 0.1)
        (saving_order,) = acknowledge_starts(cell, 0.1)
        saving = saving_order.run
        keys = [order.run.key for order in orders] + [saving.key]
        apply_worker_report(cell, "w0", 0.5, keys, checkpoint="c1")
        apply_worker_report(cell, "w0", 12.0, keys, checkpoint="c1")
        evict_runs(cell, 12.0)
        self.assertIn(saving, [order.run for order in cell.stop_orders])
        self.assertGreater(len(cell.stop_orders), 1)

    def test_worker_whose_runs_are_all_late_is_evicted_sooner(self):
        cell = make_test_cell(3)
        orders = run_jobs(cell, 12, estimate_s=2.0)
        slow = orders[0].worker_id
        late = [order for order in orders if order.worker_id == slow]
        for order in orders:
            if order.worker_id != slow:
                apply_worker_report(cell, order.worker_id, 2.0, ended=[])
        report_all_workers(cell, 5.0)
        for worker in cell.workers.values():
            if worker.id != slow:
                worker.last_on_time_end_s = 4.9
        evict_runs(cell, 5.0)
        self.assertGreaterEqual(len(late), 3)
        self.assertEqual({order.worker_id for order in cell.stop_orders}, {slow})

    def test_wide_step_with_a_bad_estimate_evicts_nothing(self):
        cell = make_test_cell(3)
        add_test_job(cell, "j1", "bulk", 0.1, count=30, estimate_s=1.0)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        report_all_workers(cell, 3.0)
        evict_runs(cell, 3.0)
        self.assertEqual(cell.stop_orders, [])

    def test_run_without_checkpoints_stalls_whatever_its_estimate(self):
        cell = make_test_cell(2)
        (order,) = run_jobs(cell, 1, estimate_s=60.0, checkpointing=True)
        report_all_workers(cell, 5.9)
        evict_runs(cell, 5.9)
        self.assertEqual(cell.stop_orders, [])
        report_all_workers(cell, 6.5)
        evict_runs(cell, 6.5)
        self.assertEqual([order.run for order in cell.stop_orders], [order.run])

    def test_run_that_makes_checkpoints_continues_however_late(self):
        cell = make_test_cell(2)
        (order,) = run_jobs(cell, 1, estimate_s=0.5, checkpointing=True)
        for second in range(1, 20):
            apply_worker_report(
                cell, order.worker_id, second, [order.run.key], checkpoint=f"c{second}"
            )
            evict_runs(cell, second)
        self.assertEqual(cell.stop_orders, [])


class QuarantineTest(unittest.TestCase):
    def test_failing_worker_is_quarantined_and_then_on_probation(self):
        cell = make_test_cell(3)
        worker = cell.workers["w0"]
        orders = run_jobs(cell, 3)
        for order in orders:
            record_failure(cell, worker, order.run, 1.0)
        self.assertFalse(is_schedulable(worker, 1.0))
        report_all_workers(cell, 9.0)
        worker.runs.clear()
        self.assertTrue(is_schedulable(worker, 9.0))
        self.assertTrue(worker.on_probation)
        record_success(cell, worker, orders[0].run, 9.1)
        self.assertFalse(worker.on_probation)

    def test_at_most_half_of_the_workers_are_quarantined(self):
        cell = make_test_cell(4)
        (order,) = run_jobs(cell, 1)
        for worker in cell.workers.values():
            for _ in range(4):
                record_failure(cell, worker, None, 1.0)
        quarantined = [
            worker
            for worker in cell.workers.values()
            if worker.quarantined_until_s > 1.0
        ]
        self.assertLessEqual(len(quarantined), 2)
        self.assertIsNotNone(order)

    def quarantine_again(self, cell, names, times):
        """Let workers fail after each of their quarantines; return when the last began.

        Each failure after a quarantine happens on probation.
        """
        now_s = 0.1
        for _ in range(times):
            for name in names:
                record_failure(cell, cell.workers[name], None, now_s)
                record_failure(cell, cell.workers[name], None, now_s)
            began_s = now_s
            now_s = max(cell.workers[name].quarantined_until_s for name in names)
        return began_s

    def test_step_does_not_wait_long_for_quarantined_workers_that_are_sound_again(self):
        for gang in (False, True):
            with self.subTest(gang=gang):
                cell = make_test_cell(4)
                began_s = self.quarantine_again(cell, ("w0", "w1"), 4)
                add_test_job(
                    cell, "j1", "advised", began_s, count=2, gang=gang, estimate_s=20.0
                )
                started_s = play(
                    cell,
                    began_s,
                    began_s + 25.0,
                    lambda job_id: 1.0,
                    approved_ids=("w0", "w1"),
                )
                self.assertLess(started_s.get("j1", math.inf) - began_s, 3.0)

    def test_quarantined_worker_gets_no_work_that_others_can_run(self):
        cell = make_test_cell(4)
        began_s = self.quarantine_again(cell, ("w0",), 4)
        job_ids = []

        def submit(now_s):
            job_ids.append(f"j{len(job_ids)}")
            add_test_job(cell, job_ids[-1], "bulk", now_s)

        started_s = play(cell, began_s, began_s + 10.0, lambda job_id: 1.0, submit)
        self.assertEqual(len(started_s), len(job_ids))
        self.assertEqual(cell.workers["w0"].runs, {})
        self.assertEqual(cell.workers["w0"].applied_end_sequence, 0)

    def test_busy_service_does_not_use_its_quarantined_worker(self):
        cell = make_test_cell(4)
        began_s = self.quarantine_again(cell, ("w0",), 4)
        resources = Resources(16_000, 10)
        for index in range(8):
            add_test_job(cell, f"j{index}", "bulk", began_s, resources=resources)
        started_s = play(cell, began_s, began_s + 10.0, lambda job_id: 60.0)
        self.assertEqual(len(started_s), 3)
        self.assertEqual(cell.workers["w0"].runs, {})

    def test_waiting_task_does_not_use_up_its_attempts_on_a_failing_worker(self):
        cell = make_test_cell(2)
        self.quarantine_again(cell, ("w0",), 3)
        now_s = cell.workers["w0"].last_fault_s
        add_test_job(cell, "j1", "advised", now_s, estimate_s=20.0)
        (step,) = cell.jobs["j1"].steps()
        step.evaluated_workers = {"w0", "w1"}
        step.approved_workers = {"w0": None}
        start_count = 0
        for tick in range(100):
            now_s += 0.05
            step.tickets = {"w0": ("t", now_s + 1.0)}
            ends = []
            for run in list(cell.workers["w0"].runs.values()):
                ends = [(tick + 1, run.task.key, run.number, "failed")]
            apply_worker_report(cell, "w0", now_s, ended=ends)
            plan(cell, now_s)
            start_count += len(acknowledge_starts(cell, now_s))
        self.assertEqual(start_count, 1)
        self.assertIn("j1", cell.jobs)

    def test_waiting_jobs_do_not_all_fail_on_a_failing_worker(self):
        cell = make_test_cell(4)
        began_s = self.quarantine_again(cell, ("w0",), 3)
        now_s = began_s
        for index in range(10):
            add_test_job(cell, f"j{index}", "advised", now_s, estimate_s=20.0)
            (step,) = cell.jobs[f"j{index}"].steps()
            step.evaluated_workers = set(cell.workers)
            step.approved_workers = {"w0": None}
        start_count = 0
        for tick in range(100):
            now_s += 0.05
            for job in cell.jobs.values():
                for step in job.steps():
                    step.tickets = {"w0": ("t", now_s + 1.0)}
            ends = [
                (tick * 100 + index, run.task.key, run.number, "failed")
                for index, run in enumerate(cell.workers["w0"].runs.values(), 1)
            ]
            apply_worker_report(cell, "w0", now_s, ended=ends)
            plan(cell, now_s)
            start_count += len(acknowledge_starts(cell, now_s))
        self.assertLessEqual(start_count, 3)

    def test_gang_does_not_wait_for_the_long_run_of_a_worker_on_probation(self):
        cell = make_test_cell(4)
        self.quarantine_again(cell, ("w0", "w1"), 1)
        now_s = cell.workers["w1"].quarantined_until_s + 0.1
        for name in ("w0", "w1"):
            add_test_job(cell, f"long{name}", "bulk", now_s, estimate_s=30.0)
        for name in ("w2", "w3"):
            cell.workers[name].draining = True
        play(cell, now_s, now_s + 0.1, lambda job_id: 30.0)
        for name in ("w2", "w3"):
            cell.workers[name].draining = False
        now_s += 0.1
        add_test_job(
            cell,
            "wide",
            "heavy",
            now_s,
            count=4,
            gang=True,
            max_per_worker=1,
            estimate_s=20.0,
            resources=Resources(4000, 10),
        )
        started_s = play(cell, now_s, now_s + 35.0, lambda job_id: 30.0)
        self.assertLess(started_s.get("wide", math.inf) - now_s, 3.0)
