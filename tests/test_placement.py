"""Tests of where tasks are placed, and when they are not."""

import unittest

from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    report_all_workers,
)


def end_one(cell, order, now_s):
    """Let one run end well, and its worker list the others."""
    worker = cell.workers[order.worker]
    key, number = order.run.key
    ends = [(worker.applied_end_sequence + 1, key, number, "done")]
    left = [run.key for run in worker.runs.values() if run.key != order.run.key]
    apply_worker_report(cell, order.worker, now_s, left, ends)


class PlacementTest(unittest.TestCase):
    def test_no_worker_is_overcommitted(self):
        cell = make_test_cell(2)
        for index in range(40):
            add_test_job(cell, f"j{index}", "bulk", resources=Resources(3000, 100))
        plan(cell, 0.1)
        self.assertEqual(len(cell.start_orders), 10)
        for worker in cell.workers.values():
            self.assertGreaterEqual(worker.free.cpu_milli, 0)

    def test_memory_counts_like_processor(self):
        cell = make_test_cell(1)
        add_test_job(cell, count=5, resources=Resources(100, 10_000))
        plan(cell, 0.1)
        self.assertEqual(len(cell.start_orders), 3)

    def test_cap_of_account_holds_and_frees(self):
        cap = Resources(cpu_milli=4000)
        cell = make_test_cell(2, accounts=(Account("team", ("k",), 20.0, cap),))
        add_test_job(cell, count=10)
        plan(cell, 0.1)
        orders = acknowledge_starts(cell, 0.1)
        self.assertEqual(len(orders), 4)
        end_one(cell, orders[0], 0.5)
        plan(cell, 0.5)
        self.assertEqual(len(cell.start_orders), 1)

    def test_required_label(self):
        cell = make_test_cell(2)
        add_worker(cell, "gpu", labels=("b", "r2"))
        add_test_job(cell, count=3, required_label="b")
        plan(cell, 0.1)
        self.assertEqual({one.worker for one in cell.start_orders}, {"gpu"})

    def test_most_tasks_of_a_step_on_one_worker(self):
        cell = make_test_cell(3)
        add_test_job(cell, count=10, max_per_worker=2)
        plan(cell, 0.1)
        self.assertEqual(len(cell.start_orders), 6)

    def test_gang_starts_whole_or_not_at_all(self):
        cell = make_test_cell(2)
        add_test_job(cell, "j1", count=5, gang=True, resources=Resources(8000, 10))
        plan(cell, 0.1)
        self.assertEqual(cell.start_orders, [])
        add_worker(cell, "w9", now_s=0.2)
        report_all_workers(cell, 0.2)
        plan(cell, 0.2)
        self.assertEqual(len(cell.start_orders), 5)
        self.assertEqual({one.run.number for one in cell.start_orders}, {1})

    def test_gang_on_one_rack(self):
        cell = make_test_cell(0)
        for index, rack in enumerate(("r1", "r1", "r2", "r2", "r2")):
            add_worker(cell, f"w{index}", labels=("a", rack))
        add_test_job(
            cell, count=6, gang=True, same_rack=True, resources=Resources(8000, 10)
        )
        plan(cell, 0.1)
        racks = {cell.workers[one.worker].rack for one in cell.start_orders}
        self.assertEqual(racks, {"r2"})

    def test_wide_gang_is_not_starved_by_narrow_work(self):
        cell = make_test_cell(2)
        add_test_job(cell, "n0", "bulk", count=8, resources=Resources(4000, 10))
        plan(cell, 0.1)
        running = acknowledge_starts(cell, 0.1)
        add_test_job(cell, "wide", count=4, gang=True, resources=Resources(8000, 10))
        add_test_job(cell, "n1", "bulk", count=20, resources=Resources(4000, 10))
        now_s = 0.2
        for order in running:
            end_one(cell, order, now_s)
            plan(cell, now_s)
            now_s += 0.1
        jobs = {one.run.task.key.job for one in cell.start_orders}
        self.assertEqual(jobs, {"wide"})

    def test_tasks_that_fill_stay_away_from_those_with_a_target(self):
        cell = make_test_cell(1)
        add_test_job(cell, "serving", target_latency_s=0.1, long_running=True)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        add_test_job(cell, "filler", "bulk", fills=True)
        plan(cell, 0.2)
        self.assertEqual(cell.start_orders, [])

    def test_task_that_lasts_is_started_again_however_it_ends(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, long_running=True)
        plan(cell, 0.1)
        (order,) = acknowledge_starts(cell, 0.1)
        key, number = order.run.key
        apply_worker_report(cell, "w0", 1.0, ended=[(1, key, number, "done")])
        plan(cell, 1.0)
        self.assertEqual(len(cell.start_orders), 1)
        self.assertEqual(job.state.value, "running")

    def test_gang_that_is_long_late_still_gets_workers_in_the_end(self):
        cell = make_test_cell(2)
        add_test_job(cell, "wide", count=4, gang=True, resources=Resources(8000, 10))
        add_test_job(cell, "n0", "bulk", 500.0, count=8, resources=Resources(4000, 10))
        add_test_job(cell, "n1", "bulk", 500.0, count=4, resources=Resources(4000, 10))
        report_all_workers(cell, 500.1)
        plan(cell, 500.1)
        running = acknowledge_starts(cell, 500.1)
        now_s = 501.0
        for _ in range(60):
            if not running:
                break
            end_one(cell, running.pop(0), now_s)
            plan(cell, now_s)
            running += acknowledge_starts(cell, now_s)
            now_s += 0.1
        self.assertIn("wide", cell.finished_jobs)
