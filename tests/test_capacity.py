"""Test that a changed capacity of a worker is kept, whichever way it becomes known.

Guards against starts above a capacity that has shrunk, and against work that is refused
or held back although the capacity has grown, or may grow again.
"""

import asyncio
import unittest
import unittest.mock

from bulrushspur_daemon.worker_watch import WorkerWatch, apply_entry
from bulrushspur_kernel.store import StoredRecord
from bulrushspur_scheduler.admission import check_admission
from bulrushspur_scheduler.cell import make_cell
from bulrushspur_scheduler.config import Account, make_config
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.unobserved_usage import count_unobserved_usage
from bulrushspur_scheduler.workers import WorkerEntry, make_worker
from fuzz.capacity import CapacitySimulation, run_capacity_history
from fuzz.deadly import make_job
from oracle.observations import Bounds
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    make_test_cell,
    make_test_job,
    report_all_workers,
)
from tests.cluster import InProcessCluster, job_id
from tests.test_config_watch import NullEventLog

FUZZ_SEEDS = range(1, 16)


def make_entry(cpu_milli, memory_mb=32_768, name="w0"):
    capacity = Resources(cpu_milli, memory_mb)
    return WorkerEntry(name, "svc", "1.1.1.1:1", "z", capacity, ("a", "r1"))


def resize(cell, cpu_milli, memory_mb=32_768, now_s=1.0):
    entry = make_entry(cpu_milli, memory_mb)
    apply_entry(cell, entry, now_s, lambda worker: None)


class ChangedEntryTest(unittest.TestCase):
    def test_shrunk_worker_gets_work_again_only_once_it_has_room(self):
        cell = make_test_cell(1)
        add_test_job(cell, "a", resources=Resources(9000, 100))
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        resize(cell, 8000)
        add_test_job(cell, "b", "small")
        report_all_workers(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [])
        resize(cell, 16_000)
        plan(cell, 1.1)
        self.assertEqual(len(cell.start_orders), 1)

    def test_worker_over_its_memory_gets_no_task_that_asks_for_none(self):
        cell = make_test_cell(1)
        add_test_job(cell, "a", resources=Resources(1000, 20_000))
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        resize(cell, 16_000, 10_000)
        add_test_job(cell, "b", "small", resources=Resources(1000, 0))
        report_all_workers(cell, 1.0)
        plan(cell, 1.0)
        self.assertEqual(cell.start_orders, [])

    def test_job_that_fits_no_worker_now_but_did_before_is_accepted(self):
        cell = make_test_cell(1)
        resize(cell, 4000)
        queue = cell.config.queue_by_name["heavy"]
        for cpu_milli, is_accepted in ((9000, True), (17_000, False)):
            job = make_test_job("j", resources=Resources(cpu_milli, 100))
            rejection = check_admission(cell, queue, "team", job, 1.0)
            self.assertEqual(rejection is None, is_accepted)

    def test_unobserved_usage_is_bounded_by_the_capacity_before_it_shrank(self):
        account = Account("team", ("k",), 20.0, Resources(16_000))
        cell = make_cell(make_config(1, (), accounts=(account,)))
        worker = cell.workers["w0"] = make_worker(make_entry(16_000), 0.0)
        cell.unobserved_workers, cell.reconciled = {"w0"}, False
        job = add_test_job(cell, count=12)
        for task in job.occurrences[0].steps[0].tasks:
            task.unreconciled = True
        resize(cell, 4000)
        self.assertEqual(worker.entry.capacity.cpu_milli, 4000)
        self.assertEqual(count_unobserved_usage(cell)["team"].cpu_milli, 12_000)


class FakeStore:
    """A store whose answers are set by the test."""

    def __init__(self):
        self.newest, self.end = {}, 0

    async def read_newest(self, topic, on_received=None):
        return self.newest, self.end


class StaleEntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_entry_that_is_older_than_the_last_one_is_ignored(self):
        entries = {b"old": make_entry(16_000), b"new": make_entry(4000)}
        adapter = unittest.mock.Mock(
            workers_topic="w", decode_worker=lambda key, value: entries[value]
        )
        store, cell = FakeStore(), make_cell(make_config(1))
        watch = WorkerWatch(
            store,
            adapter,
            cell,
            NullEventLog(),
            lambda worker: None,
            lambda: None,
        )
        for offset, value in ((7, b"new"), (5, b"old")):
            store.newest = {"w0": StoredRecord(offset, "w0", value)}
            watch.next_offset = None
            await watch.poll()
        self.assertEqual(cell.workers["w0"].entry.capacity.cpu_milli, 4000)


class StoreOutageTest(unittest.TestCase):
    def play(self, has_shrunk_before):
        """Shrink all workers in an outage of the store; return starts late in it."""
        simulation = CapacitySimulation(1)
        simulation.advance(2.0)
        if has_shrunk_before:
            simulation.resize_worker("w0", 6000)
            simulation.advance(1.0)
            simulation.resize_worker("w0", 8000)
            simulation.advance(1.0)
        for index in range(40):
            simulation.submit(make_job(f"j{index}", 2, 1.2), "small")
        simulation.advance(0.3)
        simulation.make_store_unavailable(6.0)
        for name in sorted(simulation.workers):
            simulation.resize_worker(name, 800)
        simulation.advance(Bounds().capacity_s)
        start_count = simulation.oracle.start_count
        simulation.advance(1.0)
        late_starts = simulation.oracle.start_count - start_count
        simulation.advance(60.0)
        return simulation.judge().oracle.violations, late_starts

    def test_no_start_by_a_list_that_is_too_old_where_capacities_change(self):
        self.assertEqual(self.play(has_shrunk_before=True), ([], 0))


class CapacityFuzzTest(unittest.TestCase):
    def test_no_start_brings_a_worker_over_its_capacity(self):
        for seed in FUZZ_SEEDS:
            with self.subTest(seed=seed):
                simulation = run_capacity_history(seed)
                self.assertEqual(simulation.oracle.violations, [])


class CapacityProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_workers_that_shrink_and_grow_under_load_are_not_overcommitted(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=2, workers=3)
        for number in range(30):
            await cluster.submit(job_id(number), count=4, run_time_ms=400)
            worker = cluster.workers[number % 3]
            worker.resize((4000, 16_000, 8000, 2000)[number % 4])
            cluster.store.put("keyed.servers", worker.id, worker.encode_entry())
            await asyncio.sleep(0.2)
            if number == 15:
                await cluster.kill(cluster.find_leader())
                await cluster.wait_leader()
        for worker in cluster.workers:
            worker.resize(16_000)
            cluster.store.put("keyed.servers", worker.id, worker.encode_entry())
        for number in range(30):
            await cluster.wait_job_state(job_id(number), "completed", wait_s=30.0)
        self.assertEqual(cluster.find_violations(), [])


if __name__ == "__main__":
    unittest.main()
