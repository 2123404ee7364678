"""Reject at once what an overloaded account could only be served when it is of no use.

The input is a job that is not stored yet, and the work of its account that waits or
runs; the result is None or when the caller should come back. The load it answers: an
account that sends several times its share, so that its jobs wait behind each other
under its cap until nobody wants them, and hold room, tickets and reservations.

Only jobs beyond their account's share of arrivals are rejected, so no job is rejected
because of other accounts. Work drains at the rate of the cap. Once an account has been
rejected, its queue must be clearly shorter before it is accepted again.
"""

import dataclasses
import typing as t
import zlib

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.estimates import predict_step_duration
from bulrushspur_scheduler.jobs import Job, Step
from bulrushspur_scheduler.ranking import DEADLINE_FACTOR

# The work that waits is added up anew after this time.
BACKLOG_AGE_S: t.Final = 0.1
# An account that was rejected is accepted again where jobs would end this much earlier.
REOPENING_SHARE: t.Final = 0.8
# Callers come back spread over this much of the time that they were told.
RETURN_SPREAD: t.Final = 0.5
MIN_RETRY_AFTER_S: t.Final = 1.0
MAX_RETRY_AFTER_S: t.Final = 30.0


@dataclasses.dataclass
class Backlog:
    """CPU work that waits or runs, in milli-core seconds, by account and priority."""

    computed_s: float = -1e9
    work: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    rejecting_accounts: set[str] = dataclasses.field(default_factory=set)

    def add(self, job: Job, work: float) -> None:
        """Add work of a job."""
        key = (job.account, job.priority)
        self.work[key] = self.work.get(key, 0.0) + work

    def ahead_of(self, job: Job) -> float:
        """Return the work of a job's account that is at least as urgent as the job."""
        return sum(
            work
            for (account, priority), work in self.work.items()
            if account == job.account and priority <= job.priority
        )


def find_return_s(cell: Cell, job: Job, now_s: float) -> float | None:
    """Return after how many seconds a rejected caller should return; None to accept.

    The job has its objective. Accepted work counts until the backlog is added up anew.
    """
    backlog = cell.backlog
    if backlog is None or not job.over_share or job.is_repeating:
        return None
    account = cell.account_of(job.account)
    if account is None or not account.cap.cpu_milli:
        return None
    if now_s - backlog.computed_s > BACKLOG_AGE_S:
        _add_up(cell, backlog, now_s)
    wait_s = backlog.ahead_of(job) / account.cap.cpu_milli
    max_s = DEADLINE_FACTOR * job.objective_s
    if job.account in backlog.rejecting_accounts:
        max_s *= REOPENING_SHARE
    if wait_s + job.path_s <= max_s:
        backlog.rejecting_accounts.discard(job.account)
        backlog.add(job, _work_of_job(job))
        return None
    backlog.rejecting_accounts.add(job.account)
    return _spread(wait_s + job.path_s - job.objective_s, job.id)


def _spread(return_s: float, job_id: str) -> float:
    """Add a part to a time that differs by job, so that callers return in turn."""
    part = zlib.crc32(job_id.encode()) / 2**32
    return_s *= 1 + RETURN_SPREAD * part
    return min(max(return_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def _add_up(cell: Cell, backlog: Backlog, now_s: float) -> None:
    backlog.computed_s = now_s
    backlog.work = {}
    for step in cell.waiting_steps.values():
        left = sum(not task.done and not task.runs for task in step.tasks)
        backlog.add(step.job, left * _work_of_task(cell, step))
    for worker in cell.workers.values():
        for run in worker.runs.values():
            # On average half of a run is left.
            work = 0.5 * _work_of_task(cell, run.task.step)
            backlog.add(run.task.step.job, work)


def _work_of_task(cell: Cell, step: Step) -> float:
    duration_s, _ = predict_step_duration(cell, step)
    return duration_s * step.spec.resources.cpu_milli


def _work_of_job(job: Job) -> float:
    return sum(
        step.count * step.estimate_s * step.resources.cpu_milli
        for step in job.spec.steps
    )
