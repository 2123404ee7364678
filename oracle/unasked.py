"""Find what workers were told to start, or let run on, that no client asked for.

One function for each clause of the rule UNASKED. The first three look at all that
workers were told, the others at what they started: (a) nobody submitted it, (b) another
payload, (c) another task's checkpoint, (d) a start after the cancel, (e) a run that
goes on after it. A cancel counts from its first acknowledgement (2xx or 410), also if
that came before the submission was accepted, or from when it had waited for one through
``ack_s`` of steady state.
"""

import math
import typing as t

from oracle.calm import Span, find_waited_s, is_calm, list_steady_stretches
from oracle.observations import (
    Bounds,
    Observations,
    Violation,
)
from oracle.requests import Cancel
from oracle.runs import Run

RULE: t.Final = "UNASKED"


def find_unsubmitted_starts(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find orders to start what no client had sent: the job, or such a task of it."""
    violations = []
    for run in observations.orders:
        sent = observations.list_valid_submissions(run.task.job, run.told_s)
        if not sent:
            sentence = f"{run} starts, and nobody had submitted the job"
        elif not any(submission.declares(run.task) for submission in sent):
            sentence = f"{run} starts, and its job declares no such task"
        else:
            continue
        violations.append(Violation(RULE, "unsubmitted", sentence))
    return violations


def find_altered_payloads(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find orders with another payload than each submission of the job."""
    return [
        Violation(
            RULE, "payload", f"{run} starts with the payload {run.payload[:80]!r}"
        )
        for run in observations.orders
        if (sent := observations.list_valid_submissions(run.task.job, run.told_s))
        and all(submission.payload != run.payload for submission in sent)
    ]


def find_foreign_checkpoints(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find orders with a checkpoint that no run of the task has produced before.

    A gang's step may start from the checkpoint of any member of the same occurrence,
    and the members of one run all from the same one.
    """
    violations = []
    produced_by_gang = _group_gang_checkpoints(observations)
    first_by_gang_run: dict[tuple[t.Any, ...], Run] = {}
    for run in sorted(observations.orders, key=lambda run: run.told_s):
        step = observations.declared_step(run.task)
        is_gang = step is not None and step.gang
        if is_gang:
            produced = produced_by_gang.get(run.task[:3], {})
        else:
            produced = {
                row.value: row.produced_s
                for row in reversed(observations.checkpoints.get(run.task, []))
            }
        if run.checkpoint and produced.get(run.checkpoint, math.inf) > run.told_s:
            sentence = f"{run} starts from {run.checkpoint!r}, which is not its task's"
            violations.append(Violation(RULE, "checkpoint", sentence))
        if not is_gang:
            continue
        first = first_by_gang_run.setdefault((*run.task[:3], run.number), run)
        if first.checkpoint != run.checkpoint:
            sentence = (
                f"{run} starts from {run.checkpoint!r}, and another member of its "
                f"gang, {first.task}, from {first.checkpoint!r}"
            )
            violations.append(Violation(RULE, "checkpoint", sentence))
    return violations


def _group_gang_checkpoints(
    observations: Observations,
) -> dict[tuple[t.Any, ...], dict[str, float]]:
    """Return by step of an occurrence when which checkpoint was produced first."""
    rv: dict[tuple[t.Any, ...], dict[str, float]] = {}
    for task, rows in observations.checkpoints.items():
        produced = rv.setdefault(task[:3], {})
        for row in rows:
            produced[row.value] = min(produced.get(row.value, math.inf), row.produced_s)
    return rv


def find_starts_after_cancel(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find starts later than ``cancel_s`` after the cancel of their job counts.

    What a worker carried out late counts by when it got the order. The start of a
    starter that was out of contact does not count; the run has to end all the same
    (``find_runs_after_cancel``).
    """
    violations = []
    cancelled_s = find_cancel_times(observations, bounds)
    for run in observations.runs:
        late_s = run.arrived_s - cancelled_s.get(run.task.job, math.inf)
        if late_s > bounds.cancel_s and observations.is_in_contact(run, bounds):
            sentence = f"{run} starts {late_s:.2f} s after its job was cancelled"
            violations.append(Violation(RULE, "start after cancel", sentence))
    return violations


def find_runs_after_cancel(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find runs that go on though their job was cancelled and nothing is disturbed.

    A run that started late, or after ``cancel_s``, counts from ``contact_s`` after its
    start. If something is disturbed near then, the run has to end in the next steady
    stretch of ``cancel_s`` and ``stop_s``.
    """
    violations = []
    cancelled_s = find_cancel_times(observations, bounds)
    stretches = list_steady_stretches(observations, bounds)
    for run in observations.runs:
        if run.task.job not in cancelled_s:
            continue
        from_s = cancelled_s[run.task.job]
        due_s = _find_due_s(observations, bounds, stretches, run, from_s)
        ended_s = min(run.ended_s, max(observations.until_s, run.told_s))
        if ended_s > due_s:
            until = "ends" if run.ended_s < math.inf else "is still there"
            sentence = (
                f"{run} goes on though its job was cancelled at {from_s:.2f}: it had "
                f"to be gone at {due_s:.2f} and {until} at {ended_s:.2f}"
            )
            violations.append(Violation(RULE, "run after cancel", sentence))
    return violations


def _find_due_s(
    observations: Observations,
    bounds: Bounds,
    stretches: list[Span],
    run: Run,
    cancelled_s: float,
) -> float:
    """Return when a run of a cancelled job has to be gone."""
    from_s = cancelled_s + bounds.cancel_s
    if run.is_late or run.told_s > from_s:
        from_s = max(from_s, run.told_s + bounds.contact_s)
    due_s = from_s + bounds.stop_s
    if is_calm(observations.disruptions, due_s - bounds.contact_s, due_s):
        return due_s
    wait_s = bounds.cancel_s + bounds.stop_s
    for begin_s, end_s in stretches:
        steady_due_s = max(begin_s, from_s - bounds.cancel_s, run.told_s) + wait_s
        if steady_due_s < end_s:
            return max(steady_due_s, due_s)
    return math.inf


def find_cancel_times(observations: Observations, bounds: Bounds) -> dict[str, float]:
    """Return by job from when on its cancel counts."""
    stretches = list_steady_stretches(observations, bounds)
    rv = {}
    for job, cancels in observations.cancels.items():
        counted = [
            cancel for cancel in cancels if _may_count(observations, job, cancel)
        ]
        acknowledged_s = min(
            (row.answered_s for row in counted if row.is_acknowledged),
            default=math.inf,
        )
        waits = [(row.sent_s, row.answered_s) for row in counted]
        waited_s = find_waited_s(waits, stretches, bounds.ack_s)
        counts_s = min(acknowledged_s, waited_s)
        if counts_s < math.inf:
            rv[job] = counts_s
    return rv


def _may_count(observations: Observations, job: str, cancel: Cancel) -> bool:
    """Return whether a cancel is that of an account which submitted the job."""
    accounts = {row.account for row in observations.submissions.get(job, [])}
    return not cancel.account or not accounts or cancel.account in accounts


# For tests that look at one clause: its name, and the function that finds it broken.
CLAUSES: t.Final = {
    "unsubmitted": find_unsubmitted_starts,
    "payload": find_altered_payloads,
    "checkpoint": find_foreign_checkpoints,
    "start after cancel": find_starts_after_cancel,
    "run after cancel": find_runs_after_cancel,
}
