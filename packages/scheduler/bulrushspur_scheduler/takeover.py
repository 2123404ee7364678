"""Begin a term: rebuild the cell from the store, and learn what runs where."""

import typing as t

import msgspec

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Job, make_occurrence
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.records import (
    JOB_KEY_PREFIX,
    PROGRESS_KEY_PREFIX,
    apply_progress,
    decode_finished,
    decode_job,
)

# Runs of a recovered task are numbered from here on, above those of earlier terms.
RUN_NUMBERS_PER_TERM: t.Final = 64


def recover_jobs(
    cell: Cell, stored: dict[str, bytes], now_s: float, unix_s: float
) -> None:
    """Rebuild jobs from what is stored by key."""
    for key, data in stored.items():
        if not key.startswith(PROGRESS_KEY_PREFIX):
            continue
        job_id = key[len(PROGRESS_KEY_PREFIX) :]
        if JOB_KEY_PREFIX + job_id in stored:
            continue
        finished = decode_finished(data)
        if finished is not None:
            finished.finished_s = now_s
            cell.finished_jobs[job_id] = finished
    for key, data in stored.items():
        if key.startswith(JOB_KEY_PREFIX):
            _recover_job(cell, key[len(JOB_KEY_PREFIX) :], data, stored, now_s, unix_s)


def _recover_job(
    cell: Cell,
    job_id: str,
    data: bytes,
    stored: dict[str, bytes],
    now_s: float,
    unix_s: float,
) -> None:
    try:
        job = decode_job(job_id, data, now_s, unix_s)
        job.run_number_base = cell.fencing_token * RUN_NUMBERS_PER_TERM
        if not job.is_repeating:
            make_occurrence(job, 0)
        progress = stored.get(PROGRESS_KEY_PREFIX + job_id)
        finished = apply_progress(job, progress) if progress is not None else None
    except msgspec.DecodeError as exc:
        cell.log("record_unreadable", job_id, reason=str(exc))
        return
    if finished is not None:
        finished.finished_s = now_s
        cell.finished_jobs[job_id] = finished
        return
    _mark_unaccounted(cell, job)
    add_job(cell, job, now_s, unix_s)


def _mark_unaccounted(cell: Cell, job: Job) -> None:
    for step in job.steps():
        for task in step.tasks:
            task.unreconciled = not task.done


def reconcile(cell: Cell, confirmed_s: float) -> bool:
    """Free recovered tasks once no worker can run them unseen; tell when done.

    ``confirmed_s`` is when the store was last asked and knew of no later term.
    """
    if cell.reconciled:
        return True
    silent = bool(cell.unobserved_workers) or any(
        not one.has_reported and one.listed and not one.is_lease_expired(confirmed_s)
        for one in cell.workers.values()
    )
    if silent and confirmed_s < cell.reconcile_by_s:
        return False
    cell.reconciled = True
    freed = 0
    for job in cell.jobs.values():
        for step in job.steps():
            for task in step.tasks:
                if task.unreconciled:
                    task.unreconciled = False
                    freed += 1
            if step.ready and not step.done:
                cell.waiting_steps[step.key] = step
    cell.log("settled", tasks=freed, dark=len(cell.unobserved_workers))
    cell.unobserved_workers.clear()
    return True
