"""Rebuild the cell at the start of a term, and reconcile it with what runs on workers.

The input is the stored records, and later the reports of the workers. The result is the
recovered jobs, whose tasks may have runs of earlier terms. They are not started again
until each worker that may run them has reported, was declared lost or has an expired
lease, or until the longest lease of an earlier term has expired (``reconcile_by_s``).
"""

import typing as t

from bulrushspur_scheduler.attempts import judge_job
from bulrushspur_scheduler.cell import Cell, FinishedJob
from bulrushspur_scheduler.early_cancels import (
    EARLY_CANCEL_KEY_PREFIX,
    recover_early_cancels,
)
from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.jobs import Job, Step, Task, make_occurrence
from bulrushspur_scheduler.progress import add_job, requeue_step
from bulrushspur_scheduler.progress_records import (
    PROGRESS_KEY_PREFIX,
    apply_progress,
    decode_finished,
)
from bulrushspur_scheduler.records import JOB_KEY_PREFIX, decode_job
from bulrushspur_scheduler.suspects import restore_suspects

# Run numbers of a task in a term. Those of the next term start above them, and above
# those of all runs that are stored as failed.
RUN_NUMBERS_PER_TERM: t.Final = 2**16


def recover_jobs(
    cell: Cell, stored: dict[str, bytes], now_s: float, unix_s: float
) -> None:
    """Rebuild jobs and final states from the stored records, given by key."""
    for _ in iter_recovery(cell, stored, now_s, unix_s):
        pass


def iter_recovery(
    cell: Cell, stored: dict[str, bytes], now_s: float, unix_s: float
) -> t.Iterator[None]:
    """Rebuild jobs and final states; yield after each record.

    The caller may do other work between two records, but not change the jobs of the
    cell. A record that can't be used is logged and skipped, whatever the fault: the
    next leader would fail with it, too.
    """
    _recover_early_cancels(cell, stored, now_s, unix_s)
    for key, data in stored.items():
        # All prefixes have one letter.
        job_id = key[1:]
        try:
            if key.startswith(JOB_KEY_PREFIX):
                finished = _recover_job(cell, job_id, data, stored, now_s, unix_s)
            elif key.startswith(PROGRESS_KEY_PREFIX):
                finished = _recover_final_state(job_id, data, stored)
            else:
                continue
        except Exception as exc:
            cell.log("record_unreadable", job_id, reason=repr(exc))
            set_aside_unreadable_job(cell, job_id)
            continue
        if finished is not None:
            finished.finished_s = now_s
            cell.finished_jobs[job_id] = finished
        yield


def _recover_early_cancels(
    cell: Cell, stored: dict[str, bytes], now_s: float, unix_s: float
) -> None:
    records = {
        key[1:]: data
        for key, data in stored.items()
        if key.startswith(EARLY_CANCEL_KEY_PREFIX)
    }
    recover_early_cancels(cell, records, now_s, unix_s)


def set_aside_unreadable_job(cell: Cell, job_id: str) -> None:
    """Remove a job whose records can't be used, and remember that it was accepted."""
    cell.unreadable_jobs.add(job_id)
    if cell.jobs.pop(job_id, None) is not None:
        for key in [key for key in cell.waiting_steps if key.job == job_id]:
            del cell.waiting_steps[key]


def _recover_final_state(
    job_id: str, data: bytes, stored: dict[str, bytes]
) -> FinishedJob | None:
    """Return the final state of a job whose job record was removed."""
    if JOB_KEY_PREFIX + job_id in stored:
        return None
    return decode_finished(data)


def _recover_job(
    cell: Cell,
    job_id: str,
    data: bytes,
    stored: dict[str, bytes],
    now_s: float,
    unix_s: float,
) -> FinishedJob | None:
    """Add a job to the cell, or return its final state if it has one."""
    job = decode_job(job_id, data, now_s, unix_s)
    job.is_recovered = True
    cell.reconciled = False
    job.run_number_base = cell.fencing_token * RUN_NUMBERS_PER_TERM
    if not job.is_repeating:
        make_occurrence(job, 0)
    progress = stored.get(PROGRESS_KEY_PREFIX + job_id)
    finished = apply_progress(job, progress) if progress is not None else None
    if finished is None:
        _mark_unreconciled(cell, job)
        add_job(cell, job, now_s, unix_s)
        restore_suspects(cell, job, now_s)
        judge_job(cell, job, now_s)
    return finished


