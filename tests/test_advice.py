"""Test when the placement advice service is called, and about which workers.

The tests guard against starts without a valid ticket, calls about workers that cannot
help, and short calls that wait behind long ones. Tickets expire while steps wait for
slots, and steps compete for the lanes that may make long calls. Submissions are
rejected and repeated, and terms end, while calls are in flight.
"""

import asyncio
import dataclasses
import unittest
from unittest import mock

from bulrushspur_daemon.advice_dispatcher import AdviceDispatcher
from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_daemon.leader_requests import LeaderRequestHandler
from bulrushspur_daemon.record_writer import NotStoredError
from bulrushspur_daemon.term import make_term
from bulrushspur_daemon.term_peers import TermPeers
from bulrushspur_kernel.adapter import AdviceUnavailableError
from bulrushspur_kernel.http_client import HttpResponse
from bulrushspur_kernel.messages import AdviceReply, Outcome, Submit
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_platform.advice import request_advice
from bulrushspur_scheduler import advice
from bulrushspur_scheduler.advice import apply_advice, prefetch_advice
from bulrushspur_scheduler.cell import AdviceCall, TimingLimits
from bulrushspur_scheduler.config import AdvicePolicy, make_config
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.jobs import make_occurrence
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.pools import find_recent_pool
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.records import encode_job
from bulrushspur_scheduler.resources import Resources
from tests.cell_fixtures import (
    QUEUES,
    acknowledge_starts,
    add_test_job,
    add_worker,
    make_test_cell,
    make_test_job,
    report_all_workers,
)
from tests.test_config_watch import NullEventLog
from tests.test_leader_requests import FakeConfirmation


def reply_to_call(cell, approved, now_s, valid_s=2.5):
    """Approve some workers in reply to the only advice call; return the call."""
    (call,) = cell.advice_calls
    cell.advice_calls.clear()
    reply_to(cell, call, approved, now_s, valid_s)
    return call


def reply_to(cell, call, approved, now_s, valid_s=2.5):
    """Approve some workers in reply to a call."""
    tickets = [(name, "t") for name in call.worker_ids if name in approved]
    apply_advice(cell, call, tickets, valid_s, now_s)


