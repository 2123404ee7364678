"""Decide whether to accept a job, and when a rejected caller should retry.

Takes a job that is not stored yet; returns None or a rejection, and changes nothing. A
job is rejected if one of its steps could never start, on the present workers or under
the cap of its client account, or if only workers of evacuated failure domains could run
it. That a worker has shrunk is not considered: jobs can wait. The present load counts
only where jobs beyond their account's share are rejected by it (``overload.py``).
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.config import Queue
from bulrushspur_scheduler.evacuation import (
    EVACUATED_RETRY_AFTER_S,
    is_confined,
    may_wait_for_domain,
)
from bulrushspur_scheduler.job_specs import StepSpec
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.overload import find_return_s
from bulrushspur_scheduler.placement import free_slots_under_cap
from bulrushspur_scheduler.resources import Usage
from bulrushspur_scheduler.workers import Worker

INFEASIBLE_RETRY_AFTER_S: t.Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The reason why a job is rejected, and the delay before a retry in seconds."""

    reason: str
    retry_after_s: float


def check_admission(
    cell: Cell, queue: Queue, account: str, job: Job, now_s: float
) -> Rejection | None:
    """Return None to accept a job, whose objective is set, or else the rejection."""
    for step in job.spec.steps:
        reason = infeasible_reason(cell, queue, account, step)
        if reason:
            return Rejection(reason, INFEASIBLE_RETRY_AFTER_S)
    if waits_for_evacuated_domain(cell, queue, job):
        reason = "the failure domains that could run it are evacuated"
        return Rejection(reason, EVACUATED_RETRY_AFTER_S)
    return_s = find_return_s(cell, job, now_s)
    if return_s is not None:
        return Rejection("its account has more work than can end in time", return_s)
    return None


def waits_for_evacuated_domain(cell: Cell, queue: Queue, job: Job) -> bool:
    """Return whether a job would be of no use by the time when it could run."""
    if not cell.config.evacuated_domains or may_wait_for_domain(job.spec):
        return False
    workers = list_workers(cell, queue)
    return bool(workers) and any(
        is_confined(cell, workers, step) for step in job.spec.steps
    )


def list_workers(cell: Cell, queue: Queue) -> list[Worker]:
    """List the workers that may run jobs of a queue, leaving their state aside."""
    return [
        worker
        for worker in cell.workers.values()
        if worker.entry.service == queue.service and worker.listed
    ]


def infeasible_reason(cell: Cell, queue: Queue, account: str, step: StepSpec) -> str:
    """Return why a step can never start on the present workers; empty if it can.

    While the service has no listed worker, only the cap of the account is checked.
    """
    workers = list_workers(cell, queue)
    if workers and not any(
        worker.max_capacity.can_fit(step.resources)
        and step.accepts_labels(worker.entry.labels)
        for worker in workers
    ):
        return "no worker is large enough"
    account_config = cell.account_of(account)
    min_tasks = step.count if step.gang else 1
    if (
        account_config is not None
        and free_slots_under_cap(account_config, Usage(), step.resources) < min_tasks
    ):
        return "it is above the cap of its client account"
    return ""
