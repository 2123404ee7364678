"""Test that one record, request, step, report or message ends no leader.

What makes a leader fail makes the next one fail, too: each such piece is set aside, and
all others are served.
"""

import asyncio
import unittest
import unittest.mock

import msgspec

from bulrushspur_daemon import leader_requests
from bulrushspur_daemon.peer_sockets import PeerServer
from bulrushspur_kernel.messages import Resign, encode_message
from bulrushspur_scheduler import planning, reports, takeover
from bulrushspur_scheduler.jobs import JobState
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.records import (
    JOB_KEY_PREFIX,
    PROGRESS_KEY_PREFIX,
    OccurrenceRecord,
    ProgressRecord,
    encode_job,
)
from tests.cell_fixtures import add_test_job, make_test_cell, make_test_job
from tests.cluster import InProcessCluster, job_id
from tests.test_config_watch import NullEventLog

# So often a step is planned before its job is given up.
MAX_FAULTS = 3


def encode_rows(*rows):
    return msgspec.msgpack.encode(ProgressRecord(0, "team", "heavy", list(rows)))


class RecordTest(unittest.TestCase):
    def test_progress_that_names_unknown_tasks_ends_no_recovery(self):
        for row in (
            OccurrenceRecord(0, [], {"9": [1]}),
            OccurrenceRecord(0, [], {"0.9": [1]}),
            OccurrenceRecord(0, [], {"x": [1]}),
            OccurrenceRecord(0, [], {}, {"0.7": (1, 1, 1)}),
            OccurrenceRecord(0, [], {}, {}, {"3.0": ("w0", "m", 1)}),
        ):
            with self.subTest(row=row):
                cell = make_test_cell(1)
                stored = {
                    JOB_KEY_PREFIX + name: encode_job(make_test_job(name))
                    for name in ("bad", "good")
                }
                stored[PROGRESS_KEY_PREFIX + "bad"] = encode_rows(row)
                takeover.recover_jobs(cell, stored, 1.0, 1.0)
                self.assertEqual(set(cell.jobs), {"good"})
                self.assertEqual(cell.unreadable_jobs, {"bad"})
                self.assertNotIn("bad", {key.job for key in cell.waiting_steps})


class StepTest(unittest.TestCase):
    def test_step_that_cannot_be_planned_holds_back_no_other(self):
        choose = planning.make_worker_chooser

        def choose_or_fail(step, workers):
            if step.job.id == "bad":
                raise ZeroDivisionError
            return choose(step, workers)

        cell = make_test_cell(2)
        add_test_job(cell, "bad", "small")
        add_test_job(cell, "good")
        with unittest.mock.patch.object(
            planning, "make_worker_chooser", choose_or_fail
        ):
            for index in range(200):
                plan(cell, 0.1 * index)
        self.assertEqual({o.run.task.key.job for o in cell.start_orders}, {"good"})
        self.assertIs(cell.finished_jobs["bad"].state, JobState.FAILED)
        self.assertEqual(cell.counters["step_fault"], MAX_FAULTS)

    def test_step_without_a_rank_holds_back_no_other(self):
        rank = planning.rank

        def rank_or_fail(cell, step, now_s):
            if step.job.id == "bad":
                raise OverflowError
            return rank(cell, step, now_s)

        cell = make_test_cell(2)
        add_test_job(cell, "bad", "small")
        add_test_job(cell, "good")
        with unittest.mock.patch.object(planning, "rank", rank_or_fail):
            plan(cell, 0.1)
        self.assertEqual({o.run.task.key.job for o in cell.start_orders}, {"good"})


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)

    async def serve_one_job(self, number=9):
        """Check that a job completes, and that the leader is the first one still."""
        cluster = self.cluster
        answer = await cluster.submit(job_id(number))
        self.assertEqual(answer.status, 200)
        await cluster.wait_job_state(job_id(number), "completed")
        starts = [len(node.events("term_start")) for node in cluster.nodes.values()]
        self.assertEqual(sum(starts), 1)

    async def test_unreadable_list_of_workers_ends_no_leader(self):
        self.cluster.store.put("keyed.jobs", "workers", b"\xc1not a list")
        await self.cluster.start(nodes=2, workers=2)
        await self.serve_one_job()

    async def test_request_that_cannot_be_handled_ends_no_leader(self):
        cluster = self.cluster
        await cluster.start(nodes=2, workers=2)
        check = leader_requests.admission.check_admission

        def check_or_fail(cell, queue, account, job, now_s):
            if job.id == job_id(1):
                raise KeyError("no such thing")
            return check(cell, queue, account, job, now_s)

        with unittest.mock.patch.object(
            leader_requests.admission, "check_admission", check_or_fail
        ):
            for _ in range(3):
                answer = await cluster.submit(job_id(1))
                # It is known not to have run, and not to be stored.
                self.assertEqual(answer.status, 429)
            await self.serve_one_job()

    async def test_report_that_cannot_be_applied_leaves_the_other_workers_in_use(self):
        cluster = self.cluster
        apply_end = reports._apply_end

        def apply_or_fail(cell, worker, end, now_s):
            if worker.id == "w0":
                raise TypeError
            apply_end(cell, worker, end, now_s)

        await cluster.start(nodes=2, workers=3)
        with unittest.mock.patch.object(reports, "_apply_end", apply_or_fail):
            for number in range(4):
                await cluster.submit(job_id(number), count=3, run_time_ms=50)
            for number in range(4):
                await cluster.wait_job_state(job_id(number), "completed", wait_s=25.0)
        self.assertEqual(cluster.oracle.violations, [])
        self.assertTrue(cluster.find_leader().events("worker_fault"))


class FakeSocket:
    """A socket that receives some messages, then nothing."""

    def __init__(self, messages):
        self.messages = messages

    async def recv_multipart(self):
        if not self.messages:
            await asyncio.Event().wait()
        return b"peer", encode_message(self.messages.pop(0))


class PeerMessageTest(unittest.IsolatedAsyncioTestCase):
    async def test_message_that_cannot_be_handled_ends_no_process(self):
        handled = []

        def handle(identity, message):
            handled.append(message.term)
            if message.term == 1:
                raise AttributeError

        socket = FakeSocket([Resign(1), Resign(2)])
        server = PeerServer(socket, handle, NullEventLog())
        task = asyncio.create_task(server.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.01)
        self.assertEqual(handled, [1, 2])


if __name__ == "__main__":
    unittest.main()
