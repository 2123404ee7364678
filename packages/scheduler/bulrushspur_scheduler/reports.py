"""Take in what workers say: their lists of runs, and the answers to orders."""

import dataclasses
import enum
import typing as t

from bulrushspur_scheduler import health
from bulrushspur_scheduler.cell import Cell, StopOrder
from bulrushspur_scheduler.jobs import (
    Run,
    RunOutcome,
    RunState,
    Step,
    Task,
    TaskKey,
)
from bulrushspur_scheduler.leases import mark_run_lost
from bulrushspur_scheduler.progress import (
    mark_job_running,
    mark_task_done,
    record_failed_run,
    requeue_step,
)
from bulrushspur_scheduler.runs import allocate_run, release_run, stop_run, stop_step
from bulrushspur_scheduler.workers import Worker

# A worker lists at most this many ends at once; beyond, its lists are not whole.
MAX_REPORTED_ENDS: t.Final = 500
# The last order of an earlier term may have been under way until now.
PREVIOUS_TERM_LEASE_MARGIN_S: t.Final = 0.5


class StartResult(enum.Enum):
    """How a worker answered a start."""

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "old_run"
    ORDER_EXPIRED = "late"
    NO_CAPACITY = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    INCARNATION_MISMATCH = "other_life"
    INVALID = "invalid"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatus:
    """A run that a worker lists as running; ``load`` is rough."""

    key: TaskKey
    number: int
    checkpoint: str
    percent: int
    load: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """An end that a worker lists; ``position`` counts the ends of its life."""

    sequence: int
    key: TaskKey
    number: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a hold; ``sent_s`` is when the hold was sent."""

    request_sent_s: float
    clock_ms: int
    incarnation_start_ms: int
    running: list[RunStatus]
    ended: list[RunEnd]


def apply_report(
    cell: Cell, worker: Worker, report: WorkerReport, now_s: float
) -> None:
    """Take in the lists of a worker."""
    if (
        report.incarnation_start_ms
        and worker.incarnation_start_ms
        and report.incarnation_start_ms != worker.incarnation_start_ms
    ):
        handle_worker_restart(cell, worker, report)
    worker.incarnation_start_ms = (
        report.incarnation_start_ms or worker.incarnation_start_ms
    )
    worker.clock.record_reading(report.clock_ms, now_s)
    worker.last_report_s = now_s
    if not worker.has_reported:
        cell.log("worker_reached", worker=worker.id, runs=len(report.running))
        _assume_lease(cell, worker, report)
    worker.has_reported = True
    cell.unobserved_workers.discard(worker.id)
    for row in report.ended:
        if row.sequence > worker.applied_end_sequence:
            worker.applied_end_sequence = row.sequence
            _apply_end(cell, worker, row, now_s)
    listed = {(row.key, row.number): row for row in report.running}
    whole = len(report.ended) < MAX_REPORTED_ENDS
    for run in list(worker.runs.values()):
        row = listed.pop(run.key, None)
        if row is not None:
            _confirm(cell, run, row, now_s)
        elif whole:
            _check_missing(cell, run, report.request_sent_s)
    for key in [key for key in worker.orphan_runs if key not in listed]:
        worker.remove_orphan(key)
    for row in listed.values():
        _apply_unknown(cell, worker, row, now_s)


def _assume_lease(cell: Cell, worker: Worker, report: WorkerReport) -> None:
    """Count with the longest lease that an earlier term can have given."""
    lease_ms = int((cell.timing_limits.lease_s + PREVIOUS_TERM_LEASE_MARGIN_S) * 1000)
    worker.lease_until_ms = max(worker.lease_until_ms, report.clock_ms + lease_ms)


def handle_worker_restart(cell: Cell, worker: Worker, report: WorkerReport) -> None:
    """Forget the former life of a worker; orders under way may reach the new one.

    Which runs the new life has is judged by its lists, as always.
    """
    for run in worker.runs.values():
        run.stop_acknowledged_s = 0.0
        if run.state is RunState.STOPPING:
            key = run.task.key
            cell.stop_orders.append(StopOrder(worker.id, key, run.number, run))
        elif run.state is RunState.STARTING:
            run.state = RunState.UNCONFIRMED
    for key in list(worker.orphan_runs):
        worker.remove_orphan(key)
    cell.log("worker_restarted", worker=worker.id, under_way=len(worker.runs))
    worker.applied_end_sequence = 0
    worker.clock.is_known = False
    worker.has_reported = False
    # An order made for the old clock is held for the longest time there is.
    most_ms = int(cell.timing_limits.max_lease_s * 1000) if worker.runs else 0
    worker.lease_until_ms = report.clock_ms + most_ms


def _confirm(cell: Cell, run: Run, row: RunStatus, now_s: float) -> None:
    checkpointing = run.task.step.spec.checkpointing
    if checkpointing and row.checkpoint and row.checkpoint != run.checkpoint:
        run.checkpoint = row.checkpoint
        run.last_progress_s = now_s
    _note_running(cell, run, now_s)
    if run.task.done and run.state is RunState.RUNNING:
        return
    if run.task.step.job.id not in cell.jobs:
        stop_run(cell, run, "job ended")


def _note_running(cell: Cell, run: Run, now_s: float) -> None:
    """Note that a worker has begun a run, by its lists or its answer."""
    if run.state in (RunState.STARTING, RunState.UNCONFIRMED):
        run.state = RunState.RUNNING
    if not run.confirmed_s:
        run.confirmed_s = run.last_progress_s = now_s
    mark_job_running(cell, run.task.step.job)


def _check_missing(cell: Cell, run: Run, sent_s: float) -> None:
    """Judge a run that its worker does not list any more, or not yet."""
    if run.state is RunState.RUNNING and sent_s < run.confirmed_s:
        return
    if run.state is RunState.RUNNING:
        if run.task.done:
            release_run(cell, run)
        else:
            mark_run_lost(cell, run, "not listed")
    elif run.state is RunState.UNCONFIRMED and sent_s >= run.ordered_s:
        stop_run(cell, run, "start unanswered")
    elif (
        run.state is RunState.STOPPING
        and run.stop_acknowledged_s
        and sent_s >= run.stop_acknowledged_s
    ):
        mark_run_lost(cell, run, run.stop_reason)


def _apply_unknown(cell: Cell, worker: Worker, row: RunStatus, now_s: float) -> None:
    """Adopt a run of an earlier term, or stop one that nobody wants."""
    task = cell.find_task(row.key)
    key = (row.key, row.number)
    if task is not None and _adoptable(task, row):
        run = Run(task, row.number, worker.id, RunState.RUNNING, now_s, now_s)
        run.last_progress_s = now_s
        run.checkpoint = row.checkpoint
        run.resumed_from = row.checkpoint or "adopted"
        task.unreconciled = False
        allocate_run(cell, run, worker)
        step = task.step
        step.gang_run_number = max(step.gang_run_number, row.number)
        mark_job_running(cell, step.job)
        cell.log(
            "adopt",
            row.key.job,
            worker=worker.id,
            run=row.number,
            fence=cell.fencing_token,
        )
        return
    if key not in worker.orphan_runs:
        amount = task.step.spec.resources if task is not None else None
        worker.add_orphan(key, amount)
        cell.log("stray", row.key.job, worker=worker.id, run=row.number)
    cell.stop_orders.append(StopOrder(worker.id, row.key, row.number, None))


def _adoptable(task: Task, row: RunStatus) -> bool:
    return (
        not task.done
        and task.unreconciled
        and not task.runs
        and row.number not in task.failed_run_numbers
    )


def _apply_end(cell: Cell, worker: Worker, row: RunEnd, now_s: float) -> None:
    run = worker.runs.get((row.key, row.number))
    if run is not None:
        if row.checkpoint and run.task.step.spec.checkpointing:
            run.checkpoint = row.checkpoint
        release_run(cell, run)
    worker.remove_orphan((row.key, row.number))
    task = cell.find_task(row.key)
    if task is None:
        return
    task.last_run_number = max(task.last_run_number, row.number)
    cell.log(
        "end",
        row.key.job,
        task=f"{row.key.occurrence}.{row.key.step}.{row.key.index}",
        run=row.number,
        worker=worker.id,
        how=row.outcome.value,
        ran_ms=round((now_s - run.confirmed_s) * 1000) if run else None,
    )
    if row.outcome is RunOutcome.DONE and not task.step.spec.long_running:
        if run is not None:
            health.record_success(cell, worker, run, now_s)
        mark_task_done(cell, task, now_s)
        return
    if row.outcome is RunOutcome.FAILED:
        task.failed_worker_ids.add(worker.id)
        health.record_failure(cell, worker, run, now_s)
        record_failed_run(cell, task, row.number, now_s)
    if row.checkpoint and task.step.spec.checkpointing and not task.done:
        task.checkpoint = row.checkpoint
    if task.done:
        return
    if task.step.spec.gang:
        _break_gang(cell, task.step, row.number)
    requeue_step(cell, task.step)


def _break_gang(cell: Cell, step: Step, number: int) -> None:
    """Stop the other members of a gang run that has lost one."""
    if any(run.number == number for task in step.tasks for run in task.runs):
        stop_step(cell, step, "gang broken")


def handle_start_result(
    cell: Cell, run: Run, result: StartResult, now_s: float
) -> None:
    """Take in the answer to a start."""
    worker = cell.workers.get(run.worker)
    if run not in run.task.runs or worker is None:
        return
    cell.counters[f"start_{result.value}"] += 1
    if result is StartResult.STARTED:
        _note_running(cell, run, now_s)
        return
    cell.log(
        "start_refused",
        run.task.key.job,
        run=run.number,
        worker=run.worker,
        reason=result.value,
    )
    if result is StartResult.UNANSWERED:
        if run.state is RunState.STARTING:
            run.state = RunState.UNCONFIRMED
        worker.last_unanswered_order_s = now_s
        return
    _refused(cell, worker, run, result, now_s)


def _refused(
    cell: Cell, worker: Worker, run: Run, result: StartResult, now_s: float
) -> None:
    step = run.task.step
    if result is StartResult.FENCED:
        cell.superseded = True
        return
    if result is StartResult.BAD_TICKET:
        step.tickets.pop(worker.id, None)
    if result in (StartResult.UNHEALTHY, StartResult.INVALID):
        run.task.failed_worker_ids.add(worker.id)
        health.record_failure(cell, worker, run, now_s)
    if result is StartResult.INCARNATION_MISMATCH:
        worker.has_reported = False
    mark_run_lost(cell, run, f"refused: {result.value}")
    if step.spec.gang and result in (StartResult.STALE_RUN, StartResult.INVALID):
        stop_step(cell, step, "gang member was refused")


def handle_stop_result(
    cell: Cell, order: StopOrder, answered: bool, now_s: float
) -> None:
    """Take in the answer to a stop; without one it is ordered again."""
    run = order.run
    if run is None or run not in run.task.runs:
        return
    if answered:
        run.stop_acknowledged_s = now_s
    else:
        cell.stop_orders.append(order)
