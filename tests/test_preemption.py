"""Test preemption: runs that checkpoint are stopped for a gang that has to start now.

The tests guard against preemption that is not needed or not enough, and against victims
that lose their work or miss their own objective.
"""

import math
import unittest

from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.pools import make_pool
from bulrushspur_scheduler.preemption import preempt
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.runs import stop_run
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
    report_all_workers,
)


def make_full_cell(**fields):
    """Make a cell whose two workers are full of long narrow runs started at 0.1 s."""
    cell = make_test_cell(2)
    spec = {"count": 8, "estimate_s": 8.0, "checkpointing": True}
    spec.update(fields)
    add_test_job(cell, "b", "bulk", 0.1, resources=Resources(4000, 10), **spec)
    plan(cell, 0.1)
    acknowledge_starts(cell, 0.1)
    for second in range(1, 4):
        for name, worker in cell.workers.items():
            keys = [run.key for run in worker.runs.values()]
            apply_worker_report(cell, name, second, keys, checkpoint=f"c{second}")
    return cell


def add_gang(cell, now_s, estimate_s=1.0):
    """Add a gang that needs half of each worker, with an objective of 3 s."""
    return add_test_job(
        cell,
        "g",
        "heavy",
        now_s,
        count=2,
        gang=True,
        max_per_worker=1,
        estimate_s=estimate_s,
        resources=Resources(8000, 10),
    )


def stopped_runs(cell):
    return [order.run for order in cell.stop_orders]


class PreemptionTest(unittest.TestCase):
    def test_gang_that_must_start_now_preempts_and_victims_keep_checkpoints(self):
        cell = make_full_cell()
        add_gang(cell, 2.0)
        report_all_workers(cell, 3.0)
        plan(cell, 3.0)
        runs = stopped_runs(cell)
        self.assertEqual(len(runs), 4)
        self.assertEqual({run.stop_reason for run in runs}, {"preempted"})
        for name, worker in cell.workers.items():
            ended = [run for run in worker.runs.values() if run in runs]
            running = [run.key for run in worker.runs.values() if run not in runs]
            ends = [(i + 1, *run.key, "stopped") for i, run in enumerate(ended)]
            apply_worker_report(cell, name, 3.4, running, ends, checkpoint="c3")
        cell.stop_orders.clear()
        plan(cell, 3.4)
        self.assertEqual({order.run.task.key.job for order in cell.start_orders}, {"g"})
        self.assertEqual(len(cell.start_orders), 2)
        startable = cell.jobs["b"].occurrences[0].steps[0].startable_tasks()
        self.assertEqual({task.checkpoint for task in startable}, {"c3"})

    def test_gang_with_time_left_does_not_preempt(self):
        cell = make_full_cell()
        add_gang(cell, 2.9, estimate_s=8.0)
        report_all_workers(cell, 3.0)
        plan(cell, 3.0)
        self.assertEqual(stopped_runs(cell), [])

    def test_runs_without_checkpoints_are_not_preempted(self):
        cell = make_full_cell(checkpointing=False)
        add_gang(cell, 2.0)
        report_all_workers(cell, 3.0)
        plan(cell, 3.0)
        self.assertEqual(stopped_runs(cell), [])

    def test_runs_that_would_miss_their_objective_are_not_preempted(self):
        cell = make_full_cell()
        cell.jobs["b"].objective_s = 11.0
        add_gang(cell, 2.0)
        report_all_workers(cell, 3.0)
        plan(cell, 3.0)
        self.assertEqual(stopped_runs(cell), [])

    def test_nothing_is_preempted_unless_the_whole_gang_fits(self):
        cell = make_full_cell()
        add_gang(cell, 2.0)
        for run in cell.workers["w1"].runs.values():
            run.task.preemption_count = 2
        report_all_workers(cell, 3.0)
        plan(cell, 3.0)
        self.assertEqual(stopped_runs(cell), [])

    def test_room_of_a_stopping_run_counts_without_a_later_victim(self):
        for stopping_index in (0, 3):
            cell = make_full_cell()
            add_gang(cell, 2.0)
            for worker in cell.workers.values():
                runs = list(worker.runs.values())
                for run in runs:
                    run.task.preemption_count = 2
                # One preemptible run and one that stops make a slot together.
                runs[1].task.preemption_count = 0
                stop_run(cell, runs[stopping_index], "overdue")
            cell.stop_orders.clear()
            report_all_workers(cell, 3.0)
            plan(cell, 3.0)
            self.assertEqual(len(stopped_runs(cell)), 2, stopping_index)

    def test_workers_reserved_by_preemption_count_as_reserved(self):
        cell = make_full_cell()
        add_gang(cell, 2.0)
        report_all_workers(cell, 3.0)
        pool = make_pool(cell, "svc", 3.0)
        step = cell.jobs["g"].occurrences[0].steps[0]
        self.assertTrue(preempt(cell, step, pool, math.inf, 3.0))
        self.assertEqual(pool.reserved_count, 2)


if __name__ == "__main__":
    unittest.main()
