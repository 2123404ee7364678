"""Count what client accounts may have running that this term has not observed.

Tasks of earlier terms may run on workers that have not reported yet, and orphan runs go
on until their worker reports that they have stopped. Both count towards the cap of
their account. The input is the cell; the result is an upper bound of the usage of each
account.

An earlier leader kept each account within its cap, with all its runs counted. Where it
cannot hear from a worker that reports to this term, it counts the runs there as running
still. So what it runs on the workers that have not reported is at most the cap less the
runs that this term has adopted, also after these have ended.
"""

import dataclasses

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.resources import Resources, Usage
from bulrushspur_scheduler.workers import Worker


def count_unobserved_usage(cell: Cell) -> dict[str, Usage]:
    """Return an upper bound of the unobserved usage, by account name."""
    rv: dict[str, Usage] = {}
    if not cell.reconciled:
        _count_unreconciled_tasks(cell, rv)
    for worker in cell.workers.values():
        if worker.orphan_runs:
            _count_orphan_runs(cell, worker, rv)
    return rv


def keep_usage_of_finished_job(cell: Cell, job: Job) -> None:
    """Go on to count the runs of a job that workers may have, until they report."""
    if not cell.reconciled:
        _add_unreconciled_tasks(job, cell.finished_unobserved_usage)


def _add_unreconciled_tasks(job: Job, usage_by_account: dict[str, Usage]) -> None:
    for step in job.steps():
        for task in step.tasks:
            if task.unreconciled:
                usage = usage_by_account.setdefault(job.account, Usage())
                usage.add(step.spec.resources)


def _count_unreconciled_tasks(cell: Cell, usage_by_account: dict[str, Usage]) -> None:
    """Count unreconciled tasks, up to the capacity of the unobserved workers."""
    for account, kept in cell.finished_unobserved_usage.items():
        usage_by_account[account] = dataclasses.replace(kept)
    for job in cell.jobs.values():
        _add_unreconciled_tasks(job, usage_by_account)
    for account, usage in usage_by_account.items():
        _limit_to_cap(cell, account, usage)
    unobserved = [
        cell.workers[worker_id]
        for worker_id in cell.unobserved_workers
        if worker_id in cell.workers
    ]
    if any(worker.max_capacity == Resources() for worker in unobserved):
        # A worker that is known only from the store has no known capacity.
        return
    for usage in usage_by_account.values():
        usage.cpu_milli = _limit_to_capacity(usage.cpu_milli, unobserved, "cpu_milli")
        usage.memory_mb = _limit_to_capacity(usage.memory_mb, unobserved, "memory_mb")
        usage.gpus = _limit_to_capacity(usage.gpus, unobserved, "gpus")


def _limit_to_cap(cell: Cell, account: str, usage: Usage) -> None:
    """Limit the usage to what the cap allows beside the adopted runs."""
    adopted = cell.adopted_usage.get(account, Usage())
    caps = [
        config.account_by_name[account]
        for config in (cell.config, cell.first_config)
        if account in config.account_by_name
    ]
    if not caps:
        return
    for name in ("cpu_milli", "memory_mb", "gpus"):
        limits = [getattr(row.cap, name) for row in caps]
        # An amount of 0 means no limit.
        if all(limits):
            left = max(max(limits) - getattr(adopted, name), 0)
            setattr(usage, name, min(getattr(usage, name), left))


def _limit_to_capacity(amount: int, workers: list[Worker], name: str) -> int:
    return min(amount, sum(getattr(worker.max_capacity, name) for worker in workers))


def _count_orphan_runs(
    cell: Cell, worker: Worker, usage_by_account: dict[str, Usage]
) -> None:
    for key, task in worker.orphan_runs.items():
        account = _find_account(cell, key[0].job)
        if account:
            # A run of unknown size is at most as large as its worker.
            amount = worker.max_capacity if task is None else task.step.spec.resources
            usage_by_account.setdefault(account, Usage()).add(amount)


def _find_account(cell: Cell, job_id: str) -> str:
    """Return the account of an unfinished or finished job, empty if it is unknown."""
    job = cell.jobs.get(job_id)
    if job is not None:
        return job.account
    finished = cell.finished_jobs.get(job_id)
    return finished.account if finished is not None else ""
