"""Test how a new term recovers jobs and reconciles them with running tasks.

The tests guard against starting a task that a worker still runs for an earlier term.
Workers report late or not at all, list runs or ends of earlier terms, and the leader
may be cut off from the store.
"""

import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.jobs import StepSpec
from bulrushspur_scheduler.leases import expire_leases
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    make_test_job,
    task_key,
)


def make_recovered_cell(workers=("w0", "w1"), jobs=("j1",), reported=()):
    """Make a cell with recovered jobs; only workers in ``reported`` have reported."""
    cell = make_test_cell(0)
    for name in workers:
        add_worker(cell, name, has_reported=name in reported)
        if name not in reported:
            cell.unobserved_workers.add(name)
    stored = {f"j{job}": encode_job(make_test_job(job)) for job in jobs}
    takeover.recover_jobs(cell, stored, 0.0, 0.0)
    cell.reconciled = False
    cell.reconcile_by_s = 14.0
    return cell


def make_two_step_cell(count=1, gang=False):
    """Make a recovered cell with a job of two steps, the second after the first."""
    cell = make_test_cell(0)
    for name in ("w0", "w1"):
        add_worker(cell, name, has_reported=False)
        cell.unobserved_workers.add(name)
    each = Resources(1000, 100)
    first = StepSpec(count, each, 1.0, gang=gang)
    steps = (first, StepSpec(1, each, 1.0, depends_on=(0,)))
    stored = {"jj1": encode_job(make_test_job(steps=steps))}
    takeover.recover_jobs(cell, stored, 0.0, 0.0)
    cell.reconciled, cell.reconcile_by_s = False, 14.0
    return cell


