"""Leases of workers: how long to hold, and what is over when one lapses."""

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.progress import requeue_step
from bulrushspur_scheduler.runs import release_run
from bulrushspur_scheduler.workers import Worker


def extend_lease(cell: Cell, worker: Worker, now_s: float, lease_s: float) -> int:
    """Return the worker's time until which to hold, and note that it was sent."""
    lease_until_ms = worker.clock.estimated_ms(now_s) + int(lease_s * 1000)
    worker.lease_until_ms = max(worker.lease_until_ms, lease_until_ms)
    return lease_until_ms


def mark_run_lost(cell: Cell, run: Run, reason: str) -> None:
    """Give up a run that certainly is over without an end that was told."""
    task = run.task
    release_run(cell, run)
    cell.log(
        "run_lost",
        task.key.job,
        task=f"{task.key.occurrence}.{task.key.step}.{task.key.index}",
        run=run.number,
        worker=run.worker,
        reason=reason,
        checkpoint=bool(task.checkpoint),
    )
    requeue_step(cell, task.step)


def mark_worker_lost(cell: Cell, worker: Worker, reason: str) -> None:
    """Give up all runs of a worker whose lease is over or whose life has ended."""
    if worker.runs or worker.orphan_runs:
        cell.log("worker_lost", worker=worker.id, reason=reason, runs=len(worker.runs))
    for run in list(worker.runs.values()):
        mark_run_lost(cell, run, reason)
    for key in list(worker.orphan_runs):
        worker.remove_orphan(key)
    cell.unobserved_workers.discard(worker.id)


def expire_leases(cell: Cell, confirmed_s: float) -> None:
    """Give up runs on workers that were silent until their lease was over.

    ``confirmed_s`` is when the store was last asked and knew of no later term: until
    then nobody else can have extended a lease.
    """
    for worker in cell.workers.values():
        if (worker.runs or worker.orphan_runs) and worker.is_lease_expired(confirmed_s):
            mark_worker_lost(cell, worker, "lease over")
