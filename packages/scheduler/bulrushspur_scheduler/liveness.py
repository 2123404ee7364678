"""Give up lives of workers that the platform does not list any more.

A silent worker is held to run what it ran until its lease is over. The platform's list
of lives tells sooner that it is gone; only absence from the list is taken as evidence.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import mark_worker_lost
from bulrushspur_scheduler.workers import Worker

SUSPECT_TIMEOUT_S: t.Final = 0.9
# The list may lag behind the start of a life.
MIN_INCARNATION_AGE_S: t.Final = 10.0
# A list that misses more of the workers that answer than this is not whole.
MIN_LISTED_SHARE: t.Final = 0.9


def suspected_workers(cell: Cell, now_s: float) -> list[Worker]:
    """List the silent workers on which something may run."""
    return [
        one
        for one in cell.workers.values()
        if now_s - one.last_report_s > SUSPECT_TIMEOUT_S
        and (one.runs or one.orphan_runs or one.id in cell.unobserved_workers)
    ]


def expire_unlisted_workers(
    cell: Cell, lives: t.Container[str], asked_s: float, unix_s: float
) -> list[str]:
    """Give up doubtful workers that are not listed; return their ids.

    ``asked_s`` is when the list was asked for, on the steady clock.
    """
    doubtful = suspected_workers(cell, asked_s)
    silent = {one.id for one in doubtful}
    answering = [
        one.id
        for one in cell.workers.values()
        if one.has_reported and one.id not in silent
    ]
    listed = sum(one in lives for one in answering)
    if not listed or listed < MIN_LISTED_SHARE * len(answering):
        return []
    gone = [
        one
        for one in doubtful
        if one.id not in lives
        and 0 < one.incarnation_start_ms < (unix_s - MIN_INCARNATION_AGE_S) * 1000
    ]
    for worker in gone:
        cell.log(
            "worker_life_over",
            worker=worker.id,
            silent_ms=round(min(asked_s - worker.last_report_s, 1e6) * 1000),
            runs=len(worker.runs),
        )
        mark_worker_lost(cell, worker, "its life is over")
        worker.lease_until_ms = 0
        worker.has_reported = False
        worker.listed = False
        worker.unlisted_s = asked_s
    return [one.id for one in gone]
