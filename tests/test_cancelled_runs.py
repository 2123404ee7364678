"""Test that no run of a task goes on once its task is done or its job cancelled.

A task may have a second run at work: its first one was given up while its worker was
silent, and is reported later as done. The tests guard against such a run that nobody
stops.
"""

import unittest

from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.leases import expire_leases
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import finish_job
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
    task_key,
)


def restart_tasks(cell):
    """Start tasks, and start them anew once their worker's lease is over.

    Return the name of the first worker, the second runs, and the time.
    """
    plan(cell, 1.0)
    (silent,) = {order.worker_id for order in acknowledge_starts(cell, 1.0)}
    now_s = 2.0 + cell.timing_limits.lease_s
    for name in cell.workers:
        if name != silent:
            apply_worker_report(cell, name, now_s)
    expire_leases(cell, now_s)
    plan(cell, now_s)
    return silent, [order.run for order in acknowledge_starts(cell, now_s)], now_s


class SecondRunTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_test_cell(2)
        self.job = add_test_job(self.cell, count=2)
        self.silent, self.runs, now_s = restart_tasks(self.cell)
        # The worker is back; its run of the first task had ended in time.
        ended = [(1, task_key(), 1, "done"), (2, task_key(index=1), 1, "lapsed")]
        apply_worker_report(self.cell, self.silent, now_s + 1.0, ended=ended)

    def list_stopped(self):
        return [(order.key.index, order.number) for order in self.cell.stop_orders]

    # Guards against: the second run of a done task works on to its end.
    def test_second_run_of_a_done_task_is_stopped(self):
        self.assertEqual(len(self.runs), 2)
        self.assertEqual(self.list_stopped(), [(0, 2)])

    # Guards against: the second run of a gang goes on, also after a cancel.
    def test_second_run_of_a_done_gang_is_stopped(self):
        cell = make_test_cell(2)
        add_test_job(cell, count=2, gang=True)
        silent, runs, now_s = restart_tasks(cell)
        self.assertEqual({run.number for run in runs}, {2})
        # The end of one member stands for all of its run.
        ended = [(1, task_key(), 1, "done")]
        apply_worker_report(cell, silent, now_s + 1.0, ended=ended)
        stopped = [(order.key.index, order.number) for order in cell.stop_orders]
        self.assertEqual(stopped, [(0, 2), (1, 2)])

    # Guards against: members of a done gang that are reported later are stopped.
    def test_other_members_of_the_run_that_is_done_are_not_stopped(self):
        cell = make_test_cell(1)
        add_test_job(cell, count=2, gang=True)
        plan(cell, 1.0)
        acknowledge_starts(cell, 1.0)
        running = [(task_key(index=1), 1)]
        ended = [(1, task_key(), 1, "done")]
        apply_worker_report(cell, "w0", 2.0, running, ended, request_sent_s=0.5)
        self.assertEqual(cell.stop_orders, [])

    # Guards against: a run of a cancelled job goes on, as its task is done.
    def test_all_runs_of_a_cancelled_job_are_stopped(self):
        finish_job(self.cell, self.job, JobState.CANCELLED, 20.0)
        self.assertEqual(self.list_stopped(), [(0, 2), (1, 2)])
