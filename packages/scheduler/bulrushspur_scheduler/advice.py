"""Decide when to call the placement advice service, and about which workers.

The service approves workers for a step and issues a ticket for each; a start on a
worker needs a ticket that is still valid. The input is a waiting step and the pool of
usable workers, or the service's reply; the result is advice calls to send, and the
approved workers and tickets of the step. A step gets no new calls while earlier ones
are in flight.
"""

import math
import typing as t

from bulrushspur_scheduler.cell import AdviceCall, Cell
from bulrushspur_scheduler.config import AdvicePolicy, Queue
from bulrushspur_scheduler.jobs import Job, Step
from bulrushspur_scheduler.lanes import MIN_LONG_CALL_S
from bulrushspur_scheduler.placement import eligible_workers, free_slots_on, has_ticket
from bulrushspur_scheduler.pools import Pool
from bulrushspur_scheduler.resources import count_fitting_tasks
from bulrushspur_scheduler.workers import Worker

# Longer lists of workers are split into calls that run in parallel on several lanes.
MAX_WORKERS_PER_CALL: t.Final = 24
# The service takes no more workers in a call.
MAX_WORKERS_PER_LONG_CALL: t.Final = 100
# At the usual approval rate, the approved workers hold this many times the step.
CANDIDATE_FACTOR: t.Final = 2.0
GANG_CANDIDATE_FACTOR: t.Final = 3.0
ADVICE_RETRY_DELAY_S: t.Final = 0.1
ADVICE_LEAD_S: t.Final = 0.1
# Tickets are kept valid for this many times the slots that a gang needs. They are
# renewed in groups, once more than the given share of them would expire.
TICKETED_SLOTS_FACTOR: t.Final = 1.5
MAX_STALE_TICKET_SHARE: t.Final = 0.3
# A reservation is distant if it will be ready later than this many call durations.
DISTANT_RESERVATION_FACTOR: t.Final = 2.0
TICKET_EXPIRY_MARGIN_S: t.Final = 0.1
PRIOR_APPROVAL_RATE: t.Final = 0.5
APPROVAL_RATE_GAIN: t.Final = 0.05
MIN_APPROVAL_RATE: t.Final = 0.1


def request_initial_advice(cell: Cell, step: Step, queue: Queue, pool: Pool) -> None:
    """Request advice on many workers for a step that has none yet."""
    assert queue.advice is not None
    is_long = queue.advice.expected_call_s(1) > MIN_LONG_CALL_S
    if is_long and not cell.free_long_call_lanes:
        # Choosing workers for a call that can't be made would cost too much.
        return
    _request_advice(cell, step, queue, _choose_candidates(cell, step, pool))


