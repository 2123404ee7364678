"""Tests of the callers' interface: real processes, real sockets."""

import asyncio
import signal
import unittest

import msgspec

from bench import cluster as cl
from bench.load import is_own_answer
from bulrushspur_kernel.http_client import fetch, open_call
from bulrushspur_kernel.work import Room

KINDS = [
    {"name": "place", "size": "small", "run_time_s": 0.005},
    {"name": "wall", "size": "heavy", "run_time_s": 1.0},
    {"name": "open-day", "size": "small", "run_time_s": 0.005, "open": True},
]
TEXT = {
    "cell": "hedgerow",
    "domains": [
        {"name": "north", "region": "midlands"},
        {"name": "south", "region": "midlands"},
    ],
    "teams": [
        {"name": "a", "share": 1, "limit_tasks": 50},
        {"name": "b", "share": 1, "limit_tasks": 50},
        {"name": "open", "share": 1, "limit_tasks": 50},
    ],
    "services": [{"name": "coursework", "team": "a", "kinds": KINDS}],
}
STREAMS = {"bodies_in": 0, "answers_in": 0, "bodies_out": 0, "answers_out": 0}


class Cell:
    """Two entry processes and a worker, started once for all tests of a class."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = cl.make_cluster()
        cls.addClassCleanup(cls.cluster.stop)
        asyncio.run(cls.start())

    @classmethod
    async def start(cls):
        await cl.start_platform(cls.cluster)
        room = Room(8, 16.0, 32_768, 0)
        await cl.start_worker(cls.cluster, "w1", "north", "r1", room)
        plan = cl.plan_entries(cls.cluster, {"n1": "north", "s1": "south"})
        for settings in plan.values():
            await cl.start_entry(cls.cluster, settings)
        await cl.publish(cls.cluster, TEXT, 0)
        cls.keys = {}
        for team in ("a", "b"):
            _, cls.keys[team] = await cl.give_key(cls.cluster, team)

    async def asyncSetUp(self):
        for entry in ("n1", "s1"):
            ready = await cl.wait_until(lambda entry=entry: self.works(entry))
            self.assertTrue(ready, entry)

    async def ask(self, entry, path, body=b"", team="a", method="POST", **headers):
        rows = [(name.replace("_", "-"), value) for name, value in headers.items()]
        if team:
            rows.append(("authorization", f"Bearer {self.keys[team]}"))
        address = self.cluster.entries[entry].address
        return await fetch(method, address, path, body, rows, 20.0)

    async def works(self, entry):
        status, _ = await self.ask(entry, "/v1/run/coursework/place")
        return status == 200

    async def run_one(self, entry, kind, body=b"", team="a", **headers):
        path = f"/v1/run/coursework/{kind}"
        status, answer = await self.ask(entry, path, body, team, **headers)
        return status, answer if status == 200 else msgspec.json.decode(answer)

    async def state(self, entry, request_id, team="a", part=""):
        path = f"/v1/requests/{request_id}{part}"
        status, answer = await self.ask(entry, path, team=team, method="GET")
        return status, msgspec.json.decode(answer)

    async def assert_nothing_left(self):
        async def left(entry):
            dump = await cl.get_status(self.cluster.entries[entry], "/dump")
            door = dump["state"]["Door"]
            maps = (door["open"], door["offers"], door["claims_left"])
            owner = dump["state"]["Owner"]["running"]
            return not any(maps) and not owner and dump["streams"] == STREAMS

        for entry in ("n1", "s1"):
            self.assertTrue(await cl.wait_until(lambda one=entry: left(one), 5.0))


class CallersTest(Cell, unittest.IsolatedAsyncioTestCase):
    async def test_answer_asked_for_later_through_any_door(self):
        for door, other in (("n1", "s1"), ("s1", "n1")):
            status, told = await self.run_one(
                door, "place", b"later", x_answer_later="yes"
            )
            self.assertEqual(status, 202, told)

            async def done(request_id=told["id"], other=other):
                return (await self.state(other, request_id))[1]["state"] == "done"

            self.assertTrue(await cl.wait_until(done, 5.0))
            for entry in (door, other):
                path = f"/v1/requests/{told['id']}/answer"
                status, answer = await self.ask(entry, path, method="GET")
                self.assertEqual(status, 200, answer)
                self.assertTrue(is_own_answer(b"later", answer))
                status, row = await self.state(entry, told["id"], "b", "/answer")
                self.assertEqual((status, row["kind"]), (403, "wrong_team"))
        await self.assert_nothing_left()

    async def test_cancel_through_any_door(self):
        _, told = await self.run_one("s1", "wall", x_answer_later="yes")
        path = f"/v1/requests/{told['id']}/cancel"
        status, _ = await self.ask("n1", path, team="b")
        self.assertEqual(status, 403)
        status, _ = await self.ask("n1", path)
        self.assertEqual(status, 200)

        async def ended():
            row = (await self.state("s1", told["id"]))[1]
            return row["state"] in ("lost", "not_run")

        self.assertTrue(await cl.wait_until(ended, 5.0))
        await self.assert_nothing_left()

    async def test_id_runs_at_most_once(self):
        _, answer = await self.ask("n1", "/v1/ids?count=2")
        first = msgspec.json.decode(answer)["ids"][0]
        given = {"x_request_id": first, "x_idempotent": "no"}
        status, _ = await self.run_one("n1", "place", b"once", **given)
        self.assertEqual(status, 200)
        status, row = await self.run_one("s1", "place", b"once", **given)
        self.assertEqual((status, row["kind"]), (409, "id_used"))
        self.assertNotEqual(row["ran"], "no")
        status, row = await self.run_one("n1", "place", x_idempotent="no")
        self.assertEqual(row["kind"], "id_needed")

    async def test_open_kind_needs_no_key(self):
        status, _ = await self.run_one("n1", "open-day", team="")
        self.assertEqual(status, 200)
        status, row = await self.run_one("n1", "place", team="")
        self.assertEqual((status, row["kind"]), (401, "unknown_key"))

    async def test_refusals_name_what_is_wrong(self):
        for path, kind in (
            ("/v1/run/nothing/place", "unknown_service"),
            ("/v1/run/coursework/nothing", "unknown_kind"),
            ("/v1/nothing", "unknown_path"),
            ("/v1/ids?count=none", "bad_request"),
            ("/v1/requests/none/cancel", "unknown_request"),
        ):
            _, answer = await self.ask("n1", path)
            self.assertEqual(msgspec.json.decode(answer)["kind"], kind)

    async def test_large_bodies_stream_and_leave_nothing(self):
        body = b"collection" * 300_000
        for entry in ("n1", "s1"):
            _, answer = await self.run_one(entry, "place", body)
            self.assertTrue(is_own_answer(body, answer), answer)
        await self.assert_nothing_left()

    async def test_caller_that_goes_away_is_withdrawn(self):
        for entry in ("n1", "s1"):
            call = await open_call(self.cluster.entries[entry].address, 2.0)
            rows = [
                ("host", "x"),
                ("authorization", f"Bearer {self.keys['a']}"),
                ("x-run-time-s", "30"),
            ]
            await call.send_whole("POST", "/v1/run/coursework/wall", rows, b"")
            await asyncio.sleep(0.2)
            call.abort()
        await self.assert_nothing_left()


class StopTest(Cell, unittest.IsolatedAsyncioTestCase):
    async def test_graceful_stop_cuts_no_answer(self):
        jobs = [
            asyncio.create_task(
                self.run_one(entry, "wall", b"kept", x_run_time_s="3.5")
            )
            for entry in ("n1", "s1", "s1")
        ]
        await asyncio.sleep(0.3)
        popen = self.cluster.entries["s1"].popen
        popen.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        status, row = await self.run_one("s1", "place")
        self.assertEqual((status, row["kind"], row["ran"]), (503, "stopping", "no"))
        for status, answer in await asyncio.gather(*jobs):
            self.assertEqual(status, 200, answer)
            self.assertTrue(is_own_answer(b"kept", answer))
        self.assertEqual(await asyncio.to_thread(popen.wait, 10), 0)
