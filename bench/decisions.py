"""Measure what the decisions cost on a large fleet, without processes or a network.

``python -m bench.decisions [WORKERS]`` plays a load beyond what the workers can do, on
a clock of its own. It prints how much processor time the planning passes take for each
second of that clock, and which share of the jobs meets its target.
"""

import sys
import time
import typing as t

from tests import load_kinds, load_simulation

LOAD_S: t.Final = 10.0
DRAIN_S: t.Final = 8.0
# The kinds of jobs are sized for this many workers.
BASE_WORKERS: t.Final = 270
LANES: t.Final = 97
# The load is this many times the usual, so that a queue of gangs builds up.
LOAD_FACTOR: t.Final = 1.4


def measure(worker_count: int, load_s: float, drain_s: float) -> dict[str, float]:
    """Play the load scaled to a number of workers; return figures by name."""
    kinds = load_kinds.make_large_deployment_kinds()
    for kind in kinds:
        kind.jobs_per_s *= LOAD_FACTOR * worker_count / BASE_WORKERS
    simulation = load_simulation.LoadSimulation(
        kinds, worker_count, 16_000, seed=4, lanes=LANES
    )
    passes_s: list[float] = []
    plan = load_simulation.plan

    def timed_plan(cell: t.Any, now_s: float) -> None:
        began_s = time.perf_counter()
        plan(cell, now_s)
        passes_s.append(time.perf_counter() - began_s)

    load_simulation.plan = timed_plan
    try:
        shares = simulation.run(load_s, drain_s)
    finally:
        load_simulation.plan = plan
    passes_s.sort()
    return {
        "plan_cores": sum(passes_s) / (load_s + drain_s),
        "plan_p50_ms": passes_s[len(passes_s) // 2] * 1000,
        "plan_p99_ms": passes_s[int(len(passes_s) * 0.99)] * 1000,
        **{f"on_time_{name}": share for name, share in shares.items()},
    }


def main() -> None:
    """Print the figures for the number of workers in the first argument."""
    worker_count = int(sys.argv[1]) if len(sys.argv) > 1 else BASE_WORKERS
    for name, value in measure(worker_count, LOAD_S, DRAIN_S).items():
        print(f"figure {name}_{worker_count}_workers {value:.3f}")


if __name__ == "__main__":
    main()
