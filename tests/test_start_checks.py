"""Test that a start that has waited is checked again before it is sent.

The tests guard against starts of work that nobody wants any more, or on a worker that
must not get it any more, after the orders have waited behind a worker that hangs.
"""

import asyncio
import dataclasses
import unittest

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.order_slots import OrderSlots
from bulrushspur_daemon.worker_orders import OrderTarget, WorkerOrders
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.config import Account, make_config
from bulrushspur_scheduler.evacuation import MAX_GANG_ORDER_AGE_S
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.order_results import StartResult
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import finish_job, mark_task_done
from bulrushspur_scheduler.reports import WorkerReport, handle_worker_restart
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.start_checks import (
    find_misplaced_reason,
    find_obsolete_reason,
)
from tests.cell_fixtures import (
    QUEUES,
    add_test_job,
    apply_worker_report,
    make_test_cell,
    task_key,
)

ANSWER_S = 0.02


class FakeClient:
    """Answers each order after a while; a hanging one answers no start."""

    def __init__(self):
        self.started, self.stopped = [], []
        self.hangs = False

    async def start_run(self, key, number, *rest):
        await asyncio.sleep(ANSWER_S)
        if self.hangs:
            return StartResult.UNANSWERED, None
        self.started.append((key, number))
        return StartResult.STARTED, None

    async def stop_run(self, key, number, term):
        self.stopped.append((key, number))
        return True


class SendTest(unittest.IsolatedAsyncioTestCase):
    def make_orders(self, count=30, has_authority=lambda: True, **fields):
        """Plan a job of many tasks on one worker that takes three orders at a time."""
        now_s = monotonic_s()
        self.cell = make_test_cell(1, cpu_milli=100_000)
        apply_worker_report(self.cell, "w0", now_s)
        self.job = add_test_job(
            self.cell, now_s=now_s, count=count, resources=Resources(100, 10), **fields
        )
        plan(self.cell, now_s)
        self.assertEqual(len(self.cell.start_orders), count)
        worker, self.client = self.cell.workers["w0"], FakeClient()
        target = OrderTarget(worker, self.client, OrderSlots(3))
        return WorkerOrders(
            self.cell, Metrics(), lambda: None, has_authority, lambda _: target
        )

    async def send_and_wait(self, orders):
        orders.send_all()
        while orders.tasks:
            await asyncio.wait(list(orders.tasks))

    # Guards against: tasks of a cancelled job start seconds after the acknowledgement.
    async def test_waiting_starts_of_a_cancelled_job_are_not_sent(self):
        orders = self.make_orders()
        orders.send_all()
        await asyncio.sleep(ANSWER_S / 2)
        finish_job(self.cell, self.job, JobState.CANCELLED, monotonic_s())
        await self.send_and_wait(orders)
        self.assertEqual(len(self.client.started), 3)
        # The runs that were never ordered are released, and need no stop.
        self.assertEqual(set(self.client.stopped), set(self.client.started))
        self.assertEqual(len(self.cell.workers["w0"].runs), 3)

    # Guards against: orders wait one by one for a worker that answers none.
    async def test_starts_behind_an_unanswered_one_are_planned_again(self):
        orders = self.make_orders()
        self.client.hangs = True
        await self.send_and_wait(orders)
        self.assertEqual(len(self.cell.workers["w0"].runs), 3)
        self.assertIn(next(self.job.steps()).key, self.cell.waiting_steps)

    # Guards against: a leader that wakes from a freeze sends what it had decided.
    async def test_waiting_starts_are_not_sent_without_authority(self):
        may_send = [True]
        orders = self.make_orders(has_authority=lambda: may_send[0])
        orders.send_all()
        await asyncio.sleep(ANSWER_S / 2)
        may_send[0] = False
        await self.send_and_wait(orders)
        self.assertEqual(len(self.client.started), 3)


class ReasonTest(unittest.TestCase):
    def order(self, **fields):
        """Plan a job on one worker; return the cell, the worker and the first run."""
        accounts = (Account("team", ("k",), 20.0, Resources(8000)),)
        cell = make_test_cell(1, accounts=accounts)
        apply_worker_report(cell, "w0", 1.0)
        add_test_job(cell, now_s=1.0, **fields)
        plan(cell, 1.0)
        worker, run = cell.workers["w0"], cell.start_orders[0].run
        self.assertEqual(self.reason(cell, worker, run, 1.5), "")
        return cell, worker, run

    def reason(self, cell, worker, run, now_s=2.0):
        return find_obsolete_reason(cell, run) or find_misplaced_reason(
            cell, worker, run, now_s
        )

    # Guards against: a task starts on a worker that is known to drain.
    def test_worker_that_drains_gets_none(self):
        cell, worker, run = self.order()
        worker.draining = True
        self.assertEqual(self.reason(cell, worker, run), "worker not available")

    def test_worker_without_a_recent_report_gets_none(self):
        cell, worker, run = self.order()
        self.assertEqual(self.reason(cell, worker, run, 4.0), "worker not available")

    # Guards against: an order reaches the next incarnation, which knows nothing of it.
    def test_worker_that_has_restarted_gets_none(self):
        cell, worker, run = self.order()
        handle_worker_restart(cell, worker, WorkerReport(1.2, 5, 2, [], []), 1.2)
        self.assertEqual(self.reason(cell, worker, run), "unconfirmed")

    # Guards against: a start brings a worker over the capacity that is left.
    def test_worker_that_has_shrunk_gets_none(self):
        cell, worker, run = self.order()
        worker.free.cpu_milli -= 15_500
        self.assertEqual(self.reason(cell, worker, run), "worker full")

    # Guards against: a start brings an account over a cap that was lowered meanwhile.
    def test_account_over_its_cap_gets_none(self):
        cell, worker, run = self.order(count=4)
        account = Account("team", ("k",), 20.0, Resources(3000))
        cell.config = make_config(2, QUEUES, accounts=(account,))
        self.assertEqual(self.reason(cell, worker, run), "account over its cap")

    def test_worker_of_another_service_gets_none(self):
        cell, worker, run = self.order()
        worker.entry = dataclasses.replace(worker.entry, service="other")
        self.assertEqual(self.reason(cell, worker, run), "worker of another service")

    # Guards against: the next incarnation of a worker is of another kind.
    def test_worker_without_the_label_gets_none(self):
        cell, worker, run = self.order(required_label="a")
        worker.entry = dataclasses.replace(worker.entry, labels=("b", "r1"))
        self.assertEqual(self.reason(cell, worker, run), "worker without the label")

    # Guards against: a member of a gang starts after another one has ended done.
    def test_gang_that_is_done_gets_none(self):
        cell, worker, run = self.order(count=2, gang=True)
        mark_task_done(cell, run.task.step.tasks[1], 1.2)
        self.assertEqual(self.reason(cell, worker, run), "done")

    # Guards against: a task starts beside a run that another worker carried out late.
    def test_task_with_an_orphan_gets_none(self):
        cell, worker, run = self.order()
        apply_worker_report(cell, "w0", 1.2, [(task_key(), 99)])
        self.assertEqual(self.reason(cell, worker, run), "another run is at work")

    def test_gang_that_is_partly_ordered_is_completed(self):
        cell, worker, run = self.order(count=2, gang=True)
        worker.draining = True
        self.assertEqual(self.reason(cell, worker, run, 1.2), "")
        late_s = 1.1 + MAX_GANG_ORDER_AGE_S
        self.assertNotEqual(self.reason(cell, worker, run, late_s), "")
