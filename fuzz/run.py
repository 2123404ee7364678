"""Fuzz the decision code: ``make fuzz``, with ``SEED=`` and ``STEPS=`` by hand."""

import random
import sys
import time
import traceback
import typing as t

from fuzz.simulation import World, make_spec

DEFAULT_SEED: t.Final = 1
DEFAULT_STEPS: t.Final = 20_000
STEPS_A_HISTORY: t.Final = 150
QUIET_S: t.Final = 40.0
TRACE_LINES: t.Final = 60


def make_step(world: World, rng: random.Random) -> None:
    """Make one step: a request, a fault, or time that passes."""
    kind = rng.random()
    names = sorted(world.workers)
    if kind < 0.30:
        world.jobs += 1
        queue = rng.choice(("small", "large"))
        world.submit(make_spec(rng, f"j{world.jobs}"), queue)
    elif kind < 0.34:
        world.cancel(f"j{rng.randint(1, max(world.jobs, 1))}")
    elif kind < 0.37:
        world.restart_worker(rng.choice(names))
    elif kind < 0.41:
        world.cut_worker(rng.choice(names), rng.choice((0.5, 3.0, 7.0)))
    elif kind < 0.43:
        world.stop_store(rng.choice((0.5, 2.0, 5.0)))
    elif kind < 0.46:
        world.take_over(rng.random() < 0.5)
    world.run(rng.choice((0.05, 0.2, 0.6)))


def finish(world: World) -> None:
    """Let the cell come to rest; each job must have ended."""
    world.store.down_until_s = 0.0
    for worker in world.workers.values():
        worker.cut_until_s = 0.0
    world.run(0.1)
    if not world.leaders:
        world.take_over(False)
    world.run(QUIET_S)
    left = world.leaders[-1].cell.jobs
    for job in left.values():
        world.oracle.violate(f"job {job.id} never ended: {job.state.value}")


def run_history(seed: int) -> tuple[World, int]:
    """Run one history; returns the world and the steps made."""
    rng = random.Random(seed)
    world = World(seed)
    for step in range(STEPS_A_HISTORY):
        if not world.leaders:
            world.take_over(False)
            if not world.leaders:
                world.run(0.5)
                continue
        make_step(world, rng)
        if world.oracle.violations:
            return world, step + 1
    finish(world)
    return world, STEPS_A_HISTORY


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
            faults += world.faults
            starts += world.oracle.starts
            if world.oracle.violations:
                found += 1
                sentence = world.oracle.violations[0]
                rows = _relevant(world.trace, sentence)
                trace = "\n    ".join(rows[-TRACE_LINES:])
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
