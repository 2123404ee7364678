"""How jobs move on: steps become ready, tasks end, jobs reach a final state."""

import math

from bulrushspur_scheduler.cell import Cell, FinishedJob
from bulrushspur_scheduler.estimates import predict_duration
from bulrushspur_scheduler.jobs import (
    Job,
    JobState,
    Occurrence,
    Step,
    Task,
    critical_path_s,
    make_occurrence,
)
from bulrushspur_scheduler.runs import stop_run

MAX_OCCURRENCE_LEAD_S = 0.05


def add_job(cell: Cell, job: Job, now_s: float, unix_s: float) -> None:
    """Take a stored job into the cell."""
    cell.jobs[job.id] = job
    set_objective(cell, job)
    if job.is_repeating:
        start_due_occurrences(cell, job, now_s, unix_s)
        return
    occurrence = job.occurrences.get(0) or make_occurrence(job, 0)
    mark_ready_steps(cell, occurrence, now_s)
    if not job.spec.steps:
        finish_job(cell, job, JobState.COMPLETED, now_s)


def set_objective(cell: Cell, job: Job) -> None:
    """Compute until when a job should be done, and how urgent it is."""
    queue = cell.queue_of(job)
    if queue is None:
        return
    chain_s = critical_path_s(
        job.spec.steps,
        lambda spec: predict_duration(cell, job.queue, spec.estimate_s)[0],
    )
    job.objective_s = queue.stretch * chain_s + queue.target_latency_s
    job.priority = queue.priority


def start_due_occurrences(cell: Cell, job: Job, now_s: float, unix_s: float) -> None:
    """Open the occurrences of a repeated job whose time has come."""
    spec = job.spec
    late_s = unix_s - spec.start_at_s
    if late_s < -MAX_OCCURRENCE_LEAD_S:
        return
    upto = spec.repeat_count - 1
    if spec.interval_s > 0:
        upto = min(upto, math.floor((late_s + MAX_OCCURRENCE_LEAD_S) / spec.interval_s))
    for number in range(upto + 1):
        known = job.occurrences.get(number)
        if number in job.completed_occurrences:
            continue
        if known is None:
            known = make_occurrence(job, number)
        if not known.started:
            mark_ready_steps(cell, known, now_s)


def mark_ready_steps(cell: Cell, occurrence: Occurrence, now_s: float) -> None:
    """Make those steps ready whose earlier steps are done."""
    occurrence.started = True
    for step in occurrence.steps:
        if step.ready or step.done:
            continue
        if all(occurrence.steps[i].done for i in step.spec.depends_on):
            step.ready = True
            step.ready_s = now_s
            cell.waiting_steps[step.key] = step


def requeue_step(cell: Cell, step: Step) -> None:
    """Put a step back among those with tasks to start."""
    job = step.job
    if step.ready and not step.done and cell.jobs.get(job.id) is job:
        cell.waiting_steps[step.key] = step


def mark_job_running(cell: Cell, job: Job) -> None:
    """Show a job as running once one of its tasks has started."""
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING


def mark_task_done(cell: Cell, task: Task, now_s: float) -> None:
    """Note that a task has ended well; one end of a gang counts for all of it."""
    step = task.step
    tasks = step.tasks if step.spec.gang else [task]
    for one in tasks:
        if one.done:
            continue
        one.done = True
        one.unreconciled = False
        step.done_count += 1
        for run in list(one.runs):
            if one is not task and not step.spec.gang:
                stop_run(cell, run, "done elsewhere")
    for run in list(task.runs):
        if step.spec.speculative and not step.spec.gang:
            stop_run(cell, run, "done elsewhere")
    mark_job_running(cell, step.job)
    cell.dirty_jobs.add(step.job.id)
    if step.done:
        cell.waiting_steps.pop(step.key, None)
        _step_done(cell, step, now_s)


def _step_done(cell: Cell, step: Step, now_s: float) -> None:
    job = step.job
    occurrence = job.occurrences[step.key.occurrence]
    if not occurrence.done:
        mark_ready_steps(cell, occurrence, now_s)
        return
    job.completed_occurrences.add(occurrence.number)
    if len(job.completed_occurrences) >= max(job.spec.repeat_count, 1):
        finish_job(cell, job, JobState.COMPLETED, now_s)


def finish_job(cell: Cell, job: Job, state: JobState, now_s: float) -> None:
    """Bring a job to its final state and stop what still runs."""
    if job.id not in cell.jobs:
        return
    job.state = state
    for step in job.steps():
        cell.waiting_steps.pop(step.key, None)
        for task in step.tasks:
            for run in list(task.runs):
                if not task.done:
                    stop_run(cell, run, state.value)
    del cell.jobs[job.id]
    cell.finished_jobs[job.id] = FinishedJob(state, job.account, job.queue, now_s)
    cell.dirty_jobs.add(job.id)
    cell.log(
        "finish",
        job.id,
        state=state.value,
        took_ms=round((now_s - job.accepted_s) * 1000),
        objective_ms=round(job.objective_s * 1000),
        queue=job.queue,
        account=job.account,
    )


def record_failed_run(cell: Cell, task: Task, number: int, now_s: float) -> None:
    """Count a failed run against the attempts of its task or gang."""
    step = task.step
    failed = step.failed_run_numbers if step.spec.gang else task.failed_run_numbers
    failed.add(number)
    job = step.job
    cell.dirty_jobs.add(job.id)
    if step.spec.long_running or job.id not in cell.jobs:
        return
    if len(failed) >= cell.max_attempts(job):
        finish_job(cell, job, JobState.FAILED, now_s)


def purge_finished_jobs(cell: Cell, now_s: float) -> list[str]:
    """Drop final states that were told for long enough; return their ids."""
    keep_s = cell.timing_limits.status_retention_s * 1.5
    old = [
        key
        for key, one in cell.finished_jobs.items()
        if now_s - one.finished_s > keep_s
    ]
    for key in old:
        del cell.finished_jobs[key]
    return old
