"""Check that a leader waits for each run as long as its worker may keep it.

The input is the cell of the newest leader, the runs that the present incarnation of a
worker really has, and when its lease really ends. The result is a sentence for each run
whose task the leader would start elsewhere before that if it heard nothing more. Runs
of tasks that the leader does not start again are left out.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.leases import is_run_waited_for
from bulrushspur_scheduler.workers import RunKey, Worker


def find_short_waits(
    cell: Cell,
    worker_id: str,
    running: t.Iterable[RunKey],
    lease_end_s: float,
    now_s: float,
) -> list[str]:
    """Find the runs of a worker whose lease the leader would not outwait.

    Sound only for a leader that has loaded and is not superseded. A lease that ends at
    ``now_s`` or before holds nothing any more.
    """
    if lease_end_s <= now_s:
        return []
    worker = cell.workers.get(worker_id)
    return [
        _describe(cell, worker_id, key, lease_end_s, now_s)
        for key in running
        if _may_start_again(cell, key)
        and not _is_waited_for(cell, worker, key, lease_end_s)
    ]


def _may_start_again(cell: Cell, key: RunKey) -> bool:
    task = cell.find_task(key[0])
    return task is not None and not task.done


def _is_waited_for(
    cell: Cell, worker: Worker | None, key: RunKey, until_s: float
) -> bool:
    if worker is not None and (key in worker.runs or key in worker.orphan_runs):
        return is_run_waited_for(cell, worker, key, until_s)
    if worker is not None and (worker.has_reported or worker.last_report_s):
        # It has told what it runs, and that was not there, or was given up.
        return False
    task = cell.find_task(key[0])
    is_recovered = task is not None and task.unreconciled
    return is_recovered and until_s <= cell.reconcile_by_s


def _describe(
    cell: Cell, worker_id: str, key: RunKey, lease_end_s: float, now_s: float
) -> str:
    name = ".".join(map(str, key[0]))
    sentence = f"run {key[1]} of {name} has a lease on {worker_id} from {now_s:.2f}"
    return f"{sentence} until {lease_end_s:.2f}; term {cell.fencing_token} waits less"
