"""Define what clients send: submissions of jobs, and cancels, with their answers.

What has not happened yet has an infinite time, in seconds.
"""

import dataclasses
import math
import typing as t

Outcome = t.Literal["accepted", "rejected", "in doubt"]


class TaskId(t.NamedTuple):
    """Identify a task; equal to any tuple of the same four values."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_id(name: str) -> TaskId:
    """Parse ID.K.STEP.INDEX; a name of another form is a task of no declared step."""
    job, *numbers = name.rsplit(".", 3)
    if len(numbers) == 3 and all(number.isdecimal() for number in numbers):
        return TaskId(job, *map(int, numbers))
    return TaskId(name, -1, -1, -1)


def make_task_id(task: str | tuple[str, int, int, int]) -> TaskId:
    """Return the id of a task that is given by name or by its four values."""
    return parse_task_id(task) if isinstance(task, str) else TaskId(*task)


@dataclasses.dataclass(frozen=True)
class DeclaredStep:
    """What a client declared of a step, as far as clauses need it."""

    count: int
    cpu_milli: int = 0
    gang: bool = False
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    depends_on: tuple[int, ...] = ()


@dataclasses.dataclass(eq=False)
class Submission:
    """One attempt of a client to hand a job in.

    ``status`` is None until an answer came, also if the client gave up at
    ``answered_s``.
    """

    job: str
    payload: str
    steps: tuple[DeclaredStep, ...]
    sent_s: float
    account: str = ""
    queue: str = ""
    occurrence_count: int = 1
    answered_s: float = math.inf
    status: int | None = None

    @property
    def outcome(self) -> Outcome:
        """Return what the client may conclude from the answer."""
        if self.status is None:
            return "in doubt"
        if 200 <= self.status < 300:
            return "accepted"
        # With 408 or another error of a server it may have been accepted.
        is_rejected = 400 <= self.status < 500 and self.status != 408
        return "rejected" if is_rejected or self.status == 503 else "in doubt"

    def declares(self, task: TaskId) -> bool:
        """Return whether the job has such an occurrence, step and index."""
        return (
            0 <= task.occurrence < self.occurrence_count
            and 0 <= task.step < len(self.steps)
            and 0 <= task.index < self.steps[task.step].count
        )


@dataclasses.dataclass(eq=False)
class Cancel:
    """One attempt of a client to cancel a job; see ``Submission`` for the status."""

    job: str
    sent_s: float
    account: str = ""
    answered_s: float = math.inf
    status: int | None = None

    @property
    def is_acknowledged(self) -> bool:
        """Return whether the answer says that the job is cancelled or unknown."""
        return self.status is not None and (
            200 <= self.status < 300 or self.status == 410
        )


def declare_job(body: dict[str, t.Any] | None) -> dict[str, t.Any]:
    """Return the fields of a submission that its body on the wire declares.

    The body is one of the platform, or of the native interface. One of another form
    declares nothing: it must be rejected.
    """
    body = body or {}
    rows = body.get("steps")
    rows = rows if isinstance(rows, list) else []
    if "spec" in body or any("count" in row for row in rows):
        return {
            "payload": body.get("spec", ""),
            "steps": tuple(map(_declare_step, rows)),
            "occurrence_count": max(body.get("repeat_count", 0), 1),
        }
    steps = tuple(map(_declare_native_step, rows or [{}]))
    return {"payload": body.get("payload", ""), "steps": steps}


def _declare_step(row: dict[str, t.Any]) -> DeclaredStep:
    return DeclaredStep(
        row.get("count", 0),
        row.get("cpu", 0),
        row.get("gang", False),
        row.get("checkpointing", False),
        row.get("speculative", False),
        row.get("long_running", False),
        tuple(row.get("depends_on", ())),
    )


def _declare_native_step(row: dict[str, t.Any]) -> DeclaredStep:
    return DeclaredStep(
        row.get("tasks", 1),
        round(1000 * row.get("cores", 1)),
        row.get("gang", False),
        row.get("checkpoints", False),
        row.get("copies", False),
        depends_on=tuple(row.get("after", ())),
    )
