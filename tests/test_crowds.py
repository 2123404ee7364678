"""Test that clients which do not end their requests cannot end an entry process.

A real process meets a small crowd, whose bodies are of legal size. Its memory and its
open descriptors stay under a bound, and one ordinary request is answered afterwards.
"""

import pathlib
import unittest

from bench.processes import ProcessCluster
from tests.cluster import API_KEY, CONFIG, HOST, job_id
from tests.crowds import (
    Crowd,
    list_chunked_parts,
    list_piece_parts,
    list_whole_parts,
    make_head,
)

CLIENT_COUNT = 300
BODY_BYTES = 262_144
# Beyond what the idle process has.
MAX_GROWTH_KB = 40 * 1024
MAX_OTHER_DESCRIPTORS = 32
# More than there may be connections.
TOO_MANY_CLIENTS = 500
# Clients that stop stay open for the whole test.
BOUNDS = {"connections": 400, "body_wait_s": 120.0, "head_wait_s": 120.0}
# Whoever has no answer by then gets none.
ANSWER_TIMEOUT_S = 120.0


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = ProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(0, 1, "platform", CONFIG)
        self.entry = self.cluster.make_entry("n0", "platform")
        self.entry.settings["bounds"] = BOUNDS
        self.cluster.entries.append(self.entry)
        await self.entry.start()
        await self.cluster.wait_ready()
        await self.submit(1)
        self.folder = pathlib.Path("/proc") / str(self.entry.process.pid)
        self.idle_kb = self.read_memory_kb("VmRSS")
        self.idle_descriptors = self.count_descriptors()
        self.crowd = Crowd(self.entry.address)
        self.addAsyncCleanup(self.crowd.close)

    def read_memory_kb(self, name):
        (line,) = [
            line
            for line in (self.folder / "status").read_text().splitlines()
            if line.startswith(name)
        ]
        return int(line.split()[1])

    def count_descriptors(self):
        return len(list((self.folder / "fd").iterdir()))

    async def submit(self, number):
        """Submit an ordinary job and return the status of the answer."""
        response = await self.cluster.call(
            self.entry,
            "POST",
            f"/assess/{job_id(number)}",
            [("bulrushspur-credential", API_KEY)],
            {"spec": "100 10 done", "steps": [{"count": 1, "cpu": 100}]},
            ANSWER_TIMEOUT_S,
            HOST,
        )
        return response and response.status

    async def check(self, length_header, parts, client_count=CLIENT_COUNT):
        head = make_head(f"/assess/{job_id(9)}", HOST, API_KEY, length_header)
        await self.crowd.send(client_count, head, parts)
        descriptors = self.count_descriptors()
        status = await self.submit(2)
        self.assertIsNone(self.entry.process.returncode)
        growth_kb = self.read_memory_kb("VmHWM") - self.idle_kb
        self.assertLess(growth_kb, MAX_GROWTH_KB)
        max_descriptors = self.idle_descriptors + client_count + MAX_OTHER_DESCRIPTORS
        self.assertLess(descriptors, max_descriptors)
        self.assertEqual(status, 200)

    async def test_whole_bodies_that_do_not_end(self):
        await self.check(*list_whole_parts(BODY_BYTES))

    async def test_bodies_in_pieces_that_do_not_end(self):
        await self.check(*list_piece_parts(BODY_BYTES, 16))

    async def test_bodies_of_large_chunks_that_do_not_end(self):
        await self.check(*list_chunked_parts(16_000, 16))

    async def test_bodies_of_very_small_chunks_that_do_not_end(self):
        await self.check(*list_chunked_parts(1, BODY_BYTES))

    # Guards against: steps of which there are far too many are all built.
    async def test_whole_bodies_of_very_many_steps(self):
        steps = b"{}," * ((BODY_BYTES - 20) // 3)
        body = b'{"steps":[' + steps[:-1] + b"]}"
        await self.check(f"Content-Length: {len(body)}", [body])

    # Guards against: clients that do not go on take all connections.
    async def test_more_clients_that_do_not_end_than_connections(self):
        await self.check(*list_whole_parts(1000), TOO_MANY_CLIENTS)