class TakeoverTest(unittest.TestCase):
    def test_adopted_run_counts_until_its_previous_lease_expires(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        expire_leases(cell, 1.01)
        self.assertEqual(len(cell.workers["w0"].runs), 1)
        self.assertEqual(cell.workers["w0"].free.cpu_milli, 15_000)
        expire_leases(cell, 1.0 + cell.timing_limits.lease_s + 1.0)
        self.assertEqual(len(cell.workers["w0"].runs), 0)

    def test_task_waits_until_every_worker_has_reported(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 1.0)
        takeover.reconcile(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [])
        apply_worker_report(cell, "w1", 1.1)
        takeover.reconcile(cell, 1.1)
        plan(cell, 1.1)
        self.assertEqual(len(acknowledge_starts(cell, 1.1)), 1)

    def test_step_that_waits_for_a_running_task_starts_once_this_has_ended(self):
        cell = make_two_step_cell()
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        apply_worker_report(cell, "w0", 1.5, ended=[(1, task_key(), 1, "done")])
        takeover.reconcile(cell, 1.5)
        plan(cell, 1.5)
        self.assertEqual([o.run.task.key.step for o in cell.start_orders], [1])

    def test_step_that_waits_for_a_gang_waits_for_every_worker(self):
        cell = make_two_step_cell(count=2, gang=True)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        ended = [(1, task_key(), 1, "done")]
        apply_worker_report(cell, "w0", 1.5, ended=ended)
        takeover.reconcile(cell, 1.5)
        plan(cell, 1.5)
        self.assertEqual(cell.start_orders, [], "w1 reported the end to the last term")

    def test_step_whose_dependency_ended_unobserved_waits_for_every_worker(self):
        cell = make_two_step_cell()
        apply_worker_report(cell, "w0", 1.0, ended=[(1, task_key(), 1, "done")])
        takeover.reconcile(cell, 1.5)
        plan(cell, 1.5)
        self.assertEqual(cell.start_orders, [], "w1 may run the second step")

    def test_task_starts_after_the_longest_lease_of_a_worker_without_report(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 13.9)
        takeover.reconcile(cell, 13.9)
        plan(cell, 13.9)
        self.assertEqual(cell.start_orders, [])
        takeover.reconcile(cell, 14.1)
        plan(cell, 14.1)
        self.assertEqual(
            [order.worker_id for order in acknowledge_starts(cell, 14.1)], ["w0"]
        )

    def test_run_numbers_increase_with_terms(self):
        cell = make_recovered_cell(workers=("w0",))
        apply_worker_report(cell, "w0", 1.0)
        takeover.reconcile(cell, 1.0)
        plan(cell, 1.0)
        (order,) = acknowledge_starts(cell, 1.0)
        self.assertGreater(order.run.number, 5 * takeover.RUN_NUMBERS_PER_TERM)

    def test_orphan_run_of_unknown_size_blocks_new_work_on_its_worker(self):
        cell = make_recovered_cell(workers=("w0",))
        apply_worker_report(cell, "w0", 1.0, [(task_key("gone"), 1)])
        takeover.reconcile(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [])
        self.assertEqual(len(cell.stop_orders), 1)
        apply_worker_report(
            cell, "w0", 1.2, ended=[(1, task_key("gone"), 1, "stopped")]
        )
        plan(cell, 1.2)
        self.assertEqual(len(cell.start_orders), 1)

    def test_end_of_an_earlier_run_does_not_hide_a_later_run(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 1.0, ended=[(1, task_key(), 1, "failed")])
        takeover.reconcile(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [])
        apply_worker_report(cell, "w1", 1.1, [(task_key(), 2)])
        takeover.reconcile(cell, 1.1)
        plan(cell, 1.1)
        self.assertEqual((cell.start_orders, cell.stop_orders), ([], []))
        self.assertEqual(len(cell.workers["w1"].runs), 1)

    def test_gang_whose_adopted_run_was_lost_starts_again_as_a_whole(self):
        cell = make_two_step_cell(count=2, gang=True)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        takeover.reconcile(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [], "the other member may run on w1")
        apply_worker_report(cell, "w0", 1.5)
        apply_worker_report(cell, "w1", 1.5)
        takeover.reconcile(cell, 1.6)
        plan(cell, 1.6)
        self.assertEqual(len(cell.start_orders), 2)

    def test_lost_run_waits_for_the_store_though_all_workers_have_reported(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        apply_worker_report(cell, "w0", 1.5)
        apply_worker_report(cell, "w1", 1.5)
        takeover.reconcile(cell, 1.4)
        plan(cell, 1.5)
        self.assertEqual(cell.start_orders, [], "a later term may have started it")
        takeover.reconcile(cell, 1.6)
        plan(cell, 1.6)
        self.assertEqual(len(cell.start_orders), 1)

    def test_lost_run_is_started_again_after_its_step_was_planned(self):
        cell = make_test_cell(1, cpu_milli=2000)
        add_test_job(cell, count=3)
        plan(cell, 0.1)
        first, second = acknowledge_starts(cell, 0.1)
        listed = [second.run.key]
        ended = [(1, second.run.task.key, second.run.number, "done")]
        apply_worker_report(cell, "w0", 0.5, listed)
        plan(cell, 0.5)
        (third,) = acknowledge_starts(cell, 0.5)
        self.assertIsNot(third.run.task, first.run.task, "its loss is not confirmed")
        apply_worker_report(cell, "w0", 0.9, [third.run.key], ended)
        takeover.reconcile(cell, 0.9)
        plan(cell, 0.9)
        self.assertEqual([o.run.task for o in cell.start_orders], [first.run.task])

    def test_leader_cut_off_from_the_store_expires_no_leases(self):
        cell = make_test_cell(2)
        add_test_job(cell, now_s=1.0)
        plan(cell, 1.0)
        (order,) = acknowledge_starts(cell, 1.0)
        other = next(name for name in cell.workers if name != order.worker_id)
        apply_worker_report(cell, other, 9.0)
        expire_leases(cell, confirmed_s=1.5)
        plan(cell, 9.0)
        self.assertEqual(cell.start_orders, [])
        expire_leases(cell, confirmed_s=9.0)
        plan(cell, 9.0)
        self.assertEqual([order.worker_id for order in cell.start_orders], [other])

    def test_run_of_a_step_with_unfinished_dependencies_is_adopted(self):
        steps = (
            StepSpec(1, Resources(1000, 10)),
            StepSpec(1, Resources(1000, 10), depends_on=(0,)),
        )
        cell = make_test_cell(0)
        for name in ("w0", "w1"):
            add_worker(cell, name, has_reported=False)
            cell.unobserved_workers.add(name)
        stored = {"jj1": encode_job(make_test_job("j1", steps=steps))}
        takeover.recover_jobs(cell, stored, 0.0, 0.0)
        cell.reconciled, cell.reconcile_by_s = False, 14.0
        apply_worker_report(cell, "w0", 1.0, [(task_key(step=1), 1)])
        self.assertEqual(cell.stop_orders, [])
        apply_worker_report(cell, "w1", 1.1, ended=[(1, task_key(), 1, "done")])
        takeover.reconcile(cell, 1.1)
        plan(cell, 1.1)
        self.assertEqual(cell.start_orders, [])
        self.assertEqual(len(cell.workers["w0"].runs), 1)
