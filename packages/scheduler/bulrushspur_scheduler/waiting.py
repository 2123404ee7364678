"""Find out why steps wait, for the log, the metrics and the operators.

A step of a cell goes in; the first reason that keeps it from starting comes out, with
the figures that decided it. Nothing is changed, and nothing is decided here: a step
that could start is one that no planning pass has reached.
"""

import dataclasses
import enum
import heapq
import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.evacuation import is_evacuated
from bulrushspur_scheduler.headroom import leaves_account_headroom
from bulrushspur_scheduler.isolation import is_suspect
from bulrushspur_scheduler.job_specs import StepKey
from bulrushspur_scheduler.jobs import Job, Step
from bulrushspur_scheduler.placement import (
    eligible_workers,
    free_slots_of_account,
    free_slots_on,
    free_slots_under_cap,
    needs_advice,
)
from bulrushspur_scheduler.pools import Pool, is_worker_list_old, may_share
from bulrushspur_scheduler.workers import Worker, is_schedulable

# A step whose job has had nothing running for longer is reported.
REPORT_THRESHOLD_S: t.Final = 2.0
# At most this many steps are reported at a time, those that have waited longest.
MAX_REPORTED_STEPS: t.Final = 8


class WaitReason(enum.Enum):
    """What keeps a step from starting; the values are logged."""

    EARLIER_STEPS = "earlier_steps"
    UNRECONCILED = "unreconciled"
    # Its job is of an older version, and no configuration has told its attempts yet.
    ATTEMPTS_UNKNOWN = "attempts_unknown"
    RUNNING = "running"
    PLANNING_FAULT = "planning_fault"
    UNOBSERVED_USAGE = "unobserved_usage"
    ACCOUNT_CAP = "account_cap"
    ACCOUNT_HEADROOM = "account_headroom"
    CLAIM = "claim"
    ADVICE = "advice"
    ISOLATION = "isolation"
    ROOM = "room"
    EVACUATION = "evacuation"
    EXCLUDED_WORKERS = "excluded_workers"
    ISOLATED_WORKERS = "isolated_workers"
    WORKER_LIST = "worker_list"
    TICKETS = "tickets"
    RESERVATION = "reservation"
    NOT_TRIED = "not_tried"


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """How many more tasks of a step fit on workers that may run it.

    Each number leaves out further workers: those of evacuated failure domains, others
    that get no new work, those isolated for other steps, those without a valid ticket,
    and those that are reserved for other steps.
    """

    listed: int
    outside_evacuations: int
    schedulable: int
    unisolated: int
    ticketed: int
    unreserved: int


@dataclasses.dataclass
class WaitMonitor:
    """Since when steps wait whose job has nothing running, on the monotonic clock."""

    since_s: dict[StepKey, float] = dataclasses.field(default_factory=dict)
    # The longest wait by reason among the steps that were reported last.
    oldest_s: dict[WaitReason, float] = dataclasses.field(default_factory=dict)

    def report(self, cell: Cell, now_s: float) -> None:
        """Log the steps that have waited longest; call it at an interval."""
        steps = {**cell.waiting_steps, **_list_faulted_steps(cell)}
        self.since_s = {
            key: self.since_s.get(key, now_s)
            for key, step in steps.items()
            if not has_runs(step.job)
        }
        waits = heapq.nsmallest(
            MAX_REPORTED_STEPS, self.since_s.items(), key=lambda row: row[1]
        )
        self.oldest_s = {}
        for key, since_s in waits:
            wait_s = now_s - since_s
            if wait_s >= REPORT_THRESHOLD_S:
                reason = _log_wait(cell, steps[key], wait_s, now_s)
                self.oldest_s[reason] = max(self.oldest_s.get(reason, 0.0), wait_s)


def _list_faulted_steps(cell: Cell) -> dict[StepKey, Step]:
    """List the steps that could be planned, of the jobs set aside after an error."""
    jobs = [cell.jobs[job_id] for job_id in cell.faulted_jobs if job_id in cell.jobs]
    return {
        step.key: step
        for job in jobs
        for step in job.steps()
        if step.ready and not step.done
    }


def has_runs(job: Job) -> bool:
    """Return whether a job has any run, also one that starts or stops."""
    return any(task.runs for step in job.steps() for task in step.tasks)


def find_wait_reason(cell: Cell, step: Step, now_s: float) -> WaitReason:
    """Return the first reason that keeps a step from starting."""
    startable = step.startable_tasks()
    if not step.ready:
        return WaitReason.EARLIER_STEPS
    if any(task.may_be_at_work for task in step.tasks):
        return WaitReason.UNRECONCILED
    if any(task.awaits_promise for task in step.tasks):
        return WaitReason.ATTEMPTS_UNKNOWN
    if not startable:
        return WaitReason.RUNNING
    if step.job.id in cell.faulted_jobs:
        return WaitReason.PLANNING_FAULT
    wanted = len(startable) if step.spec.gang else 1
    limit = _find_account_limit(cell, step, wanted)
    if limit is not None:
        return limit
    if _is_claimed(cell, step.job):
        return WaitReason.CLAIM
    if needs_advice(cell, step) and not step.evaluated_workers:
        return WaitReason.ADVICE
    if is_worker_list_old(cell, now_s):
        return WaitReason.WORKER_LIST
    if step.has_suspects and all(map(is_suspect, startable)):
        return WaitReason.ISOLATION
    return _find_room_reason(count_slots(cell, step, now_s), wanted)


