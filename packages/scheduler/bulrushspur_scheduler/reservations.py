"""Reserve workers for wide gangs until there are slots for all their members.

Without reservations narrow steps would take each free slot first, and a wide gang would
never start. Each waiting gang gets workers of its own, in order of rank, up to a share
of the pool. Urgent work may still start on reserved workers, and so may work that is
expected to end before the gang can start.

Reserved workers that are idle are held for a short time only while much of the pool is
idle. Time is divided into hold periods. A step that was held back in one of them may
start on any worker in the next one, so that reservations let waiting work in at once
and then leave its runs time to end. Within such a period the time by which other work
has to end does not move later, or a stream of short tasks would keep a gang waiting for
good.

Reservations are made anew at an interval and not by each planning pass: with many gangs
waiting on a large pool they would take most of the processor time.
"""

import dataclasses
import math
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.estimates import predict_step_duration
from bulrushspur_scheduler.evacuation import is_evacuated
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run, Step
from bulrushspur_scheduler.placement import NO_LIMIT, needs_advice
from bulrushspur_scheduler.pools import Pool, is_released
from bulrushspur_scheduler.resources import Resources, Usage, count_fitting_tasks
from bulrushspur_scheduler.workers import Worker

# A reservation is useful only if enough tasks are expected to end within this time.
RESERVATION_HORIZON_S: t.Final = 15.0
MAX_RESERVED_SHARE: t.Final = 0.7
# Multiple of the median duration: of two running tasks, seldom have both ended by the
# time expected of each.
EXPECTED_END_FACTOR: t.Final = 1.2
# Expected time from a stop order to the end of the run.
EXPECTED_STOP_S: t.Final = 0.3
RESERVATION_INTERVAL_S: t.Final = 0.1
# A step is held back for one hold period at most while less than the given share of the
# CPU of its service is in use.
HOLD_PERIOD_S: t.Final = 1.5
MIN_USED_SHARE: t.Final = 0.55
# Expected ends of runs are not older than this.
MAX_EXPECTED_ENDS_AGE_S: t.Final = 0.25


@dataclasses.dataclass(slots=True)
class Reservation:
    """Workers reserved for a gang, and when it is expected to fit there.

    ``ready_s`` is in seconds on the monotonic clock.
    """

    workers: list[Worker]
    ready_s: float


def renew_reservations(cell: Cell, now_s: float) -> bool:
    """Remove all reservations if they are due; return whether to make new ones.

    Otherwise only those of steps that no longer wait are removed.
    """
    if now_s - cell.reservations_made_s < RESERVATION_INTERVAL_S:
        for key in [key for key in cell.reservations if key not in cell.waiting_steps]:
            release_reservation(cell, key)
        return False
    cell.reservations_made_s = now_s
    cell.reservations.clear()
    for worker in cell.workers.values():
        worker.reserved_for = None
    return True


def renew_hold_period(cell: Cell, service: str, pool: Pool, now_s: float) -> None:
    """Start a new hold period when it is due, and set the limits of a pool for it."""
    began_s = cell.hold_periods_s.get(service, -1e9)
    if now_s - began_s >= HOLD_PERIOD_S:
        began_s = cell.hold_periods_s[service] = now_s
    pool.hold_period_s = began_s
    capacity_milli = free_milli = 0
    for worker in cell.workers.values():
        if (
            worker.listed
            and worker.entry.service == service
            and not is_evacuated(cell, worker)
        ):
            capacity_milli += worker.entry.capacity.cpu_milli
            free_milli += worker.free.cpu_milli
    pool.unheld_cpu_milli = free_milli - (1 - MIN_USED_SHARE) * capacity_milli


