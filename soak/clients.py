"""Submit jobs as clients do, repeat submissions, and cancel jobs, also on their way.

Each client keeps its connections open. A plan, drawn for each job, says what is sent
when; plans of one client overlap.
"""

import asyncio
import dataclasses
import enum
import random
import signal
import time
import typing as t

from bench.processes import EntryProcess
from oracle.requests import Submission
from soak.calls import CALL_TIMEOUT_S, Client, cancel, make_client, query, submit
from soak.jobs import SoakJob, draw_job
from soak.profile import Profile
from tests.cluster import job_id

if t.TYPE_CHECKING:
    from soak.run import Soak

MAX_ATTEMPTS: t.Final = 3
RETRY_INTERVAL_S: t.Final = 0.2
# A submission waits for a suspended entry process longer than one may be suspended.
SUSPENDED_TIMEOUT_S: t.Final = 7.0
MIN_SUSPENSION_S: t.Final = 1.0
MAX_SUSPENSION_S: t.Final = 4.6
# A client sends wide jobs at this rate at most, to leave the workers room for them.
MAX_TASKS_PER_S: t.Final = 90.0


class Repeat(enum.Enum):
    """When a submission is sent once more, with the same body."""

    NEVER = "never"
    BEFORE_ANSWER = "before the answer"
    AFTER_ANSWER = "after the answer"
    WITH_CANCEL = "with the cancel"
    AFTER_CANCEL = "after the cancel"


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a client does with a job; delays count from the event before, in seconds."""

    is_cancelled: bool
    # The cancel is sent before the submission is answered.
    is_cancel_early: bool
    cancel_delay_s: float
    cancel_count: int
    # The first cancel may be given up before its answer.
    cancel_timeout_s: float
    repeat: Repeat
    repeat_delay_s: float
    # How long the entry process is suspended that gets the submission; 0: it is not.
    suspension_s: float
    query_delay_s: float


def draw_plan(rng: random.Random, profile: Profile) -> Plan:
    """Draw a plan."""
    is_cancelled = rng.random() < profile.cancel_share
    is_cancel_early = rng.random() < profile.early_cancel_share
    repeat = Repeat.NEVER
    if rng.random() < profile.repeat_share:
        repeat = rng.choice(list(Repeat)[1:])
    is_suspended = rng.random() < profile.suspended_share
    suspension_s = rng.uniform(MIN_SUSPENSION_S, MAX_SUSPENSION_S)
    return Plan(
        is_cancelled=is_cancelled or is_suspended,
        is_cancel_early=is_cancel_early or is_suspended,
        cancel_delay_s=rng.uniform(0.0, 0.6),
        cancel_count=rng.choice((1, 1, 2, 3)),
        cancel_timeout_s=rng.choice((0.02, 0.2, CALL_TIMEOUT_S, CALL_TIMEOUT_S)),
        repeat=repeat,
        repeat_delay_s=rng.choice((0.0, rng.uniform(0.0, 0.5), rng.uniform(0.5, 4.0))),
        suspension_s=suspension_s if is_suspended else 0.0,
        query_delay_s=rng.uniform(0.0, 2.0),
    )


async def run_client(soak: "Soak", number: int) -> None:
    """Start the plans of one client until the traffic ends, and finish them."""
    client = make_client(soak)
    soak.clients.append(client)
    until_s = time.monotonic() + soak.duration_s
    plans = []
    count = 0
    while time.monotonic() < until_s:
        count += 1
        is_wide = soak.rng.random() < soak.profile.wide_share
        id_ = job_id(number * 100_000 + count)
        profile = soak.profile
        job = draw_job(
            soak.rng, id_, is_wide, profile.long_share, profile.long_cpus_milli
        )
        soak.jobs[job.id] = job
        plan = draw_plan(soak.rng, soak.profile)
        plans.append(asyncio.create_task(_play(soak, client, job, plan)))
        pause_s = soak.rng.uniform(0.0, soak.profile.max_pause_s)
        await asyncio.sleep(max(pause_s, job.task_count / MAX_TASKS_PER_S))
    await asyncio.gather(*plans)


async def _play(soak: "Soak", client: Client, job: SoakJob, plan: Plan) -> None:
    if plan.suspension_s:
        submission = asyncio.create_task(
            _submit_to_suspended(soak, client, job, plan.suspension_s)
        )
    else:
        submission = asyncio.create_task(_submit_until_answered(soak, client, job))
    repeats = []
    if plan.repeat is Repeat.BEFORE_ANSWER:
        repeats.append(_repeat(soak, client, job, plan.repeat_delay_s))
    tasks = [asyncio.create_task(repeat) for repeat in repeats]
    if plan.is_cancelled and plan.is_cancel_early:
        await _cancel(soak, client, job, plan)
    await submission
    if plan.repeat is Repeat.AFTER_ANSWER:
        await _repeat(soak, client, job, plan.repeat_delay_s)
    if plan.is_cancelled and not plan.is_cancel_early:
        await _cancel(soak, client, job, plan)
    await asyncio.gather(*tasks)
    await asyncio.sleep(plan.query_delay_s)
    await query(soak, client, job, _draw_entry(soak))


async def _submit_until_answered(soak: "Soak", client: Client, job: SoakJob) -> None:
    """Submit a job, and again at any entry process until it is accepted."""
    for _ in range(MAX_ATTEMPTS):
        if await submit(soak, client, job, _draw_entry(soak)) == 200:
            return
        await asyncio.sleep(RETRY_INTERVAL_S)


async def _submit_to_suspended(
    soak: "Soak", client: Client, job: SoakJob, suspension_s: float
) -> None:
    """Submit a job to an entry process that is suspended until after its cancel.

    It does not lead, if that is known, so that the cancel finds a leader.
    """
    leader = await soak.cluster.find_leader()
    entries = [
        entry
        for entry in soak.cluster.entries
        if entry.name not in soak.faulted_entries
        and entry is not leader
        and entry.process is not None
    ]
    if not entries:
        await _submit_until_answered(soak, client, job)
        return
    entry = soak.rng.choice(entries)
    resume = asyncio.create_task(_suspend(soak, entry, suspension_s))
    await asyncio.sleep(0.0)
    await submit(soak, client, job, entry, SUSPENDED_TIMEOUT_S)
    await resume


async def _suspend(soak: "Soak", entry: EntryProcess, suspension_s: float) -> None:
    soak.faulted_entries.add(entry.name)
    soak.log_fault(f"suspend {entry.name} with a submission")
    with soak.disruptions.record("suspended", entry.name):
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(suspension_s)
        entry.send_signal(signal.SIGCONT)
    soak.faulted_entries.discard(entry.name)


async def _repeat(soak: "Soak", client: Client, job: SoakJob, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await submit(soak, client, job, _draw_entry(soak))


async def _cancel(soak: "Soak", client: Client, job: SoakJob, plan: Plan) -> None:
    """Cancel a job as often as planned; repeat its submission beside or after it."""
    await asyncio.sleep(plan.cancel_delay_s)
    repeat = None
    if plan.repeat is Repeat.WITH_CANCEL:
        repeat = asyncio.create_task(_repeat(soak, client, job, 0.0))
    timeout_s = plan.cancel_timeout_s
    for _ in range(plan.cancel_count):
        await cancel(soak, client, job, _draw_entry(soak), timeout_s)
        timeout_s = CALL_TIMEOUT_S
    if plan.repeat is Repeat.AFTER_CANCEL:
        repeat = asyncio.create_task(_repeat(soak, client, job, plan.repeat_delay_s))
    if repeat is not None:
        await repeat


def _draw_entry(soak: "Soak") -> EntryProcess:
    return soak.rng.choice(soak.cluster.entries)


def list_accepted_jobs(soak: "Soak") -> list[str]:
    """List the jobs of which an attempt to submit was answered with success."""
    return [
        job
        for job, submissions in soak.observations.submissions.items()
        if any(_is_accepted(submission) for submission in submissions)
    ]


def _is_accepted(submission: Submission) -> bool:
    return submission.outcome == "accepted"
