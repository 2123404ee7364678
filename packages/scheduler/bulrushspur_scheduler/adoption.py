"""Adopt the runs of earlier terms that workers list, or stop them as orphans.

The input is a run that no task of this term has. It becomes a run of its task if the
task may be at work elsewhere and has no run; otherwise it is ordered to stop.
"""

from bulrushspur_scheduler.cell import Cell, StopOrder
from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.job_states import RunState
from bulrushspur_scheduler.jobs import Run, Task
from bulrushspur_scheduler.orphans import add_orphan
from bulrushspur_scheduler.progress import mark_job_running
from bulrushspur_scheduler.resources import Usage
from bulrushspur_scheduler.runs import allocate_run
from bulrushspur_scheduler.takeover import find_reported_task, reconcile_dependents
from bulrushspur_scheduler.workers import Worker


def adopt_or_stop_run(
    cell: Cell,
    worker: Worker,
    key: TaskKey,
    number: int,
    checkpoint: str,
    now_s: float,
) -> None:
    """Adopt a run of an earlier term, or stop it as an orphan if it is not needed."""
    task = find_reported_task(cell, key)
    is_orphan = (key, number) in worker.orphan_runs
    if task is not None and not is_orphan and _is_adoptable(task, worker.id, number):
        run = Run(task, number, worker.id, RunState.RUNNING, now_s, now_s)
        run.last_progress_s = now_s
        if task.step.spec.checkpointing:
            run.checkpoint = checkpoint
        run.resumed_from = run.checkpoint or "adopted"
        _adopt(cell, worker, run)
        return
    if not is_orphan:
        add_orphan(worker, (key, number), task)
        _log_orphan(cell, worker, key, number, now_s)
    cell.stop_orders.append(StopOrder(worker.id, key, number, None))


def _log_orphan(
    cell: Cell, worker: Worker, key: TaskKey, number: int, now_s: float
) -> None:
    """Log an orphan run, and since when its job has its final state, if it has one."""
    finished = cell.finished_jobs.get(key.job)
    cell.log(
        "stray",
        key.job,
        task=key.path,
        worker=worker.id,
        run=number,
        fence=cell.fencing_token,
        state=finished.state.value if finished else None,
        final_age_ms=round((now_s - finished.finished_s) * 1000) if finished else None,
    )


def _is_adoptable(task: Task, worker_id: str, number: int) -> bool:
    return (
        not task.done
        and task.unreconciled
        and not task.runs
        and number not in task.failed_runs
        and task.may_be_own_run(worker_id, number)
    )


def _adopt(cell: Cell, worker: Worker, run: Run) -> None:
    """Give a run to its task."""
    task, step = run.task, run.task.step
    run.adopted = True
    task.unreconciled = False
    allocate_run(cell, run, worker)
    adopted = cell.adopted_usage.setdefault(step.job.account, Usage())
    adopted.add(step.spec.resources)
    if not step.spec.gang:
        reconcile_dependents(step)
    step.gang_run_number = max(step.gang_run_number, run.number)
    mark_job_running(cell, step.job)
    cell.log(
        "adopt",
        task.key.job,
        worker=worker.id,
        run=run.number,
        fence=cell.fencing_token,
    )
