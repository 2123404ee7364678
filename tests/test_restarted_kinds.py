"""Test that a worker that restarts as one of another kind gets no start by the former.

The worker is back under its id and has reported; its entry is still that of the former
incarnation. The tests guard against starts without the label that a step requires, and
against work that stands still although it requires none.
"""

import dataclasses
import unittest
from unittest import mock

from bulrushspur_daemon.worker_watch import apply_entry
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.start_checks import find_misplaced_reason
from bulrushspur_scheduler.waiting import WaitReason, find_wait_reason
from bulrushspur_scheduler.workers import Worker
from fuzz.kinds import run_kinds_history
from tests.cell_fixtures import (
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
)

FORMER_MS, NEXT_MS = 1, 2
SEEDS = range(1, 13)


class RestartedKindTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_test_cell(workers=0)
        self.worker = add_worker(self.cell, "w0", incarnation_start_ms=FORMER_MS)

    def restart(self, now_s):
        apply_worker_report(self.cell, "w0", now_s, incarnation_start_ms=NEXT_MS)

    def register(self, now_s, kind, incarnation_start_ms=NEXT_MS):
        """Apply an entry of the worker in which it is of this kind."""
        entry = dataclasses.replace(
            self.worker.entry,
            labels=(kind, "r1"),
            incarnation_start_ms=incarnation_start_ms,
        )
        apply_entry(self.cell, entry, now_s, lambda worker: None)

    def count_starts(self, now_s):
        self.cell.start_orders.clear()
        plan(self.cell, now_s)
        return len(self.cell.start_orders)

    # Guards against: it gets a start by the labels of its former incarnation.
    def test_step_with_a_label_waits_for_the_entry(self):
        self.restart(1.0)
        add_test_job(self.cell, required_label="a")
        self.assertEqual(self.count_starts(1.0), 0)
        self.register(1.1, "a")
        self.assertEqual(self.count_starts(1.1), 1)

    # Guards against: the entry of the next incarnation is read, and not followed.
    def test_step_does_not_start_on_a_worker_of_another_kind(self):
        self.restart(1.0)
        self.register(1.1, "b")
        add_test_job(self.cell, required_label="a")
        self.assertEqual(self.count_starts(1.1), 0)
        add_test_job(self.cell, "j2", required_label="b")
        self.assertEqual(self.count_starts(1.2), 1)

    # Guards against: the former entry, written once more, is taken for the new one.
    def test_entry_of_the_former_incarnation_tells_no_kind(self):
        self.restart(1.0)
        self.register(1.1, "a", FORMER_MS)
        add_test_job(self.cell, required_label="a")
        self.assertEqual(self.count_starts(1.1), 0)

    # Guards against: an entry that is read before the report is not believed after it.
    def test_entry_that_comes_before_the_report_tells_the_kind(self):
        self.register(0.9, "b")
        self.restart(1.0)
        add_test_job(self.cell, required_label="b")
        self.assertEqual(self.count_starts(1.0), 1)

    # Guards against: all work stands still until the store takes the entry.
    def test_step_without_a_label_starts_at_once(self):
        self.restart(1.0)
        add_test_job(self.cell)
        self.assertEqual(self.count_starts(1.0), 1)

    # Guards against: work with a label waits for good where entries have no start time.
    def test_entry_without_a_start_time_is_believed(self):
        self.register(0.1, "a", 0)
        self.restart(1.0)
        add_test_job(self.cell, required_label="a")
        self.assertEqual(self.count_starts(1.0), 1)

    # Guards against: a gang is placed, or kept room for, by the former labels.
    def test_gang_with_a_label_is_not_placed(self):
        add_worker(self.cell, "w1", incarnation_start_ms=FORMER_MS)
        self.restart(1.0)
        add_test_job(self.cell, required_label="a", gang=True, count=20)
        self.assertEqual(self.count_starts(1.0), 0)
        self.assertIsNone(self.worker.reserved_for)

    # Guards against: a start waits for its turn, and is sent to the next incarnation.
    def test_start_that_has_waited_is_not_sent(self):
        for is_gang in (False, True):
            with self.subTest(is_gang=is_gang):
                self.setUp()
                add_test_job(self.cell, required_label="a", gang=is_gang, count=2)
                plan(self.cell, 0.0)
                run = self.cell.start_orders[0].run
                self.restart(0.1)
                reason = find_misplaced_reason(self.cell, self.worker, run, 0.1)
                self.assertEqual(reason, "worker without the label")

    # Guards against: the log says that there is no room, and operators add workers.
    def test_wait_is_explained(self):
        self.restart(1.0)
        job = add_test_job(self.cell, required_label="a")
        plan(self.cell, 1.0)
        (step,) = job.occurrences[0].steps
        reason = find_wait_reason(self.cell, step, 1.0)
        self.assertIs(reason, WaitReason.EXCLUDED_WORKERS)


class KindsFuzzTest(unittest.TestCase):
    def test_no_task_starts_without_its_label(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_kinds_history(seed).oracle.violations, [])

    def test_histories_find_starts_by_former_labels(self):
        is_own = mock.PropertyMock(return_value=True)
        with mock.patch.object(Worker, "has_own_entry", is_own):
            violations = [run_kinds_history(seed).oracle.violations for seed in SEEDS]
        self.assertTrue(any(violations))


if __name__ == "__main__":
    unittest.main()
