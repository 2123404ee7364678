"""Test when reservations of workers for gangs are made, renewed and removed.

Making them costs a look at each run of each worker for each gang. The tests guard
against a cost that grows with the number of planning passes, and against workers that
stay reserved for a gang that no longer waits.
"""

import itertools
import math
import unittest
from unittest import mock

from bulrushspur_scheduler import reservations
from bulrushspur_scheduler.job_states import JobState
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
    play,
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

    def test_no_worker_is_reserved_until_runs_that_last_have_ended(self):
        cell = make_test_cell(2)
        fields = {"resources": Resources(12_000, 10), "long_running": True}
        add_test_job(cell, "lasting", count=2, **fields)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        report_all_workers(cell, 0.5)
        resources = Resources(8000, 10)
        add_test_job(cell, "gang", count=2, gang=True, resources=resources)
        plan(cell, 0.6)
        self.assertEqual(reserved_keys(cell), set())

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


def make_cell_with_reserving_gang():
    """Make a cell with one core of each worker in use, and a gang that needs all."""
    cell = make_test_cell(8)
    resources = Resources(1000, 10)
    add_test_job(
        cell,
        "long",
        "bulk",
        count=8,
        max_per_worker=1,
        estimate_s=9.0,
        resources=resources,
    )
    plan(cell, 0.1)
    acknowledge_starts(cell, 0.1)
    add_test_job(
        cell,
        "wide",
        "small",
        0.1,
        count=8,
        gang=True,
        estimate_s=40.0,
        resources=Resources(16_000, 10),
    )
    return cell


class HeldRoomTest(unittest.TestCase):
    def test_idle_room_is_kept_from_a_task_for_a_short_time_only(self):
        cell = make_cell_with_reserving_gang()
        play(cell, 0.2, 1.0, lambda job_id: 60.0)
        add_test_job(cell, "single", "bulk", 1.0, estimate_s=14.0)
        started_s = play(cell, 1.0, 15.0, lambda job_id: 60.0)
        self.assertLess(started_s.get("single", math.inf), 1.0 + 1.7)

    def test_idle_room_is_kept_from_a_narrow_gang_for_a_short_time_only(self):
        cell = make_cell_with_reserving_gang()
        play(cell, 0.2, 1.0, lambda job_id: 60.0)
        add_test_job(cell, "narrow", "bulk", 1.0, count=2, gang=True, estimate_s=14.0)
        started_s = play(cell, 1.0, 15.0, lambda job_id: 60.0)
        self.assertLess(started_s.get("narrow", math.inf), 1.0 + 1.7)

    def test_idle_room_is_kept_from_advised_steps_for_a_short_time_only(self):
        cell = make_cell_with_reserving_gang()
        play(cell, 0.2, 1.0, lambda job_id: 60.0)
        add_test_job(cell, "single", "advised", 1.0, estimate_s=14.0)
        approved_ids = {"w0", "w1"}
        started_s = play(
            cell, 1.0, 15.0, lambda job_id: 60.0, approved_ids=approved_ids
        )
        self.assertLess(started_s.get("single", math.inf), 1.0 + 2.0)

    def test_wide_gang_and_a_steady_stream_of_small_jobs_both_start(self):
        cell = make_test_cell(8)
        numbers = itertools.count()
        submitted_s = {}

        def submit(now_s):
            job_id = f"small{next(numbers)}"
            submitted_s[job_id] = now_s
            add_test_job(cell, job_id, "bulk", now_s, estimate_s=0.8)

        def run_time_s(job_id):
            return 0.8

        started_s = play(cell, 0.1, 2.0, run_time_s, submit)
        add_test_job(
            cell,
            "wide",
            "heavy",
            2.0,
            count=8,
            gang=True,
            resources=Resources(16_000, 10),
        )
        started_s |= play(cell, 2.0, 12.0, run_time_s, submit)
        self.assertLess(started_s.get("wide", math.inf), 7.0)
        longest_wait_s = max(
            started_s.get(job_id, 12.0) - at_s for job_id, at_s in submitted_s.items()
        )
        self.assertLess(longest_wait_s, 3.0)
