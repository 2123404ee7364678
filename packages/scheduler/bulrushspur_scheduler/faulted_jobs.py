"""Set aside jobs whose steps can't be planned because of an error.

Such a job stays accepted: its steps wait, and are planned again after pauses that grow.
All other jobs are planned meanwhile: an error that ended the term would end the next
one, too.
"""

import contextlib
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Job, Step
from bulrushspur_scheduler.progress import requeue_step

# The pause doubles with each fault, up to the limit.
MIN_FAULT_PAUSE_S: t.Final = 2.0
MAX_FAULT_PAUSE_S: t.Final = 60.0
MAX_DOUBLINGS: t.Final = 5


def set_aside_job(cell: Cell, job: Job, exc: Exception, now_s: float) -> None:
    """Keep a job from planning for a while; further steps count as the same fault."""
    if job.id in cell.faulted_jobs:
        return
    pause_s = MIN_FAULT_PAUSE_S * 2.0 ** min(job.fault_count, MAX_DOUBLINGS)
    pause_s = min(pause_s, MAX_FAULT_PAUSE_S)
    job.fault_count += 1
    cell.faulted_jobs[job.id] = now_s + pause_s
    cell.log(
        "step_fault",
        job.id,
        reason=repr(exc),
        faults=job.fault_count,
        pause_ms=round(pause_s * 1000),
    )
    _withdraw_steps(cell, job)


@contextlib.contextmanager
def set_aside_on_error(cell: Cell, step: Step, now_s: float) -> t.Iterator[None]:
    """Set the job of a step aside if its advice cannot be kept."""
    try:
        yield
    except Exception as exc:
        set_aside_job(cell, step.job, exc, now_s)


def _withdraw_steps(cell: Cell, job: Job) -> None:
    for step in job.steps():
        cell.waiting_steps.pop(step.key, None)


def requeue_faulted_jobs(cell: Cell, now_s: float) -> None:
    """Plan the jobs again whose pause is over, and leave the others alone."""
    for job_id, due_s in list(cell.faulted_jobs.items()):
        job = cell.jobs.get(job_id)
        if job is None:
            del cell.faulted_jobs[job_id]
        elif due_s > now_s:
            # The end of a run may have returned a step to the planner.
            _withdraw_steps(cell, job)
        else:
            del cell.faulted_jobs[job_id]
            for step in job.steps():
                requeue_step(cell, step)
