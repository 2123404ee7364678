"""Start a gang: all its members at once, or those that are missing.

Takes a gang and the workers that may run it; adds start and stop orders to the cell. A
gang starts as a whole or not at all; a gang that does not fit reserves workers and may
preempt.
"""

import math
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.isolation import choose_isolated_gang_workers
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run, Step, Task
from bulrushspur_scheduler.limits import is_within_limits
from bulrushspur_scheduler.placement import choose_gang_workers
from bulrushspur_scheduler.pools import Pool
from bulrushspur_scheduler.preemption import preempt
from bulrushspur_scheduler.ranking import Tier, rank
from bulrushspur_scheduler.reservations import release_reservation, reserve
from bulrushspur_scheduler.runs import (
    GANG_INCOMPLETE,
    GANG_REFUSED,
    start_run,
    stop_step,
)
from bulrushspur_scheduler.workers import Worker

# Missing members may join a gang during this share of gang_start_timeout_s, counted
# from its first start order.
GANG_JOIN_WINDOW_SHARE: t.Final = 0.5


def plan_gang(
    cell: Cell,
    step: Step,
    startable: list[Task],
    workers: list[Worker],
    pool: Pool,
    now_s: float,
) -> bool:
    """Start all members of a gang, or reserve workers and preempt for it."""
    if len(startable) < len(step.tasks):
        return _plan_missing_members(cell, step, startable, workers, now_s)
    if not is_within_limits(cell, step, len(startable)):
        return False
    if step.has_suspects:
        chosen = choose_isolated_gang_workers(
            cell, step, startable, workers, pool, now_s
        )
    else:
        chosen = choose_gang_workers(step, startable, workers)
    if chosen is None:
        # Gangs past their deadline must not hold back steps that are still useful.
        if pool.renews_reservations and (
            pool.all_past_deadline or rank(cell, step, now_s)[0] != Tier.PAST_DEADLINE
        ):
            reserve(cell, step, pool, now_s)
            _preempt_if_reserved_too_late(cell, step, pool, now_s)
        return False
    step.gang_run_number = max(task.last_run_number for task in step.tasks) + 1
    checkpoint = _find_gang_checkpoint(step)
    for task, worker in chosen:
        task.checkpoint = checkpoint
        start_run(cell, task, worker, step.gang_run_number, now_s)
    cell.waiting_steps.pop(step.key, None)
    step.first_reserved_for_s = math.inf
    release_reservation(cell, step.key)
    return True


def _preempt_if_reserved_too_late(
    cell: Cell, step: Step, pool: Pool, now_s: float
) -> None:
    """Preempt runs for a gang whose reserved workers become free too late."""
    reservation = cell.reservations.get(step.key)
    ready_s = reservation.ready_s if reservation else math.inf
    preempt(cell, step, pool, ready_s, now_s)


def _find_gang_checkpoint(step: Step) -> str:
    """Return one checkpoint for all members: any member's is valid for all."""
    return next((task.checkpoint for task in step.tasks if task.checkpoint), "")


def _plan_missing_members(
    cell: Cell,
    step: Step,
    startable: list[Task],
    workers: list[Worker],
    now_s: float,
) -> bool:
    """Start the missing members of a partial gang, or stop its runs.

    Missing members join only within the join window and only if all runs have the run
    number of the gang and are at the service that its queue is sent to. Otherwise the
    runs are stopped, and the gang can start again as a whole.
    """
    runs = list(step.runs())
    if any(run.state is RunState.STOPPING for run in runs):
        return False
    if not runs or any(task.may_be_at_work for task in step.tasks):
        return False
    first_ordered_s = min(run.ordered_s for run in runs)
    in_join_window = (
        now_s - first_ordered_s
        < cell.timing_limits.gang_start_timeout_s * GANG_JOIN_WINDOW_SHARE
    )
    can_join = all(
        run.number == step.gang_run_number and _is_at_service(cell, run) for run in runs
    )
    chosen = (
        choose_gang_workers(step, startable, workers)
        if in_join_window and can_join
        else None
    )
    if chosen is None or not is_within_limits(cell, step, len(startable)):
        if not in_join_window or not can_join:
            stop_step(cell, step, GANG_INCOMPLETE)
        return False
    for task, worker in chosen:
        # A task uses a run number at most once, so this member can't join any more.
        if task.last_run_number >= step.gang_run_number:
            stop_step(cell, step, GANG_REFUSED)
            return False
        start_run(cell, task, worker, step.gang_run_number, now_s)
    cell.waiting_steps.pop(step.key, None)
    return True


def _is_at_service(cell: Cell, run: Run) -> bool:
    """Return whether a run's worker is of the service that its queue is sent to."""
    worker = cell.workers.get(run.worker_id)
    return worker is None or worker.entry.service == run.task.step.job.service
