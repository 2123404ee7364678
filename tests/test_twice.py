"""Test the clauses of the rule TWICE, with observations made by hand.

The tests guard against second runs that they do not see, and false ones.
"""

import unittest

from oracle.requests import DeclaredStep
from tests.oracle_fixtures import GANG, JOB, OracleTest, T


class TwiceTest(OracleTest):
    def test_two_runs_at_the_same_time(self):
        self.submit()
        self.start(T + 1)
        self.start(T + 2, number=2, worker="x")
        self.end(T + 2.01, "stopped")
        self.check("TWICE (parallel)")

    def test_run_beside_one_that_began_long_before(self):
        self.submit()
        self.start(T + 1)
        self.start(T + 1, task=(0, 0, 1))
        self.end(T + 9, "stopped")
        self.start(T + 9.1, number=2)
        self.end(T + 9.2, "stopped", number=2)
        self.start(T + 9.15, number=3)
        self.check("TWICE (parallel)")

    def test_run_after_another_one_has_ended(self):
        self.submit()
        self.start(T + 1)
        self.end(T + 2, "stopped")
        self.start(T + 2, number=2, worker="x")
        self.check()

    def test_copies_of_a_speculative_step(self):
        self.submit(DeclaredStep(1, speculative=True))
        self.start(T + 1)
        self.start(T + 2, number=2, worker="x")
        self.check()

    def test_start_after_an_end_that_is_noted_later(self):
        self.submit()
        self.start(T + 1)
        self.end(T + 2)
        self.start(T + 2.5, number=2)
        self.check()
        self.note(T + 3)
        self.check("TWICE (done)")

    def test_lease_lapsed_before_the_note(self):
        self.submit()
        self.start(T + 1)
        self.end(T + 2)
        self.start(T + 2.5, number=2)
        self.end(T + 2.6, "stopped", number=2)
        self.note(T + 3, is_void=True)
        self.check()
        self.start(T + 3.1, number=3)
        self.check("TWICE (done)")

    def test_member_of_a_gang(self):
        self.submit(GANG)
        self.start(T + 1)
        self.end(T + 2)
        self.start(T + 2.5, number=2)
        self.note(T + 3)
        self.check()
        self.seen.gangs_end_together = True
        self.check("TWICE (done)")
        self.seen.gangs_end_together = False
        self.end(T + 3, "stopped", number=2)
        self.start(T + 3.1, number=3)
        self.check("TWICE (done)")

    def test_speculative_copy_after_the_end_was_noted(self):
        self.submit(DeclaredStep(1, speculative=True))
        self.start(T + 1)
        self.end(T + 2)
        self.note(T + 3)
        self.start(T + 3.99, number=2)
        self.check()
        self.start(T + 4.01, number=3)
        self.check("TWICE (noted)")

    def test_start_after_the_job_was_shown_as_completed(self):
        self.submit()
        self.seen.record_completed(JOB, T + 3)
        self.start(T + 3.99)
        self.start(T + 9, task=(0, 0, 1), arrived_s=T + 3.9)
        self.check()
        self.start(T + 4.01, number=2, task=(0, 0, 1))
        self.end(T + 4.02, "stopped", number=2, task=(0, 0, 1))
        self.check("TWICE (noted)")

    def test_long_running_task_starts_again(self):
        self.submit(DeclaredStep(1, long_running=True))
        self.start(T + 1)
        self.end(T + 2)
        self.note(T + 3)
        self.start(T + 5, number=2)
        self.check()


if __name__ == "__main__":
    unittest.main()
