"""When to ask the placement advice service, about which workers, and through whom.

The service takes one call at a time from each calling VM, so every VM is a lane. Long
calls keep to a part of the lanes, so that short ones do not wait behind them.
"""

import dataclasses
import math
import typing as t

from bulrushspur_scheduler.cell import AdviceAsk, Cell
from bulrushspur_scheduler.config import Queue
from bulrushspur_scheduler.jobs import Job, StepKey, StepRun
from bulrushspur_scheduler.placement import (
    Pool,
    eligible,
    has_ticket,
    room_on,
)
from bulrushspur_scheduler.workers import Worker

# A call names at most so many workers; more are shared out over several lanes.
CALL_WORKERS: t.Final = 24
# Workers named hold this many times the step, if as many are good as usual.
SPARE_FACTOR: t.Final = 2.0
GANG_SPARE_FACTOR: t.Final = 3.0
ASK_AGAIN_S: t.Final = 0.1
AHEAD_S: t.Final = 0.1
# Tickets are kept for this many times the room of a gang, and renewed in groups.
SPARE_ROOM: t.Final = 1.5
STALE_SHARE: t.Final = 0.3
# Room that is so many calls away is far off.
FAR_FACTOR: t.Final = 2.0
LONG_CALL_S: t.Final = 0.25
LONG_SHARE: t.Final = 0.5
# A lane that comes free within this time counts as free.
LANE_SOON_S: t.Final = 0.05
EXPIRY_MARGIN_S: t.Final = 0.1
GOOD_SHARE_ASSUMED: t.Final = 0.5
GOOD_SHARE_GAIN: t.Final = 0.05
GOOD_SHARE_LEAST: t.Final = 0.1


def ask_first(cell: Cell, step: StepRun, queue: Queue, pool: Pool) -> None:
    """Ask about many workers for a step of which nothing is known."""
    _ask(cell, step, queue, _first_workers(cell, step, pool))


