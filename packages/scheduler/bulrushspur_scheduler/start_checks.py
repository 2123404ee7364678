"""Check a start again just before it is sent.

An order may wait for seconds for its turn at a worker that does not answer. The input
is the run that was decided on; the result is why it must not be started any more, or
not there. Its run is then released, and its task planned again if it is still wanted.
"""

from bulrushspur_scheduler.cell import Cell
from bulrushspur_scheduler.evacuation import MAX_GANG_ORDER_AGE_S, must_drop_start
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run
from bulrushspur_scheduler.limits import is_over_cap
from bulrushspur_scheduler.workers import Worker, is_available


def find_obsolete_reason(cell: Cell, run: Run) -> str:
    """Return why a run must not be started anywhere any more; empty if it may be."""
    task = run.task
    if run not in task.runs:
        return "released"
    if run.state is not RunState.STARTING:
        return run.stop_reason or run.state.value
    if task.done or task.step.job.id not in cell.jobs:
        return "done"
    if task.orphan_count:
        return "another run is at work"
    return ""


def find_misplaced_reason(cell: Cell, worker: Worker, run: Run, now_s: float) -> str:
    """Return why a run must not be started on its worker now; empty if it may be.

    A gang that was partly ordered is completed, if its remaining members leave soon.
    """
    step = run.task.step
    if worker.last_unanswered_order_s > worker.last_report_s:
        return "worker silent"
    if must_drop_start(cell, worker, run, now_s):
        return "domain evacuated"
    if not step.spec.accepts_labels(worker.labels):
        return "worker without the label"
    if step.spec.gang and now_s - run.ordered_s <= MAX_GANG_ORDER_AGE_S:
        return ""
    if not is_available(worker, now_s):
        return "worker not available"
    if worker.entry.service != step.job.service:
        return "worker of another service"
    free = worker.free
    if min(free.cpu_milli, free.memory_mb, free.gpus) < 0:
        return "worker full"
    if is_over_cap(cell, step.job.account):
        return "account over its cap"
    return ""
