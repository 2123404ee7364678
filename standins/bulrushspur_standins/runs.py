"""Hold the runs of simulated workers, and what all workers of a test record together.

Takes the payload of a job and returns what work its tasks are: CPU, run time, outcome,
and how often a checkpoint is made. What workers are told and do goes to a function that
records it; the judging is done elsewhere.
"""

import dataclasses
import typing as t


def ignore_event(kind: str, **fields: t.Any) -> None:
    """Record nothing."""


@dataclasses.dataclass
class WorkerRun:
    """A run on the worker; its work is done at the monotonic time ``end_s``.

    With a ``save_interval_s`` it makes a checkpoint after each such span of work;
    ``saved`` is the last one, or the one that it started from. ``worked_s`` is the work
    that was saved when it began.
    """

    task: str
    number: int
    cpu_milli: int
    end_s: float
    outcome: str
    began_s: float = 0.0
    save_interval_s: float = 0.0
    next_save_s: float = float("inf")
    saved: str = ""
    worked_s: float = 0.0


@dataclasses.dataclass
class RunOracle:
    """Hold the runs of all workers that share it, for checks across workers.

    ``starts`` has time, task, run number and worker of each start. ``crash_counts`` has
    the crashes that a task caused, ``lost_counts`` all those of workers that ran it,
    and ``failed_runs`` the numbers of its runs that ended as failed. ``record`` takes
    what a worker was told or did: its kind, and fields by name. ``saved_work_s`` has
    the work that each checkpoint stands for.
    """

    record: t.Callable[..., None] = ignore_event
    running_on: dict[str, str] = dataclasses.field(default_factory=dict)
    starts: list[tuple[float, str, int, str]] = dataclasses.field(default_factory=list)
    crash_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    lost_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    failed_runs: dict[str, set[int]] = dataclasses.field(default_factory=dict)
    further_starts: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)
    saved_work_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def make_checkpoint(self, worked_s: float) -> str:
        """Return a new checkpoint that stands for so much work."""
        value = f"{len(self.saved_work_s) + 1:016x}"
        self.saved_work_s[value] = worked_s
        return value


# Maps a task and its payload to CPU in thousandths, run time in seconds and outcome.
WorkModel = t.Callable[[str, str], tuple[int, float, str]]


def work_from_payload(task: str, payload: str) -> tuple[int, float, str]:
    """Parse ``CPU_MILLI DURATION_MS OUTCOME``; other payloads run 1 CPU for 0.1 s.

    A fourth word is how often a checkpoint is made. The outcome ``crash:INDEX`` holds
    for the task of that index alone; the others are done.
    """
    parts = payload.split()
    if len(parts) not in (3, 4):
        parts = ["1000", "100", "done"]
    outcome, _, index = parts[2].partition(":")
    if index and not task.endswith(f".{index}"):
        outcome = "done"
    return int(parts[0]), int(parts[1]) / 1000, outcome


def save_interval_from_payload(payload: str) -> float:
    """Return the interval of checkpoints in s, given in ms; 0 if there are none."""
    parts = payload.split()
    return int(parts[3]) / 1000 if len(parts) == 4 else 0.0
