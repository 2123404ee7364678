"""Record the crashes of workers, and the tasks under which they happened.

The input is a worker whose incarnation has ended without having drained, with its runs.
The result is a count of crashes for each task that may have run there, and an event.
A run that was not seen to survive its start is a closer suspect than others: its task
counts the crash as an early one, too.

A lapsed lease is no crash: the worker may only have been cut off.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.workers import Worker

# A run that goes on for so long after its start is not taken for the cause of a crash.
SURVIVAL_S: t.Final = 0.5
# At most this many tasks are named in an event.
MAX_NAMED_TASKS: t.Final = 8


def has_survived_start(run: Run, worker: Worker) -> bool:
    """Return whether a worker has reported a run for long enough after its start."""
    survived_s = worker.last_report_s - run.confirmed_s
    return bool(run.confirmed_s) and survived_s >= SURVIVAL_S


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
    for run in runs:
        run.task.crash_count += 1
    for run in early:
        run.task.early_crash_count += 1
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


def list_crash_counts(cell: Cell) -> list[int]:
    """Return the crashes under each open task that had any."""
    return [
        task.crash_count
        for job in cell.jobs.values()
        for step in job.steps()
        for task in step.tasks
        if task.crash_count and not task.done
    ]


def _describe(run: Run, now_s: float) -> str:
    """Return job, task, run number, counts of crashes and age of a run, as text."""
    key, task = run.task.key, run.task
    return (
        f"{key.job}.{key.occurrence}.{key.step}.{key.index} run {run.number}, "
        f"{task.early_crash_count} early of {task.crash_count} crashes, "
        f"ordered {round((now_s - run.ordered_s) * 1000)} ms ago"
    )
