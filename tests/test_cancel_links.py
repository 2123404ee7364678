"""Test that the runs of a cancelled job stop, however links were cut before.

A worker that was cut off for longer than its lease tells the end of a run later, when
another run of the task is at work. The tests guard against runs that go on after the
cancel of their job was acknowledged.
"""

import unittest

from bulrushspur_kernel.messages import Cancel, Outcome
from bulrushspur_scheduler.jobs import JobState, RunState
from bulrushspur_scheduler.leases import expire_leases
from bulrushspur_scheduler.planning import plan
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
)
from tests.test_late_submissions import StoringWriter
from tests.test_leader_requests import make_handler

LONG_AFTER_S = 30.0


class SecondRunTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cell = make_test_cell(2)

    def run_task_again(self, **fields):
        """Run a task on a worker that is cut off, then elsewhere; return both runs."""
        cell = self.cell
        self.job = add_test_job(cell, **fields)
        plan(cell, 0.1)
        first = acknowledge_starts(cell, 0.1)[0].run
        for name in cell.workers:
            running = [run.key for run in cell.workers[name].runs.values()]
            apply_worker_report(cell, name, 0.2, running)
        expire_leases(cell, LONG_AFTER_S)
        (other,) = {"w0", "w1"} - {first.worker_id}
        apply_worker_report(cell, other, LONG_AFTER_S)
        plan(cell, LONG_AFTER_S)
        orders = acknowledge_starts(cell, LONG_AFTER_S)
        second = next(o.run for o in orders if o.run.task is first.task)
        self.assertEqual(second.worker_id, other)
        return first, second

    def report_late_end(self, first):
        ended = [(1, first.task.key, first.number, "done")]
        apply_worker_report(self.cell, first.worker_id, LONG_AFTER_S + 1, ended=ended)
        self.assertTrue(first.task.done)

    async def cancel(self):
        handler = make_handler(self.cell, StoringWriter(self.cell))
        return await handler.answer(Cancel(1, "j1"))

    def list_stops(self):
        return [(order.key, order.number) for order in self.cell.stop_orders]

    async def test_second_run_of_a_done_task_is_stopped_when_its_job_is_cancelled(self):
        first, second = self.run_task_again(count=2)
        self.report_late_end(first)
        reply = await self.cancel()
        self.assertEqual((reply.outcome, reply.state), (Outcome.OK, "cancelled"))
        self.assertIs(second.state, RunState.STOPPING)
        self.assertIn(second.key, self.list_stops())

    async def test_second_run_is_stopped_when_its_completed_job_is_cancelled(self):
        first, second = self.run_task_again()
        self.report_late_end(first)
        self.assertIs(self.job.state, JobState.COMPLETED)
        reply = await self.cancel()
        self.assertEqual((reply.outcome, reply.state), (Outcome.OK, "completed"))
        self.assertIs(second.state, RunState.STOPPING)
        self.assertIn(second.key, self.list_stops())


if __name__ == "__main__":
    unittest.main()
