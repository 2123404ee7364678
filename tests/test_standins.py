"""Check that the simulated worker keeps to the platform's rules for leases.

Its tick can run late on a busy machine. Judged by the time of the tick, work done
within the lease would count as expired, and the task would start again.
"""

import time
import unittest

from bulrushspur_standins.worker import WorkerRun, WorkerStandin


class WorkerStandinTest(unittest.TestCase):
    def list_end_outcomes(self, ends_after_s, lease_ms):
        worker = WorkerStandin("w0", started_s=time.monotonic() - 1.0)
        worker.lease_until_ms = 1000 + lease_ms
        run = WorkerRun("j.0.0.0", 1, 1000, worker.started_s + ends_after_s, "done")
        worker.running[run.task, run.number] = run
        worker._advance()
        return [row[3] for row in worker.unacknowledged_ends]

    def test_work_done_within_the_lease_is_done_when_the_tick_is_late(self):
        self.assertEqual(
            self.list_end_outcomes(ends_after_s=0.3, lease_ms=500), ["done"]
        )

    def test_work_that_exceeds_the_lease_ends_as_expired(self):
        self.assertEqual(
            self.list_end_outcomes(ends_after_s=0.6, lease_ms=500), ["lapsed"]
        )
