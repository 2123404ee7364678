"""Report the state of an entry process, and why a job waits.

The process goes in; plain values for the operators' commands come out, which can be
encoded as JSON. Their keys and texts are part of the operators' interface. Jobs and
workers are known only in the process that leads: ``process.term`` is the term that it
runs, and None in all others.
"""

import typing as t

from bulrushspur_daemon.clock import monotonic_s
from bulrushspur_scheduler.evacuation import count_runs
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.waiting import WaitReason, find_wait_reason

WAIT_TEXTS: t.Final = {
    WaitReason.EARLIER_STEPS: "earlier steps",
    WaitReason.UNRECONCILED: "workers that the last leader may have started it on",
    WaitReason.RUNNING: "its tasks, which run",
    WaitReason.ATTEMPTS_UNKNOWN: "a configuration that tells its attempts",
    WaitReason.PLANNING_FAULT: "another try after an error of the scheduler",
    WaitReason.UNOBSERVED_USAGE: "what its client account may run on silent workers",
    WaitReason.ACCOUNT_CAP: "the cap of its client account",
    WaitReason.ACCOUNT_HEADROOM: "room for urgent work of its client account",
    WaitReason.CLAIM: "a gang of its client account that claims the cap",
    WaitReason.ADVICE: "advice on workers",
    WaitReason.ISOLATION: "a worker without other new work: workers crashed under it",
    WaitReason.ROOM: "room on workers that may run it",
    WaitReason.EVACUATION: "room outside the failure domains that are evacuated",
    WaitReason.EXCLUDED_WORKERS: "workers that are silent or quarantined",
    WaitReason.ISOLATED_WORKERS: "workers kept for tasks under which others crashed",
    WaitReason.WORKER_LIST: "the list of workers, whose capacities change",
    WaitReason.TICKETS: "tickets for workers that may run it",
    WaitReason.RESERVATION: "workers that are reserved for others",
    WaitReason.NOT_TRIED: "the planner to try it",
}


def dump_process(process: t.Any) -> dict[str, t.Any]:
    """Return the state of the process, and of its cell if it leads.

    The leader's age is that of its latest heartbeat; the store's age is the time since
    the latest successful store call of the claim log was sent.
    """
    leader_client, watch = process.leader_client, process.config_watch
    state = {
        "name": process.settings.name,
        "domain": process.settings.domain,
        "ready": process.is_ready(),
        "stopping": process.stopping,
        "leads": process.term is not None,
        "leader": leader_client.leader_name,
        "term": leader_client.term,
        "leader_age_s": round(leader_client.heartbeat_age_s(), 3),
        "store_age_s": round(monotonic_s() - process.claim_log.last_store_success_s, 3),
        "config_version": watch.current.version if watch.current else None,
        "evacuated_domains": (
            sorted(watch.current.evacuated_domains) if watch.current else []
        ),
        "metrics": process.metrics.dump(),
    }
    if process.term is not None:
        state["cell"] = _dump_cell(process.term.cell)
    return state


def _dump_cell(cell: t.Any) -> dict[str, t.Any]:
    """Return the jobs and workers of a cell, and the state of its takeover."""
    return {
        "jobs": {job.id: job.state.value for job in cell.jobs.values()},
        "finished": len(cell.finished_jobs),
        "waiting_steps": len(cell.waiting_steps),
        "runs_in_evacuated_domains": count_runs(cell),
        "past_use": _dump_past_use(cell),
        "settled": cell.reconciled,
        "dark_workers": sorted(cell.unobserved_workers),
        "workers": {
            worker.id: {
                "listed": worker.listed,
                "reached": worker.has_reported,
                "draining": worker.draining,
                "runs": len(worker.runs),
                "free_cpu_milli": worker.free.cpu_milli,
                "free_memory_mb": worker.free.memory_mb,
                "speed": round(worker.speed, 2),
            }
            for worker in cell.workers.values()
        },
    }


def _dump_past_use(cell: t.Any) -> list[dict[str, t.Any]]:
    """Return the past use of the accounts, the first to be served first."""
    past_use = cell.past_use
    if past_use is None:
        return []
    rows = [
        {
            "account": account,
            "use_s": round(use_s, 3),
            "level": past_use.level_of(account),
        }
        for account, use_s in past_use.use_s.items()
    ]
    return sorted(rows, key=lambda row: (row["level"], row["use_s"]))


def explain_job(process: t.Any, job_id: str) -> dict[str, t.Any]:
    """Return the state of a job, and what each step that is not done waits for.

    A finished job has only its state, and why it failed. Returns nothing if this
    process does not lead or does not know the job.
    """
    if process.term is None:
        return {}
    cell = process.term.cell
    finished = cell.finished_jobs.get(job_id)
    if finished is not None:
        explanation = {"job": job_id, "state": finished.state.value}
        if finished.reason:
            explanation["reason"] = finished.reason
        return explanation
    job = cell.jobs.get(job_id)
    if job is None:
        return {}
    steps = [_explain_step(cell, step) for step in job.steps() if not step.done]
    return {
        "job": job_id,
        "state": job.state.value,
        "queue": job.queue,
        "account": job.account,
        "past_use_level": cell.past_use.level_of(job.account) if cell.past_use else 0,
        "age_s": round(monotonic_s() - job.accepted_s, 3),
        "objective_s": round(job.objective_s, 3),
        "steps": steps,
    }


def _explain_step(cell: t.Any, step: Step) -> dict[str, t.Any]:
    return {
        "step": step.key.step,
        "tasks": len(step.tasks),
        "done": step.done_count,
        "running": sum(bool(task.runs) for task in step.tasks),
        "most_crashes": max(task.crash_count for task in step.tasks),
        "waits_for": WAIT_TEXTS[find_wait_reason(cell, step, monotonic_s())],
    }
