"""Take in what workers say: their lists of runs, and the answers to orders."""

import dataclasses
import enum
import typing as t

from bulrushspur_scheduler import health
from bulrushspur_scheduler.cell import Cell, StopOrder
from bulrushspur_scheduler.jobs import (
    EndKind,
    Run,
    RunState,
    StepRun,
    Task,
    TaskKey,
)
from bulrushspur_scheduler.leases import lose_run
from bulrushspur_scheduler.progress import (
    fail_attempt,
    mark_done,
    note_started,
    note_waiting,
)
from bulrushspur_scheduler.runs import book_run, release_run, stop_run, stop_step
from bulrushspur_scheduler.workers import Worker

# A worker lists at most this many ends at once; beyond, its lists are not whole.
ENDS_LISTED: t.Final = 500
# The last order of an earlier term may have been under way until now.
FORMER_LEASE_EXTRA_S: t.Final = 0.5


class StartResult(enum.Enum):
    """How a worker answered a start."""

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    INVALID = "invalid"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that a worker lists as running; ``load`` is rough."""

    key: TaskKey
    number: int
    checkpoint: str
    percent: int
    load: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndRow:
    """An end that a worker lists; ``position`` counts the ends of its life."""

    position: int
    key: TaskKey
    number: int
    how: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class HoldReport:
    """A worker's answer to a hold; ``sent_s`` is when the hold was sent."""

    sent_s: float
    clock_ms: int
    born_ms: int
    running: list[RunningRow]
    ended: list[EndRow]


def apply_report(cell: Cell, worker: Worker, report: HoldReport, now_s: float) -> None:
    """Take in the lists of a worker."""
    if report.born_ms and worker.born_ms and report.born_ms != worker.born_ms:
        restart_worker(cell, worker, report)
    worker.born_ms = report.born_ms or worker.born_ms
    worker.clock.read(report.clock_ms, now_s)
    worker.heard_s = now_s
    if not worker.reached:
        cell.log("worker_reached", worker=worker.id, runs=len(report.running))
        _assume_lease(cell, worker, report)
    worker.reached = True
    cell.dark.discard(worker.id)
    for row in report.ended:
        if row.position > worker.applied_upto:
            worker.applied_upto = row.position
            _apply_end(cell, worker, row, now_s)
    listed = {(row.key, row.number): row for row in report.running}
    whole = len(report.ended) < ENDS_LISTED
    for run in list(worker.runs.values()):
        row = listed.pop(run.key, None)
        if row is not None:
            _confirm(cell, run, row, now_s)
        elif whole:
            _check_missing(cell, run, report.sent_s)
    for key in [key for key in worker.strays if key not in listed]:
        worker.drop_stray(key)
    for row in listed.values():
        _apply_unknown(cell, worker, row, now_s)


def _assume_lease(cell: Cell, worker: Worker, report: HoldReport) -> None:
    """Count with the longest lease that an earlier term can have given."""
    lease_ms = int((cell.bounds.lease_s + FORMER_LEASE_EXTRA_S) * 1000)
    worker.lease_until_ms = max(worker.lease_until_ms, report.clock_ms + lease_ms)


def restart_worker(cell: Cell, worker: Worker, report: HoldReport) -> None:
    """Forget the former life of a worker; orders under way may reach the new one.

    Which runs the new life has is judged by its lists, as always.
    """
    for run in worker.runs.values():
        run.stop_answered_s = 0.0
        if run.state is RunState.STOPPING:
            key = run.task.key
            cell.stops.append(StopOrder(worker.id, key, run.number, run))
        elif run.state is RunState.STARTING:
            run.state = RunState.UNCONFIRMED
    for key in list(worker.strays):
        worker.drop_stray(key)
    cell.log("worker_restarted", worker=worker.id, under_way=len(worker.runs))
    worker.applied_upto = 0
    worker.clock.known = False
    worker.reached = False
    # An order made for the old clock is held for the longest time there is.
    most_ms = int(cell.bounds.lease_most_s * 1000) if worker.runs else 0
    worker.lease_until_ms = report.clock_ms + most_ms


def _confirm(cell: Cell, run: Run, row: RunningRow, now_s: float) -> None:
    checkpointing = run.task.step.spec.checkpointing
    if checkpointing and row.checkpoint and row.checkpoint != run.checkpoint:
        run.checkpoint = row.checkpoint
        run.progress_s = now_s
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
        run.confirmed_s = run.progress_s = now_s
    note_started(cell, run.task.step.job)


