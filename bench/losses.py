"""Tell where the time of late jobs went, from the logs of all processes.

``make losses LOG=file`` reads a file with the log lines of all processes of a cell,
each with any text before it. A job is late if it took longer, from its first
submission, than its objective made from the actual durations of its tasks. Its time is
divided into stages; the stage that took the most beyond what is usual for its queue is
the cause. Prints a table by queue and by window of time.
"""

import collections
import dataclasses
import enum
import os
import statistics
import sys
import typing as t

import msgspec

WINDOW_S: t.Final = 2.0
# A line is a JSON object that begins with its time.
LINE_START: t.Final = '{"t":'


class Stage(enum.StrEnum):
    """What a job waits for; the stages of a job follow each other."""

    LEADER = "leader"
    STORE = "store"
    ADVICE = "advice"
    ROOM = "room"
    REMAINING_STARTS = "remaining starts"
    RUN = "run"
    REPEATED_RUN = "repeated run"


class LogLine(msgspec.Struct):
    """The fields of a log line that are read; times in Unix seconds."""

    t: float
    event: str
    process: str = ""
    job: str = ""
    queue: str = ""
    account: str = ""
    state: str = ""
    task: str = ""
    how: str = ""
    step: int = 0
    stored_ms: float = 0.0
    took_ms: float = 0.0
    objective_ms: float = 0.0
    path_ms: float = 0.0
    ran_ms: float | None = None
    outcome: str = ""


@dataclasses.dataclass
class StepTimes:
    """The events of one step; times in seconds."""

    advised_s: float | None = None
    # First and last start of each task.
    first_starts_s: dict[str, float] = dataclasses.field(default_factory=dict)
    last_starts_s: dict[str, float] = dataclasses.field(default_factory=dict)
    last_end_s: float = 0.0
    longest_run_s: float = 0.0


@dataclasses.dataclass
class JobTimes:
    """The events of one job; times in seconds."""

    id: str
    queue: str = ""
    account: str = ""
    submitted_s: float | None = None
    received_s: float | None = None
    accepted_s: float | None = None
    finished_s: float | None = None
    state: str = ""
    # The objective, and the expected chain of runs that it was made from.
    objective_s: float = 0.0
    path_s: float = 0.0
    steps: dict[int, StepTimes] = dataclasses.field(default_factory=dict)

    def step(self, index: int) -> StepTimes:
        """Return the times of a step."""
        return self.steps.setdefault(index, StepTimes())

    @property
    def took_s(self) -> float:
        """Return the time from the first submission to the end."""
        assert self.finished_s is not None and self.submitted_s is not None
        return self.finished_s - self.submitted_s

    @property
    def is_late(self) -> bool:
        """Return whether the job took longer than its objective in hindsight."""
        chain_s = sum(step.longest_run_s for step in self.steps.values())
        factor = chain_s / self.path_s if chain_s and self.path_s else 1.0
        return self.took_s > self.objective_s * max(factor, 1.0)


def parse_lines(lines: t.Iterable[str]) -> list[LogLine]:
    """Decode the log lines in order of time; other lines are left out."""
    decoder = msgspec.json.Decoder(LogLine)
    rv = []
    for line in lines:
        start = line.find(LINE_START)
        if start < 0:
            continue
        try:
            rv.append(decoder.decode(line[start:].strip()))
        except msgspec.DecodeError as exc:
            print(f"left out, {exc}: {line.strip()[:120]}", file=sys.stderr)
    return sorted(rv, key=lambda row: row.t)


def collect_jobs(rows: t.Iterable[LogLine]) -> dict[str, JobTimes]:
    """Collect the events of each job that was submitted."""
    jobs: dict[str, JobTimes] = {}
    for row in rows:
        if row.job:
            _apply_line(jobs.setdefault(row.job, JobTimes(row.job)), row)
    return {job.id: job for job in jobs.values() if job.submitted_s is not None}


def _apply_line(job: JobTimes, row: LogLine) -> None:
    if row.event == "caller_submit":
        began_s = row.t - row.took_ms / 1000
        job.submitted_s = min(job.submitted_s or began_s, began_s)
    elif row.event == "accept" and job.accepted_s is None:
        job.queue, job.account = row.queue, row.account
        job.received_s = row.t - row.stored_ms / 1000
        job.accepted_s = row.t
    elif row.event == "advice":
        step = job.step(row.step)
        step.advised_s = step.advised_s or row.t
    elif row.event in ("start", "adopt") and row.task:
        step = job.step(_step_index(row.task))
        step.first_starts_s.setdefault(row.task, row.t)
        if row.event == "start":
            step.last_starts_s[row.task] = row.t
    elif row.event == "end" and row.how == "done":
        step = job.step(_step_index(row.task))
        step.last_end_s = row.t
        step.longest_run_s = max(step.longest_run_s, (row.ran_ms or 0.0) / 1000)
    elif row.event == "finish":
        job.queue, job.state = row.queue, row.state
        job.finished_s = row.t
        job.objective_s, job.path_s = row.objective_ms / 1000, row.path_ms / 1000


