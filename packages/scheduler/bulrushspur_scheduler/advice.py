"""When to ask the placement advice service, about which workers, and through whom.

The service takes one call at a time from each calling VM, so every VM is a lane. Long
calls keep to a part of the lanes, so that short ones do not wait behind them.
"""

import dataclasses
import math
import typing as t

from bulrushspur_scheduler.cell import AdviceCall, Cell
from bulrushspur_scheduler.config import Queue
from bulrushspur_scheduler.jobs import Job, Step, StepKey
from bulrushspur_scheduler.placement import (
    Pool,
    eligible_workers,
    free_slots_on,
    has_ticket,
)
from bulrushspur_scheduler.workers import Worker

# A call names at most so many workers; more are shared out over several lanes.
MAX_WORKERS_PER_CALL: t.Final = 24
# Workers named hold this many times the step, if as many are good as usual.
CANDIDATE_FACTOR: t.Final = 2.0
GANG_CANDIDATE_FACTOR: t.Final = 3.0
ADVICE_RETRY_DELAY_S: t.Final = 0.1
ADVICE_LEAD_S: t.Final = 0.1
# Tickets are kept for this many times the room of a gang, and renewed in groups.
TICKETED_SLOTS_FACTOR: t.Final = 1.5
MAX_STALE_TICKET_SHARE: t.Final = 0.3
# Room that is so many calls away is far off.
DISTANT_RESERVATION_FACTOR: t.Final = 2.0
MIN_LONG_CALL_S: t.Final = 0.25
LONG_CALL_LANE_SHARE: t.Final = 0.5
# A lane that comes free within this time counts as free.
LANE_FREE_TOLERANCE_S: t.Final = 0.05
TICKET_EXPIRY_MARGIN_S: t.Final = 0.1
PRIOR_APPROVAL_RATE: t.Final = 0.5
APPROVAL_RATE_GAIN: t.Final = 0.05
MIN_APPROVAL_RATE: t.Final = 0.1


def request_initial_advice(cell: Cell, step: Step, queue: Queue, pool: Pool) -> None:
    """Ask about many workers for a step of which nothing is known."""
    _ask(cell, step, queue, _first_workers(cell, step, pool))


