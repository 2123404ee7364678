"""Apply the limits of client accounts to the starts of a planning pass.

The input is a waiting step; the result is whether its account's cap and the headroom
for urgent work under it allow a start now. A pass remembers what they do not allow, so
that a step that they keep back costs little.

A gang that fits under the cap, but not beside what its account has running, claims the
account while under half of the cap is in use: steps behind it in rank wait for one hold
period at most, so that the runs of the account can end. Without that a stream of small
tasks would keep the gang waiting for good. Claims last for a part of the time only: the
runs of the account may be long.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.headroom import leaves_account_headroom
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.placement import free_slots_of_account, free_slots_under_cap
from bulrushspur_scheduler.pools import Pool
from bulrushspur_scheduler.resources import Usage

# A gang may claim its account for so long in each interval since it became ready.
CLAIM_S: t.Final = 4.5
CLAIM_INTERVAL_S: t.Final = 30.0


def is_within_limits(cell: Cell, step: Step, count: int) -> bool:
    """Return whether the account's cap and urgent headroom allow ``count`` tasks."""
    each, job = step.spec.resources, step.job
    if free_slots_of_account(cell, job.account, each) < count:
        return False
    return job.priority == 0 or leaves_account_headroom(
        cell, job.account, each.cpu_milli * count
    )


def is_over_cap(cell: Cell, account: str) -> bool:
    """Return whether an account uses more than its cap, as after this was lowered."""
    config = cell.account_of(account)
    if config is None:
        return False
    cap, used = config.cap, cell.usage_of(account)
    return any(
        0 < limit < in_use
        for limit, in_use in (
            (cap.cpu_milli, used.cpu_milli),
            (cap.memory_mb, used.memory_mb),
            (cap.gpus, used.gpus),
            (config.max_tasks, used.tasks),
        )
    )


def is_kept_back(cell: Cell, step: Step, pool: Pool) -> bool:
    """Return whether the limits of its account allow no start of a step in this pass.

    Usage only grows in a pass, so what the limits do not allow once stays so.
    """
    spec, job = step.spec, step.job
    each = spec.resources
    count = len(step.tasks) if spec.gang else 1
    size = (each.cpu_milli, each.memory_mb, each.gpus, count)
    start = (job.account, job.priority == 0, size)
    if start not in pool.refused_starts:
        if is_within_limits(cell, step, count):
            return False
        pool.refused_starts.add(start)
    # A gang with runs has to be completed or stopped.
    return not step.is_partial_gang


def claim_account(cell: Cell, step: Step, pool: Pool, now_s: float) -> None:
    """Let a gang that the cap keeps back claim its account, if much of it is idle."""
    job, spec = step.job, step.spec
    account = cell.account_of(job.account)
    if account is None or not spec.gang:
        return
    if (now_s - step.ready_s) % CLAIM_INTERVAL_S >= CLAIM_S:
        return
    used = cell.usage_of(job.account)
    cap = account.cap
    is_half_idle = all(
        2 * in_use < limit or not limit
        for in_use, limit in (
            (used.cpu_milli, cap.cpu_milli),
            (used.memory_mb, cap.memory_mb),
            (used.gpus, cap.gpus),
            (used.tasks, account.max_tasks),
        )
    )
    fitting_count = free_slots_under_cap(account, Usage(), spec.resources)
    if is_half_idle and fitting_count >= len(step.tasks):
        pool.claimed_accounts.add(job.account)


def waits_for_claim(step: Step, pool: Pool, now_s: float) -> bool:
    """Return whether a step waits for a gang that has claimed its account."""
    job = step.job
    if job.account not in pool.claimed_accounts or job.priority == 0:
        return False
    if step.is_partial_gang or step.held_since_s < pool.hold_period_s:
        return False
    step.held_since_s = min(step.held_since_s, now_s)
    # Waits for a claim and for sound workers do not add up.
    step.unplaced_since_s = min(step.unplaced_since_s, now_s)
    return True
