"""Collect the outcome of each test in a plug-in of nose2.

``outcome_by_test`` maps the id of each test that ran to "failed" or to the outcome that
nose2 reported last, such as "passed" or "skipped". Errors, unexpected successes and
failed subtests count as "failed".
"""

import typing as t

from nose2 import events

outcome_by_test: dict[str, str] = {}


class OutcomePlugin(events.Plugin):
    """Record the outcome of each test, including its subtests."""

    alwaysOn: t.ClassVar[bool] = True  # noqa: N815
    configSection: t.ClassVar[str] = "outcomes"  # noqa: N815

    def testOutcome(self, event: t.Any) -> None:  # noqa: N802
        """Record an outcome; later outcomes of a test do not replace a failure."""
        test_id = event.test.id().split(" ")[0]
        unexpected_failure = event.outcome in ("failed", "error") and not event.expected
        unexpected_success = event.outcome == "passed" and not event.expected
        failed_subtest = event.outcome == "subtest" and event.exc_info is not None
        if (
            unexpected_failure
            or unexpected_success
            or failed_subtest
            or event.outcome == "error"
        ):
            outcome_by_test[test_id] = "failed"
        elif outcome_by_test.get(test_id) != "failed":
            # A passed subtest sets "subtest"; the outcome of the whole test, reported
            # after its subtests, replaces it.
            outcome_by_test[test_id] = event.outcome
