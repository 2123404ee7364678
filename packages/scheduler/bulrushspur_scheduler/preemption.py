"""Stop runs that can resume later, to free slots for a gang that has to start now.

The input is a gang that does not fit; the result is stop orders, and a reservation of
the workers for the gang until reservations are made anew. The objective of a job is the
time within which it should complete. Only a gang that would miss it by waiting
preempts. Victims are only runs of lower priority (a greater number) that checkpoint and
have time left to meet the objective of their own job.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run, Step
from bulrushspur_scheduler.placement import needs_advice
from bulrushspur_scheduler.pools import Pool
from bulrushspur_scheduler.ranking import cached_remaining_s, latest_start_s
from bulrushspur_scheduler.resources import Usage, count_fitting_tasks
from bulrushspur_scheduler.runs import stop_run
from bulrushspur_scheduler.workers import Worker

# Expected time from the stop order until a preempted run has stopped.
PREEMPTION_DELAY_S: t.Final = 0.6
# Expected time until it has started again from its checkpoint.
RESUME_DELAY_S: t.Final = 1.5
# Runs whose start was confirmed more recently are not preempted: it is assumed that
# they have not saved a checkpoint yet.
MIN_PREEMPTIBLE_AGE_S: t.Final = 1.0
# A gang preempts only if it has to start within this time after the victims have
# stopped.
PREEMPTION_HORIZON_S: t.Final = 1.0
# How often one task may be preempted.
MAX_PREEMPTIONS: t.Final = 2


@dataclasses.dataclass(slots=True)
class PreemptionOption:
    """A worker with the slots that a gang gets there once the victims have stopped."""

    worker: Worker
    slots: int
    victims: list[Run]


def preempt(cell: Cell, step: Step, pool: Pool, ready_s: float, now_s: float) -> bool:
    """Preempt runs for a gang that has to start now; return whether it preempted.

    ``ready_s`` is when the gang fits without preemption, in seconds on the monotonic
    clock; it is infinite if no such time is known.
    """
    start_by_s = latest_start_s(cell, step, now_s)
    # Without preemption it starts in time, or as soon as it would with preemption.
    if ready_s <= max(start_by_s, now_s + PREEMPTION_DELAY_S):
        return False
    # It misses its objective anyway, or still has time to wait.
    if not now_s <= start_by_s <= now_s + PREEMPTION_HORIZON_S + PREEMPTION_DELAY_S:
        return False
    options = _list_options(cell, step, pool, now_s)
    # The fewest victims per slot come first.
    options.sort(key=lambda option: (len(option.victims) / option.slots, -option.slots))
    needed = len(step.tasks)
    chosen: list[PreemptionOption] = []
    for option in options:
        if needed <= 0:
            break
        chosen.append(option)
        needed -= option.slots
    if needed > 0:
        return False
    pool.reserved_count += sum(row.worker.reserved_for is None for row in chosen)
    for option in chosen:
        option.worker.reserved_for = step.key
        option.worker.reserved_until_s = now_s + PREEMPTION_DELAY_S
        for run in option.victims:
            run.task.preemption_count += 1
            stop_run(cell, run, "preempted")
    return True


def _list_options(
    cell: Cell, step: Step, pool: Pool, now_s: float
) -> list[PreemptionOption]:
    """List the workers that have free slots, or would have them after preemption.

    Workers reserved for other gangs are left out, and so are those without the required
    label or, where the queue needs it, the approval of the advice service.
    """
    rv = []
    needs_approval = needs_advice(cell, step)
    for worker in pool.workers:
        if worker.reserved_for not in (None, step.key):
            continue
        if not step.spec.accepts_labels(worker.labels):
            continue
        if needs_approval and worker.id not in step.approved_workers:
            continue
        option = _make_option(cell, step, worker, now_s)
        if option.slots:
            rv.append(option)
    return rv


def _make_option(
    cell: Cell, step: Step, worker: Worker, now_s: float
) -> PreemptionOption:
    """Count the slots that a gang gets on a worker, and list the runs to stop for them.

    What is being stopped ends soon anyway, so its resources count as free. The other
    runs are considered in the order in which the worker got them, and become victims
    only where stopping them adds a slot.
    """
    each = step.spec.resources
    max_slots = step.spec.max_per_worker or len(step.tasks)
    free = Usage(worker.free.cpu_milli, worker.free.memory_mb, worker.free.gpus)
    for run in worker.runs.values():
        if run.state is RunState.STOPPING:
            free.add(run.task.step.spec.resources)
    slots = min(count_fitting_tasks(free, each), max_slots)
    victims: list[Run] = []
    candidates: list[Run] = []
    for run in worker.runs.values():
        if not is_preemptible(cell, step, run, now_s):
            continue
        candidates.append(run)
        free.add(run.task.step.spec.resources)
        slots_after = min(count_fitting_tasks(free, each), max_slots)
        if slots_after > slots:
            slots = slots_after
            victims += candidates
            candidates = []
    return PreemptionOption(worker, slots, victims)


def is_preemptible(cell: Cell, step: Step, run: Run, now_s: float) -> bool:
    """Return whether a step may preempt a run, whose job must still meet its objective.

    Only checkpointing runs that are not in a gang are preemptible.
    """
    task = run.task
    run_step = task.step
    if run_step.job.priority <= step.job.priority or run_step.spec.gang or task.done:
        return False
    if not run_step.spec.checkpointing or task.preemption_count >= MAX_PREEMPTIONS:
        return False
    if (
        run.state is not RunState.RUNNING
        or now_s - run.confirmed_s < MIN_PREEMPTIBLE_AGE_S
    ):
        return False
    remaining_s = cached_remaining_s(cell, run_step, now_s) + RESUME_DELAY_S
    return now_s + remaining_s <= run_step.job.accepted_s + run_step.job.objective_s
