"""Test the leases of workers that stop answering.

A worker that does not answer may still run its tasks until its lease expires. A task
that is started elsewhere earlier would run twice. If the lease were extended further,
the task would never be started elsewhere.
"""

import statistics
import time
import unittest

from bulrushspur_daemon.worker_connections import REPORT_TIMEOUT_S
from bulrushspur_scheduler.cell import TimingLimits
from bulrushspur_scheduler.workers import MIN_CLOCK_RATE
from bulrushspur_standins.worker import RunOracle, WorkerStandin
from tests.cluster import InProcessCluster, job_id

TOLERANCE_S = 1.0


class SilentWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=1, workers=2)

    async def test_work_of_a_silent_worker_runs_elsewhere_after_its_lease(self):
        cluster = self.cluster
        await cluster.submit(job_id(1), count=1, run_time_ms=1500)
        await cluster.wait_for(lambda: cluster.oracle.running_on)
        (worker_id,) = cluster.oracle.running_on.values()
        worker = next(
            candidate for candidate in cluster.workers if candidate.id == worker_id
        )
        worker.faults.unresponsive = True
        began_s = time.monotonic()
        await cluster.wait_job_state(job_id(1), "completed", wait_s=15.0)
        # Leases are extended until the worker counts as unresponsive: the last one may
        # be sent REPORT_TIMEOUT_S after the last report.
        lease_s = TimingLimits().lease_s / MIN_CLOCK_RATE + REPORT_TIMEOUT_S
        run_time_s = 1.5
        self.assertLess(time.monotonic() - began_s, lease_s + run_time_s + TOLERANCE_S)
        self.assertEqual(len(cluster.oracle.starts), 2)
        self.assertEqual(cluster.find_violations(), [])


class UnansweredOrderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=1, workers=4)

    async def play(self, jobs):
        """Submit short jobs one by one; return how long each took."""
        cluster, took_s = self.cluster, []
        for number in range(jobs):
            began_s = time.monotonic()
            await cluster.submit(job_id(number), count=4, run_time_ms=50)
            await cluster.wait_job_state(job_id(number), "completed", wait_s=15.0)
            took_s.append(time.monotonic() - began_s)
        self.assertEqual(cluster.find_violations(), [])
        return took_s

    async def test_start_whose_answer_was_lost_is_repeated(self):
        for worker in self.cluster.workers:
            worker.faults.lost_answer_share = 0.1
        took_s = await self.play(20)
        self.assertEqual(len(self.cluster.oracle.starts), 80)
        self.assertLess(statistics.median(took_s), 0.6)

    async def test_start_that_is_carried_out_late_runs_once(self):
        for worker in self.cluster.workers:
            worker.faults.late_execution_share = 0.15
        took_s = await self.play(20)
        self.assertEqual(len(self.cluster.oracle.starts), 80)
        self.assertLess(statistics.quantiles(took_s, n=10)[7], 0.9)


class MovedWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=1, workers=1)
        (self.worker,) = self.cluster.workers
        await self.run_job(1)

    async def run_job(self, number):
        await self.cluster.submit(job_id(number))
        await self.cluster.wait_job_state(job_id(number), "completed", wait_s=6.0)

    async def move_worker(self, down_s):
        """Let the worker start again under its id at another address."""
        worker = self.worker
        worker.renamed, worker.moved, worker.down_s = False, True, down_s
        old_address = worker.address
        worker.crash()
        await self.cluster.wait_for(lambda: worker.address != old_address)
        return int(old_address.rpartition(":")[2])

    async def test_worker_that_is_back_at_another_address_gets_work(self):
        await self.move_worker(0.1)
        await self.run_job(2)
        self.assertEqual(self.cluster.find_violations(), [])

    async def test_run_of_a_worker_that_moved_starts_again(self):
        await self.cluster.submit(job_id(2), count=1, run_time_ms=1000)
        await self.cluster.wait_for(lambda: self.cluster.oracle.running_on)
        await self.move_worker(0.1)
        await self.cluster.wait_job_state(job_id(2), "completed", wait_s=10.0)
        self.assertEqual(self.cluster.find_violations(), [])

    async def test_other_worker_at_the_old_address_gets_none_of_its_work(self):
        port = await self.move_worker(0.1)
        other = WorkerStandin("other", service="others", oracle=RunOracle())
        await other.start(port)
        self.cluster.workers.append(other)
        self.cluster.store.put("keyed.servers", "other", other.encode_entry())
        await self.run_job(2)
        self.assertEqual(other.oracle.starts, [])


class UnreachableWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def test_start_that_was_not_sent_goes_to_another_worker_at_once(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=1, workers=4)
        for worker in cluster.workers[:2]:
            worker.down_s = 60.0
            worker.crash()
        took_s = []
        for number in range(8):
            began_s = time.monotonic()
            await cluster.submit(job_id(number), count=4, run_time_ms=50)
            await cluster.wait_job_state(job_id(number), "completed", wait_s=15.0)
            took_s.append(time.monotonic() - began_s)
        self.assertLess(max(took_s), 1.0)
        self.assertEqual(cluster.find_violations(), [])
