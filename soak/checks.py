"""Check what became of the jobs of a soak, once all faults have ended."""

import asyncio
import time
import typing as t

import msgspec

from tests.cluster import API_KEY, CONFIG, HOST

if t.TYPE_CHECKING:
    from soak.run import Soak

MAX_ATTEMPTS: t.Final = {row["name"]: row["max_attempts"] for row in CONFIG["routes"]}
COMPLETION_TIMEOUT_S: t.Final = 40.0
# A task of a cancelled job may start for so long after the acknowledgement.
MAX_CANCEL_S: t.Final = 3.0
# A job may be given up from so many crashes under one of its tasks on.
MIN_CRASHES: t.Final = 2


def check_evacuations(soak: "Soak") -> None:
    """Check that nothing was started in a domain that had long been evacuated."""
    domain_by_machine = {row.machine: row.zone for row in soak.cluster.workers}
    for started_s, task, _, worker_id in soak.cluster.oracle.starts:
        machine = worker_id.partition("-")[0]
        for domain, from_s, until_s in soak.evacuations:
            is_there = domain_by_machine.get(machine) == domain
            if is_there and from_s < started_s < until_s:
                soak.violations.append(f"{task} started in {domain}, evacuated")


async def check_jobs(soak: "Soak") -> None:
    """Check that accepted jobs complete and that no refused job was started.

    Call it after all faults have ended. Accepted jobs have to complete within
    ``COMPLETION_TIMEOUT_S``, or to fail with cause.
    """
    headers = [("bulrushspur-credential", API_KEY)]
    unfinished_jobs = {
        job for job, submission in soak.submissions.items() if submission.accepted
    }
    until_s = time.monotonic() + COMPLETION_TIMEOUT_S
    while unfinished_jobs and time.monotonic() < until_s:
        for job in sorted(unfinished_jobs):
            entry = soak.rng.choice(soak.cluster.entries)
            path = f"/assess/{job}"
            answer = await soak.cluster.call(entry, "GET", path, headers, host=HOST)
            if answer is None or answer.status == 503:
                continue
            if answer.status != 200:
                soak.violations.append(
                    f"state request for accepted job {job} returned {answer.status}"
                )
                unfinished_jobs.discard(job)
            elif _has_ended(soak, job, msgspec.json.decode(answer.body)):
                unfinished_jobs.discard(job)
        await asyncio.sleep(0.1)
    soak.violations += [
        f"accepted job {job} did not complete" for job in sorted(unfinished_jobs)
    ]
    _check_refused_jobs(soak)
    _check_cancelled_jobs(soak)


def _has_ended(soak: "Soak", job: str, told: dict[str, t.Any]) -> bool:
    """Return whether a final state is told of a job, and check it."""
    state, reason = told["state"], told.get("reason")
    if state == "failed" and _may_fail(soak, job):
        soak.failed_jobs.add(job)
    elif state == "cancelled" and soak.submissions[job].cancel_sent:
        return True
    elif state in ("failed", "cancelled"):
        soak.violations.append(f"accepted job {job} is shown as {state}: {reason}")
    return state in ("completed", "failed", "cancelled")


def _may_fail(soak: "Soak", job: str) -> bool:
    """Return whether runs or workers failed often enough for a job to fail."""
    oracle, submission = soak.cluster.oracle, soak.submissions[job]
    failed_runs = [
        numbers
        for task, numbers in oracle.failed_runs.items()
        if task.startswith(f"{job}.")
    ]
    if submission.gang:
        failed_runs = [set().union(*failed_runs)]
    crash_counts = [
        count
        for task, count in oracle.lost_counts.items()
        if task.startswith(f"{job}.")
    ]
    most_failed = max(map(len, failed_runs), default=0)
    has_used_attempts = most_failed >= MAX_ATTEMPTS[submission.queue]
    return has_used_attempts or max(crash_counts, default=0) >= MIN_CRASHES


def _check_cancelled_jobs(soak: "Soak") -> None:
    for started_s, task, _, worker_id in soak.cluster.oracle.starts:
        submission = soak.submissions[task.split(".")[0]]
        if started_s - submission.cancelled_s > MAX_CANCEL_S:
            soak.violations.append(f"{task} started on {worker_id} though cancelled")


def _check_refused_jobs(soak: "Soak") -> None:
    started_jobs = {row[1].split(".")[0] for row in soak.cluster.oracle.starts}
    for job, submission in soak.submissions.items():
        refused = not submission.accepted and not submission.outcome_unknown
        if refused and job in started_jobs:
            soak.violations.append(f"job {job} ran although it was refused")
