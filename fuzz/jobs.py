"""Make random jobs for the fuzzer."""

import random

from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.resources import Resources


def make_random_spec(rng: random.Random, job_id: str) -> JobSpec:
    """Make a random job of one or two steps; the second depends on the first."""
    steps = []
    for index in range(rng.choice((1, 1, 2))):
        steps.append(
            StepSpec(
                rng.choice((1, 2, 3, 6)),
                Resources(rng.choice((500, 1000, 2500, 4000)), 10),
                rng.choice((0.3, 0.8, 2.0)),
                (0,) if index else (),
                gang=rng.random() < 0.3,
                max_per_worker=rng.choice((0, 0, 2)),
            )
        )
    return JobSpec(job_id, "p", tuple(steps))
