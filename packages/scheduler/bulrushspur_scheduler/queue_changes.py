"""Let accepted jobs follow what the configuration says of their queue.

The input is a job and the configuration in force. The result is the job's service,
priority and target time. A job keeps them while the configuration lacks its queue. What
was promised at acceptance, its attempts, stays as it was (``Cell.max_attempts``).
"""

import math

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.config import CellConfig, Queue
from bulrushspur_scheduler.estimates import predict_duration
from bulrushspur_scheduler.job_specs import critical_path_s
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.jobs import Job


def apply_queue(cell: Cell, job: Job) -> None:
    """Set a job's service, its priority and its target time until completion.

    The configuration decides them anew, and a job keeps them while that lacks its
    queue. A job whose record does not tell its queue at acceptance takes that of the
    first configuration that has the queue.
    """
    configured = cell.config.queue_by_name.get(job.queue)
    if job.accepted_queue is None and configured is not None:
        _keep_promise(cell, job, configured)
    if configured is not None and configured.service != job.service:
        _move_job(cell, job, configured.service)
    queue = cell.queue_of(job)
    path_s = critical_path_s(
        job.spec.steps,
        lambda spec: predict_duration(cell, job.queue, spec.estimate_s)[0],
    )
    job.path_s = path_s
    job.objective_s = queue.stretch * path_s + queue.target_latency_s
    job.priority = queue.priority


def _keep_promise(cell: Cell, job: Job, queue: Queue) -> None:
    """Take a queue for what was promised to a job whose record does not tell it.

    That is stored: the next leader's configuration may tell something else, or nothing.
    """
    job.accepted_queue = queue
    if job.is_recovered:
        job.has_late_promise = True
        cell.dirty_jobs.add(job.id)


def _move_job(cell: Cell, job: Job, service: str) -> None:
    """Let the other tasks of a job start at another service; its runs go on.

    That is stored: a leader whose configuration lacks the queue must know it, too.
    """
    job.service, job.has_moved = service, True
    for step in job.steps():
        # Of the workers of the former service.
        step.approved_workers.clear()
        step.evaluated_workers.clear()
        step.tickets.clear()
        step.in_flight_advice_calls.clear()
        step.unplaced_since_s = step.held_since_s = math.inf
    cell.dirty_jobs.add(job.id)
    cell.counters["jobs_moved"] += 1


def log_moved_queues(cell: Cell, before: CellConfig) -> None:
    """Log which queues the configuration in force sends to another service."""
    for queue in cell.config.queues:
        former = before.queue_by_name.get(queue.name)
        if former is None or former.service == queue.service:
            continue
        jobs = [job for job in cell.jobs.values() if job.queue == queue.name]
        cell.log(
            "queue_moved",
            queue=queue.name,
            service=queue.service,
            former_service=former.service,
            config=cell.config.version,
            jobs=len(jobs),
            running=sum(job.state is JobState.RUNNING for job in jobs),
        )
