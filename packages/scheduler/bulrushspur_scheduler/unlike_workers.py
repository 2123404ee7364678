"""Match tight work to fast workers where the workers of a service are unlike.

The input is the observed speeds of the workers and a step; the result is the least
speed with which the step would be on time. The load it answers: workers of which some
are far faster than others, beside short steps that only the fast ones end on time, and
long ones that any of them does. Where workers are alike nothing changes.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.estimates import predict_step_duration
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.ranking import OVERRUN_FACTOR, cached_remaining_s
from bulrushspur_scheduler.workers import Worker

# Workers are unlike if those at the fast quantile have this many times the speed of
# those at the slow one: more than a short step's objective allows beyond its duration.
UNLIKE_RATIO: t.Final = 1.7
FAST_QUANTILE: t.Final = 0.75
SLOW_QUANTILE: t.Final = 0.17
# With fewer, a single faulty worker would decide.
MIN_WORKERS: t.Final = 10
# Once unlike, workers count as alike only below this ratio.
ALIKE_RATIO: t.Final = 1.45


def observe_speeds(cell: Cell) -> None:
    """Find the services whose workers are unlike; call it at an interval."""
    speeds: dict[str, list[float]] = {}
    for worker in cell.workers.values():
        if worker.listed and worker.has_reported:
            speeds.setdefault(worker.entry.service, []).append(worker.speed)
    for service, rows in speeds.items():
        ratio = _speed_ratio(sorted(rows))
        is_unlike = service in cell.unlike_services
        if ratio >= UNLIKE_RATIO and not is_unlike:
            cell.unlike_services.add(service)
            cell.log("workers_unlike", service=service, ratio=round(ratio, 2))
        elif ratio < ALIKE_RATIO and is_unlike:
            cell.unlike_services.remove(service)
            cell.log("workers_alike", service=service, ratio=round(ratio, 2))


def _speed_ratio(speeds: list[float]) -> float:
    """Return how many times as fast the fast workers are; sorted speeds go in."""
    if len(speeds) < MIN_WORKERS:
        return 1.0
    last = len(speeds) - 1
    slow = speeds[round(last * SLOW_QUANTILE)]
    return speeds[round(last * FAST_QUANTILE)] / slow if slow > 0 else 1.0


def find_needed_speed(cell: Cell, step: Step, now_s: float) -> float | None:
    """Return the least speed of a worker that ends a step on time.

    None if the workers are alike, or the step has no objective or is too late for any.
    """
    job = step.job
    if job.service not in cell.unlike_services or step.spec.long_running:
        return None
    duration_s, _ = predict_step_duration(cell, step)
    rest_s = cached_remaining_s(cell, step, now_s) - duration_s
    origin_s = step.ready_s if job.is_repeating else job.accepted_s
    left_s = origin_s + job.objective_s - now_s - rest_s
    return OVERRUN_FACTOR * duration_s / left_s if left_s > 0 else None


def speed_rank(worker: Worker, needed_speed: float | None) -> tuple[int, float]:
    """Rank a worker by its speed for a step; the lowest is best.

    Workers that end the step on time come first, the slower of them before the faster;
    the others the faster first.
    """
    if needed_speed is None:
        return (0, -worker.speed)
    if worker.speed >= needed_speed:
        return (0, worker.speed)
    return (1, -worker.speed)
