"""Tests of leases and orders against workers that fall silent."""

import time
import unittest

from bulrushspur_daemon.worker_connections import HEARD_WITHIN_S
from bulrushspur_scheduler.cell import Bounds
from bulrushspur_scheduler.workers import CLOCK_SLOWEST
from tests.cluster import Cluster, job_id

SLACK_S = 1.0


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
        await cluster.wait_state(job_id(1), "completed", wait_s=15.0)
        # The last lease may be sent until the silence is noticed.
        lease_s = Bounds().lease_s / CLOCK_SLOWEST + HEARD_WITHIN_S
        work_s = 1.5
        self.assertLess(time.monotonic() - began_s, lease_s + work_s + SLACK_S)
        self.assertEqual(len(cluster.ledger.starts), 2)
        self.assertEqual(cluster.ledger.violations, [])
