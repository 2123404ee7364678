"""Keep the advice of waiting steps in a planning pass, as their ranks allow.

The input is a step that may not start yet, or did not; the result is advice calls in
the cell, which the daemon sends (``advice.py``).
"""

import typing as t

from bulrushspur_scheduler import advice
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.faulted_jobs import set_aside_on_error
from bulrushspur_scheduler.isolation import max_isolated, waits_for_isolation
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.limits import is_within_limits
from bulrushspur_scheduler.placement import needs_advice
from bulrushspur_scheduler.pools import Pool

# Tickets are kept valid for this many waiting gangs, the first in order of rank.
MAX_TICKETED_GANGS: t.Final = 8


def keep_advice(cell: Cell, step: Step, pool: Pool, now_s: float) -> None:
    """Keep the advice of a step that its account's limits keep back.

    This comes last in a pass: steps that can start need the lanes of the service.
    """
    if not needs_advice(cell, step):
        return
    if not step.evaluated_workers:
        request_first_advice(cell, step, pool, now_s)
    elif step.spec.gang:
        request_further_advice(cell, step, pool, now_s)


def may_use_advice(step: Step, pool: Pool) -> bool:
    """Return whether a step that did not start could do so with further advice.

    Of those that wait for isolation only the first few can: few workers are isolated.
    """
    if not waits_for_isolation(step):
        return True
    pool.waiting_suspects += 1
    return pool.waiting_suspects <= max_isolated(pool)


def request_first_advice(cell: Cell, step: Step, pool: Pool, now_s: float) -> None:
    """Request advice for a step that has none, unless calls are in flight."""
    if not step.in_flight_advice_calls and now_s >= step.advice_retry_at_s:
        queue = cell.queue_of(step.job)
        advice.request_initial_advice(cell, step, queue, pool)


def request_further_advice(cell: Cell, step: Step, pool: Pool, now_s: float) -> None:
    """Renew tickets of a step that did not start, or evaluate further workers."""
    queue = cell.queue_of(step.job)
    reservation = cell.reservations.get(step.key)
    if reservation is not None:
        advice.request_advice_for_reservation(
            cell, step, queue, pool, reservation, now_s
        )
    elif is_within_limits(cell, step, len(step.tasks) if step.spec.gang else 1):
        advice.refresh_advice(cell, step, queue, pool, now_s)
    if step.spec.gang and pool.ticketed_gangs < MAX_TICKETED_GANGS:
        pool.ticketed_gangs += 1
        if advice.fits_now(cell, step, pool, now_s):
            advice.renew_tickets(cell, step, queue, pool, now_s)
        else:
            pool.gangs_without_room.append(step)


def renew_tickets_without_room(cell: Cell, pool: Pool, now_s: float) -> None:
    """Keep tickets valid for gangs that wait for room, once others got their lanes."""
    gangs, pool.gangs_without_room = pool.gangs_without_room, []
    for step in gangs:
        if step.key in cell.waiting_steps:
            queue = cell.queue_of(step.job)
            with set_aside_on_error(cell, step, now_s):
                advice.renew_tickets(cell, step, queue, pool, now_s)
