"""Keep workers for a wide gang until enough room is free for all its members.

Without that, narrow work would take each freed place first and a wide gang would
never start. One gang of each service has a reservation at a time; urgent work may
still start.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.estimates import predict_step
from bulrushspur_scheduler.jobs import Run, StepRun
from bulrushspur_scheduler.placement import Pool, needs_advice
from bulrushspur_scheduler.resources import Usage, count_that_fits
from bulrushspur_scheduler.workers import Worker

# A reservation helps only if enough tasks are expected to end within this time.
HORIZON_S: t.Final = 6.0


def clear_reservations(cell: Cell, now_s: float) -> None:
    """Drop the reservations of the last pass; each pass makes them anew."""
    for worker in cell.workers.values():
        worker.reserved_for = None


def expected_end_s(cell: Cell, run: Run, speed: float) -> float:
    """Estimate when a run ends, on the steady clock."""
    began_s = run.confirmed_s or run.ordered_s
    mean_s, _ = predict_step(cell, run.task.step)
    return began_s + mean_s / max(speed, 0.25)


def reserve(cell: Cell, step: StepRun, pool: Pool, now_s: float) -> bool:
    """Reserve the workers that will hold the gang soonest; tell whether any do."""
    if any(one.reserved_for is not None for one in pool.workers):
        return False
    usable = [
        one
        for one in pool.workers
        if (not needs_advice(cell, step) or one.id in step.good)
        and (
            not step.spec.required_label or step.spec.required_label in one.entry.labels
        )
    ]
    events = sorted(
        (row for worker in usable for row in _openings(cell, step, worker, now_s)),
        key=lambda row: row[0],
    )
    needed = len(step.tasks)
    chosen: set[str] = set()
    for _, worker_id, count in events:
        if needed <= 0:
            break
        chosen.add(worker_id)
        needed -= count
    if needed > 0:
        return False
    for worker in usable:
        if worker.id in chosen:
            worker.reserved_for = step.key
    return True


def _openings(
    cell: Cell, step: StepRun, worker: Worker, now_s: float
) -> t.Iterator[tuple[float, str, int]]:
    """Yield when, where and how many more tasks of the gang will fit."""
    each = step.spec.resources
    free = Usage(worker.free.cpu_milli, worker.free.memory_mb, worker.free.gpus)
    had = count_that_fits(free, each)
    if had:
        yield (now_s, worker.id, had)
    ends = [
        (expected_end_s(cell, run, worker.speed), run.task.step.spec.resources)
        for run in worker.runs.values()
        if run.task.step.job.priority > 0
    ]
    ends.sort(key=lambda row: row[0])
    for end_s, amount in ends:
        if end_s > now_s + HORIZON_S:
            return
        free.add(amount)
        fits = count_that_fits(free, each)
        if fits > had:
            yield (max(end_s, now_s), worker.id, fits - had)
            had = fits
