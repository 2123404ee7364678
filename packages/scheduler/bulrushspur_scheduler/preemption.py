"""Stop work that can wait, and resume from its checkpoint, for a gang that cannot.

Only a gang that would miss its objective while it waits for room preempts, and only
tasks of lower priority that checkpoint and have time left.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Run, RunState, Step
from bulrushspur_scheduler.placement import Pool, needs_advice
from bulrushspur_scheduler.ranking import cached_remaining_s, latest_start_s
from bulrushspur_scheduler.resources import Usage, count_fitting_tasks
from bulrushspur_scheduler.runs import stop_run
from bulrushspur_scheduler.workers import Worker

# Stopping, and starting again from a checkpoint, take about so long.
PREEMPTION_DELAY_S: t.Final = 0.6
RESUME_DELAY_S: t.Final = 1.5
# What has begun so recently is left alone, for it has saved nothing yet.
MIN_PREEMPTIBLE_AGE_S: t.Final = 1.0
# A gang preempts when it has to start within this time.
PREEMPTION_HORIZON_S: t.Final = 1.0
MAX_PREEMPTIONS: t.Final = 2


@dataclasses.dataclass(slots=True)
class PreemptionOption:
    """What a worker has room for once some of its runs are stopped."""

    worker: Worker
    slots: int
    victims: list[Run]


def preempt(cell: Cell, step: Step, pool: Pool, ready_s: float, now_s: float) -> bool:
    """Make room for a gang that has to start now; tell whether runs were stopped."""
    start_by_s = latest_start_s(cell, step, now_s)
    if ready_s <= max(start_by_s, now_s + PREEMPTION_DELAY_S):
        return False
    if not now_s <= start_by_s <= now_s + PREEMPTION_HORIZON_S + PREEMPTION_DELAY_S:
        return False
    gains = _gains(cell, step, pool, now_s)
    gains.sort(key=lambda one: (len(one.victims) / one.slots, -one.slots))
    needed = len(step.tasks)
    chosen: list[PreemptionOption] = []
    for gain in gains:
        if needed <= 0:
            break
        chosen.append(gain)
        needed -= gain.slots
    if needed > 0:
        return False
    for gain in chosen:
        gain.worker.reserved_for = step.key
        gain.worker.reserved_until_s = now_s + PREEMPTION_DELAY_S
        for run in gain.victims:
            run.task.preemption_count += 1
            stop_run(cell, run, "preempted")
    return True


def _gains(cell: Cell, step: Step, pool: Pool, now_s: float) -> list[PreemptionOption]:
    """List the workers that have room, or would have it."""
    rv = []
    ticketed = needs_advice(cell, step)
    for worker in pool.workers:
        if worker.reserved_for not in (None, step.key):
            continue
        if not step.spec.accepts_labels(worker.entry.labels):
            continue
        if ticketed and worker.id not in step.approved_workers:
            continue
        gain = _gain(cell, step, worker, now_s)
        if gain.slots:
            rv.append(gain)
    return rv


def _gain(cell: Cell, step: Step, worker: Worker, now_s: float) -> PreemptionOption:
    """Count the room on a worker without the runs that can wait."""
    each = step.spec.resources
    most = step.spec.max_per_worker or len(step.tasks)
    free = Usage(worker.free.cpu_milli, worker.free.memory_mb, worker.free.gpus)
    room = min(count_fitting_tasks(free, each), most)
    stopped: list[Run] = []
    waiting: list[Run] = []
    for run in worker.runs.values():
        if run.state is RunState.STOPPING:
            # It is about to end: what it uses is as good as free.
            free.add(run.task.step.spec.resources)
            continue
        if not is_preemptible(cell, step, run, now_s):
            continue
        waiting.append(run)
        free.add(run.task.step.spec.resources)
        grown = min(count_fitting_tasks(free, each), most)
        if grown > room:
            room = grown
            stopped += waiting
            waiting = []
    return PreemptionOption(worker, room, stopped)


def is_preemptible(cell: Cell, step: Step, run: Run, now_s: float) -> bool:
    """Tell whether a run may be stopped for a step, and still be in time."""
    task = run.task
    other = task.step
    if other.job.priority <= step.job.priority or other.spec.gang or task.done:
        return False
    if not other.spec.checkpointing or task.preemption_count >= MAX_PREEMPTIONS:
        return False
    if (
        run.state is not RunState.RUNNING
        or now_s - run.confirmed_s < MIN_PREEMPTIBLE_AGE_S
    ):
        return False
    left_s = cached_remaining_s(cell, other, now_s) + RESUME_DELAY_S
    return now_s + left_s <= other.job.accepted_s + other.job.objective_s
