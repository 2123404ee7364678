"""Test when a worker that is no longer listed may be removed, and leases judged.

One that is removed too early may still run tasks that nobody counts. Leases are judged
at the last confirmation by the store, so an old one delays the restart of their runs.
"""

import unittest

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.leases import (
    UNLISTED_GRACE_S,
    awaits_confirmation,
    list_expired_workers,
)
from bulrushspur_scheduler.planning import plan
from tests.cell_fixtures import (
    acknowledge_starts,
    add_test_job,
    apply_worker_report,
    make_test_cell,
)

LONG_AFTER_S = 100.0


class ExpiredWorkerTest(unittest.TestCase):
    def setUp(self):
        self.cell = make_test_cell(1)
        self.worker = self.cell.workers["w0"]
        self.worker.listed = False

    def expired(self, now_s=LONG_AFTER_S):
        return list_expired_workers(self.cell, now_s, now_s)

    def test_unlisted_worker_without_runs_expires_with_its_lease(self):
        self.assertEqual(self.expired(), [self.worker])
        self.worker.lease_until_ms = int(2 * LONG_AFTER_S * 1000)
        self.assertEqual(self.expired(), [])

    def test_worker_is_kept_while_something_may_run_on_it(self):
        for changes in ({"listed": True}, {"unlisted_s": LONG_AFTER_S}):
            with self.subTest(**changes):
                self.setUp()
                for name, value in changes.items():
                    setattr(self.worker, name, value)
                self.assertEqual(self.expired(), [])
                self.assertEqual(
                    bool(self.expired(LONG_AFTER_S + 2 * UNLISTED_GRACE_S)),
                    not self.worker.listed,
                )

    def test_worker_with_runs_or_unobserved_is_kept(self):
        self.cell.unobserved_workers.add("w0")
        self.assertEqual(self.expired(), [])
        self.setUp()
        self.worker.listed = True
        add_test_job(self.cell)
        plan(self.cell, 0.1)
        acknowledge_starts(self.cell, 0.1)
        self.worker.listed = False
        self.assertEqual(self.expired(), [])


class AwaitsConfirmationTest(unittest.TestCase):
    def test_lease_that_expired_since_the_last_confirmation_asks_for_one(self):
        cell = make_test_cell(1)
        add_test_job(cell)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        cell.workers["w0"].lease_until_ms = 4000
        self.assertFalse(awaits_confirmation(cell, 1.0, 4.0))
        self.assertTrue(awaits_confirmation(cell, 1.0, 5.0))
        # The confirmed time is late enough: the runs are released by the next tick.
        self.assertFalse(awaits_confirmation(cell, 4.9, 5.0))

    def test_run_that_disappeared_asks_for_one(self):
        cell = make_test_cell(1)
        add_test_job(cell)
        plan(cell, 0.1)
        acknowledge_starts(cell, 0.1)
        apply_worker_report(cell, "w0", 0.5, incarnation_start_ms=2)
        self.assertTrue(awaits_confirmation(cell, 0.4, 0.5))
        takeover.reconcile(cell, 0.6)
        self.assertFalse(awaits_confirmation(cell, 0.6, 0.7))


if __name__ == "__main__":
    unittest.main()
