"""Run one planning pass: order the starts that fit now.

Reads the waiting steps and the schedulable workers of a cell; adds start orders, stop
orders and advice calls to the cell, which the daemon sends. Steps are visited in order
of rank, and those that a pass does not reach are tried in rotation, so that each one is
tried within a bounded time. Starts stay within the caps of client accounts and leave
room for urgent work there.
"""

import contextlib
import math
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.faulted_jobs import (
    requeue_faulted_jobs,
    set_aside_job,
    set_aside_on_error,
)
from bulrushspur_scheduler.gangs import plan_gang
from bulrushspur_scheduler.isolation import (
    is_suspect,
    start_suspects,
    waits_for_isolation,
)
from bulrushspur_scheduler.jobs import Step, Task
from bulrushspur_scheduler.limits import (
    claim_account,
    is_kept_back,
    is_within_limits,
    waits_for_claim,
)
from bulrushspur_scheduler.placement import (
    eligible_workers,
    make_worker_chooser,
    needs_advice,
)
from bulrushspur_scheduler.pools import (
    Pool,
    include_workers,
    list_extra_workers,
    make_pool,
    may_share,
    record_trials,
)
from bulrushspur_scheduler.ranking import Tier, rank
from bulrushspur_scheduler.reservations import (
    count_unheld_tasks,
    record_hold,
    renew_hold_period,
    renew_reservations,
)
from bulrushspur_scheduler.rotation import max_rotated_steps, may_fit, measure_rooms
from bulrushspur_scheduler.runs import start_run
from bulrushspur_scheduler.step_advice import (
    keep_advice,
    may_use_advice,
    renew_tickets_without_room,
    request_first_advice,
    request_further_advice,
)
from bulrushspur_scheduler.suspects import awaits_storage, awaits_verdict
from bulrushspur_scheduler.unlike_workers import find_needed_speed
from bulrushspur_scheduler.unobserved_usage import count_unobserved_usage
from bulrushspur_scheduler.workers import Worker

# A pass tries further steps of a service only in rotation once more steps than this
# could not be placed, although the limits of their account allow it.
MAX_UNPLACED_STEPS: t.Final = 60
# The same for steps that the limits of their account keep back, which cost little. Also
# the limit of what a pass takes from the rotation.
MAX_CHECKED_STEPS: t.Final = 1500


def plan(cell: Cell, now_s: float) -> None:
    """Order all starts that fit now; ``now_s`` is on the monotonic clock."""
    requeue_faulted_jobs(cell, now_s)
    steps = _sort_by_rank(cell, now_s)
    # Tasks that last have no deadline.
    first = next((step for step in steps if not step.spec.long_running), None)
    all_past_deadline = (
        first is not None and rank(cell, first, now_s)[0] == Tier.PAST_DEADLINE
    )
    pools: dict[str, Pool] = {}
    unreached: dict[str, list[Step]] = {}
    renews_reservations = renew_reservations(cell, now_s)
    cell.unobserved_usage = count_unobserved_usage(cell)
    for step in steps:
        service = step.job.service
        pool = pools.get(service)
        if pool is None:
            pool = pools[service] = make_pool(cell, service, now_s)
            pool.all_past_deadline = all_past_deadline
            pool.renews_reservations = renews_reservations
            renew_hold_period(cell, service, pool, now_s)
            unreached[service] = []
        if pool.unplaced_steps > MAX_UNPLACED_STEPS or (
            len(pool.kept_back_steps) > MAX_CHECKED_STEPS
        ):
            unreached[service].append(step)
        else:
            _visit_step_or_set_aside(cell, step, pool, now_s)
    for service, pool in pools.items():
        if unreached[service]:
            _plan_in_rotation(cell, service, unreached[service], pool, now_s)
        renew_tickets_without_room(cell, pool, now_s)
        for step in pool.kept_back_steps[:MAX_UNPLACED_STEPS]:
            with set_aside_on_error(cell, step, now_s):
                keep_advice(cell, step, pool, now_s)
        renew_tickets_without_room(cell, pool, now_s)


def _plan_in_rotation(
    cell: Cell, service: str, unreached: list[Step], pool: Pool, now_s: float
) -> None:
    """Try steps that were not reached in order of rank, each of them in its turn.

    These steps start only where they fit now: they reserve and preempt nothing.
    """
    queue = cell.rotations.get(service)
    if not queue:
        queue = cell.rotations[service] = unreached[::-1]
    pool.renews_reservations = False
    rooms = measure_rooms(pool)
    remaining = max_rotated_steps(pool)
    for _ in range(min(len(queue), MAX_CHECKED_STEPS)):
        if not remaining:
            return
        step = queue.pop()
        # Its queue may be sent to another service since.
        is_due = step.job.service == service and may_fit(step, rooms)
        if cell.waiting_steps.get(step.key) is step and is_due:
            remaining -= _visit_step_or_set_aside(cell, step, pool, now_s)