class AdviceTest(unittest.TestCase):
    def test_task_starts_only_with_a_valid_ticket(self):
        cell = make_test_cell(3)
        add_test_job(cell, queue="advised", now_s=0.1, count=3)
        plan(cell, 0.1)
        self.assertEqual(cell.start_orders, [])
        reply_to_call(cell, {"w1"}, 0.6)
        plan(cell, 0.6)
        self.assertEqual({order.worker_id for order in cell.start_orders}, {"w1"})
        self.assertEqual({order.ticket for order in cell.start_orders}, {"t"})

    def test_expired_tickets_are_renewed_for_approved_workers_only(self):
        cell = make_test_cell(3)
        add_test_job(cell, "full", "bulk", count=48, now_s=0.1)
        plan(cell, 0.1)
        running = acknowledge_starts(cell, 0.1)
        add_test_job(cell, queue="advised", now_s=0.2)
        plan(cell, 0.2)
        reply_to_call(cell, {"w1", "w2"}, 0.7)
        plan(cell, 0.7)
        self.assertEqual(cell.start_orders, [])
        for order in running:
            cell.workers[order.worker_id].runs.clear()
        for worker in cell.workers.values():
            worker.free.cpu_milli = 16_000
        report_all_workers(cell, 4.0)
        plan(cell, 4.0)
        call = reply_to_call(cell, {"w1", "w2"}, 4.4)
        self.assertEqual(set(call.worker_ids), {"w1", "w2"})
        report_all_workers(cell, 4.4)
        plan(cell, 4.4)
        self.assertEqual(len(cell.start_orders), 1)

    def test_gang_with_a_distant_reservation_evaluates_other_workers(self):
        cell = make_test_cell(8)
        add_test_job(
            cell,
            "busy",
            "bulk",
            0.1,
            count=8,
            max_per_worker=1,
            estimate_s=10.0,
            resources=Resources(9000, 1),
        )
        plan(cell, 0.1)
        busy = {order.worker_id for order in acknowledge_starts(cell, 0.1)}
        for index in range(8):
            add_worker(cell, f"idle{index}", now_s=0.2)
        fields = {"count": 6, "gang": True, "resources": Resources(9000, 10)}
        job = add_test_job(cell, queue="advised", now_s=0.2, **fields)
        step = job.occurrences[0].steps[0]
        step.evaluated_workers |= busy
        step.approved_workers |= dict.fromkeys(busy)
        report_all_workers(cell, 0.2)
        plan(cell, 0.2)
        (call,) = cell.advice_calls
        self.assertEqual({worker_id[:4] for worker_id in call.worker_ids}, {"idle"})

    def test_replies_to_a_refused_submission_stop_no_calls_for_the_next_one(self):
        cell = make_test_cell(2)
        pool = find_recent_pool(cell, "svc", 0.1)
        for _ in range(2):
            job = make_test_job(queue="advised", now_s=0.1)
            make_occurrence(job, 0)
            cell.uncommitted_jobs[job.id] = job
            prefetch_advice(cell, job, pool)
        calls, cell.advice_calls = cell.advice_calls, []
        del cell.uncommitted_jobs[job.id]
        add_job(cell, job, 0.1, 0.1)
        for call in calls:
            reply_to(cell, call, {"w0"}, 0.2)
        # The tickets expire while there is no room.
        cell.workers["w0"].free.cpu_milli = 0
        for now_s in (0.3, 3.0):
            report_all_workers(cell, now_s)
            plan(cell, now_s)
        cell.workers["w0"].free.cpu_milli = 16_000
        report_all_workers(cell, 3.1)
        plan(cell, 3.1)
        self.assertEqual(len(cell.advice_calls), 1)

    def test_wide_step_is_split_into_parallel_calls(self):
        cell = make_test_cell(100)
        spec = {"count": 30, "gang": True, "resources": Resources(8000, 10)}
        add_test_job(cell, queue="advised", now_s=0.1, **spec)
        plan(cell, 0.1)
        named = [name for call in cell.advice_calls for name in call.worker_ids]
        self.assertGreater(len(cell.advice_calls), 2)
        self.assertTrue(all(len(call.worker_ids) <= 24 for call in cell.advice_calls))
        self.assertEqual(len(named), len(set(named)))
        self.assertGreaterEqual(len(named), 90)
        calls, cell.advice_calls = cell.advice_calls, []
        for call in calls[:-1]:
            tickets = [(name, "t") for name in call.worker_ids]
            apply_advice(cell, call, tickets, 2.5, 0.6)
        plan(cell, 0.6)
        self.assertEqual(len(cell.start_orders), 30)

    def test_long_calls_wait_for_a_free_lane_in_order_of_rank(self):
        cell = make_test_cell(30)
        for index in range(4):
            add_test_job(cell, f"j{index}", "advised", 0.1 + 0.1 * index)
        cell.free_long_call_lanes = 2
        plan(cell, 0.6)
        self.assertEqual([call.step.job for call in cell.advice_calls], ["j0", "j1"])
        cell.advice_calls.clear()
        cell.free_long_call_lanes = 1
        plan(cell, 0.7)
        self.assertEqual([call.step.job for call in cell.advice_calls], ["j2"])

    def test_steps_without_a_free_lane_cost_no_choice_of_workers(self):
        cell = make_test_cell(8)
        cell.free_long_call_lanes = 1
        for index in range(20):
            add_test_job(cell, f"j{index}", "advised")
        with mock.patch.object(
            advice, "_choose_candidates", wraps=advice._choose_candidates
        ) as choose:
            plan(cell, 0.1)
        self.assertEqual(len(cell.advice_calls), 1)
        self.assertEqual(choose.call_count, 1)

    def test_short_calls_stay_short_while_no_lane_makes_long_ones(self):
        quick = AdvicePolicy(0.14, 0.002, 2.5)
        queue = dataclasses.replace(QUEUES[0], advice=quick)
        cell = make_test_cell(100)
        cell.config = make_config(1, (queue,), accounts=cell.config.accounts)
        cell.free_long_call_lanes = 0
        fields = {"count": 30, "gang": True, "resources": Resources(8000, 10)}
        add_test_job(cell, queue="small", now_s=0.1, **fields)
        plan(cell, 0.1)
        self.assertGreater(len(cell.advice_calls), 2)
        self.assertTrue(all(len(call.worker_ids) <= 24 for call in cell.advice_calls))

    def test_job_whose_queue_is_removed_starts_with_a_ticket(self):
        cell = make_test_cell(1)
        add_test_job(cell, queue="advised")
        cell.config = make_config(2, accounts=cell.config.accounts)
        plan(cell, 0.1)
        self.assertEqual(cell.start_orders, [])
        reply_to_call(cell, ["w0"], 0.5)
        plan(cell, 0.5)
        self.assertEqual([order.ticket for order in cell.start_orders], ["t"])

    def test_short_gang_is_backfilled_before_a_reservation_is_ready(self):
        cell = make_test_cell(2)
        busy = {"count": 2, "max_per_worker": 1, "estimate_s": 9.0}
        add_test_job(cell, "b", "bulk", 0.1, resources=Resources(9000, 1), **busy)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        report_all_workers(cell, 0.2)
        wide = {"count": 4, "gang": True, "resources": Resources(8000, 1)}
        add_test_job(cell, "wide", "heavy", 0.2, estimate_s=9.0, **wide)
        short = {"count": 2, "gang": True, "resources": Resources(6000, 1)}
        add_test_job(cell, "short", "bulk", 0.2, estimate_s=1.0, **short)
        plan(cell, 0.2)
        self.assertEqual(
            {order.run.task.key.job for order in cell.start_orders}, {"short"}
        )


