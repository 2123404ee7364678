"""Test each clause of the rule UNASKED, with observations made by hand.

For each clause: what breaks it, and what is just inside the bound. The tests guard
against clauses that never fail, and against ones that excuse more than the rules do.
"""

import unittest

from oracle.observations import Observations
from oracle.requests import DeclaredStep, declare_job, parse_task_id
from tests.oracle_fixtures import GANG, JOB, STEP, OracleTest, T


class UnsubmittedTest(OracleTest):
    CLAUSE = "UNASKED (unsubmitted)"

    def test_job_that_nobody_submitted(self):
        self.start()
        self.check(self.CLAUSE)

    def test_job_that_is_submitted_only_later(self):
        self.submit(sent_s=T + 1.1)
        self.start()
        self.check(self.CLAUSE)

    def test_each_index_out_of_the_declared_bounds(self):
        for task in ((1, 0, 0), (0, 1, 0), (0, 0, 2), (-1, -1, -1)):
            with self.subTest(task=task):
                self.seen = Observations()
                self.submit(STEP)
                self.start(task=task)
                self.check(self.CLAUSE)

    def test_order_that_the_worker_refused_counts(self):
        self.start(is_started=False)
        self.check(self.CLAUSE)

    def test_last_declared_task(self):
        self.submit(STEP, DeclaredStep(3), occurrence_count=2, status=None)
        self.start(task=(1, 1, 2))
        self.check()

    def test_names_of_tasks(self):
        self.assertEqual(parse_task_id(f"{JOB}.1.2.3"), (JOB, 1, 2, 3))
        for name in (JOB, f"{JOB}.1.2", f"{JOB}.1.2.x", f"{JOB}.1.-2.3"):
            self.assertEqual(parse_task_id(name)[1:], (-1, -1, -1))

    def test_body_of_a_submission(self):
        step = {"count": 2, "cpu": 500, "gang": True, "depends_on": [0]}
        body = {"spec": "x", "steps": [{"count": 1}, step], "repeat_count": 3}
        submission = Observations().record_submission(JOB, T, **declare_job(body))
        self.assertEqual((submission.payload, submission.occurrence_count), ("x", 3))
        second = DeclaredStep(2, 500, gang=True, depends_on=(0,))
        self.assertEqual(submission.steps, (DeclaredStep(1), second))
        self.assertEqual(declare_job({"spec": "x", "steps": 3})["steps"], ())

    def test_body_of_the_native_interface(self):
        native = {"tasks": 3, "cores": 0.5, "after": [0], "copies": True}
        fields = declare_job({"payload": "x", "steps": [{}, native]})
        second = DeclaredStep(3, 500, speculative=True, depends_on=(0,))
        self.assertEqual(fields["payload"], "x")
        self.assertEqual(fields["steps"], (DeclaredStep(1, 1000), second))
        self.assertEqual(declare_job(None)["steps"], (DeclaredStep(1, 1000),))


class PayloadTest(OracleTest):
    CLAUSE = "UNASKED (payload)"

    def test_payload_of_no_submission(self):
        self.submit()
        self.start(payload="q")
        self.check(self.CLAUSE)

    def test_payload_of_a_submission_that_was_rejected(self):
        self.submit()
        self.submit(payload="q", status=429)
        self.start(payload="q")
        self.check(self.CLAUSE)

    def test_payload_of_a_later_submission(self):
        self.submit()
        self.submit(payload="q", sent_s=T + 2)
        self.start(payload="q")
        self.check(self.CLAUSE)

    def test_order_that_repeats_a_start_with_another_payload(self):
        self.submit()
        self.start()
        self.start(payload="q", is_started=False)
        self.check(self.CLAUSE)

    def test_payloads_of_two_submissions_that_may_count(self):
        self.submit()
        self.submit(payload="q", status=None)
        self.start()
        self.start(payload="q", task=(0, 0, 1))
        self.check()


class CheckpointTest(OracleTest):
    CLAUSE = "UNASKED (checkpoint)"

    def produce(self, value, produced_s=T + 2, task=(0, 0, 0)):
        self.seen.record_checkpoint((JOB, *task), 1, value, produced_s)

    def test_checkpoint_that_nobody_produced(self):
        self.submit()
        self.start(checkpoint="c")
        self.check(self.CLAUSE)

    def test_checkpoint_of_another_task(self):
        self.submit()
        self.produce("c", task=(0, 0, 1))
        self.start(T + 3, checkpoint="c")
        self.check(self.CLAUSE)

    def test_checkpoint_that_is_produced_later(self):
        self.submit()
        self.produce("c", T + 3.1)
        self.start(T + 3, checkpoint="c")
        self.check(self.CLAUSE)

    def test_checkpoint_of_the_task(self):
        self.submit()
        self.produce("c")
        self.produce("d", T + 4)
        self.start(T + 2, checkpoint="c")
        self.check()

    def test_checkpoint_of_a_gang_of_another_occurrence(self):
        self.submit(GANG, occurrence_count=2)
        self.produce("c", task=(1, 0, 0))
        self.start(T + 3, checkpoint="c")
        self.check(self.CLAUSE)

    def test_checkpoint_of_another_member_of_the_gang(self):
        self.submit(GANG)
        self.produce("c", task=(0, 0, 1))
        self.start(T + 3, checkpoint="c", number=2)
        self.start(T + 3, checkpoint="c", number=2, task=(0, 0, 1))
        self.check()

    def test_members_of_one_gang_run_with_different_checkpoints(self):
        self.submit(GANG)
        self.produce("c", task=(0, 0, 1))
        self.start(T + 3, checkpoint="c", number=2)
        self.start(T + 3, number=2, task=(0, 0, 1))
        self.check(self.CLAUSE)


