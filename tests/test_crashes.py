"""Test which losses of a worker count as crashes, and what is told of them."""

import dataclasses
import unittest

from bulrushspur_daemon.worker_watch import apply_entry
from bulrushspur_scheduler.crash_causes import SURVIVAL_S
from bulrushspur_scheduler.crashes import COUNT_DELAY_S
from bulrushspur_scheduler.leases import (
    expire_leases,
    extend_lease,
    mark_incarnation_ended,
)
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.runs import stop_step
from bulrushspur_scheduler.suspects import awaits_verdict, judge_suspects
from bulrushspur_scheduler.workers import WorkerEntry
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
)

LONG_AFTER_S = 10.0


def events_of(cell, name):
    return [event.fields for event in cell.events if event.name == name]


class CrashEvidenceTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_test_cell(1)
        self.worker = self.cell.workers["w0"]
        self.old = add_test_job(self.cell, "old")
        self.start(0.1)
        self.heard_s = 0.2 + SURVIVAL_S
        running = [run.key for run in self.worker.runs.values()]
        apply_worker_report(self.cell, "w0", self.heard_s, running)
        self.young = add_test_job(self.cell, "young", now_s=self.heard_s)
        self.start(self.heard_s)

    def start(self, now_s):
        plan(self.cell, now_s)
        acknowledge_starts(self.cell, now_s)

    def crash_counts(self):
        tasks = [job.occurrences[0].steps[0].tasks[0] for job in (self.old, self.young)]
        return [(task.crash_count, task.suspected_crash_count) for task in tasks]

    def test_crash_counts_for_all_runs_and_makes_those_just_started_suspects(self):
        mark_incarnation_ended(self.cell, self.worker, "gone", LONG_AFTER_S)
        self.assertEqual(self.crash_counts(), [(1, 0), (1, 1)])
        (event,) = events_of(self.cell, "worker_crashed")
        self.assertEqual((event["runs"], event["early_runs"]), (2, 1))
        self.assertEqual(
            event["suspects"],
            ["young.0.0.0 run 1, suspected in 1 of 1 crashes, ordered 8800 ms ago"],
        )

    def test_all_runs_are_suspects_if_none_has_just_started(self):
        running = [run.key for run in self.worker.runs.values()]
        apply_worker_report(self.cell, "w0", self.heard_s + SURVIVAL_S, running)
        mark_incarnation_ended(self.cell, self.worker, "gone", LONG_AFTER_S)
        self.assertEqual(self.crash_counts(), [(1, 1), (1, 1)])

    def test_crash_beside_others_that_no_start_explains_makes_no_suspects(self):
        for name in ("w1", "w2"):
            other = add_worker(self.cell, name, now_s=self.heard_s)
            mark_incarnation_ended(self.cell, other, "gone", LONG_AFTER_S)
        mark_incarnation_ended(self.cell, self.worker, "gone", LONG_AFTER_S)
        self.assertEqual(self.crash_counts(), [(1, 0), (1, 0)])
        self.assertTrue(events_of(self.cell, "worker_crashed")[-1]["common_cause"])

    def test_crash_is_counted_only_once_others_may_have_fallen_silent(self):
        mark_incarnation_ended(self.cell, self.worker, "gone", self.heard_s + 0.1)
        self.assertEqual(self.crash_counts(), [(0, 0), (0, 0)])
        # The task that had just started waits for it.
        plan(self.cell, self.heard_s + 0.1)
        self.assertFalse(self.young.occurrences[0].steps[0].tasks[0].runs)
        for name in ("w1", "w2"):
            add_worker(self.cell, name, now_s=self.heard_s)
        judge_suspects(self.cell, self.heard_s + COUNT_DELAY_S + 0.01)
        self.assertEqual(self.crash_counts(), [(1, 0), (1, 0)])

    def test_crash_is_counted_once_however_often_it_is_seen(self):
        for seen_s in (LONG_AFTER_S, LONG_AFTER_S + 1):
            mark_incarnation_ended(self.cell, self.worker, "gone", seen_s)
        self.assertEqual(len(events_of(self.cell, "worker_crashed")), 1)

    def test_worker_back_under_its_id_has_crashed(self):
        apply_worker_report(self.cell, "w0", LONG_AFTER_S, incarnation_start_ms=2)
        self.assertEqual(self.crash_counts(), [(1, 0), (1, 1)])

    def test_drained_worker_has_not_crashed(self):
        self.worker.draining = True
        mark_incarnation_ended(self.cell, self.worker, "gone", LONG_AFTER_S)
        self.assertEqual(self.crash_counts(), [(0, 0), (0, 0)])

    def test_lapsed_lease_is_no_crash(self):
        expire_leases(self.cell, 100.0)
        self.assertFalse(self.worker.runs)
        self.assertEqual(self.crash_counts(), [(0, 0), (0, 0)])


def task_of(job):
    return job.occurrences[0].steps[0].tasks[0]


def count_all(cell, now_s):
    """Count all crashes, with the list of workers read since."""
    cell.worker_list_s = now_s
    judge_suspects(cell, now_s)


