"""Apply the limits of client accounts to the starts of a planning pass.

The input is a waiting step; the result is whether its account's cap and the headroom
for urgent work under it allow a start now. Nothing is changed but what a pass remembers
of it, so that a step that the limits keep back costs little.
"""

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.headroom import leaves_account_headroom
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.placement import Pool, free_slots_of_account


def is_within_limits(cell: Cell, step: Step, count: int) -> bool:
    """Return whether the account's cap and urgent headroom allow ``count`` tasks."""
    each, job = step.spec.resources, step.job
    if free_slots_of_account(cell, job.account, each) < count:
        return False
    return job.priority == 0 or leaves_account_headroom(
        cell, job.account, each.cpu_milli * count
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
