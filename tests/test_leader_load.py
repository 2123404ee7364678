"""Test that a leader that can't keep up is replaced by a larger VM, and no other is.

Guards against a cell that is led by a small VM for good, and against leaders that hand
over to each other.
"""

import asyncio
import unittest

from bulrushspur_scheduler.leader_load import (
    HAND_OVER_INTERVAL_S,
    MIN_TERM_AGE_S,
    LeaderLoad,
)
from tests.cluster import InProcessCluster, job_id


class LeaderLoadTest(unittest.TestCase):
    def make_load(self, late_s, seconds=3.0):
        load = LeaderLoad()
        for _ in range(round(seconds / (0.1 + late_s))):
            load.observe(late_s, 0.1)
        return load

    def test_only_a_leader_that_stays_late_hands_over(self):
        age_s = MIN_TERM_AGE_S + 1
        self.assertTrue(self.make_load(0.2).should_hand_over(0.4, 2.0, age_s, 100.0))
        self.assertFalse(self.make_load(0.05).should_hand_over(0.4, 2.0, age_s, 100.0))
        load = self.make_load(0.01)
        load.observe(0.3, 0.1)
        self.assertFalse(load.should_hand_over(0.4, 2.0, age_s, 100.0))

    def test_it_hands_over_to_a_larger_vm_alone_and_seldom(self):
        age_s = MIN_TERM_AGE_S + 1
        load = self.make_load(0.2)
        self.assertFalse(load.should_hand_over(1.0, 1.2, age_s, 100.0))
        self.assertFalse(load.should_hand_over(1.0, 2.0, 1.0, 100.0))
        load.last_hand_over_s = 90.0
        self.assertFalse(load.should_hand_over(1.0, 2.0, age_s, 100.0))
        later_s = 91.0 + HAND_OVER_INTERVAL_S
        self.assertTrue(load.should_hand_over(1.0, 2.0, age_s, later_s))


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_overloaded_leader_is_replaced_by_the_larger_vm_without_a_gap(self):
        cluster = InProcessCluster()
        self.addAsyncCleanup(cluster.stop)
        await cluster.start(nodes=1, workers=2)
        small = cluster.find_leader()
        await cluster.add_node("larger", domain="south", cores=4.0)
        await cluster.wait_leader()
        term = small.process.term
        await cluster.wait_for(lambda: "larger" in term.peers.lane_names())
        term.load_watch.load.lateness_s = 5.0
        number = 0
        while small.process.term is not None and number < 200:
            number += 1
            term.load_watch.load.lateness_s = 5.0
            answer = await cluster.submit(job_id(number), count=1, run_time_ms=10)
            self.assertEqual(answer.status, 200)
            await asyncio.sleep(0.05)
        await cluster.wait_leader()
        self.assertEqual(cluster.find_leader().process.settings.name, "larger")
        for done in range(1, number + 1):
            await cluster.wait_job_state(job_id(done), "completed")
        self.assertEqual(cluster.find_violations(), [])
