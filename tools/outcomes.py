"""A plug-in of nose2 that collects the outcome of each test."""

import typing as t

from nose2 import events

outcome_by_test: dict[str, str] = {}


class OutcomePlugin(events.Plugin):
    """Note the worst outcome of each test and of its subtests."""

    alwaysOn: t.ClassVar[bool] = True  # noqa: N815
    configSection: t.ClassVar[str] = "outcomes"  # noqa: N815

    def testOutcome(self, event: t.Any) -> None:  # noqa: N802
        """Note an outcome; a failure stays whatever comes after it."""
        name = event.test.id().split(" ")[0]
        bad = event.outcome in ("failed", "error") and not event.expected
        surprise = event.outcome == "passed" and not event.expected
        part = event.outcome == "subtest" and event.exc_info is not None
        if bad or surprise or part or event.outcome == "error":
            outcome_by_test[name] = "failed"
        elif outcome_by_test.get(name) != "failed":
            # A test with subtests passes after each of them has ended.
            outcome_by_test[name] = event.outcome