def _mark_unreconciled(cell: Cell, job: Job) -> None:
    """Mark the unfinished tasks of a job as possibly running on an unknown worker."""
    for step in job.steps():
        for task in step.tasks:
            task.unreconciled = not task.done


def find_reported_task(cell: Cell, key: TaskKey) -> Task | None:
    """Return the task of a run that a worker reports, or None.

    An earlier term may have made an occurrence of a repeating job that this term has
    not made yet, by its own clock or because it knew of others that are done. Such an
    occurrence is made here; it starts when it is due.
    """
    task = cell.find_task(key)
    job = cell.jobs.get(key.job)
    if task is not None or job is None or not job.is_recovered:
        return task
    is_made = key.occurrence in job.occurrences
    if (
        job.spec.has_task(key)
        and not is_made
        and key.occurrence not in job.completed_occurrences
    ):
        make_occurrence(job, key.occurrence, unreconciled=not cell.reconciled)
    return cell.find_task(key)


def reconcile_dependents(step: Step) -> None:
    """Allow the steps that depend on a step with a running task to start.

    No earlier leader can have started them, since this task has not ended. The step
    must not be a gang: one end represents all members, and others may be listed still.
    """
    for other in _list_dependents(step):
        if not all(task.unreconciled for task in other.tasks):
            continue
        for task in other.tasks:
            task.unreconciled = False
        reconcile_dependents(other)


def unreconcile_dependents(cell: Cell, step: Step) -> None:
    """Let the steps that depend on a step wait for the workers' reports again.

    A task of the step that was taken for unfinished, by a run that goes on, has ended
    as another run: an earlier leader may have started them.
    """
    if cell.reconciled:
        return
    # Each step once: there are far more ways through the steps than steps.
    found, remaining = {step.key}, [step]
    while remaining:
        for other in _list_dependents(remaining.pop()):
            if other.key in found:
                continue
            found.add(other.key)
            remaining.append(other)
            for task in other.tasks:
                task.unreconciled = not task.done and not task.runs


def _list_dependents(step: Step) -> t.Iterator[Step]:
    """Yield the steps of the same occurrence that depend directly on a step."""
    for other in step.job.occurrences[step.key.occurrence].steps:
        if step.key.step in other.spec.depends_on:
            yield other


def reconcile(cell: Cell, confirmed_s: float) -> bool:
    """Allow recovered tasks to start once no worker can run them unobserved.

    Return whether that is the case. ``confirmed_s`` is the send time of the last store
    request that showed no later term, on the monotonic clock.
    """
    _confirm_losses(cell, confirmed_s)
    if cell.reconciled:
        return True
    may_run_unobserved = bool(cell.unobserved_workers) or any(
        not worker.has_reported
        and worker.listed
        and not worker.is_lease_expired(confirmed_s)
        for worker in cell.workers.values()
    )
    if may_run_unobserved and confirmed_s < cell.reconcile_by_s:
        return False
    if confirmed_s < cell.worker_end_seen_s:
        # Before its end the worker may have reported to a later term.
        return False
    cell.reconciled = True
    released_count = 0
    unconfirmed = {task.key for _, task in cell.unconfirmed_losses}
    for job in cell.jobs.values():
        for step in job.steps():
            for task in step.tasks:
                if task.unreconciled and task.key not in unconfirmed:
                    task.unreconciled = False
                    released_count += 1
            if step.ready and not step.done:
                cell.waiting_steps[step.key] = step
    cell.log("settled", tasks=released_count, dark=len(cell.unobserved_workers))
    cell.unobserved_workers.clear()
    cell.finished_unobserved_usage.clear()
    return True


def _confirm_losses(cell: Cell, confirmed_s: float) -> None:
    """Allow tasks to start again whose run was lost before ``confirmed_s``."""
    while cell.unconfirmed_losses and cell.unconfirmed_losses[0][0] <= confirmed_s:
        _, task = cell.unconfirmed_losses.pop(0)
        if any(other is task for _, other in cell.unconfirmed_losses):
            # It was lost once more since.
            continue
        task.unreconciled = False
        requeue_step(cell, task.step)
