"""Keep new work away from the workers of evacuated failure domains.

The input is the operators' requests in the configuration and the workers of a cell; the
result is which workers get no new work. What runs there goes on. A gang that was partly
ordered when the request came is completed, if its remaining members leave soon.
"""

import typing as t

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.config import CellConfig
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.workers import Worker

# The other members of a gang wait about so long for one that was ordered.
MAX_GANG_ORDER_AGE_S: t.Final = 1.0
# The operators alone know when a domain returns.
EVACUATED_RETRY_AFTER_S: t.Final = 5.0


def is_evacuated(cell: Cell, worker: Worker) -> bool:
    """Return whether the failure domain of a worker is evacuated."""
    return worker.entry.zone in cell.config.evacuated_domains


def must_drop_start(cell: Cell, worker: Worker, run: Run, now_s: float) -> bool:
    """Return whether a start that was decided earlier must not be sent any more."""
    if not is_evacuated(cell, worker):
        return False
    is_gang = run.task.step.spec.gang
    return not is_gang or now_s - run.ordered_s > MAX_GANG_ORDER_AGE_S


def may_wait_for_domain(spec: JobSpec) -> bool:
    """Return whether a job is of use whenever its evacuated domain returns."""
    return spec.repeat_count > 0 or any(step.long_running for step in spec.steps)


def is_confined(cell: Cell, workers: list[Worker], step: StepSpec) -> bool:
    """Return whether only workers of evacuated domains, of those given, fit a step."""
    return not any(
        worker.max_capacity.can_fit(step.resources)
        and step.accepts_labels(worker.entry.labels)
        for worker in workers
        if not is_evacuated(cell, worker)
    )


def count_runs(cell: Cell) -> dict[str, int]:
    """Count the runs that are left in each evacuated domain."""
    rv = dict.fromkeys(sorted(cell.config.evacuated_domains), 0)
    for worker in cell.workers.values():
        if worker.entry.zone in rv:
            rv[worker.entry.zone] += len(worker.runs) + len(worker.orphan_runs)
    return rv


def log_changes(cell: Cell, before: CellConfig) -> None:
    """Log which domains the configuration in force evacuates or gives back."""
    old, new = before.evacuated_domains, cell.config.evacuated_domains
    known = {worker.entry.zone for worker in cell.workers.values() if worker.listed}
    run_counts = count_runs(cell)
    for domain in sorted(new - old):
        cell.log("domain_evacuated", domain=domain, runs=run_counts[domain])
        if known and domain not in known:
            cell.log("domain_unknown", domain=domain, known=sorted(known))
    for domain in sorted(old - new):
        cell.log("domain_restored", domain=domain)
