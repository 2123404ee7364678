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
    add_failed_run,
    replace_failed_run,
)
from bulrushspur_scheduler.job_states import FailureReason, RunOutcome
from bulrushspur_scheduler.jobs import Job, Task
from bulrushspur_scheduler.progress import fail_job
from bulrushspur_scheduler.queue_changes import apply_queue
from bulrushspur_scheduler.verdicts import make_verdict

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
        for task in step.tasks:
            if _has_used_attempts(cell, task):
                _fail_job_for(cell, task, now_s)
                return


def record_failed_run(cell: Cell, task: Task, run: FailedRun, now_s: float) -> None:
    """Count a failed run against the attempts of its task, or of its gang as a whole.

    The job fails when the attempts are used up.
    """
    job = task.step.job
    runs = task.counted_runs
    add = replace_failed_run if task.step.spec.long_running else add_failed_run
    if add(runs, run):
        job.unstored_failed_runs.append(run)
    cell.dirty_jobs.add(job.id)
    if _has_used_attempts(cell, task):
        _fail_job_for(cell, task, now_s)


def _fail_job_for(cell: Cell, task: Task, now_s: float) -> None:
    """Let a job fail because of a task, or of its gang."""
    verdict = make_verdict(task, cell.fencing_token)
    fail_job(cell, task.step.job, FailureReason.ATTEMPTS, now_s, verdict)


def _has_used_attempts(cell: Cell, task: Task) -> bool:
    job = task.step.job
    if task.done or task.step.spec.long_running or job.id not in cell.jobs:
        return False
    max_attempts = cell.max_attempts(job)
    if max_attempts is None:
        return False
    return len(task.counted_runs) >= max_attempts