class StartAfterCancelTest(OracleTest):
    CLAUSE = "UNASKED (start after cancel)"

    def test_start_later_than_allowed(self):
        for status in (200, 204, 410):
            with self.subTest(status=status):
                self.seen = Observations()
                self.submit()
                self.cancel(T + 1, T + 1.5, status)
                self.start(T + 4.51)
                self.end(T + 4.6)
                self.check(self.CLAUSE)

    def test_start_at_the_bound(self):
        self.submit()
        self.cancel(T + 1, T + 1.5)
        self.start(T + 4.49)
        self.end(T + 4.6)
        self.check()

    def test_cancel_that_came_before_the_submission_was_accepted(self):
        self.submit(sent_s=T, answered_s=T + 6)
        self.cancel(T + 1, T + 1.5, 410)
        self.start(T + 6)
        self.end(T + 6.1)
        self.check(self.CLAUSE)

    def test_cancel_that_had_waited(self):
        self.submit()
        self.cancel(T + 1, None)
        self.start(T + 8.01)
        self.end(T + 8.1)
        self.check(self.CLAUSE)

    def test_cancel_that_waits_at_the_bound_or_had_another_answer(self):
        self.submit()
        self.cancel(T + 1, T + 1.5, 503)
        self.cancel(T + 1.5, T + 4.9, None)
        self.cancel(T + 5, None)
        self.start(T + 8.09)
        self.end(T + 8.1)
        self.check()

    def test_cancel_that_does_not_wait_in_a_steady_state(self):
        self.submit()
        self.seen.record_disruption(T, T + 2)
        self.cancel(T + 1, None)
        self.start(T + 5 + 7 - 0.01)
        self.end(T + 12)
        self.check()
        self.start(T + 5 + 7 + 0.01, number=2)
        self.end(T + 12.1, number=2)
        self.check(self.CLAUSE)

    def test_start_that_was_carried_out_late_or_whose_starter_was_out_of_touch(self):
        self.submit()
        self.cancel(T + 1, T + 1.5)
        self.start(T + 9, arrived_s=T + 4.49)
        self.start(T + 9, in_contact=False, task=(0, 0, 1))
        self.end(T + 9.1)
        self.end(T + 9.1, task=(0, 0, 1))
        self.check()

    def test_order_that_arrived_too_late_and_was_carried_out_later(self):
        self.submit()
        self.cancel(T + 1, T + 1.5)
        self.start(T + 9, arrived_s=T + 4.51)
        self.end(T + 9.1)
        self.check(self.CLAUSE)

    def test_starter_that_has_been_cut_off(self):
        self.submit()
        self.cancel(T + 1, T + 1.5)
        self.seen.record_contact_loss(7, T + 1.5)
        self.start(T + 4.51, term=7)
        self.end(T + 4.6)
        self.check()
        self.start(T + 4.7, number=2, term=8)
        self.end(T + 4.8, number=2)
        self.check(self.CLAUSE)

    def test_starter_that_was_in_contact_for_a_while(self):
        for from_s, until_s in ((T + 1.52, T + 9), (T, T + 4.4)):
            with self.subTest(from_s=from_s):
                self.seen = Observations()
                self.submit()
                self.cancel(T + 1, T + 1.5)
                self.seen.record_contact_loss(7, from_s, until_s)
                self.start(T + 4.51, term=7)
                self.end(T + 4.6)
                self.check(self.CLAUSE)

    def test_cancel_by_an_account_that_did_not_submit_the_job(self):
        self.submit()
        self.cancel(T + 1, T + 1.5, 410, account="other")
        self.start(T + 9)
        self.check()


class RunAfterCancelTest(OracleTest):
    CLAUSE = "UNASKED (run after cancel)"

    def setUp(self):
        super().setUp()
        self.submit()
        self.cancel(T + 1, T + 1.5)
        self.due_s = T + 1.5 + 3.0 + 0.9

    def test_run_that_ends_late(self):
        self.start()
        self.end(self.due_s + 0.01)
        self.check(self.CLAUSE)

    def test_run_that_is_still_there(self):
        self.start()
        self.seen.end_at(self.due_s + 0.01)
        self.check(self.CLAUSE)

    def test_run_that_ends_in_time(self):
        self.start()
        self.end(self.due_s - 0.01, "stopped")
        self.seen.end_at(T + 50)
        self.check()

    def test_run_on_a_worker_that_crashed(self):
        self.start()
        self.seen.record_incarnation_end("w", 1, self.due_s - 0.01)
        self.seen.end_at(T + 50)
        self.check()

    def test_disruption_before_what_is_near(self):
        self.start()
        self.seen.record_disruption(T + 1, self.due_s - 3.01)
        self.end(self.due_s + 0.01)
        self.check(self.CLAUSE)

    def test_run_ends_in_the_next_steady_stretch(self):
        self.start()
        self.seen.record_disruption(self.due_s - 0.5, self.due_s + 0.5)
        due_s = self.due_s + 0.5 + 3.0 + 3.9
        self.seen.end_at(due_s - 0.01)
        self.check()
        self.seen.end_at(due_s + 0.01)
        self.check(self.CLAUSE)

    def test_run_that_started_late_counts_from_its_start(self):
        for field in ({"arrived_s": T + 4}, {"in_contact": False}):
            with self.subTest(field=field):
                self.seen.runs.clear()
                self.start(T + 10, **field)
                self.end(T + 13.89, "stopped")
                self.check()
                self.start(T + 10, number=2, **field)
                self.end(T + 13.91, "stopped", number=2)
                self.seen.runs[:1] = []
                self.check(self.CLAUSE)


if __name__ == "__main__":
    unittest.main()
