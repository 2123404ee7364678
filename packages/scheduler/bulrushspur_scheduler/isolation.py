"""Keep suspects of crashes apart from other work, on workers that take nothing else.

The input is a step with tasks under which workers have crashed, and the workers that
may run it. The result is starts on isolated workers. An isolated worker gets no other
work until the run has survived its start or, for a task that must be alone, has ended.
Where no worker is fit at once, one is held until it is, unless its runs last. Few
workers are isolated at a time: most suspects are sound and only ran beside a task that
crashed its worker. Steps that wait long share isolated workers (``pools.py``).

A gang starts as a whole, so its suspects may share isolated workers.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.crash_causes import is_quiet
from bulrushspur_scheduler.crashes import SEEN_EVIDENCE, list_isolated_runs
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Step, Task
from bulrushspur_scheduler.limits import is_within_limits
from bulrushspur_scheduler.placement import assign_tasks, free_slots_on
from bulrushspur_scheduler.pools import Pool, end_isolation
from bulrushspur_scheduler.runs import start_run
from bulrushspur_scheduler.suspects import (
    MAX_QUIET_WAIT_S,
    MIN_SUSPECTED_CRASHES,
    Isolation,
    required_isolation,
    set_trial,
    waits_for_calm,
)
from bulrushspur_scheduler.workers import Worker

# A share of the pool may be isolated; a larger one while much of the service is idle.
MAX_ISOLATED_SHARE: t.Final = 0.125
MAX_IDLE_ISOLATED_SHARE: t.Final = 0.75
# A machine is unreliable for so long after a crash there without a suspect.
UNRELIABLE_S: t.Final = 30.0
# A held worker is released unless its step renews the hold within this time.
HOLD_S: t.Final = 1.0


def is_suspect(task: Task) -> bool:
    """Return whether the next run of a task has to be kept apart."""
    return required_isolation(task) is not Isolation.NONE


def start_suspects(
    cell: Cell,
    step: Step,
    suspects: list[Task],
    workers: list[Worker],
    pool: Pool,
    now_s: float,
) -> bool:
    """Start suspects of a step on isolated workers; return whether all were started."""
    for task in suspects:
        if not is_within_limits(cell, step, 1) or _leaves_turn(step, pool):
            return False
        if waits_for_calm(cell, task, now_s):
            return False
        alone, usable = required_isolation(task) is Isolation.ALONE, workers
        if alone and _may_have_company(step, task, workers, now_s):
            alone = False
        else:
            usable = [row for row in workers if row.isolated_for in (None, step.key)]
        worker = _find_worker(cell, step, usable, alone, pool, now_s)
        if worker is None:
            return False
        _isolate(cell, worker, step, alone, pool, now_s)
        if not set_trial(cell, task, worker):
            worker.held_until_s = now_s + HOLD_S
            return False
        cell.log(
            "suspect_start",
            step.job.id,
            worker=worker.id,
            alone=alone,
            runs_beside=len(worker.runs),
            crashes=task.crash_count,
            suspected_crashes=task.suspected_crash_count,
        )
        start_run(cell, task, worker, task.last_run_number + 1, now_s)
    return True


def _may_have_company(
    step: Step, task: Task, workers: list[Worker], now_s: float
) -> bool:
    """Return whether a suspect need not run alone, as no worker may become empty.

    It may then share a worker that is isolated for another step. Two workers certainly
    crashed under others: these wait, however long runs last.
    """
    return (
        task.crash_evidence < MIN_SUSPECTED_CRASHES * SEEN_EVIDENCE
        and now_s - step.unplaced_since_s > MAX_QUIET_WAIT_S
        and not any(_may_become_fit(step, worker, True) for worker in workers)
    )


def _leaves_turn(step: Step, pool: Pool) -> bool:
    """Return whether the last worker that may be isolated is for another step."""
    return pool.isolation_turn not in (
        None,
        step.key,
    ) and pool.isolated_count + 1 >= max_isolated(pool)


def _find_worker(
    cell: Cell,
    step: Step,
    workers: list[Worker],
    alone: bool,
    pool: Pool,
    now_s: float,
) -> Worker | None:
    """Return a worker that is fit for a suspect now, or None and hold one for it.

    A worker that is fit takes the place of one that was held.
    """
    held = [
        worker
        for worker in workers
        if worker.isolated_for == step.key and not list_isolated_runs(worker)
    ]
    may_isolate = bool(held) or pool.isolated_count < max_isolated(pool)
    others = [
        worker
        for worker in workers
        if worker.isolated_for != step.key
        and (may_isolate or worker.isolated_for is not None)
    ]
    candidates = [
        worker for worker in held + others if _may_become_fit(step, worker, alone)
    ]
    if not candidates:
        return None
    worker = min(candidates, key=lambda worker: _rank(cell, worker, alone, held, now_s))
    for other in held:
        if other is not worker:
            _release(cell, other, pool, now_s)
    if free_slots_on(step, worker) and _is_fit(worker, alone):
        return worker
    _isolate(cell, worker, step, alone, pool, now_s)
    worker.held_until_s = now_s + HOLD_S
    return None


def _may_become_fit(step: Step, worker: Worker, alone: bool) -> bool:
    """Return whether a suspect of a step can run on a worker once it is fit.

    A worker of its own is one whose other runs end, which runs that last don't.
    """
    if not alone:
        return free_slots_on(step, worker) > 0
    return worker.entry.capacity.can_fit(step.spec.resources) and not any(
        run.task.step.spec.long_running and run.state is not RunState.STOPPING
        for run in worker.runs.values()
    )


def _rank(
    cell: Cell, worker: Worker, alone: bool, held: list[Worker], now_s: float
) -> tuple[bool, bool, bool, int]:
    """Rank a worker for a suspect: fit at once, held, reliable, with little to lose.

    It is unreliable if the last one on its machine crashed without a suspect.
    """
    is_unreliable = any(
        crash.machine == worker.machine
        and not crash.suspected_steps
        and now_s - crash.heard_s < UNRELIABLE_S
        for crash in cell.crashes
    )
    is_fit = _is_fit(worker, alone)
    return (not is_fit, worker not in held, is_unreliable, len(worker.runs))


def _is_fit(worker: Worker, alone: bool) -> bool:
    return not worker.runs if alone else is_quiet(worker)


def max_isolated(pool: Pool) -> int:
    """Return how many workers of a pool may be isolated at a time."""
    is_idle = pool.unheld_cpu_milli > 0
    share = MAX_IDLE_ISOLATED_SHARE if is_idle else MAX_ISOLATED_SHARE
    return max(int(share * pool.worker_count), 1)


def _isolate(
    cell: Cell, worker: Worker, step: Step, alone: bool, pool: Pool, now_s: float
) -> None:
    if worker.isolated_for is None:
        pool.isolated_count += 1
        worker.isolated_since_s = now_s
        cell.log(
            "worker_isolated",
            step.job.id,
            worker=worker.id,
            step=step.key.step,
            alone=alone,
            runs=len(worker.runs),
            isolated=pool.isolated_count,
            most=max_isolated(pool),
        )
    worker.isolated_for, worker.isolated_alone = step.key, alone


def _release(cell: Cell, worker: Worker, pool: Pool, now_s: float) -> None:
    end_isolation(cell, worker, now_s)
    pool.isolated_count -= 1


def choose_isolated_gang_workers(
    cell: Cell,
    step: Step,
    tasks: list[Task],
    workers: list[Worker],
    pool: Pool,
    now_s: float,
) -> list[tuple[Task, Worker]] | None:
    """Choose workers for a gang with suspects, and isolate those of the suspects.

    Returns None if the gang does not fit, or until its choice is stored.
    """
    suspects = [task for task in tasks if is_suspect(task)]
    if any(waits_for_calm(cell, task, now_s) for task in suspects):
        return None
    others = [task for task in tasks if not is_suspect(task)]
    quiet = [worker for worker in workers if is_quiet(worker)]
    held = [worker for worker in quiet if worker.isolated_for == step.key]
    chosen = assign_tasks(step, suspects, held) or assign_tasks(step, suspects, quiet)
    if chosen is None:
        return None
    rest = assign_tasks(step, others, workers, chosen)
    if rest is None:
        return None
    for _, worker in chosen:
        _isolate(cell, worker, step, False, pool, now_s)
        worker.held_until_s = now_s + HOLD_S
    are_stored = [set_trial(cell, task, worker) for task, worker in chosen]
    return chosen + rest if all(are_stored) else None


def waits_for_isolation(step: Step) -> bool:
    """Return whether only suspects of crashes are left to start."""
    return step.has_suspects and all(map(is_suspect, step.startable_tasks()))
