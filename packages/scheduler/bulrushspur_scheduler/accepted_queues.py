"""Convert what a queue promised when it accepted a job to a record, and back.

The record is a part of the job record, so it outlasts the queue's configuration and the
leader. It has no host, path or timeout: they matter to callers of the queue alone.
"""

import msgspec

from bulrushspur_scheduler.config import AdvicePolicy, Queue


class AcceptedQueueRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """The stored form of a queue as it was when it accepted a job.

    ``advice`` has the fields of ``AdvicePolicy``, in seconds.
    """

    max_attempts: int
    priority: int
    stretch: float
    target_latency_s: float
    advice: tuple[float, float, float] | None = None


def make_accepted_queue_record(queue: Queue | None) -> AcceptedQueueRecord | None:
    """Make the record of a queue; None of None."""
    if queue is None:
        return None
    advice = queue.advice
    return AcceptedQueueRecord(
        queue.max_attempts,
        queue.priority,
        queue.stretch,
        queue.target_latency_s,
        advice and (advice.base_call_s, advice.per_worker_s, advice.ticket_valid_s),
    )


def make_accepted_queue(
    record: AcceptedQueueRecord | None, name: str, service: str
) -> Queue | None:
    """Make the queue of a record, without host and path; None of None."""
    if record is None:
        return None
    return Queue(
        name,
        "",
        "",
        service,
        record.priority,
        record.max_attempts,
        record.stretch,
        record.target_latency_s,
        advice=record.advice and AdvicePolicy(*record.advice),
    )
