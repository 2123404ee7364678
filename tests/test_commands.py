"""Tests of the operators' client against real processes."""

import asyncio
import json
import os
import sys
import unittest

from bench import cluster as cl
from bench.load import send_one
from bulrushspur_kernel.work import Room
from tests.test_whole_path import TEXT


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = cl.make_cluster()
        self.addCleanup(self.cluster.stop)
        await cl.start_platform(self.cluster)
        plan = cl.plan_entries(self.cluster, {"n1": "north", "n2": "north"})
        await asyncio.gather(*(cl.start_entry(self.cluster, x) for x in plan.values()))
        self.text = self.cluster.folder / "text.json"
        self.text.write_text(json.dumps(TEXT))

    async def run_client(self, *args):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "bulrushspur_client.main", *args),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "BULRUSHSPUR_PLATFORM": self.cluster.platform},
        )
        out, err = await process.communicate()
        return process.returncode, out.decode().strip(), err.decode().strip()

    async def faults(self, **faults):
        await cl.set_faults(self.cluster.platform, **faults)

    async def test_publish_and_race(self):
        code, out, err = await self.run_client("publish", str(self.text))
        self.assertEqual((code, err), (0, ""))
        self.assertIn("In force at 2 of 2 entry processes.", out)
        version = int(out.split("version ")[1].split(".")[0])
        code, out, err = await self.run_client("publish", str(self.text))
        self.assertEqual((code, out), (3, ""))
        self.assertIn(f"--from-version={version}", err)
        self.text.write_text(json.dumps({**TEXT, "cell": "other"}))
        args = ("publish", str(self.text), f"--from-version={version}", "--json")
        code, out, _ = await self.run_client(*args)
        self.assertEqual((code, json.loads(out)["late"]), (0, []))
        newer = str(json.loads(out)["version"])
        _, out, _ = await self.run_client("diff", str(version), newer)
        self.assertEqual(out, "$.cell: hedgerow -> other")
        _, out, _ = await self.run_client("show")
        self.assertRegex(out, rf"(?m)^n1\s+yes\s+{newer}$")

    async def test_one_of_two_racing_operators_is_told_that_it_lost(self):
        # Slow answers let both read version 0 before either appends.
        await self.faults(slow_s=0.5)
        racers = [self.run_client("publish", str(self.text)) for _ in range(2)]
        results = sorted(await asyncio.gather(*racers))
        self.assertEqual([code for code, _, _ in results], [0, 3])
        self.assertIn("Nothing was published", results[1][2])

    async def test_lost_answer_is_settled_by_the_log(self):
        await self.faults(lose_append_answers=True)
        code, out, _ = await self.run_client("publish", str(self.text))
        self.assertEqual(code, 0)
        self.assertIn("Accepted as version", out)

    async def test_nothing_is_claimed_while_the_platform_is_down(self):
        await self.faults(down=True)
        code, out, err = await self.run_client("publish", str(self.text))
        self.assertEqual((code, out), (4, ""))
        self.assertNotIn("Accepted", err)
        code, _, err = await self.run_client("keys", "--json")
        self.assertEqual(json.loads(err)["kind"], "platform_down")

    async def test_who_has_not_confirmed_is_named(self):
        self.cluster.entries["n2"].popen.kill()
        args = ("publish", str(self.text), "--wait-s=2")
        code, out, _ = await self.run_client(*args)
        self.assertEqual(code, 5)
        self.assertIn("In force at 1 of 2", out)
        self.assertIn("Not confirmed within 2 s: n2.", out)
        code, out, _ = await self.run_client("status")
        self.assertEqual(code, 5)
        self.assertRegex(out, r"n2\s+-\s+no answer, but listed")

    async def test_key_is_shown_once_and_withdrawn_everywhere(self):
        await self.run_client("publish", str(self.text))
        code, _, err = await self.run_client("give", "nobody")
        self.assertEqual(code, 2)
        self.assertIn("(a)", err)
        _, key, _ = await self.run_client("give", "a")
        _, key_id, secret = key.split("_")
        _, out, _ = await self.run_client("keys", "--json")
        self.assertEqual(json.loads(out), [{"key_id": key_id, "team": "a"}])
        _, dump, _ = await self.run_client("dump", "n1")
        self.assertIn(key_id, dump)
        for where in [dump, *(p.read_text() for p in self.cluster.folder.iterdir())]:
            self.assertNotIn(secret, where)
        log = json.loads(dump)["state"]["LogState"]
        self.assertEqual(log["cell"]["keys"][key_id]["key_hash"], "(hidden)")
        code, out, _ = await self.run_client("withdraw", key)
        self.assertEqual(code, 0)
        self.assertIn("In force at 2 of 2", out)
        for entry in self.cluster.entries.values():
            result = await send_one(entry.address, "coursework", "place", key, b"")
            self.assertEqual(result.refusal["kind"], "unknown_key")
        code, _, err = await self.run_client("withdraw", key_id)
        self.assertEqual(code, 2)

    async def test_explain_tells_what_is_lacking(self):
        text = json.loads(json.dumps(TEXT))
        kinds = text["services"][0]["kinds"]
        kinds.append({**kinds[0], "name": "assess", "run_time_s": 30.0})
        self.text.write_text(json.dumps(text))
        await cl.start_worker(self.cluster, "w1", "north", "r1", Room(1, 4.0, 9_000, 0))
        await self.run_client("publish", str(self.text))
        key = (await self.run_client("give", "a"))[1]
        address = self.cluster.entries["n1"].address

        async def send(kind, **headers):
            return await send_one(address, "coursework", kind, key, b"", headers)

        async def answered():
            return (await send("place")).whole

        self.assertTrue(await cl.wait_until(answered, 25.0))
        jobs = [
            asyncio.create_task(send("assess", **{"x-request-id": f"r{i}"}))
            for i in range(2)
        ]
        self.addCleanup(lambda: [job.cancel() for job in jobs])

        async def explained():
            outs = [(await self.run_client("explain", f"r{i}"))[1] for i in range(2)]
            out = "\n".join(outs)
            return "It runs on worker w1" in out and "slots 1 of 0 free" in out

        self.assertTrue(await cl.wait_until(explained, 25.0))
        _, out, _ = await self.run_client("explain", "coursework")
        self.assertIn("1 of its requests are queued", out)
        code, _, err = await self.run_client("explain", "r9")
        self.assertEqual(code, 2)
        self.assertIn("knows r9", err)
