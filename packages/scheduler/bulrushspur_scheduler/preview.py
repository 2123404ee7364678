"""Explain where a job that is not sent would go now, and why.

A job goes in that the cell does not have; out come whether it would be accepted and,
for each step that could start first, on which workers it would start, or what it would
wait for and behind whom. The cell is not changed. A later job may change the answer.
"""

import collections
import dataclasses
import typing as t

from bulrushspur_scheduler.admission import check_admission
from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.config import Queue
from bulrushspur_scheduler.estimates import predict_step_duration
from bulrushspur_scheduler.evacuation import is_evacuated
from bulrushspur_scheduler.jobs import Job, Step, make_occurrence
from bulrushspur_scheduler.placement import (
    choose_gang_workers,
    eligible_workers,
    free_slots_on,
    needs_advice,
    score_worker,
)
from bulrushspur_scheduler.pools import Pool
from bulrushspur_scheduler.queue_changes import apply_queue
from bulrushspur_scheduler.ranking import rank
from bulrushspur_scheduler.unlike_workers import find_needed_speed
from bulrushspur_scheduler.waiting import WaitReason, find_wait_reason
from bulrushspur_scheduler.workers import Worker, is_schedulable

# The accounts with most steps ahead are named.
MAX_NAMED_ACCOUNTS: t.Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class StepPreview:
    """Where one step would start now, or what it would wait for.

    ``waits_for`` is None if all its tasks would start; ``workers`` has pairs of worker
    and number of tasks. ``ahead`` counts the steps before it by account.
    """

    step: int
    tasks: int
    expected_s: float
    waits_for: WaitReason | None
    workers: list[tuple[Worker, int]]
    needs_advice: bool
    ahead: list[tuple[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class JobPreview:
    """What would become of a job; ``rejection`` is empty if it would be accepted."""

    rejection: str
    retry_after_s: float
    objective_s: float
    expected_s: float
    past_use_level: int
    steps: list[StepPreview]


def preview_job(cell: Cell, queue: Queue, job: Job, now_s: float) -> JobPreview:
    """Return what would become of a job that was sent now."""
    has_usage = job.account in cell.usage
    apply_queue(cell, job)
    rejection = check_admission(cell, queue, job.account, job, now_s)
    level = cell.past_use.level_of(job.account) if cell.past_use else 0
    steps = []
    if rejection is None:
        occurrence = make_occurrence(job, 0)
        for step in occurrence.steps:
            if not step.spec.depends_on:
                step.ready, step.ready_s = True, now_s
                steps.append(_preview_step(cell, step, now_s))
    if not has_usage:
        cell.usage.pop(job.account, None)
    return JobPreview(
        rejection.reason if rejection else "",
        rejection.retry_after_s if rejection else 0.0,
        job.objective_s,
        job.path_s,
        level,
        steps,
    )


def _preview_step(cell: Cell, step: Step, now_s: float) -> StepPreview:
    workers = _choose_workers(cell, step, now_s)
    placed = sum(count for _, count in workers)
    waits_for = find_wait_reason(cell, step, now_s)
    if waits_for in (WaitReason.NOT_TRIED, WaitReason.ADVICE):
        # Nothing of the cell keeps it from starting, or only the service's answer.
        waits_for = None if placed == len(step.tasks) else WaitReason.ROOM
    return StepPreview(
        step.key.step,
        len(step.tasks),
        predict_step_duration(cell, step)[0],
        waits_for,
        workers,
        needs_advice(cell, step),
        _count_ahead(cell, step, now_s),
    )


def _choose_workers(cell: Cell, step: Step, now_s: float) -> list[tuple[Worker, int]]:
    """Return the workers that the step would start on, each with a number of tasks.

    The answer of an advice service is not known: it may leave out any of them.
    """
    usable = [
        worker
        for worker in cell.workers.values()
        if worker.entry.service == step.job.service
        and worker.isolated_for is None
        and is_schedulable(worker, now_s)
        and not is_evacuated(cell, worker)
    ]
    pool = Pool(usable, now_s, {worker.id: worker for worker in usable})
    workers = eligible_workers(cell, step, pool, now_s, False)
    step.needed_speed = find_needed_speed(cell, step, now_s)
    if step.spec.gang:
        chosen = choose_gang_workers(step, step.tasks, workers) or []
        counts = collections.Counter(worker.id for _, worker in chosen)
        by_id = {worker.id: worker for _, worker in chosen}
        return [(by_id[id_], count) for id_, count in counts.items()]
    remaining = len(step.tasks)
    rv = []
    for worker in sorted(workers, key=lambda row: score_worker(step, None, row)):
        count = min(free_slots_on(step, worker), remaining)
        if count:
            rv.append((worker, count))
            remaining -= count
    return rv


def _count_ahead(cell: Cell, step: Step, now_s: float) -> list[tuple[str, int]]:
    """Count the waiting steps of the service that go first, by account."""
    own_rank = rank(cell, step, now_s)
    counts = collections.Counter(
        other.job.account
        for other in cell.waiting_steps.values()
        if other.job.service == step.job.service and rank(cell, other, now_s) < own_rank
    )
    return counts.most_common(MAX_NAMED_ACCOUNTS)
