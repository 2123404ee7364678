"""Draw jobs for the soak's clients, and how the stand-in workers run their tasks.

A payload names CPU in thousandths, run time in milliseconds, outcome and how often a
checkpoint is made, as the stand-in workers read it, and the job, so that no two jobs
have the same one.
"""

import dataclasses
import random
import time
import typing as t

import msgspec

from bulrushspur_standins.runs import work_from_payload
from oracle.requests import DeclaredStep, declare_job

# Share of the runs that fail by themselves.
FAILURE_SHARE: t.Final = 0.15
# Of jobs with many tasks, of which one that fails too often fails the job.
WIDE_FAILURE_SHARE: t.Final = 0.02
MIN_WIDE_TASKS: t.Final = 30
MAX_WIDE_TASKS: t.Final = 110
REPEATING_SHARE: t.Final = 0.2
GANG_SHARE: t.Final = 0.25
LONG_RUNNING_SHARE: t.Final = 0.06
CHECKPOINTING_SHARE: t.Final = 0.15
MANY_STEPS_SHARE: t.Final = 0.2
# Up to longer than the longest lease.
LONG_RUNS_MS: t.Final = (5000, 9500, 12_000)
CHECKPOINT_INTERVAL_MS: t.Final = 300
SMALL_CPU_MILLI: t.Final = 200
SMALL_RUN_MS: t.Final = 100


@dataclasses.dataclass(frozen=True)
class SoakJob:
    """A job as a client submits it."""

    id: str
    queue: str
    body: bytes
    payload: str
    steps: tuple[DeclaredStep, ...]
    occurrence_count: int = 1

    @property
    def path(self) -> str:
        """Return the path of its requests."""
        return f"/{self.queue}/{self.id}"

    @property
    def is_long_running(self) -> bool:
        """Return whether it runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def task_count(self) -> int:
        """Return the number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)


def draw_job(
    rng: random.Random,
    job_id: str,
    is_wide: bool,
    long_share: float = 0.0,
    long_cpus_milli: tuple[int, ...] = (500, 2000),
) -> SoakJob:
    """Draw a job: wide, or with few tasks that are larger, and some of them long."""
    if is_wide:
        cpu_milli = rng.choice((100, 100, 200))
        run_time_ms = rng.choice((50, 200, 600))
        steps = [_draw_wide_step(rng)]
    elif rng.random() < long_share:
        cpu_milli = rng.choice(long_cpus_milli)
        run_time_ms = rng.choice(LONG_RUNS_MS)
        steps = [DeclaredStep(rng.choice((1, 2, 4)))]
    else:
        cpu_milli = rng.choice((500, 2000, 4000))
        run_time_ms = rng.choice((100, 400, 1500))
        steps = _draw_narrow_steps(rng)
    # The outcome of a task of the index after the colon: no task has this one.
    payload = f"{cpu_milli} {run_time_ms} done:{job_id}"
    if any(step.checkpointing for step in steps):
        payload += f" {CHECKPOINT_INTERVAL_MS}"
    rows = [_encode_step(step, cpu_milli, run_time_ms) for step in steps]
    body: dict[str, t.Any] = {"spec": payload, "steps": rows}
    is_long_running = any(step.long_running for step in steps)
    if not is_wide and not is_long_running and rng.random() < REPEATING_SHARE:
        body |= _draw_times(rng)
    queue = rng.choice(("assess", "place"))
    return SoakJob(job_id, queue, msgspec.json.encode(body), **declare_job(body))


def make_small_job(job_id: str) -> SoakJob:
    """Make a job with one small task."""
    step = DeclaredStep(1)
    payload = f"{SMALL_CPU_MILLI} {SMALL_RUN_MS} done:{job_id}"
    row = _encode_step(step, SMALL_CPU_MILLI, SMALL_RUN_MS)
    body = {"spec": payload, "steps": [row]}
    return SoakJob(job_id, "assess", msgspec.json.encode(body), **declare_job(body))


def _draw_wide_step(rng: random.Random) -> DeclaredStep:
    return DeclaredStep(rng.randint(MIN_WIDE_TASKS, MAX_WIDE_TASKS))


def _draw_narrow_steps(rng: random.Random) -> list[DeclaredStep]:
    if rng.random() < LONG_RUNNING_SHARE:
        return [DeclaredStep(rng.choice((1, 2)), long_running=True)]
    is_checkpointing = rng.random() < CHECKPOINTING_SHARE
    gang = rng.random() < GANG_SHARE
    step_count = rng.choice((2, 3)) if rng.random() < MANY_STEPS_SHARE else 1
    steps = []
    for number in range(step_count):
        # The second step and those after it depend on one or on all steps before.
        earlier = tuple(range(number))
        depends_on = earlier if rng.random() < 0.5 else earlier[-1:]
        steps.append(
            DeclaredStep(
                rng.choice((1, 2, 4)),
                gang=gang,
                checkpointing=is_checkpointing,
                depends_on=depends_on,
            )
        )
    return steps


def _encode_step(
    step: DeclaredStep, cpu_milli: int, run_time_ms: int
) -> dict[str, t.Any]:
    row = {
        "count": step.count,
        "cpu": cpu_milli,
        "mem_mb": 50,
        "estimate_ms": run_time_ms,
        "gang": step.gang,
        "checkpointing": step.checkpointing,
        "long_running": step.long_running,
        "depends_on": list(step.depends_on),
    }
    # Fields whose value is 0, false or empty are omitted.
    return {name: value for name, value in row.items() if value}


def _draw_times(rng: random.Random) -> dict[str, int]:
    """Draw when a job repeats."""
    now_ms = int(time.time() * 1000)
    return {
        "start_at_ms": now_ms + rng.choice((0, 300, 1000)),
        "interval_ms": rng.choice((200, 800, 1500)),
        "repeat_count": rng.choice((1, 2, 4)),
    }


def draw_work(
    rng: random.Random, job: SoakJob | None, task_name: str, payload: str
) -> tuple[int, float, str]:
    """Draw CPU in thousandths, run time in seconds and outcome of a run.

    Those of long-running jobs fail, sooner or later.
    """
    cpu_milli, run_time_s, outcome = work_from_payload(task_name, payload)
    if job is None:
        return cpu_milli, run_time_s, outcome
    if job.is_long_running:
        return cpu_milli, rng.uniform(1.0, 20.0), "failed"
    is_wide = job.task_count >= MIN_WIDE_TASKS
    is_long = run_time_s * 1000 >= min(LONG_RUNS_MS)
    failure_share = WIDE_FAILURE_SHARE if is_wide or is_long else FAILURE_SHARE
    has_failed = rng.random() < failure_share
    return cpu_milli, run_time_s, "failed" if has_failed else outcome
