"""Choose the failure domain that a step should run in.

Takes a step and the workers that may run it; returns one domain or none, and changes
nothing. A step ends when its last task has ended. While a failure domain is cut off the
ends of its tasks are unknown, so a step spread over all domains waits for each domain
that is lost. The load that this answers is steps of a few tasks while a domain is cut
off: in one domain, only the steps of that domain wait.
"""

import typing as t

from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.placement import free_slots_on
from bulrushspur_scheduler.workers import Worker

# Slower workers, or those that fail, do not count for the choice of a domain.
MIN_USUAL_SPEED: t.Final = 0.5
MAX_USUAL_FAILURE_SCORE: t.Final = 1.0


def choose_domain(step: Step, count: int, workers: t.Iterable[Worker]) -> str | None:
    """Return the domain in which ``count`` tasks of a step should start, or None.

    Tasks that are at work decide, then the rack of the data. Otherwise it is the domain
    with the most free CPU of those with room for all tasks. Tasks that run until they
    are cancelled have no end to wait for, and are not kept together.
    """
    if step.spec.long_running:
        return None
    workers = [worker for worker in workers if _is_usual(worker)]
    rack = step.spec.preferred_rack
    if rack:
        domains = {w.entry.zone for w in workers if rack in w.entry.labels}
        if domains:
            return min(domains)
    slots: dict[str, int] = {}
    free_cpu_milli: dict[str, int] = {}
    for worker in workers:
        domain = worker.entry.zone
        slots[domain] = slots.get(domain, 0) + free_slots_on(step, worker)
        free_cpu_milli[domain] = free_cpu_milli.get(domain, 0) + worker.free.cpu_milli
    if not slots:
        return None
    return max(
        slots,
        key=lambda domain: (
            _has_runs_in(step, domain, workers),
            min(slots[domain], count),
            free_cpu_milli[domain],
            domain,
        ),
    )


def _is_usual(worker: Worker) -> bool:
    return (
        worker.speed >= MIN_USUAL_SPEED
        and worker.failure_score < MAX_USUAL_FAILURE_SCORE
    )


def _has_runs_in(step: Step, domain: str, workers: list[Worker]) -> bool:
    worker_ids = {run.worker_id for task in step.tasks for run in task.runs}
    return any(
        worker.entry.zone == domain and worker.id in worker_ids for worker in workers
    )
