"""Tests of giving up workers whose life is over, and of the list that tells so."""

import time
import unittest
import unittest.mock

from bulrushspur_kernel.adapter import LivesUnavailableError
from bulrushspur_kernel.http_pool import make_http_pool
from bulrushspur_platform.machines import list_lives
from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.liveness import note_lives
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.records import encode_job
from bulrushspur_standins.machines import MachinesStandin
from tests.cell_fixtures import (
    add_test_job,
    add_worker,
    make_test_cell,
    make_test_job,
    report,
    started,
)
from tests.cluster import Cluster, job_id

BORN_MS = 1_000
NOW_UNIX_S = 100.0


def cell_with_silent_worker():
    """Let w0 run a task and fall silent, while w1 and w2 answer at 3 s."""
    cell = make_test_cell(3)
    add_test_job(cell, count=1, estimate_s=9.0)
    plan(cell, 0.1)
    (order,) = started(cell, 0.1)
    for name in cell.workers:
        if name != order.worker:
            report(cell, name, 3.0)
    return cell, order


class LivesTest(unittest.TestCase):
    def test_work_of_a_life_that_is_over_starts_elsewhere_before_its_lease(self):
        cell, order = cell_with_silent_worker()
        lives = set(cell.workers) - {order.worker}
        self.assertEqual(note_lives(cell, lives, 3.0, NOW_UNIX_S), [order.worker])
        plan(cell, 3.0)
        self.assertEqual(len(cell.starts), 1)
        self.assertNotEqual(cell.starts[0].worker, order.worker)

    def test_listed_worker_keeps_its_work_however_silent(self):
        cell, _ = cell_with_silent_worker()
        self.assertEqual(note_lives(cell, set(cell.workers), 3.0, NOW_UNIX_S), [])

    def test_young_life_may_not_be_listed_yet(self):
        cell, order = cell_with_silent_worker()
        lives = set(cell.workers) - {order.worker}
        self.assertEqual(note_lives(cell, lives, 3.0, 5.0), [])

    def test_worker_that_answers_lives_whatever_the_list_says(self):
        cell, order = cell_with_silent_worker()
        report(cell, order.worker, 3.0, [order.run.key])
        lives = set(cell.workers) - {order.worker}
        self.assertEqual(note_lives(cell, lives, 3.1, NOW_UNIX_S), [])

    def test_list_that_misses_answering_workers_is_not_believed(self):
        cell, _ = cell_with_silent_worker()
        self.assertEqual(note_lives(cell, {"w1"}, 3.0, NOW_UNIX_S), [])
        self.assertEqual(note_lives(cell, set(), 3.0, NOW_UNIX_S), [])

    def test_term_settles_once_a_recorded_worker_is_known_to_be_gone(self):
        cell = make_test_cell(0)
        add_worker(cell, "w0")
        add_worker(cell, "gone", reached=False, born_ms=BORN_MS)
        cell.dark.add("gone")
        stored = {"jj1": encode_job(make_test_job("j1"))}
        takeover.recover(cell, stored, 0.0, 0.0)
        cell.settled, cell.settle_at_s = False, 17.0
        report(cell, "w0", 2.0)
        self.assertFalse(takeover.settle(cell, 2.0))
        note_lives(cell, {"w0"}, 2.0, NOW_UNIX_S)
        self.assertTrue(takeover.settle(cell, 2.0))
        plan(cell, 2.0)
        self.assertEqual(len(cell.starts), 1)


class ListTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = MachinesStandin({f"m{i}": f"w{i}" for i in range(5)})
        self.standin.lives["spare"] = ""
        self.pool = make_http_pool(await self.standin.start())
        self.addAsyncCleanup(self.standin.server.close, 0.0)

    async def test_all_pages_are_read(self):
        lives = await list_lives(self.pool)
        self.assertEqual(lives, {f"w{i}" for i in range(5)})

    async def test_list_that_is_not_whole_is_an_error(self):
        self.standin.faults.status = 429
        with self.assertRaises(LivesUnavailableError):
            await list_lives(self.pool)


class GoneWorkerTest(unittest.IsolatedAsyncioTestCase):
    @unittest.mock.patch("bulrushspur_scheduler.liveness.YOUNG_S", 0.0)
    async def test_work_of_a_machine_that_is_gone_runs_elsewhere_at_once(self):
        machines = MachinesStandin()
        cluster = Cluster()
        self.addAsyncCleanup(cluster.stop)
        cluster.machines_address = await machines.start()
        self.addAsyncCleanup(machines.server.close, 0.0)
        await cluster.start(nodes=1, workers=3)
        machines.lives.update({one.id: one.id for one in cluster.workers})
        await cluster.submit(job_id(1), count=1, ms=1500)
        await cluster.wait_for(lambda: cluster.ledger.now)
        (name,) = cluster.ledger.now.values()
        worker = next(one for one in cluster.workers if one.id == name)
        del machines.lives[name]
        worker.faults.silent = True
        cluster.ledger.now.clear()
        began_s = time.monotonic()
        await cluster.wait_state(job_id(1), "completed", wait_s=10.0)
        self.assertLess(time.monotonic() - began_s, 5.0)


if __name__ == "__main__":
    unittest.main()
