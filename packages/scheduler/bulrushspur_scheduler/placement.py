"""Choose workers for the tasks of a step."""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.estimates import predict_step_duration
from bulrushspur_scheduler.jobs import Step, Task
from bulrushspur_scheduler.resources import Resources, Usage, count_fitting_tasks
from bulrushspur_scheduler.workers import Worker, is_schedulable

MIN_TICKET_VALIDITY_S: t.Final = 0.08
# Urgent work keeps this much more than its mean use, at most this share of the pool.
HEADROOM_FACTOR: t.Final = 1.25
MAX_HEADROOM_SHARE: t.Final = 0.25
NO_LIMIT: t.Final = 1_000_000


@dataclasses.dataclass
class Pool:
    """The usable workers of a service, and what lower priorities may still take."""

    workers: list[Worker]
    lower_priority_cpu_milli: int = 0
    by_id: dict[str, Worker] = dataclasses.field(default_factory=dict)
    # Nothing that waits is still of use to its caller.
    all_past_deadline: bool = False
    # Gangs of which this pass has kept the tickets valid.
    ticketed_gangs: int = 0


def make_pool(cell: Cell, service: str, now_s: float) -> Pool:
    """Make the pool of a service for one planning pass."""
    workers = [
        one
        for one in cell.workers.values()
        if one.entry.service == service and is_schedulable(one, now_s)
    ]
    free = sum(max(one.free.cpu_milli, 0) for one in workers)
    total = sum(one.entry.capacity.cpu_milli for one in workers)
    wanted = min(
        cell.mean_urgent_cpu_milli.get(service, 0.0) * HEADROOM_FACTOR,
        total * MAX_HEADROOM_SHARE,
    )
    kept = max(wanted - cell.urgent_cpu_milli.get(service, 0), 0.0)
    return Pool(workers, int(free - kept), {one.id: one for one in workers})


def needs_advice(cell: Cell, step: Step) -> bool:
    """Tell whether starts of a step need a ticket."""
    queue = cell.queue_of(step.job)
    return queue is not None and queue.advice is not None


def has_ticket(step: Step, worker: Worker, now_s: float) -> bool:
    """Tell whether a step has a ticket for a worker that is valid for long enough."""
    ticket = step.tickets.get(worker.id)
    return ticket is not None and ticket[1] > now_s + MIN_TICKET_VALIDITY_S


def eligible_workers(
    cell: Cell, step: Step, pool: Pool, now_s: float, ticketed: bool
) -> list[Worker]:
    """List the workers of a pool that may run tasks of a step at all."""
    spec = step.spec
    urgent = step.job.priority == 0
    ends_s = now_s + predict_step_duration(cell, step)[0]
    workers: t.Iterable[Worker] = pool.workers
    if ticketed:
        ids = [one for one in step.tickets if one in pool.by_id]
        workers = [pool.by_id[one] for one in ids]
    return [
        one
        for one in workers
        if (not ticketed or has_ticket(step, one, now_s))
        and spec.accepts_labels(one.entry.labels)
        and (
            one.reserved_for in (None, step.key)
            or urgent
            or ends_s <= one.reserved_until_s
        )
        and not interferes(step, one)
    ]


def interferes(step: Step, worker: Worker) -> bool:
    """Tell whether a step and what runs on a worker would disturb each other.

    Tasks that fill never run beside tasks that have a target latency.
    """
    spec = step.spec
    if spec.fills:
        return any(run.task.step.spec.target_latency_s for run in worker.runs.values())
    if spec.target_latency_s:
        return any(run.task.step.spec.fills for run in worker.runs.values())
    return False


def free_slots_on(step: Step, worker: Worker) -> int:
    """Tell how many more tasks of a step a worker can take."""
    rv = count_fitting_tasks(worker.free, step.spec.resources)
    most = step.spec.max_per_worker
    if most:
        here = sum(run.worker == worker.id for task in step.tasks for run in task.runs)
        rv = min(rv, most - here)
    return max(rv, 0)


def free_slots_of_account(cell: Cell, account: str, each: Resources) -> int:
    """Tell how many more tasks an account may have running under its cap."""
    found = cell.account_of(account)
    if found is None:
        return NO_LIMIT
    used = cell.usage_of(account)
    unseen = cell.unobserved_usage.get(account)
    return free_slots_under_cap(
        found, used if unseen is None else used.plus(unseen), each
    )


def free_slots_under_cap(account: Account, used: Usage, each: Resources) -> int:
    """Tell how many tasks fit under a cap; 0 in a cap means no limit."""
    cap = account.cap
    counts = [
        (limit - have) // need
        for limit, have, need in (
            (cap.cpu_milli, used.cpu_milli, each.cpu_milli),
            (cap.memory_mb, used.memory_mb, each.memory_mb),
            (cap.gpus, used.gpus, each.gpus),
            (account.max_tasks, used.tasks, 1),
        )
        if limit > 0 and need > 0
    ]
    return max(min(counts, default=NO_LIMIT), 0)


def choose_worker(step: Step, task: Task, workers: t.Iterable[Worker]) -> Worker | None:
    """Choose the worker that a single task fits best."""
    best, best_score = None, (0, 0.0)
    for worker in workers:
        if free_slots_on(step, worker) < 1:
            continue
        score = _score(step, task, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def _score(step: Step, task: Task, worker: Worker) -> tuple[int, float]:
    """Rate a worker, lower is better: bad history, far rack, speed, room left."""
    spec = step.spec
    rank = 0
    if worker.id in task.failed_worker_ids:
        rank += 2
    if worker.failure_score >= 1.0:
        rank += 1
    left = _left(worker, spec.resources)
    far = bool(spec.preferred_rack) and spec.preferred_rack not in worker.entry.labels
    return (rank, left + 1.5 * far - 0.5 * worker.speed)


def _left(worker: Worker, each: Resources) -> float:
    capacity = worker.entry.capacity
    return (worker.free.cpu_milli - each.cpu_milli) / max(capacity.cpu_milli, 1) + (
        worker.free.memory_mb - each.memory_mb
    ) / max(capacity.memory_mb, 1)


def choose_gang_workers(
    step: Step, tasks: list[Task], workers: list[Worker]
) -> list[tuple[Task, Worker]] | None:
    """Choose workers for all tasks of a gang at once, or None."""
    if step.spec.same_rack:
        racks: dict[str, list[Worker]] = {}
        for worker in workers:
            racks.setdefault(worker.rack, []).append(worker)
        for rack in sorted(racks, key=lambda one: -_total_room(step, racks[one])):
            found = _fill(step, tasks, racks[rack])
            if found is not None:
                return found
    return _fill(step, tasks, workers)


def _total_room(step: Step, workers: list[Worker]) -> int:
    return sum(free_slots_on(step, one) for one in workers)


def _fill(
    step: Step, tasks: list[Task], workers: list[Worker]
) -> list[tuple[Task, Worker]] | None:
    rooms = [(free_slots_on(step, one), one) for one in workers]
    if sum(room for room, _ in rooms) < len(tasks):
        return None
    rooms.sort(key=lambda row: (row[1].failure_score >= 1.0, -row[0], -row[1].speed))
    rv: list[tuple[Task, Worker]] = []
    left = list(tasks)
    for room, worker in rooms:
        while room > 0 and left:
            rv.append((left.pop(), worker))
            room -= 1
    return rv
