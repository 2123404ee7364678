"""Test which records are stored before a waiter of the record writer is released.

A waiter that is released too early would let the leader report a change that the next
term does not know.
"""

import asyncio
import time
import unittest

from bulrushspur_daemon.record_writer import (
    MAX_BATCH_BYTES,
    MAX_BATCH_ROWS,
    MAX_SLOW_ATTEMPTS,
    NotStoredError,
    RecordWriter,
)
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.store import StoreUnavailableError
from bulrushspur_scheduler.cell import FinishedJob, make_cell
from bulrushspur_scheduler.config import make_config
from bulrushspur_scheduler.failed_runs import FailedRun
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.suspects import awaits_storage
from tests.cell_fixtures import add_test_job, fail_run
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

    # Guards against: a call that the store refuses for its size is repeated for good.
    async def test_append_is_no_larger_than_the_store_takes(self):
        store, _, writer = self.make_writer()
        record = bytes(MAX_BATCH_BYTES // 3)
        async with asyncio.timeout(2):
            await asyncio.gather(
                *(writer.store_job(f"j{index}", record) for index in range(7))
            )
        self.assertEqual([len(keys) for keys in store.appends], [3, 3, 1])

    # Guards against: the record of one job ends the writer, and the term with it.
    async def test_job_whose_progress_cannot_be_encoded_is_set_aside(self):
        store, cell, writer = self.make_writer()
        for name in ("bad", "good"):
            job = add_test_job(cell, name)
            task = job.occurrences[0].steps[0].tasks[0]
            number = 2**70 if name == "bad" else 1
            task.failed_runs[number] = FailedRun(number)
            cell.dirty_jobs.add(name)
        async with asyncio.timeout(2):
            await writer.wait_durable()
        self.assertEqual(store.appends, [{"sgood"}])
        self.assertEqual(cell.unreadable_jobs, {"bad"})

    async def test_crash_counts_as_stored_only_once_its_append_is_done(self):
        store, cell, writer = self.make_writer()
        job = add_test_job(cell)
        (step,) = job.occurrences[0].steps
        step.has_suspects, job.crash_version = True, 1
        cell.dirty_jobs.add(job.id)
        writer.request_write()
        while not store.appends:
            self.assertTrue(awaits_storage(step))
            await asyncio.sleep(0)
        # This crash is not in the append that was just made.
        job.crash_version += 1
        await asyncio.sleep(0.01)
        self.assertEqual(job.stored_crash_version, 1)
        self.assertTrue(awaits_storage(step))

    async def test_failed_run_counts_as_stored_only_once_its_append_is_done(self):
        store, cell, writer = self.make_writer()
        task = add_test_job(cell).occurrences[0].steps[0].tasks[0]
        fail_run(cell, task, 1, 1.0)
        writer.request_write()
        while not store.appends:
            self.assertFalse(task.failed_runs[1].is_stored)
            await asyncio.sleep(0)
        # This one is not in the append that was just made.
        fail_run(cell, task, 2, 1.0)
        await asyncio.sleep(0.01)
        self.assertTrue(task.failed_runs[1].is_stored)
        self.assertFalse(task.failed_runs[2].is_stored)

    async def test_append_that_an_outage_has_silenced_is_repeated_once_it_is_over(self):
        store, cell, writer = self.make_writer()
        store.last_answer_s = -1e9
        real_append, calls = store.append, []

        async def append(*args, **kwargs):
            calls.append(time.monotonic())
            if len(calls) == 1:
                raise StoreUnavailableError("no answer")
            if len(calls) == 2:
                # The connection is dead: nothing comes before the timeout.
                await asyncio.sleep(kwargs["timeout_s"])
                raise StoreUnavailableError("no answer")
            return await real_append(*args, **kwargs)

        store.append = append
        self.finish_jobs(cell, 1)
        waiting = asyncio.create_task(writer.wait_durable())
        while len(calls) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.15)
        store.last_answer_s = time.monotonic()
        await asyncio.wait_for(waiting, 0.2)
        self.assertEqual(len(calls), 3)
        self.assertFalse(writer.failing_since_s)

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


class FailingStore(FakeStore):
    """A store whose first appends get no answer; other calls are answered or not."""

    def __init__(self, failures, answers_others):
        super().__init__()
        self.failures = failures
        self.answers_others = answers_others
        self.last_answer_s = -1e9
        self.timeouts_s = []

    async def append(
        self, topic, rows, expected_offset=None, writer=None, timeout_s=1.0
    ):
        self.timeouts_s.append(timeout_s)
        await asyncio.sleep(0.01)
        if self.answers_others:
            self.last_answer_s = time.monotonic()
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("no answer")
        return await super().append(topic, rows)


class SlowStoreTest(unittest.IsolatedAsyncioTestCase):
    def make_writer(self, failures, answers_others):
        store = FailingStore(failures, answers_others)
        cell = make_cell(make_config(1), fencing_token=3)
        writer = RecordWriter(
            store, cell, NullEventLog(), Metrics(), lambda reason: None
        )
        task = asyncio.create_task(writer.run())
        self.addCleanup(task.cancel)
        return writer

    async def store_two_jobs(self, writer):
        """Store two jobs, the second while the first is being appended."""
        first = asyncio.create_task(writer.store_job("j1", b"1"))
        await asyncio.sleep(0.008)
        second = asyncio.create_task(writer.store_job("j2", b"2"))
        return await asyncio.gather(first, second, return_exceptions=True)

    async def test_jobs_wait_for_a_slow_store(self):
        writer = self.make_writer(failures=2, answers_others=True)
        self.assertEqual(await self.store_two_jobs(writer), [None, None])
        self.assertEqual(writer.failing_since_s, 0.0)

    async def test_job_that_was_not_sent_is_rejected_by_an_unavailable_store(self):
        writer = self.make_writer(failures=2, answers_others=False)
        first, second = await self.store_two_jobs(writer)
        self.assertIsNone(first)
        self.assertIsInstance(second, NotStoredError)

    async def test_store_that_never_answers_appends_becomes_unavailable(self):
        writer = self.make_writer(MAX_SLOW_ATTEMPTS, answers_others=True)
        _, second = await self.store_two_jobs(writer)
        self.assertIsInstance(second, NotStoredError)

    async def test_timeout_follows_the_latency_of_the_store(self):
        writer = self.make_writer(failures=1, answers_others=True)
        await writer.store_job("j1", b"1")
        usual_s, longer_s = writer.store.timeouts_s
        self.assertGreater(longer_s, usual_s)
        for number in range(8):
            await writer.store_job(f"k{number}", b"1")
        self.assertEqual(writer.store.timeouts_s[-1], usual_s)


if __name__ == "__main__":
    unittest.main()
