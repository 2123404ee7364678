"""Choose workers for the tasks of a step.

Takes a step and the schedulable workers of its service; returns the workers to start
its tasks on, and changes nothing. A worker must have enough free resources, the
required label and, where the queue needs advice, a valid ticket. It must not run tasks
that would interfere. A worker that is reserved for another gang takes only urgent
steps, those expected to end before the reservation is ready, and those held back long.
"""

import collections
import heapq
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.estimates import predict_step_duration
from bulrushspur_scheduler.jobs import Step, Task
from bulrushspur_scheduler.pools import Pool, is_released, may_share
from bulrushspur_scheduler.resources import Resources, Usage, count_fitting_tasks
from bulrushspur_scheduler.unlike_workers import speed_rank
from bulrushspur_scheduler.workers import Worker

# Tickets that expire sooner are not used for a start.
MIN_TICKET_VALIDITY_S: t.Final = 0.08
SPEED_WEIGHT: t.Final = 0.5
# Number of tasks that fit where there is no cap.
NO_LIMIT: t.Final = 1_000_000

# Rank by failures, rank by the expected end, fit.
Score = tuple[int, int, float]


def needs_advice(cell: Cell, step: Step) -> bool:
    """Return whether starts of a step need a ticket of the advice service."""
    return cell.queue_of(step.job).advice is not None


def has_ticket(step: Step, worker: Worker, now_s: float) -> bool:
    """Return whether a step has a ticket for a worker that is valid for long enough."""
    ticket = step.tickets.get(worker.id)
    return ticket is not None and ticket[1] > now_s + MIN_TICKET_VALIDITY_S


def eligible_workers(
    cell: Cell, step: Step, pool: Pool, now_s: float, ticketed: bool
) -> list[Worker]:
    """List the workers of a pool that may run tasks of a step.

    Free slots are not checked. Workers reserved for a gang are open to that gang, to
    urgent steps, to steps expected to end before the reservation is ready, and to steps
    that reservations have held back for long enough.
    """
    spec = step.spec
    takes_reserved = step.job.priority == 0 or is_released(step, pool)
    ends_s = now_s + predict_step_duration(cell, step)[0]
    workers: t.Iterable[Worker] = pool.workers
    if ticketed:
        ids = [worker_id for worker_id in step.tickets if worker_id in pool.by_id]
        workers = [pool.by_id[worker_id] for worker_id in ids]
    return [
        worker
        for worker in workers
        if (not ticketed or has_ticket(step, worker, now_s))
        and (not spec.required_label or spec.accepts_labels(worker.labels))
        and (worker.isolated_for == step.key or may_share(worker, step, pool, now_s))
        and (
            worker.reserved_for in (None, step.key)
            or takes_reserved
            or ends_s <= worker.reserved_until_s
        )
        and not interferes(step, worker)
    ]


def interferes(step: Step, worker: Worker) -> bool:
    """Return whether a step and the runs of a worker would interfere.

    Tasks with ``fills`` never run beside tasks that have a target latency.
    """
    spec = step.spec
    if spec.fills:
        return any(run.task.step.spec.target_latency_s for run in worker.runs.values())
    if spec.target_latency_s:
        return any(run.task.step.spec.fills for run in worker.runs.values())
    return False


def free_slots_on(step: Step, worker: Worker) -> int:
    """Return how many more tasks of a step fit on a worker."""
    rv = count_fitting_tasks(worker.free, step.spec.resources)
    max_tasks = step.spec.max_per_worker
    if max_tasks:
        running = sum(run.worker_id == worker.id for run in step.runs())
        rv = min(rv, max_tasks - running)
    return max(rv, 0)


def free_slots_of_account(cell: Cell, account: str, each: Resources) -> int:
    """Return how many more tasks an account may have running under its cap.

    Usage that this term has not observed counts as well.
    """
    account_config = cell.account_of(account)
    if account_config is None:
        return NO_LIMIT
    used = cell.usage_of(account)
    unobserved = cell.unobserved_usage.get(account)
    return free_slots_under_cap(
        account_config, used if unobserved is None else used.plus(unobserved), each
    )


def free_slots_under_cap(account: Account, used: Usage, each: Resources) -> int:
    """Return how many more tasks fit under a cap; 0 in a cap means no limit."""
    cap = account.cap
    counts = [
        (limit - in_use) // needed
        for limit, in_use, needed in (
            (cap.cpu_milli, used.cpu_milli, each.cpu_milli),
            (cap.memory_mb, used.memory_mb, each.memory_mb),
            (cap.gpus, used.gpus, each.gpus),
            (account.max_tasks, used.tasks, 1),
        )
        if limit > 0 and needed > 0
    ]
    return max(min(counts, default=NO_LIMIT), 0)


