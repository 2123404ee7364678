"""Test that suspects of crashes run apart from other work, and take little from it.

Guards against sound tasks that crash again and again beside the same deadly one, and
against suspects that keep workers from others, or never start.
"""

import unittest
import unittest.mock

from bulrushspur_scheduler import isolation
from bulrushspur_scheduler.crash_causes import SURVIVAL_S
from bulrushspur_scheduler.crashes import COUNT_DELAY_S, SEEN_EVIDENCE
from bulrushspur_scheduler.isolation import HOLD_S
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.leases import mark_incarnation_ended
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import finish_job
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.suspects import (
    CALM_S,
    MAX_CALM_WAIT_S,
    MAX_QUIET_WAIT_S,
    NEEDED_EVIDENCE,
    judge_suspects,
)
from bulrushspur_scheduler.takeover import reconcile
from fuzz.deadly import DeadlySimulation, make_job
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    make_test_cell,
    report_all_workers,
)


class IsolationTestCase(unittest.TestCase):
    """Play passes in a cell whose workers all report."""

    def setUp(self):
        self.cell = make_test_cell(0)
        self.now_s = 100.0

    def pass_time(self, duration_s=0.1):
        """Report all workers and plan; return the workers of the starts by job."""
        self.now_s += duration_s
        report_all_workers(self.cell, self.now_s)
        reconcile(self.cell, self.now_s)
        # The second pass starts suspects, once it is stored where they are to run.
        for _ in range(2):
            for job in self.cell.jobs.values():
                job.stored_crash_version = job.crash_version
            plan(self.cell, self.now_s)
        started = acknowledge_starts(self.cell, self.now_s)
        return {order.run.task.key.job: order.worker_id for order in started}

    def crash_worker_of(self, job):
        """Crash the worker of a job's first run; a new one comes in its place."""
        (run,) = job.occurrences[0].steps[0].tasks[0].runs
        worker = self.cell.workers.pop(run.worker_id)
        self.now_s += COUNT_DELAY_S
        mark_incarnation_ended(self.cell, worker, "gone", self.now_s)
        report_all_workers(self.cell, self.now_s)
        add_worker(self.cell, f"{worker.id}x", now_s=self.now_s)

    def mark_suspect(self, job, crash_count=1):
        (step,) = job.occurrences[0].steps
        step.has_suspects = True
        step.tasks[0].crash_count = crash_count
        step.tasks[0].suspected_crash_count = crash_count

    def add_suspects(self, job_id, queue, **fields):
        job = add_test_job(self.cell, job_id, queue, self.now_s, **fields)
        (step,) = job.occurrences[0].steps
        step.has_suspects = True
        for task in step.tasks:
            task.crash_count = task.suspected_crash_count = 1
            self.cell.suspects[task.key] = task

    def make_suspect(self, job_id="d", crashes=1, **fields):
        """Add a job whose worker crashes just after each of its first starts."""
        add_worker(self.cell, f"for-{job_id}", now_s=self.now_s)
        job = add_test_job(self.cell, job_id, now_s=self.now_s, **fields)
        for _ in range(crashes):
            for _ in range(20):
                if self.pass_time().get(job_id):
                    break
            self.crash_worker_of(job)
        return job


