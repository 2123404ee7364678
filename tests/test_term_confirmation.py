"""Test that a leader denies a job only after the store has confirmed its term.

A leader that wakes from a freeze, or is cut off, may have been replaced. The tests
guard against telling a caller that a job does not exist, or is rejected, that its
successor has accepted.
"""

import asyncio
import unittest

from bulrushspur_daemon import term_confirmation
from bulrushspur_daemon.clock import boottime_s, monotonic_s
from bulrushspur_daemon.record_writer import RecordWriter
from bulrushspur_daemon.term_confirmation import TermConfirmation
from bulrushspur_kernel.messages import Cancel, Outcome, Query, Submit
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_kernel.store import StoreTruncatedError, StoreUnavailableError
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import make_test_cell, make_test_job
from tests.cluster import InProcessCluster, job_id
from tests.test_config_watch import NullEventLog
from tests.test_leader_requests import make_handler

READ_S = 0.01


class FakeClaimLog:
    """A claim log whose reads take a moment, and may fail or show a later term."""

    def __init__(self):
        self.term = 5
        self.reads = 0
        self.error = None
        self.last_store_success_s = self.last_store_success_boottime_s = -1e9

    async def read(self):
        self.reads += 1
        sent = monotonic_s(), boottime_s()
        await asyncio.sleep(READ_S)
        if self.error is not None:
            raise self.error
        self.last_store_success_s, self.last_store_success_boottime_s = sent

    def handle_truncation(self, oldest_offset):
        self.error = None


class FakeStore:
    """A store that stores what is appended."""

    last_answer_s = 0.0

    async def append(self, topic, rows, writer, timeout_s):
        await asyncio.sleep(0)


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cell = make_test_cell(1)
        self.claim_log = FakeClaimLog()
        self.writer = RecordWriter(
            FakeStore(), self.cell, NullEventLog(), Metrics(), lambda reason: None
        )
        writing = asyncio.create_task(self.writer.run())
        self.addCleanup(writing.cancel)
        self.confirmation = TermConfirmation(
            5, self.cell, self.claim_log, self.writer, Metrics()
        )
        self.confirm(0.0)

    def confirm(self, age_s):
        self.writer.confirmed_s = monotonic_s() - age_s
        self.writer.confirmed_boottime_s = boottime_s() - age_s

    async def answer(self, message):
        handler = make_handler(self.cell, self.writer, self.confirmation)
        return (await handler.answer(message)).outcome

    async def test_unknown_job_is_denied_after_a_confirmation(self):
        for message in (Query(1, "j1"), Cancel(1, "j1")):
            reads = self.claim_log.reads
            self.assertEqual(await self.answer(message), Outcome.UNKNOWN_JOB)
            self.assertEqual(self.claim_log.reads, reads + 1)

    # Guards against: a leader that wakes denies jobs that its successor has accepted.
    async def test_unknown_job_is_not_denied_beside_a_later_term(self):
        self.claim_log.term = 6
        for message in (Query(1, "j1"), Cancel(1, "j1")):
            self.assertEqual(await self.answer(message), Outcome.STORE_UNAVAILABLE)

    async def test_unknown_job_is_not_denied_without_the_store(self):
        self.claim_log.error = StoreUnavailableError("down")
        self.assertEqual(await self.answer(Query(1, "j1")), Outcome.STORE_UNAVAILABLE)

    # Guards against: the confirmations of a term end with one that is not answered.
    async def test_term_is_confirmed_again_once_the_store_answers(self):
        self.claim_log.error = StoreUnavailableError("down")
        running = asyncio.create_task(self.confirmation.run())
        self.addCleanup(running.cancel)
        self.confirm(5.0)
        await asyncio.sleep(term_confirmation.CONFIRM_INTERVAL_S)
        self.assertFalse(self.confirmation.is_recent())
        self.claim_log.error = None
        await asyncio.sleep(term_confirmation.CONFIRM_INTERVAL_S * 2)
        self.assertTrue(self.confirmation.is_recent())

    async def test_requests_that_wait_share_one_call(self):
        messages = [Query(number, f"j{number}") for number in range(50)]
        outcomes = await asyncio.gather(*map(self.answer, messages))
        self.assertEqual(set(outcomes), {Outcome.UNKNOWN_JOB})
        self.assertEqual(self.claim_log.reads, 1)

    def submit_too_large(self):
        job = make_test_job(resources=Resources(10**6, 1))
        return self.answer(Submit(1, "j1", "heavy", "team", encode_job(job)))

    async def test_rejection_after_a_recent_confirmation_asks_nothing(self):
        self.assertEqual(await self.submit_too_large(), Outcome.REJECTED)
        self.assertEqual(self.claim_log.reads, 0)

    # Guards against: a leader that wakes says that a job has not run.
    async def test_rejection_of_a_leader_that_wakes_is_confirmed_first(self):
        self.confirm(term_confirmation.MAX_UNCONFIRMED_S + 1)
        self.assertEqual(await self.submit_too_large(), Outcome.REJECTED)
        self.assertEqual(self.claim_log.reads, 1)
        self.confirm(term_confirmation.MAX_UNCONFIRMED_S + 1)
        self.claim_log.term = 6
        self.assertEqual(await self.submit_too_large(), Outcome.STORE_UNAVAILABLE)

    # Guards against: a store that forgets its history ends the term.
    async def test_confirmation_outlasts_a_truncation(self):
        self.claim_log.error = StoreTruncatedError(7)
        self.assertTrue(await self.confirmation.confirm_since(monotonic_s()))


class ReplacedLeaderTest(unittest.IsolatedAsyncioTestCase):
    # Guards against: a false 410 for a job that was accepted by the next leader.
    async def test_leader_that_was_replaced_unnoticed_denies_no_job(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=3, workers=2)
        old = cluster.find_leader()
        term, process = old.process.term, old.process
        # It hears of no later term by itself, as one that stood still.
        for task in old.tasks:
            task.cancel()
        for task in list(term.tasks):
            task.cancel()
        term.peers.close()
        await cluster.wait_for(
            lambda: any(
                node is not old and node.process.term and node.process.term.serving
                for node in cluster.nodes.values()
            )
        )
        other = next(node for node in cluster.nodes.values() if node is not old)
        answer = await cluster.submit(job_id(1), node=other, run_time_ms=3000)
        self.assertEqual(answer.status, 200)
        process.leader_client.last_heartbeat_s = monotonic_s()
        for method in ("GET", "DELETE"):
            answer = await cluster.call(
                method, f"/assess/{job_id(1)}", node=old, wait_s=1.0
            )
            self.assertNotEqual(answer.status, 410, method)
        self.assertTrue(term.ended)


if __name__ == "__main__":
    unittest.main()
