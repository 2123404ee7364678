"""Check what became of the jobs of a soak, once all faults have ended.

What workers were told to start and what they ran is for the oracle.
"""

import asyncio
import time
import typing as t

import msgspec

from oracle.observations import Bounds
from soak.calls import cancel
from soak.clients import list_accepted_jobs
from soak.jobs import SoakJob
from soak.recording import complete_observations
from soak.residuals import judge
from tests.cluster import API_KEY, CONFIG, HOST

if t.TYPE_CHECKING:
    from soak.run import Soak

MAX_ATTEMPTS: t.Final = {row["name"]: row["max_attempts"] for row in CONFIG["routes"]}
POLL_INTERVAL_S: t.Final = 0.1
# A job may be given up from so many crashes under one of its tasks on.
MIN_CRASHES: t.Final = 2
# Runs of cancelled jobs have to be gone after a steady stretch of this length.
STEADY_S: t.Final = Bounds().contact_s + Bounds().cancel_s + Bounds().stop_s + 0.5


def check_evacuations(soak: "Soak") -> None:
    """Check that nothing was started in a domain that had long been evacuated."""
    domain_by_machine = {row.machine: row.zone for row in soak.cluster.workers}
    for started_s, task, _, worker_id in soak.cluster.oracle.starts:
        machine = worker_id.partition("-")[0]
        for domain, from_s, until_s in soak.evacuations:
            is_there = domain_by_machine.get(machine) == domain
            if is_there and from_s < started_s < until_s:
                soak.violations.append(f"{task} started in {domain}, evacuated")


async def cancel_long_running_jobs(soak: "Soak") -> None:
    """Cancel the jobs that last until the cancel of each is acknowledged."""
    until_s = time.monotonic() + soak.profile.completion_s
    jobs = [job for job in soak.jobs.values() if job.is_long_running]
    await asyncio.gather(*(_cancel_until(soak, job, until_s) for job in jobs))


async def _cancel_until(soak: "Soak", job: SoakJob, until_s: float) -> None:
    client = soak.clients[0]
    while time.monotonic() < until_s:
        entry = soak.rng.choice(soak.cluster.entries)
        if await cancel(soak, client, job, entry):
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    soak.violations.append(f"cancel of {job.id} was not acknowledged")


async def check_runs(soak: "Soak") -> None:
    """Wait for a steady stretch, and let the oracle judge all that was observed."""
    ends_s = [row.until_s for row in soak.observations.disruptions]
    wait_s = max(ends_s, default=0.0) + STEADY_S - time.monotonic()
    await asyncio.sleep(max(wait_s, 0.0))
    complete_observations(soak)
    violations, soak.known_violations = judge(soak)
    soak.violations += violations


async def check_jobs(soak: "Soak") -> None:
    """Check that accepted jobs complete, fail with cause or are cancelled.

    Call it after all faults have ended; they have ``completion_s`` of the profile.
    """
    unfinished_jobs = set(list_accepted_jobs(soak))
    until_s = time.monotonic() + soak.profile.completion_s
    while unfinished_jobs and time.monotonic() < until_s:
        for job in sorted(unfinished_jobs):
            if await _check_job(soak, soak.jobs[job]):
                unfinished_jobs.discard(job)
        await asyncio.sleep(POLL_INTERVAL_S)
    soak.violations += [
        f"accepted job {job} did not complete" for job in sorted(unfinished_jobs)
    ]


async def _check_job(soak: "Soak", job: SoakJob) -> bool:
    """Request the state of a job; return whether it is final or wrong."""
    headers = [("bulrushspur-credential", API_KEY)]
    entry = soak.rng.choice(soak.cluster.entries)
    # A job that is shown as completed is recorded by that.
    answer = await soak.cluster.call(entry, "GET", job.path, headers, host=HOST)
    if answer is None or answer.status == 503:
        return False
    if answer.status != 200:
        soak.violations.append(
            f"state request for accepted job {job.id} returned {answer.status}"
        )
        return True
    return _has_ended(soak, job, msgspec.json.decode(answer.body))


def _has_ended(soak: "Soak", job: SoakJob, answer: dict[str, t.Any]) -> bool:
    """Return whether a final state is reported of a job, and check it."""
    state, reason = answer["state"], answer.get("reason")
    if state == "failed" and _may_fail(soak, job):
        soak.failed_jobs.add(job.id)
    elif state == "cancelled" and soak.observations.cancels.get(job.id):
        return True
    elif state in ("failed", "cancelled"):
        soak.violations.append(f"accepted job {job.id} is shown as {state}: {reason}")
    return state in ("completed", "failed", "cancelled")


def _may_fail(soak: "Soak", job: SoakJob) -> bool:
    """Return whether runs or workers failed often enough for a job to fail."""
    oracle = soak.cluster.oracle
    failed_runs = [
        numbers
        for task, numbers in oracle.failed_runs.items()
        if task.startswith(f"{job.id}.")
    ]
    if job.steps[0].gang:
        failed_runs = [set().union(*failed_runs)]
    crash_counts = [
        count
        for task, count in oracle.lost_counts.items()
        if task.startswith(f"{job.id}.")
    ]
    most_failed = max(map(len, failed_runs), default=0)
    has_used_attempts = most_failed >= MAX_ATTEMPTS[job.queue]
    return has_used_attempts or max(crash_counts, default=0) >= MIN_CRASHES
