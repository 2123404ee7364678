"""Test that an entry process closes all that it opened before it ends."""

import asyncio
import pathlib
import re
import signal
import sys
import unittest

from bench.processes import EntryProcess, ProcessCluster
from tests.cluster import CONFIG
from tests.left_open import SHOW_LEFT_OPEN, assert_nothing_left_open


def ignores_signal(pid, number):
    """Return whether a process ignores a signal."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (mask,) = re.findall(r"^SigIgn:\s*(\w+)", status, re.MULTILINE)
    return bool(int(mask, 16) >> (number - 1) & 1)


class ObservedEntry(EntryProcess):
    """An entry process that reports what it leaves open."""

    def command(self, settings_path):
        path = str(settings_path)
        return [sys.executable, *SHOW_LEFT_OPEN, "-m", "bulrushspur_daemon", path]


class ProcessEndTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = ProcessCluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(0, 2, "platform", CONFIG)

    async def start_entries(self, count):
        for number in range(count):
            entry = self.cluster.make_entry(f"n{number}", "platform")
            entry = ObservedEntry(entry.name, entry.settings, entry.folder)
            self.cluster.entries.append(entry)
            await entry.start()

    async def end(self, entry):
        """Wait for the end of a process; return its exit code and check its output."""
        async with asyncio.timeout(20):
            code = await entry.process.wait()
        for path in entry.folder.glob(f"{entry.name}-*.log"):
            assert_nothing_left_open(path.read_text())
        return code

    async def end_all(self):
        """Signal the processes, the leader first; return their exit codes."""
        leader = await self.cluster.find_leader()
        self.assertIsNotNone(leader)
        codes = []
        followers = [entry for entry in self.cluster.entries if entry is not leader]
        for entry in (leader, *followers):
            entry.send_signal(signal.SIGTERM)
            codes.append(await self.end(entry))
        return codes

    async def test_leader_and_its_successor_leave_nothing_open(self):
        await self.start_entries(2)
        await self.cluster.wait_ready()
        self.assertEqual(await self.end_all(), [0, 0])

    async def test_nothing_is_left_open_while_all_services_are_unresponsive(self):
        await self.start_entries(2)
        await self.cluster.wait_ready()
        cluster = self.cluster
        for standin in (cluster.store, cluster.advice, *cluster.workers):
            standin.faults.delay_s = 5.0
        await asyncio.sleep(0.3)
        self.assertEqual(await self.end_all(), [0, 0])

    # Guards against: a process that starts is ended by a change of its settings.
    async def test_change_of_the_settings_ends_no_process_that_starts(self):
        entry = self.cluster.make_entry("n0", "platform")
        self.cluster.entries.append(entry)
        await entry.start()
        # The interpreter itself takes some hundredths of a second before that.
        async with asyncio.timeout(10):
            while not ignores_signal(entry.process.pid, signal.SIGHUP):
                await asyncio.sleep(0.002)
        for _ in range(40):
            entry.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.02)
        await self.cluster.wait_ready()
        self.assertIsNone(entry.process.returncode)

    async def test_nothing_is_left_open_by_a_start_that_fails(self):
        await self.start_entries(1)
        await self.cluster.wait_ready()
        taken = self.cluster.entries[0].settings["operators_address"]
        entry = self.cluster.make_entry("n1", "platform")
        settings = {**entry.settings, "operators_address": taken}
        entry = ObservedEntry("n1", settings, entry.folder)
        self.cluster.entries.append(entry)
        await entry.start()
        self.assertEqual(await self.end(entry), 1)


if __name__ == "__main__":
    unittest.main()
