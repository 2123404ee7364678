"""Test when reservations of workers for gangs are made, renewed and removed.

Making them costs a look at each run of each worker for each gang. The tests guard
against a cost that grows with the number of planning passes, and against workers that
stay reserved for a gang that no longer waits.
"""

import unittest
from unittest import mock

from bulrushspur_scheduler import reservations
from bulrushspur_scheduler.jobs import JobState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import finish_job
from bulrushspur_scheduler.reservations import (
    MAX_EXPECTED_ENDS_AGE_S,
    RESERVATION_INTERVAL_S,
)
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    make_test_cell,
    report_all_workers,
)

WORKERS = 20


def make_full_cell(gangs=5):
    """Make a cell whose workers are full, with gangs that wait."""
    cell = make_test_cell(WORKERS)
    resources = Resources(8000, 10)
    add_test_job(cell, "full", "bulk", count=WORKERS * 2, resources=resources)
    plan(cell, 0.1)
    acknowledge_starts(cell, 0.1)
    for index in range(gangs):
        add_test_job(cell, f"gang{index}", count=4, gang=True, resources=resources)
    report_all_workers(cell, 0.5)
    return cell


def reserved_keys(cell):
    return {worker.reserved_for for worker in cell.workers.values()} - {None}


class ReservationTest(unittest.TestCase):
    def test_passes_close_together_make_reservations_once(self):
        cell = make_full_cell()
        with mock.patch.object(
            reservations, "expected_end_s", wraps=reservations.expected_end_s
        ) as expected_end_s:
            for index in range(20):
                plan(cell, 0.5 + index * RESERVATION_INTERVAL_S / 40)
        self.assertEqual(len(cell.reservations), 5)
        # Once for each run, and not for each gang and pass.
        self.assertLessEqual(expected_end_s.call_count, WORKERS * 2)

    def test_expected_ends_are_renewed_with_time_and_with_the_runs(self):
        cell = make_full_cell()
        plan(cell, 0.5)
        worker = next(iter(cell.workers.values()))
        self.assertEqual(len(worker.expected_ends), 2)
        run = next(iter(worker.runs.values()))
        reservations.release_reservation(cell, next(iter(cell.reservations)))
        finish_job(cell, run.task.step.job, JobState.CANCELLED, 0.5)
        self.assertIsNone(worker.expected_ends)
        plan(cell, 0.5 + MAX_EXPECTED_ENDS_AGE_S)
        self.assertTrue(worker.expected_ends_at_s > 0.5)

    def test_reservation_ends_with_the_wait_of_its_gang(self):
        cell = make_full_cell(gangs=1)
        plan(cell, 0.5)
        key = next(iter(cell.reservations))
        self.assertEqual(reserved_keys(cell), {key})
        finish_job(cell, cell.jobs["gang0"], JobState.CANCELLED, 0.51)
        plan(cell, 0.51)
        self.assertEqual(reserved_keys(cell), set())

    def test_gang_that_starts_leaves_no_reservation(self):
        cell = make_full_cell(gangs=1)
        plan(cell, 0.5)
        self.assertTrue(reserved_keys(cell))
        add_worker(cell, "new1", 64_000, 0.51)
        plan(cell, 0.51)
        self.assertEqual(len(cell.start_orders), 4)
        self.assertEqual(reserved_keys(cell), set())
