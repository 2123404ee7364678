"""Advance jobs: mark steps ready and tasks done, and bring jobs to a final state.

The input is a stored job, or the end of one of its runs. The result is the job's state,
the steps that wait for the planner, and stop orders for runs that are not needed. A
step becomes ready once all steps that it depends on are done. A job completes when
all its occurrences are done, and fails when a task or gang has used up its attempts. A
job whose progress has to be stored is marked dirty.
"""

import math
import typing as t

from bulrushspur_scheduler.cell import Cell, FinishedJob
from bulrushspur_scheduler.content_digests import digest_content
from bulrushspur_scheduler.job_bounds import max_open_occurrences
from bulrushspur_scheduler.job_states import FailureReason, JobState
from bulrushspur_scheduler.jobs import Job, Occurrence, Step, Task, make_occurrence
from bulrushspur_scheduler.queue_changes import apply_queue
from bulrushspur_scheduler.runs import stop_run
from bulrushspur_scheduler.unobserved_usage import keep_usage_of_finished_job
from bulrushspur_scheduler.verdicts import Verdict, describe_failure

MAX_OCCURRENCE_LEAD_S = 0.05


def add_job(cell: Cell, job: Job, now_s: float, unix_s: float) -> None:
    """Add a stored job to the cell, and make the steps ready that can start."""
    cell.jobs[job.id] = job
    apply_queue(cell, job)
    if job.has_moved:
        cell.dirty_jobs.add(job.id)
    if job.is_repeating:
        start_due_occurrences(cell, job, now_s, unix_s)
        return
    occurrence = job.occurrences.get(0) or make_occurrence(job, 0)
    mark_ready_steps(cell, occurrence, now_s)
    if not job.spec.steps:
        finish_job(cell, job, JobState.COMPLETED, now_s)


def start_all_due_occurrences(cell: Cell, now_s: float, unix_s: float) -> None:
    """Start the due occurrences of all repeating jobs."""
    for job in cell.jobs.values():
        if job.is_repeating:
            start_due_occurrences(cell, job, now_s, unix_s)


def count_waiting_jobs(cell: Cell) -> dict[str, int]:
    """Count by queue the jobs of which no task has started, without repeating ones."""
    counts: dict[str, int] = {}
    for job in cell.jobs.values():
        if job.state is JobState.QUEUED and not job.is_repeating:
            counts[job.queue] = counts.get(job.queue, 0) + 1
    return counts


def start_due_occurrences(cell: Cell, job: Job, now_s: float, unix_s: float) -> None:
    """Start the due occurrences of a repeating job that have not started yet.

    While too many are open, further ones wait until others are done.
    """
    spec = job.spec
    elapsed_s = unix_s - spec.start_at_s
    if elapsed_s < -MAX_OCCURRENCE_LEAD_S:
        return
    last_due = spec.repeat_count - 1
    if spec.interval_s > 0:
        last_due = min(
            last_due, math.floor((elapsed_s + MAX_OCCURRENCE_LEAD_S) / spec.interval_s)
        )
    for occurrence in job.occurrences.values():
        # Those that were recovered have not started in this term.
        if not occurrence.started and occurrence.number <= last_due:
            mark_ready_steps(cell, occurrence, now_s)
    max_open = max_open_occurrences(spec)
    while job.next_occurrence <= last_due and len(job.occurrences) < max_open:
        number = job.next_occurrence
        job.next_occurrence += 1
        if number not in job.occurrences and number not in job.completed_occurrences:
            # Starts are not stored: an earlier term may have started its tasks, too.
            unreconciled = job.is_recovered and not cell.reconciled
            occurrence = make_occurrence(job, number, unreconciled)
            mark_ready_steps(cell, occurrence, now_s)


def mark_ready_steps(cell: Cell, occurrence: Occurrence, now_s: float) -> None:
    """Make the steps ready whose dependencies are all done."""
    occurrence.started = True
    for step in occurrence.steps:
        if step.ready or step.done:
            continue
        if all(occurrence.steps[i].done for i in step.spec.depends_on):
            step.ready = True
            step.ready_s = now_s
            cell.waiting_steps[step.key] = step


def requeue_step(cell: Cell, step: Step) -> None:
    """Return a step to the planner if it is ready and its job has not finished."""
    job = step.job
    if step.ready and not step.done and cell.jobs.get(job.id) is job:
        cell.waiting_steps[step.key] = step


