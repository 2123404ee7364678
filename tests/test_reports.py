"""Test how worker reports and order results change the cell.

The tests guard against freeing resources or restarting a task while its run may still
be running, and against counting one end twice. Orders stay unanswered, workers restart,
leases expire and gang members fail.
"""

import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.crash_causes import SURVIVAL_S
from bulrushspur_scheduler.crashes import COUNT_DELAY_S
from bulrushspur_scheduler.failed_runs import FailedRun
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.leases import expire_leases, extend_lease
from bulrushspur_scheduler.order_results import (
    StartResult,
    handle_start_result,
    handle_stop_result,
)
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.suspects import judge_suspects
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
    plan_and_store,
    report_all_workers,
)


class ReportsTest(unittest.TestCase):
    def start_job(self, workers=1, **fields):
        self.cell = make_test_cell(workers)
        self.job = add_test_job(self.cell, now_s=0.1, **fields)
        plan(self.cell, 0.1)
        return self.cell.start_orders

    def test_unanswered_start_frees_resources_only_with_proof(self):
        (order,) = self.start_job()
        worker = self.cell.workers["w0"]
        handle_start_result(self.cell, order.run, StartResult.UNANSWERED, 0.7)
        apply_worker_report(self.cell, "w0", 0.8)
        self.assertEqual(worker.free.cpu_milli, 15_000)
        (stop,) = self.cell.stop_orders
        handle_stop_result(self.cell, stop, True, 0.9)
        apply_worker_report(self.cell, "w0", 1.0, request_sent_s=0.85)
        self.assertEqual(worker.free.cpu_milli, 15_000)
        apply_worker_report(self.cell, "w0", 1.1, request_sent_s=0.95)
        self.assertEqual(worker.free.cpu_milli, 16_000)

    def test_unanswered_start_that_is_reported_is_running(self):
        (order,) = self.start_job()
        handle_start_result(self.cell, order.run, StartResult.UNANSWERED, 0.7)
        apply_worker_report(self.cell, "w0", 0.8, [order.run.key])
        self.assertIs(order.run.state, RunState.RUNNING)

    def test_order_in_transit_may_reach_the_next_incarnation(self):
        (order,) = self.start_job(workers=2)
        self.cell.start_orders.clear()
        name = order.worker_id
        apply_worker_report(self.cell, name, 0.2, incarnation_start_ms=2)
        plan(self.cell, 0.2)
        self.assertEqual(self.cell.start_orders, [])
        self.assertEqual(len(self.cell.stop_orders), 1)
        apply_worker_report(
            self.cell, name, 0.3, [order.run.key], incarnation_start_ms=2
        )
        self.assertIn(order.run.key, self.cell.workers[name].runs)

    def test_run_of_an_earlier_incarnation_is_lost_at_once(self):
        self.start_job(workers=2)
        (order,) = acknowledge_starts(self.cell, 0.2)
        report_all_workers(self.cell, 0.2 + SURVIVAL_S)
        apply_worker_report(self.cell, order.worker_id, 1.5, incarnation_start_ms=2)
        report_all_workers(self.cell, 1.5)
        self.assertEqual(order.run.task.runs, [])
        # The worker may have reported its end to a later term before it restarted.
        takeover.reconcile(self.cell, 1.49)
        plan_and_store(self.cell, 1.5)
        self.assertEqual(self.cell.start_orders, [])
        takeover.reconcile(self.cell, 1.51)
        plan_and_store(self.cell, 1.52)
        self.assertEqual(len(self.cell.start_orders), 1)

    def test_run_that_had_just_started_waits_until_its_crash_is_counted(self):
        self.start_job(workers=2)
        (order,) = acknowledge_starts(self.cell, 0.2)
        apply_worker_report(self.cell, order.worker_id, 0.5, incarnation_start_ms=2)
        for now_s in (0.6, COUNT_DELAY_S - 0.05, COUNT_DELAY_S + 0.05):
            report_all_workers(self.cell, now_s)
            judge_suspects(self.cell, now_s)
            takeover.reconcile(self.cell, now_s)
            plan_and_store(self.cell, now_s)
            started = len(self.cell.start_orders)
            self.assertEqual(started, int(now_s > COUNT_DELAY_S))

    def test_lease_expires_only_by_the_slowest_possible_clock(self):
        self.start_job(workers=1)
        (order,) = acknowledge_starts(self.cell, 0.2)
        worker = self.cell.workers["w0"]
        worker.lease_until_ms = 0
        extend_lease(self.cell, worker, 0.2, 4.0)
        expire_leases(self.cell, 4.25)
        self.assertIn(order.run.key, worker.runs)
        expire_leases(self.cell, 4.5)
        self.assertEqual(worker.runs, {})

    def test_failed_task_is_retried_elsewhere_up_to_max_attempts(self):
        self.start_job(workers=3)
        worker_ids = set()
        for attempt in range(3):
            now_s = 0.2 + attempt
            (order,) = acknowledge_starts(self.cell, now_s)
            worker_ids.add(order.worker_id)
            key, number = order.run.key
            worker = self.cell.workers[order.worker_id]
            ends = [(worker.applied_end_sequence + 1, key, number, "failed")]
            apply_worker_report(self.cell, order.worker_id, now_s + 0.5, ended=ends)
            report_all_workers(self.cell, now_s + 0.5)
            plan(self.cell, now_s + 0.5)
        self.assertEqual(len(worker_ids), 3)
        self.assertEqual(self.job.state.value, "failed")
        self.assertEqual(self.cell.start_orders, [])

    def test_end_reported_twice_counts_once(self):
        self.start_job()
        (order,) = acknowledge_starts(self.cell, 0.2)
        key, number = order.run.key
        for now_s in (0.5, 0.6):
            apply_worker_report(
                self.cell, "w0", now_s, ended=[(1, key, number, "failed")]
            )
        (run,) = self.job.occurrences[0].steps[0].tasks[0].failed_runs.values()
        self.assertEqual(run, FailedRun(1, "w0", 1, self.cell.fencing_token))

    def test_done_gang_member_completes_all_tasks(self):
        self.start_job(gang=True, count=3)
        orders = acknowledge_starts(self.cell, 0.2)
        key, number = orders[0].run.key
        apply_worker_report(self.cell, "w0", 1.0, ended=[(1, key, number, "done")])
        self.assertEqual(self.job.state.value, "completed")
        self.assertEqual(self.cell.workers["w0"].runs, {})

    def test_gang_that_lost_a_member_restarts_as_a_whole(self):
        self.start_job(workers=2, gang=True, count=2, max_per_worker=1)
        orders = acknowledge_starts(self.cell, 0.2)
        key, number = orders[0].run.key
        apply_worker_report(
            self.cell, orders[0].worker_id, 1.0, ended=[(1, key, number, "failed")]
        )
        (stop,) = self.cell.stop_orders
        plan(self.cell, 1.0)
        self.assertEqual(self.cell.start_orders, [])
        apply_worker_report(
            self.cell,
            stop.worker_id,
            1.1,
            ended=[(1, stop.key, stop.number, "stopped")],
        )
        report_all_workers(self.cell, 1.1)
        plan(self.cell, 1.1)
        self.assertEqual({order.run.number for order in self.cell.start_orders}, {2})
        self.assertEqual(len(self.cell.start_orders), 2)

    def test_worker_with_an_unanswered_order_gets_no_more_until_it_reports(self):
        (order,) = self.start_job(workers=1)
        self.cell.start_orders.clear()
        handle_start_result(self.cell, order.run, StartResult.UNANSWERED, 0.5)
        add_test_job(self.cell, "j2", now_s=0.5)
        plan(self.cell, 0.5)
        self.assertEqual(self.cell.start_orders, [])
        apply_worker_report(self.cell, "w0", 0.6, [order.run.key])
        plan(self.cell, 0.6)
        self.assertEqual(len(self.cell.start_orders), 1)

    def test_incomplete_gang_is_stopped_however_many_jobs_wait(self):
        self.start_job(workers=2, gang=True, count=2, max_per_worker=1)
        orders = list(self.cell.start_orders)
        self.cell.start_orders.clear()
        handle_start_result(self.cell, orders[0].run, StartResult.STARTED, 0.2)
        handle_start_result(self.cell, orders[1].run, StartResult.NO_CAPACITY, 0.2)
        for index in range(80):
            add_test_job(
                self.cell, f"n{index}", "small", 19.9, resources=Resources(99_000, 1)
            )
        report_all_workers(self.cell, 20.0)
        self.cell.workers[orders[1].worker_id].draining = True
        plan(self.cell, 20.0)
        self.assertEqual(
            [order.key for order in self.cell.stop_orders], [orders[0].run.task.key]
        )
