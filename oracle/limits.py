"""Find starts that bring a worker over its capacity: the rule LIMIT.

A run counts from its start to its end, also while it is being stopped. A capacity that
has shrunk counts after ``capacity_s``: until then the leader may not know of it.
"""

import typing as t

from oracle.observations import Bounds, Observations, Violation

RULE: t.Final = "LIMIT"


def find_overcommitted_starts(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find starts beyond the most CPU that the worker has had lately."""
    violations = []
    for incarnation, capacities in observations.capacities.items():
        runs = [
            run
            for run in observations.runs
            if (run.worker, run.incarnation) == incarnation
        ]
        runs.sort(key=lambda run: run.told_s)
        going_on = []
        for run in runs:
            going_on = [row for row in going_on if row.ended_s > run.told_s]
            going_on.append(run)
            used_milli = sum(row.cpu_milli for row in going_on)
            limit_milli = _find_limit_milli(capacities, run.told_s, bounds)
            if used_milli > limit_milli:
                sentence = f"{run} brings its worker to {used_milli} of {limit_milli}"
                violations.append(Violation(RULE, "overcommitted", f"{sentence} mCPU"))
    return violations


def _find_limit_milli(
    capacities: list[tuple[float, int]], now_s: float, bounds: Bounds
) -> int:
    """Return the most CPU that was there in the last ``capacity_s``."""
    since_s = now_s - bounds.capacity_s
    older = [cpu for from_s, cpu in capacities if from_s <= since_s]
    recent = [cpu for from_s, cpu in capacities if since_s < from_s <= now_s]
    return max(older[-1:] + recent, default=0)


CLAUSES: t.Final = {"overcommitted": find_overcommitted_starts}
