"""Play a history of random actions in a simulated cell, then let all jobs end."""

import random
import typing as t

from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.resources import Resources
from fuzz.series import SeriesSimulation

STEPS: t.Final = 80
COMPLETION_TIMEOUT_S: t.Final = 120.0


def play_history(
    simulation: SeriesSimulation,
    rng: random.Random,
    act: t.Callable[[], None],
    end_faults: t.Callable[[], None],
    completion_timeout_s: float = COMPLETION_TIMEOUT_S,
) -> None:
    """Act until a violation, then end the faults and check that all jobs end."""
    if not act_at_random(simulation, rng, act, STEPS):
        return
    end_faults()
    ensure_leader(simulation)
    deadline_s = simulation.now_s + completion_timeout_s
    while simulation.leaders[-1].cell.jobs and simulation.now_s < deadline_s:
        simulation.advance(0.5)
    for job_id in simulation.leaders[-1].cell.jobs:
        simulation.oracle.record_violation(f"job {job_id} never ended")


def act_at_random(
    simulation: SeriesSimulation,
    rng: random.Random,
    act: t.Callable[[], None],
    steps: int,
) -> bool:
    """Act a number of times, with pauses; return False at the first violation."""
    for _ in range(steps):
        act()
        simulation.advance(rng.choice((0.1, 0.3, 0.6)))
        if not simulation.leaders:
            simulation.take_over(False)
        if simulation.oracle.violations:
            return False
    return True


def ensure_leader(simulation: SeriesSimulation) -> None:
    """Start terms until one leads."""
    while not simulation.leaders:
        simulation.take_over(False)
        simulation.advance(0.5)


def submit_random_job(
    simulation: SeriesSimulation,
    rng: random.Random,
    task_counts: t.Sequence[int],
    cpu_millis: t.Sequence[int],
    gang_share: float,
) -> None:
    """Submit a job of one step, drawn from the given sizes."""
    simulation.job_count += 1
    step = StepSpec(
        rng.choice(task_counts),
        Resources(rng.choice(cpu_millis), 10),
        rng.choice((0.3, 0.8, 3.0)),
        gang=rng.random() < gang_share,
    )
    spec = JobSpec(f"j{simulation.job_count}", "p", (step,))
    simulation.submit(spec, rng.choice(("small", "large")))
