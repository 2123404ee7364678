"""Convert the failed runs of an occurrence to what a progress record has, and back.

The numbers of the runs and where they failed are separate fields, in the same order:
older versions read and write the numbers alone. The keys of both are ``STEP`` for the
runs of a gang and ``STEP.TASK`` for those of a single task.
"""

import typing as t

from bulrushspur_kernel.decoding import Count
from bulrushspur_scheduler.failed_runs import FailedRun, FailedRuns, sort_failed_runs
from bulrushspur_scheduler.jobs import Occurrence, Step, Task

# Worker id, start of the worker's incarnation in Unix milliseconds, and the term that
# recorded the end.
FailedRunOrigin = tuple[str, Count, Count]


def collect_failed_run_numbers(steps: list[Step]) -> dict[str, list[int]]:
    """Return the numbers of the failed runs, by path."""
    return {path: sorted(runs) for path, runs in _list_failed_runs(steps)}


def collect_failed_run_origins(steps: list[Step]) -> dict[str, list[FailedRunOrigin]]:
    """Return where the failed runs were, by path, in the order of their numbers."""
    return {
        path: [
            (run.worker_id, run.incarnation_start_ms, run.term)
            for run in sort_failed_runs(runs)
        ]
        for path, runs in _list_failed_runs(steps)
    }


def _list_failed_runs(steps: list[Step]) -> t.Iterator[tuple[str, FailedRuns]]:
    """Yield the failed runs of gangs and tasks that have some, with their paths."""
    for step in steps:
        if step.failed_runs:
            yield f"{step.key.step}", step.failed_runs
        for task in step.tasks:
            if task.failed_runs:
                yield f"{step.key.step}.{task.key.index}", task.failed_runs


def restore_failed_runs(
    occurrence: Occurrence,
    numbers_by_path: dict[str, list[int]],
    origins_by_path: dict[str, list[FailedRunOrigin]],
) -> None:
    """Give tasks and gangs their stored failed runs; raises errors for unknown ones."""
    for path, numbers in numbers_by_path.items():
        runs = _make_failed_runs(numbers, origins_by_path.get(path, []))
        step_index, _, task_index = path.partition(".")
        step = occurrence.steps[int(step_index)]
        if task_index:
            task = step.tasks[int(task_index)]
            task.failed_runs = runs
            _skip_run_numbers([task], numbers)
        else:
            step.failed_runs = runs
            _skip_run_numbers(step.tasks, numbers)


def _make_failed_runs(numbers: list[int], origins: list[FailedRunOrigin]) -> FailedRuns:
    if len(origins) != len(numbers):
        # An older version wrote the numbers.
        origins = [("", 0, 0)] * len(numbers)
    return {
        number: FailedRun(number, *origin, is_stored=True)
        for number, origin in zip(numbers, origins, strict=True)
    }


def _skip_run_numbers(tasks: list[Task], numbers: list[int]) -> None:
    """Let later runs have higher numbers; a number that comes again would not count."""
    for task in tasks:
        task.last_run_number = max([task.last_run_number, *numbers])
