"""Test that a process that stops answers each request that it has read.

The tests guard against callers that get nothing for a request sent after SIGTERM.
"""

import asyncio
import time
import unittest

import msgspec

from bulrushspur_daemon.clock import boottime_s
from bulrushspur_daemon.lifecycle import shut_down
from oracle.clients import observe_request
from tests.cluster import API_KEY, HOST, InProcessCluster, job_id, make_job_body
from tests.kept_connections import open_kept_connection
from tests.test_http_close import HALF_BODY

# A connection may end so soon after a request was sent without an answer to it.
SLACK_S = 0.2
# Before this much of the grace period is over, all that was read is answered.
MAX_STOP_S = 5.0
CLIENT_COUNT = 12
HEADERS = [
    ("host", HOST),
    ("bulrushspur-credential", API_KEY),
    ("bulrushspur-deadline-ms", "3000"),
]
# Longer than a process listens in any case.
HANDOVER_S = 2.2
SHORT_GRACE_S = 0.5
# The balancer's readiness check.
CHECK_INTERVAL_S = 1.0


class SlowTerm:
    """A term whose handover takes a while."""

    def __init__(self, handover_s):
        self.handover_s = handover_s
        self.handed_over_count = 0

    async def hand_over(self, timeout_s):
        self.handed_over_count += 1
        await asyncio.sleep(min(self.handover_s, timeout_s))


class FaultyTerm:
    """A term whose handover fails."""

    async def hand_over(self, timeout_s):
        raise RuntimeError("expected")


