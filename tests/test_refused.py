"""Test the rule REFUSED, with observations made by hand.

The tests guard against starts that it does not see, and false ones.
"""

import unittest

from oracle.observations import Observations
from tests.oracle_fixtures import OracleTest, T


class RefusedTest(OracleTest):
    CLAUSE = "REFUSED (refused)"

    def test_start_though_each_attempt_was_rejected(self):
        for status in (429, 503, 404, 401):
            with self.subTest(status=status):
                self.seen = Observations()
                self.submit(status=503)
                self.submit(status=status)
                self.start()
                self.check(self.CLAUSE)

    def test_attempt_after_the_start_is_no_excuse(self):
        self.submit(status=503)
        self.submit(sent_s=T + 2)
        self.start()
        self.check(self.CLAUSE)

    def test_attempt_that_may_count(self):
        for status in (200, None, 502, 504, 408):
            with self.subTest(status=status):
                self.seen = Observations()
                self.submit(status=503)
                self.submit(status=status)
                self.start()
                self.check()


if __name__ == "__main__":
    unittest.main()
