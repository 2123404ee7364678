"""Keep workers for wide gangs until enough room is free for all their members.

Without that, narrow work would take each freed place first and a wide gang would never
start. Each gang that waits gets workers of its own, in order of rank, up to a share of
the pool. Urgent work may still start there, and work that ends before the gang can.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.estimates import predict_step_duration
from bulrushspur_scheduler.jobs import Run, RunState, Step
from bulrushspur_scheduler.placement import Pool, needs_advice
from bulrushspur_scheduler.resources import Usage, count_fitting_tasks
from bulrushspur_scheduler.workers import Worker

# A reservation helps only if enough tasks are expected to end within this time.
RESERVATION_HORIZON_S: t.Final = 15.0
MAX_RESERVED_SHARE: t.Final = 0.7
# Two tasks that run are seldom both done by the time expected of each.
EXPECTED_END_FACTOR: t.Final = 1.2
# A run that is told to stop ends after about so long.
EXPECTED_STOP_S: t.Final = 0.3


@dataclasses.dataclass(slots=True)
class Reservation:
    """Workers kept for a gang, and when it is expected to fit there."""

    workers: list[Worker]
    ready_s: float


def clear_reservations(cell: Cell) -> None:
    """Drop the reservations of the last pass; each pass makes them anew."""
    cell.reservations.clear()
    for worker in cell.workers.values():
        worker.reserved_for = None


def expected_end_s(cell: Cell, run: Run, speed: float, now_s: float) -> float:
    """Estimate when a run ends, on the steady clock."""
    if run.state is RunState.STOPPING:
        return now_s + EXPECTED_STOP_S
    began_s = run.confirmed_s or run.ordered_s
    mean_s, _ = predict_step_duration(cell, run.task.step)
    took_s = EXPECTED_END_FACTOR * mean_s / max(speed, 0.25)
    # What is over its time already is as likely to last on as to end.
    return max(began_s + took_s, now_s + 0.2 * mean_s)


def reserve(cell: Cell, step: Step, pool: Pool, now_s: float) -> bool:
    """Reserve the workers that will hold a gang soonest; tell whether any do."""
    taken = sum(one.reserved_for is not None for one in pool.workers)
    usable = [
        one
        for one in pool.workers
        if one.reserved_for is None and step.spec.accepts_labels(one.entry.labels)
    ]
    if needs_advice(cell, step):
        usable = [one for one in usable if one.id in step.approved_workers]
    openings = sorted(
        (row for one in usable for row in _openings(cell, step, one, now_s)),
        key=lambda row: row[0],
    )
    needed = len(step.tasks)
    chosen: dict[str, Worker] = {}
    ready_s = now_s
    for at_s, worker, count in openings:
        if needed <= 0:
            break
        chosen[worker.id] = worker
        needed -= count
        ready_s = at_s
    if needed > 0:
        return False
    # The first gang may have all workers, the others only a share beside it.
    if taken and taken + len(chosen) > MAX_RESERVED_SHARE * len(pool.workers):
        return False
    for worker in chosen.values():
        worker.reserved_for = step.key
        worker.reserved_until_s = ready_s
    cell.reservations[step.key] = Reservation(list(chosen.values()), ready_s)
    return True


def _openings(
    cell: Cell, step: Step, worker: Worker, now_s: float
) -> t.Iterator[tuple[float, Worker, int]]:
    """Yield when, where and how many more tasks of the gang will fit."""
    each = step.spec.resources
    most = step.spec.max_per_worker or len(step.tasks)
    free = Usage(worker.free.cpu_milli, worker.free.memory_mb, worker.free.gpus)
    had = min(count_fitting_tasks(free, each), most)
    if had:
        yield (now_s, worker, had)
    ends = [
        (expected_end_s(cell, run, worker.speed, now_s), run.task.step.spec.resources)
        for run in worker.runs.values()
    ]
    ends.sort(key=lambda row: row[0])
    for end_s, amount in ends:
        if end_s > now_s + RESERVATION_HORIZON_S:
            return
        free.add(amount)
        fits = min(count_fitting_tasks(free, each), most)
        if fits > had:
            yield (end_s, worker, fits - had)
            had = fits
