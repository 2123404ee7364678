"""Tell by its clock which incarnation of a worker has answered an order.

A worker that restarts under its id counts its clock anew. It carries out orders that
were meant for its former incarnation, and answers them. The input is such an answer's
reading of the clock; the result is a newer reading of the same clock, or a worker that
gets no orders until it reports.
"""

import dataclasses

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import mark_restarted
from bulrushspur_scheduler.workers import Worker


@dataclasses.dataclass(frozen=True, slots=True)
class SentOrder:
    """The incarnation that an order was meant for, and the least that its clock shows.

    Both are as known when the order was sent, at ``sent_s``.
    """

    incarnation_start_ms: int
    min_clock_ms: int
    sent_s: float


def describe_order(worker: Worker, sent_s: float) -> SentOrder:
    """Describe an order that is sent to a worker now."""
    min_clock_ms = worker.clock.min_ms(sent_s)
    return SentOrder(worker.incarnation_start_ms, min_clock_ms, sent_s)


def is_still_present(worker: Worker, incarnation_start_ms: int) -> bool:
    """Return whether no restart was reported since an order was sent.

    Otherwise the former incarnation may have answered it.
    """
    return worker.incarnation_start_ms == incarnation_start_ms


def record_answer_clock(
    cell: Cell, worker: Worker, sent: SentOrder, clock_ms: int, now_s: float
) -> None:
    """Record the clock that the answer to an order tells.

    An answer that comes after a restart was reported may be that of the former
    incarnation: it tells nothing of the present clock.
    """
    if not is_still_present(worker, sent.incarnation_start_ms):
        _log_difference(cell, worker, sent, clock_ms)
    elif clock_ms < sent.min_clock_ms:
        _log_difference(cell, worker, sent, clock_ms)
        _expect_restart_report(cell, worker, clock_ms, sent.sent_s, now_s)
    else:
        # A lower one may be of the next incarnation, and is the safe one for its lease.
        worker.clock.is_known &= clock_ms >= worker.clock.min_ms(now_s)
        worker.clock.record_reading(clock_ms, now_s)


def _expect_restart_report(
    cell: Cell, worker: Worker, clock_ms: int, read_s: float, now_s: float
) -> None:
    """Start nothing on a restarted worker until its report shows what it runs."""
    mark_restarted(cell, worker, clock_ms, read_s, now_s)
    worker.clock.record_reading(clock_ms, now_s)


def _log_difference(cell: Cell, worker: Worker, sent: SentOrder, clock_ms: int) -> None:
    cell.log(
        "order_clock_differs",
        worker=worker.id,
        clock_ms=clock_ms,
        expected_ms=sent.min_clock_ms,
    )
