"""Test that a gateway answers each request in time once its process stops.

The tests guard against requests that are passed on too late to be answered, refusals of
requests that a leader may have, and waits that outlast the process.
"""

import asyncio
import dataclasses
import time
import unittest
import unittest.mock

from bulrushspur_daemon import gateway as gateway_module
from bulrushspur_daemon.clock import boottime_s
from bulrushspur_daemon.config_watch import MAX_UNREAD_S, ConfigWatch
from bulrushspur_daemon.doubtful_requests import (
    MAX_AGE_S,
    MAX_REQUESTS,
    DoubtfulRequests,
)
from bulrushspur_daemon.gateway import Gateway
from bulrushspur_daemon.leader_client import LeaderClient
from bulrushspur_daemon.stop_schedule import make_stop_schedule
from bulrushspur_kernel.adapter import CallerInterface
from bulrushspur_kernel.messages import Heartbeat, Outcome, Reply, Submit
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.config import Account
from tests.cell_fixtures import QUEUES, make_test_job
from tests.test_config_watch import FakeStore, NullEventLog

ACCOUNT = Account("team")
GRACE_S = 6.0
DEADLINE_S = 30.0
# The event loop of a loaded machine is late.
LATE_S = 0.4


class StuckStore(FakeStore):
    """A store that does not answer."""

    async def read_newest(self, topic):
        await asyncio.sleep(60)


class GatewayStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.sent = []
        self.client = LeaderClient(self.send)
        self.gateway = Gateway(None, self.client, NullEventLog(), Metrics())
        self.answers = False
        self.has_leader()

    def has_leader(self):
        self.client.handle_heartbeat(Heartbeat(1, "n1", True, 1, 0, {}), b"n1")

    def send(self, identity, message):
        self.sent.append(message)
        if self.answers:
            reply = Reply(message.request_id, Outcome.OK)
            asyncio.get_running_loop().call_soon(self.client.handle_reply, reply)
        return True

    def begin_stop(self, age_s=0.0, drain_s=60.0):
        schedule = make_stop_schedule(GRACE_S, boottime_s() - age_s, drain_s)
        self.gateway.begin_stop(schedule)

    def submit(self, job_id="j1", deadline_s=DEADLINE_S):
        spec = dataclasses.replace(make_test_job().spec, id=job_id)
        return self.gateway.submit(QUEUES[0], ACCOUNT, spec, deadline_s)

    def cancel(self, job_id="j1", deadline_s=DEADLINE_S):
        return self.gateway.cancel(ACCOUNT, job_id, deadline_s)

    def list_requests(self):
        gateway = self.gateway
        return [
            self.submit(),
            gateway.query("j1", DEADLINE_S),
            gateway.cancel(ACCOUNT, "j1", DEADLINE_S),
        ]

    async def get_timed(self, request):
        began_s = time.monotonic()
        result = await request
        return result, time.monotonic() - began_s

    async def test_request_that_comes_too_late_is_refused_and_not_passed_on(self):
        self.begin_stop(age_s=GRACE_S - 1.0)
        for request in self.list_requests():
            result, took_s = await self.get_timed(request)
            self.assertEqual(result.outcome, "stopping")
            self.assertGreater(result.retry_after_s, 0.0)
            self.assertLess(took_s, LATE_S)
        self.assertEqual(self.sent, [])

    async def test_request_is_served_while_time_is_ample(self):
        self.answers = True
        self.begin_stop()
        for request in self.list_requests():
            self.assertEqual((await request).outcome, "ok")
        self.assertEqual(len(self.sent), 3)

    async def test_submissions_are_refused_earlier_beside_a_slow_store(self):
        self.answers = True
        for _ in range(20):
            self.gateway.storing_durations.add(1.5, boottime_s())
        self.begin_stop(drain_s=1.4)
        submission, query, cancel = self.list_requests()
        self.assertEqual((await submission).outcome, "stopping")
        self.assertEqual((await query).outcome, "ok")
        self.assertEqual((await cancel).outcome, "stopping")

    async def test_time_that_submissions_take_is_learned(self):
        self.answers = True
        send = self.client.send

        def send_late(identity, message):
            asyncio.get_running_loop().call_later(0.3, send, identity, message)
            return True

        self.client.send = send_late
        await self.submit()
        self.assertGreater(self.find_longest_s(), 0.3)

    def find_longest_s(self):
        return self.gateway.storing_durations.find_longest_s(boottime_s())

    async def answer_after(self, delay_s):
        """Submit a job whose reply comes after a delay."""
        self.answers = False
        submission = asyncio.create_task(self.submit())
        await asyncio.sleep(delay_s)
        reply = Reply(self.sent[-1].request_id, Outcome.OK)
        self.client.handle_reply(reply)
        self.has_leader()
        await submission

    # Guards against: a few slow answers let all be refused while there is time.
    async def test_few_slow_submissions_let_none_be_refused_while_time_is_ample(self):
        self.answers = True
        for _ in range(50):
            await self.submit()
        for _ in range(3):
            await self.answer_after(0.8)
        self.answers = True
        self.begin_stop(drain_s=1.5)
        self.assertEqual((await self.submit()).outcome, "ok")

    # Guards against: a wait of a caller's deadline taken for the time of the store.
    async def test_cancellation_in_doubt_counts_no_longer_than_a_submission(self):
        with unittest.mock.patch.object(gateway_module, "SUBMIT_TIMEOUT_S", 0.3):
            result = await self.gateway.cancel(ACCOUNT, "j1", 0.8)
        self.assertEqual(result.outcome, "in_doubt")
        self.assertLessEqual(self.find_longest_s(), 0.3)

    async def test_request_that_a_leader_may_have_is_answered_in_doubt_in_time(self):
        self.begin_stop(drain_s=0.7)
        result, took_s = await self.get_timed(self.submit())
        self.assertEqual(result.outcome, "in_doubt")
        self.assertLess(took_s, 0.7 + LATE_S)
        self.assertIsInstance(self.sent[0], Submit)

    # Guards against: "not run" for a cancellation that a leader carries out.
    async def test_cancellation_that_a_leader_may_have_is_answered_in_doubt(self):
        self.begin_stop(drain_s=0.7)
        result = await self.gateway.cancel(ACCOUNT, "j1", DEADLINE_S)
        self.assertEqual(result.outcome, "in_doubt")

    async def test_request_that_no_leader_has_is_refused_in_time(self):
        self.client.serving = False
        self.begin_stop(drain_s=0.7)
        result, took_s = await self.get_timed(self.submit())
        self.assertEqual(result.outcome, "unavailable")
        self.assertLess(took_s, 0.7 + LATE_S)

    # Guards against: a wait that began before the stop, by its caller's deadline.
    async def test_request_under_way_is_answered_in_time(self):
        query = asyncio.create_task(self.gateway.query("j1", DEADLINE_S))
        await asyncio.sleep(0.1)
        self.client.serving = False
        self.client._drop_replies()
        await asyncio.sleep(0.1)
        self.begin_stop(drain_s=0.3)
        result, took_s = await self.get_timed(query)
        self.assertEqual(result.outcome, "unavailable")
        self.assertLess(took_s, 0.3 + LATE_S)

    # Guards against: a request is not refused in time as the store does not answer.
    async def test_configuration_is_not_waited_for_when_answers_are_due(self):
        watch = ConfigWatch(
            StuckStore(), CallerInterface("keyed.op", None, None), NullEventLog()
        )
        watch.current = self
        watch.read_boottime_s = boottime_s() - MAX_UNREAD_S
        self.gateway.config_watch = watch
        self.begin_stop(drain_s=0.1)
        _, took_s = await self.get_timed(self.gateway.catch_up())
        self.assertLess(took_s, 0.1 + LATE_S)
        watch.catching_up.cancel()

    async def leave_in_doubt(self, job_id="j1"):
        """Get answers in doubt to a submission and a cancellation."""
        for request in (self.submit(job_id, 0.3), self.cancel(job_id, 0.3)):
            self.assertEqual((await request).outcome, "in_doubt")

    # Guards against: "not run" for what a leader may have stored at a try before.
    async def test_retry_of_a_request_in_doubt_is_in_doubt_when_it_comes_too_late(self):
        await self.leave_in_doubt()
        self.begin_stop(age_s=GRACE_S - 1.0)
        for request in (self.submit(), self.cancel()):
            result = await request
            self.assertEqual(result.outcome, "in_doubt")
            self.assertGreater(result.retry_after_s, 0.0)
        self.assertEqual((await self.submit("j2")).outcome, "stopping")

    async def test_retry_of_a_request_in_doubt_is_in_doubt_while_no_leader_serves(self):
        await self.leave_in_doubt()
        self.client.serving = False
        for request in (self.submit("j1", 0.3), self.cancel("j1", 0.3)):
            self.assertEqual((await request).outcome, "in_doubt")
        self.assertEqual((await self.submit("j2", 0.3)).outcome, "unavailable")

    async def test_request_is_in_doubt_no_more_once_a_leader_has_answered(self):
        await self.leave_in_doubt()
        self.answers = True
        self.assertEqual((await self.submit()).outcome, "ok")
        self.begin_stop(age_s=GRACE_S - 1.0)
        self.assertEqual((await self.submit()).outcome, "stopping")
        self.assertEqual((await self.cancel()).outcome, "in_doubt")


class DoubtfulRequestsTest(unittest.TestCase):
    def setUp(self):
        self.requests = DoubtfulRequests()

    # Guards against: memory that grows with each request while the store is away.
    def test_latest_requests_are_remembered(self):
        for number in range(MAX_REQUESTS + 1):
            self.requests.add("submit", str(number), 100.0)
        self.assertEqual(len(self.requests.answered_s), MAX_REQUESTS)
        self.assertFalse(self.requests.has("submit", "0", 100.0))
        self.assertTrue(self.requests.has("submit", str(MAX_REQUESTS), 100.0))

    def test_request_is_forgotten_after_a_time(self):
        self.requests.add("submit", "j1", 100.0)
        self.assertTrue(self.requests.has("submit", "j1", 99.0 + MAX_AGE_S))
        self.assertFalse(self.requests.has("submit", "j1", 100.0 + MAX_AGE_S))


if __name__ == "__main__":
    unittest.main()