class IsolationTest(IsolationTestCase):
    def test_nothing_starts_beside_a_suspect_until_it_has_survived_its_start(self):
        self.make_suspect()
        self.assertIn("d", self.pass_time())
        add_test_job(self.cell, "s", now_s=self.now_s)
        self.assertEqual(self.pass_time(), {})
        self.assertIn("s", self.pass_time(SURVIVAL_S))

    def test_step_with_many_suspects_keeps_no_other_suspect_waiting_for_all(self):
        for index in range(2):
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
        self.add_suspects("many", "small", count=40, estimate_s=20.0)
        for _ in range(5):
            self.pass_time()
        self.add_suspects("one", "heavy")
        began_s = self.now_s
        while "one" not in self.pass_time():
            self.assertLess(self.now_s - began_s, 3.0)

    def test_suspect_waits_for_a_worker_on_which_nothing_has_just_started(self):
        job = self.make_suspect()
        for index in range(3):
            add_test_job(self.cell, f"s{index}", "small", self.now_s)
        self.assertEqual(set(self.pass_time(0.01)), {"s0", "s1", "s2"})
        self.assertFalse(job.occurrences[0].steps[0].tasks[0].runs)
        self.assertIn("d", self.pass_time(SURVIVAL_S))

    def test_suspect_of_two_early_crashes_runs_alone(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        add_test_job(self.cell, "s", now_s=self.now_s, resources=Resources(16_000, 100))
        self.pass_time()
        self.make_suspect(crashes=2)
        self.assertIn("d", self.pass_time())
        add_test_job(self.cell, "s2", now_s=self.now_s)
        for _ in range(30):
            self.assertNotIn("s2", self.pass_time())

    def test_suspect_of_one_crash_starts_soon_though_no_worker_can_be_isolated(self):
        for index in range(3):
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
        self.add_suspects("d", "heavy")
        patch = unittest.mock.patch.object(isolation, "max_isolated", lambda pool: 0)
        self.enterContext(patch)
        began_s = self.now_s
        while "d" not in self.pass_time():
            judge_suspects(self.cell, self.now_s)
            self.assertLess(self.now_s - began_s, MAX_QUIET_WAIT_S + 0.5)
        self.assertGreater(self.now_s - began_s, MAX_QUIET_WAIT_S)

    def make_last_suspect(self, last_crash_s):
        """Add a job for which one more crash under its task may be the last."""
        job = add_test_job(self.cell, "d", now_s=self.now_s)
        self.mark_suspect(job, 2)
        task = job.occurrences[0].steps[0].tasks[0]
        task.crash_evidence = NEEDED_EVIDENCE - SEEN_EVIDENCE
        task.last_crash_s = last_crash_s

    def crash_by_itself(self, index):
        worker = add_worker(self.cell, f"x{index}", now_s=self.now_s)
        del self.cell.workers[worker.id]
        self.now_s += COUNT_DELAY_S
        mark_incarnation_ended(self.cell, worker, "gone", self.now_s)

    def test_suspect_before_its_last_crash_waits_until_no_other_worker_crashes(self):
        self.make_last_suspect(self.now_s)
        for index in range(5):
            self.crash_by_itself(index)
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
            self.assertEqual(self.pass_time(), {})
        self.assertIn("d", self.pass_time(CALM_S))

    def test_suspect_does_not_wait_for_ever_where_workers_go_on_crashing(self):
        self.make_last_suspect(self.now_s - MAX_CALM_WAIT_S)
        add_worker(self.cell, "w", now_s=self.now_s)
        self.crash_by_itself(0)
        self.assertIn("d", self.pass_time())

    def test_worker_that_is_held_for_a_cancelled_suspect_is_used_again(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        add_test_job(self.cell, "s", now_s=self.now_s)
        self.pass_time()
        job = add_test_job(self.cell, "d", now_s=self.now_s)
        self.mark_suspect(job, 2)
        self.assertEqual(self.pass_time(), {})
        add_test_job(self.cell, "s2", now_s=self.now_s)
        self.assertEqual(self.pass_time(), {})
        finish_job(self.cell, job, JobState.CANCELLED, self.now_s)
        self.assertEqual(self.pass_time(HOLD_S + 0.1), {"s2": "w0"})

    def test_few_workers_are_isolated_in_a_busy_service(self):
        for index in range(16):
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
            resources = Resources(12_000, 100)
            add_test_job(self.cell, f"s{index}", now_s=self.now_s, resources=resources)
        self.pass_time()
        for index in range(6):
            self.mark_suspect(add_test_job(self.cell, f"d{index}", now_s=self.now_s))
        self.assertEqual(len(self.pass_time(SURVIVAL_S)), 2)
        isolated = [w for w in self.cell.workers.values() if w.isolated_for]
        self.assertEqual(len(isolated), 2)

    def test_suspects_that_wait_for_isolation_take_few_advice_calls(self):
        for index in range(8):
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
            resources = Resources(12_000, 100)
            add_test_job(self.cell, f"s{index}", now_s=self.now_s, resources=resources)
        self.pass_time()
        for index in range(20):
            job = add_test_job(self.cell, f"d{index}", "advised", self.now_s)
            self.mark_suspect(job)
            (step,) = job.occurrences[0].steps
            step.evaluated_workers = set(self.cell.workers)
            step.approved_workers = dict.fromkeys(self.cell.workers)
        self.pass_time(SURVIVAL_S)
        self.assertLessEqual(len({call.step for call in self.cell.advice_calls}), 2)

    def test_gang_with_a_suspect_starts_whole_on_quiet_workers(self):
        for index in range(3):
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
        job = add_test_job(
            self.cell, "g", now_s=self.now_s, count=3, gang=True, max_per_worker=1
        )
        self.pass_time()
        self.crash_worker_of(job)
        for task in job.occurrences[0].steps[0].tasks:
            for run in list(task.runs):
                self.cell.workers[run.worker_id].runs.pop(run.key, None)
                task.runs.remove(run)
        self.assertIn("g", self.pass_time(SURVIVAL_S))
        runs = [task.runs for task in job.occurrences[0].steps[0].tasks]
        self.assertEqual([len(row) for row in runs], [1, 1, 1])


class CompanyTest(unittest.TestCase):
    def test_sound_tasks_crash_twice_at_most_beside_a_deadly_one(self):
        for gang, count in ((False, 1), (False, 4), (True, 4)):
            with self.subTest(gang=gang, count=count):
                simulation = DeadlySimulation(1)
                for index in range(6):
                    simulation.submit(make_job(f"s{index}", 4, 6.0), "large")
                spec = make_job("d", count, gang=gang)
                simulation.submit_deadly(spec, "small", {0: 0.01})
                simulation.advance(60.0)
                evidence = simulation.oracle.evidence
                counts = {
                    key: crash_count
                    for key, crash_count in evidence.crash_counts.items()
                    if key not in simulation.deadly_tasks
                    and (key.job != "d" or not gang)
                }
                self.assertLessEqual(max(counts.values(), default=0), 2, counts)
                states = simulation.oracle.published_final_states
                self.assertEqual([states.get(f"s{i}") for i in range(6)].count(None), 0)


if __name__ == "__main__":
    unittest.main()
