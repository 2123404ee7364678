"""Fuzz the decision code: ``make fuzz``, with ``SEED=`` and ``STEPS=`` by hand."""

import random
import sys
import time
import traceback
import typing as t

from fuzz.simulation import Simulation, make_random_spec

DEFAULT_SEED: t.Final = 1
DEFAULT_STEPS: t.Final = 20_000
MAX_STEPS_PER_HISTORY: t.Final = 150
COMPLETION_TIMEOUT_S: t.Final = 40.0
MAX_TRACE_LINES: t.Final = 60


def apply_random_action(world: Simulation, rng: random.Random) -> None:
    """Make one step: a request, a fault, or time that passes."""
    kind = rng.random()
    names = sorted(world.workers)
    if kind < 0.30:
        world.job_count += 1
        queue = rng.choice(("small", "large"))
        world.submit(make_random_spec(rng, f"j{world.job_count}"), queue)
    elif kind < 0.34:
        world.cancel(f"j{rng.randint(1, max(world.job_count, 1))}")
    elif kind < 0.37:
        world.restart_worker(rng.choice(names))
    elif kind < 0.41:
        world.isolate_worker(rng.choice(names), rng.choice((0.5, 3.0, 7.0)))
    elif kind < 0.43:
        world.make_store_unavailable(rng.choice((0.5, 2.0, 5.0)))
    elif kind < 0.46:
        world.take_over(rng.random() < 0.5)
    world.advance(rng.choice((0.05, 0.2, 0.6)))


def check_completion(world: Simulation) -> None:
    """Let the cell come to rest; each job must have ended."""
    world.store.unavailable_until_s = 0.0
    for worker in world.workers.values():
        worker.unreachable_until_s = 0.0
    world.advance(0.1)
    if not world.leaders:
        world.take_over(False)
    world.advance(COMPLETION_TIMEOUT_S)
    left = world.leaders[-1].cell.jobs
    for job in left.values():
        world.oracle.record_violation(f"job {job.id} never ended: {job.state.value}")


def run_history(seed: int) -> tuple[Simulation, int]:
    """Run one history; returns the world and the steps made."""
    rng = random.Random(seed)
    world = Simulation(seed)
    for step in range(MAX_STEPS_PER_HISTORY):
        if not world.leaders:
            world.take_over(False)
            if not world.leaders:
                world.advance(0.5)
                continue
        apply_random_action(world, rng)
        if world.oracle.violations:
            return world, step + 1
    check_completion(world)
    return world, MAX_STEPS_PER_HISTORY


def _relevant(trace: list[str], sentence: str) -> list[str]:
    """Keep the lines about the job of a violation, and the faults."""
    words = [one for one in sentence.split() if one.startswith("j")]
    job = next((one.split(".")[0] for one in words if one[1:2].isdigit()), "")
    names = (f" {job} ", f" {job}.", "fault", "term")
    return [row for row in trace if any(one in row for one in names)]


def main() -> int:
    """Run histories until enough steps were made and print the figures."""
    args = [*sys.argv[1:], "", ""]
    seed = int(args[0] or DEFAULT_SEED)
    steps_wanted = int(args[1] or DEFAULT_STEPS)
    began_s = time.monotonic()
    steps = faults = starts = found = histories = 0
    while steps < steps_wanted:
        try:
            world, made = run_history(seed + histories)
        except Exception:
            print(f"seed {seed + histories}: crash\n{traceback.format_exc()}")
            found += 1
            made = 1
        else:
            faults += world.fault_count
            starts += world.oracle.start_count
            if world.oracle.violations:
                found += 1
                sentence = world.oracle.violations[0]
                rows = _relevant(world.trace, sentence)
                trace = "\n    ".join(rows[-MAX_TRACE_LINES:])
                print(f"seed {seed + histories}: {sentence}\n    {trace}")
        steps += made
        histories += 1
    took_s = time.monotonic() - began_s
    print(f"seeds {seed} to {seed + histories - 1}, {starts} starts, {took_s:.0f} s")
    print(f"figure fuzz_steps {steps} count")
    print(f"figure fuzz_faults {faults} count")
    print(f"figure fuzz_violations {found} count")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
