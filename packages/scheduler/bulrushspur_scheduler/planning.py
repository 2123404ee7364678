"""Run one planning pass: order the starts that fit now.

Reads the waiting steps and the schedulable workers of a cell; adds start orders, stop
orders and advice calls to the cell, which the daemon sends. Steps are visited in order
of rank. A gang starts as a whole or not at all; a gang that does not fit reserves
workers and may preempt. Starts stay within the caps of client accounts and leave room
for urgent work there.
"""

import math
import typing as t

from bulrushspur_scheduler import advice
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.headroom import leaves_account_headroom
from bulrushspur_scheduler.jobs import RunState, Step, Task
from bulrushspur_scheduler.placement import (
    Pool,
    choose_gang_workers,
    eligible_workers,
    free_slots_of_account,
    make_pool,
    make_worker_chooser,
    needs_advice,
)
from bulrushspur_scheduler.preemption import preempt
from bulrushspur_scheduler.ranking import Tier, rank
from bulrushspur_scheduler.reservations import (
    release_reservation,
    renew_reservations,
    reserve,
)
from bulrushspur_scheduler.runs import start_run, stop_step
from bulrushspur_scheduler.unobserved_usage import count_unobserved_usage
from bulrushspur_scheduler.workers import Worker

# A pass ends once more steps than this could not be placed.
MAX_UNPLACED_STEPS: t.Final = 60
# Tickets are kept valid for this many waiting gangs, the first in order of rank.
MAX_TICKETED_GANGS: t.Final = 8
# Missing members may join a gang during this share of gang_start_timeout_s, counted
# from its first start order.
GANG_JOIN_WINDOW_SHARE: t.Final = 0.5


def plan(cell: Cell, now_s: float) -> None:
    """Order all starts that fit now; ``now_s`` is on the monotonic clock."""
    steps = sorted(
        cell.waiting_steps.values(), key=lambda step: rank(cell, step, now_s)
    )
    all_past_deadline = (
        bool(steps) and rank(cell, steps[0], now_s)[0] == Tier.PAST_DEADLINE
    )
    pools: dict[str, Pool] = {}
    renews_reservations = renew_reservations(cell, now_s)
    cell.unobserved_usage = count_unobserved_usage(cell)
    unplaced_steps = 0
    for step in steps:
        startable = step.startable_tasks()
        if not startable:
            # Tasks that are not reconciled may become startable, so their step stays.
            if not any(task.unreconciled for task in step.tasks):
                cell.waiting_steps.pop(step.key, None)
            continue
        service = step.job.service
        pool = pools.get(service)
        if pool is None:
            pool = pools[service] = make_pool(cell, service, now_s)
            pool.all_past_deadline = all_past_deadline
            pool.renews_reservations = renews_reservations
        if not _plan_step(cell, step, startable, pool, now_s):
            unplaced_steps += 1
            if unplaced_steps > MAX_UNPLACED_STEPS:
                return


def _plan_step(
    cell: Cell, step: Step, startable: list[Task], pool: Pool, now_s: float
) -> bool:
    """Start the tasks of a step that fit; return False if some do not fit.

    Returns True for a step that waits for its first advice: it was not tried yet.
    """
    step.tried_s = now_s
    ticketed = needs_advice(cell, step)
    if ticketed and not step.evaluated_workers:
        queue = cell.queue_of(step.job)
        if (
            queue is not None
            and not step.in_flight_advice_calls
            and now_s >= step.advice_retry_at_s
        ):
            advice.request_initial_advice(cell, step, queue, pool)
        return True
    workers = eligible_workers(cell, step, pool, now_s, ticketed)
    if step.spec.gang:
        started = _plan_gang(cell, step, startable, workers, pool, now_s)
    else:
        started = _plan_tasks(cell, step, startable, workers, now_s)
    if started or not ticketed:
        return started
    queue = cell.queue_of(step.job)
    if queue is None:
        return False
    reservation = cell.reservations.get(step.key)
    if reservation is not None:
        advice.request_advice_for_reservation(
            cell, step, queue, pool, reservation, now_s
        )
    elif _is_within_limits(cell, step, 1):
        advice.refresh_advice(cell, step, queue, pool, now_s)
    if step.spec.gang and pool.ticketed_gangs < MAX_TICKETED_GANGS:
        pool.ticketed_gangs += 1
        advice.renew_tickets(cell, step, queue, pool, now_s)
    return False


def _is_within_limits(cell: Cell, step: Step, count: int) -> bool:
    """Return whether the account's cap and urgent headroom allow ``count`` tasks."""
    each, job = step.spec.resources, step.job
    if free_slots_of_account(cell, job.account, each) < count:
        return False
    return job.priority == 0 or leaves_account_headroom(
        cell, job.account, each.cpu_milli * count
    )


def _plan_tasks(
    cell: Cell,
    step: Step,
    startable: list[Task],
    workers: list[Worker],
    now_s: float,
) -> bool:
    """Start single tasks while they fit; return whether all were started."""
    if not _is_within_limits(cell, step, 1):
        return False
    choose_worker = make_worker_chooser(step, workers)
    for task in startable:
        if not _is_within_limits(cell, step, 1):
            return False
        worker = choose_worker(task)
        if worker is None:
            return False
        start_run(cell, task, worker, task.last_run_number + 1, now_s)
    cell.waiting_steps.pop(step.key, None)
    return True


def _plan_gang(
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
    if not _is_within_limits(cell, step, len(startable)):
        return False
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
    number of the gang. Otherwise the runs are stopped, and the gang can start again as
    a whole.
    """
    runs = [run for task in step.tasks for run in task.runs]
    if any(run.state is RunState.STOPPING for run in runs):
        return False
    if not runs or any(task.unreconciled for task in step.tasks):
        return False
    first_ordered_s = min(run.ordered_s for run in runs)
    in_join_window = (
        now_s - first_ordered_s
        < cell.timing_limits.gang_start_timeout_s * GANG_JOIN_WINDOW_SHARE
    )
    same_number = all(run.number == step.gang_run_number for run in runs)
    chosen = (
        choose_gang_workers(step, startable, workers)
        if in_join_window and same_number
        else None
    )
    if chosen is None or not _is_within_limits(cell, step, len(startable)):
        if not in_join_window or not same_number:
            stop_step(cell, step, "gang incomplete")
        return False
    for task, worker in chosen:
        # A task uses a run number at most once, so this member can't join any more.
        if task.last_run_number >= step.gang_run_number:
            stop_step(cell, step, "gang member was refused")
            return False
        start_run(cell, task, worker, step.gang_run_number, now_s)
    cell.waiting_steps.pop(step.key, None)
    return True
