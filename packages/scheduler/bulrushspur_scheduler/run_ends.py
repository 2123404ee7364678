"""Apply the ends of runs that a worker reports.

The input is an end, each one once. The result is that its run is released, and that its
outcome is recorded for the task, its job and the worker.
"""

import dataclasses

from bulrushspur_scheduler import health
from bulrushspur_scheduler.attempts import COUNTED_OUTCOMES, record_failed_run
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.failed_runs import FailedRun
from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.job_states import RunOutcome
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.orphans import remove_orphan
from bulrushspur_scheduler.progress import (
    mark_task_done,
    requeue_step,
    stop_other_runs,
)
from bulrushspur_scheduler.runs import GANG_BROKEN, release_run, stop_step
from bulrushspur_scheduler.takeover import (
    find_reported_task,
    unreconcile_dependents,
)
from bulrushspur_scheduler.workers import Worker


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """A reported end; ``sequence`` numbers the ends of one worker incarnation."""

    sequence: int
    key: TaskKey
    number: int
    outcome: RunOutcome
    checkpoint: str


def apply_end(cell: Cell, worker: Worker, end: RunEnd, now_s: float) -> None:
    """Release an ended run, and record its outcome for its task and its worker."""
    run = worker.runs.get((end.key, end.number))
    if run is not None:
        if end.checkpoint and run.task.step.spec.checkpointing:
            run.checkpoint = end.checkpoint
        release_run(cell, run)
    remove_orphan(cell, worker, (end.key, end.number))
    task = find_reported_task(cell, end.key)
    if task is None:
        return
    task.last_run_number = max(task.last_run_number, end.number)
    if not task.may_be_own_run(worker.id, end.number):
        _log_foreign_end(cell, worker, end)
        return
    cell.log(
        "end",
        end.key.job,
        task=end.key.path,
        run=end.number,
        worker=worker.id,
        how=end.outcome.value,
        ran_ms=round((now_s - run.confirmed_s) * 1000) if run else None,
    )
    if end.outcome is RunOutcome.DONE and not task.step.spec.long_running:
        if run is not None:
            health.record_success(cell, worker, run, now_s)
        else:
            unreconcile_dependents(cell, task.step)
        mark_task_done(cell, task, now_s)
        stop_other_runs(cell, task, end.number)
        return
    if end.outcome in COUNTED_OUTCOMES:
        task.failed_worker_ids.add(worker.id)
        health.record_failure(cell, worker, run, now_s)
        if not task.done:
            failed = _make_failed_run(cell, worker, end)
            record_failed_run(cell, task, failed, now_s)
    if end.checkpoint and task.step.spec.checkpointing and not task.done:
        task.checkpoint = end.checkpoint
    if task.done:
        return
    if run is not None and run.adopted and not cell.reconciled:
        # A worker that has not reported yet may have an earlier end of the task.
        task.unreconciled = True
    if task.step.spec.gang:
        _stop_broken_gang(cell, task.step, end.number)
    requeue_step(cell, task.step)


def _log_foreign_end(cell: Cell, worker: Worker, end: RunEnd) -> None:
    cell.log(
        "foreign_end",
        end.key.job,
        task=end.key.path,
        run=end.number,
        worker=worker.id,
        how=end.outcome.value,
    )


def _make_failed_run(cell: Cell, worker: Worker, end: RunEnd) -> FailedRun:
    return FailedRun(
        end.number, worker.id, worker.incarnation_start_ms, cell.fencing_token
    )


def _stop_broken_gang(cell: Cell, step: Step, number: int) -> None:
    """Stop the remaining members of a gang run after one member has ended."""
    if any(run.number == number for run in step.runs()):
        stop_step(cell, step, GANG_BROKEN)
