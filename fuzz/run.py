"""Fuzz the scheduler's decisions: ``make fuzz``, optionally with SEED= and STEPS=.

Takes a seed and a number of steps as arguments. Runs histories of up to 150 random
actions in a simulated cell, with consecutive seeds, until the steps are reached; the
same seed gives the same history. Prints the first violation of each history with the
lines of its trace that concern it, then the totals. Exits with 1 after a violation or a
crash.
"""

import random
import sys
import time
import traceback
import typing as t

from fuzz.jobs import make_random_spec
from fuzz.simulation import Simulation

DEFAULT_SEED: t.Final = 1
DEFAULT_STEPS: t.Final = 20_000
MAX_STEPS_PER_HISTORY: t.Final = 150
COMPLETION_TIMEOUT_S: t.Final = 40.0
MAX_TRACE_LINES: t.Final = 60


def apply_random_action(simulation: Simulation, rng: random.Random) -> None:
    """Apply a request, a fault or neither, then let simulated time pass."""
    draw = rng.random()
    names = sorted(simulation.workers)
    if draw < 0.30:
        simulation.job_count += 1
        queue = rng.choice(("small", "large"))
        simulation.submit(make_random_spec(rng, f"j{simulation.job_count}"), queue)
    elif draw < 0.34:
        simulation.cancel(f"j{rng.randint(1, max(simulation.job_count, 1))}")
    elif draw < 0.37:
        simulation.restart_worker(rng.choice(names))
    elif draw < 0.41:
        simulation.isolate_worker(rng.choice(names), rng.choice((0.5, 3.0, 7.0)))
    elif draw < 0.43:
        simulation.make_store_unavailable(rng.choice((0.5, 2.0, 5.0)))
    elif draw < 0.46:
        old_leader_survives = rng.random() < 0.5
        simulation.take_over(old_leader_survives, simulation.draw_load_s())
    simulation.advance(rng.choice((0.05, 0.2, 0.6)))


def check_completion(simulation: Simulation) -> None:
    """End all faults, let time pass, and record a violation for each unfinished job."""
    simulation.store.unavailable_until_s = 0.0
    for worker in simulation.workers.values():
        worker.unreachable_until_s = 0.0
    simulation.advance(0.1)
    if not simulation.leaders:
        simulation.take_over(False)
    simulation.advance(COMPLETION_TIMEOUT_S)
    unfinished_jobs = simulation.leaders[-1].cell.jobs
    for job in unfinished_jobs.values():
        simulation.oracle.record_violation(
            f"job {job.id} never ended: {job.state.value}"
        )


def run_history(seed: int, slow_loading: bool = True) -> tuple[Simulation, int]:
    """Run the history of a seed; return the simulation and the number of steps.

    Without ``slow_loading`` each new leader serves at once, and all else is the same.
    """
    rng = random.Random(seed)
    simulation = Simulation(seed, slow_loading)
    for step in range(MAX_STEPS_PER_HISTORY):
        if not simulation.leaders:
            simulation.take_over(False)
            if not simulation.leaders:
                simulation.advance(0.5)
                continue
        apply_random_action(simulation, rng)
        if simulation.oracle.violations:
            return simulation.judge(), step + 1
    check_completion(simulation)
    return simulation.judge(), MAX_STEPS_PER_HISTORY


def _filter_trace(trace: list[str], violation: str) -> list[str]:
    """Return the lines about the violation's job, faults and terms."""
    words = [word for word in violation.split() if word.startswith("j")]
    job_id = next((word.split(".")[0] for word in words if word[1:2].isdigit()), "")
    patterns = (f" {job_id} ", f" {job_id}.", "fault", "term")
    return [line for line in trace if any(pattern in line for pattern in patterns)]


def main() -> int:
    """Run histories until the steps are reached, print the totals, return the code."""
    args = [*sys.argv[1:], "", ""]
    seed = int(args[0] or DEFAULT_SEED)
    steps_wanted = int(args[1] or DEFAULT_STEPS)
    started_s = time.monotonic()
    steps = faults = starts = failures = histories = 0
    while steps < steps_wanted:
        try:
            simulation, steps_made = run_history(seed + histories)
        except Exception:
            print(f"seed {seed + histories}: crash\n{traceback.format_exc()}")
            failures += 1
            steps_made = 1
        else:
            faults += simulation.fault_count
            starts += simulation.oracle.start_count
            if simulation.oracle.violations:
                failures += 1
                violation = simulation.oracle.violations[0]
                lines = _filter_trace(simulation.trace, violation)
                trace = "\n    ".join(lines[-MAX_TRACE_LINES:])
                print(f"seed {seed + histories}: {violation}\n    {trace}")
        steps += steps_made
        histories += 1
    took_s = time.monotonic() - started_s
    print(f"seeds {seed} to {seed + histories - 1}, {starts} starts, {took_s:.0f} s")
    print(f"figure fuzz_steps {steps} count")
    print(f"figure fuzz_faults {faults} count")
    print(f"figure fuzz_violations {failures} count")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
