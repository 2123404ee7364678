"""Record the crashes of workers, and find the tasks that cause them.

The input is a worker whose incarnation has ended without having drained, with its runs.
The result is a count of crashes for each task that may have run there, an event, and
which tasks are suspects: how their next run has to be kept apart from other work, so
that another crash tells whose fault it was (``isolation.py``).

A run that was not seen to survive its start is a closer suspect than the others: its
task counts the crash as an early one, too. A worker that had neither such a run nor a
suspect crashed for another reason, and what crashed about then may have had the same.

A lapsed lease is no crash: the worker may only have been cut off.
"""

import enum
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Run, RunState, StepKey, Task
from bulrushspur_scheduler.workers import Worker

# A run that goes on for so long after its start is not taken for the cause of a crash.
SURVIVAL_S: t.Final = 0.5
# A run that goes on for so long clears its task of all earlier crashes.
EXONERATION_S: t.Final = 60.0
# At most this many tasks are named in an event.
MAX_NAMED_TASKS: t.Final = 8


class Isolation(enum.IntEnum):
    """How a run of a task has to be kept apart from other work."""

    NONE = 0
    # The worker starts nothing else until the run has survived its start.
    QUIET = 1
    # The worker runs nothing else.
    ALONE = 2


def required_isolation(task: Task) -> Isolation:
    """Return how the next run of a task has to be kept apart."""
    if task.early_crash_count >= 2 or task.crash_count >= 3:
        return Isolation.ALONE
    if task.early_crash_count or task.crash_count >= 2:
        return Isolation.QUIET
    return Isolation.NONE


def has_survived_start(run: Run, worker: Worker) -> bool:
    """Return whether a worker has reported a run for long enough after its start."""
    survived_s = worker.last_report_s - run.confirmed_s
    return bool(run.confirmed_s) and survived_s >= SURVIVAL_S


def is_quiet(worker: Worker) -> bool:
    """Return whether all that runs on a worker is known to have survived its start."""
    return not worker.orphan_runs and all(
        has_survived_start(run, worker) for run in worker.runs.values()
    )


def is_isolated(worker: Worker, now_s: float) -> bool:
    """Return whether a worker takes no work but that of the step it is isolated for."""
    if worker.isolated_for is None:
        return False
    runs = list_runs_of(worker, worker.isolated_for)
    if runs:
        return worker.isolated_alone or not all(
            has_survived_start(run, worker) for run in runs
        )
    return now_s < worker.held_until_s


def list_runs_of(worker: Worker, key: StepKey) -> list[Run]:
    """List the runs of a step on a worker."""
    return [run for run in worker.runs.values() if run.task.step.key == key]


def record_crash(cell: Cell, worker: Worker, reason: str, now_s: float) -> None:
    """Count a crash for the tasks that may have run on a worker.

    A worker that drains was going to end: that is no crash.
    """
    if worker.draining:
        return
    runs = [
        run
        for run in worker.runs.values()
        if not run.task.done and run.task.step.job.id in cell.jobs
    ]
    early = [run for run in runs if not has_survived_start(run, worker)]
    if not early and not any(run.task.crash_count for run in runs):
        cell.unexplained_crashes_s[worker.entry.machine] = now_s
    for run in runs:
        _count_crash(cell, run, run in early, now_s)
    named = sorted(early, key=lambda run: -run.task.early_crash_count)
    cell.log(
        "worker_crashed",
        worker=worker.id,
        machine=worker.entry.machine,
        reason=reason,
        silent_ms=round(min(now_s - worker.last_report_s, 1e6) * 1000),
        runs=len(runs),
        early=[_describe(run, now_s) for run in named[:MAX_NAMED_TASKS]],
        early_runs=len(early),
        most_crashes=max((run.task.crash_count for run in runs), default=0),
    )


def _count_crash(cell: Cell, run: Run, is_early: bool, now_s: float) -> None:
    task = run.task
    task.crash_count += 1
    task.early_crash_count += is_early
    task.step.has_suspects = True
    cell.suspects[task.key] = task


def clear_suspects(cell: Cell, now_s: float) -> None:
    """Clear the tasks that have ended, or have run for long enough."""
    for key, task in list(cell.suspects.items()):
        if task.done or cell.find_task(key) is not task:
            del cell.suspects[key]
        elif any(_has_run_long(run, now_s) for run in task.runs):
            task.crash_count = task.early_crash_count = 0
            del cell.suspects[key]


def _has_run_long(run: Run, now_s: float) -> bool:
    age_s = now_s - run.confirmed_s
    return run.state is RunState.RUNNING and age_s >= EXONERATION_S


def _describe(run: Run, now_s: float) -> str:
    """Return job, task, run number, counts of crashes and age of a run, as text."""
    key, task = run.task.key, run.task
    return (
        f"{key.job}.{key.occurrence}.{key.step}.{key.index} run {run.number}, "
        f"{task.early_crash_count} early of {task.crash_count} crashes, "
        f"ordered {round((now_s - run.ordered_s) * 1000)} ms ago"
    )