class EvidenceTest(unittest.TestCase):
    def start_run(self):
        """Start a job on the only worker; return cell, worker, task and run."""
        cell = make_test_cell(1)
        task = task_of(add_test_job(cell))
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        (run,) = task.runs
        return cell, cell.workers["w0"], task, run

    def test_run_that_only_the_next_incarnation_confirmed_is_no_evidence(self):
        cell = make_test_cell(1)
        apply_worker_report(cell, "w0", 1.0)
        # It restarts at 1.1 s under its id, which is all that an order names.
        job = add_test_job(cell, now_s=1.2)
        plan(cell, 1.2)
        acknowledge_starts(cell, 1.25)
        (run,) = task_of(job).runs
        apply_worker_report(cell, "w0", 1.3, [run.key], incarnation_start_ms=2)
        count_all(cell, 1.3 + COUNT_DELAY_S)
        self.assertEqual(len(task_of(job).runs), 1)
        self.assertEqual(task_of(job).crash_evidence, 0)

    def restart_with_listed_run(self, repeated_count):
        """Let a worker restart; its next incarnation lists the run that it had."""
        cell, worker, task, run = self.start_run()
        run.repeated_count = repeated_count
        apply_worker_report(cell, "w0", 1.0, [run.key], incarnation_start_ms=2)
        count_all(cell, 1.0 + COUNT_DELAY_S)
        return cell, worker, task, run

    def test_run_that_both_incarnations_may_have_begun_is_evidence(self):
        _, _, task, _ = self.restart_with_listed_run(repeated_count=1)
        self.assertGreater(task.crash_evidence, 0)

    def test_crash_of_the_incarnation_that_began_a_run_counts(self):
        cell, worker, task, _ = self.restart_with_listed_run(repeated_count=0)
        self.assertEqual(task.crash_count, 0)
        cell.worker_list_s = 3.0
        mark_incarnation_ended(cell, worker, "gone", 3.0)
        count_all(cell, 3.0 + COUNT_DELAY_S)
        self.assertEqual(task.crash_count, 1)
        self.assertGreater(task.crash_evidence, 0)

    def test_incarnation_that_drained_has_not_crashed_under_the_same_id(self):
        cell, worker, task, run = self.start_run()
        worker.draining = True
        apply_worker_report(cell, "w0", 2.0, [run.key])
        # It has left and started again; its entry is read before its first report.
        entry = dataclasses.replace(worker.entry, incarnation_start_ms=2)
        apply_entry(cell, entry, 2.5, lambda worker: None)
        apply_worker_report(cell, "w0", 2.6, incarnation_start_ms=2)
        count_all(cell, 2.6 + COUNT_DELAY_S)
        self.assertEqual(task.crash_evidence, 0)

    def test_worker_that_reports_again_has_not_crashed(self):
        cell, worker, task, run = self.start_run()
        # The platform's list lacks it for a moment, while it is only cut off.
        cell.worker_list_s = 1.0
        mark_incarnation_ended(cell, worker, "not listed", 1.0)
        apply_worker_report(cell, "w0", 1.2, [run.key])
        count_all(cell, 1.2 + COUNT_DELAY_S)
        self.assertEqual(task.crash_evidence, 0)

    def test_worker_that_reported_just_before_it_crashed_has_crashed(self):
        cell, worker, task, run = self.start_run()
        cell.worker_list_s = 1.0
        mark_incarnation_ended(cell, worker, "gone", 1.0)
        # This answer was on its way when the worker ended.
        apply_worker_report(cell, "w0", 1.2, [run.key], request_sent_s=0.9)
        count_all(cell, 1.2 + COUNT_DELAY_S)
        self.assertGreater(task.crash_evidence, 0)

    def test_task_of_a_worker_that_reports_again_waits_no_longer(self):
        cell, worker, task, run = self.start_run()
        cell.worker_list_s = 1.0
        mark_incarnation_ended(cell, worker, "not listed", 1.0)
        self.assertTrue(awaits_verdict(task))
        apply_worker_report(cell, "w0", 1.2, [run.key])
        self.assertFalse(awaits_verdict(task))
        self.assertEqual(len(cell.crashes), 0)

    def test_lease_that_was_over_before_the_crash_was_seen_is_no_evidence(self):
        cell, worker, task, run = self.start_run()
        # A long poll: the lease counts from its request on.
        lease_s = cell.timing_limits.lease_s
        worker.lease_until_ms = 0
        extend_lease(cell, worker, 1.0, lease_s)
        apply_worker_report(cell, "w0", 2.95, [run.key], request_sent_s=1.0)
        # The store has not confirmed the term since, so the run is still here.
        seen_s = 1.0 + lease_s + 1.0
        self.assertTrue(worker.is_lease_expired(seen_s))
        cell.worker_list_s = seen_s
        mark_incarnation_ended(cell, worker, "gone", seen_s)
        count_all(cell, seen_s + COUNT_DELAY_S)
        self.assertEqual(task.crash_evidence, 0)

    def test_gang_that_was_stopped_elsewhere_is_no_evidence(self):
        cell = make_test_cell(2)
        size = Resources(9000, 100)
        job = add_test_job(cell, count=2, gang=True, resources=size)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        first, second = job.occurrences[0].steps[0].tasks
        stop_step(cell, first.step, "preempted")
        # The first member has stopped, which broke the second one.
        (run,) = first.runs
        apply_worker_report(cell, run.worker_id, 2.0, ended=[(1, *run.key, "stopped")])
        # The worker of the second one is cut off, and crashes a second later.
        worker = cell.workers[second.runs[0].worker_id]
        cell.worker_list_s = 3.0
        mark_incarnation_ended(cell, worker, "gone", 3.0)
        count_all(cell, 3.0 + COUNT_DELAY_S)
        self.assertEqual(second.crash_evidence, 0)


class CapacityEventTest(unittest.TestCase):
    def test_changed_capacity_is_logged_with_what_it_was(self):
        cell = make_test_cell(1)
        entry = WorkerEntry("w0", "svc", "1.1.1.1:1", "z", Resources(4000, 32_768))
        apply_entry(cell, entry, 1.0, lambda worker: None)
        (event,) = events_of(cell, "worker_capacity")
        self.assertEqual(
            (event["cpu_milli_before"], event["cpu_milli"], event["free_milli"]),
            (16_000, 4000, 4000),
        )


if __name__ == "__main__":
    unittest.main()
