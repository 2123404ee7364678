"""Test that orders without an answer are expected in any incarnation of a worker.

The tests guard against runs that start elsewhere while a copy of their start may still
be carried out, by the worker that it was sent to or by its next incarnation.
"""

import asyncio
import dataclasses
import unittest

from bulrushspur_daemon.order_slots import OrderSlots
from bulrushspur_daemon.worker_orders import OrderTarget, WorkerOrders
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import StopOrder
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.leases import (
    awaits_confirmation,
    expire_leases,
    extend_lease,
    list_expired_workers,
    mark_incarnation_ended,
    max_hold_s,
)
from bulrushspur_scheduler.liveness import expire_unlisted_workers
from bulrushspur_scheduler.open_starts import (
    record_answered_lease,
    record_answered_start,
    record_sent_start,
)
from bulrushspur_scheduler.order_results import (
    StartResult,
    handle_start_result,
    handle_stop_result,
)
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.reports import MAX_REPEATED_STARTS
from tests.cell_fixtures import (
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
)

SENT_S = 1.0
START_LEASE_S = 2.0
NEXT_INCARNATION_MS = 2


class OpenStartTest(unittest.TestCase):
    """A cell with one worker, and a run whose start was sent and not answered."""

    def setUp(self):
        self.cell = make_test_cell(1)
        self.worker = self.cell.workers["w0"]
        add_test_job(self.cell)
        plan(self.cell, SENT_S)
        [order] = self.cell.start_orders
        self.run = order.run
        self.cell.start_orders = []
        self.send(SENT_S)
        self.delay_s = self.cell.timing_limits.max_order_delay_s

    def send(self, now_s, result=StartResult.UNANSWERED):
        """Send a copy of the start, and apply its result."""
        sent = record_sent_start(self.worker, self.run, now_s)
        extend_lease(self.cell, self.worker, now_s, START_LEASE_S)
        if result is not StartResult.UNANSWERED:
            record_answered_start(self.worker, sent)
        handle_start_result(self.cell, self.run, result, now_s)

    def report(self, now_s, *running, incarnation_start_ms=1):
        apply_worker_report(
            self.cell, "w0", now_s, running, incarnation_start_ms=incarnation_start_ms
        )

    def restart(self, now_s, *running):
        self.report(now_s, *running, incarnation_start_ms=NEXT_INCARNATION_MS)

    def is_released(self):
        return self.run not in self.run.task.runs

    def end_stop(self, now_s):
        """Acknowledge the stop, and report without the run."""
        [order] = self.cell.stop_orders
        self.cell.stop_orders = []
        handle_stop_result(self.cell, order, True, now_s)
        self.report(now_s + 0.1, incarnation_start_ms=self.worker.incarnation_start_ms)


class SilentWorkerTest(OpenStartTest):
    # The next incarnation may have carried the start out, with the longest lease.
    def test_run_with_an_open_start_outlives_the_lease_of_its_worker(self):
        expire_leases(self.cell, SENT_S + 10.0)
        self.assertFalse(self.is_released())
        until_s = SENT_S + max_hold_s(self.cell.timing_limits)
        expire_leases(self.cell, until_s)
        self.assertFalse(self.is_released())
        expire_leases(self.cell, until_s + 0.1)
        self.assertTrue(self.is_released())

    def test_later_renewal_may_have_extended_the_lease_of_the_next_incarnation(self):
        extend_lease(self.cell, self.worker, SENT_S + 1.0, 6.5)
        expire_leases(self.cell, SENT_S + max_hold_s(self.cell.timing_limits) + 0.1)
        self.assertFalse(self.is_released())

    def test_run_with_an_answered_start_ends_with_the_lease_of_its_worker(self):
        self.report(SENT_S + 0.1)
        self.cell.start_orders = []
        self.worker.open_starts.clear()
        expire_leases(self.cell, SENT_S + 10.0)
        self.assertTrue(self.is_released())

    def test_store_is_asked_when_the_bound_has_passed(self):
        until_s = SENT_S + max_hold_s(self.cell.timing_limits)
        self.assertFalse(awaits_confirmation(self.cell, until_s - 2.0, until_s - 1.0))
        self.assertTrue(awaits_confirmation(self.cell, until_s - 1.0, until_s + 0.1))

    # Guards against: a worker that is back under its id is taken for a new one.
    def test_worker_is_remembered_while_orders_to_it_are_open(self):
        self.run.task.runs.clear()
        self.worker.runs.clear()
        self.worker.listed = False
        late_s = SENT_S + max_hold_s(self.cell.timing_limits)
        self.assertEqual(list_expired_workers(self.cell, late_s, late_s), [])
        after_s = late_s + 0.1
        expired = list_expired_workers(self.cell, after_s, after_s)
        self.assertEqual(expired, [self.worker])


