"""Declare workers lost that do not answer and that the platform no longer lists.

An unresponsive worker is assumed to run its tasks until its lease expires. The
platform's list of worker incarnations can show earlier that its incarnation has ended.
The input is that list; the result is lost workers, whose runs can be restarted at once.
Only absence from the list counts as evidence; a listed worker keeps its runs until its
lease expires. A worker may come back under its id, and carry open starts out.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import mark_incarnation_ended
from bulrushspur_scheduler.open_starts import list_open_starts
from bulrushspur_scheduler.workers import Worker

SUSPECT_TIMEOUT_S: t.Final = 0.9
# The list may lag behind the start of an incarnation.
MIN_INCARNATION_AGE_S: t.Final = 10.0
# A list that has less than this share of the responding workers is incomplete.
MIN_LISTED_SHARE: t.Final = 0.9


def find_suspected_workers(cell: Cell, now_s: float) -> list[Worker]:
    """Return the unresponsive workers on which something may still run."""
    return [
        worker
        for worker in cell.workers.values()
        if now_s - worker.last_report_s > SUSPECT_TIMEOUT_S
        and (worker.runs or worker.orphan_runs or worker.id in cell.unobserved_workers)
    ]


def expire_unlisted_workers(
    cell: Cell,
    listed_ids: t.Container[str],
    requested_s: float,
    unix_s: float,
    received_s: float = 0.0,
    listed_machines: t.Container[str] | None = None,
) -> list[str]:
    """Declare suspected workers lost that are not listed; return their ids.

    ``listed_ids`` are the incarnations that the platform lists, and ``requested_s`` is
    when the list was requested, on the monotonic clock; ``received_s`` is when it was
    received, if that is later. ``listed_machines`` has also those without a worker: one
    on such a machine may come back under its id. A list that lacks too many of the
    responding workers is ignored, and so is the absence of an incarnation whose start
    is unknown or too recent.
    """
    suspected = find_suspected_workers(cell, requested_s)
    # Later incarnations may not be listed yet.
    max_start_ms = (unix_s - MIN_INCARNATION_AGE_S) * 1000
    responding_ids = [
        worker.id
        for worker in cell.workers.values()
        if worker.has_reported
        and requested_s - worker.last_report_s <= SUSPECT_TIMEOUT_S
        and worker.incarnation_start_ms < max_start_ms
    ]
    listed_count = sum(worker_id in listed_ids for worker_id in responding_ids)
    if not listed_count or listed_count < MIN_LISTED_SHARE * len(responding_ids):
        return []
    lost = [
        worker
        for worker in suspected
        if worker.id not in listed_ids
        and 0 < worker.incarnation_start_ms < max_start_ms
        and not _is_known_to_have_ended(cell, worker, requested_s, listed_machines)
    ]
    for worker in lost:
        cell.log(
            "worker_life_over",
            worker=worker.id,
            silent_ms=round(min(requested_s - worker.last_report_s, 1e6) * 1000),
            runs=len(worker.runs),
        )
        mark_incarnation_ended(
            cell,
            worker,
            "incarnation not listed by the platform",
            max(requested_s, received_s),
            is_final=_is_machine_gone(worker, listed_machines),
        )
        worker.has_reported = False
        worker.listed = False
        worker.unlisted_s = requested_s
    return [worker.id for worker in lost]


def _is_machine_gone(worker: Worker, listed_machines: t.Container[str] | None) -> bool:
    """Return whether a worker can't come back, as its machine is not listed either."""
    if listed_machines is None or not worker.entry.machine:
        return False
    return worker.entry.machine not in listed_machines


def _is_known_to_have_ended(
    cell: Cell,
    worker: Worker,
    requested_s: float,
    listed_machines: t.Container[str] | None,
) -> bool:
    """Return whether all that a worker still has is waited for, as it may come back."""
    if _is_machine_gone(worker, listed_machines):
        return False
    kept = list_open_starts(cell, worker, requested_s)
    return worker.ended and all(
        key in kept for key in (*worker.runs, *worker.orphan_runs)
    )
