"""Test that a process whose VM is slow or suspended ends in its grace period.

The tests guard against a grace period that is counted from when the signal is handled:
SIGKILL comes by the time at which it was sent.
"""

import asyncio
import os
import signal
import time
import unittest

from bench.processes import ProcessCluster
from bulrushspur_daemon.clock import boottime_s
from bulrushspur_daemon.stop_request import MAX_TURN_AGE_S, StopRequest
from tests.cluster import CONFIG
from tests.kept_connections import open_kept_connection

# Before this much of the grace period is over, the process has ended.
MAX_STOP_S = 5.0
SUSPENDED_S = 2.0
BLOCKED_S = 0.3


class StopRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.stop = StopRequest()
        self.stop.handle_signals()

    async def test_signal_counts_from_when_it_came_while_the_loop_was_late(self):
        sent_s = boottime_s()
        os.kill(os.getpid(), signal.SIGTERM)
        # The event loop does nothing else meanwhile.
        time.sleep(BLOCKED_S)
        async with asyncio.timeout(5):
            await self.stop.requested.wait()
        self.assertLess(self.stop.requested_s - sent_s, BLOCKED_S / 2)

    async def test_signal_counts_from_the_last_turn_of_a_loop_that_was_held_up(self):
        last_turn_s = self.stop.last_turn_s = boottime_s() - 2 * MAX_TURN_AGE_S
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertEqual(self.stop.requested_s, last_turn_s)

    async def test_first_signal_counts(self):
        os.kill(os.getpid(), signal.SIGTERM)
        first_s = self.stop.requested_s
        os.kill(os.getpid(), signal.SIGINT)
        self.assertEqual(self.stop.requested_s, first_s)


class StoppedProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = ProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(2, 1, "platform", CONFIG)
        await self.cluster.wait_ready()
        leader = await self.cluster.find_leader()
        self.entry = next(e for e in self.cluster.entries if e is not leader)
        # Keeps the process from ending as soon as no other connection is open.
        connection = await open_kept_connection(self.entry.settings["callers_address"])
        self.addAsyncCleanup(connection.close)

    # Guards against: the times that the servers take to close add up.
    async def test_idle_connections_to_all_servers_do_not_delay_the_end(self):
        for field in ("ready_address", "operators_address"):
            connection = await open_kept_connection(self.entry.settings[field])
            self.addAsyncCleanup(connection.close)
        began_s = time.monotonic()
        self.entry.send_signal(signal.SIGTERM)
        self.assertLess(await self.measure_end(began_s), MAX_STOP_S)

    async def measure_end(self, began_s):
        async with asyncio.timeout(20):
            code = await self.entry.process.wait()
        self.assertEqual(code, 0)
        return time.monotonic() - began_s

    def get_stop_row(self):
        rows = self.entry.read_log_rows()
        return next(row for row in rows if row["event"] == "stop")

    async def test_process_that_was_suspended_ends_in_time(self):
        began_s = time.monotonic()
        self.entry.send_signal(signal.SIGSTOP)
        self.entry.send_signal(signal.SIGTERM)
        await asyncio.sleep(SUSPENDED_S)
        self.entry.send_signal(signal.SIGCONT)
        self.assertLess(await self.measure_end(began_s), MAX_STOP_S)
        self.assertGreater(self.get_stop_row()["took_ms"], SUSPENDED_S * 1000)

    # Guards against: a second signal that ends the process at once, or begins anew.
    async def test_second_signal_changes_nothing(self):
        began_s = time.monotonic()
        self.entry.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        self.entry.send_signal(signal.SIGTERM)
        took_s = await self.measure_end(began_s)
        self.assertGreater(took_s, 3.0)
        self.assertLess(took_s, MAX_STOP_S)


if __name__ == "__main__":
    unittest.main()
