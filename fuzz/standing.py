"""Check that no job stands still while the simulated cell is calm.

Takes a simulation at regular intervals; records a violation, with what the newest
leader knows of the job, if one of its jobs had nothing running for MAX_STANDING_S on
end although a task could run: the steps before it are done, there is room for it twice
over on workers that the leader reaches, its account uses under half of its cap, and
under half of all capacity is in use. All of that time, and CALM_S before it, must be
without disturbance. What runs is read from the workers, and not changed.
"""

import dataclasses
import typing as t

from bulrushspur_scheduler.config import Account
from bulrushspur_scheduler.headroom import leaves_account_headroom
from bulrushspur_scheduler.jobs import Job, Step, Task
from bulrushspur_scheduler.placement import free_slots_of_account
from bulrushspur_scheduler.ranking import rank
from bulrushspur_scheduler.workers import is_schedulable
from fuzz.leaders import SimLeader
from fuzz.workers import SimWorker

if t.TYPE_CHECKING:
    from fuzz.simulation import Simulation

CHECK_INTERVAL_S: t.Final = 0.1
MAX_STANDING_S: t.Final = 3.0
CALM_S: t.Final = 4.0


@dataclasses.dataclass
class StandingCheck:
    """Since when each job of the newest leader has stood, and what disturbed last."""

    disturbed_until_s: float = 0.0
    standing_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    held_up_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    reported_jobs: set[str] = dataclasses.field(default_factory=set)
    longest_standing_s: float = 0.0

    def disturb(self, until_s: float) -> None:
        """Record a disturbance that lasts until a time."""
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)

    def disturb_job(self, job_id: str, until_s: float) -> None:
        """Record that a message about a job is held up until a time."""
        self.held_up_until_s[job_id] = max(
            self.held_up_until_s.get(job_id, 0.0), until_s
        )

    def check(self, simulation: "Simulation") -> None:
        """Record a violation for each job that has stood for too long."""
        now_s = simulation.now_s
        standing = _find_standing_steps(simulation)
        self.standing_since_s = {
            job_id: self.standing_since_s.get(job_id, now_s)
            for job_id in standing
            if now_s > self.held_up_until_s.get(job_id, 0.0)
        }
        calm_s = now_s - self.disturbed_until_s - CALM_S
        for job_id, since_s in self.standing_since_s.items():
            stood_s = min(now_s - since_s, calm_s)
            self.longest_standing_s = max(self.longest_standing_s, stood_s)
            if stood_s < MAX_STANDING_S or job_id in self.reported_jobs:
                continue
            self.reported_jobs.add(job_id)
            leader = simulation.leaders[-1]
            reason = _describe(leader, standing[job_id], now_s)
            simulation.oracle.record_violation(
                f"job {job_id} stands still at {now_s:.2f}: {reason}"
            )


def _find_standing_steps(simulation: "Simulation") -> dict[str, Step]:
    """Return a step that could run of each job that has nothing running."""
    if not simulation.leaders or simulation.leaders[-1].loading:
        return {}
    leader, now_s = simulation.leaders[-1], simulation.now_s
    used_by_job: dict[str, int] = {}
    for worker in simulation.workers.values():
        for key, cpu_milli in _list_running(worker, now_s):
            used_by_job[key] = used_by_job.get(key, 0) + cpu_milli
    capacity = sum(w.cpu_milli for w in simulation.workers.values() if w.alive)
    if 2 * sum(used_by_job.values()) >= capacity:
        return {}
    rv = {}
    for job in leader.cell.jobs.values():
        account = simulation.config.account_by_name[job.account]
        if job.id in used_by_job or _uses_half(simulation, account, used_by_job):
            continue
        step = _find_step_with_room(simulation, leader, job, account)
        if step is not None:
            rv[job.id] = step
    return rv


def _uses_half(
    simulation: "Simulation", account: Account, used_by_job: dict[str, int]
) -> bool:
    used_milli = sum(
        cpu_milli
        for job_id, cpu_milli in used_by_job.items()
        if simulation.account_by_job[job_id] == account.name
    )
    return 2 * used_milli >= account.cap.cpu_milli


