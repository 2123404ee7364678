"""Keep the orders that may still be carried out, by whichever incarnation is there.

An order without an answer may be carried out seconds later, after newer ones, and an
incarnation that follows under the worker's id carries out what was meant for the former
one. The input is the sending of a start and its answer; the result is the time of the
last copy of it that is open: sent, not answered, and perhaps not carried out yet.

A run whose start has an open copy may be at work in an incarnation that no report has
told of, so its task does not start elsewhere until the copy can't be carried out any
more, or the present incarnation has ended or stopped the run: it refuses the copy.
"""

import dataclasses

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.workers import RunKey, Worker


@dataclasses.dataclass(frozen=True, slots=True)
class SentStart:
    """A copy of a start that was sent, and when the open one before it was."""

    key: RunKey
    sent_s: float
    earlier_s: float | None


def record_sent_start(worker: Worker, run: Run, sent_s: float) -> SentStart:
    """Record that a start is sent; its copy is open until it is answered."""
    sent = SentStart(run.key, sent_s, worker.open_starts.get(run.key))
    worker.open_starts[run.key] = sent_s
    return sent


def record_answered_start(worker: Worker, sent: SentStart) -> None:
    """Record that a copy was answered: only earlier ones may be carried out later."""
    record_answered_lease(worker, sent.sent_s)
    if worker.open_starts.get(sent.key) != sent.sent_s:
        return
    if sent.earlier_s is None:
        del worker.open_starts[sent.key]
    else:
        worker.open_starts[sent.key] = sent.earlier_s


def record_unanswered_start(worker: Worker, sent: SentStart, now_s: float) -> None:
    """Record that a copy has left until ``now_s``, without an answer."""
    record_unanswered_lease(worker, sent.sent_s, now_s)
    if worker.open_starts.get(sent.key) == sent.sent_s:
        worker.open_starts[sent.key] = now_s


def record_answered_lease(worker: Worker, sent_s: float) -> None:
    """Record that an order with a lease that was sent at ``sent_s`` was answered."""
    if sent_s in worker.open_lease_times_s:
        worker.open_lease_times_s.remove(sent_s)


def record_unanswered_lease(worker: Worker, sent_s: float, now_s: float) -> None:
    """Record that an order with a lease has left until ``now_s``, without an answer.

    The process may have been suspended after it reckoned the lease.
    """
    record_answered_lease(worker, sent_s)
    worker.open_lease_times_s.append(now_s)


def list_open_starts(cell: Cell, worker: Worker, now_s: float) -> set[RunKey]:
    """List the runs whose start may be carried out after a point in time."""
    open_from_s = now_s - cell.timing_limits.max_order_delay_s
    return {key for key, sent_s in worker.open_starts.items() if sent_s >= open_from_s}


def close_orders(cell: Cell, worker: Worker, request_sent_s: float) -> None:
    """Forget the orders that were carried out, if ever, when a report was requested.

    That report lists what they started.
    """
    open_from_s = request_sent_s - cell.timing_limits.max_order_delay_s
    still_open = list_open_starts(cell, worker, request_sent_s)
    worker.open_starts = {key: worker.open_starts[key] for key in still_open}
    worker.open_lease_times_s = [
        sent_s for sent_s in worker.open_lease_times_s if sent_s >= open_from_s
    ]
