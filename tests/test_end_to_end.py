"""Test the whole path from a caller's request to the end of its tasks.

The tests guard against faults between the parts: a repeated submission that runs a job
twice, steps out of order, tasks on workers that advice excludes, tasks that run on
after a cancellation, and refusals with the wrong status. After each test, the oracle of
the stand-in workers must have recorded no violation.
"""

import unittest

import msgspec

from tests.cluster import InProcessCluster, job_id


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start()

    async def asyncTearDown(self):
        self.assertEqual(self.cluster.find_violations(), [])

    async def test_job_runs_once_through_any_process(self):
        cluster = self.cluster
        first, second, third = cluster.nodes.values()
        answer = await cluster.submit(job_id(1), node=first, count=3)
        self.assertEqual(answer.status, 200)
        repeated = await cluster.submit(job_id(1), node=second, count=3)
        self.assertEqual(repeated.status, 200)
        await cluster.wait_job_state(job_id(1), "completed", node=third)
        late = await cluster.submit(job_id(1), node=third, count=3)
        self.assertEqual(late.status, 200)
        self.assertEqual(await cluster.fetch_job_state(job_id(1)), "completed")
        self.assertEqual(len(cluster.oracle.starts), 3)

    async def test_steps_run_in_order(self):
        steps = [
            {"count": 2, "cpu": 1000, "mem_mb": 1, "estimate_ms": 100},
            {
                "count": 2,
                "cpu": 1000,
                "mem_mb": 1,
                "estimate_ms": 100,
                "depends_on": [0],
            },
        ]
        await self.cluster.submit(job_id(2), steps=steps)
        await self.cluster.wait_job_state(job_id(2), "completed")
        order = [row[1].split(".")[2] for row in self.cluster.oracle.starts]
        self.assertEqual(order, ["0", "0", "1", "1"])

    async def test_queue_with_advice_uses_only_workers_that_may_run_it(self):
        await self.cluster.submit(job_id(3), "place", count=3)
        await self.cluster.wait_job_state(job_id(3), "completed", "place")
        for _, task, _, worker in self.cluster.oracle.starts:
            step = task.rpartition(".")[0]
            self.assertTrue(self.cluster.advice.is_approved(step, worker))

    async def test_cancel_stops_tasks(self):
        await self.cluster.submit(job_id(4), run_time_ms=60_000)
        await self.cluster.wait_job_state(job_id(4), "running")
        answer = await self.cluster.call("DELETE", f"/assess/{job_id(4)}")
        self.assertEqual(answer.status, 200)
        await self.cluster.wait_for(lambda: not self.cluster.oracle.running_on, 2.0)
        self.assertEqual(await self.cluster.fetch_job_state(job_id(4)), "cancelled")

    async def test_task_that_always_fails_ends_the_job(self):
        await self.cluster.submit(job_id(5), count=1, outcome="failed")
        await self.cluster.wait_job_state(job_id(5), "failed")
        self.assertEqual(len(self.cluster.oracle.starts), 3)
        for node in self.cluster.nodes.values():
            found = await self.cluster.fetch_job(job_id(5), node=node)
            self.assertEqual(found["reason"], "a task failed as often as it may")

    async def test_unknown_or_invalid_requests_are_refused(self):
        cluster = self.cluster
        answer = await cluster.call("GET", f"/assess/{job_id(9)}")
        self.assertEqual(answer.status, 410)
        answer = await cluster.call("GET", f"/assess/{job_id(9)}", key="no")
        self.assertEqual(answer.status, 401)
        answer = await cluster.call("GET", f"/nothing/{job_id(9)}")
        self.assertEqual(answer.status, 404)
        answer = await cluster.call("POST", f"/assess/{job_id(9)}", {"steps": 3})
        self.assertEqual(answer.status, 400)
        answer = await cluster.submit(job_id(9), cpu_milli=99_000)
        self.assertEqual(answer.status, 429)
        self.assertIn("retry-after", answer.headers)

    async def test_count_of_waiting_jobs(self):
        for number in range(20, 24):
            await self.cluster.submit(
                job_id(number), count=1, cpu_milli=16_000, run_time_ms=30_000
            )
        await self.cluster.submit(
            job_id(30), count=1, cpu_milli=16_000, run_time_ms=30_000
        )

        async def count():
            answer = await self.cluster.call("GET", "/assess/")
            return msgspec.json.decode(answer.body)["waiting"]

        for _ in range(100):
            if await count() == 1:
                break
        self.assertEqual(await count(), 1)
