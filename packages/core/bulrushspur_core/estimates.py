"""Run times and sizes of each kind of work, corrected from what came.

A factor on the declared run time is learned for each service and kind. It moves slowly
and within bounds, so that a few odd tasks change little. Sizes are only ever corrected
upwards: what is placed counts at least as much room as was declared.
"""

import dataclasses
import typing as t

from bulrushspur_core.node import Node, register_state
from bulrushspur_kernel.work import Room, Work

FACTOR_AT_LEAST: t.Final = 0.1
FACTOR_AT_MOST: t.Final = 10.0
SIZE_AT_MOST: t.Final = 4.0
GAIN: t.Final = 0.1
FIRST_GAINS: t.Final = 10
KINDS_KEPT: t.Final = 2000


@dataclasses.dataclass(slots=True)
class Estimate:
    """What is known of a kind of work: factors on its declaration.

    ``shortest`` and ``longest`` are the extreme factors of run time that were seen.
    """

    count: int = 0
    run_time: float = 1.0
    shortest: float = 1.0
    longest: float = 1.0
    memory: float = 1.0
    cores: float = 1.0


@dataclasses.dataclass
class Estimates:
    """Estimates by service and kind."""

    kinds: dict[tuple[str, str], Estimate] = dataclasses.field(default_factory=dict)


@register_state(Estimates)
def make_estimates(node: Node) -> Estimates:
    """Make the state of a process that has seen nothing run."""
    return Estimates()


def run_time_s(node: Node, work: Work) -> float:
    """Estimate the run time of a task in seconds."""
    known = node.state(Estimates).kinds.get((work.service, work.kind))
    return work.run_time_s if known is None else work.run_time_s * known.run_time


def least_run_time_s(node: Node, work: Work) -> float:
    """Tell a run time that tasks of this kind do not fall below, or 0 if unknown."""
    known = node.state(Estimates).kinds.get((work.service, work.kind))
    if known is None or known.count < FIRST_GAINS:
        return 0.0
    return work.run_time_s * known.shortest / 2


def placed_room(node: Node, work: Work) -> Room:
    """Return the room to count for a task: what was declared, or more."""
    known = node.state(Estimates).kinds.get((work.service, work.kind))
    if known is None or (known.memory <= 1.0 and known.cores <= 1.0):
        return work.room
    return Room(
        work.room.slots,
        work.room.cores * known.cores,
        int(work.room.memory_mb * known.memory),
        work.room.accelerators,
    )


def note_run_time(node: Node, work: Work, took_s: float) -> None:
    """Learn from the run time of a task that ended well."""
    known = _find(node, work.service, work.kind)
    factor = took_s / work.run_time_s if work.run_time_s > 0 else 1.0
    factor = min(max(factor, FACTOR_AT_LEAST), FACTOR_AT_MOST)
    known.shortest = factor if known.count == 0 else min(known.shortest, factor)
    known.longest = factor if known.count == 0 else max(known.longest, factor)
    known.count += 1
    # The first few count in full, so that a wrong declaration is soon forgotten.
    gain = max(GAIN, 1 / known.count)
    known.run_time += gain * (factor - known.run_time)


def note_usage(
    node: Node, service: str, kind: str, declared: Room, cores: float, memory_mb: int
) -> None:
    """Learn from the usage of a task that a worker reported, late."""
    known = _find(node, service, kind)
    if declared.memory_mb > 0 and memory_mb > 0:
        factor = min(memory_mb / declared.memory_mb, SIZE_AT_MOST)
        known.memory = max(1.0, known.memory + GAIN * (factor - known.memory), factor)
    if declared.cores > 0 and cores > 0:
        factor = min(cores / declared.cores, SIZE_AT_MOST)
        known.cores = max(1.0, known.cores + GAIN * (factor - known.cores))


def _find(node: Node, service: str, kind: str) -> Estimate:
    kinds = node.state(Estimates).kinds
    known = kinds.get((service, kind))
    if known is None:
        while len(kinds) >= KINDS_KEPT:
            del kinds[next(iter(kinds))]
        known = kinds[service, kind] = Estimate()
    return known
