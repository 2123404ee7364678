"""Test when a gateway tells refused callers to come back.

A caller told to come back after its deadline has lost its request. The tests play an
outage of the store for callers with a short deadline, who come back as they are told.
"""

import unittest

from bulrushspur_daemon.gateway import limit_retry_after_s

DEADLINE_S = 3.0
MAX_TRIES = 5
OUTAGE_S = 6.0


def expected_wait_s(outage_age_s):
    """Return the wait that the leader expects: as long again as the outage so far."""
    return min(max(outage_age_s, 1.0), 3.0)


def is_served(first_sent_s, limit):
    """Return whether a caller that first asks during the outage is served in time."""
    now_s = first_sent_s
    for _ in range(MAX_TRIES):
        if now_s >= OUTAGE_S:
            return True
        remaining_s = first_sent_s + DEADLINE_S - now_s
        wait_s = limit(expected_wait_s(now_s), remaining_s)
        if wait_s >= remaining_s:
            return False
        now_s += wait_s
    return False


class RetryAfterTest(unittest.TestCase):
    def test_expected_time_is_told_where_the_deadline_allows_it(self):
        self.assertEqual(limit_retry_after_s(1.0, 3.0), 1.0)
        self.assertEqual(limit_retry_after_s(2.5, 30.0), 2.5)

    def test_caller_with_little_time_is_left_another_try(self):
        self.assertEqual(limit_retry_after_s(3.0, 2.9), 1.0)
        self.assertEqual(limit_retry_after_s(9.0, 6.5), 3.0)
        self.assertEqual(limit_retry_after_s(3.0, 1.5), 1.0)

    def test_caller_without_time_is_told_what_is_expected(self):
        self.assertEqual(limit_retry_after_s(3.0, 0.8), 3.0)

    def test_callers_of_the_end_of_an_outage_are_served(self):
        sent_s = [OUTAGE_S * index / 200 for index in range(200)]
        told_expected = [is_served(s, lambda expected, _: expected) for s in sent_s]
        limited = [is_served(s, limit_retry_after_s) for s in sent_s]
        # Whoever asks in the last second before the outage ends comes back after it.
        self.assertTrue(all(limited[s] for s in range(200) if sent_s[s] > OUTAGE_S - 2))
        self.assertGreater(sum(limited), sum(told_expected) + 50)


if __name__ == "__main__":
    unittest.main()
