"""How jobs move on: steps become ready, tasks end, jobs reach a final state."""

import math

from bulrushspur_scheduler.cell import Cell, Finished
from bulrushspur_scheduler.estimates import predict
from bulrushspur_scheduler.jobs import (
    Job,
    JobState,
    Occurrence,
    StepRun,
    Task,
    longest_chain_s,
    make_occurrence,
)
from bulrushspur_scheduler.runs import stop_run

OCCURRENCE_AHEAD_S = 0.05


def add_job(cell: Cell, job: Job, now_s: float, unix_s: float) -> None:
    """Take a stored job into the cell."""
    cell.jobs[job.id] = job
    set_objective(cell, job)
    if job.repeats:
        open_due_occurrences(cell, job, now_s, unix_s)
        return
    occurrence = job.occurrences.get(0) or make_occurrence(job, 0)
    open_steps(cell, occurrence, now_s)
    if not job.spec.steps:
        finish_job(cell, job, JobState.COMPLETED, now_s)


def set_objective(cell: Cell, job: Job) -> None:
    """Compute until when a job should be done, and how urgent it is."""
    queue = cell.queue_of(job)
    if queue is None:
        return
    chain_s = longest_chain_s(
        job.spec.steps, lambda spec: predict(cell, job.queue, spec.estimate_s)[0]
    )
    job.objective_s = queue.stretch * chain_s + queue.target_latency_s
    job.priority = queue.priority


def open_due_occurrences(cell: Cell, job: Job, now_s: float, unix_s: float) -> None:
    """Open the occurrences of a repeated job whose time has come."""
    spec = job.spec
    late_s = unix_s - spec.start_at_s
    if late_s < -OCCURRENCE_AHEAD_S:
        return
    upto = spec.repeat_count - 1
    if spec.interval_s > 0:
        upto = min(upto, math.floor((late_s + OCCURRENCE_AHEAD_S) / spec.interval_s))
    for number in range(upto + 1):
        known = job.occurrences.get(number)
        if number in job.completed_occurrences:
            continue
        if known is None:
            known = make_occurrence(job, number)
        if not known.begun:
            open_steps(cell, known, now_s)


def open_steps(cell: Cell, occurrence: Occurrence, now_s: float) -> None:
    """Make those steps ready whose earlier steps are done."""
    occurrence.begun = True
    for step in occurrence.steps:
        if step.ready or step.done:
            continue
        if all(occurrence.steps[i].done for i in step.spec.depends_on):
            step.ready = True
            step.ready_s = now_s
            cell.waiting_steps[step.key] = step


def note_waiting(cell: Cell, step: StepRun) -> None:
    """Put a step back among those with tasks to start."""
    job = step.job
    if step.ready and not step.done and cell.jobs.get(job.id) is job:
        cell.waiting_steps[step.key] = step


def note_started(cell: Cell, job: Job) -> None:
    """Show a job as running once one of its tasks has started."""
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING


def mark_done(cell: Cell, task: Task, now_s: float) -> None:
    """Note that a task has ended well; one end of a gang counts for all of it."""
    step = task.step
    tasks = step.tasks if step.spec.gang else [task]
    for one in tasks:
        if one.done:
            continue
        one.done = True
        one.unaccounted = False
        step.done_count += 1
        for run in list(one.runs):
            if one is not task and not step.spec.gang:
                stop_run(cell, run, "done elsewhere")
    for run in list(task.runs):
        if step.spec.speculative and not step.spec.gang:
            stop_run(cell, run, "done elsewhere")
    note_started(cell, step.job)
    cell.dirty.add(step.job.id)
    if step.done:
        cell.waiting_steps.pop(step.key, None)
        _step_done(cell, step, now_s)


def _step_done(cell: Cell, step: StepRun, now_s: float) -> None:
    job = step.job
    occurrence = job.occurrences[step.key.occurrence]
    if not occurrence.done:
        open_steps(cell, occurrence, now_s)
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
    cell.finished[job.id] = Finished(state, job.account, job.queue, now_s)
    cell.dirty.add(job.id)
    cell.log(
        "finish",
        job.id,
        state=state.value,
        took_ms=round((now_s - job.accepted_s) * 1000),
        objective_ms=round(job.objective_s * 1000),
        queue=job.queue,
        account=job.account,
    )


def fail_attempt(cell: Cell, task: Task, number: int, now_s: float) -> None:
    """Count a failed run against the attempts of its task or gang."""
    step = task.step
    failed = step.failed_runs if step.spec.gang else task.failed_runs
    failed.add(number)
    job = step.job
    cell.dirty.add(job.id)
    if step.spec.long_running or job.id not in cell.jobs:
        return
    if len(failed) >= cell.max_attempts(job):
        finish_job(cell, job, JobState.FAILED, now_s)


def forget_finished(cell: Cell, now_s: float) -> list[str]:
    """Drop final states that were told for long enough; return their ids."""
    keep_s = cell.bounds.status_s * 1.5
    old = [key for key, one in cell.finished.items() if now_s - one.at_s > keep_s]
    for key in old:
        del cell.finished[key]
    return old