def _find_account_limit(cell: Cell, step: Step, wanted: int) -> WaitReason | None:
    """Return which limit of the account does not allow the wanted tasks, or None."""
    job, each = step.job, step.spec.resources
    if free_slots_of_account(cell, job.account, each) < wanted:
        account = cell.account_of(job.account)
        used = cell.usage_of(job.account)
        if account and free_slots_under_cap(account, used, each) >= wanted:
            return WaitReason.UNOBSERVED_USAGE
        return WaitReason.ACCOUNT_CAP
    cpu_milli = each.cpu_milli * wanted
    if job.priority and not leaves_account_headroom(cell, job.account, cpu_milli):
        return WaitReason.ACCOUNT_HEADROOM
    return None


def _is_claimed(cell: Cell, job: Job) -> bool:
    """Return whether a gang had claimed the account in the last planning pass."""
    pool: Pool | None = cell.recent_pools.get(job.service)
    return (
        bool(job.priority)
        and pool is not None
        and (job.account in pool.claimed_accounts)
    )


def _find_room_reason(slots: Slots, wanted: int) -> WaitReason:
    if slots.listed < wanted:
        return WaitReason.ROOM
    if slots.outside_evacuations < wanted:
        return WaitReason.EVACUATION
    if slots.schedulable < wanted:
        return WaitReason.EXCLUDED_WORKERS
    if slots.unisolated < wanted:
        return WaitReason.ISOLATED_WORKERS
    if slots.ticketed < wanted:
        return WaitReason.TICKETS
    if slots.unreserved < wanted:
        return WaitReason.RESERVATION
    return WaitReason.NOT_TRIED


def count_slots(cell: Cell, step: Step, now_s: float) -> Slots:
    """Count the slots for a step on the workers that may run it."""
    ticketed = needs_advice(cell, step)
    listed = [worker for worker in cell.workers.values() if _may_run(step, worker)]
    if ticketed:
        listed = [worker for worker in listed if worker.id in step.approved_workers]
    outside = [worker for worker in listed if not is_evacuated(cell, worker)]
    schedulable = [
        worker
        for worker in outside
        if is_schedulable(worker, now_s) and step.spec.accepts_labels(worker.labels)
    ]
    pool = Pool(schedulable, now_s, {worker.id: worker for worker in schedulable})
    eligible = eligible_workers(cell, step, pool, now_s, ticketed)
    unisolated = [
        worker
        for worker in schedulable
        if worker.isolated_for == step.key or may_share(worker, step, pool, now_s)
    ]
    with_ticket = [
        worker
        for worker in unisolated
        if not ticketed or step.tickets.get(worker.id, ("", 0.0))[1] > now_s
    ]
    return Slots(
        *(
            sum(free_slots_on(step, worker) for worker in workers)
            for workers in (
                listed,
                outside,
                schedulable,
                unisolated,
                with_ticket,
                eligible,
            )
        )
    )


def _may_run(step: Step, worker: Worker) -> bool:
    return (
        worker.listed
        and not worker.draining
        and worker.entry.service == step.job.service
        and step.spec.accepts_labels(worker.entry.labels)
    )


def _log_wait(cell: Cell, step: Step, wait_s: float, now_s: float) -> WaitReason:
    reason = find_wait_reason(cell, step, now_s)
    common = {
        "step": step.key.step,
        "reason": reason.value,
        "wait_ms": round(wait_s * 1000),
        "tasks": len(step.startable_tasks()),
    }
    if step.job.id in cell.faulted_jobs:
        # What planning could not do may fail in the rest, too.
        cell.log("step_waits", step.job.id, **common, faults=step.job.fault_count)
        return reason
    slots = count_slots(cell, step, now_s)
    account = cell.account_of(step.job.account)
    unobserved = cell.unobserved_usage.get(step.job.account)
    reservation = cell.reservations.get(step.key)
    cell.log(
        "step_waits",
        step.job.id,
        **common,
        tried_age_ms=round(min(now_s - step.tried_s, 1e6) * 1000),
        gang=step.spec.gang,
        slots=slots.listed,
        slots_outside_evacuations=slots.outside_evacuations,
        slots_schedulable=slots.schedulable,
        slots_unisolated=slots.unisolated,
        slots_ticketed=slots.ticketed,
        slots_unreserved=slots.unreserved,
        evaluated=len(step.evaluated_workers),
        approved=len(step.approved_workers),
        in_flight=len(step.in_flight_advice_calls),
        account=step.job.account,
        used_milli=cell.usage_of(step.job.account).cpu_milli,
        unobserved_milli=unobserved.cpu_milli if unobserved else 0,
        cap_milli=account.cap.cpu_milli if account else 0,
        reserved=len(reservation.workers) if reservation else 0,
        dark=len(cell.unobserved_workers),
        waiting_steps=len(cell.waiting_steps),
    )
    return reason
