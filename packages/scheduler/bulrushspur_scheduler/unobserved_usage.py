"""What accounts may have running where this term has not seen it.

Tasks of earlier terms may run on workers that were not heard yet, and runs that are not
ours go on until their stop is listed. Both count towards the cap of their account.
"""

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.resources import Resources, Usage
from bulrushspur_scheduler.workers import Worker


def count_unobserved_usage(cell: Cell) -> dict[str, Usage]:
    """Return the most that each account may have running unseen."""
    rv: dict[str, Usage] = {}
    if not cell.reconciled:
        _count_unaccounted(cell, rv)
    for worker in cell.workers.values():
        if worker.orphan_runs:
            _count_strays(cell, worker, rv)
    return rv


def _count_unaccounted(cell: Cell, used: dict[str, Usage]) -> None:
    """Count the tasks whose whereabouts are not known, up to the silent room."""
    for job in cell.jobs.values():
        for step in job.steps():
            for task in step.tasks:
                if task.unreconciled:
                    usage = used.setdefault(job.account, Usage())
                    usage.add(step.spec.resources)
    silent = [
        cell.workers[one] for one in cell.unobserved_workers if one in cell.workers
    ]
    if any(one.entry.capacity == Resources() for one in silent):
        # The size of a worker that is only recorded is not known.
        return
    for usage in used.values():
        usage.cpu_milli = _at_most(usage.cpu_milli, silent, "cpu_milli")
        usage.memory_mb = _at_most(usage.memory_mb, silent, "memory_mb")
        usage.gpus = _at_most(usage.gpus, silent, "gpus")


def _at_most(amount: int, workers: list[Worker], name: str) -> int:
    return min(amount, sum(getattr(one.entry.capacity, name) for one in workers))


def _count_strays(cell: Cell, worker: Worker, used: dict[str, Usage]) -> None:
    for key, amount in worker.orphan_runs.items():
        account = _account_of(cell, key[0].job)
        if account:
            # A run of unknown size is at most as large as its worker.
            used.setdefault(account, Usage()).add(amount or worker.entry.capacity)


def _account_of(cell: Cell, job_id: str) -> str:
    job = cell.jobs.get(job_id)
    if job is not None:
        return job.account
    finished = cell.finished_jobs.get(job_id)
    return finished.account if finished is not None else ""
