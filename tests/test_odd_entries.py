"""Test that odd entries of another writer end no process, nor a term.

Real processes meet them at their start, while a leader works, and as its successor. An
entry that cannot be used is logged and skipped; all others hold.
"""

import asyncio
import itertools
import random
import signal
import unittest

from bench.processes import ProcessCluster
from bulrushspur_kernel.http_client import fetch_response
from bulrushspur_scheduler.records import encode_job
from bulrushspur_standins.serving import Faults, make_server
from tests.cell_fixtures import make_test_job
from tests.cluster import API_KEY, CONFIG, HOST, job_id, make_job_body
from tests.odd_entries import (
    DEEP_PACK,
    ODD_BODIES,
    list_odd_entries,
    list_odd_nodes,
    list_odd_packs,
    list_odd_progress,
    make_entry,
)

HEADERS = [("bulrushspur-credential", API_KEY), ("bulrushspur-deadline-ms", "3000")]
# Keys that the parts of a process read, by topic.
PACKED_KEYS = {
    "keyed.cell": ("leader", "node/odd", "odd"),
    "keyed.nodes": ("node/odd", "odd"),
    "keyed.jobs": ("jodd", "sodd", "odd"),
}


class OddEntryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = cluster = ProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        self.job_count = 0
        await cluster.start(0, 3, "platform", CONFIG)

    async def start_entries(self, count=3, **settings):
        for number in range(count):
            entry = self.cluster.make_entry(f"n{number}", "platform")
            entry.settings.update(settings)
            self.cluster.entries.append(entry)
            await entry.start()
        await self.cluster.wait_ready()

    def put_odd_workers(self, suffix=""):
        for number, data in enumerate(list_odd_entries().values()):
            self.cluster.store.put("keyed.servers", f"odd-{number}{suffix}", data)
        for key in ("odd\r\nname: x", "odd\x00", "\u00e9" * 20, "o" * 240):
            entry = self.cluster.workers[0].encode_entry()
            self.cluster.store.put("keyed.servers", key + suffix, entry)

    def put_odd_records(self, suffix=""):
        store = self.cluster.store
        for topic, keys in PACKED_KEYS.items():
            for number, data in enumerate(list_odd_packs().values()):
                for key in keys:
                    store.put(topic, f"{key}{number}" if "odd" in key else key, data)
        for number, data in enumerate(list_odd_nodes().values()):
            store.put("keyed.nodes", f"node/odd{number}{suffix}", data)
        for number, data in enumerate(list_odd_progress().values()):
            # A task of it can't be started; that it can't be read is logged.
            job = make_test_job(job_id(1000 + number), "assess")
            store.put("keyed.jobs", f"j{job.id}", encode_job(job))
            store.put("keyed.jobs", f"s{job.id}", data)
        job = make_test_job(job_id(2000), "assess")
        store.put("keyed.jobs", f"j{job.id}", encode_job(job)[:-3] + DEEP_PACK)
        for key in ("machines", "use", "workers"):
            # Its last record is what a leader finds.
            store.put("keyed.jobs", key, b"\x93\x01\x90" + DEEP_PACK)
        for number, data in enumerate(list_odd_entries().values()):
            store.put("keyed.op", f"wave/odd{number}{suffix}", data)
            store.put("keyed.op", "evacuate/", data)

    async def run_job(self):
        """Submit a job at a live process, and wait until it is completed."""
        cluster = self.cluster
        entry = next(entry for entry in cluster.entries if entry.process is not None)
        path = f"/assess/{job_id(self.job_count)}"
        self.job_count += 1
        async with asyncio.timeout(12):
            while True:
                body = make_job_body(count=6, run_time_ms=50)
                answer = await cluster.call(
                    entry, "POST", path, HEADERS, body, host=HOST
                )
                if answer is not None and answer.status == 200:
                    break
                await asyncio.sleep(0.1)
            while b"completed" not in (answer.body if answer else b""):
                await asyncio.sleep(0.05)
                answer = await cluster.call(entry, "GET", path, HEADERS, host=HOST)

    def check_processes(self, max_terms):
        """Check that no process or part of a leader has ended by itself."""
        terms = 0
        for entry in self.cluster.entries:
            if entry.process is not None:
                self.assertIsNone(entry.process.returncode, entry.name)
            rows = entry.read_log_rows()
            for row in rows:
                faults = ("fault", "term_fault", "worker_fault", "peer_message_fault")
                self.assertNotIn(row["event"], faults, row)
            terms += sum(row["event"] == "term_start" for row in rows)
        self.assertLessEqual(terms, max_terms)
        self.assertEqual(self.cluster.find_violations(), [])

    async def kill_leader(self):
        leader = await self.cluster.find_leader()
        self.assertIsNotNone(leader)
        leader.send_signal(signal.SIGKILL)
        await leader.wait_exit()

    # Guards against: one entry ends each leader that reads it, one after the other.
    async def test_odd_workers_end_no_leader(self):
        self.put_odd_workers()
        await self.start_entries()
        await self.run_job()
        self.put_odd_workers("-later")
        await self.cluster.add_worker("w-new")
        await self.run_job()
        await self.kill_leader()
        await self.run_job()
        self.check_processes(max_terms=2)
        # The list is followed on.
        starts = [row for row in self.cluster.oracle.starts if row[3] == "w-new"]
        self.assertTrue(starts)

    # Guards against: the same for the records of jobs, claims, processes and operators.
    async def test_odd_records_end_no_process(self):
        self.put_odd_records()
        await self.start_entries()
        await self.run_job()
        await self.kill_leader()
        await self.run_job()
        self.check_processes(max_terms=2)
        self.put_odd_records("-later")
        await self.run_job()
        self.check_processes(max_terms=3)

    async def start_odd_service(self):
        """Start a server of odd answers, one after the other; return its address."""
        answers = itertools.cycle((200, body) for body in ODD_BODIES)

        async def answer(request, body):
            return next(answers)

        server = make_server(answer, Faults(), random.Random(1))
        await server.listen("127.0.0.1", 0)
        self.addAsyncCleanup(server.close, 0.0)
        return f"127.0.0.1:{server.port}"

    # Guards against: an answer of a worker or another service ends a leader.
    async def test_odd_answers_end_no_process(self):
        address = await self.start_odd_service()
        entry = make_entry(address=address)
        self.cluster.store.put("keyed.servers", "odd-worker", entry)
        self.cluster.advice_address = address
        await self.start_entries(2, machines_address=address)
        # A worker that is silent has the list of machines read.
        self.cluster.workers[0].faults.unresponsive = True
        await self.run_job()
        entry = self.cluster.entries[0]
        body = make_job_body(count=1)
        path = f"/place/{job_id(77)}"
        await self.cluster.call(entry, "POST", path, HEADERS, body, host=HOST)
        await asyncio.sleep(2.0)
        await self.run_job()
        await self.kill_leader()
        await self.run_job()
        self.check_processes(max_terms=2)

    # Guards against: a request, or a settings file that is changed, ends a process.
    async def test_odd_requests_and_settings_end_no_process(self):
        await self.start_entries(1)
        (entry,) = self.cluster.entries
        for number, body in enumerate(ODD_BODIES):
            path = f"/assess/{job_id(900 + number)}"
            answer = await fetch_response(
                "POST", entry.address, path, body, HEADERS, host=HOST
            )
            self.assertIn(answer.status, (400, 413), body[:20])
            address = entry.settings["operators_address"]
            answer = await fetch_response("POST", address, "/where", body)
            self.assertIn(answer.status, (400, 413), body[:20])
            (entry.folder / f"{entry.name}.json").write_bytes(body)
            entry.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        await self.run_job()
        self.check_processes(max_terms=1)


if __name__ == "__main__":
    unittest.main()
