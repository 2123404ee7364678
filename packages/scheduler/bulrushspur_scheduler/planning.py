"""One planning pass: start what fits, in order of rank."""

import math
import typing as t

from bulrushspur_scheduler import advice
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import RunState, Step, Task
from bulrushspur_scheduler.placement import (
    Pool,
    choose_gang_workers,
    choose_worker,
    eligible_workers,
    free_slots_of_account,
    make_pool,
    needs_advice,
)
from bulrushspur_scheduler.preemption import preempt
from bulrushspur_scheduler.ranking import Tier, rank
from bulrushspur_scheduler.reservations import clear_reservations, reserve
from bulrushspur_scheduler.runs import start_run, stop_step
from bulrushspur_scheduler.unobserved_usage import count_unobserved_usage
from bulrushspur_scheduler.workers import Worker

# A pass gives up after so many steps that found no room.
MAX_UNPLACED_STEPS: t.Final = 60
# The first gangs in order have their tickets kept valid while they wait.
MAX_TICKETED_GANGS: t.Final = 8
# Members that are missing may still join a gang this long after its first order.
GANG_JOIN_WINDOW_SHARE: t.Final = 0.5


def plan(cell: Cell, now_s: float) -> None:
    """Order all starts that fit now."""
    steps = sorted(cell.waiting_steps.values(), key=lambda one: rank(cell, one, now_s))
    all_late = bool(steps) and rank(cell, steps[0], now_s)[0] == Tier.PAST_DEADLINE
    pools: dict[str, Pool] = {}
    clear_reservations(cell)
    cell.unobserved_usage = count_unobserved_usage(cell)
    misses = 0
    for step in steps:
        waiting = step.startable_tasks()
        if not waiting:
            if not any(task.unreconciled for task in step.tasks):
                cell.waiting_steps.pop(step.key, None)
            continue
        service = step.job.service
        pool = pools.get(service)
        if pool is None:
            pool = pools[service] = make_pool(cell, service, now_s)
            pool.all_past_deadline = all_late
        if not _plan_step(cell, step, waiting, pool, now_s):
            misses += 1
            if misses > MAX_UNPLACED_STEPS:
                return


def _plan_step(
    cell: Cell, step: Step, waiting: list[Task], pool: Pool, now_s: float
) -> bool:
    """Start what fits of one step; tell whether it needs no more for now."""
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
        started = _plan_gang(cell, step, waiting, workers, pool, now_s)
    else:
        started = _plan_tasks(cell, step, waiting, workers, pool, now_s)
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
    elif _may_use(cell, step, pool, 1):
        advice.refresh_advice(cell, step, queue, pool, now_s)
    if step.spec.gang and pool.ticketed_gangs < MAX_TICKETED_GANGS:
        pool.ticketed_gangs += 1
        advice.renew_tickets(cell, step, queue, pool, now_s)
    return False


def _may_use(cell: Cell, step: Step, pool: Pool, count: int) -> bool:
    """Tell whether the cap and the urgent headroom leave room for some tasks."""
    each = step.spec.resources
    if free_slots_of_account(cell, step.job.account, each) < count:
        return False
    if step.job.priority == 0:
        return True
    return each.cpu_milli * count <= pool.lower_priority_cpu_milli


def _plan_tasks(
    cell: Cell,
    step: Step,
    waiting: list[Task],
    workers: list[Worker],
    pool: Pool,
    now_s: float,
) -> bool:
    for task in waiting:
        if not _may_use(cell, step, pool, 1):
            return False
        worker = choose_worker(step, task, workers)
        if worker is None:
            return False
        _start(cell, task, worker, task.last_run_number + 1, pool, now_s)
    cell.waiting_steps.pop(step.key, None)
    return True


def _start(
    cell: Cell, task: Task, worker: Worker, number: int, pool: Pool, now_s: float
) -> None:
    start_run(cell, task, worker, number, now_s)
    if task.step.job.priority > 0:
        pool.lower_priority_cpu_milli -= task.step.spec.resources.cpu_milli


def _plan_gang(
    cell: Cell,
    step: Step,
    waiting: list[Task],
    workers: list[Worker],
    pool: Pool,
    now_s: float,
) -> bool:
    if len(waiting) < len(step.tasks):
        return _complete_gang(cell, step, waiting, workers, pool, now_s)
    each = step.spec.resources
    if free_slots_of_account(cell, step.job.account, each) < len(waiting):
        return False
    chosen = None
    if _may_use(cell, step, pool, len(waiting)):
        chosen = choose_gang_workers(step, waiting, workers)
    if chosen is None:
        # Gangs that are of no more use hold up nothing that still is.
        if pool.all_past_deadline or rank(cell, step, now_s)[0] != Tier.PAST_DEADLINE:
            reserve(cell, step, pool, now_s)
            _preempt(cell, step, pool, now_s)
        return False
    step.gang_run_number = max(task.last_run_number for task in step.tasks) + 1
    checkpoint = _gang_checkpoint(step)
    for task, worker in chosen:
        task.checkpoint = checkpoint
        _start(cell, task, worker, step.gang_run_number, pool, now_s)
    cell.waiting_steps.pop(step.key, None)
    return True


def _preempt(cell: Cell, step: Step, pool: Pool, now_s: float) -> None:
    """Stop work that can wait where the reserved room comes too late."""
    reservation = cell.reservations.get(step.key)
    ready_s = reservation.ready_s if reservation else math.inf
    preempt(cell, step, pool, ready_s, now_s)


def _gang_checkpoint(step: Step) -> str:
    """Choose one checkpoint for all members: any member's is valid for all."""
    return next((task.checkpoint for task in step.tasks if task.checkpoint), "")


def _complete_gang(
    cell: Cell,
    step: Step,
    waiting: list[Task],
    workers: list[Worker],
    pool: Pool,
    now_s: float,
) -> bool:
    """Start members that are missing in time, else stop the others."""
    runs = [run for task in step.tasks for run in task.runs]
    if any(run.state is RunState.STOPPING for run in runs):
        return False
    if not runs or any(task.unreconciled for task in step.tasks):
        return False
    first_s = min(run.ordered_s for run in runs)
    in_time = (
        now_s - first_s
        < cell.timing_limits.gang_start_timeout_s * GANG_JOIN_WINDOW_SHARE
    )
    same = all(run.number == step.gang_run_number for run in runs)
    chosen = choose_gang_workers(step, waiting, workers) if in_time and same else None
    if chosen is None or not _may_use(cell, step, pool, len(waiting)):
        if not in_time or not same:
            stop_step(cell, step, "gang incomplete")
        return False
    for task, worker in chosen:
        if task.last_run_number >= step.gang_run_number:
            stop_step(cell, step, "gang member was refused")
            return False
        _start(cell, task, worker, step.gang_run_number, pool, now_s)
    cell.waiting_steps.pop(step.key, None)
    return True
