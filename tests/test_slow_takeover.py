"""Test that a term serves and stays where processes load the records slowly.

Real processes reach the store over a slow link and find some hundred jobs recorded. The
tests guard against a leader that is replaced while it loads them: its successor would
load the same records, be replaced in turn, and no term would ever serve.
"""

import asyncio
import time
import unittest

from bench.processes import ProcessCluster
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.records import JOB_KEY_PREFIX, encode_job
from bulrushspur_scheduler.resources import Resources
from soak.proxy import FaultProxy
from tests.cluster import CONFIG, job_id

# 2 Mbit/s.
LINK_BYTES_PER_S = 250_000
STORE_DELAY_S = 0.03
# The time that a site gives the system to serve again after a loss.
RECOVER_S = 15.0
HOLD_S = 4.0
MAX_CLAIMS = 9


class SlowTakeoverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = ProcessCluster()
        self.proxies = []
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        await self.cluster.stop()
        for proxy in self.proxies:
            await proxy.stop()

    async def start(self, entries, jobs, others=0):
        """Start entry processes, each with a slow link of its own to the store.

        The ``others`` have fast links, and fewer cores, so that they do not lead.
        """
        cluster = self.cluster
        await cluster.start(entries=0, workers=2, interface="platform", config=CONFIG)
        cluster.store.faults.delay_s = STORE_DELAY_S
        self.record_jobs(jobs)
        real_store_address = cluster.store_address
        for index in range(entries):
            proxy = FaultProxy(real_store_address, bytes_per_s=LINK_BYTES_PER_S)
            cluster.store_address = await proxy.start()
            self.proxies.append(proxy)
            entry = cluster.make_entry(f"n{index}", "platform")
            entry.settings["cores"] = 2.0
            cluster.entries.append(entry)
        cluster.store_address = real_store_address
        for index in range(others):
            cluster.entries.append(cluster.make_entry(f"m{index}", "platform"))
        await asyncio.gather(*(entry.start() for entry in cluster.entries))

    def record_jobs(self, count):
        """Store jobs that can't run here, so that their number stays the same."""
        step = StepSpec(1, Resources(10_000_000, 0, 0), 1.0)
        for number in range(count):
            spec = JobSpec(job_id(number), "x" * 1500, (step,))
            job = Job(spec, "assess", "coursework", "school", 0.0, time.time())
            key = JOB_KEY_PREFIX + spec.id
            self.cluster.store.put("keyed.jobs", key, encode_job(job))

    def events(self, name):
        return [
            row
            for entry in self.cluster.entries
            for row in entry.read_log_rows()
            if row["event"] == name
        ]

    async def wait_serving_term(self):
        deadline_s = time.monotonic() + RECOVER_S
        while not self.events("term_serving"):
            self.assertLess(time.monotonic(), deadline_s, "no term serves in time")
            await asyncio.sleep(0.2)

    async def check_one_term_serves_and_holds(self):
        await self.wait_serving_term()
        await asyncio.sleep(HOLD_S)
        terms = {row["term"] for row in self.events("term_start")}
        serving = [row["term"] for row in self.events("term_serving")]
        self.assertEqual(serving, [max(terms)])
        self.assertEqual(self.events("term_over"), [])
        return self.events("term_serving")[0]

    async def test_term_that_loads_for_seconds_serves_and_holds(self):
        await self.start(entries=3, jobs=500)
        row = await self.check_one_term_serves_and_holds()
        self.assertEqual(row["jobs"], 500)
        # Longer than the store may be silent to a leader that serves.
        self.assertGreater(row["load_ms"], 2000)

    async def test_successor_of_a_killed_leader_serves_and_holds(self):
        await self.start(entries=3, jobs=500)
        await self.check_one_term_serves_and_holds()
        leader = await self.cluster.find_leader()
        leader.process.kill()
        await leader.wait_exit()
        deadline_s = time.monotonic() + RECOVER_S
        while len(self.events("term_serving")) < 2:
            self.assertLess(time.monotonic(), deadline_s, "no successor serves in time")
            await asyncio.sleep(0.2)
        await asyncio.sleep(HOLD_S)
        self.assertEqual(len(self.events("term_start")), 2)

    async def test_many_processes_that_register_at_once_make_few_claims(self):
        await self.start(entries=4, jobs=300, others=36)
        await self.check_one_term_serves_and_holds()
        self.assertLessEqual(len(self.events("claim")), MAX_CLAIMS)


if __name__ == "__main__":
    unittest.main()