def count_unheld_tasks(step: Step, pool: Pool) -> int:
    """Return how many tasks of a step one pass may start; few after a hold."""
    if not is_released(step, pool):
        return NO_LIMIT
    cpu_milli = max(step.spec.resources.cpu_milli, 1)
    return max(int(pool.unheld_cpu_milli) // cpu_milli, 1)


def record_hold(
    cell: Cell, step: Step, pool: Pool, started_count: int, now_s: float
) -> None:
    """Record whether reservations may have held back a step that was just planned."""
    if started_count:
        if is_released(step, pool):
            cpu_milli = step.spec.resources.cpu_milli
            pool.unheld_cpu_milli -= started_count * cpu_milli
        step.held_since_s = math.inf
    if (
        step.held_since_s > now_s
        and step.key in cell.waiting_steps
        and any(key != step.key for key in cell.reservations)
    ):
        step.held_since_s = now_s


def release_reservation(cell: Cell, key: StepKey) -> None:
    """Remove the reservation of a step, if it has one."""
    reservation = cell.reservations.pop(key, None)
    if reservation is None:
        return
    for worker in reservation.workers:
        if worker.reserved_for == key:
            worker.reserved_for = None


def expected_end_s(cell: Cell, run: Run, speed: float, now_s: float) -> float:
    """Estimate when a run ends, in seconds on the monotonic clock.

    ``speed`` is the speed of its worker, relative to the predicted durations.
    """
    if run.state is RunState.STOPPING:
        return now_s + EXPECTED_STOP_S
    started_s = run.confirmed_s or run.ordered_s
    median_s, _ = predict_step_duration(cell, run.task.step)
    duration_s = EXPECTED_END_FACTOR * median_s / max(speed, 0.25)
    # A run past its expected end is as likely to continue as to end soon.
    return max(started_s + duration_s, now_s + 0.2 * median_s)


def reserve(cell: Cell, step: Step, pool: Pool, now_s: float) -> bool:
    """Reserve the workers where a gang fits soonest; return False if it can't."""
    max_reserved = MAX_RESERVED_SHARE * len(pool.workers)
    if pool.reserved_count and pool.reserved_count >= max_reserved:
        return False
    openings = sorted(
        (
            row
            for worker in _list_candidates(cell, step, pool)
            for row in _find_openings(cell, step, worker, now_s)
        ),
        key=lambda row: row[0],
    )
    needed = len(step.tasks)
    chosen: dict[str, Worker] = {}
    ready_s = now_s
    for free_at_s, worker, slots in openings:
        if needed <= 0:
            break
        chosen[worker.id] = worker
        needed -= slots
        ready_s = free_at_s
    if needed > 0:
        return False
    # The first gang may reserve all workers; with further gangs only a share of the
    # pool may be reserved in total.
    if pool.reserved_count and pool.reserved_count + len(chosen) > max_reserved:
        return False
    pool.reserved_count += len(chosen)
    until_s = _limit_reservation(step, pool, ready_s)
    for worker in chosen.values():
        worker.reserved_for = step.key
        worker.reserved_until_s = until_s
    cell.reservations[step.key] = Reservation(list(chosen.values()), ready_s)
    step.first_reserved_for_s = min(step.first_reserved_for_s, ready_s)
    return True


def _limit_reservation(step: Step, pool: Pool, ready_s: float) -> float:
    """Return by when other work has to end on reserved workers."""
    if step.reserved_period_s == pool.hold_period_s and pool.unheld_cpu_milli > 0:
        ready_s = min(ready_s, step.reserved_until_s)
    step.reserved_period_s, step.reserved_until_s = pool.hold_period_s, ready_s
    return ready_s


def _list_candidates(cell: Cell, step: Step, pool: Pool) -> list[Worker]:
    """List the workers that may run a gang and are not reserved for another one."""
    workers: t.Iterable[Worker] = pool.workers
    if needs_advice(cell, step):
        approved = [pool.by_id.get(worker_id) for worker_id in step.approved_workers]
        workers = [worker for worker in approved if worker is not None]
    return [
        worker
        for worker in workers
        if worker.reserved_for is None and step.spec.accepts_labels(worker.labels)
    ]


def _list_expected_ends(
    cell: Cell, worker: Worker, now_s: float
) -> list[tuple[float, Resources]]:
    """Return when the runs of a worker are expected to end, and their resources.

    Runs that last are not among them unless they are being stopped.
    """
    age_s = now_s - worker.expected_ends_at_s
    if worker.expected_ends is None or age_s > MAX_EXPECTED_ENDS_AGE_S:
        worker.expected_ends = sorted(
            (
                (
                    expected_end_s(cell, run, worker.speed, now_s),
                    run.task.step.spec.resources,
                )
                for run in worker.runs.values()
                if run.state is RunState.STOPPING or not run.task.step.spec.long_running
            ),
            key=lambda row: row[0],
        )
        worker.expected_ends_at_s = now_s
    return worker.expected_ends


def _find_openings(
    cell: Cell, step: Step, worker: Worker, now_s: float
) -> t.Iterator[tuple[float, Worker, int]]:
    """Yield when, where and how many more tasks of the gang are expected to fit."""
    each = step.spec.resources
    max_slots = step.spec.max_per_worker or len(step.tasks)
    free = Usage(worker.free.cpu_milli, worker.free.memory_mb, worker.free.gpus)
    yielded = min(count_fitting_tasks(free, each), max_slots)
    if yielded:
        yield (now_s, worker, yielded)
    for end_s, amount in _list_expected_ends(cell, worker, now_s):
        if end_s > now_s + RESERVATION_HORIZON_S:
            return
        free.add(amount)
        slots = min(count_fitting_tasks(free, each), max_slots)
        if slots > yielded:
            yield (end_s, worker, slots - yielded)
            yielded = slots
