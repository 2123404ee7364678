"""Make observations by hand, and check which clauses of the oracle they break."""

import unittest

from oracle.observations import Bounds, Observations
from oracle.requests import DeclaredStep
from oracle.rules import CLAUSES, find_violations

JOB = "00000000000000a1"
BOUNDS = Bounds()
STEP = DeclaredStep(2)
GANG = DeclaredStep(2, gang=True)
# A time that is late enough that nothing before it is near.
T = 100.0


class OracleTest(unittest.TestCase):
    def setUp(self):
        self.seen = Observations()

    def submit(self, *steps, sent_s=T, status=200, answered_s=None, **fields):
        fields = {"payload": "p", "account": "team", **fields}
        submission = self.seen.record_submission(
            JOB, sent_s, steps=steps or (STEP,), **fields
        )
        if answered_s is not None or status is not None:
            answered_s = sent_s + 0.1 if answered_s is None else answered_s
            self.seen.record_answer(submission, status, answered_s)
        return submission

    def cancel(self, sent_s, answered_s, status=200, account="team"):
        cancel = self.seen.record_cancel(JOB, sent_s, account)
        if answered_s is not None:
            self.seen.record_answer(cancel, status, answered_s)

    def start(self, told_s=T + 1, task=(0, 0, 0), number=1, worker="w", **fields):
        fields = {"payload": "p", **fields}
        key = (JOB, *task)
        return self.seen.record_start(key, number, worker, 1, told_s, **fields)

    def end(self, ended_s, outcome="done", task=(0, 0, 0), number=1, worker="w"):
        key = (JOB, *task)
        self.seen.record_end(key, number, worker, 1, ended_s, outcome)

    def note(self, noted_s, is_void=False, task=(0, 0, 0), number=1, worker="w"):
        key = (JOB, *task)
        self.seen.record_note(key, number, worker, 1, noted_s, is_void)

    def check(self, *names):
        """Check that exactly these clauses are broken, each by one sentence or more."""
        found = {f"{row.rule} ({row.clause})" for row in find_violations(self.seen)}
        self.assertLessEqual(found, CLAUSES.keys())
        self.assertEqual(found, set(names))
