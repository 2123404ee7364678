"""Find tasks that run twice at once, or again after they were done: the rule TWICE.

An end counts once the leader has taken note of it, then also for what began before the
note, unless the worker's lease had lapsed by then. Steps whose copies may run in
parallel are judged only by what was known, and long-running ones, which start again
however they end, only by parallel runs.
"""

import itertools
import math
import typing as t

from oracle.observations import (
    Bounds,
    Observations,
    Violation,
)
from oracle.requests import DeclaredStep, TaskId
from oracle.runs import Run

RULE: t.Final = "TWICE"
# Of a task that nobody declared.
ANY_STEP: t.Final = DeclaredStep(1)


def find_parallel_runs(observations: Observations, bounds: Bounds) -> list[Violation]:
    """Find runs that start while another run of their task goes on."""
    violations = []
    for task, runs in _group_runs(observations).items():
        step = observations.declared_step(task) or ANY_STEP
        if step.speculative:
            continue
        longest = runs[0]
        for run in itertools.islice(runs, 1, None):
            if run.told_s < longest.ended_s:
                sentence = f"{run} starts while run {longest.number} goes on"
                sentence += f" on {longest.worker}"
                violations.append(Violation(RULE, "parallel", sentence))
            longest = max(longest, run, key=lambda row: row.ended_s)
    return violations


def find_starts_after_done(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find starts after an end as done of which the leader took note, then or later."""
    violations = []
    for task, runs in _group_runs(observations).items():
        step = observations.declared_step(task) or ANY_STEP
        if step.speculative or step.long_running:
            continue
        done_s = min(
            (_find_done_s(observations, step, row) for row in runs), default=math.inf
        )
        for run in runs:
            if run.told_s > done_s:
                sentence = f"{run} starts again after it was done at {done_s:.2f}"
                violations.append(Violation(RULE, "done", sentence))
    return violations


def find_starts_after_noted(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find starts over ``noted_s`` after an end was noted or a job was completed."""
    violations = []
    for task, runs in _group_runs(observations).items():
        step = observations.declared_step(task) or ANY_STEP
        known_s = observations.completed_s.get(task.job, math.inf)
        if not step.long_running:
            known_s = min([known_s, *(row.noted_s for row in runs if _is_noted(row))])
        for run in runs:
            late_s = run.arrived_s - known_s
            if late_s > bounds.noted_s and observations.is_in_contact(run, bounds):
                sentence = f"{run} starts {late_s:.2f} s after it was known as done"
                violations.append(Violation(RULE, "noted", sentence))
    return violations


def _find_done_s(observations: Observations, step: DeclaredStep, run: Run) -> float:
    """Return from when on a run counts as done; infinite if it does not.

    An end that is noted only after the worker's lease had lapsed says nothing of what
    began before the note. Nor does that of a gang's member where another one may fail:
    stand-ins do not let them end together.
    """
    if run.outcome != "done" or run.noted_s == math.inf:
        return math.inf
    is_alone = step.gang and not observations.gangs_end_together
    return run.noted_s if run.is_note_void or is_alone else run.ended_s


def _is_noted(run: Run) -> bool:
    return run.outcome == "done" and run.noted_s < math.inf and not run.is_note_void


def _group_runs(observations: Observations) -> dict[TaskId, list[Run]]:
    """Return the runs of each task in the order of their starts."""
    rv: dict[TaskId, list[Run]] = {}
    for run in sorted(observations.runs, key=lambda run: run.told_s):
        rv.setdefault(run.task, []).append(run)
    return rv


CLAUSES: t.Final = {
    "parallel": find_parallel_runs,
    "done": find_starts_after_done,
    "noted": find_starts_after_noted,
}