class FailingWriter:
    """A writer that stores no job while ``fails`` is set."""

    failing_since_s = 0.0
    fails = True

    async def store_job(self, job_id, record):
        if self.fails:
            raise NotStoredError


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    def make_dispatcher(self, term, sent, lanes=("n1",)):
        cell = make_test_cell(1)
        cell.fencing_token = term

        def send(lane, request):
            sent.append(request)
            return True

        return AdviceDispatcher(
            cell, NullEventLog(), Metrics(), send, lambda: [*lanes], lambda: None
        )

    async def test_late_reply_to_an_earlier_term_finds_no_call(self):
        sent = []
        for term in (5, 6):
            dispatcher = self.make_dispatcher(term, sent)
            call = AdviceCall(StepKey("j1", 0, 0), ("w0",), 0.1, 0)
            dispatcher.cell.advice_calls.append(call)
            dispatcher.dispatch()
        earlier, later = sent
        dispatcher.handle_reply(AdviceReply(earlier.request_id, [("w0", "t")], 1000))
        self.assertEqual(len(dispatcher.queue.attempts), 1)
        dispatcher.handle_reply(AdviceReply(later.request_id, [("w0", "t")], 1000))
        self.assertEqual(len(dispatcher.queue.attempts), 0)

    async def test_reply_to_a_rejected_submission_is_not_counted_for_the_next(self):
        sent, now_s = [], monotonic_s()
        dispatcher = self.make_dispatcher(5, sent, ["n1", "n2", "n3", "n4"])
        cell, writer = dispatcher.cell, FailingWriter()
        report_all_workers(cell, now_s)
        handler = LeaderRequestHandler(
            cell,
            writer,
            FakeConfirmation(),
            dispatcher,
            asyncio.ensure_future,
            int,
            int,
        )
        record = encode_job(make_test_job(queue="advised", now_s=now_s))
        submit = Submit(1, "j1", "advised", "team", record)
        self.assertEqual(
            (await handler.answer(submit)).outcome, Outcome.STORE_UNAVAILABLE
        )
        writer.fails = False
        self.assertEqual((await handler.answer(submit)).outcome, Outcome.OK)
        for request in sent:
            dispatcher.handle_reply(AdviceReply(request.request_id, [], 2500))
        (step,) = cell.jobs["j1"].steps()
        self.assertEqual(step.in_flight_advice_calls, set())
        # A step makes no call while its count is not 0, and its tickets expire.
        add_worker(cell, "w1", now_s=now_s + 5.0)
        dispatcher.update_free_long_call_lanes()
        plan(cell, now_s + 5.0)
        self.assertEqual([c.worker_ids for c in cell.advice_calls], [("w1",)])

    async def test_ended_term_makes_no_more_calls(self):
        requests = []
        peers = TermPeers(None, "n1", b"", None, NullEventLog(), print, requests.append)
        limits = TimingLimits()
        term = make_term(
            5,
            "n1",
            None,
            None,
            None,
            None,
            limits,
            peers,
            NullEventLog(),
            Metrics(),
            lambda reason: None,
        )
        add_test_job(term.cell, "j1")
        for _ in range(3):
            call = AdviceCall(StepKey("j1", 0, 0), ("w0",), 0.1, 0)
            term.cell.advice_calls.append(call)
        term.advice_dispatcher.dispatch()
        term.stop("test")
        self.assertEqual(len(requests), 1)
        reply = AdviceReply(requests[0].request_id, [], 1000)
        term.advice_dispatcher.handle_reply(reply)
        self.assertEqual(len(requests), 1)
        next_id = term.advice_dispatcher.queue.next_request_id
        self.assertGreater(next_id, requests[0].request_id)


@dataclasses.dataclass
class FakePool:
    """A pool of connections to a service that gives one answer."""

    body: bytes

    async def request(self, method, path, body, timeout_s):
        return HttpResponse(200, {}, self.body)


class AdviceReplyTest(unittest.IsolatedAsyncioTestCase):
    async def test_reply_that_cannot_be_read_counts_as_no_answer(self):
        for body in (b"", b"{", b"[]", b'{"good":[["w0"]]}', b'{"good":"w0"}'):
            pool = FakePool(body)
            with self.subTest(body=body), self.assertRaises(AdviceUnavailableError):
                await request_advice(pool, StepKey("j1", 0, 0), ["w0"], 1.0)

    async def test_reply_names_workers_and_tickets(self):
        pool = FakePool(b'{"good":[["w0","t"]],"valid_ms":2500}')
        approved, valid_s = await request_advice(pool, StepKey("j1", 0, 0), ["w0"], 1.0)
        self.assertEqual([tuple(row) for row in approved], [("w0", "t")])
        self.assertEqual(valid_s, 2.5)