def _choose_candidates(cell: Cell, step: Step, pool: Pool) -> list[Worker]:
    """Choose suitable workers not evaluated yet.

    Those with room for a task come first, then those with the most free CPU. Their
    number makes up for the share that the service usually does not approve.
    """
    spec = step.spec
    candidates = [
        worker
        for worker in pool.workers
        if worker.id not in step.evaluated_workers
        and worker.entry.capacity.can_fit(spec.resources)
        and spec.accepts_labels(worker.labels)
    ]
    candidates.sort(
        key=lambda worker: (
            not count_fitting_tasks(worker.free, spec.resources),
            -worker.free.cpu_milli,
        )
    )
    if not candidates:
        return candidates
    max_cpu_milli = max(worker.entry.capacity.cpu_milli for worker in candidates)
    tasks_per_worker = max(max_cpu_milli // max(spec.resources.cpu_milli, 1), 1)
    factor = GANG_CANDIDATE_FACTOR if spec.gang else CANDIDATE_FACTOR
    approval_rate = cell.approval_rates.get(step.job.queue, PRIOR_APPROVAL_RATE)
    count = math.ceil(factor * math.ceil(spec.count / tasks_per_worker) / approval_rate)
    return candidates[: max(count, MAX_WORKERS_PER_CALL)]


def refresh_advice(
    cell: Cell, step: Step, queue: Queue, pool: Pool, now_s: float
) -> None:
    """Renew tickets of approved workers with free slots, or evaluate further workers.

    A gang has its tickets renewed only if all its waiting tasks would fit now.
    """
    if step.in_flight_advice_calls or now_s < step.advice_retry_at_s:
        return
    waiting = len(step.startable_tasks())
    eligible = eligible_workers(cell, step, pool, now_s, ticketed=False)
    approved = [worker for worker in eligible if worker.id in step.approved_workers]
    with_slots = [worker for worker in approved if free_slots_on(step, worker)]
    free_slots = sum(free_slots_on(step, worker) for worker in with_slots)
    if with_slots and (free_slots >= waiting or not step.spec.gang):
        with_slots.sort(key=lambda worker: -free_slots_on(step, worker))
        unticketed = [
            worker for worker in with_slots if not has_ticket(step, worker, now_s)
        ]
        _request_advice(cell, step, queue, unticketed[: waiting * 2 + 2])
        return
    candidates = _choose_candidates(cell, step, pool)
    if any(free_slots_on(step, worker) for worker in candidates):
        _request_advice(cell, step, queue, candidates)


def fits_now(cell: Cell, step: Step, pool: Pool, now_s: float) -> bool:
    """Return whether approved workers have room for all waiting tasks of a gang."""
    eligible = eligible_workers(cell, step, pool, now_s, ticketed=False)
    free_slots = sum(
        free_slots_on(step, worker)
        for worker in eligible
        if worker.id in step.approved_workers
    )
    return free_slots >= len(step.startable_tasks())


def request_advice_for_reservation(
    cell: Cell,
    step: Step,
    queue: Queue,
    pool: Pool,
    reservation: t.Any,
    now_s: float,
) -> None:
    """Renew tickets for reserved workers, to arrive when the reservation is ready.

    For a reservation that is distant or was put off, request advice on other workers
    that have enough free slots now.
    """
    assert queue.advice is not None
    if step.in_flight_advice_calls or now_s < step.advice_retry_at_s:
        return
    call_s = queue.advice.expected_call_s(len(reservation.workers))
    if reservation.ready_s <= now_s + call_s + ADVICE_LEAD_S:
        needed_s = max(reservation.ready_s, now_s)
        unticketed = [
            worker
            for worker in reservation.workers
            if not has_ticket(step, worker, needed_s)
        ]
        _request_advice(cell, step, queue, unticketed)
    was_put_off = step.first_reserved_for_s < now_s < reservation.ready_s
    if was_put_off or reservation.ready_s > now_s + DISTANT_RESERVATION_FACTOR * call_s:
        _request_advice_elsewhere(cell, step, queue, pool)


def renew_tickets(
    cell: Cell, step: Step, queue: Queue, pool: Pool, now_s: float
) -> None:
    """Renew tickets before they expire, for a gang that may start soon.

    Slots that become free are then used at once, and not held idle during a call.
    """
    assert queue.advice is not None
    if step.in_flight_advice_calls or now_s < step.advice_retry_at_s:
        return
    reservation = cell.reservations.get(step.key)
    wanted_by_id = (
        {worker.id: worker for worker in reservation.workers} if reservation else {}
    )
    approved = [
        pool.by_id[worker_id]
        for worker_id in step.approved_workers
        if worker_id in pool.by_id
    ]
    slots_by_worker = sorted(
        ((free_slots_on(step, worker), worker.id) for worker in approved), reverse=True
    )
    needed_slots = TICKETED_SLOTS_FACTOR * len(step.tasks)
    for slots, worker_id in slots_by_worker:
        if needed_slots <= 0 or not slots:
            break
        wanted_by_id[worker_id] = pool.by_id[worker_id]
        needed_slots -= slots
    renewed_s = (
        now_s
        + queue.advice.expected_call_s(min(len(wanted_by_id), MAX_WORKERS_PER_CALL))
        + ADVICE_LEAD_S
    )
    expiring = [
        worker
        for worker in wanted_by_id.values()
        if not has_ticket(step, worker, renewed_s)
    ]
    if len(expiring) > MAX_STALE_TICKET_SHARE * len(wanted_by_id):
        _request_advice(cell, step, queue, expiring)


def _request_advice_elsewhere(cell: Cell, step: Step, queue: Queue, pool: Pool) -> None:
    """Request advice on further workers if the whole gang would fit on them now."""
    candidates = _choose_candidates(cell, step, pool)
    if sum(free_slots_on(step, worker) for worker in candidates) >= len(step.tasks):
        _request_advice(cell, step, queue, candidates)


def _request_advice(
    cell: Cell, step: Step, queue: Queue, workers: list[Worker]
) -> None:
    """Add parallel calls for these workers; long ones only while a lane is free.

    Tickets of a call that had to queue would be old on arrival.
    """
    assert queue.advice is not None
    call_count = _count_calls(cell, queue.advice, len(workers))
    for index in range(call_count):
        worker_ids = tuple(worker.id for worker in workers[index::call_count])
        call_s = queue.advice.expected_call_s(len(worker_ids))
        if call_s > MIN_LONG_CALL_S:
            if not cell.free_long_call_lanes:
                return
            cell.free_long_call_lanes -= 1
        call = AdviceCall(step.key, worker_ids, call_s, queue.priority)
        step.in_flight_advice_calls.add(call)
        cell.advice_calls.append(call)


def _count_calls(cell: Cell, policy: AdvicePolicy, worker_count: int) -> int:
    """Return into how many calls to split a list of workers.

    They are fewer and longer if, in turn on the free lanes, the first tickets would
    expire before the last are there.
    """
    rv = math.ceil(worker_count / MAX_WORKERS_PER_CALL)
    call_s = policy.expected_call_s(MAX_WORKERS_PER_CALL)
    lanes = cell.free_long_call_lanes
    if call_s > MIN_LONG_CALL_S and rv * call_s > lanes * policy.ticket_valid_s:
        min_count = math.ceil(worker_count / MAX_WORKERS_PER_LONG_CALL)
        rv = max(min(rv, lanes), min_count)
    return rv


def prefetch_advice(cell: Cell, job: Job, pool: Pool) -> None:
    """Request advice for the first steps of a job while its record is being stored."""
    queue = cell.queue_of(job)
    if queue.advice is None or job.is_repeating:
        return
    for step in job.steps():
        if not step.spec.depends_on:
            request_initial_advice(cell, step, queue, pool)


def apply_advice(
    cell: Cell,
    call: AdviceCall,
    approved: t.Sequence[tuple[str, str]] | None,
    valid_s: float,
    now_s: float,
) -> None:
    """Record a reply of the service, unless another job has the call's id by now.

    ``approved`` has pairs of worker id and ticket, valid for ``valid_s`` seconds from
    now; None means that the call failed. The step then waits ``ADVICE_RETRY_DELAY_S``
    before its next call.
    """
    key, worker_ids = call.step, call.worker_ids
    step = cell.find_step(key)
    if step is None or call not in step.in_flight_advice_calls:
        return
    step.in_flight_advice_calls.remove(call)
    if approved is None:
        step.advice_retry_at_s = now_s + ADVICE_RETRY_DELAY_S
        cell.log("advice_failed", key.job, step=key.step, named=len(worker_ids))
        return
    step.evaluated_workers.update(worker_ids)
    _update_approval_rate(cell, step.job.queue, len(approved) / max(len(worker_ids), 1))
    expiry_s = now_s + valid_s - TICKET_EXPIRY_MARGIN_S
    for worker_id, ticket in approved:
        step.approved_workers[worker_id] = None
        step.tickets[worker_id] = (ticket, expiry_s)
    cell.log(
        "advice", key.job, step=key.step, named=len(worker_ids), good=len(approved)
    )


def _update_approval_rate(cell: Cell, queue: str, share: float) -> None:
    """Update the moving average of the share of workers that are approved."""
    mean = cell.approval_rates.get(queue, PRIOR_APPROVAL_RATE)
    mean += APPROVAL_RATE_GAIN * (share - mean)
    cell.approval_rates[queue] = max(mean, MIN_APPROVAL_RATE)
