"""Test the rule LOST, with observations made by hand.

The tests guard against requests without an answer that it does not see, and false ones.
"""

import math
import unittest

from tests.oracle_fixtures import BOUNDS, OracleTest, T

SLACK_S = BOUNDS.loss_slack_s
CONTACT_S = BOUNDS.contact_s
GRACE_S = BOUNDS.grace_s


class UnansweredTest(OracleTest):
    """A process gets SIGTERM at ``T`` and is gone 5 s later."""

    CLAUSE = "LOST (unanswered)"

    def setUp(self):
        super().setUp()
        self.stop("n1", T, T + 5)

    def stop(self, entry, signaled_s, gone_s):
        self.seen.record_shutdown(entry, signaled_s).gone_s = gone_s

    def request(self, sent_s, ended_s, status=None, entry="n1", deadline_s=math.inf):
        self.seen.record_entry_request(
            entry,
            "POST /assess/1",
            deadline_s=deadline_s,
            sent_s=sent_s,
            ended_s=ended_s,
            status=status,
        )

    def test_connection_that_ends_later_than_the_slack(self):
        self.request(T + 1, T + 1 + SLACK_S + 0.01)
        self.check(self.CLAUSE)

    def test_connection_that_ends_within_the_slack(self):
        self.request(T + 1, T + 1 + SLACK_S - 0.01)
        self.check()

    def test_any_whole_answer_counts(self):
        for status in (200, 404, 429, 503, 504):
            self.request(T + 1, T + 4, status)
        self.check()

    def test_request_whose_last_byte_was_not_sent(self):
        self.request(math.inf, T + 4)
        self.check()

    def test_connection_that_ended_before_the_last_byte(self):
        self.request(T + 2, T + 1)
        self.check()

    def test_request_shortly_before_the_signal(self):
        self.request(T - CONTACT_S + 0.01, T + 2)
        self.check(self.CLAUSE)

    def test_request_long_before_the_signal(self):
        self.request(T - CONTACT_S - 0.01, T + 2)
        self.check()

    def test_request_until_the_process_is_gone(self):
        self.request(T + 4.99, T + 5.99)
        self.check(self.CLAUSE)

    def test_request_after_the_process_is_gone(self):
        self.request(T + 5.01, T + 6)
        self.check()

    def test_request_to_another_process(self):
        self.request(T + 1, T + 2, entry="n2")
        self.check()

    def test_process_that_is_not_gone_yet(self):
        self.stop("n2", T, math.inf)
        self.request(T + 1, T + 2, entry="n2")
        self.check(self.CLAUSE)

    def test_deadline_of_the_client(self):
        self.request(T + 1, T + 2, deadline_s=T + 2)
        self.check()
        self.request(T + 1, T + 2, deadline_s=T + 2.01)
        self.check(self.CLAUSE)

    def test_disruption_that_ended_less_than_a_contact_span_before(self):
        self.seen.record_entry_disruption("n1", T - 9, T + 1 - CONTACT_S + 0.01)
        self.request(T + 1, T + 2)
        self.check()

    def test_disruption_that_ended_more_than_a_contact_span_before(self):
        self.seen.record_entry_disruption("n1", T - 9, T + 1 - CONTACT_S - 0.01)
        self.request(T + 1, T + 2)
        self.check(self.CLAUSE)

    def test_disruption_before_the_end_of_the_request(self):
        self.seen.record_entry_disruption("n1", T + 1.99, T + 9)
        self.request(T + 1, T + 2)
        self.check()

    def test_disruption_after_the_end_of_the_request(self):
        self.seen.record_entry_disruption("n1", T + 2.01, T + 9)
        self.request(T + 1, T + 2)
        self.check(self.CLAUSE)

    def test_disruption_of_another_process_is_no_excuse(self):
        self.seen.record_entry_disruption("n2", T - 9, T + 9)
        self.seen.record_disruption(T - 9, T + 9, "suspended")
        self.request(T + 1, T + 2)
        self.check(self.CLAUSE)


class LateExitTest(OracleTest):
    CLAUSE = "LOST (late exit)"

    def setUp(self):
        super().setUp()
        self.shutdown = self.seen.record_shutdown("n1", T)

    def test_process_that_is_gone_in_its_grace_period(self):
        self.shutdown.gone_s = T + GRACE_S - 0.01
        self.seen.end_at(T + 30)
        self.check()

    def test_process_that_is_gone_later(self):
        self.shutdown.gone_s = T + GRACE_S + 0.01
        self.seen.end_at(T + 30)
        self.check(self.CLAUSE)

    def test_process_that_is_there_at_the_end_of_the_observation(self):
        self.seen.end_at(T + GRACE_S - 0.01)
        self.check()
        self.seen.end_at(T + GRACE_S + 0.01)
        self.check(self.CLAUSE)

    def test_disruption_is_no_excuse(self):
        self.seen.record_entry_disruption("n1", T - 9, T + 9)
        self.shutdown.gone_s = T + GRACE_S + 0.01
        self.seen.end_at(T + 30)
        self.check(self.CLAUSE)


if __name__ == "__main__":
    unittest.main()