def choose_worker(step: Step, task: Task, workers: t.Iterable[Worker]) -> Worker | None:
    """Choose the worker that fits a single task best, or None if it fits nowhere."""
    best, best_score = None, (0, 0, 0.0)
    for worker in workers:
        if free_slots_on(step, worker) < 1:
            continue
        score = score_worker(step, task, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def make_worker_chooser(
    step: Step, workers: list[Worker]
) -> t.Callable[[Task], Worker | None]:
    """Make a function that chooses workers for the tasks of a step, one by one.

    It chooses like ``choose_worker``. The tasks must be started as chosen, and by
    nothing else meanwhile: then only the worker chosen last has another score.
    """
    scores: dict[int, Score] = {}
    heap: list[tuple[Score, int]] = []
    last_index = -1

    def add(index: int) -> None:
        if free_slots_on(step, workers[index]) < 1:
            scores.pop(index, None)
            return
        scores[index] = score_worker(step, None, workers[index])
        heapq.heappush(heap, (scores[index], index))

    def choose(task: Task) -> Worker | None:
        nonlocal last_index
        if last_index >= 0:
            add(last_index)
        if task.failed_worker_ids:
            worker = choose_worker(step, task, workers)
            last_index = -1 if worker is None else workers.index(worker)
            return worker
        while heap and scores.get(heap[0][1]) != heap[0][0]:
            heapq.heappop(heap)
        last_index = heap[0][1] if heap else -1
        return workers[last_index] if heap else None

    for index in range(len(workers)):
        add(index)
    return choose


def score_worker(step: Step, task: Task | None, worker: Worker) -> Score:
    """Score a worker for a task, or any task that has not failed; the lowest is best.

    Failures come first, then whether the worker ends the step on time. Then the best
    fit counts, which leaves the least capacity free, together with the preferred rack
    and the speed of the worker.
    """
    spec = step.spec
    failure_rank = 0
    if task is not None and worker.id in task.failed_worker_ids:
        failure_rank += 2
    if worker.failure_score >= 1.0:
        failure_rank += 1
    leftover = _leftover_share(worker, spec.resources)
    off_rack = bool(spec.preferred_rack) and spec.preferred_rack not in worker.labels
    late_rank, signed_speed = speed_rank(worker, step.needed_speed)
    return (
        failure_rank,
        late_rank,
        leftover + 1.5 * off_rack + SPEED_WEIGHT * signed_speed,
    )


def _leftover_share(worker: Worker, each: Resources) -> float:
    """Return the sum of the free shares of CPU and memory beside one more task."""
    capacity = worker.entry.capacity
    return (worker.free.cpu_milli - each.cpu_milli) / max(capacity.cpu_milli, 1) + (
        worker.free.memory_mb - each.memory_mb
    ) / max(capacity.memory_mb, 1)


def choose_gang_workers(
    step: Step, tasks: list[Task], workers: list[Worker]
) -> list[tuple[Task, Worker]] | None:
    """Choose workers for all tasks of a gang, or return None if not all of them fit.

    A gang with ``same_rack`` goes to a single rack if one has enough free slots, and is
    spread over any workers otherwise.
    """
    if step.spec.same_rack:
        racks: dict[str, list[Worker]] = {}
        for worker in workers:
            racks.setdefault(worker.rack, []).append(worker)
        for rack in sorted(racks, key=lambda name: -_count_slots(step, racks[name])):
            assignment = assign_tasks(step, tasks, racks[rack])
            if assignment is not None:
                return assignment
    return assign_tasks(step, tasks, workers)


def _count_slots(step: Step, workers: list[Worker]) -> int:
    return sum(free_slots_on(step, worker) for worker in workers)


def assign_tasks(
    step: Step,
    tasks: list[Task],
    workers: list[Worker],
    assigned: t.Sequence[tuple[Task, Worker]] = (),
) -> list[tuple[Task, Worker]] | None:
    """Assign all tasks: to reliable workers first, then by free slots and speed.

    ``assigned`` are other tasks of the step that have slots already. Returns None if
    not all fit.
    """
    taken = collections.Counter(worker.id for _, worker in assigned)
    candidates = [
        (free_slots_on(step, worker) - taken[worker.id], worker) for worker in workers
    ]
    if sum(max(slots, 0) for slots, _ in candidates) < len(tasks):
        return None
    needed_speed = step.needed_speed
    if needed_speed is not None:
        fast_slots = sum(
            max(slots, 0)
            for slots, worker in candidates
            if worker.speed >= needed_speed
        )
        if fast_slots < len(tasks):
            # The slowest member decides.
            needed_speed = None

    def sort_key(row: tuple[int, Worker]) -> tuple[bool, int, int, float]:
        slots, worker = row
        late_rank, signed_speed = speed_rank(worker, needed_speed)
        return (worker.failure_score >= 1.0, late_rank, -slots, signed_speed)

    candidates.sort(key=sort_key)
    rv: list[tuple[Task, Worker]] = []
    unassigned = list(tasks)
    for slots, worker in candidates:
        while slots > 0 and unassigned:
            rv.append((unassigned.pop(), worker))
            slots -= 1
    return rv
