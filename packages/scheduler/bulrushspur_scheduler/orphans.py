"""Keep runs that a worker lists and that no task of this term owns, until they end.

The input is such a run, and later that it has ended or is gone. It uses resources of
its worker, and its task is not started beside it.
"""

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Task
from bulrushspur_scheduler.progress import requeue_step
from bulrushspur_scheduler.workers import RunKey, Worker


def add_orphan(worker: Worker, key: RunKey, task: Task | None) -> None:
    """Add an orphan run; ``task`` is None if this term does not know its task."""
    worker.orphan_runs[key] = task
    if task is not None:
        task.orphan_count += 1
        # A worker starts no run that is not higher.
        task.last_run_number = max(task.last_run_number, key[1])
        worker.free.subtract(task.step.spec.resources)


def remove_orphan(cell: Cell, worker: Worker, key: RunKey) -> Task | None:
    """Remove an orphan run that is not at work any more, and requeue its task's step.

    Returns the task, or None if it is not known. Does nothing for an unknown key.
    """
    task = worker.orphan_runs.pop(key, None)
    if task is not None:
        task.orphan_count -= 1
        worker.free.add(task.step.spec.resources)
        requeue_step(cell, task.step)
    return task


def remove_lost_orphan(
    cell: Cell, worker: Worker, key: RunKey, seen_s: float | None
) -> None:
    """Remove an orphan run that is gone without an end.

    ``seen_s`` is when that was seen. The worker may have reported its end to a later
    term, so the task waits until the store confirms that there was none; with None the
    store has confirmed it already.
    """
    task = remove_orphan(cell, worker, key)
    if task is not None and not task.done and seen_s is not None:
        await_confirmation(cell, task, seen_s)


def await_confirmation(cell: Cell, task: Task, seen_s: float) -> None:
    """Let a task whose run was lost at ``seen_s`` wait until the term is confirmed.

    One that waits for the reports of other workers goes on to wait for them, too.
    """
    is_lost = any(other is task for _, other in cell.unconfirmed_losses)
    if task.unreconciled and not is_lost and not cell.reconciled:
        cell.worker_end_seen_s = max(cell.worker_end_seen_s, seen_s)
        return
    task.unreconciled = True
    cell.unconfirmed_losses.append((seen_s, task))
