"""Leases of workers: how long to hold, and what is over when one lapses."""

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.progress import note_waiting
from bulrushspur_scheduler.runs import release_run
from bulrushspur_scheduler.workers import Worker


def extend_lease(cell: Cell, worker: Worker, now_s: float, lease_s: float) -> int:
    """Return the worker's time until which to hold, and note that it was sent."""
    lease_until_ms = worker.clock.likely_ms(now_s) + int(lease_s * 1000)
    worker.lease_until_ms = max(worker.lease_until_ms, lease_until_ms)
    return lease_until_ms


def lose_run(cell: Cell, run: Run, reason: str) -> None:
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
    note_waiting(cell, task.step)


def lose_worker(cell: Cell, worker: Worker, reason: str) -> None:
    """Give up all runs of a worker whose lease is over or whose life has ended."""
    if worker.runs or worker.strays:
        cell.log("worker_lost", worker=worker.id, reason=reason, runs=len(worker.runs))
    for run in list(worker.runs.values()):
        lose_run(cell, run, reason)
    for key in list(worker.strays):
        worker.drop_stray(key)
    cell.dark.discard(worker.id)


def check_leases(cell: Cell, confirmed_s: float) -> None:
    """Give up runs on workers that were silent until their lease was over.

    ``confirmed_s`` is when the store was last asked and knew of no later term: until
    then nobody else can have extended a lease.
    """
    for worker in cell.workers.values():
        if (worker.runs or worker.strays) and worker.lease_over(confirmed_s):
            lose_worker(cell, worker, "lease over")
