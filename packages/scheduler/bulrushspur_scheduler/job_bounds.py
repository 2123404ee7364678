"""Check that a job as declared stays within what a leader can hold and store.

A declaration goes in; what is wrong with it comes out. Callers' interfaces reject such
a job, and so does a leader that reads one, or it would fail with it, and the next
leader, too.
"""

import math
import typing as t

import msgspec

Step = t.TypeVar("Step")

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.job_specs import JobSpec, StepSpec

MAX_STEPS: t.Final = 1000
# Of all steps of one occurrence together, and of all open occurrences.
MAX_TASKS: t.Final = 10_000
MAX_DEPENDENCIES: t.Final = 10_000
MAX_REPEAT_COUNT: t.Final = 10_000
MAX_OPEN_OCCURRENCES: t.Final = 100
# Of each resource of a task, in its own unit.
MAX_AMOUNT: t.Final = 2**31
MAX_DURATION_S: t.Final = 1e9
MAX_LABEL_LENGTH: t.Final = 256


def decode_steps(
    rows: list[msgspec.Raw], decode: t.Callable[[msgspec.Raw], Step]
) -> list[Step]:
    """Decode the steps of a job one by one, unless there are too many.

    Raises msgspec.DecodeError, which names the step.
    """
    if len(rows) > MAX_STEPS:
        raise msgspec.DecodeError(f"it has more than {MAX_STEPS} steps")
    rv = []
    for index, row in enumerate(rows):
        try:
            rv.append(decode(row))
        except msgspec.DecodeError as exc:
            raise msgspec.DecodeError(_place_in_step(str(exc), index)) from exc
    return rv


def _place_in_step(sentence: str, index: int) -> str:
    """Let the place that an error names, if any, begin at the job."""
    place = f"`$.steps[{index}]"
    if "`$" in sentence:
        return sentence.replace("`$", place, 1)
    return f"{sentence} - at {place}`"


def find_fault(spec: "JobSpec") -> str:
    """Return what is wrong with a declaration, as a clause; empty if nothing is."""
    if len(spec.steps) > MAX_STEPS:
        return f"it has more than {MAX_STEPS} steps"
    for index, step in enumerate(spec.steps):
        fault = _find_step_fault(index, step)
        if fault:
            return f"step {index} {fault}"
    if sum(step.count for step in spec.steps) > MAX_TASKS:
        return f"it has more than {MAX_TASKS} tasks"
    if sum(len(step.depends_on) for step in spec.steps) > MAX_DEPENDENCIES:
        return f"its steps name more than {MAX_DEPENDENCIES} earlier ones"
    if not 0 <= spec.repeat_count <= MAX_REPEAT_COUNT:
        return f"it repeats less than 0 or more than {MAX_REPEAT_COUNT} times"
    if not _is_duration(spec.interval_s):
        return "its interval is out of range"
    if not 0 <= spec.start_at_s <= 100 * MAX_DURATION_S:
        return "its start time is out of range"
    return ""


def max_open_occurrences(spec: "JobSpec") -> int:
    """Return how many occurrences of a job may be open at a time."""
    task_count = sum(step.count for step in spec.steps)
    return min(max(MAX_TASKS // max(task_count, 1), 1), MAX_OPEN_OCCURRENCES)


def _find_step_fault(index: int, step: "StepSpec") -> str:
    if not 1 <= step.count <= MAX_TASKS:
        return f"has less than 1 or more than {MAX_TASKS} tasks"
    if any(not 0 <= dependency < index for dependency in step.depends_on):
        return "depends on a step that is no earlier one"
    each = step.resources
    amounts = (each.cpu_milli, each.memory_mb, each.gpus)
    if any(not 0 <= amount <= MAX_AMOUNT for amount in amounts):
        return "asks for an amount that is out of range"
    if not any(amounts):
        return "asks for no resources"
    if not all(map(_is_duration, (step.estimate_s, step.target_latency_s))):
        return "has a duration that is out of range"
    if not all(
        0 <= n <= MAX_TASKS for n in (step.max_per_worker, step.max_unavailable)
    ):
        return "has a limit of tasks that is out of range"
    labels = (step.required_label, step.preferred_rack)
    if any(len(label) > MAX_LABEL_LENGTH for label in labels):
        return f"has a label of more than {MAX_LABEL_LENGTH} characters"
    return ""


def _is_duration(value_s: float) -> bool:
    return math.isfinite(value_s) and 0 <= value_s <= MAX_DURATION_S
