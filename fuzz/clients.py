"""Record what the simulated clients send and get."""

from bulrushspur_scheduler.job_specs import JobSpec
from oracle.observations import Observations
from oracle.requests import DeclaredStep, Submission


def observe_submission(
    observations: Observations,
    spec: JobSpec,
    queue: str,
    account: str,
    now_s: float,
) -> Submission:
    """Record a submission that is sent now."""
    steps = [
        DeclaredStep(
            step.count,
            step.resources.cpu_milli,
            step.gang,
            step.checkpointing,
            step.speculative,
            step.long_running,
            step.depends_on,
        )
        for step in spec.steps
    ]
    return observations.record_submission(
        spec.id,
        now_s,
        payload=spec.payload,
        steps=tuple(steps),
        account=account,
        queue=queue,
        occurrence_count=max(spec.repeat_count, 1),
    )
