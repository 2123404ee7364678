"""Hold the workers that a planning pass may use, by service, and what it notes of them.

The input is the workers of a cell; the result is a pool with those that may get new
work. Workers in quarantine or on probation, and isolated ones, are added only for steps
that long found no other.
"""

import contextlib
import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.crash_causes import has_survived_start
from bulrushspur_scheduler.crashes import is_isolated, list_isolated_runs
from bulrushspur_scheduler.evacuation import is_evacuated
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.workers import Worker, is_available, is_doubted

MAX_RECENT_POOL_AGE_S: t.Final = 0.1
# A step waits so long for other workers than those in quarantine, on probation and
# isolated for others.
MAX_EXCLUSION_WAIT_S: t.Final = 1.5
# A suspect that runs alone for so long did not crash its worker by its start; then
# steps that wait long may start beside it.
ALONE_SURVIVAL_S: t.Final = 3.5
# It waits so long, if it lasts, where one of its tasks has failed; others go first.
MAX_FAILED_WAIT_S: t.Final = 4.0
# These get no work for so long after a fault, or a task would soon use up its attempts,
# and none for so long after such a start, or many tasks would fail there at once.
MIN_FAULT_AGE_S: t.Final = 2.0
# A step that has waited so long for isolation gets the next turn, and keeps it for a
# time: what keeps it may be something else.
ISOLATION_TURN_WAIT_S: t.Final = 1.0
ISOLATION_TURN_S: t.Final = 5.0
# An order may take so long until its worker carries it out.
ORDER_MARGIN_S: t.Final = 0.7


@dataclasses.dataclass
class Pool:
    """The schedulable workers of a service."""

    workers: list[Worker]
    made_s: float = 0.0
    by_id: dict[str, Worker] = dataclasses.field(default_factory=dict)
    # Workers in quarantine or on probation whose last fault was not just now.
    doubted_workers: list[Worker] = dataclasses.field(default_factory=list)
    # Workers that take work of one step alone, a suspect of crashes.
    isolated_workers: list[Worker] = dataclasses.field(default_factory=list)
    isolated_count: int = 0
    # Workers that take work, the isolated ones among them.
    worker_count: int = 0
    # The step that gets the last worker that may be isolated.
    isolation_turn: StepKey | None = None
    # Steps that wait for isolation alone.
    waiting_suspects: int = 0
    # Every waiting step will end past its deadline, too late to be useful.
    all_past_deadline: bool = False
    # Number of gangs whose tickets were kept valid in this planning pass.
    ticketed_gangs: int = 0
    # Those of them for which there is no room now.
    gangs_without_room: list[Step] = dataclasses.field(default_factory=list)
    # Number of workers that are reserved for gangs.
    reserved_count: int = 0
    # Steps held since before this time may start on reserved workers, as long as this
    # much CPU is left for it.
    hold_period_s: float = -1e9
    unheld_cpu_milli: float = 0.0
    # Number of steps that this planning pass could not place.
    unplaced_steps: int = 0
    # Steps that the limits of their account keep back.
    kept_back_steps: list[Step] = dataclasses.field(default_factory=list)
    # What the limits of an account do not allow in this planning pass: the account,
    # whether the work is urgent, and the size of a task with the number of tasks.
    refused_starts: set[tuple[str, bool, tuple[int, int, int, int]]] = (
        dataclasses.field(default_factory=set)
    )
    # Accounts that a gang has claimed in this planning pass.
    claimed_accounts: set[str] = dataclasses.field(default_factory=set)
    # This planning pass makes the reservations anew.
    renews_reservations: bool = True


def make_pool(cell: Cell, service: str, now_s: float) -> Pool:
    """Make the pool of a service for one planning pass.

    It is empty while capacities may have changed unseen.
    """
    known_workers = () if is_worker_list_old(cell, now_s) else cell.workers.values()
    available = [
        worker
        for worker in known_workers
        if worker.entry.service == service
        and is_available(worker, now_s)
        and not is_evacuated(cell, worker)
    ]
    isolated = _renew_isolated_workers(cell, available, now_s)
    shared = [w for w in available if w.isolated_for is None] if isolated else available
    workers = [worker for worker in shared if not is_doubted(worker, now_s)]
    pool = Pool(workers, now_s, {worker.id: worker for worker in workers})
    pool.isolated_workers, pool.isolated_count = isolated, len(isolated)
    pool.worker_count = len(workers) + len(isolated)
    pool.isolation_turn = _find_isolation_turn(cell, service, now_s)
    pool.doubted_workers = [
        worker
        for worker in shared
        if is_doubted(worker, now_s)
        and now_s - max(worker.last_fault_s, worker.last_trial_s) > MIN_FAULT_AGE_S
    ]
    cell.recent_pools[service] = pool
    return pool


