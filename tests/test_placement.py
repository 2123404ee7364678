"""Test which workers tasks are placed on, and when tasks have to wait.

The tests guard against overcommitted workers, exceeded caps of accounts, gangs that
start in part, gangs that starve behind narrow work, and tasks that interfere.
"""

import random
import unittest

from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.placement import choose_worker, make_worker_chooser
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.runs import start_run
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    report_all_workers,
)


def end_run(cell, order, now_s):
    """Report one run as done and the other runs of its worker as running."""
    worker = cell.workers[order.worker_id]
    key, number = order.run.key
    ends = [(worker.applied_end_sequence + 1, key, number, "done")]
    running = [run.key for run in worker.runs.values() if run.key != order.run.key]
    apply_worker_report(cell, order.worker_id, now_s, running, ends)


class PlacementTest(unittest.TestCase):
    def test_no_worker_is_overcommitted(self):
        cell = make_test_cell(2)
        for index in range(40):
            add_test_job(cell, f"j{index}", "bulk", resources=Resources(3000, 100))
        plan(cell, 0.1)
        self.assertEqual(len(cell.start_orders), 10)
        for worker in cell.workers.values():
            self.assertGreaterEqual(worker.free.cpu_milli, 0)

    def test_memory_limits_placement_like_cpu(self):
        cell = make_test_cell(1)
        add_test_job(cell, count=5, resources=Resources(100, 10_000))
        plan(cell, 0.1)
        self.assertEqual(len(cell.start_orders), 3)

    def test_account_cap_is_enforced_and_freed_by_ended_runs(self):
        cap = Resources(cpu_milli=4000)
        cell = make_test_cell(2, accounts=(Account("team", ("k",), 20.0, cap),))
        add_test_job(cell, count=10)
        plan(cell, 0.1)
        orders = acknowledge_starts(cell, 0.1)
        self.assertEqual(len(orders), 4)
        end_run(cell, orders[0], 0.5)
        plan(cell, 0.5)
        self.assertEqual(len(cell.start_orders), 1)

    def test_required_label_restricts_workers(self):
        cell = make_test_cell(2)
        add_worker(cell, "gpu", labels=("b", "r2"))
        add_test_job(cell, count=3, required_label="b")
        plan(cell, 0.1)
        self.assertEqual({order.worker_id for order in cell.start_orders}, {"gpu"})

    def test_max_per_worker_limits_tasks_of_a_step(self):
        cell = make_test_cell(3)
        add_test_job(cell, count=10, max_per_worker=2)
        plan(cell, 0.1)
        self.assertEqual(len(cell.start_orders), 6)

    def test_gang_starts_as_a_whole_or_not_at_all(self):
        cell = make_test_cell(2)
        add_test_job(cell, "j1", count=5, gang=True, resources=Resources(8000, 10))
        plan(cell, 0.1)
        self.assertEqual(cell.start_orders, [])
        add_worker(cell, "w9", now_s=0.2)
        report_all_workers(cell, 0.2)
        plan(cell, 0.2)
        self.assertEqual(len(cell.start_orders), 5)
        self.assertEqual({order.run.number for order in cell.start_orders}, {1})

    def test_gang_with_same_rack_uses_one_rack(self):
        cell = make_test_cell(0)
        for index, rack in enumerate(("r1", "r1", "r2", "r2", "r2")):
            add_worker(cell, f"w{index}", labels=("a", rack))
        add_test_job(
            cell, count=6, gang=True, same_rack=True, resources=Resources(8000, 10)
        )
        plan(cell, 0.1)
        racks = {cell.workers[order.worker_id].rack for order in cell.start_orders}
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
            end_run(cell, order, now_s)
            plan(cell, now_s)
            now_s += 0.1
        jobs = {order.run.task.key.job for order in cell.start_orders}
        self.assertEqual(jobs, {"wide"})

    def test_filling_tasks_do_not_share_workers_with_latency_targets(self):
        cell = make_test_cell(1)
        add_test_job(cell, "serving", target_latency_s=0.1, long_running=True)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        add_test_job(cell, "filler", "bulk", fills=True)
        plan(cell, 0.2)
        self.assertEqual(cell.start_orders, [])

    def test_long_running_task_is_restarted_when_done(self):
        cell = make_test_cell(1)
        job = add_test_job(cell, long_running=True)
        plan(cell, 0.1)
        (order,) = acknowledge_starts(cell, 0.1)
        key, number = order.run.key
        apply_worker_report(cell, "w0", 1.0, ended=[(1, key, number, "done")])
        plan(cell, 1.0)
        self.assertEqual(len(cell.start_orders), 1)
        self.assertEqual(job.state.value, "running")

    def test_gang_past_its_deadline_still_starts_eventually(self):
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
            end_run(cell, running.pop(0), now_s)
            plan(cell, now_s)
            running += acknowledge_starts(cell, now_s)
            now_s += 0.1
        self.assertIn("wide", cell.finished_jobs)


class WorkerChooserTest(unittest.TestCase):
    def test_chooses_like_a_search_of_all_workers_for_each_task(self):
        rng = random.Random(5)
        for _ in range(50):
            cell = make_test_cell(0)
            for index in range(12):
                labels = ("a", rng.choice(("r1", "r2")))
                add_worker(cell, f"w{index}", rng.choice((8000, 16_000)), labels=labels)
            for worker in cell.workers.values():
                worker.speed = rng.choice((0.8, 1.0))
                worker.failure_score = rng.choice((0.0, 0.0, 2.0))
            add_test_job(
                cell,
                count=30,
                resources=Resources(rng.choice((1000, 3000)), 100),
                preferred_rack=rng.choice(("", "r1")),
                max_per_worker=rng.choice((0, 2)),
            )
            step = next(iter(cell.waiting_steps.values()))
            workers = list(cell.workers.values())
            choose = make_worker_chooser(step, workers)
            for task in step.tasks:
                if rng.random() < 0.2:
                    task.failed_worker_ids.add(rng.choice(workers).id)
                expected = choose_worker(step, task, workers)
                worker = choose(task)
                self.assertIs(worker, expected)
                if worker is None:
                    break
                start_run(cell, task, worker, 1, 0.1)
