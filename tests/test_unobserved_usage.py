"""Tests that caps hold over what may run where the leader has not seen it."""

import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.cell import Finished
from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.jobs import JobState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    add_test_job,
    add_worker,
    key,
    make_test_cell,
    make_test_job,
    report,
)

CAPPED = (Account("team", ("k",), 20.0, Resources(cpu_milli=4000)),)


def recovered(silent_milli=16_000, count=4):
    """Make a cell with one worker that was heard and one that was not yet."""
    cell = make_test_cell(0, accounts=CAPPED)
    add_worker(cell, "w0")
    add_worker(cell, "w1", silent_milli, reached=False)
    cell.dark.add("w1")
    stored = {"jj1": encode_job(make_test_job("j1", count=count))}
    takeover.recover(cell, stored, 0.0, 0.0)
    cell.settled, cell.settle_at_s = False, 14.0
    return cell


class UnseenTest(unittest.TestCase):
    def test_runs_of_earlier_terms_on_a_silent_worker_count_towards_the_cap(self):
        cell = recovered()
        add_test_job(cell, "j2", count=4)
        takeover.settle(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.starts, [])
        report(cell, "w1", 1.1, [(key(index=i), 1) for i in range(3)])
        takeover.settle(cell, 1.1)
        plan(cell, 1.1)
        self.assertEqual(len(cell.starts), 1)

    def test_a_silent_worker_can_run_no_more_than_it_holds(self):
        cell = recovered(silent_milli=2500, count=40)
        add_test_job(cell, "j2", count=4)
        takeover.settle(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(len(cell.starts), 1)

    def test_other_accounts_are_not_held_up(self):
        cell = recovered()
        add_test_job(cell, "j2", count=4).account = "other"
        plan(cell, 1.0)
        self.assertEqual(len(cell.starts), 4)

    def test_run_that_is_being_stopped_for_another_term_counts(self):
        cell = make_test_cell(2, accounts=CAPPED)
        cell.finished["gone"] = Finished(JobState.CANCELLED, "team", "heavy", 0.0)
        report(cell, "w0", 1.0, [(key("gone"), 1)])
        add_test_job(cell, "j2", count=4)
        plan(cell, 1.0)
        self.assertEqual(cell.starts, [])
        report(cell, "w0", 1.2, ended=[(1, key("gone"), 1, "stopped")])
        plan(cell, 1.2)
        self.assertEqual(len(cell.starts), 4)


if __name__ == "__main__":
    unittest.main()
