"""Tests of configuration and keys on real processes, with outages and races."""

import asyncio
import copy
import time
import unittest

from bench import cluster as cl
from bench.load import send_one
from bulrushspur_kernel.work import Room
from tests.test_whole_path import TEXT

# The stated bounds.
IN_FORCE_S = 14.0
WITHDRAWN_S = 5.0
ENTRIES = {"n1": "north", "n2": "north", "s1": "south"}


class ConfigProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = cl.make_cluster()
        self.addCleanup(self.cluster.stop)
        await cl.start_platform(self.cluster)
        await cl.start_worker(self.cluster, "w1", "north", "r1", Room(8, 16.0, 32_768))
        self.plan = cl.plan_entries(self.cluster, ENTRIES)
        for name in ("n1", "s1"):
            await cl.start_entry(self.cluster, self.plan[name])
        self.version = await cl.publish(self.cluster, TEXT, 0)
        self.key_id, self.key = await cl.give_key(self.cluster, "a")
        self.assertTrue(await cl.wait_until(self.all_answer, IN_FORCE_S))

    async def ask(self, entry):
        address = self.cluster.entries[entry].address
        return await send_one(address, "coursework", "place", self.key, b"x")

    async def all_answer(self):
        return all([(await self.ask(one)).whole for one in self.cluster.entries])

    async def versions(self):
        rows = [await cl.get_status(one) for one in self.cluster.entries.values()]
        return {row["version"] for row in rows}

    async def refused_by_all(self):
        rows = [await self.ask(one) for one in self.cluster.entries]
        return all(
            one.refusal is not None and one.refusal["kind"] == "unknown_key"
            for one in rows
        )

    async def test_text_is_in_force_in_time_and_the_first_of_two_wins(self):
        texts = [copy.deepcopy(TEXT), copy.deepcopy(TEXT)]
        texts[0]["teams"][0]["limit_tasks"] = 40
        texts[1]["teams"][0]["limit_tasks"] = 30
        offsets = await asyncio.gather(
            *(cl.publish(self.cluster, text, self.version) for text in texts)
        )
        first = min(offsets)

        async def in_force():
            return await self.versions() == {first}

        self.assertTrue(await cl.wait_until(in_force, IN_FORCE_S))
        await asyncio.sleep(1.0)
        self.assertEqual(await self.versions(), {first})

    async def test_withdrawn_key_is_refused_everywhere_in_time(self):
        await cl.withdraw_key(self.cluster, self.key_id)
        self.assertTrue(await cl.wait_until(self.refused_by_all, WITHDRAWN_S))

    async def test_process_started_in_an_outage_serves_what_peers_teach(self):
        await cl.set_faults(self.cluster.platform, down=True)
        # Its VM is listed already: only the log is out of reach.
        started_s = time.monotonic()
        entry = await self.start_unlisted("n2")

        async def serves():
            return (await self.ask("n2")).whole

        self.assertTrue(await cl.wait_until(serves, IN_FORCE_S))
        status = await cl.get_status(entry)
        self.assertEqual(status["version"], self.version)
        self.assertGreaterEqual(
            status["fresh_age_s"] + 1.0, time.monotonic() - started_s
        )
        await cl.set_faults(self.cluster.platform)
        await cl.withdraw_key(self.cluster, self.key_id)
        self.assertTrue(await cl.wait_until(self.refused_by_all, WITHDRAWN_S + 1.0))

    async def start_unlisted(self, name):
        listed, cl.list_vm = cl.list_vm, _list_nothing
        try:
            return await cl.start_entry(self.cluster, self.plan[name])
        finally:
            cl.list_vm = listed

    async def test_newcomer_after_retention_starts_from_a_snapshot(self):
        cluster = cl.make_cluster()
        self.addCleanup(cluster.stop)
        await cl.start_platform(cluster, "--retention_s=6")
        plan = cl.plan_entries(cluster, {"n1": "north", "n2": "north"})
        # They know of no peers, so only the log can tell the second.
        for row in plan.values():
            row["peers"] = []
        await cl.start_entry(cluster, plan["n1"])
        text = copy.deepcopy(TEXT)
        text["policy"] = {"log_kept_s": 6.0}
        version = await cl.publish(cluster, text, 0)
        await asyncio.sleep(9.0)
        entry = await cl.start_entry(cluster, plan["n2"])

        async def knows():
            return (await cl.get_status(entry))["version"] == version

        self.assertTrue(await cl.wait_until(knows, IN_FORCE_S))


async def _list_nothing(cluster, vm):
    """Stand in for the list of a platform that does not answer."""