def _step_index(task: str) -> int:
    """Return the step of a task's name, OCCURRENCE.STEP.INDEX."""
    return int(task.split(".")[1])


def divide_time(job: JobTimes) -> dict[Stage, float]:
    """Divide the time of a finished job into stages, in seconds.

    The steps count as a chain, in the order in which they end.
    """
    assert job.submitted_s is not None and job.finished_s is not None
    rv: dict[Stage, float] = dict.fromkeys(Stage, 0.0)
    received_s = job.received_s or job.submitted_s
    accepted_s = job.accepted_s or received_s
    rv[Stage.LEADER] = max(received_s - job.submitted_s, 0.0)
    rv[Stage.STORE] = accepted_s - received_s
    ready_s = accepted_s
    for step in sorted(job.steps.values(), key=lambda step: step.last_end_s):
        if step.last_starts_s and step.last_end_s > ready_s:
            _divide_step(step, ready_s, rv)
            ready_s = step.last_end_s
    return rv


def _divide_step(step: StepTimes, ready_s: float, stages: dict[Stage, float]) -> None:
    """Add the stages of one step, which was ready at ``ready_s``."""
    first_s = min(step.first_starts_s.values())
    all_started_s = max(step.first_starts_s.values())
    last_s = max(step.last_starts_s.values())
    marks = [
        (Stage.ADVICE, min(step.advised_s or ready_s, first_s)),
        (Stage.ROOM, first_s),
        (Stage.REMAINING_STARTS, all_started_s),
        (Stage.REPEATED_RUN, last_s),
        (Stage.RUN, step.last_end_s),
    ]
    at_s = ready_s
    for stage, until_s in marks:
        stages[stage] += max(until_s - at_s, 0.0)
        at_s = max(at_s, until_s)


def usual_stages(jobs: t.Iterable[JobTimes]) -> dict[str, dict[Stage, float]]:
    """Return the median of each stage over the jobs on time, by queue."""
    by_queue: dict[str, list[dict[Stage, float]]] = {}
    for job in jobs:
        if not job.is_late:
            by_queue.setdefault(job.queue, []).append(divide_time(job))
    return {
        queue: {stage: statistics.median(row[stage] for row in rows) for stage in Stage}
        for queue, rows in by_queue.items()
    }


def find_cause(job: JobTimes, usual: dict[str, dict[Stage, float]]) -> Stage:
    """Return the stage that took the most beyond what is usual for its queue."""
    usual_s = usual.get(job.queue, {})
    stages = divide_time(job)
    return max(Stage, key=lambda stage: stages[stage] - usual_s.get(stage, 0.0))


def print_losses(jobs: dict[str, JobTimes], began_s: float) -> None:
    """Print the late jobs by queue and cause, then by window and cause."""
    done = [job for job in jobs.values() if job.state == "completed"]
    usual = usual_stages(done)
    late = [(job, find_cause(job, usual)) for job in done if job.is_late]
    by_queue = {
        queue: [cause for job, cause in late if job.queue == queue]
        for queue in sorted({job.queue for job in done})
    }
    accepted = sum(job.accepted_s is not None for job in jobs.values())
    print(f"accepted {accepted}, never accepted {len(jobs) - accepted}")
    print(f"completed {len(done)}, late {len(late)}")
    _print_header("queue", "completed")
    for queue, causes in by_queue.items():
        _print_row(queue, sum(job.queue == queue for job in done), causes)
    _print_header("second", "completed")
    windows: dict[int, list[Stage]] = collections.defaultdict(list)
    counts: collections.Counter[int] = collections.Counter()
    for job in done:
        counts[_window_of(job, began_s)] += 1
    for job, cause in late:
        windows[_window_of(job, began_s)].append(cause)
    for index in sorted(counts):
        _print_row(f"{index * WINDOW_S:.0f}", counts[index], windows[index])


def _window_of(job: JobTimes, began_s: float) -> int:
    assert job.submitted_s is not None
    return int((job.submitted_s - began_s) // WINDOW_S)


def _print_header(first: str, second: str) -> None:
    columns = "".join(f"{stage.value:>18}" for stage in Stage)
    print(f"\n{first:12}{second:>10}{'late':>6}{columns}")


def _print_row(name: str, completed: int, causes: list[Stage]) -> None:
    columns = "".join(f"{causes.count(stage):18}" for stage in Stage)
    print(f"{name:12}{completed:10}{len(causes):6}{columns}")


def main() -> None:
    """Read the file that LOG names, or the standard input, and print the tables."""
    path = os.environ.get("LOG")
    with open(path) if path else sys.stdin as file:
        rows = parse_lines(file)
    jobs = collect_jobs(rows)
    if not jobs:
        raise SystemExit("no submissions in the log; try make losses LOG=FILE")
    print_losses(jobs, min(job.submitted_s or 0.0 for job in jobs.values()))


if __name__ == "__main__":
    main()
