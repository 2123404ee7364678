"""Test how long a suspect of crashes may keep others from its worker if it lasts.

Guards against workers that are kept from other work for good.
"""

import unittest

from bulrushspur_scheduler.crash_causes import SURVIVAL_S
from bulrushspur_scheduler.crashes import SEEN_EVIDENCE
from bulrushspur_scheduler.isolation import HOLD_S
from bulrushspur_scheduler.pools import ALONE_SURVIVAL_S
from bulrushspur_scheduler.suspects import (
    EXONERATION_S,
    MAX_QUIET_WAIT_S,
    judge_suspects,
)
from tests.cell_fixtures import add_test_job, add_worker
from tests.test_isolation import IsolationTestCase


class LastingSuspectTest(IsolationTestCase):
    def add_lasting_job(self, job_id, count):
        fields = {"long_running": True, "max_per_worker": 1}
        return add_test_job(self.cell, job_id, now_s=self.now_s, count=count, **fields)

    def add_lasting_suspect(self, job_id="d"):
        job = self.add_lasting_job(job_id, 1)
        self.mark_suspect(job, 2)
        return job

    def wait_for_start(self, job_id, max_wait_s):
        began_s = self.now_s
        while job_id not in self.pass_time():
            self.assertLess(self.now_s - began_s, max_wait_s)

    def test_lasting_suspect_keeps_others_from_its_worker_for_seconds_only(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        self.add_lasting_suspect()
        self.assertIn("d", self.pass_time())
        self.add_lasting_job("s", 1)
        self.wait_for_start("s", ALONE_SURVIVAL_S + 0.3)

    def test_suspect_holds_no_worker_whose_runs_last(self):
        for index in range(4):
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
        self.add_lasting_job("l", 4)
        self.pass_time()
        self.mark_suspect(add_test_job(self.cell, "d", now_s=self.now_s), 2)
        for _ in range(20):
            self.pass_time()
            isolated = [w.id for w in self.cell.workers.values() if w.isolated_for]
            self.assertEqual(isolated, [])

    def test_tasks_of_its_own_step_do_not_keep_a_held_worker_isolated(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        job = add_test_job(self.cell, "d", now_s=self.now_s, count=2, max_per_worker=1)
        self.pass_time()
        (step,) = job.occurrences[0].steps
        (waiting,) = step.startable_tasks()
        waiting.crash_count = waiting.suspected_crash_count = 2
        step.has_suspects = True
        for _ in range(3):
            self.pass_time()
        self.assertEqual(self.cell.workers["w0"].isolated_for, step.key)
        self.cell.waiting_steps.pop(step.key)
        add_test_job(self.cell, "s", now_s=self.now_s)
        self.assertIn("s", self.pass_time(HOLD_S + 0.1))

    def test_isolated_workers_do_not_count_twice_for_their_limit(self):
        for index in range(8):
            add_worker(self.cell, f"w{index}", now_s=self.now_s)
        self.add_suspects("many", "small", count=40, estimate_s=20.0)
        for _ in range(5):
            self.pass_time()
            isolated = [w.id for w in self.cell.workers.values() if w.isolated_for]
            self.assertLessEqual(len(isolated), 6)
        self.assertEqual(len(isolated), 6)

    def test_suspect_leaves_the_worker_that_is_held_for_one_that_is_empty(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        add_test_job(self.cell, "s", now_s=self.now_s)
        self.pass_time()
        self.mark_suspect(add_test_job(self.cell, "d", now_s=self.now_s), 2)
        self.pass_time()
        add_worker(self.cell, "w1", now_s=self.now_s)
        self.assertEqual(self.pass_time(), {"d": "w1"})
        self.assertIsNone(self.cell.workers["w0"].isolated_for)

    def test_suspect_that_had_company_is_still_one_after_the_next_crash(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        job = self.add_lasting_suspect()
        self.pass_time()
        self.add_lasting_job("s", 1)
        self.wait_for_start("s", ALONE_SURVIVAL_S + 0.3)
        self.cell.worker_list_s = self.now_s
        self.crash_worker_of(job)
        task = job.occurrences[0].steps[0].tasks[0]
        self.assertEqual(task.suspected_crash_count, 3)
        # What had just started beside it may be the cause as well.
        self.assertEqual(task.isolated_crash_count, 0)

    def test_crash_without_a_start_beside_it_still_shows_whose_fault_it_was(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        job = self.add_lasting_suspect()
        self.pass_time()
        self.add_lasting_job("s", 1)
        self.wait_for_start("s", ALONE_SURVIVAL_S + 0.3)
        self.pass_time(SURVIVAL_S + 0.1)
        self.cell.worker_list_s = self.now_s
        self.crash_worker_of(job)
        task = job.occurrences[0].steps[0].tasks[0]
        self.assertEqual(task.isolated_crash_count, 1)

    def test_step_that_is_not_urgent_enough_shares_no_worker(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        self.add_lasting_suspect()
        self.pass_time()
        add_test_job(self.cell, "s", now_s=self.now_s)
        for _ in range(30):
            self.assertNotIn("s", self.pass_time())

    def test_suspect_of_crashes_that_are_not_certain_runs_beside_runs_that_last(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        self.add_lasting_job("l", 1)
        self.pass_time()
        self.add_lasting_suspect()
        self.wait_for_start("d", MAX_QUIET_WAIT_S + 0.5)

    def test_suspect_that_may_have_company_shares_the_worker_of_another(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        self.add_lasting_suspect("e")
        self.pass_time()
        self.add_lasting_suspect("d")
        self.wait_for_start("d", ALONE_SURVIVAL_S + 2.0)

    def test_suspect_of_certain_crashes_does_not_start_beside_runs_that_last(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        self.add_lasting_job("l", 1)
        self.pass_time()
        job = self.add_lasting_suspect()
        task = job.occurrences[0].steps[0].tasks[0]
        task.crash_evidence = 2 * SEEN_EVIDENCE
        for _ in range(100):
            self.assertNotIn("d", self.pass_time())

    def test_cleared_suspect_gives_its_worker_back(self):
        add_worker(self.cell, "w0", now_s=self.now_s)
        job = self.add_lasting_suspect()
        task = job.occurrences[0].steps[0].tasks[0]
        self.cell.suspects[task.key] = task
        self.pass_time()
        self.pass_time(EXONERATION_S + 0.1)
        judge_suspects(self.cell, self.now_s)
        add_test_job(self.cell, "s", now_s=self.now_s)
        self.assertIn("s", self.pass_time())


if __name__ == "__main__":
    unittest.main()
