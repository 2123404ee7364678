"""Test that no task starts while a run of it may be at work that it does not own.

The tests guard against a second run beside an orphan that is being stopped, whichever
way the orphan came about.
"""

import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.failed_runs import FailedRun
from bulrushspur_scheduler.leases import expire_leases
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress_records import encode_progress
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.reports import MAX_REPORTED_ENDS
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    task_key,
)


def count_starts(cell, now_s):
    """Plan, and return how many starts were ordered."""
    apply_worker_report(cell, "w1", now_s)
    plan(cell, now_s)
    return len(acknowledge_starts(cell, now_s))


def recover_with_failed_run(number):
    """Recover a job of which a run with a number has failed; no worker has reported."""
    cell = make_test_cell(1)
    job = add_test_job(cell, long_running=True)
    next(job.steps()).tasks[0].failed_runs[number] = FailedRun(number)
    stored = {"jj1": encode_job(job), "sj1": encode_progress(cell, "j1")}
    cell = make_test_cell(0)
    for name in ("w0", "w1"):
        add_worker(cell, name, has_reported=False)
        cell.unobserved_workers.add(name)
    takeover.recover_jobs(cell, stored, 0.0, 0.0)
    cell.reconcile_by_s = 17.0
    return cell


class OrphanTest(unittest.TestCase):
    # Guards against: a late order is carried out, and its task starts beside it.
    def test_task_waits_for_the_end_of_an_orphan(self):
        cell = make_test_cell(2)
        add_test_job(cell)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 7)])
        self.assertEqual(count_starts(cell, 1.0), 0)
        self.assertEqual(len(cell.stop_orders), 1)
        ended = [(1, task_key(), 7, "stopped")]
        apply_worker_report(cell, "w0", 1.3, ended=ended)
        plan(cell, 1.3)
        (order,) = acknowledge_starts(cell, 1.3)
        self.assertGreater(order.run.number, 7)

    # Guards against: a service starts a second time at a planned restart of the leader.
    def test_run_with_the_number_of_a_failed_one_is_not_doubled(self):
        cell = recover_with_failed_run(193)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 193)])
        apply_worker_report(cell, "w1", 1.0)
        self.assertTrue(takeover.reconcile(cell, 1.0))
        self.assertEqual(count_starts(cell, 1.0), 0)

    # Guards against: an orphan that is gone ended done, as a later leader knows.
    def test_task_of_a_lost_orphan_waits_for_the_store(self):
        cell = make_test_cell(2)
        add_test_job(cell)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 7)])
        apply_worker_report(cell, "w0", 2.0, incarnation_start_ms=2)
        takeover.reconcile(cell, 1.9)
        self.assertEqual(count_starts(cell, 2.1), 0)
        takeover.reconcile(cell, 2.1)
        self.assertEqual(count_starts(cell, 2.2), 1)

    def test_orphan_of_a_silent_worker_is_waited_for_until_its_lease_ends(self):
        cell = make_test_cell(2)
        add_test_job(cell)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 7)])
        expire_leases(cell, 5.0)
        self.assertEqual(count_starts(cell, 5.0), 0)
        expire_leases(cell, 1.0 + cell.timing_limits.lease_s + 1.0)
        self.assertEqual(count_starts(cell, 9.0), 1)

    # Guards against: the loss of the orphan hides the run that another worker has.
    def test_task_of_a_lost_orphan_waits_for_the_other_workers(self):
        cell = recover_with_failed_run(193)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 193)])
        apply_worker_report(cell, "w0", 1.2)
        self.assertFalse(takeover.reconcile(cell, 2.0))
        plan(cell, 2.0)
        self.assertEqual(cell.start_orders, [])

    def test_orphan_is_not_adopted_while_it_is_being_stopped(self):
        cell = make_test_cell(2)
        job = add_test_job(cell)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 7)])
        next(job.steps()).tasks[0].unreconciled = True
        apply_worker_report(cell, "w0", 1.2, [(task_key(), 7)])
        self.assertEqual(cell.workers["w0"].runs, {})

    # Guards against: a member starts beside its orphan, and its gang runs twice.
    def test_gang_waits_for_the_orphan_of_a_member(self):
        cell = make_test_cell(2)
        add_test_job(cell, count=2, gang=True)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 7)])
        self.assertEqual(count_starts(cell, 1.0), 0)
        apply_worker_report(cell, "w0", 1.3, ended=[(1, task_key(), 7, "stopped")])
        self.assertEqual(count_starts(cell, 1.3), 2)


class IncompleteReportTest(unittest.TestCase):
    def recover(self):
        cell = make_test_cell(0)
        add_worker(cell, "w0", has_reported=False)
        cell.unobserved_workers.add("w0")
        source = make_test_cell(0)
        stored = {"jj1": encode_job(add_test_job(source))}
        takeover.recover_jobs(cell, stored, 0.0, 0.0)
        cell.reconcile_by_s = 17.0
        return cell

    # Guards against: a task is done, but its end was not among the first that are told.
    def test_task_waits_for_the_ends_that_are_not_told_yet(self):
        cell = self.recover()
        ends = [(n, task_key("past"), n, "done") for n in range(1, 501)]
        self.assertEqual(len(ends), MAX_REPORTED_ENDS)
        apply_worker_report(cell, "w0", 1.0, ended=ends)
        self.assertFalse(takeover.reconcile(cell, 1.0))
        apply_worker_report(cell, "w0", 1.1, ended=[(501, task_key(), 1, "done")])
        self.assertEqual(cell.jobs, {})

    # Guards against: a report with a fault counts, though its runs were not read.
    def test_worker_whose_report_has_a_fault_has_not_reported(self):
        cell = self.recover()
        with self.assertRaises(AttributeError):
            apply_worker_report(cell, "w0", 1.0, [(None, 1)])
        self.assertFalse(takeover.reconcile(cell, 1.0))
        self.assertFalse(cell.workers["w0"].has_reported)
