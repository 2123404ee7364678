"""Make cells with workers and jobs, to test the decisions without processes."""

from bulrushspur_scheduler.advice import apply_advice
from bulrushspur_scheduler.attempts import record_failed_run
from bulrushspur_scheduler.cell import make_cell
from bulrushspur_scheduler.config import Account, AdvicePolicy, Queue, make_config
from bulrushspur_scheduler.failed_runs import FailedRun
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec, TaskKey
from bulrushspur_scheduler.job_states import RunOutcome
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.order_results import StartResult, handle_start_result
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.reports import RunEnd, RunStatus, WorkerReport, apply_report
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import WorkerEntry, make_worker

ADVICE = AdvicePolicy(0.4, 0.005, 2.5)
QUEUES = (
    Queue("small", "h", "/s/", "svc", 0, 2, 1.5, 0.25),
    Queue("heavy", "h", "/h/", "svc", 1, 3, 2.0, 1.0),
    Queue("bulk", "h", "/b/", "svc", 2, 3, 4.0, 3.0),
    Queue("advised", "h", "/a/", "svc", 1, 3, 2.0, 1.0, advice=ADVICE),
)


def make_test_cell(workers=2, cpu_milli=16_000, accounts=None, **fields):
    accounts = accounts or (Account("team", ("k",), 20.0),)
    cell = make_cell(
        make_config(1, QUEUES, accounts=accounts), fencing_token=5, **fields
    )
    for index in range(workers):
        add_worker(cell, f"w{index}", cpu_milli)
    return cell


def add_worker(cell, name, cpu_milli=16_000, now_s=0.0, has_reported=True, **fields):
    labels = fields.pop("labels", ("a", "r1"))
    service = fields.pop("service", "svc")
    zone = fields.pop("zone", "z")
    entry = WorkerEntry(
        name, service, "1.1.1.1:1", zone, Resources(cpu_milli, 32_768), labels, **fields
    )
    worker = cell.workers[name] = make_worker(entry, now_s)
    if has_reported:
        apply_worker_report(cell, name, now_s)
    return worker


def apply_worker_report(
    cell,
    name,
    now_s,
    running=(),
    ended=(),
    request_sent_s=None,
    incarnation_start_ms=1,
    checkpoint="",
):
    """Apply a report with the running and the ended runs of a worker.

    ``running`` has pairs of task key and run number; ``ended`` has rows of sequence
    number, task key, run number and outcome.
    """
    apply_report(
        cell,
        cell.workers[name],
        WorkerReport(
            now_s if request_sent_s is None else request_sent_s,
            int(now_s * 1000) + 1,
            incarnation_start_ms,
            [RunStatus(key, number, checkpoint, 100) for key, number in running],
            [
                RunEnd(sequence, key, number, RunOutcome(outcome), "")
                for sequence, key, number, outcome in ended
            ],
        ),
        now_s,
    )


def make_test_job(job_id="j1", queue="heavy", now_s=0.0, steps=None, **fields):
    spec = {"count": 1, "resources": Resources(1000, 100), "estimate_s": 1.0}
    spec.update(fields)
    steps = steps or (StepSpec(**spec),)
    return Job(JobSpec(job_id, "p", steps), queue, "svc", "team", now_s, now_s)


def add_test_job(
    cell,
    job_id="j1",
    queue="heavy",
    now_s=0.0,
    account="team",
    **fields,
):
    job = make_test_job(job_id, queue, now_s, **fields)
    job.account = account
    add_job(cell, job, now_s, now_s)
    return job


def acknowledge_starts(cell, now_s):
    """Remove the start orders from the cell, answer each as started; return them."""
    orders, cell.start_orders = cell.start_orders, []
    for order in orders:
        handle_start_result(cell, order.run, StartResult.STARTED, now_s)
    return orders


def plan_and_store(cell, now_s):
    """Plan twice, with all changes of jobs stored before each pass.

    Tasks under which workers crashed start only once that is stored, and then where.
    """
    for _ in range(2):
        cell.dirty_jobs.clear()
        for job in cell.jobs.values():
            job.stored_crash_version = job.crash_version
        plan(cell, now_s)


def task_key(job="j1", index=0, step=0):
    return TaskKey(job, 0, step, index)


def report_all_workers(cell, now_s):
    """Apply a report of every worker; runs that are still starting are not listed."""
    for name, worker in cell.workers.items():
        running = [
            run.key for run in worker.runs.values() if run.state.value != "starting"
        ]
        apply_worker_report(cell, name, now_s, running)


def play(cell, from_s, to_s, run_time_s, submit=None, approved_ids=()):
    """Plan each 50 ms and let runs end; return when each job started its first run.

    ``run_time_s`` and ``submit`` are functions: the run time of a job by its id, and
    submissions at a point in time. The advice service approves ``approved_ids``.
    """
    started_s = {}
    for tick in range(round((to_s - from_s) * 20)):
        now_s = from_s + tick * 0.05
        if submit is not None:
            submit(now_s)
        for name, worker in cell.workers.items():
            report_due_ends(cell, name, worker, now_s, run_time_s)
        for call in cell.advice_calls:
            approved = [(id_, "t") for id_ in call.worker_ids if id_ in approved_ids]
            apply_advice(cell, call, approved, 2.0, now_s)
        cell.advice_calls.clear()
        plan(cell, now_s)
        for order in acknowledge_starts(cell, now_s):
            started_s.setdefault(order.run.task.key.job, now_s)
    return started_s


def report_due_ends(cell, name, worker, now_s, run_time_s):
    """Apply a report of a worker in which the runs that are due have ended as done."""
    runs = list(worker.runs.values())
    due = [
        run for run in runs if now_s >= run.confirmed_s + run_time_s(run.task.key.job)
    ]
    running = [run.key for run in runs if run not in due]
    first = worker.applied_end_sequence + 1
    ends = [(first + index, *run.key, "done") for index, run in enumerate(due)]
    apply_worker_report(cell, name, now_s, running, ends)


def fail_run(cell, task, number, now_s, worker_id="w0"):
    """Record that a run of a task has failed on a worker."""
    run = FailedRun(number, worker_id, 1, cell.fencing_token)
    record_failed_run(cell, task, run, now_s)
