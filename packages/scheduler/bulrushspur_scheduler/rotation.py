"""Bound the work on steps that a planning pass tries outside the order of rank.

The input is the pool of a service; the result is how many steps may be tried, and which
of them can't fit anywhere, so that looking for a worker would be in vain.
"""

import typing as t

from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.pools import Pool

# A pass tries so many steps in rotation that it looks at about as many workers, within
# limits for the number of steps. In a busy service it tries the least number.
MAX_WORKER_CHECKS: t.Final = 4000
MIN_ROTATED_STEPS: t.Final = 15
MAX_ROTATED_STEPS: t.Final = 200


class Room(t.NamedTuple):
    """The most free CPU of a worker, and that of all; in thousandths of a core."""

    max_cpu_milli: int
    total_cpu_milli: int


def max_rotated_steps(pool: Pool) -> int:
    """Return how many steps a pass tries in rotation; more on a smaller pool."""
    if pool.unheld_cpu_milli <= 0:
        return MIN_ROTATED_STEPS
    count = MAX_WORKER_CHECKS // max(len(pool.workers), 1)
    return min(max(count, MIN_ROTATED_STEPS), MAX_ROTATED_STEPS)


def measure_room(pool: Pool) -> Room:
    """Return the free CPU of a pool, also on workers in quarantine and on probation."""
    workers = pool.workers + pool.doubted_workers
    free_milli = [max(worker.free.cpu_milli, 0) for worker in workers]
    return Room(max(free_milli, default=0), sum(free_milli))


def may_fit(step: Step, room: Room) -> bool:
    """Return whether a step may fit by its CPU; a gang has to fit as a whole."""
    cpu_milli = step.spec.resources.cpu_milli
    count = len(step.tasks) if step.spec.gang else 1
    return cpu_milli <= room.max_cpu_milli and cpu_milli * count <= room.total_cpu_milli
