"""Test what operators read from a leader: the metrics text and the reason of a wait."""

import unittest

from bulrushspur_daemon.introspection import explain_job
from bulrushspur_daemon.operator_interface import format_metrics
from tests.cluster import InProcessCluster, job_id


class LongWaitTest(unittest.IsolatedAsyncioTestCase):
    async def test_job_without_room_is_told_in_metrics_log_and_explanation(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=1, workers=1)
        await cluster.submit(job_id(1), count=1, cpu_milli=16_000, run_time_ms=9000)
        await cluster.submit(job_id(2), count=1, cpu_milli=16_000)
        leader = cluster.find_leader()
        await cluster.wait_for(lambda: leader.events("step_waits"))
        self.assertEqual(
            {(row["job"], row["reason"]) for row in leader.events("step_waits")},
            {(job_id(2), "room")},
        )
        self.assertIn("bulrushspur_oldest_wait_room_s ", format_metrics(leader.process))
        (step,) = explain_job(leader.process, job_id(2))["steps"]
        self.assertEqual(step["waits_for"], "room on workers that may run it")


if __name__ == "__main__":
    unittest.main()
