"""Test that a job can be cancelled after its queue was removed.

A caller that was answered 404 has no acknowledgement, and repeats its cancel in vain.
The tests guard against jobs that work on for as long as they like.
"""

import asyncio
import unittest

from tests.cluster import CONFIG, InProcessCluster, job_id

OTHER_KEY = "key-of-others"
# The queue "assess" is missing.
LATER_CONFIG = {
    **CONFIG,
    "version": 4,
    "routes": CONFIG["routes"][1:],
    "tenants": [
        *CONFIG["tenants"],
        {**CONFIG["tenants"][0], "name": "others", "api_keys": [OTHER_KEY]},
    ],
}


class RemovedQueueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=2, workers=2)
        self.running = self.cluster.oracle.running_on
        await self.cluster.submit(job_id(1), count=6, run_time_ms=30_000)
        await self.cluster.wait_for(lambda: len(self.running) == 6)
        self.cluster.publish_config(LATER_CONFIG)
        await self.cluster.wait_for(self.is_removed_everywhere)

    def is_removed_everywhere(self):
        return all(
            node.process.config_watch.current.version == LATER_CONFIG["version"]
            for node in self.cluster.nodes.values()
        )

    async def delete(self, job="", node=None, **fields):
        path = f"/assess/{job or job_id(1)}"
        answer = await self.cluster.call("DELETE", path, node=node, **fields)
        return answer.status

    async def test_cancel_is_acknowledged_by_each_process_and_the_runs_stop(self):
        statuses = [await self.delete(node=n) for n in self.cluster.nodes.values()]
        self.assertEqual(statuses, [410, 410])
        await self.cluster.wait_for(lambda: not self.running, 1.0)

    async def test_cancel_outlasts_the_leader(self):
        self.assertEqual(await self.delete(), 410)
        await self.cluster.kill(self.cluster.find_leader())
        await self.cluster.wait_leader()
        await asyncio.sleep(0.5)
        self.assertEqual(await self.delete(), 410)
        self.assertEqual((self.running, len(self.cluster.oracle.starts)), ({}, 6))

    async def test_other_accounts_and_unknown_keys_cancel_nothing(self):
        for key in (OTHER_KEY, "no-key"):
            self.assertEqual(await self.delete(key=key), 404)
        self.assertEqual(len(self.running), 6)

    async def test_nothing_else_of_the_queue_is_served(self):
        self.assertEqual(await self.delete(job_id(2)), 404)
        self.assertEqual(await self.cluster.fetch_job_state(job_id(1)), 404)
        self.assertEqual((await self.cluster.submit(job_id(2))).status, 404)


if __name__ == "__main__":
    unittest.main()
