"""Test that the runs of a cancelled job stop, however links were cut before.

A worker that was cut off for longer than its lease tells the end of a run later, when
another run of the task is at work. Connections may be silent for good, and new ones
work. A worker may take orders slowly. The tests guard against runs that go on after the
cancel of their job was acknowledged.
"""

import asyncio
import time
import types
import unittest

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.worker_connections import WorkerConnections
from bulrushspur_kernel.adapter import WorkerUnresponsiveError
from bulrushspur_kernel.messages import Cancel, Outcome
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_platform.workers import make_worker_client
from bulrushspur_scheduler.job_states import JobState, RunState
from bulrushspur_scheduler.leases import expire_leases
from bulrushspur_scheduler.order_results import StartResult
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import finish_job
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import WorkerEntry
from bulrushspur_standins.worker import WorkerStandin
from soak.proxy import FaultProxy
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
    task_key,
)
from tests.cluster import InProcessCluster, job_id
from tests.test_config_watch import NullEventLog
from tests.test_late_submissions import StoringWriter
from tests.test_leader_requests import make_handler

LONG_AFTER_S = 30.0
# A worker may take stop_ms, 0.9 s; the stand-in ends a run at once.
MAX_STOP_S = 0.45
# By then a renewal of a lease has shown that the connections are silent.
SILENCE_S = 2.0
CONCURRENT_ORDERS = 3
# After a disruption the runs of a cancelled job may go on for cancel_ms + stop_ms.
MAX_STOP_AFTER_S = 3.9


class SecondRunTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cell = make_test_cell(2)

    def run_task_again(self, **fields):
        """Run a task on a worker that is cut off, then elsewhere; return both runs."""
        cell = self.cell
        self.job = add_test_job(cell, **fields)
        plan(cell, 0.1)
        first = acknowledge_starts(cell, 0.1)[0].run
        for name in cell.workers:
            running = [run.key for run in cell.workers[name].runs.values()]
            apply_worker_report(cell, name, 0.2, running)
        expire_leases(cell, LONG_AFTER_S)
        (other,) = {"w0", "w1"} - {first.worker_id}
        apply_worker_report(cell, other, LONG_AFTER_S)
        plan(cell, LONG_AFTER_S)
        orders = acknowledge_starts(cell, LONG_AFTER_S)
        second = next(o.run for o in orders if o.run.task is first.task)
        self.assertEqual(second.worker_id, other)
        return first, second

    def report_late_end(self, first):
        ended = [(1, first.task.key, first.number, "done")]
        apply_worker_report(self.cell, first.worker_id, LONG_AFTER_S + 1, ended=ended)
        self.assertTrue(first.task.done)

    async def cancel(self):
        handler = make_handler(self.cell, StoringWriter(self.cell))
        return await handler.answer(Cancel(1, "j1"))

    def list_stops(self):
        return [(order.key, order.number) for order in self.cell.stop_orders]

    async def test_second_run_of_a_done_task_is_stopped_when_its_job_is_cancelled(self):
        first, second = self.run_task_again(count=2)
        self.report_late_end(first)
        reply = await self.cancel()
        self.assertEqual((reply.outcome, reply.state), (Outcome.OK, "cancelled"))
        self.assertIs(second.state, RunState.STOPPING)
        self.assertIn(second.key, self.list_stops())

    async def test_second_run_is_stopped_when_its_completed_job_is_cancelled(self):
        first, second = self.run_task_again()
        self.report_late_end(first)
        self.assertIs(self.job.state, JobState.COMPLETED)
        reply = await self.cancel()
        self.assertEqual((reply.outcome, reply.state), (Outcome.OK, "completed"))
        self.assertIs(second.state, RunState.STOPPING)
        self.assertIn(second.key, self.list_stops())


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.worker = WorkerStandin("w0")
        self.proxy = FaultProxy(await self.worker.start())
        address = await self.proxy.start()
        self.addAsyncCleanup(self.worker.stop)
        self.addAsyncCleanup(self.proxy.stop)
        resources = Resources(16_000, 32_768)
        entry = WorkerEntry("w0", "svc", address, "z", resources)
        self.client = make_worker_client(entry)
        self.addCleanup(self.client.close)

    async def stop_run(self, number):
        return await self.client.stop_run(task_key(), number, 5)

    async def test_stop_after_a_renewal_without_an_answer_takes_a_new_connection(self):
        numbers = range(CONCURRENT_ORDERS)
        await asyncio.gather(*map(self.stop_run, numbers), self.renew())
        self.proxy.silence()
        with self.assertRaises(WorkerUnresponsiveError):
            await self.renew()
        self.assertTrue(await self.stop_run(CONCURRENT_ORDERS))

    async def renew(self):
        return await self.client.renew_lease(None, 5, 0, 0)


class SilentLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=1, workers=0)
        worker = await self.cluster.add_worker("w0")
        self.proxy = FaultProxy(worker.address)
        worker.address = await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.cluster.store.put("keyed.servers", worker.id, worker.encode_entry())

    async def test_runs_stop_with_the_cancel_long_after_connections_went_silent(self):
        cluster, count = self.cluster, CONCURRENT_ORDERS
        await cluster.submit(job_id(1), count=count, run_time_ms=30_000)
        running = cluster.oracle.running_on
        await cluster.wait_for(lambda: len(running) == count)
        self.proxy.silence()
        await asyncio.sleep(SILENCE_S)
        answer = await cluster.call("DELETE", f"/assess/{job_id(1)}")
        self.assertEqual(answer.status, 200)
        cancelled_s = time.monotonic()
        await cluster.wait_for(lambda: not running)
        self.assertLess(time.monotonic() - cancelled_s, MAX_STOP_S)


class SlowClient:
    """A client of a worker that answers each order after a while, and no renewal."""

    def __init__(self):
        self.orders = []

    async def start_run(self, key, *rest):
        await self.answer("start", key)
        return StartResult.STARTED, None

    async def stop_run(self, key, *rest):
        await self.answer("stop", key)
        return True

    async def answer(self, kind, key):
        self.orders.append((kind, key.job))
        await asyncio.sleep(0.01)

    async def renew_lease(self, *rest):
        raise WorkerUnresponsiveError("no answer")

    def close(self):
        pass


class SlowWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def test_stops_of_a_job_do_not_wait_behind_the_starts_of_another_one(self):
        cell, client = make_test_cell(1), SlowClient()
        adapter = types.SimpleNamespace(make_worker_client=lambda entry: client)
        connections = WorkerConnections(
            cell, adapter, None, NullEventLog(), Metrics(), int, lambda: True
        )
        connections.open(cell.workers["w0"])
        self.addCleanup(connections.close_all)
        small = Resources(100, 10)
        for job in ("j1", "j2"):
            now_s = monotonic_s()
            apply_worker_report(cell, "w0", now_s, list(cell.workers["w0"].runs))
            add_test_job(cell, job, now_s=now_s, count=20, resources=small)
            plan(cell, now_s)
            if job == "j1":
                acknowledge_starts(cell, now_s)
        connections.orders.send_all()
        await asyncio.sleep(0)
        finish_job(cell, cell.jobs["j1"], JobState.CANCELLED, 3.0)
        connections.orders.send_all()
        while connections.orders.tasks:
            await asyncio.wait(list(connections.orders.tasks))
        expected = [("start", "j2")] * CONCURRENT_ORDERS + [("stop", "j1")] * 20
        self.assertEqual(client.orders[: len(expected)], expected)
        self.assertEqual(client.orders[len(expected) :], [("start", "j2")] * 17)


class UndeliveredStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_next_leader_stops_the_runs_that_the_last_one_could_not_stop(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=3, workers=2)
        await cluster.submit(job_id(1), count=20, run_time_ms=30_000)
        running = cluster.oracle.running_on
        await cluster.wait_for(lambda: len(running) == 20)
        # A lease that outlasts the test: only a stop ends the runs.
        await asyncio.sleep(1.0)
        for worker in cluster.workers:
            worker.faults.down = True
        answer = await cluster.call("DELETE", f"/assess/{job_id(1)}")
        self.assertEqual((answer.status, len(running)), (200, 20))
        await cluster.kill(cluster.find_leader())
        for worker in cluster.workers:
            worker.faults.down = False
        await cluster.wait_for(lambda: not running, MAX_STOP_AFTER_S)
        outcomes = {row[3] for w in cluster.workers for row in w.unacknowledged_ends}
        self.assertLessEqual(outcomes, {"stopped"})
        self.assertEqual(len(cluster.oracle.starts), 20)


if __name__ == "__main__":
    unittest.main()