def mark_job_running(cell: Cell, job: Job) -> None:
    """Set a queued job to running, once one of its tasks has started."""
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING


def mark_task_done(cell: Cell, task: Task, now_s: float) -> None:
    """Mark a task as done.

    The successful end of one gang member completes all tasks of the gang.
    """
    step = task.step
    for done_task in _list_done_tasks(task):
        if not done_task.done:
            done_task.done = True
            done_task.unreconciled = False
            step.done_count += 1
    mark_job_running(cell, step.job)
    cell.dirty_jobs.add(step.job.id)
    if step.done:
        cell.waiting_steps.pop(step.key, None)
        _handle_step_done(cell, step, now_s)


def _list_done_tasks(task: Task) -> list[Task]:
    """List the tasks that a successful end completes."""
    return task.step.tasks if task.step.spec.gang else [task]


def stop_other_runs(cell: Cell, task: Task, number: int) -> None:
    """Stop the runs of a done task, or gang, but those of the number that is done.

    The other members of a gang run have ended with it, though not all may be reported.
    """
    for done_task in _list_done_tasks(task):
        for run in list(done_task.runs):
            if run.number != number:
                stop_run(cell, run, "done elsewhere")


def _handle_step_done(cell: Cell, step: Step, now_s: float) -> None:
    """Make dependent steps ready, or complete the job if this was its last step."""
    job = step.job
    occurrence = job.occurrences.get(step.key.occurrence)
    if occurrence is None:
        return
    if not occurrence.done:
        if occurrence.started:
            mark_ready_steps(cell, occurrence, now_s)
        return
    job.completed_occurrences.add(occurrence.number)
    if job.is_repeating:
        del job.occurrences[occurrence.number]
    if len(job.completed_occurrences) >= max(job.spec.repeat_count, 1):
        finish_job(cell, job, JobState.COMPLETED, now_s)


def fail_job(
    cell: Cell,
    job: Job,
    reason: FailureReason,
    now_s: float,
    verdict: Verdict | None = None,
) -> None:
    """Let a job fail, and stop its runs; callers are told why."""
    finish_job(cell, job, JobState.FAILED, now_s, reason.value, verdict)


def finish_job(
    cell: Cell,
    job: Job,
    state: JobState,
    now_s: float,
    reason: str = "",
    verdict: Verdict | None = None,
) -> None:
    """Move a job to a final state, and stop the runs of its unfinished tasks.

    Does nothing if the job has finished already.
    """
    if job.id not in cell.jobs:
        return
    job.state = state
    _stop_unfinished_tasks(cell, job, state.value)
    keep_usage_of_finished_job(cell, job)
    del cell.jobs[job.id]
    cell.finished_jobs[job.id] = FinishedJob(
        state,
        job.account,
        job.queue,
        now_s,
        reason,
        content_digest=digest_content(job.spec),
        verdict=verdict,
    )
    cell.dirty_jobs.add(job.id)
    _log_finish(cell, job, reason, verdict, now_s)


def _stop_unfinished_tasks(cell: Cell, job: Job, reason: str) -> None:
    for step in job.steps():
        cell.waiting_steps.pop(step.key, None)
        for task in step.tasks:
            for run in list(task.runs):
                if not task.done:
                    stop_run(cell, run, reason)


def _log_finish(
    cell: Cell, job: Job, reason: str, verdict: Verdict | None, now_s: float
) -> None:
    """Log a final state, and for one that failed what was counted."""
    failure: dict[str, t.Any] = {}
    if job.state is JobState.FAILED:
        failure = describe_failure(job, verdict, cell.fencing_token)
        failure["max_attempts"] = cell.max_attempts(job)
    cell.log(
        "finish",
        job.id,
        state=job.state.value,
        reason=reason,
        took_ms=round((now_s - job.accepted_s) * 1000),
        objective_ms=round(job.objective_s * 1000),
        path_ms=round(job.path_s * 1000),
        queue=job.queue,
        account=job.account,
        **failure,
    )


def purge_finished_jobs(cell: Cell, now_s: float) -> list[str]:
    """Remove final states after their retention; return the job ids."""
    retention_s = cell.timing_limits.final_state_retention_s
    expired_ids = [
        job_id
        for job_id, finished in cell.finished_jobs.items()
        if now_s - finished.finished_s > retention_s
    ]
    for job_id in expired_ids:
        del cell.finished_jobs[job_id]
    return expired_ids