def _sort_by_rank(cell: Cell, now_s: float) -> list[Step]:
    """Sort the waiting steps, and set aside the jobs of those that have no rank."""
    steps = list(cell.waiting_steps.values())
    try:
        return sorted(steps, key=lambda step: rank(cell, step, now_s))
    except Exception:
        # The steps at fault are found, and logged, one by one.
        for step in steps:
            try:
                rank(cell, step, now_s)
            except Exception as exc:
                set_aside_job(cell, step.job, exc, now_s)
    return sorted(cell.waiting_steps.values(), key=lambda step: rank(cell, step, now_s))


def _visit_step_or_set_aside(cell: Cell, step: Step, pool: Pool, now_s: float) -> bool:
    """Visit a step; a fault must not hold back other steps, nor end the term."""
    # A context manager would cost too much here.
    try:
        return _visit_step(cell, step, pool, now_s)
    except Exception as exc:
        set_aside_job(cell, step.job, exc, now_s)
        return True


def _visit_step(cell: Cell, step: Step, pool: Pool, now_s: float) -> bool:
    """Plan a step unless its account's limits keep it back; return whether they don't.

    Drops a step without startable tasks from those that wait.
    """
    step.tried_s = now_s
    is_refused = is_kept_back(cell, step, pool)
    if is_refused and not pool.all_past_deadline:
        claim_account(cell, step, pool, now_s)
    if is_refused or waits_for_claim(step, pool, now_s):
        pool.kept_back_steps.append(step)
        return False
    startable = step.startable_tasks()
    if step.has_suspects and (
        awaits_storage(step) or any(map(awaits_verdict, startable))
    ):
        return True
    if startable:
        _try_step(cell, step, startable, pool, now_s)
    elif not any(task.may_be_at_work or task.awaits_promise for task in step.tasks):
        # Such tasks may become startable, so their step stays.
        cell.waiting_steps.pop(step.key, None)
    return True


def _try_step(
    cell: Cell, step: Step, startable: list[Task], pool: Pool, now_s: float
) -> None:
    """Plan a step, and record what came of it."""
    order_count = len(cell.start_orders)
    extra = list_extra_workers(step, pool, now_s)
    with include_workers(pool, extra) if extra else contextlib.nullcontext():
        placed = _plan_step(cell, step, startable, pool, now_s)
    pool.unplaced_steps += not placed and not waits_for_isolation(step)
    started = cell.start_orders[order_count:]
    if pool.doubted_workers and started:
        record_trials(pool, {order.worker_id for order in started}, now_s)
    record_hold(cell, step, pool, len(started), now_s)
    step.unplaced_since_s = math.inf if started else min(step.unplaced_since_s, now_s)


def _plan_step(
    cell: Cell, step: Step, startable: list[Task], pool: Pool, now_s: float
) -> bool:
    """Start the tasks of a step that fit; return False if some do not fit.

    Returns True for a step that waits for its first advice: it was not tried yet.
    """
    ticketed = needs_advice(cell, step)
    if ticketed and not step.evaluated_workers:
        request_first_advice(cell, step, pool, now_s)
        return True
    workers = eligible_workers(cell, step, pool, now_s, ticketed)
    step.needed_speed = find_needed_speed(cell, step, now_s)
    if step.spec.gang:
        started = plan_gang(cell, step, startable, workers, pool, now_s)
    else:
        max_count = count_unheld_tasks(step, pool)
        started = _plan_tasks(cell, step, startable, workers, max_count, pool, now_s)
    if ticketed and not started and may_use_advice(step, pool):
        request_further_advice(cell, step, pool, now_s)
    return started


def _plan_tasks(
    cell: Cell,
    step: Step,
    startable: list[Task],
    workers: list[Worker],
    max_count: int,
    pool: Pool,
    now_s: float,
) -> bool:
    """Start single tasks while they fit; return whether all were started."""
    if not is_within_limits(cell, step, 1):
        return False
    if step.has_suspects:
        suspects = [task for task in startable if is_suspect(task)]
        others = [task for task in startable if not is_suspect(task)]
        shared = [row for row in workers if may_share(row, step, pool, now_s)]
        others_started = _start_tasks(cell, step, others, shared, max_count, now_s)
        suspects_started = start_suspects(cell, step, suspects, workers, pool, now_s)
        if not (others_started and suspects_started):
            return False
    elif not _start_tasks(cell, step, startable, workers, max_count, now_s):
        return False
    cell.waiting_steps.pop(step.key, None)
    return True


def _start_tasks(
    cell: Cell,
    step: Step,
    startable: list[Task],
    workers: list[Worker],
    max_count: int,
    now_s: float,
) -> bool:
    """Start tasks on the workers that fit them best; return whether all were."""
    choose_worker = make_worker_chooser(step, workers)
    for task in startable[:max_count]:
        if not is_within_limits(cell, step, 1):
            return False
        worker = choose_worker(task)
        if worker is None:
            return False
        start_run(cell, task, worker, task.last_run_number + 1, now_s)
    return len(startable) <= max_count
