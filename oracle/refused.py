"""Find starts of jobs whose submissions were all rejected: the rule REFUSED."""

import typing as t

from oracle.observations import Bounds, Observations, Violation

RULE: t.Final = "REFUSED"


def find_refused_starts(observations: Observations, bounds: Bounds) -> list[Violation]:
    """Find starts whose job was rejected at each attempt that came before."""
    violations = []
    for run in observations.runs:
        outcomes = {
            submission.outcome
            for submission in observations.submissions.get(run.task.job, [])
            if submission.sent_s <= run.told_s
        }
        if outcomes == {"rejected"}:
            sentence = f"{run} starts though its job was refused"
            violations.append(Violation(RULE, "refused", sentence))
    return violations


CLAUSES: t.Final = {"refused": find_refused_starts}
