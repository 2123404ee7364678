"""Tests of the whole path: real processes, real sockets."""

import asyncio
import unittest

from bench import cluster as cl
from bench.load import send_one
from bulrushspur_kernel.work import Room

TEXT = {
    "cell": "hedgerow",
    "domains": [
        {"name": "north", "region": "midlands"},
        {"name": "south", "region": "midlands"},
    ],
    "teams": [{"name": "a", "share": 1, "limit_tasks": 50}],
    "services": [
        {
            "name": "coursework",
            "team": "a",
            "kinds": [{"name": "place", "size": "small", "run_time_s": 0.005}],
        }
    ],
}


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = cl.make_cluster()
        self.addCleanup(self.cluster.stop)
        await cl.start_platform(self.cluster)
        await cl.start_worker(
            self.cluster, "w1", "north", "r1", Room(8, 16.0, 32_768, 0)
        )
        plan = cl.plan_entries(self.cluster, {"n1": "north", "s1": "south"})
        for settings in plan.values():
            await cl.start_entry(self.cluster, settings)
        await cl.publish(self.cluster, TEXT, 0)
        _, self.key = await cl.give_key(self.cluster, "a")

    async def send(self, entry, body, key=None):
        address = self.cluster.entries[entry].address
        return await send_one(address, "coursework", "place", key or self.key, body)

    async def answered(self, entry):
        return (await self.send(entry, b"probe")).whole

    async def test_own_door_and_other_door_give_the_whole_answer(self):
        for entry in ("n1", "s1"):
            ready = await cl.wait_until(lambda entry=entry: self.answered(entry))
            self.assertTrue(ready, entry)
        bodies = [b"x" * size for size in (0, 10, 70_000, 700_000)]
        for entry in ("n1", "s1"):
            results = await asyncio.gather(*(self.send(entry, one) for one in bodies))
            self.assertTrue(all(one.whole for one in results), results)

    async def test_unknown_key_is_refused(self):
        await cl.wait_until(lambda: self.answered("n1"))
        result = await self.send("n1", b"", "bsp_00_00")
        self.assertEqual(result.refusal["kind"], "unknown_key")
        self.assertEqual(result.refusal["ran"], "no")