class ReportTest(OpenStartTest):
    def test_start_that_a_report_lacks_is_repeated_on_its_worker(self):
        self.report(SENT_S + 0.5)
        [order] = self.cell.start_orders
        self.assertIs(order.run, self.run)
        self.assertEqual(self.cell.stop_orders, [])
        self.assertIs(self.run.state, RunState.STARTING)

    def test_refused_copy_says_nothing_of_the_open_one(self):
        self.report(SENT_S + 0.5)
        self.send(SENT_S + 0.6, StartResult.NO_CAPACITY)
        self.assertFalse(self.is_released())
        self.assertIs(self.run.state, RunState.STOPPING)
        self.end_stop(SENT_S + 0.7)
        self.assertTrue(self.is_released())

    # A stop frees the task: the next incarnation may still carry the open copy out.
    def test_repetition_that_a_silent_worker_did_not_get_waits_for_its_report(self):
        for result in (StartResult.DROPPED, StartResult.NOT_SENT):
            self.report(SENT_S + 0.5)
            self.worker.last_unanswered_order_s = SENT_S + 0.6
            self.send(SENT_S + 0.6, result)
            self.assertIs(self.run.state, RunState.UNCONFIRMED)

    def test_refused_copy_ends_no_run_that_is_listed(self):
        self.report(SENT_S + 0.5, self.run.key)
        self.worker.open_starts.clear()
        self.send(SENT_S + 0.6, StartResult.STALE_RUN)
        self.assertFalse(self.is_released())

    def test_start_is_given_up_once_no_copy_can_be_carried_out(self):
        self.report(SENT_S + self.delay_s + 0.1)
        self.assertEqual(self.cell.start_orders, [])
        self.end_stop(SENT_S + self.delay_s + 0.2)
        self.assertTrue(self.is_released())

    # Its checkpoint is not known: the start may have been another leader's.
    def test_start_of_an_adopted_run_is_not_repeated(self):
        self.run.adopted = True
        self.report(SENT_S + 0.5)
        self.assertEqual(self.cell.start_orders, [])
        self.assertIs(self.run.state, RunState.STOPPING)

    def test_start_of_a_job_that_is_over_is_not_repeated(self):
        self.cell.jobs.clear()
        self.report(SENT_S + 0.5)
        self.assertEqual(self.cell.start_orders, [])
        self.assertIs(self.run.state, RunState.STOPPING)

    # Guards against: a start that no worker answers is repeated for ever.
    def test_start_is_repeated_a_few_times(self):
        now_s = SENT_S
        for _ in range(100):
            now_s += 0.5
            self.report(now_s)
            if self.cell.start_orders:
                self.cell.start_orders = []
                self.send(now_s + 0.1)
            if self.cell.stop_orders:
                self.end_stop(now_s + 0.1)
        self.assertEqual(self.run.repeated_count, MAX_REPEATED_STARTS)
        self.assertTrue(self.is_released())

    # Guards against: a member of a gang is sent to a domain that was evacuated since.
    def test_repeated_start_is_as_old_as_the_first_one(self):
        ordered_s = self.run.ordered_s
        self.report(SENT_S + 0.5)
        self.assertEqual(self.run.ordered_s, ordered_s)


