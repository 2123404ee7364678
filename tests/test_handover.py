"""Test that a leader whose process stops leads until another one has claimed.

The tests guard against a cell without a leader while a planned stop, a rolling restart
or a slow store is under way, and against both leaders starting the same task.
"""

import asyncio
import itertools
import time
import unittest
from unittest import mock

from bulrushspur_daemon.lifecycle import shut_down
from tests.cluster import InProcessCluster, job_id

SLOW_STORE_DELAY_S = 0.24
SUBMISSION_INTERVAL_S = 0.05


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = InProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(nodes=3, workers=3)
        self.submitted = 0

    async def asyncTearDown(self):
        self.assertEqual(self.cluster.find_violations(), [])

    async def submit_until(self, task, node):
        """Submit jobs to a node until a task has ended; return statuses and times."""

        async def submit(number):
            began_s = time.monotonic()
            answer = await self.cluster.submit(job_id(number), node=node)
            return answer.status, time.monotonic() - began_s

        pending = []
        while not task.done():
            self.submitted += 1
            pending.append(asyncio.create_task(submit(self.submitted)))
            await asyncio.sleep(SUBMISSION_INTERVAL_S)
        return await asyncio.gather(*pending)

    async def hand_over(self):
        """Stop the leader as a signal does; return it and the answers meanwhile."""
        leader = self.cluster.find_leader()
        other = next(n for n in self.cluster.nodes.values() if n is not leader)
        stopping = asyncio.create_task(shut_down(leader.process))
        answers = await self.submit_until(stopping, other)
        del self.cluster.nodes[leader.process.settings.name]
        await leader.kill()
        return leader, answers

    async def test_callers_notice_nothing_of_a_planned_stop(self):
        _, answers = await self.hand_over()
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertLess(max(took_s for _, took_s in answers), 0.3)

    async def test_leader_goes_on_while_a_slow_store_delays_the_next_claim(self):
        faults = self.cluster.store.faults
        faults.delay_s = self.cluster.store.append_delay_s = SLOW_STORE_DELAY_S
        leader, answers = await self.hand_over()
        faults.delay_s = self.cluster.store.append_delay_s = 0.0
        self.assertEqual({status for status, _ in answers}, {200})
        (stopping,) = leader.events("stopping")
        (over,) = leader.events("term_over")
        self.assertEqual(over["reason"], "a later claim was read")
        accepted = [e for e in leader.events("accept") if e["t"] > stopping["t"]]
        self.assertGreater(len(accepted), 0)

    # Guards against: the wait goes on after a suspension that used up the grace period.
    async def test_wait_for_a_successor_counts_suspension(self):
        leader = self.cluster.find_leader()
        self.cluster.store.append_delay_s = 2.0
        clock = mock.Mock(side_effect=itertools.count(0.0, 100.0))
        began_s = time.monotonic()
        with mock.patch("bulrushspur_daemon.term.boottime_s", clock):
            await leader.process.term.hand_over(60.0)
        self.assertLess(time.monotonic() - began_s, 1.0)
        self.cluster.store.append_delay_s = 0.0

    async def test_three_stops_in_a_row_start_nothing_twice(self):
        cluster = self.cluster
        for number in range(1000, 1012):
            await cluster.submit(job_id(number), run_time_ms=1500)
        for index in range(3):
            await cluster.add_node(f"m{index}")
            await cluster.wait_leader()
            await self.hand_over()
        await cluster.wait_leader()
        numbers = [*range(1000, 1012), *range(1, self.submitted + 1)]
        for number in numbers:
            await cluster.wait_job_state(job_id(number), "completed")
        self.assertEqual(len(cluster.oracle.starts), 2 * len(numbers))


if __name__ == "__main__":
    unittest.main()
