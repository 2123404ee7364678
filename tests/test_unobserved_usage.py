"""Test that caps of client accounts include runs that the leader has not observed.

The tests guard against exceeding a cap after a takeover. Runs of earlier terms may
exist on workers that have not reported, and orphan runs use resources until they have
stopped.
"""

import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.cell import FinishedJob
from bulrushspur_scheduler.config import Account, make_config
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    QUEUES,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    make_test_job,
    task_key,
)

CAPPED = (Account("team", ("k",), 20.0, Resources(cpu_milli=4000)),)


def make_recovered_cell(unobserved_cpu_milli=16_000, count=4):
    """Make a recovered cell with one worker that has reported and one that has not."""
    cell = make_test_cell(0, accounts=CAPPED)
    add_worker(cell, "w0")
    add_worker(cell, "w1", unobserved_cpu_milli, has_reported=False)
    cell.unobserved_workers.add("w1")
    stored = {"jj1": encode_job(make_test_job("j1", count=count))}
    takeover.recover_jobs(cell, stored, 0.0, 0.0)
    cell.reconciled, cell.reconcile_by_s = False, 14.0
    return cell


class UnobservedUsageTest(unittest.TestCase):
    def test_runs_of_earlier_terms_on_an_unobserved_worker_count(self):
        cell = make_recovered_cell()
        add_test_job(cell, "j2", count=4)
        takeover.reconcile(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [])
        apply_worker_report(cell, "w1", 1.1, [(task_key(index=i), 1) for i in range(3)])
        takeover.reconcile(cell, 1.1)
        plan(cell, 1.1)
        self.assertEqual(len(cell.start_orders), 1)

    def test_unobserved_usage_is_limited_by_worker_capacity(self):
        cell = make_recovered_cell(unobserved_cpu_milli=2500, count=40)
        add_test_job(cell, "j2", count=4)
        takeover.reconcile(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(len(cell.start_orders), 1)

    def test_unobserved_usage_is_what_the_cap_allows_beside_adopted_runs(self):
        cell = make_recovered_cell(count=40)
        add_test_job(cell, "j2", count=4)
        running = [(task_key(index=i), 1) for i in range(3)]
        apply_worker_report(cell, "w0", 1.0, running)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [], "1 core may be used on w1")
        ended = [(1, task_key(index=0), 1, "done"), (2, task_key(index=1), 1, "done")]
        apply_worker_report(cell, "w0", 1.5, running[2:], ended)
        plan(cell, 1.5)
        self.assertEqual(len(cell.start_orders), 2)

    def test_adopted_runs_that_were_lost_may_run_unobserved(self):
        cell = make_recovered_cell(count=40)
        add_test_job(cell, "j2", count=4)
        running = [(task_key(index=i), 1) for i in range(3)]
        apply_worker_report(cell, "w0", 1.0, running)
        apply_worker_report(cell, "w0", 1.5, running[2:])
        plan(cell, 1.5)
        self.assertEqual(cell.start_orders, [])

    def test_a_lowered_cap_does_not_lower_what_may_run_unobserved(self):
        cell = make_recovered_cell(count=40)
        lowered = Account("team", ("k",), 20.0, Resources(cpu_milli=3000))
        cell.config = make_config(2, QUEUES, accounts=(lowered,))
        add_test_job(cell, "j2", count=4)
        running = [(task_key(index=i), 1) for i in range(3)]
        apply_worker_report(cell, "w0", 1.0, running)
        ended = [(1, task_key(index=0), 1, "done"), (2, task_key(index=1), 1, "done")]
        apply_worker_report(cell, "w0", 1.5, running[2:], ended)
        plan(cell, 1.5)
        self.assertEqual(len(cell.start_orders), 1)

    def test_other_accounts_are_not_limited(self):
        cell = make_recovered_cell()
        add_test_job(cell, "j2", count=4).account = "other"
        plan(cell, 1.0)
        self.assertEqual(len(cell.start_orders), 4)

    def test_orphan_run_counts_until_it_has_stopped(self):
        cell = make_test_cell(2, accounts=CAPPED)
        cell.finished_jobs["gone"] = FinishedJob(
            JobState.CANCELLED, "team", "heavy", 0.0
        )
        apply_worker_report(cell, "w0", 1.0, [(task_key("gone"), 1)])
        add_test_job(cell, "j2", count=4)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [])
        apply_worker_report(
            cell, "w0", 1.2, ended=[(1, task_key("gone"), 1, "stopped")]
        )
        plan(cell, 1.2)
        self.assertEqual(len(cell.start_orders), 4)


if __name__ == "__main__":
    unittest.main()
