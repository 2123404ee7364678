"""Test that a job does not run whose cancel came before its submission.

A submission may be on its way for seconds: at a gateway that is suspended, on a link,
or while a gateway waits for a leader. The tests guard against tasks that start after a
cancel was acknowledged, and against showing a job that nobody has submitted.
"""

import asyncio
import signal
import time
import unittest

import msgspec

from bench.processes import ProcessCluster
from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.record_writer import NotStoredError
from bulrushspur_kernel.messages import Cancel, Outcome, Query, Submit
from bulrushspur_scheduler.cell import make_cell
from bulrushspur_scheduler.early_cancels import (
    MAX_EARLY_CANCELS,
    add_early_cancel,
    purge_early_cancels,
)
from bulrushspur_scheduler.progress_records import encode_progress
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.takeover import recover_jobs
from tests.cell_fixtures import make_test_cell, make_test_job
from tests.cluster import (
    API_KEY,
    CONFIG,
    HOST,
    InProcessCluster,
    job_id,
    make_job_body,
)
from tests.test_leader_requests import FakeWriter, make_handler

SUSPENSION_S = 2.0
STORE_TURNS = 20
HEADERS = [("bulrushspur-credential", API_KEY), ("bulrushspur-deadline-ms", "3000")]


class StoringWriter(FakeWriter):
    """A writer that stores records and the progress of changed jobs at once."""

    def __init__(self, cell):
        super().__init__()
        self.cell = cell
        self.pending_records = {}
        self.progress = {}

    def is_durable(self, job_id):
        return job_id not in self.cell.dirty_jobs

    async def wait_durable(self):
        for job in self.cell.dirty_jobs:
            self.progress["s" + job] = encode_progress(self.cell, job)
        self.cell.dirty_jobs.clear()
        self.progress |= self.pending_records
        self.pending_records = {}

    def remove_record(self, key):
        self.pending_records[key] = b""


class RejectingWriter(StoringWriter):
    """A writer that drops the first job that it is to store, once it may.

    ``on_drop`` is called with the drop; later jobs are stored, after some turns of the
    event loop.
    """

    def __init__(self, cell, on_drop):
        super().__init__(cell)
        self.may_drop = asyncio.Event()
        self.on_drop = on_drop
        self.has_dropped = False

    async def store_job(self, job_id, record):
        if not self.has_dropped:
            await self.may_drop.wait()
            self.has_dropped = True
            self.on_drop()
            raise NotStoredError
        for _ in range(STORE_TURNS):
            await asyncio.sleep(0)
        await super().store_job(job_id, record)


class LateSubmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cell = make_test_cell(1)
        self.writer = StoringWriter(self.cell)
        self.handler = make_handler(self.cell, self.writer)
        self.submission = self.make_submission()

    def make_submission(self, account="team"):
        return Submit(2, "j1", "heavy", account, encode_job(make_test_job()))

    async def cancel(self):
        return await self.handler.answer(Cancel(1, "j1", "team"))

    async def query(self):
        return await self.handler.answer(Query(3, "j1"))

    def lead_next(self, unix_s=None):
        """Go on with the next leader, from what is stored."""
        self.cell = make_cell(self.cell.config, fencing_token=6)
        stored = {key: data for key, data in self.writer.progress.items() if data}
        unix_s = time.time() if unix_s is None else unix_s
        recover_jobs(self.cell, stored, monotonic_s(), unix_s)
        self.writer.cell = self.cell
        self.handler = make_handler(self.cell, self.writer)

    async def test_job_that_was_cancelled_before_it_came_does_not_run(self):
        self.assertEqual((await self.cancel()).outcome, Outcome.UNKNOWN_JOB)
        reply = await self.handler.answer(self.submission)
        self.assertEqual((reply.outcome, reply.state), (Outcome.OK, "cancelled"))
        self.assertEqual((self.cell.jobs, self.writer.records), ({}, {}))
        self.assertEqual((await self.query()).state, "cancelled")
        self.assertEqual((await self.cancel()).outcome, Outcome.OK)

    async def test_next_leader_knows_the_cancel(self):
        await self.cancel()
        self.lead_next()
        reply = await self.handler.answer(self.submission)
        self.assertEqual((reply.outcome, reply.state), (Outcome.OK, "cancelled"))
        self.lead_next()
        self.assertEqual((await self.query()).state, "cancelled")

    async def test_cancel_is_stored_before_it_is_acknowledged(self):
        await self.cancel()
        self.assertEqual(list(self.writer.progress), ["cj1"])

    # Guards against: a second copy of the submission is accepted beside the cancel.
    async def test_cancel_waits_for_each_copy_of_the_submission(self):
        copies = []

        def submit():
            copies.append(asyncio.create_task(self.handler.answer(self.submission)))

        # The second copy comes as the first one is refused, before the cancel goes on.
        self.writer = RejectingWriter(self.cell, on_drop=submit)
        self.handler = make_handler(self.cell, self.writer)
        submit()
        await asyncio.sleep(0)
        cancelled = asyncio.create_task(self.cancel())
        await asyncio.sleep(0)
        self.writer.may_drop.set()
        self.assertEqual((await cancelled).outcome, Outcome.OK)
        replies = [(await copy).outcome for copy in copies]
        self.assertEqual(replies, [Outcome.STORE_UNAVAILABLE, Outcome.OK])
        self.assertEqual(self.cell.jobs, {})
        self.assertEqual((await self.query()).state, "cancelled")

    # Guards against: a caller cancels the jobs that others are still to submit.
    async def test_cancel_of_another_account_cancels_no_later_job(self):
        await self.cancel()
        other = self.make_submission("other team")
        self.assertEqual((await self.handler.answer(other)).outcome, Outcome.OK)
        self.assertEqual(list(self.cell.jobs), ["j1"])

    async def test_repeated_submission_is_acknowledged_only_once_it_is_stored(self):
        await self.cancel()
        for _ in range(2):
            reply = await self.handler.answer(self.submission)
            self.assertEqual((reply.outcome, reply.state), (Outcome.OK, "cancelled"))
            self.assertIn("sj1", self.writer.progress)
        await self.writer.wait_durable()
        self.assertEqual(self.writer.progress["cj1"], b"")

    async def test_cancels_are_forgotten_in_time_whoever_leads(self):
        await self.cancel()
        retention_s = self.cell.timing_limits.final_state_retention_s
        self.lead_next(time.time() + retention_s / 2)
        self.assertEqual(purge_early_cancels(self.cell, monotonic_s()), [])
        later_s = monotonic_s() + retention_s * 0.6
        self.assertEqual(purge_early_cancels(self.cell, later_s), ["j1"])

    async def test_repeated_cancel_is_remembered_anew(self):
        await self.cancel()
        before = self.cell.early_cancels["j1"]
        await self.cancel()
        self.assertGreater(
            self.cell.early_cancels["j1"].cancelled_s, before.cancelled_s
        )

    async def test_cancels_of_unknown_jobs_are_bounded(self):
        for number in range(MAX_EARLY_CANCELS + 2):
            add_early_cancel(self.cell, f"j{number}", "team", 1.0)
        self.assertEqual(purge_early_cancels(self.cell, 1.0), ["j0", "j1"])

    async def test_job_that_nobody_submitted_is_not_shown(self):
        await self.cancel()
        self.assertEqual((await self.query()).outcome, Outcome.UNKNOWN_JOB)
        self.assertEqual((await self.cancel()).outcome, Outcome.UNKNOWN_JOB)
        self.lead_next()
        self.assertEqual((await self.query()).outcome, Outcome.UNKNOWN_JOB)


class LeaderChangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=3, workers=2)

    async def test_cancel_before_a_submission_outlasts_the_leader(self):
        cluster = self.cluster
        answer = await cluster.call("DELETE", f"/assess/{job_id(1)}")
        self.assertEqual(answer.status, 410)
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        answer = await cluster.submit(job_id(1))
        self.assertEqual(answer.status, 200)
        self.assertEqual(await cluster.fetch_job_state(job_id(1)), "cancelled")
        await asyncio.sleep(0.5)
        self.assertEqual(cluster.oracle.starts, [])


class SuspendedGatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = ProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(3, 4, "platform", CONFIG)
        await self.cluster.wait_ready()

    async def asyncTearDown(self):
        self.assertEqual(self.cluster.find_violations(), [])

    async def call(self, entry, method, body=None):
        path = f"/assess/{job_id(1)}"
        return await self.cluster.call(
            entry, method, path, HEADERS, body, timeout_s=8.0, host=HOST
        )

    async def test_job_cancelled_while_a_suspended_gateway_holds_it_does_not_run(self):
        cluster = self.cluster
        leader = await cluster.find_leader()
        suspended, other = (entry for entry in cluster.entries if entry is not leader)
        suspended.send_signal(signal.SIGSTOP)
        body = make_job_body(count=24, cpu_milli=200, run_time_ms=500)
        submission = asyncio.create_task(self.call(suspended, "POST", body))
        await asyncio.sleep(SUSPENSION_S / 2)
        cancelled = await self.call(other, "DELETE")
        self.assertEqual(cancelled.status, 410)
        await asyncio.sleep(SUSPENSION_S / 2)
        suspended.send_signal(signal.SIGCONT)
        answer = await submission
        if answer.status == 503:
            # It has not heard of the leader since; its caller comes back.
            await asyncio.sleep(1.0)
            answer = await self.call(suspended, "POST", body)
        self.assertEqual(answer.status, 200)
        await asyncio.sleep(1.0)
        self.assertEqual(cluster.oracle.starts, [])
        state = msgspec.json.decode((await self.call(other, "GET")).body)["state"]
        self.assertEqual(state, "cancelled")
