"""The order in which waiting steps are served.

Jobs that can still meet their objective go before those that cannot, jobs within their
account's share before those beyond it, then by priority, then by the least time left.
"""

import enum
import typing as t

from bulrushspur_scheduler.cell import Cell, TokenBucket
from bulrushspur_scheduler.estimates import predict_duration, predict_step_duration
from bulrushspur_scheduler.jobs import Job, Step

# A late job is still of use until this multiple of its objective.
DEADLINE_FACTOR: t.Final = 3.0
BURST_S: t.Final = 2.0
REMAINING_CACHE_S: t.Final = 0.5


class Tier(enum.IntEnum):
    """Classes of waiting work; a lower one goes first."""

    PARTIAL_GANG = -1
    ON_TIME = 0
    OVER_SHARE = 1
    PAST_OBJECTIVE = 2
    PAST_DEADLINE = 3


def remaining_s(cell: Cell, job: Job, step: Step) -> float:
    """Estimate the longest chain of work from a step on, in seconds."""
    specs = job.spec.steps
    ends: dict[int, float] = {step.key.step: predict_step_duration(cell, step)[0]}
    for index in range(step.key.step + 1, len(specs)):
        before = [ends[i] for i in specs[index].depends_on if i in ends]
        if before:
            time_s = predict_duration(cell, job.queue, specs[index].estimate_s)[0]
            ends[index] = max(before) + time_s
    return max(ends.values())


def cached_remaining_s(cell: Cell, step: Step, now_s: float) -> float:
    """Return the longest chain of work from a step on, as of a moment ago."""
    if now_s - step.remaining_cached_at_s > REMAINING_CACHE_S:
        step.cached_remaining_s = remaining_s(cell, step.job, step)
        step.remaining_cached_at_s = now_s
    return step.cached_remaining_s


def tier_of(job: Job, left_s: float, now_s: float, step: Step) -> Tier:
    """Tell how useful it still is to start a step now, with ``left_s`` of work."""
    end_s = now_s + left_s
    origin_s = step.ready_s if job.is_repeating else job.accepted_s
    if end_s > origin_s + DEADLINE_FACTOR * job.objective_s:
        return Tier.PAST_DEADLINE
    if end_s > origin_s + job.objective_s:
        return Tier.PAST_OBJECTIVE
    return Tier.OVER_SHARE if job.over_share else Tier.ON_TIME


def rank(cell: Cell, step: Step, now_s: float) -> tuple[int, int, float, str]:
    """Return the sort key of a waiting step."""
    job = step.job
    if step.spec.gang and any(task.runs for task in step.tasks):
        # Its members wait for the others only for a moment.
        return (Tier.PARTIAL_GANG, job.priority, 0.0, job.id)
    tier = tier_of(job, cached_remaining_s(cell, step, now_s), now_s, step)
    return (tier, job.priority, latest_start_s(cell, step, now_s), job.id)


def latest_start_s(cell: Cell, step: Step, now_s: float) -> float:
    """Return when a step has to start to meet its job's objective."""
    job = step.job
    return job.accepted_s + job.objective_s - cached_remaining_s(cell, step, now_s)


def charge_arrival(cell: Cell, account: str, now_s: float) -> bool:
    """Take an arrival from the account's share; tell whether it goes beyond it."""
    found = cell.account_of(account)
    if found is None or found.weight <= 0:
        return False
    most = max(found.weight * BURST_S, 2.0)
    bucket = cell.token_buckets.get(account)
    if bucket is None:
        bucket = cell.token_buckets[account] = TokenBucket(most, now_s)
    gained = (now_s - bucket.last_refill_s) * found.weight
    bucket.tokens = min(bucket.tokens + gained, most)
    bucket.last_refill_s = now_s
    if bucket.tokens < 1:
        return True
    bucket.tokens -= 1
    return False
