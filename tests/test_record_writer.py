"""Test which records are stored before a waiter of the record writer is released.

A waiter that is released too early would let the leader report a change that the next
term does not know.
"""

import asyncio
import unittest

from bulrushspur_daemon.record_writer import MAX_BATCH_ROWS, RecordWriter
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.cell import FinishedJob, make_cell
from bulrushspur_scheduler.config import make_config
from bulrushspur_scheduler.jobs import JobState
from tests.test_config_watch import NullEventLog


class FakeStore:
    """A store that records the keys of each append."""

    def __init__(self):
        self.appends = []

    async def append(
        self, topic, rows, expected_offset=None, writer=None, timeout_s=1.0
    ):
        await asyncio.sleep(0)
        self.appends.append({key for key, _ in rows})
        return 0


class RecordWriterTest(unittest.IsolatedAsyncioTestCase):
    def make_writer(self):
        store = FakeStore()
        cell = make_cell(make_config(1), fencing_token=3)
        writer = RecordWriter(
            store, cell, NullEventLog(), Metrics(), lambda reason: None
        )
        task = asyncio.create_task(writer.run())
        self.addCleanup(task.cancel)
        return store, cell, writer

    def finish_jobs(self, cell, count):
        for index in range(count):
            cell.finished_jobs[f"j{index}"] = FinishedJob(
                JobState.COMPLETED, "a", "q", 0.0
            )
            cell.dirty_jobs.add(f"j{index}")

    async def test_waiter_is_released_after_every_batch_of_its_changes(self):
        store, cell, writer = self.make_writer()
        self.finish_jobs(cell, MAX_BATCH_ROWS)
        await asyncio.wait_for(writer.wait_durable(), 2.0)
        stored = set().union(*store.appends)
        self.assertGreater(len(store.appends), 1)
        self.assertEqual({key for key in stored if key[0] == "s"}, self.progress_keys())

    def progress_keys(self):
        return {f"sj{index}" for index in range(MAX_BATCH_ROWS)}

    async def test_accepted_job_waits_for_its_own_record_only(self):
        store, cell, writer = self.make_writer()
        self.finish_jobs(cell, MAX_BATCH_ROWS)
        await asyncio.wait_for(writer.store_job("new", b"record"), 2.0)
        self.assertIn("jnew", store.appends[0])


if __name__ == "__main__":
    unittest.main()
