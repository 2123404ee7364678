"""Move work away from workers that leave, hang or are much slower than the others."""

from bulrushspur_scheduler import health
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import RunState
from bulrushspur_scheduler.reservations import expected_end_s
from bulrushspur_scheduler.runs import stop_run
from bulrushspur_scheduler.workers import Worker

LEAVE_MARGIN_S = 0.3
HEARD_WITHIN_S = 1.0


def relieve(cell: Cell, now_s: float) -> None:
    """Stop the runs that are better started elsewhere."""
    for worker in cell.workers.values():
        if worker.draining and worker.leaves_s is not None and worker.runs:
            _leave(cell, worker, now_s)
        if worker.runs and now_s - worker.heard_s < HEARD_WITHIN_S:
            _move_overdue(cell, worker, now_s)


def _move_overdue(cell: Cell, worker: Worker, now_s: float) -> None:
    runs = health.overdue_runs(cell, worker, now_s)
    if len(runs) > 1:
        health.set_apart(cell, worker, now_s, "runs overdue")
    elif runs:
        health.note_failure(cell, worker, runs[0], now_s)
    for run in runs:
        run.task.overdue_stops += 1
        run.task.failed_on.add(worker.id)
        stop_run(cell, run, "overdue")


def _leave(cell: Cell, worker: Worker, now_s: float) -> None:
    assert worker.leaves_s is not None
    for run in list(worker.runs.values()):
        if run.state is not RunState.RUNNING:
            continue
        if (
            expected_end_s(cell, run, worker.speed, now_s)
            > worker.leaves_s - LEAVE_MARGIN_S
        ):
            stop_run(cell, run, "worker leaves")
