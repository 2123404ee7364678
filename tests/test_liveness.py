"""Test that removed workers are declared lost, and that the platform's list is read.

The tests guard against work that waits for the lease of a removed worker, and against
the worse fault: a task started twice because a live worker was taken for removed. Lists
come incomplete, lag behind new incarnations, or lack workers that respond.
"""

import time
import unittest
import unittest.mock

from bulrushspur_kernel.adapter import IncarnationsUnavailableError
from bulrushspur_kernel.http_pool import make_http_pool
from bulrushspur_platform.machines import list_incarnations
from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.liveness import expire_unlisted_workers
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.records import encode_job
from bulrushspur_standins.machines import MachinesStandin
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    add_worker,
    apply_worker_report,
    make_test_cell,
    make_test_job,
    plan_and_store,
)
from tests.cluster import InProcessCluster, job_id

INCARNATION_START_MS = 1_000
NOW_UNIX_S = 100.0


def make_cell_with_unresponsive_worker():
    """Start a task on one of three workers; only the other two report at 3 s."""
    cell = make_test_cell(3)
    add_test_job(cell, count=1, estimate_s=9.0)
    plan(cell, 0.1)
    (order,) = acknowledge_starts(cell, 0.1)
    for name in cell.workers:
        if name != order.worker_id:
            apply_worker_report(cell, name, 3.0)
    return cell, order


class LivenessTest(unittest.TestCase):
    def test_work_of_an_unlisted_worker_restarts_before_its_lease_ends(self):
        cell, order = make_cell_with_unresponsive_worker()
        listed_ids = set(cell.workers) - {order.worker_id}
        self.assertEqual(
            expire_unlisted_workers(cell, listed_ids, 3.0, NOW_UNIX_S),
            [order.worker_id],
        )
        takeover.reconcile(cell, confirmed_s=3.1)
        plan_and_store(cell, 3.1)
        self.assertEqual(len(cell.start_orders), 1)
        self.assertNotEqual(cell.start_orders[0].worker_id, order.worker_id)

    def test_listed_worker_keeps_its_work_while_unresponsive(self):
        cell, _ = make_cell_with_unresponsive_worker()
        self.assertEqual(
            expire_unlisted_workers(cell, set(cell.workers), 3.0, NOW_UNIX_S), []
        )

    def test_recent_incarnation_may_not_be_listed_yet(self):
        cell, order = make_cell_with_unresponsive_worker()
        listed_ids = set(cell.workers) - {order.worker_id}
        self.assertEqual(expire_unlisted_workers(cell, listed_ids, 3.0, 5.0), [])

    def test_responding_worker_is_kept_though_unlisted(self):
        cell, order = make_cell_with_unresponsive_worker()
        apply_worker_report(cell, order.worker_id, 3.0, [order.run.key])
        listed_ids = set(cell.workers) - {order.worker_id}
        self.assertEqual(expire_unlisted_workers(cell, listed_ids, 3.1, NOW_UNIX_S), [])

    def test_list_that_lacks_responding_workers_is_ignored(self):
        cell, _ = make_cell_with_unresponsive_worker()
        self.assertEqual(expire_unlisted_workers(cell, {"w1"}, 3.0, NOW_UNIX_S), [])
        self.assertEqual(expire_unlisted_workers(cell, set(), 3.0, NOW_UNIX_S), [])

    def test_idle_workers_that_left_with_it_make_no_list_incomplete(self):
        cell, order = make_cell_with_unresponsive_worker()
        for index in range(3):
            add_worker(cell, f"idle{index}", now_s=0.1)
        listed_ids = {"w0", "w1", "w2"} - {order.worker_id}
        self.assertEqual(
            expire_unlisted_workers(cell, listed_ids, 3.0, NOW_UNIX_S),
            [order.worker_id],
        )

    def test_leader_without_the_store_restarts_nothing_of_an_unlisted_worker(self):
        cell, order = make_cell_with_unresponsive_worker()
        expire_unlisted_workers(
            cell, set(cell.workers) - {order.worker_id}, 3.0, NOW_UNIX_S
        )
        takeover.reconcile(cell, confirmed_s=2.9)
        plan_and_store(cell, 3.0)
        self.assertEqual(cell.start_orders, [], "a later term may have started it")
        takeover.reconcile(cell, confirmed_s=3.1)
        plan_and_store(cell, 3.1)
        self.assertEqual(len(cell.start_orders), 1)

    def test_new_workers_that_are_not_listed_yet_make_no_list_incomplete(self):
        cell, order = make_cell_with_unresponsive_worker()
        start_ms = int((NOW_UNIX_S - 1.0) * 1000)
        add_worker(cell, "new", now_s=3.0, has_reported=False)
        apply_worker_report(cell, "new", 3.0, incarnation_start_ms=start_ms)
        listed_ids = set(cell.workers) - {order.worker_id, "new"}
        self.assertEqual(
            expire_unlisted_workers(cell, listed_ids, 3.0, NOW_UNIX_S),
            [order.worker_id],
        )

    def test_term_reconciles_once_a_recorded_worker_is_unlisted(self):
        cell = make_test_cell(0)
        add_worker(cell, "w0")
        add_worker(
            cell, "gone", has_reported=False, incarnation_start_ms=INCARNATION_START_MS
        )
        cell.unobserved_workers.add("gone")
        stored = {"jj1": encode_job(make_test_job("j1"))}
        takeover.recover_jobs(cell, stored, 0.0, 0.0)
        cell.reconciled, cell.reconcile_by_s = False, 17.0
        apply_worker_report(cell, "w0", 2.0)
        self.assertFalse(takeover.reconcile(cell, 2.0))
        expire_unlisted_workers(cell, {"w0"}, 2.0, NOW_UNIX_S)
        self.assertTrue(takeover.reconcile(cell, 2.0))
        plan(cell, 2.0)
        self.assertEqual(len(cell.start_orders), 1)


class IncarnationListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = MachinesStandin({f"m{i}": f"w{i}" for i in range(5)})
        self.standin.worker_by_machine["spare"] = ""
        self.pool = make_http_pool(await self.standin.start())
        self.addAsyncCleanup(self.standin.server.close, 0.0)
        self.addAsyncCleanup(self.pool.close)

    async def test_all_pages_are_read(self):
        listed = await list_incarnations(self.pool)
        self.assertEqual(listed.ids, {f"w{i}" for i in range(5)})
        machines = {f"m{i}" for i in range(5)} | {"spare"}
        self.assertEqual(listed.machines, machines)

    async def test_incomplete_list_is_an_error(self):
        self.standin.faults.forced_status = 429
        with self.assertRaises(IncarnationsUnavailableError):
            await list_incarnations(self.pool)


class RemovedWorkerTest(unittest.IsolatedAsyncioTestCase):
    @unittest.mock.patch("bulrushspur_scheduler.liveness.MIN_INCARNATION_AGE_S", 0.0)
    async def test_work_of_a_removed_machine_restarts_elsewhere_at_once(self):
        machines = MachinesStandin()
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        cluster.machines_address = await machines.start()
        self.addAsyncCleanup(machines.server.close, 0.0)
        await cluster.start(nodes=1, workers=3)
        machines.worker_by_machine.update(
            {worker.id: worker.id for worker in cluster.workers}
        )
        await cluster.submit(job_id(1), count=1, run_time_ms=1500)
        await cluster.wait_for(lambda: cluster.oracle.running_on)
        (name,) = cluster.oracle.running_on.values()
        worker = next(worker for worker in cluster.workers if worker.id == name)
        del machines.worker_by_machine[name]
        worker.faults.unresponsive = True
        cluster.oracle.running_on.clear()
        started_s = time.monotonic()
        await cluster.wait_job_state(job_id(1), "completed", wait_s=10.0)
        self.assertLess(time.monotonic() - started_s, 5.0)


if __name__ == "__main__":
    unittest.main()
