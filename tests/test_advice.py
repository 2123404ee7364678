"""Tests of when and about whom the placement advice service is asked."""

import unittest

from bulrushspur_scheduler.advice import Lane, apply_advice, choose_lane
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    make_test_cell,
    report_all_workers,
)


def answer(cell, good, now_s, valid_s=2.5):
    """Answer the one call that was decided."""
    (ask,) = cell.advice_calls
    cell.advice_calls.clear()
    rows = [(name, "t") for name in ask.worker_ids if name in good]
    apply_advice(cell, ask.step, ask.worker_ids, rows, valid_s, now_s)
    return ask


class AdviceTest(unittest.TestCase):
    def test_starts_only_where_a_ticket_is_valid(self):
        cell = make_test_cell(3)
        add_test_job(cell, queue="advised", now_s=0.1, count=3)
        plan(cell, 0.1)
        self.assertEqual(cell.start_orders, [])
        answer(cell, {"w1"}, 0.6)
        plan(cell, 0.6)
        self.assertEqual({one.worker for one in cell.start_orders}, {"w1"})
        self.assertEqual({one.ticket for one in cell.start_orders}, {"t"})

    def test_expired_tickets_are_renewed_for_good_workers_only(self):
        cell = make_test_cell(3)
        add_test_job(cell, "full", "bulk", count=48, now_s=0.1)
        plan(cell, 0.1)
        running = acknowledge_starts(cell, 0.1)
        add_test_job(cell, queue="advised", now_s=0.2)
        plan(cell, 0.2)
        answer(cell, {"w1", "w2"}, 0.7)
        plan(cell, 0.7)
        self.assertEqual(cell.start_orders, [])
        for order in running:
            cell.workers[order.worker].runs.clear()
        for worker in cell.workers.values():
            worker.free.cpu_milli = 16_000
        report_all_workers(cell, 4.0)
        plan(cell, 4.0)
        ask = answer(cell, {"w1", "w2"}, 4.4)
        self.assertEqual(set(ask.worker_ids), {"w1", "w2"})
        report_all_workers(cell, 4.4)
        plan(cell, 4.4)
        self.assertEqual(len(cell.start_orders), 1)

    def test_gang_whose_room_is_far_off_asks_about_other_workers(self):
        cell = make_test_cell(8)
        add_test_job(
            cell,
            "busy",
            "bulk",
            0.1,
            count=8,
            max_per_worker=1,
            estimate_s=10.0,
            resources=Resources(9000, 1),
        )
        plan(cell, 0.1)
        busy = {one.worker for one in acknowledge_starts(cell, 0.1)}
        for index in range(8):
            add_worker(cell, f"idle{index}", now_s=0.2)
        fields = {"count": 6, "gang": True, "resources": Resources(9000, 10)}
        job = add_test_job(cell, queue="advised", now_s=0.2, **fields)
        step = job.occurrences[0].steps[0]
        step.evaluated_workers |= busy
        step.approved_workers |= busy
        report_all_workers(cell, 0.2)
        plan(cell, 0.2)
        (ask,) = cell.advice_calls
        self.assertEqual({one[:4] for one in ask.worker_ids}, {"idle"})

    def test_wide_step_is_asked_about_in_calls_that_run_side_by_side(self):
        cell = make_test_cell(100)
        spec = {"count": 30, "gang": True, "resources": Resources(8000, 10)}
        add_test_job(cell, queue="advised", now_s=0.1, **spec)
        plan(cell, 0.1)
        named = [name for ask in cell.advice_calls for name in ask.worker_ids]
        self.assertGreater(len(cell.advice_calls), 2)
        self.assertTrue(all(len(ask.worker_ids) <= 24 for ask in cell.advice_calls))
        self.assertEqual(len(named), len(set(named)))
        self.assertGreaterEqual(len(named), 90)
        asks, cell.advice_calls = cell.advice_calls, []
        for ask in asks[:-1]:
            rows = [(name, "t") for name in ask.worker_ids]
            apply_advice(cell, ask.step, ask.worker_ids, rows, 2.5, 0.6)
        plan(cell, 0.6)
        self.assertEqual(len(cell.start_orders), 30)

    def test_long_calls_wait_for_a_free_lane_in_order_of_rank(self):
        cell = make_test_cell(30)
        for index in range(4):
            add_test_job(cell, f"j{index}", "advised", 0.1 + 0.1 * index)
        cell.free_long_call_lanes = 2
        plan(cell, 0.6)
        self.assertEqual([one.step.job for one in cell.advice_calls], ["j0", "j1"])
        cell.advice_calls.clear()
        cell.free_long_call_lanes = 1
        plan(cell, 0.7)
        self.assertEqual([one.step.job for one in cell.advice_calls], ["j2"])

    def test_short_gang_is_fitted_in_before_a_reservation_is_due(self):
        cell = make_test_cell(2)
        busy = {"count": 2, "max_per_worker": 1, "estimate_s": 9.0}
        add_test_job(cell, "b", "bulk", 0.1, resources=Resources(9000, 1), **busy)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        report_all_workers(cell, 0.2)
        wide = {"count": 4, "gang": True, "resources": Resources(8000, 1)}
        add_test_job(cell, "wide", "heavy", 0.2, estimate_s=9.0, **wide)
        short = {"count": 2, "gang": True, "resources": Resources(6000, 1)}
        add_test_job(cell, "short", "bulk", 0.2, estimate_s=1.0, **short)
        plan(cell, 0.2)
        self.assertEqual({one.run.task.key.job for one in cell.start_orders}, {"short"})

    def test_long_calls_keep_to_a_part_of_the_lanes(self):
        lanes = [Lane(f"n{index}") for index in range(4)]
        used = set()
        for _ in range(8):
            lane = choose_lane(lanes, 0.5, 1.0)
            lane.busy_until_s = max(lane.busy_until_s, 1.0) + 0.5
            used.add(lane.name)
        self.assertEqual(used, {"n0", "n1"})
        self.assertIn(choose_lane(lanes, 0.02, 1.0).name, {"n2", "n3"})
