"""Count failed runs against the attempts that were promised at acceptance.

The input is a failed run of a task. The result is the job's verdict: it fails once a
task, or a gang as a whole, has failed as often as its queue allowed when the job was
accepted. Nothing else that ends counts, and steps that last have no limit. While it is
unknown what was promised there is no verdict.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.failed_runs import (
    FailedRun,
    FailedRuns,
    add_failed_run,
    replace_failed_run,
)
from bulrushspur_scheduler.jobs import FailureReason, Job, RunOutcome, Task
from bulrushspur_scheduler.progress import fail_job
from bulrushspur_scheduler.queue_changes import apply_queue

# Ends that count as attempts; a run that was stopped, lapsed or broken is none.
COUNTED_OUTCOMES: t.Final = frozenset({RunOutcome.FAILED})


def follow_configuration(cell: Cell, now_s: float) -> None:
    """Let all jobs follow the configuration in force, and judge those it tells about.

    These were accepted by an older version, and their attempts were unknown so far.
    """
    for job in list(cell.jobs.values()):
        was_unknown = job.accepted_queue is None
        apply_queue(cell, job)
        if was_unknown and job.accepted_queue is not None:
            judge_job(cell, job, now_s)


def judge_job(cell: Cell, job: Job, now_s: float) -> None:
    """Let a job fail if one of its tasks, or gangs, has used up its attempts."""
    for step in job.steps():
        if any(_has_used_attempts(cell, job, task) for task in step.tasks):
            fail_job(cell, job, FailureReason.ATTEMPTS, now_s)
            return


def record_failed_run(cell: Cell, task: Task, run: FailedRun, now_s: float) -> None:
    """Count a failed run against the attempts of its task, or of its gang as a whole.

    The job fails when the attempts are used up.
    """
    job = task.step.job
    runs = _counted_runs_of(task)
    add = replace_failed_run if task.step.spec.long_running else add_failed_run
    if add(runs, run):
        job.unstored_failed_runs.append(run)
    cell.dirty_jobs.add(job.id)
    if _has_used_attempts(cell, job, task):
        fail_job(cell, job, FailureReason.ATTEMPTS, now_s)


def _counted_runs_of(task: Task) -> FailedRuns:
    """Return the failed runs that count for a task: those of its gang, or its own."""
    return task.step.failed_runs if task.step.spec.gang else task.failed_runs


def _has_used_attempts(cell: Cell, job: Job, task: Task) -> bool:
    if task.step.spec.long_running or job.id not in cell.jobs:
        return False
    max_attempts = cell.max_attempts(job)
    if max_attempts is None:
        return False
    return len(_counted_runs_of(task)) >= max_attempts