class EndedWorkerTest(OpenStartTest):
    """The platform's list does not name the worker, which may come back."""

    def setUp(self):
        super().setUp()
        add_worker(self.cell, "w1")

    def receive_list(self, now_s, machines=None):
        apply_worker_report(self.cell, "w1", now_s)
        expire_unlisted_workers(self.cell, {"w1"}, now_s, 1e6, listed_machines=machines)

    def test_open_start_outlives_the_absence_from_the_list(self):
        self.receive_list(SENT_S + 2.0)
        self.assertTrue(self.worker.ended)
        self.assertFalse(self.is_released())
        self.receive_list(SENT_S + self.delay_s + 0.1)
        self.assertTrue(self.is_released())

    # The log tells which lost runs may have been started by a later incarnation.
    def test_lost_run_is_logged_with_its_open_start(self):
        mark_incarnation_ended(self.cell, self.worker, "", SENT_S + 2.0, is_final=True)
        [event] = [event for event in self.cell.events if event.name == "run_lost"]
        self.assertTrue(event.fields["open_start"])

    def test_answered_start_is_over(self):
        self.worker.open_starts.clear()
        self.receive_list(SENT_S + 2.0)
        self.assertTrue(self.is_released())

    # Guards against: tasks that wait for a worker that was removed for good.
    def test_open_start_ends_with_the_machine_of_its_worker(self):
        self.worker.entry = dataclasses.replace(self.worker.entry, machine="m0")
        self.receive_list(SENT_S + 2.0, {"m0", "m1"})
        self.assertFalse(self.is_released())
        self.receive_list(SENT_S + 3.0, {"m1"})
        self.assertTrue(self.is_released())

    def test_next_incarnation_on_its_machine_ends_all(self):
        mark_incarnation_ended(self.cell, self.worker, "", SENT_S + 2.0, is_final=True)
        self.assertTrue(self.is_released())


class RestartTest(OpenStartTest):
    # The repetition began the run, and the first copy is carried out after the restart.
    def test_run_whose_first_copy_is_open_is_not_lost_with_its_incarnation(self):
        self.send(SENT_S + 0.4, StartResult.STARTED)
        self.report(SENT_S + 0.5, self.run.key)
        self.restart(SENT_S + 1.0)
        self.assertFalse(self.is_released())
        self.assertEqual(self.cell.start_orders, [])
        self.end_stop(SENT_S + 1.1)
        self.assertTrue(self.is_released())
        # The former incarnation may have reported an end to a later leader.
        self.assertTrue(self.run.task.unreconciled)

    def test_run_whose_only_copy_was_answered_is_lost_with_its_incarnation(self):
        self.worker.open_starts.clear()
        self.send(SENT_S + 0.4, StartResult.STARTED)
        self.restart(SENT_S + 1.0)
        self.assertTrue(self.is_released())

    # The next incarnation knows of no end, and would begin the run again.
    def test_open_start_of_a_run_that_is_over_is_refused_after_a_restart(self):
        ends = [(1, *self.run.key, "done")]
        apply_worker_report(self.cell, "w0", SENT_S + 0.5, (), ends)
        self.restart(SENT_S + 1.0)
        [order] = self.cell.stop_orders
        self.assertEqual((order.key, order.number), self.run.key)

    # A late order lengthens the lease of all runs of the next incarnation.
    def test_next_incarnation_may_get_the_longest_lease_while_orders_are_open(self):
        restarted_s = SENT_S + 1.0
        self.restart(restarted_s, self.run.key)
        until_s = SENT_S + self.delay_s + 10.0
        expire_leases(self.cell, until_s)
        self.assertFalse(self.is_released())
        expire_leases(self.cell, until_s + 1.0)
        self.assertTrue(self.is_released())

    def test_next_incarnation_gets_no_more_if_all_orders_were_answered(self):
        record_answered_lease(self.worker, SENT_S)
        self.worker.open_starts.clear()
        self.restart(SENT_S + 1.0, self.run.key)
        expire_leases(self.cell, SENT_S + 12.0)
        self.assertTrue(self.is_released())


class RestartingClient:
    """A worker that acknowledges a stop, and whose restart is reported meanwhile."""

    def __init__(self, meanwhile=lambda: None):
        self.meanwhile = meanwhile

    async def stop_run(self, key, run_number, term):
        self.meanwhile()
        return True


class StopTest(OpenStartTest):
    def send_stop(self, client):
        """Send the stop of the run; return whether it counts as acknowledged."""
        target = OrderTarget(self.worker, client, OrderSlots(1))
        orders = WorkerOrders(
            self.cell, Metrics(), lambda: None, lambda: True, lambda worker_id: target
        )
        order = StopOrder("w0", self.run.task.key, self.run.number, self.run)
        asyncio.run(orders._send_stop(order))
        return self.run.stop_acknowledged_s > 0

    def test_stop_is_acknowledged(self):
        self.assertTrue(self.send_stop(RestartingClient()))

    # The next incarnation has not refused the run number.
    def test_stop_that_the_former_incarnation_answered_is_sent_again(self):
        client = RestartingClient(lambda: self.restart(SENT_S + 1.0))
        self.cell.stop_orders = []
        self.assertFalse(self.send_stop(client))
        self.assertNotEqual(self.cell.stop_orders, [])


if __name__ == "__main__":
    unittest.main()
