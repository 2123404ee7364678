"""Test that a job can be cancelled after its queue was removed.

A caller that was answered 404 has no acknowledgement, and repeats its cancel in vain.
The tests guard against jobs that work on for as long as they like.
"""

import asyncio
import types
import unittest

import msgspec

from bulrushspur_daemon.gateway import Result
from bulrushspur_daemon.native_interface import handle_native_request
from bulrushspur_kernel.api_keys import hash_api_key
from tests.cluster import API_KEY, CONFIG, InProcessCluster, job_id

OTHER_KEY = "key-of-others"
# The queue "assess" is missing.
LATER_CONFIG = {
    **CONFIG,
    "version": 4,
    "routes": CONFIG["routes"][1:],
    "tenants": [
        *CONFIG["tenants"],
        {**CONFIG["tenants"][0], "name": "others", "api_keys": [OTHER_KEY]},
    ],
}


class RemovedQueueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=2, workers=2)
        self.running = self.cluster.oracle.running_on
        await self.cluster.submit(job_id(1), count=6, run_time_ms=30_000)
        await self.cluster.wait_for(lambda: len(self.running) == 6)
        self.cluster.publish_config(LATER_CONFIG)
        await self.cluster.wait_for(self.is_removed_everywhere)

    def is_removed_everywhere(self):
        return all(
            node.process.config_watch.current.version == LATER_CONFIG["version"]
            for node in self.cluster.nodes.values()
        )

    async def delete(self, job="", node=None, **fields):
        path = f"/assess/{job or job_id(1)}"
        answer = await self.cluster.call("DELETE", path, node=node, **fields)
        return answer.status

    async def test_cancel_is_acknowledged_by_each_process_and_the_runs_stop(self):
        statuses = [await self.delete(node=n) for n in self.cluster.nodes.values()]
        self.assertEqual(statuses, [410, 410])
        await self.cluster.wait_for(lambda: not self.running, 1.0)

    async def test_cancel_outlasts_the_leader(self):
        self.assertEqual(await self.delete(), 410)
        await self.cluster.kill(self.cluster.find_leader())
        await self.cluster.wait_leader()
        await asyncio.sleep(0.5)
        self.assertEqual(await self.delete(), 410)
        self.assertEqual((self.running, len(self.cluster.oracle.starts)), ({}, 6))

    async def test_other_accounts_and_unknown_keys_cancel_nothing(self):
        for key in (OTHER_KEY, "no-key"):
            self.assertEqual(await self.delete(key=key), 404)
        self.assertEqual(len(self.running), 6)

    async def test_nothing_else_of_the_queue_is_served(self):
        self.assertEqual(await self.delete(job_id(2)), 404)
        self.assertEqual(await self.cluster.fetch_job_state(job_id(1)), 404)
        self.assertEqual((await self.cluster.submit(job_id(2))).status, 404)


class FakeGateway:
    """A gateway without queues; it knows one job of the account of one key."""

    max_body_bytes = 1000
    has_config = True

    async def catch_up(self):
        pass

    def find_queue(self, host, path):
        return None

    async def cancel_without_queue(self, key, job_id, deadline_s):
        if (key, job_id) == (hash_api_key(API_KEY), "job17"):
            return Result("ok", "cancelled")
        return Result("unknown_job")


class FakeExchange:
    """An exchange that keeps the answer."""

    async def send_json(self, status, data, headers=()):
        self.answer = (status, msgspec.json.decode(data))


class NativeInterfaceTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, method, job, key=API_KEY):
        async def read_full_body(limit):
            return b""

        request = types.SimpleNamespace(
            method=method,
            path=f"/v1/jobs/coursework/handbook/{job}",
            headers={"authorization": f"Bearer {key}"},
            read_full_body=read_full_body,
        )
        exchange = FakeExchange()
        await handle_native_request(FakeGateway(), request, exchange)
        return exchange.answer

    async def test_known_job_of_the_key_is_cancelled(self):
        answer = (200, {"id": "job17", "state": "cancelled"})
        self.assertEqual(await self.call("DELETE", "job17"), answer)

    async def test_all_else_is_refused(self):
        calls = (("DELETE", "job18"), ("GET", "job17"), ("POST", "job17"))
        statuses = [(await self.call(*call))[0] for call in calls]
        statuses.append((await self.call("DELETE", "job17", "another key"))[0])
        self.assertEqual(statuses, [404] * 4)


if __name__ == "__main__":
    unittest.main()
