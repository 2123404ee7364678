"""Define jobs, steps and tasks as callers declare them, and what identifies them."""

import dataclasses
import typing as t
import zlib

from bulrushspur_scheduler.resources import Resources


class TaskKey(t.NamedTuple):
    """Identify a task: job, occurrence, step and index."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def path(self) -> str:
        """Return occurrence, step and index, as in the log."""
        return f"{self.occurrence}.{self.step}.{self.index}"


class StepKey(t.NamedTuple):
    """Identify a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """The declaration of a step by the caller; all its tasks are alike."""

    count: int
    resources: Resources
    estimate_s: float = 1.0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    max_unavailable: int = 0
    # Uses resources that others leave idle; may interfere with tasks that have a target
    # latency.
    fills: bool = False
    target_latency_s: float = 0.0

    def accepts_labels(self, labels: t.Sequence[str]) -> bool:
        """Return whether a worker with these labels may run the step."""
        return not self.required_label or self.required_label in labels


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """The declaration of a job by the caller.

    ``start_at_s`` is in Unix seconds, ``interval_s`` in seconds.
    """

    id: str
    payload: str
    steps: tuple[StepSpec, ...]
    start_at_s: float = 0.0
    interval_s: float = 0.0
    repeat_count: int = 0

    @property
    def payload_crc(self) -> str:
        """Return a short checksum of the payload, for the log."""
        return f"{zlib.crc32(self.payload.encode()):08x}"

    def has_task(self, key: TaskKey) -> bool:
        """Return whether the job has such an occurrence, step and task."""
        return (
            0 <= key.occurrence < max(self.repeat_count, 1)
            and 0 <= key.step < len(self.steps)
            and 0 <= key.index < self.steps[key.step].count
        )


def critical_path_s(
    steps: t.Sequence[StepSpec], duration_s: t.Callable[[StepSpec], float]
) -> float:
    """Return the longest chain of dependent steps, in seconds.

    ``duration_s`` returns the duration of a step.
    """
    ends: list[float] = []
    for spec in steps:
        start = max((ends[i] for i in spec.depends_on if i < len(ends)), default=0.0)
        ends.append(start + duration_s(spec))
    return max(ends, default=0.0)