def _renew_isolated_workers(
    cell: Cell, workers: list[Worker], now_s: float
) -> list[Worker]:
    """List the workers that are still isolated, and release the others."""
    rv = []
    for worker in workers:
        # Called for each worker in each pass: hardly any is isolated.
        if worker.isolated_for is not None:
            if is_isolated(worker, now_s):
                rv.append(worker)
            else:
                end_isolation(cell, worker, now_s)
    return rv


def end_isolation(cell: Cell, worker: Worker, now_s: float) -> None:
    """Let a worker take all work again."""
    step, worker.isolated_for = worker.isolated_for, None
    for run in list_isolated_runs(worker):
        run.is_isolated = False
    cell.log(
        "worker_shared",
        step.job if step is not None else "",
        worker=worker.id,
        alone=worker.isolated_alone,
        runs=len(worker.runs),
        isolated_ms=round((now_s - worker.isolated_since_s) * 1000),
    )


def _find_isolation_turn(cell: Cell, service: str, now_s: float) -> StepKey | None:
    """Return the step with suspects that has waited longest without a start.

    By rank alone, a step with many suspects would keep the others waiting for all.
    """
    waits = {
        task.step.key: now_s - task.step.unplaced_since_s
        for task in cell.suspects.values()
        if task.step.job.service == service and task.step.key in cell.waiting_steps
    }
    key = max(waits, key=lambda key: waits[key], default=None)
    if key is None:
        return None
    turn_age_s = waits[key] - ISOLATION_TURN_WAIT_S
    return key if 0 < turn_age_s < ISOLATION_TURN_S else None


def is_worker_list_old(cell: Cell, now_s: float) -> bool:
    """Return whether workers may have shrunk since their list was read, as some have.

    Where none has changed its capacity in this term, they are taken not to change.
    """
    max_age_s = cell.timing_limits.capacity_notice_s - ORDER_MARGIN_S
    return cell.capacities_change and now_s - cell.worker_list_s > max_age_s


@contextlib.contextmanager
def include_workers(pool: Pool, extra: list[Worker]) -> t.Iterator[None]:
    """Add workers to a pool for one step."""
    workers, by_id = pool.workers, pool.by_id
    pool.workers = workers + extra
    pool.by_id = by_id | {worker.id: worker for worker in extra}
    try:
        yield
    finally:
        pool.workers, pool.by_id = workers, by_id


def list_extra_workers(step: Step, pool: Pool, now_s: float) -> list[Worker]:
    """List the workers beside those of the pool on which a step may start.

    These are workers held for it and, for a step that long found no other, isolated
    ones that it may share, and those in quarantine and on probation. Where one of its
    tasks has failed only a step that lasts starts again, as it has no attempts.
    """
    rv = [
        worker
        for worker in pool.isolated_workers
        if worker.isolated_for == step.key or may_share(worker, step, pool, now_s)
    ]
    if has_waited_long(step, pool, now_s):
        failed_ids = {id_ for task in step.tasks for id_ in task.failed_worker_ids}
        wait_s = now_s - step.unplaced_since_s
        may_try_again = step.spec.long_running and wait_s > MAX_FAILED_WAIT_S
        rv += [
            worker
            for worker in pool.doubted_workers
            if may_try_again or worker.id not in failed_ids
        ]
    return rv


def record_trials(pool: Pool, started_ids: set[str], now_s: float) -> None:
    """Record starts on doubted workers, which then get none from other steps."""
    for worker in pool.doubted_workers:
        if worker.id in started_ids:
            worker.last_trial_s = now_s
    pool.doubted_workers = [
        worker for worker in pool.doubted_workers if worker.id not in started_ids
    ]


def may_share(worker: Worker, step: Step, pool: Pool, now_s: float) -> bool:
    """Return whether a step may start on a worker beside what it is isolated for.

    It may on any other worker, and once it has waited long where no suspect has just
    started.
    """
    if worker.isolated_for is None:
        return True
    return has_waited_long(step, pool, now_s) and all(
        has_survived_start(run, worker, ALONE_SURVIVAL_S)
        for run in list_isolated_runs(worker)
    )


def has_waited_long(step: Step, pool: Pool, now_s: float) -> bool:
    """Return whether a step may start on workers that are kept from others.

    It may once it has long found no other worker although much of the pool is idle, or
    if it lasts: then it would wait for what never ends.
    """
    is_idle = pool.unheld_cpu_milli > 0
    wait_s = now_s - step.unplaced_since_s
    return wait_s > MAX_EXCLUSION_WAIT_S and (is_idle or step.spec.long_running)


def find_recent_pool(cell: Cell, service: str, now_s: float) -> Pool:
    """Return a pool of a service that is recent enough to ask for advice by."""
    pool: Pool | None = cell.recent_pools.get(service)
    if pool is not None and now_s - pool.made_s < MAX_RECENT_POOL_AGE_S:
        return pool
    return make_pool(cell, service, now_s)


def is_released(step: Step, pool: Pool) -> bool:
    """Return whether reservations must not hold back a step any longer."""
    return step.held_since_s < pool.hold_period_s and pool.unheld_cpu_milli > 0
