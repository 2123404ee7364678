"""Tests of what the cell believes after reports and answers of workers."""

import unittest

from bulrushspur_scheduler.jobs import RunState
from bulrushspur_scheduler.leases import check_leases, extend_lease
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.reports import StartResult, note_start, note_stop
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import add_test_job, heard, make_test_cell, report, started


class ReportsTest(unittest.TestCase):
    def start_one(self, workers=1, **fields):
        self.cell = make_test_cell(workers)
        self.job = add_test_job(self.cell, now_s=0.1, **fields)
        plan(self.cell, 0.1)
        return self.cell.starts

    def test_unanswered_start_frees_its_room_only_with_proof(self):
        (order,) = self.start_one()
        worker = self.cell.workers["w0"]
        note_start(self.cell, order.run, StartResult.UNANSWERED, 0.7)
        report(self.cell, "w0", 0.8)
        self.assertEqual(worker.free.cpu_milli, 15_000)
        (stop,) = self.cell.stops
        note_stop(self.cell, stop, True, 0.9)
        report(self.cell, "w0", 1.0, sent_s=0.85)
        self.assertEqual(worker.free.cpu_milli, 15_000)
        report(self.cell, "w0", 1.1, sent_s=0.95)
        self.assertEqual(worker.free.cpu_milli, 16_000)

    def test_unanswered_start_that_is_listed_runs(self):
        (order,) = self.start_one()
        note_start(self.cell, order.run, StartResult.UNANSWERED, 0.7)
        report(self.cell, "w0", 0.8, [order.run.key])
        self.assertIs(order.run.state, RunState.RUNNING)

    def test_order_under_way_may_reach_the_next_life_of_a_worker(self):
        (order,) = self.start_one(workers=2)
        self.cell.starts.clear()
        name = order.worker
        report(self.cell, name, 0.2, born_ms=2)
        plan(self.cell, 0.2)
        self.assertEqual(self.cell.starts, [])
        self.assertEqual(len(self.cell.stops), 1)
        report(self.cell, name, 0.3, [order.run.key], born_ms=2)
        self.assertIn(order.run.key, self.cell.workers[name].runs)

    def test_run_of_a_former_life_is_over_at_once(self):
        self.start_one(workers=2)
        (order,) = started(self.cell, 0.2)
        report(self.cell, order.worker, 0.5, born_ms=2)
        heard(self.cell, 0.5)
        plan(self.cell, 0.5)
        self.assertEqual(len(self.cell.starts), 1)

    def test_lease_is_over_by_the_slowest_clock_only(self):
        self.start_one(workers=1)
        (order,) = started(self.cell, 0.2)
        worker = self.cell.workers["w0"]
        worker.lease_until_ms = 0
        extend_lease(self.cell, worker, 0.2, 4.0)
        check_leases(self.cell, 4.25)
        self.assertIn(order.run.key, worker.runs)
        check_leases(self.cell, 4.5)
        self.assertEqual(worker.runs, {})

    def test_failed_task_is_tried_elsewhere_until_attempts_are_used_up(self):
        self.start_one(workers=3)
        seen = set()
        for attempt in range(3):
            now_s = 0.2 + attempt
            (order,) = started(self.cell, now_s)
            seen.add(order.worker)
            key, number = order.run.key
            worker = self.cell.workers[order.worker]
            ends = [(worker.applied_upto + 1, key, number, "failed")]
            report(self.cell, order.worker, now_s + 0.5, ended=ends)
            heard(self.cell, now_s + 0.5)
            plan(self.cell, now_s + 0.5)
        self.assertEqual(len(seen), 3)
        self.assertEqual(self.job.state.value, "failed")
        self.assertEqual(self.cell.starts, [])

    def test_end_listed_twice_counts_once(self):
        self.start_one()
        (order,) = started(self.cell, 0.2)
        key, number = order.run.key
        for now_s in (0.5, 0.6):
            report(self.cell, "w0", now_s, ended=[(1, key, number, "failed")])
        self.assertEqual(self.job.occurrences[0].steps[0].tasks[0].failed_runs, {1})

    def test_one_end_of_a_gang_ends_all_its_tasks(self):
        self.start_one(gang=True, count=3)
        orders = started(self.cell, 0.2)
        key, number = orders[0].run.key
        report(self.cell, "w0", 1.0, ended=[(1, key, number, "done")])
        self.assertEqual(self.job.state.value, "completed")
        self.assertEqual(self.cell.workers["w0"].runs, {})

    def test_gang_that_lost_a_member_starts_again_as_a_whole(self):
        self.start_one(workers=2, gang=True, count=2, max_per_worker=1)
        orders = started(self.cell, 0.2)
        key, number = orders[0].run.key
        report(self.cell, orders[0].worker, 1.0, ended=[(1, key, number, "failed")])
        (stop,) = self.cell.stops
        plan(self.cell, 1.0)
        self.assertEqual(self.cell.starts, [])
        report(
            self.cell, stop.worker, 1.1, ended=[(1, stop.key, stop.number, "stopped")]
        )
        heard(self.cell, 1.1)
        plan(self.cell, 1.1)
        self.assertEqual({one.run.number for one in self.cell.starts}, {2})
        self.assertEqual(len(self.cell.starts), 2)

    def test_worker_that_left_an_order_unanswered_gets_no_more_until_heard(self):
        (order,) = self.start_one(workers=1)
        self.cell.starts.clear()
        note_start(self.cell, order.run, StartResult.UNANSWERED, 0.5)
        add_test_job(self.cell, "j2", now_s=0.5)
        plan(self.cell, 0.5)
        self.assertEqual(self.cell.starts, [])
        report(self.cell, "w0", 0.6, [order.run.key])
        plan(self.cell, 0.6)
        self.assertEqual(len(self.cell.starts), 1)

    def test_incomplete_gang_is_stopped_whatever_else_waits(self):
        self.start_one(workers=2, gang=True, count=2, max_per_worker=1)
        orders = list(self.cell.starts)
        self.cell.starts.clear()
        note_start(self.cell, orders[0].run, StartResult.STARTED, 0.2)
        note_start(self.cell, orders[1].run, StartResult.NO_ROOM, 0.2)
        for index in range(80):
            add_test_job(
                self.cell, f"n{index}", "small", 19.9, resources=Resources(99_000, 1)
            )
        heard(self.cell, 20.0)
        self.cell.workers[orders[1].worker].draining = True
        plan(self.cell, 20.0)
        self.assertEqual([one.key for one in self.cell.stops], [orders[0].run.task.key])
