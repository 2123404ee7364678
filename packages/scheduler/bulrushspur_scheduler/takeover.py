"""Begin a term: rebuild the cell from the store, and learn what runs where."""

import typing as t

import msgspec

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Job, make_occurrence
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.records import (
    ACCEPTED_PREFIX,
    PROGRESS_PREFIX,
    apply_progress,
    decode_finished,
    decode_job,
)

# Runs of a recovered task are numbered from here on, above those of earlier terms.
RUNS_A_TERM: t.Final = 64


def recover(cell: Cell, stored: dict[str, bytes], now_s: float, unix_s: float) -> None:
    """Rebuild jobs from what is stored by key."""
    for key, data in stored.items():
        if not key.startswith(PROGRESS_PREFIX):
            continue
        job_id = key[len(PROGRESS_PREFIX) :]
        if ACCEPTED_PREFIX + job_id in stored:
            continue
        finished = decode_finished(data)
        if finished is not None:
            finished.at_s = now_s
            cell.finished[job_id] = finished
    for key, data in stored.items():
        if key.startswith(ACCEPTED_PREFIX):
            _recover_job(cell, key[len(ACCEPTED_PREFIX) :], data, stored, now_s, unix_s)


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
        job.run_floor = cell.fence * RUNS_A_TERM
        if not job.repeats:
            make_occurrence(job, 0)
        progress = stored.get(PROGRESS_PREFIX + job_id)
        finished = apply_progress(job, progress) if progress is not None else None
    except msgspec.DecodeError as exc:
        cell.log("record_unreadable", job_id, reason=str(exc))
        return
    if finished is not None:
        finished.at_s = now_s
        cell.finished[job_id] = finished
        return
    _mark_unaccounted(cell, job)
    add_job(cell, job, now_s, unix_s)


def _mark_unaccounted(cell: Cell, job: Job) -> None:
    for step in job.steps():
        for task in step.tasks:
            task.unaccounted = not task.done


def settle(cell: Cell, confirmed_s: float) -> bool:
    """Free recovered tasks once no worker can run them unseen; tell when done.

    ``confirmed_s`` is when the store was last asked and knew of no later term.
    """
    if cell.settled:
        return True
    silent = bool(cell.dark) or any(
        not one.reached and one.listed and not one.lease_over(confirmed_s)
        for one in cell.workers.values()
    )
    if silent and confirmed_s < cell.settle_at_s:
        return False
    cell.settled = True
    freed = 0
    for job in cell.jobs.values():
        for step in job.steps():
            for task in step.tasks:
                if task.unaccounted:
                    task.unaccounted = False
                    freed += 1
            if step.ready and not step.done:
                cell.waiting_steps[step.key] = step
    cell.log("settled", tasks=freed, dark=len(cell.dark))
    cell.dark.clear()
    return True
