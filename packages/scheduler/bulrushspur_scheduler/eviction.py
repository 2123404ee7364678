"""Stop runs on workers that drain, hang or are much slower than the others.

The input is the workers of the cell with their runs. The result is stop orders, after
which the planner starts the tasks on other workers; a worker with overdue runs also has
a failure recorded or is quarantined. Overdue runs are judged only while their worker
reports; an unresponsive worker keeps its runs until its lease expires.
"""

from bulrushspur_scheduler import health
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.reservations import expected_end_s
from bulrushspur_scheduler.runs import stop_run
from bulrushspur_scheduler.workers import Worker

DRAIN_MARGIN_S = 0.3
MAX_OVERDUE_REPORT_AGE_S = 1.0


def evict_runs(cell: Cell, now_s: float) -> None:
    """Stop the runs that should be restarted on other workers."""
    for worker in cell.workers.values():
        if worker.failure_score > 0:
            health.record_lasting_runs(cell, worker)
        if worker.draining and worker.drain_deadline_s is not None and worker.runs:
            _evict_draining(cell, worker, now_s)
        if worker.runs and now_s - worker.last_report_s < MAX_OVERDUE_REPORT_AGE_S:
            _evict_overdue(cell, worker, now_s)


def _evict_overdue(cell: Cell, worker: Worker, now_s: float) -> None:
    """Stop overdue runs; several at once quarantine the worker, one is a failure."""
    runs = health.find_overdue_runs(cell, worker, now_s)
    if len(runs) > 1:
        health.quarantine_worker(cell, worker, now_s, "runs overdue")
    elif runs:
        health.record_failure(cell, worker, runs[0], now_s)
    for run in runs:
        run.task.overdue_stop_count += 1
        run.task.failed_worker_ids.add(worker.id)
        stop_run(cell, run, "overdue")


def _evict_draining(cell: Cell, worker: Worker, now_s: float) -> None:
    """Stop the runs that are not expected to end before the worker shuts down."""
    assert worker.drain_deadline_s is not None
    for run in list(worker.runs.values()):
        if run.state is not RunState.RUNNING:
            continue
        if (
            expected_end_s(cell, run, worker.speed, now_s)
            > worker.drain_deadline_s - DRAIN_MARGIN_S
        ):
            stop_run(cell, run, "worker leaves")
