"""Test what a gateway tells callers of the jobs that wait, across a change of leaders.

A leader that recovers has counted no jobs yet. Its count must not be passed on as zero,
and neither must that of a gateway that has heard of no leader.
"""

import unittest

from bulrushspur_daemon.gateway import MAX_COUNT_AGE_S, Gateway
from bulrushspur_daemon.leader_client import LeaderClient
from bulrushspur_kernel.messages import Heartbeat
from bulrushspur_kernel.metrics import Metrics
from tests.cell_fixtures import QUEUES
from tests.test_config_watch import NullEventLog


def make_heartbeat(term, serving, waiting=(), loaded_bytes=0):
    return Heartbeat(term, "n1", serving, 1, 0, dict(waiting), loaded_bytes)


class WaitingCountTest(unittest.TestCase):
    def setUp(self):
        self.client = LeaderClient(lambda identity, message: True)
        self.gateway = Gateway(None, self.client, NullEventLog(), Metrics())
        self.queue = QUEUES[0]

    def test_gateway_that_heard_of_no_leader_knows_no_count(self):
        self.assertIsNone(self.gateway.count_waiting(self.queue))
        self.client.handle_heartbeat(make_heartbeat(1, False), b"")
        self.assertIsNone(self.gateway.count_waiting(self.queue))

    def test_count_of_the_last_leader_holds_while_the_next_recovers(self):
        self.client.handle_heartbeat(make_heartbeat(1, True, {"small": 7}), b"")
        self.client.handle_heartbeat(make_heartbeat(2, False), b"")
        self.assertEqual(self.gateway.count_waiting(self.queue), 7)
        self.client.waiting_jobs_s -= MAX_COUNT_AGE_S
        self.assertIsNone(self.gateway.count_waiting(self.queue))
        self.client.handle_heartbeat(make_heartbeat(2, True), b"")
        self.assertEqual(self.gateway.count_waiting(self.queue), 0)


class RecoveryProgressTest(unittest.TestCase):
    def test_recovery_counts_as_stalled_from_its_last_advance(self):
        client = LeaderClient(lambda identity, message: True)
        client.handle_heartbeat(make_heartbeat(2, False, loaded_bytes=100), b"")
        client.recovery_advanced_s -= 5.0
        client.handle_heartbeat(make_heartbeat(2, False, loaded_bytes=100), b"")
        self.assertGreater(client.recovery_stalled_s(), 4.0)
        client.handle_heartbeat(make_heartbeat(2, False, loaded_bytes=200), b"")
        self.assertLess(client.recovery_stalled_s(), 1.0)


if __name__ == "__main__":
    unittest.main()