def _list_running(worker: SimWorker, now_s: float) -> t.Iterator[tuple[str, int]]:
    """Yield job and CPU of each run that goes on; the worker is not advanced."""
    if not worker.alive or worker.clock_ms(now_s) > worker.lease_until_ms:
        return
    for run in worker.runs.values():
        if run.end_s > now_s and run.gang_deadline_s > now_s:
            yield run.key.job, run.cpu_milli


def _find_step_with_room(
    simulation: "Simulation", leader: SimLeader, job: Job, account: Account
) -> Step | None:
    """Return a step whose turn has come and that has room twice over, or None."""
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            if step.done or not all(
                occurrence.steps[i].done for i in step.spec.depends_on
            ):
                continue
            needed = len(step.tasks) if step.spec.gang else 1
            needed_milli = needed * step.spec.resources.cpu_milli
            if 2 * needed_milli > account.cap.cpu_milli:
                # Even an account that uses under half of its cap may have no room.
                continue
            if _count_room(simulation, leader, step) >= 2 * needed:
                return step
    return None


def _count_room(simulation: "Simulation", leader: SimLeader, step: Step) -> int:
    """Count the tasks of a step that the workers that the leader reaches can hold."""
    rv = 0
    for name, worker in simulation.workers.items():
        if not worker.alive or not simulation.takes_work(leader, name):
            continue
        if not simulation.has_label(step, name):
            continue
        used = sum(cpu for _, cpu in _list_running(worker, simulation.now_s))
        slots = (worker.cpu_milli - used) // step.spec.resources.cpu_milli
        rv += min(slots, step.spec.max_per_worker or slots)
    return rv


def _describe(leader: SimLeader, step: Step, now_s: float) -> str:
    """Say what the leader knows of a step, in the order in which it would hold back."""
    cell, job = leader.cell, step.job
    tasks = [task for task in step.tasks if not task.done]
    reasons = []
    if not step.ready:
        reasons.append("not ready")
    if step.key not in cell.waiting_steps:
        reasons.append("not waiting")
    unreconciled = sum(task.unreconciled for task in tasks)
    if unreconciled:
        reasons.append(f"{unreconciled} of {len(tasks)} tasks unreconciled")
    states = sorted({state for task in tasks for state in _list_states(task)})
    if states:
        reasons.append(f"runs {', '.join(states)}")
    each = step.spec.resources
    needed = len(step.tasks) if step.spec.gang else 1
    if free_slots_of_account(cell, job.account, each) < needed:
        unobserved = cell.unobserved_usage.get(job.account)
        used = cell.usage_of(job.account).cpu_milli
        milli = unobserved.cpu_milli if unobserved else 0
        reasons.append(
            f"cap with {used} used, {milli} unobserved, "
            f"{needed * each.cpu_milli} needed"
        )
    elif job.priority and not leaves_account_headroom(
        cell, job.account, each.cpu_milli * needed
    ):
        reasons.append("headroom")
    ranked = sorted(cell.waiting_steps.values(), key=lambda s: rank(cell, s, now_s))
    if step in ranked:
        reasons.append(f"rank {ranked.index(step)} of {len(ranked)}")
    workers = [worker for worker in cell.workers.values() if worker.has_reported]
    unfit = [worker for worker in workers if not is_schedulable(worker, now_s)]
    quarantined = sum(worker.quarantined_until_s > now_s for worker in unfit)
    probation = sum(
        worker.on_probation and worker.quarantined_until_s <= now_s for worker in unfit
    )
    orphans = sum(worker.has_unsized_orphan for worker in unfit)
    other = len(unfit) - quarantined - probation - orphans
    reasons.append(
        f"workers: {len(workers)} reported, {quarantined} in quarantine, "
        f"{probation} on probation, {orphans} with orphans, {other} else unfit, "
        f"{sum(worker.reserved_for is not None for worker in workers)} reserved, "
        f"{sorted(cell.unobserved_workers)} unobserved"
    )
    if not cell.reconciled:
        reasons.append(f"not reconciled before {cell.reconcile_by_s:.1f}")
    kind = "gang" if step.spec.gang else "tasks"
    return f"{kind} of {len(step.tasks)}, " + "; ".join(reasons)


def _list_states(task: Task) -> t.Iterator[str]:
    for run in task.runs:
        yield run.state.value
