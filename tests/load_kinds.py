"""Define the kinds of jobs that the load simulation submits, by deployment."""

import dataclasses

from bulrushspur_scheduler.config import AdvicePolicy, Queue


@dataclasses.dataclass
class JobKind:
    """A kind of job; errors and spreads are standard deviations of logarithms."""

    queue: Queue
    jobs_per_s: float
    task_count: int
    cpu_milli: int
    run_time_s: float
    gang: bool = False
    approved_share: float = 1.0
    estimate_error: float = 0.2
    run_time_spread: float = 0.4
    task_count_spread: float = 0.5
    task_time_spread: float = 0.09
    checkpointing_share: float = 0.0
    failure_share: float = 0.0
    second_step_share: float = 0.0


def make_heavy_day_kinds():
    """Return job kinds modelled on a heavy day: wide gangs, wide steps, small jobs."""
    advised = AdvicePolicy(0.41, 0.006, 2.0)
    quick = AdvicePolicy(0.012, 0.0002, 2.0)
    middling = AdvicePolicy(0.05, 0.001, 2.0)
    return [
        JobKind(
            Queue("heavy", "", "/h/", "svc", 1, 3, 2.2, 1.0, advice=advised),
            0.8,
            8,
            9000,
            4.0,
            gang=True,
            approved_share=0.35,
            estimate_error=0.9,
            checkpointing_share=0.5,
        ),
        JobKind(
            Queue("middling", "", "/m/", "svc", 2, 3, 4.0, 3.0, advice=middling),
            3.0,
            12,
            2000,
            3.4,
            approved_share=0.45,
            estimate_error=0.9,
            checkpointing_share=0.8,
        ),
        JobKind(
            Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.25, advice=quick),
            15.0,
            2,
            2800,
            1.0,
            approved_share=0.7,
            estimate_error=0.9,
        ),
    ]


def make_grown_deployment_kinds():
    """Return job kinds modelled on a grown deployment: wider, and of all sizes."""
    heavy = AdvicePolicy(0.34, 0.0049, 2.0)
    middling = AdvicePolicy(0.12, 0.0018, 2.0)
    quick = AdvicePolicy(0.011, 0.00016, 2.0)
    return [
        JobKind(
            Queue("heavy", "", "/h/", "svc", 1, 3, 2.2, 1.0, advice=heavy),
            2.7,
            14,
            9000,
            3.5,
            gang=True,
            approved_share=0.35,
            estimate_error=0.9,
            task_count_spread=0.8,
            checkpointing_share=0.5,
            second_step_share=0.2,
        ),
        JobKind(
            Queue("middling", "", "/m/", "svc", 2, 3, 4.0, 3.0, advice=middling),
            3.6,
            18,
            3500,
            3.0,
            approved_share=0.45,
            estimate_error=0.5,
            task_count_spread=0.8,
            task_time_spread=0.3,
            checkpointing_share=0.8,
            second_step_share=0.5,
        ),
        JobKind(
            Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.25, advice=quick),
            40.0,
            2.4,
            5000,
            0.9,
            approved_share=0.7,
            estimate_error=0.9,
            task_count_spread=0.8,
            task_time_spread=0.15,
        ),
    ]


def make_large_deployment_kinds():
    """Return job kinds modelled on a fleet of some hundred workers, nearly full."""
    heavy = AdvicePolicy(0.39, 0.0056, 2.5)
    middling = AdvicePolicy(0.14, 0.002, 2.5)
    quick = AdvicePolicy(0.013, 0.00018, 2.5)
    return [
        JobKind(
            Queue("heavy", "", "/h/", "svc", 1, 3, 2.2, 1.0, advice=heavy),
            4.2,
            13,
            4500,
            4.4,
            gang=True,
            approved_share=0.35,
            estimate_error=0.9,
            task_count_spread=0.6,
            checkpointing_share=0.5,
            second_step_share=0.2,
        ),
        JobKind(
            Queue("middling", "", "/m/", "svc", 2, 3, 4.0, 3.0, advice=middling),
            5.5,
            17,
            2800,
            2.0,
            approved_share=0.45,
            task_count_spread=0.8,
            task_time_spread=0.15,
            checkpointing_share=0.8,
            second_step_share=0.5,
        ),
        JobKind(
            Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.3, advice=quick),
            45.0,
            2.4,
            3900,
            0.58,
            approved_share=0.7,
            task_count_spread=0.8,
            task_time_spread=0.15,
        ),
    ]


def make_capped_account_kinds():
    """Return job kinds of one account whose long jobs alone can fill its cap."""
    return [
        JobKind(
            Queue("bulk", "", "/b/", "svc", 2, 3, 2.2, 1.2),
            0.12,
            13,
            11_000,
            4.8,
            task_count_spread=0.4,
            second_step_share=1.0,
        ),
        JobKind(
            Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.25),
            1.2,
            6,
            5000,
            0.8,
            second_step_share=0.6,
        ),
    ]
