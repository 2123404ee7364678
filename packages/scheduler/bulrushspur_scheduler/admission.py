"""Decide whether to accept a job, and when a refused caller should come back."""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.config import Queue
from bulrushspur_scheduler.jobs import Job, StepSpec
from bulrushspur_scheduler.placement import free_slots_under_cap
from bulrushspur_scheduler.resources import Usage

INFEASIBLE_RETRY_AFTER_S: t.Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is not accepted, and when to try again in seconds."""

    reason: str
    retry_after_s: float


def check_admission(
    cell: Cell, queue: Queue, account: str, job: Job, now_s: float
) -> Rejection | None:
    """Return None to accept a job, else why not."""
    for step in job.spec.steps:
        reason = infeasible_reason(cell, queue, account, step)
        if reason:
            return Rejection(reason, INFEASIBLE_RETRY_AFTER_S)
    return None


def infeasible_reason(cell: Cell, queue: Queue, account: str, step: StepSpec) -> str:
    """Tell why a step can never start on the present workers; empty if it can."""
    workers = [
        one
        for one in cell.workers.values()
        if one.entry.service == queue.service and one.listed
    ]
    if workers and not any(
        one.entry.capacity.can_fit(step.resources)
        and step.accepts_labels(one.entry.labels)
        for one in workers
    ):
        return "no worker is large enough"
    found = cell.account_of(account)
    together = step.count if step.gang else 1
    if (
        found is not None
        and free_slots_under_cap(found, Usage(), step.resources) < together
    ):
        return "it is above the cap of its client account"
    return ""
