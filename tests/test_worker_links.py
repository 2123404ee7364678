"""Tests of leases and orders against workers that fall silent."""

import time
import unittest

from tests.cluster import Cluster, job_id


class SilentWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=1, workers=2)

    async def test_work_of_a_silent_worker_runs_elsewhere_after_its_lease(self):
        cluster = self.cluster
        await cluster.submit(job_id(1), count=1, ms=1500)
        await cluster.wait_for(lambda: cluster.ledger.now)
        (name,) = cluster.ledger.now.values()
        worker = next(one for one in cluster.workers if one.id == name)
        worker.faults.silent = True
        began_s = time.monotonic()
        await cluster.wait_state(job_id(1), "completed", wait_s=12.0)
        self.assertLess(time.monotonic() - began_s, 9.0)
        self.assertEqual(len(cluster.ledger.starts), 2)
        self.assertEqual(cluster.ledger.violations, [])
