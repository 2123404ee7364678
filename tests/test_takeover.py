"""Test how a new term recovers jobs and reconciles them with running tasks.

The tests guard against starting a task that a worker still runs for an earlier term.
Workers report late or not at all, list runs or ends of earlier terms, and the leader
may be cut off from the store.
"""

import dataclasses
import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.advice import apply_advice
from bulrushspur_scheduler.config import make_config
from bulrushspur_scheduler.job_specs import StepSpec
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.leases import (
    expire_leases,
    extend_lease,
    mark_incarnation_ended,
)
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress_records import encode_progress
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    QUEUES,
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    fail_run,
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


def recover_with_queues(cell, *queues):
    """Recover the jobs of a cell in the next term, whose configuration has ``queues``.

    The term has one worker that has reported, and is reconciled.
    """
    stored = {}
    for job in cell.jobs.values():
        stored["j" + job.id] = encode_job(job)
        stored["s" + job.id] = encode_progress(cell, job.id)
    recovered = make_test_cell(1)
    recovered.config = make_config(2, queues, accounts=cell.config.accounts)
    takeover.recover_jobs(recovered, stored, 0.0, 0.0)
    recovered.reconciled = False
    takeover.reconcile(recovered, 0.1)
    return recovered


class AcceptedQueueTest(unittest.TestCase):
    def fail_first_run(self, cell, number):
        """Record a failed run of the only task; return whether its job has failed."""
        (job,) = cell.jobs.values()
        (step,) = job.steps()
        fail_run(cell, step.tasks[0], number, 1.0)
        return job.state is JobState.FAILED

    def test_next_leader_without_the_queue_keeps_the_attempts(self):
        cell = make_test_cell(1)
        add_test_job(cell)
        self.assertFalse(self.fail_first_run(cell, 1))
        recovered = recover_with_queues(cell)
        self.assertFalse(self.fail_first_run(recovered, 400))
        self.assertTrue(self.fail_first_run(recovered, 401))

    def test_next_leader_with_fewer_attempts_keeps_those_of_the_acceptance(self):
        cell = make_test_cell(1)
        add_test_job(cell)
        self.assertFalse(self.fail_first_run(cell, 1))
        lowered = dataclasses.replace(QUEUES[1], max_attempts=1)
        recovered = recover_with_queues(cell, lowered)
        self.assertFalse(self.fail_first_run(recovered, 400))

    def test_recovered_job_of_a_removed_queue_is_not_urgent(self):
        cell = make_test_cell(1)
        before = add_test_job(cell, queue="bulk")
        job = recover_with_queues(cell).jobs["j1"]
        self.assertEqual((job.priority, job.objective_s), (2, before.objective_s))

    def test_recovered_job_of_a_removed_queue_waits_for_its_ticket(self):
        cell = make_test_cell(1)
        add_test_job(cell, queue="advised")
        recovered = recover_with_queues(cell)
        plan(recovered, 0.2)
        self.assertEqual(recovered.start_orders, [])
        (call,) = recovered.advice_calls
        apply_advice(recovered, call, [("w0", "ticket")], 2.5, 0.5)
        plan(recovered, 0.5)
        self.assertEqual([o.ticket for o in recovered.start_orders], ["ticket"])


class TakeoverTest(unittest.TestCase):
    def test_adopted_run_counts_until_its_previous_lease_expires(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        expire_leases(cell, 1.01)
        self.assertEqual(len(cell.workers["w0"].runs), 1)
        self.assertEqual(cell.workers["w0"].free.cpu_milli, 15_000)
        longest_s = cell.timing_limits.max_lease_s
        expire_leases(cell, 1.0 + longest_s)
        self.assertEqual(len(cell.workers["w0"].runs), 1)
        expire_leases(cell, 1.0 + longest_s + 1.0)
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

    # Guards against: a late run hides that its task is done and the next step at work.
    def test_step_whose_dependency_ended_as_another_run_waits_for_every_worker(self):
        cell = make_two_step_cell()
        add_worker(cell, "w2", has_reported=False)
        cell.unobserved_workers.add("w2")
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        apply_worker_report(cell, "w1", 1.1, ended=[(1, task_key(), 2, "done")])
        takeover.reconcile(cell, 1.2)
        plan(cell, 1.2)
        self.assertEqual(cell.start_orders, [], "w2 may run the second step")
        apply_worker_report(cell, "w2", 1.3, [(task_key(step=1), 3)])
        takeover.reconcile(cell, 1.4)
        plan(cell, 1.4)
        self.assertEqual(cell.start_orders, [])
        self.assertEqual(len(cell.workers["w2"].runs), 1)

    # Guards against: failed runs that a worker has not reported yet do not count.
    def test_task_whose_adopted_run_has_ended_waits_for_every_worker(self):
        for outcome in ("failed", "stopped"):
            with self.subTest(outcome=outcome):
                cell = make_recovered_cell()
                apply_worker_report(cell, "w0", 1.0, [(task_key(), 3)])
                ended = [(1, task_key(), 3, outcome)]
                apply_worker_report(cell, "w0", 1.1, ended=ended)
                takeover.reconcile(cell, 1.2)
                plan(cell, 1.2)
                self.assertEqual(cell.start_orders, [], "w1 may report a failed run")
                apply_worker_report(
                    cell, "w1", 1.3, ended=[(1, task_key(), 2, "failed")]
                )
                takeover.reconcile(cell, 1.4)
                plan(cell, 1.4)
                self.assertEqual(len(cell.start_orders), 1)

    # Guards against: a leader that follows all ways through the steps never serves.
    def test_many_steps_that_depend_on_all_before_take_no_time(self):
        each = Resources(1000, 100)
        steps = tuple(
            StepSpec(1, each, depends_on=tuple(range(index))) for index in range(60)
        )
        cell = make_test_cell(0)
        add_worker(cell, "w0", has_reported=False)
        cell.unobserved_workers.add("w0")
        stored = {"jj1": encode_job(make_test_job(steps=steps))}
        takeover.recover_jobs(cell, stored, 0.0, 0.0)
        apply_worker_report(cell, "w0", 1.0, [(task_key(), 1)])
        apply_worker_report(cell, "w0", 1.1, ended=[(1, task_key(), 2, "done")])
        self.assertEqual(cell.jobs["j1"].occurrences[0].steps[0].done_count, 1)

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
        extend_lease(cell, cell.workers[order.worker_id], 1.0, 2.0)
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

    def test_leader_without_the_store_starts_no_task_of_a_worker_that_has_ended(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 1.0)
        mark_incarnation_ended(cell, cell.workers["w1"], "gone", seen_s=5.0)
        cell.workers.pop("w1")
        self.assertFalse(takeover.reconcile(cell, confirmed_s=4.9))
        self.assertTrue(takeover.reconcile(cell, confirmed_s=5.0))
