"""Test what a gateway tells callers across changes of leaders and its own restarts.

A leader that recovers has counted no jobs yet. Its count must not be passed on as zero,
and neither must that of a gateway that has heard of no leader. A leader's connection to
the address of a gateway outlives the gateway's process, so late replies reach the next.
"""

import asyncio
import unittest
from unittest import mock

from bulrushspur_daemon.gateway import MAX_COUNT_AGE_S, Gateway
from bulrushspur_daemon.leader_client import LeaderClient
from bulrushspur_kernel.messages import Heartbeat
from bulrushspur_kernel.metrics import Metrics
from tests.cell_fixtures import QUEUES
from tests.cluster import InProcessCluster, job_id
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


class RestartedGatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=2, workers=2)

    def find_gateway(self):
        leader = self.cluster.find_leader()
        (node,) = (node for node in self.cluster.nodes.values() if node is not leader)
        return node

    async def restart(self, node):
        """Start a process anew at the same addresses."""
        settings = node.process.settings
        await self.cluster.kill(node)
        ports = [
            int(address.rsplit(":", 1)[1])
            for address in (
                settings.callers_address,
                settings.ready_address,
                settings.peers_address,
                settings.operators_address,
            )
        ]
        with mock.patch("tests.cluster.find_free_port", side_effect=ports):
            return await self.cluster.add_node(settings.name)

    async def test_reply_to_the_last_incarnation_answers_no_other_request(self):
        cluster = self.cluster
        gateway = self.find_gateway()
        cluster.store.append_delay_s = 0.6
        pending = asyncio.create_task(cluster.submit(job_id(1), node=gateway))
        await asyncio.sleep(0.1)
        node = await self.restart(gateway)
        await cluster.wait_for(
            lambda: (
                node.process.leader_client.is_available()
                and node.process.gateway.has_config
            ),
            2.0,
        )
        submission = asyncio.create_task(
            cluster.submit(job_id(2), node=node, wait_s=2.0)
        )
        jobs = cluster.find_leader().process.term.cell.jobs
        answer = await submission
        is_stored = job_id(2) in jobs
        await pending
        self.assertIsNotNone(answer)
        self.assertEqual(answer.status == 200, is_stored)


if __name__ == "__main__":
    unittest.main()