def _first_workers(cell: Cell, step: StepRun, pool: Pool) -> list[Worker]:
    """Choose among the workers that were not judged yet; those with most room."""
    spec = step.spec
    rows = [
        one
        for one in pool.workers
        if one.id not in step.judged
        and one.entry.capacity.holds(spec.resources)
        and spec.accepts_labels(one.entry.labels)
    ]
    rows.sort(key=lambda one: -one.free.cpu_milli)
    if not rows:
        return rows
    largest = max(one.entry.capacity.cpu_milli for one in rows)
    per_worker = max(largest // max(spec.resources.cpu_milli, 1), 1)
    spare = GANG_SPARE_FACTOR if spec.gang else SPARE_FACTOR
    share = cell.good_shares.get(step.job.queue, GOOD_SHARE_ASSUMED)
    wanted = math.ceil(spare * math.ceil(spec.count / per_worker) / share)
    return rows[: max(wanted, CALL_WORKERS)]


def ask_again(
    cell: Cell, step: StepRun, queue: Queue, pool: Pool, now_s: float
) -> None:
    """Renew tickets of a step that would fit now, or look at further workers."""
    if step.open_asks or now_s < step.ask_after_s:
        return
    waiting = len(step.waiting())
    usable = eligible(cell, step, pool, now_s, ticketed=False)
    good = [one for one in usable if one.id in step.good]
    with_room = [one for one in good if room_on(step, one)]
    room = sum(room_on(step, one) for one in with_room)
    if with_room and (room >= waiting or not step.spec.gang):
        with_room.sort(key=lambda one: -room_on(step, one))
        stale = [one for one in with_room if not has_ticket(step, one, now_s)]
        _ask(cell, step, queue, stale[: waiting * 2 + 2])
        return
    fresh = _first_workers(cell, step, pool)
    if any(room_on(step, one) for one in fresh):
        _ask(cell, step, queue, fresh)


def ask_ahead(
    cell: Cell,
    step: StepRun,
    queue: Queue,
    pool: Pool,
    reservation: t.Any,
    now_s: float,
) -> None:
    """Renew tickets for reserved workers, so that they come when the room does.

    Where that is far off, ask about other workers that have the room now.
    """
    assert queue.advice is not None
    if step.open_asks or now_s < step.ask_after_s:
        return
    call_s = queue.advice.call_s(len(reservation.workers))
    if reservation.ready_s > now_s + call_s + AHEAD_S:
        if reservation.ready_s > now_s + FAR_FACTOR * call_s:
            _ask_further(cell, step, queue, pool)
        return
    needed_s = max(reservation.ready_s, now_s)
    stale = [one for one in reservation.workers if not has_ticket(step, one, needed_s)]
    _ask(cell, step, queue, stale)


def keep_tickets(
    cell: Cell, step: StepRun, queue: Queue, pool: Pool, now_s: float
) -> None:
    """Renew the tickets of a gang that may start soon before they expire.

    Room that comes free is then used at once, and not held for the time of a call.
    """
    assert queue.advice is not None
    if step.open_asks or now_s < step.ask_after_s:
        return
    reservation = cell.reservations.get(step.key)
    wanted = {one.id: one for one in reservation.workers} if reservation else {}
    good = [pool.by_id[one] for one in step.good if one in pool.by_id]
    rooms = sorted(((room_on(step, one), one.id) for one in good), reverse=True)
    needed = SPARE_ROOM * len(step.tasks)
    for room, worker_id in rooms:
        if needed <= 0 or not room:
            break
        wanted[worker_id] = pool.by_id[worker_id]
        needed -= room
    due_s = now_s + queue.advice.call_s(min(len(wanted), CALL_WORKERS)) + AHEAD_S
    stale = [one for one in wanted.values() if not has_ticket(step, one, due_s)]
    if len(stale) > STALE_SHARE * len(wanted):
        _ask(cell, step, queue, stale)


def _ask_further(cell: Cell, step: StepRun, queue: Queue, pool: Pool) -> None:
    fresh = _first_workers(cell, step, pool)
    if sum(room_on(step, one) for one in fresh) >= len(step.tasks):
        _ask(cell, step, queue, fresh)


def _ask(cell: Cell, step: StepRun, queue: Queue, workers: list[Worker]) -> None:
    """Ask in calls side by side; long ones only while a lane is free for them.

    Calls that queue up would bring tickets that are old when they come.
    """
    assert queue.advice is not None
    calls = math.ceil(len(workers) / CALL_WORKERS)
    for index in range(calls):
        ids = tuple(one.id for one in workers[index::calls])
        call_s = queue.advice.call_s(len(ids))
        if call_s > LONG_CALL_S:
            if not cell.free_long_lanes:
                return
            cell.free_long_lanes -= 1
        step.open_asks += 1
        cell.asks.append(AdviceAsk(step.key, ids, call_s, queue.priority))


def ask_early(cell: Cell, job: Job, pool: Pool) -> None:
    """Ask for the first steps of a job while it is being stored."""
    queue = cell.queue_of(job)
    if queue is None or queue.advice is None or job.repeats:
        return
    for step in job.steps():
        if not step.spec.depends_on:
            ask_first(cell, step, queue, pool)


def note_advice(
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
    step.open_asks -= 1
    if good is None:
        step.ask_after_s = now_s + ASK_AGAIN_S
        cell.log("advice_failed", key.job, step=key.step, named=len(named))
        return
    step.judged.update(named)
    _note_good_share(cell, step.job.queue, len(good) / max(len(named), 1))
    expiry_s = now_s + valid_s - EXPIRY_MARGIN_S
    for worker, ticket in good:
        step.good.add(worker)
        step.tickets[worker] = (ticket, expiry_s)
    cell.log("advice", key.job, step=key.step, named=len(named), good=len(good))


def _note_good_share(cell: Cell, queue: str, share: float) -> None:
    mean = cell.good_shares.get(queue, GOOD_SHARE_ASSUMED)
    mean += GOOD_SHARE_GAIN * (share - mean)
    cell.good_shares[queue] = max(mean, GOOD_SHARE_LEAST)


@dataclasses.dataclass(slots=True)
class Lane:
    """A VM that can call the service, and until when its calls keep it busy."""

    name: str
    busy_until_s: float = 0.0
    waiting: int = 0


def _share_out(lanes: list[Lane]) -> tuple[list[Lane], list[Lane]]:
    """Return the lanes for long and for short calls."""
    ordered = sorted(lanes, key=lambda one: one.name)
    split = max(math.ceil(len(ordered) * LONG_SHARE), 1)
    return ordered[:split], ordered[split:]


def count_free_long_lanes(lanes: list[Lane], now_s: float) -> int:
    """Count the lanes that can begin a long call now."""
    return sum(one.busy_until_s <= now_s + LANE_SOON_S for one in _share_out(lanes)[0])


def choose_lane(lanes: list[Lane], call_s: float, now_s: float) -> Lane | None:
    """Choose the lane that is free first; long calls use only a part of the lanes."""
    if not lanes:
        return None
    long, short = _share_out(lanes)
    mine = long if call_s > LONG_CALL_S else (short or long)
    open_lanes = [one for one in mine if one.waiting < 24]
    return min(
        open_lanes,
        key=lambda one: (max(one.busy_until_s, now_s), one.waiting),
        default=None,
    )
