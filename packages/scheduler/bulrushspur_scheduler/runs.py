"""Start, stop and release runs, and account for the resources that they use.

The input is a decision about a task, worker or run; the result is start and stop
orders, and the usage of the worker, the client account and urgent work. A run counts
from its start order until it is released, also while it is being stopped.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell, StartOrder, StopOrder
from bulrushspur_scheduler.headroom import add_urgent_cpu
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run, Step, Task
from bulrushspur_scheduler.workers import Worker

# The reasons to stop members of a gang because others have ended.
GANG_BROKEN: t.Final = "gang broken"
GANG_INCOMPLETE: t.Final = "gang incomplete"
GANG_REFUSED: t.Final = "gang member was refused"
GANG_STOP_REASONS: t.Final = frozenset({GANG_BROKEN, GANG_INCOMPLETE, GANG_REFUSED})


def start_run(cell: Cell, task: Task, worker: Worker, number: int, now_s: float) -> Run:
    """Allocate a new run of a task on a worker, and order its start."""
    run = Run(task, number, worker.id, RunState.STARTING, now_s)
    run.checkpoint = run.resumed_from = task.checkpoint
    is_suspect = task.suspected_crash_count > 0
    run.is_isolated = is_suspect and worker.isolated_for == task.step.key
    task.record_start(worker.id, number)
    allocate_run(cell, run, worker)
    _order_start(cell, run)
    job = task.step.job
    cell.log(
        "start",
        task.key.job,
        task=task.key.path,
        run=number,
        worker=worker.id,
        payload=job.spec.payload_crc,
        account=job.account,
        checkpoint=task.checkpoint,
        free_milli=worker.free.cpu_milli,
        heard_age_ms=round((now_s - worker.last_report_s) * 1000),
    )
    return run


def repeat_start(cell: Cell, run: Run) -> None:
    """Order the start of a run again; its worker starts each run number once."""
    run.state = RunState.STARTING
    run.repeated_count += 1
    run.confirmed_s = 0.0
    _order_start(cell, run)


def _order_start(cell: Cell, run: Run) -> None:
    step = run.task.step
    ticket = step.tickets.get(run.worker_id, ("", 0.0))[0]
    payload = step.job.spec.payload
    order = StartOrder(run, run.worker_id, payload, run.resumed_from, ticket)
    cell.start_orders.append(order)


def allocate_run(cell: Cell, run: Run, worker: Worker) -> None:
    """Count a run's resources on its worker and its client account.

    Urgent runs (priority 0) also count towards the urgent CPU of their service.
    """
    task = run.task
    amount = task.step.spec.resources
    task.last_run_number = max(task.last_run_number, run.number)
    task.runs.append(run)
    worker.runs[run.key] = run
    worker.expected_ends = None
    worker.free.subtract(amount)
    job = task.step.job
    cell.usage_of(job.account).add(amount)
    run.is_urgent = job.priority == 0
    if run.is_urgent:
        add_urgent_cpu(cell, job.account, amount.cpu_milli)


def release_run(cell: Cell, run: Run) -> None:
    """Remove a run that no longer runs, and free its resources.

    The task keeps the run's checkpoint for its next run.
    """
    task = run.task
    if run not in task.runs:
        return
    task.runs.remove(run)
    if task.trial is not None and not task.uncounted_crashes:
        task.trial = None
        cell.dirty_jobs.add(task.step.job.id)
    amount = task.step.spec.resources
    worker = cell.workers.get(run.worker_id)
    if worker is not None and worker.runs.pop(run.key, None) is not None:
        worker.expected_ends = None
        worker.free.add(amount)
    job = task.step.job
    cell.usage_of(job.account).subtract(amount)
    if run.is_urgent:
        add_urgent_cpu(cell, job.account, -amount.cpu_milli)
    if run.checkpoint:
        task.checkpoint = run.checkpoint


def stop_run(cell: Cell, run: Run, reason: str) -> None:
    """Order a run to stop; it keeps its resources until it is released.

    Does nothing if the run is being stopped already.
    """
    if run.state is RunState.STOPPING:
        return
    run.state = RunState.STOPPING
    run.stop_reason = reason
    worker = cell.workers.get(run.worker_id)
    if worker is not None:
        worker.expected_ends = None
    cell.stop_orders.append(StopOrder(run.worker_id, run.task.key, run.number, run))
    key = run.task.key
    cell.log(
        "stop",
        key.job,
        task=key.path,
        run=run.number,
        worker=run.worker_id,
        reason=reason,
    )


def stop_step(cell: Cell, step: Step, reason: str) -> None:
    """Order all runs of a step to stop."""
    for task in step.tasks:
        for run in list(task.runs):
            stop_run(cell, run, reason)
