"""Define what workers see: orders to start and stop runs, and what became of them.

All times are seconds; what has not happened yet has an infinite time. A run is
identified by its task, its number and the worker's incarnation: a worker that is back
under its id runs another one.
"""

import dataclasses
import math

from oracle.requests import TaskId


@dataclasses.dataclass(eq=False)
class Run:
    """An order to start a run that a worker was told, and how the run ended.

    ``is_started`` is False if the worker did not start it on this order: it refused, or
    the run was there. ``term`` is the fencing token of the order. ``told_s`` is when
    the worker carried the order out, ``arrived_s`` when it had got it, if that was
    earlier. ``in_contact`` says that the starter was in contact with the platform.
    ``noted_s`` is when the leader first took note of the end; ``is_note_void`` says
    that the worker's lease lapsed before that. The outcome is ``lost`` if the worker
    crashed or left.
    """

    task: TaskId
    number: int
    worker: str
    incarnation: int
    told_s: float
    payload: str
    checkpoint: str = ""
    term: int = 0
    arrived_s: float = math.inf
    in_contact: bool = True
    cpu_milli: int = 0
    is_started: bool = True
    ended_s: float = math.inf
    outcome: str = ""
    noted_s: float = math.inf
    is_note_void: bool = False

    def __post_init__(self) -> None:
        self.arrived_s = min(self.arrived_s, self.told_s)

    def __str__(self) -> str:
        return f"{self.task} run {self.number} on {self.worker} at {self.told_s:.2f}"

    @property
    def is_late(self) -> bool:
        """Return whether the worker carried the order out late."""
        return self.told_s > self.arrived_s


RunKey = tuple[TaskId, int, str, int]


@dataclasses.dataclass(frozen=True)
class Stop:
    """A stop order that a worker was told, whether it had such a run or not."""

    told_s: float
    task: TaskId
    number: int
    worker: str
    term: int


@dataclasses.dataclass(frozen=True)
class Checkpoint:
    """A checkpoint that a worker produced for a run."""

    produced_s: float
    task: TaskId
    number: int
    value: str
