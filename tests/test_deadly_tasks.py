"""Test that a task that crashes its workers is given up, and sound ones are not.

Guards against starting such a task again and again, against forgetting its crashes when
the leader changes, and against failing the tasks that crash with it.
"""

import unittest

from bulrushspur_scheduler.isolation import is_suspect
from fuzz.deadly import DeadlySimulation, make_job
from tests.cluster import InProcessCluster, job_id


class DeadlyTaskTest(unittest.TestCase):
    def setUp(self):
        self.simulation = DeadlySimulation(1)

    def submit_sound(self, count=6, run_time_s=4.0):
        for index in range(count):
            self.simulation.submit(make_job(f"s{index}", 4, run_time_s), "large")

    def check(self, timeout_s=60.0):
        self.simulation.check_jobs(timeout_s)
        self.assertEqual(self.simulation.judge().oracle.violations, [])

    def wait_for(self, condition, timeout_s=20.0):
        """Let time pass until a condition holds, or for so long."""
        deadline_s = self.simulation.now_s + timeout_s
        while not condition() and self.simulation.now_s < deadline_s:
            self.simulation.advance(0.05)

    def test_single_task_is_given_up_and_sound_jobs_complete(self):
        self.submit_sound()
        self.simulation.submit_deadly(make_job("d"), "small", {0: 0.01})
        self.check()

    def test_one_deadly_task_of_four_is_given_up_and_sound_jobs_complete(self):
        self.submit_sound()
        self.simulation.submit_deadly(make_job("d", 4), "small", {2: 0.01})
        self.check()

    def test_gang_with_a_deadly_member_is_given_up_and_sound_jobs_complete(self):
        self.submit_sound()
        self.simulation.submit_deadly(make_job("d", 4, gang=True), "small", {1: 0.01})
        self.check()

    def test_task_that_crashes_workers_only_after_a_while_is_given_up(self):
        self.submit_sound()
        self.simulation.submit_deadly(make_job("d", 1, 5.0), "large", {0: 2.0})
        self.check(90.0)

    def test_many_deadly_jobs_are_given_up_and_sound_jobs_complete(self):
        simulation = self.simulation
        for index in range(20):
            simulation.submit(make_job(f"s{index}", 2, 0.6), "small")
            if index % 3 == 0:
                spec = make_job(f"d{index}", 2)
                simulation.submit_deadly(spec, "small", {0: 0.01})
            simulation.advance(0.3)
        self.check()

    def test_crashes_are_remembered_by_the_next_leaders(self):
        simulation = self.simulation
        self.submit_sound(3)
        simulation.submit_deadly(make_job("d"), "small", {0: 0.01})
        (task,) = simulation.deadly_tasks.values()
        for crash_count in range(1, 9):
            self.wait_for(lambda count=crash_count: task.crash_count >= count)
            # Another leader as soon as the crash has been noticed, and is stored.
            self.wait_for(lambda: simulation.leaders[-1].cell.suspects)
            simulation.advance(0.15)
            simulation.take_over(False)
        self.check()

    def test_sound_tasks_that_lose_their_worker_three_times_complete(self):
        simulation = self.simulation
        self.submit_sound(6, 3.0)
        for _ in range(3):
            simulation.advance(2.0)
            for name in simulation.list_alive():
                simulation.crash_worker(name)
            simulation.advance(5.0)
        self.check()


class CommonCauseTest(unittest.TestCase):
    def test_sound_tasks_are_no_suspects_after_all_workers_crashed_five_times(self):
        simulation = DeadlySimulation(1)
        for index in range(60):
            simulation.submit(make_job(f"s{index}", 4, 0.8), "small")
        simulation.advance(1.0)
        for _ in range(5):
            for name in simulation.list_alive():
                simulation.crash_worker(name)
            simulation.advance(4.2)
        cell = simulation.leaders[-1].cell
        self.assertFalse([t for t in cell.suspects.values() if is_suspect(t)])
        simulation.check_jobs(60.0)
        self.assertEqual(simulation.judge().oracle.violations, [])
        self.assertEqual(simulation.sound_failed_ids, [])


class DeadlyTaskProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_deadly_task_is_given_up_though_the_leader_changes(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=3, workers=4)
        await cluster.submit(job_id(1), count=2, outcome="crash:0", run_time_ms=20)
        for number in range(2, 8):
            await cluster.submit(job_id(number), count=2, run_time_ms=700)
        task = f"{job_id(1)}.0.0.0"
        await cluster.wait_for(lambda: cluster.oracle.crash_counts.get(task))
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        await cluster.wait_job_state(job_id(1), "failed", wait_s=20.0)
        told = await cluster.fetch_job(job_id(1))
        self.assertIn("workers crashed under a task", told["reason"])
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        self.assertEqual(await cluster.fetch_job(job_id(1)), told)
        for number in range(2, 8):
            await cluster.wait_job_state(job_id(number), "completed", wait_s=20.0)
        self.assertEqual(cluster.find_violations(), [])


if __name__ == "__main__":
    unittest.main()
