"""Bound the work on steps that a planning pass tries outside the order of rank.

The input is the pool of a service; the result is how many steps may be tried, and which
of them fit on no worker, so that none is searched for them.
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
    """The most that is free on a worker, and the free CPU of all."""

    max_cpu_milli: int
    max_memory_mb: int
    max_gpus: int
    total_cpu_milli: int


_NO_ROOM: t.Final = Room(0, 0, 0, 0)


def max_rotated_steps(pool: Pool) -> int:
    """Return how many steps a pass tries in rotation; more on a smaller pool."""
    if pool.unheld_cpu_milli <= 0:
        return MIN_ROTATED_STEPS
    count = MAX_WORKER_CHECKS // max(len(pool.workers), 1)
    return min(max(count, MIN_ROTATED_STEPS), MAX_ROTATED_STEPS)


def measure_rooms(pool: Pool) -> dict[str, Room]:
    """Return the room in a pool by label; that of all workers has an empty label.

    Workers in quarantine, on probation and isolated count, too.
    """
    rv: dict[str, Room] = {}
    for worker in pool.workers + pool.doubted_workers + pool.isolated_workers:
        free = worker.free
        cpu_milli = max(free.cpu_milli, 0)
        for label in {"", *worker.labels}:
            room = rv.get(label, _NO_ROOM)
            rv[label] = Room(
                max(room.max_cpu_milli, cpu_milli),
                max(room.max_memory_mb, free.memory_mb),
                max(room.max_gpus, free.gpus),
                room.total_cpu_milli + cpu_milli,
            )
    return rv


def may_fit(step: Step, rooms: dict[str, Room]) -> bool:
    """Return whether a step may fit on workers with its label; a gang as a whole."""
    spec = step.spec
    room, each = rooms.get(spec.required_label, _NO_ROOM), spec.resources
    count = len(step.tasks) if spec.gang else 1
    return (
        each.cpu_milli <= room.max_cpu_milli
        and each.memory_mb <= room.max_memory_mb
        and each.gpus <= room.max_gpus
        and each.cpu_milli * count <= room.total_cpu_milli
    )
