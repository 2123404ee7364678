"""Rank the waiting steps: the order in which planning serves them.

Takes a waiting step; returns its sort key, the lowest first. Started gangs with missing
members go first. Jobs that can still meet their objective, and tasks that last, go
before those that cannot, and jobs within their account's share before those beyond it.
Within a tier steps go by priority, then by the past use of their account where that
counts, then by the least time left until their latest start.
"""

import enum
import typing as t

from bulrushspur_scheduler.cell import Cell, TokenBucket
from bulrushspur_scheduler.estimates import predict_duration, predict_step_duration
from bulrushspur_scheduler.jobs import Job, Step

# The result of a late job is still useful until this multiple of its objective.
DEADLINE_FACTOR: t.Final = 3.0
# Work counts as on time only if it would be with so much more than its expected
# duration, which is the median of one task: the last task of a step takes longer.
OVERRUN_FACTOR: t.Final = 1.1
# Capacity of a token bucket, in seconds of the account's share of arrivals.
BURST_S: t.Final = 2.0
# Time for which the remaining work of a step is cached.
REMAINING_CACHE_S: t.Final = 0.5


class Tier(enum.IntEnum):
    """Classes of waiting steps; the lowest goes first."""

    # Some members of the gang were started and others are missing.
    PARTIAL_GANG = -1
    ON_TIME = 0
    # On time, but beyond the account's share of arrivals.
    OVER_SHARE = 1
    # Expected to end past its objective.
    PAST_OBJECTIVE = 2
    # Expected to end too late to be useful.
    PAST_DEADLINE = 3


def remaining_s(cell: Cell, job: Job, step: Step) -> float:
    """Estimate the critical path from a step on, in seconds."""
    specs = job.spec.steps
    ends: dict[int, float] = {step.key.step: predict_step_duration(cell, step)[0]}
    for index in range(step.key.step + 1, len(specs)):
        dependency_ends = [ends[i] for i in specs[index].depends_on if i in ends]
        if dependency_ends:
            duration_s = predict_duration(cell, job.queue, specs[index].estimate_s)[0]
            ends[index] = max(dependency_ends) + duration_s
    return max(ends.values())


def cached_remaining_s(cell: Cell, step: Step, now_s: float) -> float:
    """Return the critical path from a step on, at most REMAINING_CACHE_S old."""
    if now_s - step.remaining_cached_at_s > REMAINING_CACHE_S:
        step.cached_remaining_s = remaining_s(cell, step.job, step)
        step.remaining_cached_at_s = now_s
    return step.cached_remaining_s


def tier_of(job: Job, work_s: float, now_s: float, step: Step) -> Tier:
    """Return the tier of a step with ``work_s`` seconds of work from now on.

    Tasks that last are of use whenever they start.
    """
    in_time = Tier.OVER_SHARE if job.over_share else Tier.ON_TIME
    if step.spec.long_running:
        return in_time
    end_s = now_s + work_s
    origin_s = step.ready_s if job.spec.repeat_count > 0 else job.accepted_s
    if end_s > origin_s + DEADLINE_FACTOR * job.objective_s:
        return Tier.PAST_DEADLINE
    if now_s + OVERRUN_FACTOR * work_s > origin_s + job.objective_s:
        return Tier.PAST_OBJECTIVE
    return in_time


def rank(cell: Cell, step: Step, now_s: float) -> tuple[int, int, int, float, str]:
    """Return the sort key of a waiting step."""
    job = step.job
    if step.spec.gang and step.is_partial_gang:
        # Members that have started wait for the others only for a short time.
        return (Tier.PARTIAL_GANG, job.priority, 0, 0.0, job.id)
    # Called for each waiting step in each pass, so it avoids further calls.
    if now_s - step.remaining_cached_at_s > REMAINING_CACHE_S:
        cached_remaining_s(cell, step, now_s)
    work_s = step.cached_remaining_s
    tier = tier_of(job, work_s, now_s, step)
    start_by_s = job.accepted_s + job.objective_s - work_s
    level = 0 if cell.past_use is None else cell.past_use.level_of(job.account)
    return (tier, job.priority, level, start_by_s, job.spec.id)


def latest_start_s(cell: Cell, step: Step, now_s: float) -> float:
    """Return the latest start that meets a job's objective, on the monotonic clock."""
    job = step.job
    return job.accepted_s + job.objective_s - cached_remaining_s(cell, step, now_s)


def charge_arrival(cell: Cell, account: str, now_s: float) -> bool:
    """Take an arrival from the account's share; return whether it exceeds the share.

    The share is a token bucket refilled at the account's weight, in jobs per second.
    """
    account_config = cell.account_of(account)
    if account_config is None or account_config.weight <= 0:
        return False
    max_tokens = max(account_config.weight * BURST_S, 2.0)
    bucket = cell.token_buckets.get(account)
    if bucket is None:
        bucket = cell.token_buckets[account] = TokenBucket(max_tokens, now_s)
    refill = (now_s - bucket.last_refill_s) * account_config.weight
    bucket.tokens = min(bucket.tokens + refill, max_tokens)
    bucket.last_refill_s = now_s
    if bucket.tokens < 1:
        return True
    bucket.tokens -= 1
    return False
