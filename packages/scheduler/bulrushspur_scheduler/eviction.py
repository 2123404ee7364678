"""Move work away from workers that leave, hang or are much slower than the others."""

from bulrushspur_scheduler import health
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import RunState
from bulrushspur_scheduler.reservations import expected_end_s
from bulrushspur_scheduler.runs import stop_run
from bulrushspur_scheduler.workers import Worker

DRAIN_MARGIN_S = 0.3
MAX_REPORT_AGE_S = 1.0


def evict_runs(cell: Cell, now_s: float) -> None:
    """Stop the runs that are better started elsewhere."""
    for worker in cell.workers.values():
        if worker.draining and worker.drain_deadline_s is not None and worker.runs:
            _leave(cell, worker, now_s)
        if worker.runs and now_s - worker.last_report_s < MAX_REPORT_AGE_S:
            _move_overdue(cell, worker, now_s)


def _move_overdue(cell: Cell, worker: Worker, now_s: float) -> None:
    runs = health.overdue_runs(cell, worker, now_s)
    if len(runs) > 1:
        health.quarantine_worker(cell, worker, now_s, "runs overdue")
    elif runs:
        health.record_failure(cell, worker, runs[0], now_s)
    for run in runs:
        run.task.overdue_stop_count += 1
        run.task.failed_worker_ids.add(worker.id)
        stop_run(cell, run, "overdue")


def _leave(cell: Cell, worker: Worker, now_s: float) -> None:
    assert worker.drain_deadline_s is not None
    for run in list(worker.runs.values()):
        if run.state is not RunState.RUNNING:
            continue
        if (
            expected_end_s(cell, run, worker.speed, now_s)
            > worker.drain_deadline_s - DRAIN_MARGIN_S
        ):
            stop_run(cell, run, "worker leaves")
