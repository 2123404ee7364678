"""Test how a new term takes over the occurrences of repeating jobs.

Starts are not stored, so the next leader learns only from workers that an occurrence
was begun. The tests guard against starting its tasks beside their runs, or again after
they are done.
"""

import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec, TaskKey
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import start_all_due_occurrences
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    acknowledge_starts,
    add_worker,
    apply_worker_report,
    make_test_cell,
)

INTERVAL_S = 20.0


def make_repeating_job(repeat_count=3, steps=None):
    each = Resources(1000, 100)
    steps = steps or (StepSpec(1, each),)
    spec = JobSpec("j1", "p", steps, 100.0, INTERVAL_S, repeat_count)
    return Job(spec, "heavy", "svc", "team", 90.0, 90.0)


def make_recovered_cell(now_s=102.0, workers=("w0", "w1"), **fields):
    """Make a cell that has recovered the job; its record has no progress."""
    cell = make_test_cell(0)
    for name in workers:
        add_worker(cell, name, now_s=now_s, has_reported=False)
        cell.unobserved_workers.add(name)
    stored = {"jj1": encode_job(make_repeating_job(**fields))}
    takeover.recover_jobs(cell, stored, now_s, now_s)
    cell.reconcile_by_s = now_s + 17.0
    return cell


def key_of(occurrence=0, step=0, index=0):
    return TaskKey("j1", occurrence, step, index)


def start_all(cell, now_s):
    """Reconcile and plan; return the tasks that were started."""
    start_all_due_occurrences(cell, now_s, now_s)
    takeover.reconcile(cell, now_s)
    plan(cell, now_s)
    return [order.run.task.key for order in acknowledge_starts(cell, now_s)]


class TakeoverTest(unittest.TestCase):
    # Guards against: the next leader starts an occurrence that is at work (TWICE).
    def test_due_occurrence_waits_for_every_worker(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 102.1)
        self.assertEqual(start_all(cell, 102.1), [])
        apply_worker_report(cell, "w1", 102.2, [(key_of(), 1)])
        self.assertEqual(start_all(cell, 102.2), [])
        self.assertEqual(cell.stop_orders, [])
        self.assertEqual(len(cell.workers["w1"].runs), 1)

    # Guards against: a task that ended done just before the takeover starts again.
    def test_occurrence_that_has_ended_is_not_started_again(self):
        cell = make_recovered_cell()
        apply_worker_report(cell, "w0", 102.1)
        self.assertEqual(start_all(cell, 102.1), [])
        ended = [(1, key_of(), 1, "done")]
        apply_worker_report(cell, "w1", 102.2, ended=ended)
        self.assertEqual(start_all(cell, 102.2), [])
        self.assertEqual(cell.jobs["j1"].completed_occurrences, {0})

    # Guards against: the same for an occurrence that comes due before all report.
    def test_occurrence_that_comes_due_meanwhile_waits_too(self):
        cell = make_recovered_cell(now_s=119.0)
        apply_worker_report(cell, "w0", 120.2, ended=[(1, key_of(), 1, "done")])
        self.assertEqual(start_all(cell, 120.2), [])
        apply_worker_report(cell, "w1", 120.3, [(key_of(1), 1)])
        self.assertEqual(start_all(cell, 120.3), [])
        self.assertEqual(len(cell.workers["w1"].runs), 1)

    # Guards against: the last leader's clock was ahead, and its run is thrown away.
    def test_run_of_an_occurrence_that_is_not_due_yet_is_adopted(self):
        cell = make_recovered_cell(workers=("w0",))
        apply_worker_report(cell, "w0", 102.1, [(key_of(1), 1)])
        self.assertEqual(cell.stop_orders, [])
        self.assertEqual(start_all(cell, 102.1), [key_of(0)])
        ended = [(1, key_of(1), 1, "done"), (2, key_of(0), 321, "done")]
        apply_worker_report(cell, "w0", 103.0, ended=ended)
        self.assertEqual(start_all(cell, 121.0), [])

    # Guards against: an end that is acknowledged before its occurrence is made is lost.
    def test_end_in_an_occurrence_that_is_not_due_yet_counts(self):
        cell = make_recovered_cell(workers=("w0",))
        ended = [(1, key_of(1), 1, "done")]
        apply_worker_report(cell, "w0", 102.1, ended=ended)
        self.assertEqual(cell.jobs["j1"].completed_occurrences, {1})

    def test_dependent_step_of_an_occurrence_that_is_not_due_yet_waits_for_it(self):
        each = Resources(1000, 100)
        steps = (StepSpec(1, each), StepSpec(1, each, depends_on=(0,)))
        cell = make_recovered_cell(workers=("w0",), steps=steps)
        ended = [(1, key_of(1), 1, "done")]
        apply_worker_report(cell, "w0", 102.1, ended=ended)
        self.assertEqual(start_all(cell, 102.1), [key_of(0)])
        (run,) = cell.workers["w0"].runs.values()
        apply_worker_report(cell, "w0", 120.0, [run.key])
        self.assertEqual(start_all(cell, 120.1), [key_of(1, step=1)])

    def test_occurrence_that_the_job_does_not_have_is_not_made(self):
        cell = make_recovered_cell(workers=("w0",))
        apply_worker_report(cell, "w0", 102.1, [(key_of(3), 1), (key_of(1, step=1), 1)])
        self.assertEqual(list(cell.jobs["j1"].occurrences), [0])
        self.assertEqual(len(cell.stop_orders), 2)
