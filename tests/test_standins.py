"""Tests that the stand-ins do what the platform's pages say."""

import time
import unittest

from bulrushspur_standins.worker import WorkerRun, WorkerStandin


class WorkerStandinTest(unittest.TestCase):
    def make(self, ends_after_s, lease_ms):
        worker = WorkerStandin("w0", started_s=time.monotonic() - 1.0)
        worker.lease_until_ms = 1000 + lease_ms
        run = WorkerRun("j.0.0.0", 1, 1000, worker.started_s + ends_after_s, "done")
        worker.running[run.task, run.number] = run
        worker._advance()
        return [row[3] for row in worker.unacknowledged_ends]

    def test_work_that_ended_before_the_lease_is_done_however_late_it_is_seen(self):
        self.assertEqual(self.make(ends_after_s=0.3, lease_ms=500), ["done"])

    def test_work_that_outlasts_the_lease_lapses(self):
        self.assertEqual(self.make(ends_after_s=0.6, lease_ms=500), ["lapsed"])
