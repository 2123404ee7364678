"""Test that log events lead from a job id to the cause of its outcome.

docs/OPERATIONS.md describes these steps. The tests fail if an event is not written,
lacks the job id or gives another reason than the caller got.
"""

import unittest

from tests.cluster import InProcessCluster, job_id


class OperationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=2, workers=2)

    def events_of(self, job):
        """Return the log events about a job, from all processes, by event name."""
        rows = {}
        for node in self.cluster.nodes.values():
            node.process.log.sink.flush()
            for row in node.all_events():
                if row.get("job") == job:
                    rows.setdefault(row["event"], []).append(row)
        return rows

    async def test_rejected_request(self):
        cluster = self.cluster
        await cluster.submit(job_id(1), cpu_milli=99_000)
        rows = self.events_of(job_id(1))
        self.assertEqual(rows["caller_submit"][0]["outcome"], "rejected")
        reason = "no worker is large enough"
        self.assertEqual(rows["caller_submit"][0]["reason"], reason)
        self.assertEqual(rows["reject"][0]["reason"], reason)

    async def test_rejection_while_the_store_is_unavailable(self):
        cluster = self.cluster
        cluster.store.faults.forced_status = 503
        await cluster.submit(job_id(1))
        await cluster.submit(job_id(2))
        rows = self.events_of(job_id(2))
        self.assertEqual(rows["reject"][0]["reason"], "the store is away")
        lost = cluster.find_leader().events("store_lost")
        self.assertIn("503", lost[0]["reason"])

    async def test_failed_job(self):
        cluster = self.cluster
        await cluster.submit(job_id(1), count=1, outcome="failed")
        await cluster.wait_job_state(job_id(1), "failed")
        rows = self.events_of(job_id(1))
        self.assertEqual([row["how"] for row in rows["end"]], ["failed"] * 3)
        self.assertEqual(rows["finish"][0]["state"], "failed")
        self.assertEqual(len(rows["start"]), 3)

    async def test_submission_in_doubt(self):
        cluster = self.cluster
        # Each append is carried out, and its answer is lost.
        cluster.store.faults.lost_answer_share = 1.0
        answer = await cluster.submit(job_id(1), wait_s=1.0)
        self.assertEqual(answer.status, 504)
        rows = self.events_of(job_id(1))
        row = rows["caller_submit"][0]
        self.assertEqual(row["outcome"], "in_doubt")
        self.assertEqual(row["leader"], cluster.find_leader().process.settings.name)
        self.assertTrue(cluster.find_leader().events("store_lost"))
        cluster.store.faults.lost_answer_share = 0.0
        await cluster.wait_job_state(job_id(1), "completed")
        self.assertIn("accept", self.events_of(job_id(1)))