def _first_workers(cell: Cell, step: Step, pool: Pool) -> list[Worker]:
    """Choose among the workers that were not judged yet; those with most room."""
    spec = step.spec
    rows = [
        one
        for one in pool.workers
        if one.id not in step.evaluated_workers
        and one.entry.capacity.can_fit(spec.resources)
        and spec.accepts_labels(one.entry.labels)
    ]
    rows.sort(key=lambda one: -one.free.cpu_milli)
    if not rows:
        return rows
    largest = max(one.entry.capacity.cpu_milli for one in rows)
    per_worker = max(largest // max(spec.resources.cpu_milli, 1), 1)
    spare = GANG_CANDIDATE_FACTOR if spec.gang else CANDIDATE_FACTOR
    share = cell.approval_rates.get(step.job.queue, PRIOR_APPROVAL_RATE)
    wanted = math.ceil(spare * math.ceil(spec.count / per_worker) / share)
    return rows[: max(wanted, MAX_WORKERS_PER_CALL)]


def refresh_advice(
    cell: Cell, step: Step, queue: Queue, pool: Pool, now_s: float
) -> None:
    """Renew tickets of a step that would fit now, or look at further workers."""
    if step.in_flight_advice_calls or now_s < step.advice_retry_at_s:
        return
    waiting = len(step.startable_tasks())
    usable = eligible_workers(cell, step, pool, now_s, ticketed=False)
    good = [one for one in usable if one.id in step.approved_workers]
    with_room = [one for one in good if free_slots_on(step, one)]
    room = sum(free_slots_on(step, one) for one in with_room)
    if with_room and (room >= waiting or not step.spec.gang):
        with_room.sort(key=lambda one: -free_slots_on(step, one))
        stale = [one for one in with_room if not has_ticket(step, one, now_s)]
        _ask(cell, step, queue, stale[: waiting * 2 + 2])
        return
    fresh = _first_workers(cell, step, pool)
    if any(free_slots_on(step, one) for one in fresh):
        _ask(cell, step, queue, fresh)


def request_advice_for_reservation(
    cell: Cell,
    step: Step,
    queue: Queue,
    pool: Pool,
    reservation: t.Any,
    now_s: float,
) -> None:
    """Renew tickets for reserved workers, so that they come when the room does.

    Where that is far off, ask about other workers that have the room now.
    """
    assert queue.advice is not None
    if step.in_flight_advice_calls or now_s < step.advice_retry_at_s:
        return
    call_s = queue.advice.expected_call_s(len(reservation.workers))
    if reservation.ready_s > now_s + call_s + ADVICE_LEAD_S:
        if reservation.ready_s > now_s + DISTANT_RESERVATION_FACTOR * call_s:
            _ask_further(cell, step, queue, pool)
        return
    needed_s = max(reservation.ready_s, now_s)
    stale = [one for one in reservation.workers if not has_ticket(step, one, needed_s)]
    _ask(cell, step, queue, stale)


def renew_tickets(
    cell: Cell, step: Step, queue: Queue, pool: Pool, now_s: float
) -> None:
    """Renew the tickets of a gang that may start soon before they expire.

    Room that comes free is then used at once, and not held for the time of a call.
    """
    assert queue.advice is not None
    if step.in_flight_advice_calls or now_s < step.advice_retry_at_s:
        return
    reservation = cell.reservations.get(step.key)
    wanted = {one.id: one for one in reservation.workers} if reservation else {}
    good = [pool.by_id[one] for one in step.approved_workers if one in pool.by_id]
    rooms = sorted(((free_slots_on(step, one), one.id) for one in good), reverse=True)
    needed = TICKETED_SLOTS_FACTOR * len(step.tasks)
    for room, worker_id in rooms:
        if needed <= 0 or not room:
            break
        wanted[worker_id] = pool.by_id[worker_id]
        needed -= room
    due_s = (
        now_s
        + queue.advice.expected_call_s(min(len(wanted), MAX_WORKERS_PER_CALL))
        + ADVICE_LEAD_S
    )
    stale = [one for one in wanted.values() if not has_ticket(step, one, due_s)]
    if len(stale) > MAX_STALE_TICKET_SHARE * len(wanted):
        _ask(cell, step, queue, stale)


def _ask_further(cell: Cell, step: Step, queue: Queue, pool: Pool) -> None:
    fresh = _first_workers(cell, step, pool)
    if sum(free_slots_on(step, one) for one in fresh) >= len(step.tasks):
        _ask(cell, step, queue, fresh)


def _ask(cell: Cell, step: Step, queue: Queue, workers: list[Worker]) -> None:
    """Ask in calls side by side; long ones only while a lane is free for them.

    Calls that queue up would bring tickets that are old when they come.
    """
    assert queue.advice is not None
    calls = math.ceil(len(workers) / MAX_WORKERS_PER_CALL)
    for index in range(calls):
        ids = tuple(one.id for one in workers[index::calls])
        call_s = queue.advice.expected_call_s(len(ids))
        if call_s > MIN_LONG_CALL_S:
            if not cell.free_long_call_lanes:
                return
            cell.free_long_call_lanes -= 1
        step.in_flight_advice_calls += 1
        cell.advice_calls.append(AdviceCall(step.key, ids, call_s, queue.priority))


def prefetch_advice(cell: Cell, job: Job, pool: Pool) -> None:
    """Ask for the first steps of a job while it is being stored."""
    queue = cell.queue_of(job)
    if queue is None or queue.advice is None or job.is_repeating:
        return
    for step in job.steps():
        if not step.spec.depends_on:
            request_initial_advice(cell, step, queue, pool)


def apply_advice(
    cell: Cell,
    key: StepKey,
    named: t.Sequence[str],
    good: t.Sequence[tuple[str, str]] | None,
    valid_s: float,
    now_s: float,
) -> None:
    """Take in an answer of the service; ``good`` is None where none came."""
    step = cell.find_step(key)
    if step is None:
        return
    step.in_flight_advice_calls -= 1
    if good is None:
        step.advice_retry_at_s = now_s + ADVICE_RETRY_DELAY_S
        cell.log("advice_failed", key.job, step=key.step, named=len(named))
        return
    step.evaluated_workers.update(named)
    _note_good_share(cell, step.job.queue, len(good) / max(len(named), 1))
    expiry_s = now_s + valid_s - TICKET_EXPIRY_MARGIN_S
    for worker, ticket in good:
        step.approved_workers.add(worker)
        step.tickets[worker] = (ticket, expiry_s)
    cell.log("advice", key.job, step=key.step, named=len(named), good=len(good))


def _note_good_share(cell: Cell, queue: str, share: float) -> None:
    mean = cell.approval_rates.get(queue, PRIOR_APPROVAL_RATE)
    mean += APPROVAL_RATE_GAIN * (share - mean)
    cell.approval_rates[queue] = max(mean, MIN_APPROVAL_RATE)


@dataclasses.dataclass(slots=True)
class Lane:
    """A VM that can call the service, and until when its calls keep it busy."""

    name: str
    busy_until_s: float = 0.0
    queued_calls: int = 0


def _share_out(lanes: list[Lane]) -> tuple[list[Lane], list[Lane]]:
    """Return the lanes for long and for short calls."""
    ordered = sorted(lanes, key=lambda one: one.name)
    split = max(math.ceil(len(ordered) * LONG_CALL_LANE_SHARE), 1)
    return ordered[:split], ordered[split:]


def count_free_long_call_lanes(lanes: list[Lane], now_s: float) -> int:
    """Count the lanes that can begin a long call now."""
    return sum(
        one.busy_until_s <= now_s + LANE_FREE_TOLERANCE_S
        for one in _share_out(lanes)[0]
    )


def choose_lane(lanes: list[Lane], call_s: float, now_s: float) -> Lane | None:
    """Choose the lane that is free first; long calls use only a part of the lanes."""
    if not lanes:
        return None
    long, short = _share_out(lanes)
    mine = long if call_s > MIN_LONG_CALL_S else (short or long)
    open_lanes = [one for one in mine if one.queued_calls < 24]
    return min(
        open_lanes,
        key=lambda one: (max(one.busy_until_s, now_s), one.queued_calls),
        default=None,
    )
