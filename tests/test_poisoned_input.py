"""Test that one record, request, step, report or message ends no leader.

What makes a leader fail makes the next one fail, too: each such piece is set aside, and
all others are served.
"""

import asyncio
import itertools
import unittest
import unittest.mock

import msgspec

from bulrushspur_daemon import leader_requests
from bulrushspur_daemon.peer_sockets import PeerServer
from bulrushspur_kernel.messages import Resign, encode_message
from bulrushspur_scheduler import planning, reports, step_advice, takeover
from bulrushspur_scheduler.config import Account, make_config
from bulrushspur_scheduler.job_specs import StepSpec
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import requeue_step
from bulrushspur_scheduler.progress_records import (
    PROGRESS_KEY_PREFIX,
    OccurrenceRecord,
    ProgressRecord,
)
from bulrushspur_scheduler.records import JOB_KEY_PREFIX, encode_job
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.waiting import WaitMonitor
from tests.cell_fixtures import (
    QUEUES,
    add_test_job,
    make_test_cell,
    make_test_job,
    report_all_workers,
)
from tests.cluster import InProcessCluster, job_id
from tests.test_config_watch import NullEventLog


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


class FaultyStepTest(unittest.TestCase):
    """A job that planning can't handle, beside one that it can."""

    def setUp(self):
        self.cell = cell = make_test_cell(2)
        self.bad = add_test_job(cell, "bad", "small")
        add_test_job(cell, "good")

    def fail_planning(self, name, module=planning):
        """Let a function of planning fail for the bad job until the test ends."""
        function = getattr(module, name)

        def call_or_fail(*args):
            step = next(row for row in args if isinstance(row, Step))
            if step.job.id == "bad":
                raise ZeroDivisionError
            return function(*args)

        patch = unittest.mock.patch.object(module, name, call_or_fail)
        patch.start()
        self.addCleanup(patch.stop)
        return patch

    def list_faults(self, passes, interval_s):
        """Plan at an interval; return when the faults were logged, and the counts."""
        rv = []
        for index in range(passes):
            plan(self.cell, interval_s * index)
            for event in self.cell.events:
                if event.name == "step_fault":
                    rv.append((interval_s * index, event.fields["faults"]))
            self.cell.events.clear()
        return rv

    def started_jobs(self):
        return {order.run.task.key.job for order in self.cell.start_orders}

    def test_step_that_cannot_be_planned_holds_back_no_other(self):
        self.fail_planning("make_worker_chooser")
        self.list_faults(1, 0.1)
        self.assertEqual(self.started_jobs(), {"good"})

    def test_step_without_a_rank_holds_back_no_other(self):
        self.fail_planning("rank")
        self.assertEqual(len(self.list_faults(10, 0.1)), 1)
        self.assertEqual(self.started_jobs(), {"good"})

    def test_step_that_is_kept_back_and_cannot_be_advised_ends_no_pass(self):
        capped = Account("capped", (), 20.0, Resources(500))
        accounts = (*self.cell.config.accounts, capped)
        self.cell.config = make_config(2, QUEUES, accounts=accounts)
        add_test_job(self.cell, "bad", "advised", account="capped")
        self.fail_planning("request_first_advice", step_advice)
        self.assertEqual(len(self.list_faults(10, 0.1)), 1)
        self.assertEqual(self.started_jobs(), {"good"})

    def test_gang_whose_tickets_cannot_be_renewed_ends_no_pass(self):
        gang = {"count": 2, "gang": True, "resources": Resources(16_000, 100)}
        bad = add_test_job(self.cell, "bad", "advised", **gang)
        (step,) = bad.steps()
        step.evaluated_workers = {"w0", "w1"}
        patch = unittest.mock.patch.object(
            step_advice.advice, "renew_tickets", side_effect=ZeroDivisionError
        )
        with patch:
            self.assertEqual(len(self.list_faults(10, 0.1)), 1)
        self.assertEqual(self.started_jobs(), {"good"})

    def test_fault_of_the_scheduler_fails_no_accepted_job(self):
        patch = self.fail_planning("make_worker_chooser")
        faults = self.list_faults(200, 0.1)
        self.assertEqual([count for _, count in faults], [1, 2, 3, 4])
        self.assertEqual(self.cell.finished_jobs, {})
        self.assertIs(self.cell.jobs["bad"].state, JobState.QUEUED)
        patch.stop()
        report_all_workers(self.cell, 31.0)
        plan(self.cell, 31.0)
        self.assertEqual(self.started_jobs(), {"good", "bad"})

    def test_pause_after_faults_grows_up_to_a_limit(self):
        self.fail_planning("make_worker_chooser")
        times_s = [time_s for time_s, _ in self.list_faults(400, 1.0)]
        pauses_s = [b - a for a, b in itertools.pairwise(times_s)]
        self.assertEqual(pauses_s[:7], [2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0])

    def test_thousands_of_faults_are_no_fault_themselves(self):
        self.fail_planning("make_worker_chooser")
        self.bad.fault_count = 5000
        self.assertEqual(self.list_faults(100, 1.0), [(0.0, 5001), (60.0, 5002)])

    def test_faulty_job_is_left_alone_until_its_pause_is_over(self):
        self.fail_planning("rank")
        self.assertEqual(len(self.list_faults(2, 0.1)), 1)
        (step,) = self.bad.steps()
        # As after the end of another run of the step.
        requeue_step(self.cell, step)
        plan(self.cell, 1.0)
        self.assertEqual(self.bad.fault_count, 1)

    def test_steps_of_one_job_count_as_one_fault_in_a_pass(self):
        each = Resources(1000, 100)
        add_test_job(self.cell, "bad", steps=(StepSpec(1, each), StepSpec(1, each)))
        self.fail_planning("make_worker_chooser")
        self.assertEqual(len(self.list_faults(1, 0.1)), 1)

    def test_operators_see_which_job_a_fault_keeps_waiting(self):
        self.fail_planning("make_worker_chooser")
        monitor = WaitMonitor()
        for now_s in (0.0, 1.0, 2.5):
            plan(self.cell, now_s)
            monitor.report(self.cell, now_s)
        (event,) = [row for row in self.cell.events if row.name == "step_waits"]
        self.assertEqual((event.job, event.fields["reason"]), ("bad", "planning_fault"))


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
        apply_end = reports.apply_end

        def apply_or_fail(cell, worker, end, now_s):
            if worker.id == "w0":
                raise TypeError
            apply_end(cell, worker, end, now_s)

        await cluster.start(nodes=2, workers=3)
        with unittest.mock.patch.object(reports, "apply_end", apply_or_fail):
            for number in range(4):
                await cluster.submit(job_id(number), count=3, run_time_ms=50)
            for number in range(4):
                await cluster.wait_job_state(job_id(number), "completed", wait_s=25.0)
        self.assertEqual(cluster.find_violations(), [])
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
