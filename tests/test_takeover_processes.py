"""Test takeovers and store outages with several entry processes in one event loop.

The tests guard against accepted jobs that are lost or run twice when the leader, all
processes or the store fail.
"""

import asyncio
import time
import unittest

from bulrushspur_daemon.config_watch import LONG_POLL_TIMEOUT_S
from bulrushspur_kernel.store import StoreUnavailableError
from bulrushspur_scheduler.worker_list_records import decode_workers
from tests.cluster import CONFIG, InProcessCluster, job_id


def cut_off(node):
    """Cut a leader off from the store, the workers and all other processes."""
    process = node.process
    for pool in (process.store.request_pool, process.store.poll_pool):
        pool.address = "127.0.0.1:9"
        pool.close_idle()
    # The read that waits for a claim was sent before the cut.
    process.claim_log.on_new_term = lambda: None
    process.peer_server.on_message = lambda identity, message: None
    for client in process.term.peers.clients.values():
        client.on_message = lambda client, message: None
        client.send_encoded = lambda data: False
    process.term.worker_connections.close_all()


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=3, workers=3)

    async def asyncTearDown(self):
        self.assertEqual(self.cluster.find_violations(), [])

    async def test_accepted_jobs_survive_a_killed_leader(self):
        cluster = self.cluster
        for number in range(12):
            answer = await cluster.submit(job_id(number), run_time_ms=800)
            self.assertEqual(answer.status, 200)
        began_s = time.monotonic()
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        self.assertLess(time.monotonic() - began_s, 1.5)
        for number in range(12):
            await cluster.wait_job_state(job_id(number), "completed")
        self.assertEqual(len(cluster.oracle.starts), 24)

    async def test_job_of_a_removed_queue_survives_failed_runs_and_a_kill(self):
        cluster = self.cluster
        fails = {"run_time_ms": 300, "outcome": "failed", "count": 1}
        answer = await cluster.submit(job_id(1), **fails)
        self.assertEqual(answer.status, 200)
        # The routes are gone; the job has had no failed run yet, or one.
        cluster.publish_config({**CONFIG, "version": 4, "routes": []})
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        await cluster.wait_for(
            lambda: all(
                node.process.config_watch.current.version == 4
                for node in cluster.nodes.values()
            )
        )
        await cluster.wait_for(lambda: len(cluster.find_finishes(job_id(1))) == 1, 15.0)
        (finish,) = cluster.find_finishes(job_id(1))
        self.assertEqual(finish["state"], "failed")
        self.assertEqual(len(cluster.oracle.starts), 3)

    async def test_request_under_way_is_answered_by_the_next_leader(self):
        cluster = self.cluster
        leader = cluster.find_leader()
        other = next(node for node in cluster.nodes.values() if node is not leader)
        await cluster.kill(leader)
        answer = await cluster.submit(job_id(1), node=other)
        self.assertEqual(answer.status, 200)
        await cluster.wait_job_state(job_id(1), "completed", node=other)

    async def test_leader_that_alone_lost_the_store_is_replaced(self):
        cluster = self.cluster
        leader = cluster.find_leader()
        store = leader.process.store
        store.request_pool.address = store.poll_pool.address = "127.0.0.1:9"
        store.request_pool.close_idle()
        store.poll_pool.close_idle()
        await cluster.wait_for(lambda: cluster.find_leader() not in (None, leader), 5.0)
        other = next(node for node in cluster.nodes.values() if node is not leader)
        await cluster.wait_for(other.process.leader_client.is_available)
        answer = await cluster.submit(job_id(1), node=other)
        self.assertEqual(answer.status, 200)
        # The former leader is a gateway of the next one.
        await cluster.wait_job_state(job_id(1), "completed", node=leader)

    async def test_isolated_leader_takes_no_callers(self):
        cluster = self.cluster
        leader = cluster.find_leader()
        self.assertTrue(leader.process.is_ready())
        cut_off(leader)
        await cluster.wait_for(lambda: not leader.process.is_ready(), 1.5)
        self.assertIsNotNone(leader.process.term)
        others = [node for node in cluster.nodes.values() if node is not leader]
        await cluster.wait_for(
            lambda: all(
                node.process.leader_client.term > leader.process.term.number
                and node.process.is_ready()
                for node in others
            ),
            5.0,
        )

    async def test_all_killed_at_once_lose_no_accepted_job(self):
        cluster = self.cluster
        for number in range(6):
            await cluster.submit(job_id(number), run_time_ms=1500)
        for node in list(cluster.nodes.values()):
            await cluster.kill(node)
        for name in ("m0", "m1"):
            await cluster.add_node(name)
        await cluster.wait_leader()
        for number in range(6):
            await cluster.wait_job_state(job_id(number), "completed")
        self.assertEqual(len(cluster.oracle.starts), 12)


class StoreUnavailableTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=2, workers=2)

    async def test_accepted_jobs_continue_and_new_jobs_are_rejected_at_once(self):
        cluster = self.cluster
        await cluster.submit(job_id(1), run_time_ms=1200)
        cluster.store.faults.forced_status = 503
        await cluster.submit(job_id(2), wait_s=1.0)
        began_s = time.monotonic()
        answer = await cluster.submit(job_id(3))
        self.assertEqual(answer.status, 503)
        self.assertLess(time.monotonic() - began_s, 0.5)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(await cluster.fetch_job_state(job_id(1)), "running")
        await cluster.wait_for(lambda: not cluster.oracle.running_on)
        self.assertEqual(await cluster.fetch_job_state(job_id(1)), "running")
        # No other process could accept jobs, so the balancer keeps these two.
        for node in cluster.nodes.values():
            self.assertTrue(node.process.is_ready())
        cluster.store.faults.forced_status = 0
        await cluster.wait_job_state(job_id(1), "completed")
        self.assertEqual(await cluster.fetch_job_state(job_id(3)), 410)
        self.assertEqual(cluster.find_violations(), [])

    async def test_slow_store_delays_jobs_and_rejects_none(self):
        cluster = self.cluster
        cluster.store.faults.delay_s = cluster.store.append_delay_s = 0.36
        answers = []

        async def submit(number):
            await asyncio.sleep(number * 0.1)
            answers.append(await cluster.submit(job_id(number), run_time_ms=100))

        await asyncio.gather(*(submit(number) for number in range(30)))
        self.assertEqual({answer.status for answer in answers}, {200})
        cluster.store.faults.delay_s = cluster.store.append_delay_s = 0.0
        for number in range(30):
            await cluster.wait_job_state(job_id(number), "completed")
        self.assertEqual(cluster.find_violations(), [])

    async def test_leases_are_extended_while_run_ends_wait_for_the_store(self):
        cluster = self.cluster
        for number in (1, 2):
            await cluster.submit(job_id(number), count=1, run_time_ms=9000)
        await cluster.submit(job_id(3), count=8, run_time_ms=800)
        await cluster.wait_for(lambda: len(cluster.oracle.running_on) == 10)
        cluster.store.faults.forced_status = 503
        # Longer than a lease (6.5 s), shorter than the term's authority (10 s).
        await asyncio.sleep(8.5)
        cluster.store.faults.forced_status = 0
        for number in (1, 2, 3):
            await cluster.wait_job_state(job_id(number), "completed")
        self.assertEqual(len(cluster.oracle.starts), 10)
        self.assertEqual(cluster.find_violations(), [])

    async def test_lost_answers_of_the_store_neither_lose_nor_repeat_runs(self):
        cluster = self.cluster
        cluster.store.faults.lost_answer_share = 0.4
        for number in range(8):
            await self.submit_until_accepted(job_id(number))
        for number in range(8):
            await cluster.wait_job_state(job_id(number), "completed")
        self.assertEqual(len(cluster.oracle.starts), 16)
        self.assertEqual(cluster.find_violations(), [])

    async def submit_until_accepted(self, job):
        """Submit a job again while it is rejected or in doubt."""
        for _ in range(20):
            answer = await self.cluster.submit(job, run_time_ms=200)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.1)
        self.fail(f"job {job} was never accepted")


class WorkerRecordTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=2, workers=2)

    def stored_worker_ids(self):
        record = self.cluster.store.partition("keyed.jobs").latest_by_key["workers"]
        return {worker.id for worker in decode_workers(record.value)}

    async def test_worker_whose_entry_expired_stays_recorded_after_a_takeover(self):
        cluster = self.cluster
        await cluster.submit(job_id(1), count=4, run_time_ms=60_000, anti_affinity=2)
        await cluster.wait_for(
            lambda: len(set(cluster.oracle.running_on.values())) == 2
        )
        expired = cluster.workers[0]
        cluster.store.put("keyed.servers", expired.id, b"")
        expired.faults.unresponsive = True
        await cluster.kill(cluster.find_leader())
        await cluster.wait_leader()
        term = cluster.find_leader().process.term
        await cluster.wait_for(
            lambda: not term.writer.pending_records and not term.writer.in_flight_batch
        )
        self.assertEqual(self.stored_worker_ids(), {"w0", "w1"})
        self.assertIn(expired.id, term.cell.unobserved_workers)


class UnavailableStore:
    """A store that never answers."""

    last_bulk_s = -1e9

    async def read_newest(self, topic, timeout_s=2.0):
        raise StoreUnavailableError("the store is unavailable")

    async def read(self, topic, start, wait_s=0.0, timeout_s=1.0):
        raise StoreUnavailableError("the store is unavailable")


class ConfigRelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_process_without_the_store_gets_withdrawn_keys_from_the_leader(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=2, workers=1)
        leader = cluster.find_leader()
        other = next(node for node in cluster.nodes.values() if node is not leader)
        other.process.config_watch.store = UnavailableStore()
        # Wait until the long poll of the real store has returned.
        await asyncio.sleep(LONG_POLL_TIMEOUT_S + 0.3)
        tenants = [{**CONFIG["tenants"][0], "api_keys": ["another"]}]
        cluster.publish_config({**CONFIG, "version": 9, "tenants": tenants})
        watch = other.process.config_watch
        await cluster.wait_for(lambda: watch.current.version == 9, 2.0)
        answer = await cluster.submit(job_id(1), node=other)
        self.assertEqual(answer.status, 401)
