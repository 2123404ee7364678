"""Test when a gateway tells refused callers to come back, and what it promises.

A caller told to come back after its deadline has lost its request. The tests play an
outage of the store for callers with a short deadline, who come back as they are told.
"""

import unittest

from bulrushspur_daemon.gateway import (
    MAX_FINAL_AGE_S,
    Gateway,
    limit_retry_after_s,
)
from bulrushspur_kernel.messages import Outcome, Reply
from bulrushspur_kernel.metrics import Metrics
from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.records import decode_job
from tests.cell_fixtures import QUEUES, make_test_job
from tests.test_config_watch import NullEventLog

DEADLINE_S = 3.0
MAX_TRIES = 5
OUTAGE_S = 6.0


def expected_wait_s(outage_age_s):
    """Return the wait that the leader expects: as long again as the outage so far."""
    return min(max(outage_age_s, 1.0), 3.0)


def is_served(first_sent_s, limit):
    """Return whether a caller that first asks during the outage is served in time."""
    now_s = first_sent_s
    for _ in range(MAX_TRIES):
        if now_s >= OUTAGE_S:
            return True
        remaining_s = first_sent_s + DEADLINE_S - now_s
        wait_s = limit(expected_wait_s(now_s), remaining_s)
        if wait_s >= remaining_s:
            return False
        now_s += wait_s
    return False


class RetryAfterTest(unittest.TestCase):
    def test_expected_time_is_told_where_the_deadline_allows_it(self):
        self.assertEqual(limit_retry_after_s(1.0, 3.0), 1.0)
        self.assertEqual(limit_retry_after_s(2.5, 30.0), 2.5)

    def test_caller_with_little_time_is_left_another_try(self):
        self.assertEqual(limit_retry_after_s(3.0, 2.9), 1.0)
        self.assertEqual(limit_retry_after_s(9.0, 6.5), 3.0)
        self.assertEqual(limit_retry_after_s(3.0, 1.5), 1.0)

    def test_caller_without_time_is_told_what_is_expected(self):
        self.assertEqual(limit_retry_after_s(3.0, 0.8), 3.0)

    def test_callers_of_the_end_of_an_outage_are_served(self):
        sent_s = [OUTAGE_S * index / 200 for index in range(200)]
        told_expected = [is_served(s, lambda expected, _: expected) for s in sent_s]
        limited = [is_served(s, limit_retry_after_s) for s in sent_s]
        # Whoever asks in the last second before the outage ends comes back after it.
        self.assertTrue(all(limited[s] for s in range(200) if sent_s[s] > OUTAGE_S - 2))
        self.assertGreater(sum(limited), sum(told_expected) + 50)


class FakeLeaderClient:
    """A leader that gives one reply to all requests, and keeps them."""

    leader_name, term = "n1", 1

    def __init__(self):
        self.submissions = []
        self.reply = Reply(1, Outcome.OK)

    def heartbeat_age_s(self):
        return 0.0

    async def request(self, make_request, wait_s, leader_wait_s):
        self.submissions.append(make_request(1))
        return self.reply


class SubmitTest(unittest.IsolatedAsyncioTestCase):
    async def test_record_has_what_the_queue_promised(self):
        client = FakeLeaderClient()
        gateway = Gateway(None, client, NullEventLog(), Metrics())
        for queue in QUEUES:
            await gateway.submit(queue, Account("team"), make_test_job().spec, 3.0)
            record = client.submissions.pop().record
            accepted = decode_job("j1", record, 0.0, 0.0).accepted_queue
            self.assertEqual(accepted.max_attempts, queue.max_attempts)
            self.assertEqual(accepted.advice, queue.advice)

    async def test_final_state_of_a_past_job_is_not_that_of_a_new_one_with_its_id(self):
        client = FakeLeaderClient()
        gateway = Gateway(None, client, NullEventLog(), Metrics())
        client.reply = Reply(1, Outcome.OK, JobState.FAILED.value)
        self.assertEqual((await gateway.query("j1", 3.0)).state, "failed")
        client.reply = Reply(1, Outcome.OK)
        spec = make_test_job().spec
        result = await gateway.submit(QUEUES[1], Account("team"), spec, 3.0)
        self.assertEqual(result.outcome, "ok")
        client.reply = Reply(1, Outcome.OK, JobState.QUEUED.value)
        self.assertEqual((await gateway.query("j1", 3.0)).state, "queued")

    # Guards against: a job is shown as completed that has the id of a forgotten one.
    async def test_final_state_is_asked_for_again_after_a_while(self):
        client = FakeLeaderClient()
        gateway = Gateway(None, client, NullEventLog(), Metrics())
        client.reply = Reply(1, Outcome.OK, JobState.COMPLETED.value)
        await gateway.query("j1", 3.0)
        client.reply = Reply(1, Outcome.OK, JobState.QUEUED.value)
        self.assertEqual((await gateway.query("j1", 3.0)).state, "completed")
        result, told_s = gateway.final_results["j1"]
        gateway.final_results["j1"] = (result, told_s - MAX_FINAL_AGE_S)
        self.assertEqual((await gateway.query("j1", 3.0)).state, "queued")


if __name__ == "__main__":
    unittest.main()