def _check_missing(cell: Cell, run: Run, sent_s: float) -> None:
    """Judge a run that its worker does not list any more, or not yet."""
    if run.state is RunState.RUNNING and sent_s < run.confirmed_s:
        return
    if run.state is RunState.RUNNING:
        if run.task.done:
            release_run(cell, run)
        else:
            lose_run(cell, run, "not listed")
    elif run.state is RunState.UNCONFIRMED and sent_s >= run.ordered_s:
        stop_run(cell, run, "start unanswered")
    elif (
        run.state is RunState.STOPPING
        and run.stop_answered_s
        and sent_s >= run.stop_answered_s
    ):
        lose_run(cell, run, run.stop_reason)


def _apply_unknown(cell: Cell, worker: Worker, row: RunningRow, now_s: float) -> None:
    """Adopt a run of an earlier term, or stop one that nobody wants."""
    task = cell.find_task(row.key)
    key = (row.key, row.number)
    if task is not None and _adoptable(task, row):
        run = Run(task, row.number, worker.id, RunState.RUNNING, now_s, now_s)
        run.progress_s = now_s
        run.checkpoint = row.checkpoint
        run.started_from = row.checkpoint or "adopted"
        task.unaccounted = False
        book_run(cell, run, worker)
        step = task.step
        step.run_number = max(step.run_number, row.number)
        note_started(cell, step.job)
        cell.log(
            "adopt", row.key.job, worker=worker.id, run=row.number, fence=cell.fence
        )
        return
    if key not in worker.strays:
        amount = task.step.spec.resources if task is not None else None
        worker.add_stray(key, amount)
        cell.log("stray", row.key.job, worker=worker.id, run=row.number)
    cell.stops.append(StopOrder(worker.id, row.key, row.number, None))


def _adoptable(task: Task, row: RunningRow) -> bool:
    return (
        not task.done
        and task.unaccounted
        and not task.runs
        and row.number not in task.failed_runs
    )


def _apply_end(cell: Cell, worker: Worker, row: EndRow, now_s: float) -> None:
    run = worker.runs.get((row.key, row.number))
    if run is not None:
        if row.checkpoint and run.task.step.spec.checkpointing:
            run.checkpoint = row.checkpoint
        release_run(cell, run)
    worker.drop_stray((row.key, row.number))
    task = cell.find_task(row.key)
    if task is None:
        return
    task.last_run = max(task.last_run, row.number)
    cell.log(
        "end",
        row.key.job,
        task=f"{row.key.occurrence}.{row.key.step}.{row.key.index}",
        run=row.number,
        worker=worker.id,
        how=row.how.value,
        ran_ms=round((now_s - run.confirmed_s) * 1000) if run else None,
    )
    if row.how is EndKind.DONE and not task.step.spec.long_running:
        if run is not None:
            health.note_success(cell, worker, run, now_s)
        mark_done(cell, task, now_s)
        return
    if row.how is EndKind.FAILED:
        task.failed_on.add(worker.id)
        health.note_failure(cell, worker, run, now_s)
        fail_attempt(cell, task, row.number, now_s)
    if row.checkpoint and task.step.spec.checkpointing and not task.done:
        task.checkpoint = row.checkpoint
    if task.done:
        return
    if task.step.spec.gang:
        _break_gang(cell, task.step, row.number)
    note_waiting(cell, task.step)


def _break_gang(cell: Cell, step: StepRun, number: int) -> None:
    """Stop the other members of a gang run that has lost one."""
    if any(run.number == number for task in step.tasks for run in task.runs):
        stop_step(cell, step, "gang broken")


def note_start(cell: Cell, run: Run, result: StartResult, now_s: float) -> None:
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
        worker.doubted_s = now_s
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
        run.task.failed_on.add(worker.id)
        health.note_failure(cell, worker, run, now_s)
    if result is StartResult.OTHER_LIFE:
        worker.reached = False
    lose_run(cell, run, f"refused: {result.value}")
    if step.spec.gang and result in (StartResult.OLD_RUN, StartResult.INVALID):
        stop_step(cell, step, "gang member was refused")


def note_stop(cell: Cell, order: StopOrder, answered: bool, now_s: float) -> None:
    """Take in the answer to a stop; without one it is ordered again."""
    run = order.run
    if run is None or run not in run.task.runs:
        return
    if answered:
        run.stop_answered_s = now_s
    else:
        cell.stops.append(order)