class StoppingProcess:
    """A process with another term; all else is that of the process itself."""

    def __init__(self, process, term):
        self.process = process
        self.term = term

    def __getattr__(self, name):
        return getattr(self.process, name)


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=3, workers=4)
        self.submitted = 0
        self.stopping = None
        self.report = None

    async def submit_until_closed(self, node):
        """Submit jobs on one connection after the other until none can be opened."""
        attempts = []
        while self.stopping is None or not self.stopping.done():
            try:
                connection = await open_kept_connection(node.address)
            except (OSError, TimeoutError):
                break
            while connection.is_open:
                attempts.append(await self.submit(connection))
            await connection.close()
        return attempts

    async def submit(self, connection):
        self.submitted += 1
        target = f"/assess/{job_id(self.submitted)}"
        body = make_job_body(count=1)
        data = msgspec.json.encode(body)
        attempts = []

        async def send():
            attempts.append(await connection.send("POST", target, HEADERS, data))
            return attempts[0] if attempts[0].status else None

        observations = self.cluster.observations
        await observe_request(observations, "POST", target, body, API_KEY, send)
        return attempts[0]

    async def stop_beside_clients(self, node, append_delay_s, late_s):
        """Stop an entry process as SIGTERM does; return the attempts, and the time.

        The signal is handled ``late_s`` seconds late.
        """
        self.cluster.store.append_delay_s = append_delay_s
        clients = [
            asyncio.create_task(self.submit_until_closed(node))
            for _ in range(CLIENT_COUNT)
        ]
        await asyncio.sleep(2.0)
        began_s = self.began_s = time.monotonic()
        requested_s = boottime_s() - late_s
        self.stopping = asyncio.create_task(shut_down(node.process, requested_s))
        self.report = await self.stopping
        took_s = time.monotonic() - began_s + late_s
        del self.cluster.nodes[node.process.settings.name]
        await node.kill()
        self.cluster.store.append_delay_s = 0.0
        attempts = [a for client in await asyncio.gather(*clients) for a in client]
        return [a for a in attempts if a.ended_s > began_s], took_s

    async def check_stop(self, node, append_delay_s, late_s=0.0, min_served_count=0):
        """Check a stop; submissions sent after it began count as served."""
        attempts, took_s = await self.stop_beside_clients(node, append_delay_s, late_s)
        served = [a for a in attempts if a.status == 200 and a.sent_s > self.began_s]
        self.assertGreaterEqual(len(served), min_served_count)
        self.assertEqual([a for a in attempts if a.is_given_up(SLACK_S)], [])
        self.assertLess(took_s, MAX_STOP_S)
        self.assertEqual(node.events("unanswered"), [])

    def find_follower(self):
        leader = self.cluster.find_leader()
        return next(n for n in self.cluster.nodes.values() if n is not leader)

    async def test_follower_gives_up_no_request_beside_a_slow_store(self):
        node = self.find_follower()
        await self.check_stop(node, 1.0, min_served_count=CLIENT_COUNT)

    async def test_leader_gives_up_no_request_beside_a_slow_store(self):
        await self.check_stop(self.cluster.find_leader(), 1.0)

    async def test_leader_gives_up_no_request_beside_a_very_slow_store(self):
        await self.check_stop(self.cluster.find_leader(), 2.5)

    async def test_follower_gives_up_no_request_if_the_signal_is_handled_late(self):
        node = self.find_follower()
        served_count = CLIENT_COUNT // 2
        await self.check_stop(node, 0.7, late_s=2.0, min_served_count=served_count)

    # Guards against: a leader that refuses all from the start of its stop on.
    async def test_leader_serves_submissions_while_it_stops(self):
        await self.check_stop(self.cluster.find_leader(), 0.02, min_served_count=100)

    # Guards against: connections that are reset as the process stops listening.
    async def test_follower_gives_up_no_request_until_it_is_gone(self):
        node = self.find_follower()
        await self.check_stop(node, 0.02, min_served_count=100)
        self.report.log_end()
        (row,) = node.events("stop")
        self.assertGreater(row["answered"], 100)
        self.assertGreater(row["refused"], 0)
        self.assertEqual(row["unanswered"], 0)

    # Guards against: the process is gone while callers still come.
    async def test_caller_that_comes_back_is_not_refused_a_connection(self):
        node = self.find_follower()
        self.stopping = asyncio.create_task(shut_down(node.process))
        began_s = time.monotonic()
        while time.monotonic() - began_s < 2.0:
            connection = await open_kept_connection(node.address)
            attempt = await self.submit(connection)
            self.assertEqual(attempt.status, 200)
            await connection.close()
            await asyncio.sleep(0.2)
        await self.stopping
        self.assertLess(time.monotonic() - began_s, 3.0)

    # Guards against: callers that come during a handover count for nothing after it.
    async def test_caller_during_a_slow_handover_is_not_refused_a_connection(self):
        node = self.find_follower()
        term = SlowTerm(HANDOVER_S)
        process = StoppingProcess(node.process, term)
        self.stopping = asyncio.create_task(shut_down(process))
        began_s = time.monotonic()
        while time.monotonic() - began_s < 3.0:
            connection = await open_kept_connection(node.address)
            attempt = await self.submit(connection)
            self.assertEqual(attempt.status, 200)
            await connection.close()
            await asyncio.sleep(0.4)
        await self.stopping
        self.assertEqual(term.handed_over_count, 2)

    # Guards against: a process is gone while the balancer still sends to it.
    async def test_process_listens_until_the_balancer_has_missed_two_checks(self):
        node = self.find_follower()
        self.stopping = asyncio.create_task(shut_down(node.process))
        began_s = time.monotonic()
        await asyncio.sleep(2 * CHECK_INTERVAL_S - 0.1)
        connection = await open_kept_connection(node.address)
        attempt = await self.submit(connection)
        self.assertEqual(attempt.status, 200)
        await connection.close()
        await self.stopping
        self.assertLess(time.monotonic() - began_s, 3.5)

    async def check_stop_with_error(self, process, node):
        """Check that an incomplete request is answered, and the error is raised."""
        host, _, port = node.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(HALF_BODY)
        with self.assertRaisesRegex(RuntimeError, "^expected$"):
            await shut_down(process)
        async with asyncio.timeout(SLACK_S):
            answer = await reader.read(-1)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        reasons = [row["reason"] for row in node.events("fault")]
        self.assertEqual(reasons, ["RuntimeError('expected')"])
        for server in node.process.servers:
            self.assertFalse(server.server.is_serving())

    # Guards against: an error in the handover cuts the requests of all callers.
    async def test_error_in_the_handover_cuts_no_request(self):
        node = self.find_follower()
        process = StoppingProcess(node.process, FaultyTerm())
        await self.check_stop_with_error(process, node)

    # Guards against: an error while one server closes cuts the requests of another.
    async def test_error_of_the_balancers_server_cuts_no_request(self):
        node = self.find_follower()
        server = node.process.servers[1]

        async def close_with_error(*args):
            server.stop_listening()
            raise RuntimeError("expected")

        server.close = close_with_error
        await self.check_stop_with_error(node.process, node)

    # Guards against: a short grace period that ends before the connections have.
    async def test_process_ends_within_a_short_grace_period(self):
        node = self.find_follower()
        process = StoppingProcess(node.process, None)
        settings = node.process.settings
        site = msgspec.structs.replace(settings.site, grace_s=SHORT_GRACE_S)
        process.settings = msgspec.structs.replace(settings, site=site)
        host, _, port = node.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(HALF_BODY)
        idle = await open_kept_connection(node.address)
        await asyncio.sleep(0.05)
        began_s = time.monotonic()
        await shut_down(process)
        self.assertLess(time.monotonic() - began_s, SHORT_GRACE_S)
        self.assertTrue((await reader.read(-1)).startswith(b"HTTP/1.1 503"))
        await idle.close()


if __name__ == "__main__":
    unittest.main()
