"""Test that the reason why a step waits is told, and reported at a bounded rate."""

import unittest

from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.health import quarantine_worker
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources, Usage
from bulrushspur_scheduler.waiting import (
    MAX_REPORTED_STEPS,
    WaitMonitor,
    WaitReason,
    find_wait_reason,
)
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    make_test_cell,
    report_all_workers,
)


def only_step(job):
    (step,) = job.steps()
    return step


class WaitReasonTest(unittest.TestCase):
    def assert_reason(self, cell, job, reason, now_s=0.2):
        plan(cell, now_s)
        self.assertEqual(find_wait_reason(cell, only_step(job), now_s), reason)

    def test_cap_of_the_account(self):
        accounts = (Account("team", ("k",), 20.0, Resources(2000)),)
        cell = make_test_cell(2, accounts=accounts)
        job = add_test_job(cell, count=3, gang=True)
        self.assert_reason(cell, job, WaitReason.ACCOUNT_CAP)

    def test_usage_that_was_not_observed(self):
        accounts = (Account("team", ("k",), 20.0, Resources(2000)),)
        cell = make_test_cell(2, accounts=accounts)
        step = only_step(add_test_job(cell, count=2, gang=True))
        cell.unobserved_usage["team"] = Usage(1000, 0, 0, 1)
        self.assertEqual(find_wait_reason(cell, step, 0.2), WaitReason.UNOBSERVED_USAGE)

    def test_unreconciled_task(self):
        cell = make_test_cell(2)
        job = add_test_job(cell)
        only_step(job).tasks[0].unreconciled = True
        self.assert_reason(cell, job, WaitReason.UNRECONCILED)

    def test_advice_and_tickets(self):
        cell = make_test_cell(2)
        job = add_test_job(cell, queue="advised")
        self.assert_reason(cell, job, WaitReason.ADVICE)
        step = only_step(job)
        step.evaluated_workers = {"w0", "w1"}
        step.approved_workers = {"w0": None}
        self.assert_reason(cell, job, WaitReason.TICKETS)

    def test_room_and_quarantine(self):
        cell = make_test_cell(2, cpu_milli=4000)
        job = add_test_job(cell, count=9, gang=True)
        self.assert_reason(cell, job, WaitReason.ROOM)
        job = add_test_job(cell, "j2", count=8, gang=True)
        quarantine_worker(cell, cell.workers["w0"], 0.1, "failures")
        self.assert_reason(cell, job, WaitReason.EXCLUDED_WORKERS)

    def test_worker_that_is_isolated_for_another_step(self):
        cell = make_test_cell(2)
        key = only_step(add_test_job(cell, "d")).key
        for worker in cell.workers.values():
            worker.isolated_for = key
        step = only_step(add_test_job(cell))
        reason = find_wait_reason(cell, step, 0.2)
        self.assertIs(reason, WaitReason.ISOLATED_WORKERS)

    def test_step_that_no_pass_has_tried(self):
        cell = make_test_cell(2)
        step = only_step(add_test_job(cell))
        self.assertEqual(find_wait_reason(cell, step, 0.2), WaitReason.NOT_TRIED)

    def test_claim_of_the_account(self):
        accounts = (Account("team", ("k",), 20.0, Resources(10_000)),)
        cell = make_test_cell(2, accounts=accounts)
        add_test_job(cell, "small", count=4)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        add_test_job(cell, "wide", now_s=0.1, count=8, gang=True)
        job = add_test_job(cell, "next", "bulk", 0.1)
        self.assert_reason(cell, job, WaitReason.CLAIM)

    def test_running_step(self):
        cell = make_test_cell(2)
        job = add_test_job(cell)
        self.assert_reason(cell, job, WaitReason.RUNNING)


class WaitMonitorTest(unittest.TestCase):
    def test_only_long_waits_are_reported_and_a_bounded_number(self):
        cell = make_test_cell(1, cpu_milli=1000)
        running = add_test_job(cell, "running")
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        for index in range(20):
            add_test_job(cell, f"j{index}", now_s=0.1)
        monitor = WaitMonitor()
        cell.events.clear()
        for now_s in (1.0, 2.0):
            monitor.report(cell, now_s)
        self.assertEqual(list(cell.events), [])
        report_all_workers(cell, 3.0)
        monitor.report(cell, 3.0)
        events = [event for event in cell.events if event.name == "step_waits"]
        self.assertEqual(len(events), MAX_REPORTED_STEPS)
        self.assertNotIn(running.id, {event.job for event in events})
        self.assertEqual({event.fields["reason"] for event in events}, {"room"})
        self.assertEqual(monitor.oldest_s, {WaitReason.ROOM: 2.0})

    def test_wait_begins_anew_after_a_run(self):
        cell = make_test_cell(1)
        job = add_test_job(cell)
        monitor = WaitMonitor()
        monitor.report(cell, 0.2)
        self.assertEqual(list(monitor.since_s.values()), [0.2])
        plan(cell, 0.5)
        (run,) = only_step(job).tasks[0].runs
        self.assertIs(run.state, RunState.STARTING)
        monitor.report(cell, 1.2)
        self.assertEqual(monitor.since_s, {})
