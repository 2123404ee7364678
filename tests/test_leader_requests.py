"""Test that the leader keeps what a gateway promised when it took a job.

Gateway and leader may have different configurations, and an older gateway tells
nothing. The tests guard against jobs that fail after fewer runs than were promised,
and against calling a job unknown that was accepted.
"""

import asyncio
import dataclasses
import unittest

import msgspec

from bulrushspur_daemon.advice_dispatcher import AdviceDispatcher
from bulrushspur_daemon.leader_requests import LeaderRequestHandler
from bulrushspur_kernel.messages import Cancel, Outcome, Submit
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.config import make_config
from bulrushspur_scheduler.records import decode_job, encode_job
from tests.cell_fixtures import QUEUES, make_test_cell, make_test_job
from tests.test_config_watch import NullEventLog


class FakeWriter:
    """A writer that keeps the records of jobs."""

    failing_since_s = 0.0

    def __init__(self):
        self.records = {}

    async def store_job(self, job_id, record):
        self.records[job_id] = record


class FakeConfirmation:
    """The store confirms the term at once."""

    def is_recent(self):
        return True

    async def confirm_since(self, since_s):
        return True


def make_handler(cell, writer, confirmation=None):
    dispatcher = AdviceDispatcher(
        cell, NullEventLog(), Metrics(), lambda *_: True, list, lambda: None
    )
    return LeaderRequestHandler(
        cell,
        writer,
        confirmation or FakeConfirmation(),
        dispatcher,
        asyncio.ensure_future,
        int,
        int,
    )


def accept_job(queue):
    """Make a job as a gateway does that takes it on this queue; None tells nothing."""
    job = make_test_job()
    job.accepted_queue = queue
    return job


class SubmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cell = make_test_cell(1)
        self.writer = FakeWriter()

    async def submit(self, accepted_queue):
        """Hand a job in that a gateway took on this queue."""
        return await self.submit_record(encode_job(accept_job(accepted_queue)))

    async def submit_record(self, record):
        return await self.answer(Submit(1, "j1", "heavy", "team", record))

    async def answer(self, request):
        return await make_handler(self.cell, self.writer).answer(request)

    def lower_attempts(self):
        lowered = dataclasses.replace(QUEUES[1], max_attempts=1)
        self.cell.config = make_config(2, (lowered,))

    async def test_attempts_of_the_gateway_outlast_those_of_the_leader(self):
        self.lower_attempts()
        self.assertEqual((await self.submit(QUEUES[1])).outcome, Outcome.OK)
        self.assertEqual(self.cell.max_attempts(self.cell.jobs["j1"]), 3)
        stored = decode_job("j1", self.writer.records["j1"], 0.0, 0.0)
        self.assertEqual(stored.accepted_queue.max_attempts, 3)

    async def test_record_of_a_newer_gateway_is_stored_as_it_is(self):
        newer = msgspec.msgpack.decode(encode_job(accept_job(QUEUES[1])))
        record = msgspec.msgpack.encode([*newer, "field of a later version"])
        self.assertEqual((await self.submit_record(record)).outcome, Outcome.OK)
        self.assertEqual(self.writer.records["j1"], record)

    async def test_record_of_an_older_gateway_is_stored_with_the_attempts(self):
        self.assertEqual((await self.submit(None)).outcome, Outcome.OK)
        self.lower_attempts()
        self.assertEqual(self.cell.max_attempts(self.cell.jobs["j1"]), 3)
        stored = decode_job("j1", self.writer.records["j1"], 0.0, 0.0)
        self.assertEqual(stored.accepted_queue.max_attempts, 3)

    async def test_queue_that_the_leader_does_not_know_yet_is_refused(self):
        self.cell.config = make_config(0)
        self.assertEqual((await self.submit(QUEUES[1])).outcome, Outcome.NOT_READY)
        self.assertEqual((self.cell.jobs, self.writer.records), ({}, {}))

    async def test_accept_tells_the_attempts_that_were_promised(self):
        await self.submit(dataclasses.replace(QUEUES[1], max_attempts=4))
        (event,) = [row for row in self.cell.events if row.name == "accept"]
        self.assertEqual(event.fields["max_attempts"], 4)

    async def test_unreadable_job_is_not_said_to_be_unknown_when_it_is_cancelled(self):
        self.cell.unreadable_jobs.add("j1")
        reply = await self.answer(Cancel(1, "j1"))
        self.assertEqual(reply.outcome, Outcome.NOT_READY)


if __name__ == "__main__":
    unittest.main()
