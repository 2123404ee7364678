"""Simulate a cell on a simulated clock: leaders, workers, a store, a faulty network.

Takes jobs, cancellations and faults, and records violations and a trace. A leader runs
the real scheduler: it renews leases, plans, sends orders, stores progress, and then
acknowledges ends. Messages are delayed and lost at random. Events run in the order of
their times and draw from one generator, so a seed always gives the same history.
"""

import dataclasses
import heapq
import itertools
import random
import typing as t

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.cell import make_cell
from bulrushspur_scheduler.config import Account, CellConfig, Queue, make_config
from bulrushspur_scheduler.early_cancels import (
    is_cancelled_early,
    record_late_submission,
)
from bulrushspur_scheduler.eviction import evict_runs
from bulrushspur_scheduler.failed_runs import mark_stored, take_unstored
from bulrushspur_scheduler.job_specs import JobSpec
from bulrushspur_scheduler.job_states import JobState
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.leases import expire_leases, max_hold_s
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job, finish_job
from bulrushspur_scheduler.progress_records import PROGRESS_KEY_PREFIX, encode_progress
from bulrushspur_scheduler.records import JOB_KEY_PREFIX, encode_job
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.suspects import judge_suspects
from bulrushspur_scheduler.workers import Worker, WorkerEntry, make_worker
from fuzz.clients import observe_submission
from fuzz.leaders import SimLeader, SimStore
from fuzz.links import WorkerLinks
from fuzz.recorder import Oracle
from fuzz.standing import CHECK_INTERVAL_S, StandingCheck
from fuzz.workers import SimWorker

AUTHORITY_TIMEOUT_S: t.Final = 6.0
TICK_INTERVAL_S: t.Final = 0.1
RESTART_DOWNTIME_S: t.Final = 1.0
ACCOUNT_CAP_CPU_MILLI: t.Final = 24_000
WORKER_CPU_MILLI: t.Final = 8_000

CONFIG: t.Final[CellConfig] = make_config(
    1,
    (
        Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.5),
        Queue("large", "", "/l/", "svc", 1, 3, 3.0, 2.0),
    ),
    accounts=(Account("team", ("k",), 20.0, Resources(ACCOUNT_CAP_CPU_MILLI)),),
)


class Simulation(WorkerLinks):
    """The simulated cell; it starts with four workers and a leader of term 1."""

    config = CONFIG

    def __init__(self, seed: int, slow_loading: bool = False) -> None:
        self.rng = random.Random(seed)
        # Apart from the other draws, so that they are the same with and without.
        self.load_rng = random.Random(seed) if slow_loading else None
        self.now_s = 100.0
        self.oracle = Oracle()
        self.standing_check = StandingCheck()
        self.account_by_job: dict[str, str] = {}
        self.workers: dict[str, SimWorker] = {}
        self.store = SimStore()
        self.leaders: list[SimLeader] = []
        self.event_queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.newest_term = 0
        self.job_count = 0
        self.fault_count = 0
        self.trace = self.oracle.trace
        for index in range(4):
            self.add_worker(f"w{index}")
        self.take_over(False)
        self._check_standing()

    def add_trace(self, event: str) -> None:
        """Append a line with the simulated time to the trace."""
        self.trace.append(f"{self.now_s:.2f} {event}")

    def schedule(self, delay_s: float, action: t.Callable[[], None]) -> None:
        """Schedule an action in simulated time."""
        heapq.heappush(
            self.event_queue, (self.now_s + delay_s, next(self.event_numbers), action)
        )

    def advance(self, duration_s: float) -> None:
        """Let simulated time pass and run the actions that are due."""
        until_s = self.now_s + duration_s
        while self.event_queue and self.event_queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self.event_queue)
            action()
        self.now_s = until_s

    def _check_standing(self) -> None:
        self.standing_check.check(self)
        self.schedule(CHECK_INTERVAL_S, self._check_standing)

    def _record_fault(self, event: str, duration_s: float) -> None:
        """Count a fault that starts now, and add it to the trace."""
        self.add_trace(f"fault: {event}")
        self.fault_count += 1
        self.disturb(duration_s, event)

    def disturb(self, duration_s: float, name: str) -> None:
        """Record a disturbance that begins now and lasts for a time."""
        until_s = self.now_s + duration_s
        self.standing_check.disturb(until_s)
        self.oracle.observations.record_disruption(self.now_s, until_s, name)

    def judge(self) -> t.Self:
        """End the observation, and record what broke a rule."""
        for worker in self.workers.values():
            worker.advance(self.now_s)
        self.oracle.judge(self.now_s)
        return self

    # Faults and callers' requests.

    def add_worker(self, name: str) -> None:
        """Start an incarnation of a worker."""
        self.workers[name] = SimWorker(
            name, WORKER_CPU_MILLI, self.oracle, self.workers, self.rng, self.now_s
        )
        self.record_capacity(name)

    def record_capacity(self, name: str) -> None:
        """Record the capacity that a worker has from now on."""
        worker = self.workers[name]
        self.oracle.observations.record_capacity(
            name, worker.incarnation, self.now_s, worker.cpu_milli
        )

    def restart_worker(self, name: str) -> None:
        """Crash a worker and start its next incarnation under the same id."""
        self._record_fault(f"{name} restarts", RESTART_DOWNTIME_S)
        self.workers[name].advance(self.now_s)
        self.workers[name].crash()
        self.add_worker(name)
        self.workers[name].unreachable_until_s = self.now_s + RESTART_DOWNTIME_S

    def isolate_worker(self, name: str, duration_s: float) -> None:
        """Make a worker unreachable for all leaders."""
        self._record_fault(f"{name} is unreachable for {duration_s:.1f} s", duration_s)
        self.workers[name].unreachable_until_s = self.now_s + duration_s

    def make_store_unavailable(self, duration_s: float) -> None:
        """Make the store unavailable for all leaders."""
        self._record_fault(
            f"the store is unavailable for {duration_s:.1f} s", duration_s
        )
        self.store.unavailable_until_s = self.now_s + duration_s

    def draw_load_s(self) -> float:
        """Return how long the next leader loads before it serves."""
        if self.load_rng is None:
            return 0.0
        return self.load_rng.choice((0.0, 0.3, 2.0, 9.0))

    def take_over(self, old_leader_survives: bool, load_s: float = 0.0) -> None:
        """Start a term, unless the store is unavailable; it serves after ``load_s``.

        A surviving old leader loses the store and half of the workers; the new leader
        reaches the other half only after 5 s.
        """
        if self.now_s < self.store.unavailable_until_s:
            return
        self.newest_term += 1
        self.fault_count += 1
        self.disturb(load_s, "takeover")
        names = sorted(self.workers)
        for old in self.leaders:
            if not old_leader_survives:
                old.ended = True
            else:
                old.store_unreachable = True
                half = self.rng.sample(names, len(names) // 2)
                old.unreachable_workers = set(half)
                self.schedule(8.0, lambda old=old: self._end_term(old))
                self.oracle.observations.record_contact_loss(old.term, self.now_s)
                self.disturb(8.0, f"term {old.term} is cut off")
        self.leaders = [leader for leader in self.leaders if not leader.ended][-1:]
        reached_by_old_leader = set(names) - set().union(
            *(leader.unreachable_workers for leader in self.leaders)
        )
        leader = SimLeader(
            self.newest_term,
            make_cell(self.config, fencing_token=self.newest_term),
            self.now_s,
        )
        if self.leaders:
            leader.unreachable_workers = reached_by_old_leader
            self.schedule(5.0, leader.unreachable_workers.clear)
        self.add_trace(
            f"term {self.newest_term} starts, old one survives: {old_leader_survives}"
        )
        self.store.epoch = self.newest_term
        self.leaders.append(leader)
        stored = dict(self.store.records)
        leader.recorded_worker_ids = set(self.store.worker_ids)
        leader.answered_ids = set(self.store.answered_ids)
        if load_s:
            leader.loading = True
            self.schedule(load_s, lambda: self._begin_to_serve(leader, stored))
        else:
            self._begin_to_serve(leader, stored)

    def _begin_to_serve(self, leader: SimLeader, stored: dict[str, bytes]) -> None:
        """Rebuild the cell from the records that were read, then plan and poll."""
        leader.loading = False
        if leader.ended:
            return
        cell = leader.cell
        takeover.recover_jobs(cell, stored, self.now_s, self.now_s)
        names = self._load_workers(leader)
        cell.reconciled = not cell.jobs
        hold_s = max_hold_s(cell.timing_limits)
        cell.reconcile_by_s = self.now_s + AUTHORITY_TIMEOUT_S + hold_s
        for name in names:
            self._connect(leader, name)
        self._tick(leader)

    def _connect(self, leader: SimLeader, name: str) -> None:
        """Poll a worker once it is in the stored list: so later terms know it.

        A leader that cannot write to the store connects only to those on the list that
        it has read. A worker takes work once it is stored that it has answered.
        """
        worker = leader.cell.workers.get(name)
        if worker is not None and name not in leader.answered_ids:
            worker.is_recorded = False
        if name not in leader.recorded_worker_ids:
            if leader.ended or leader.cell.superseded:
                return
            if not self._can_write(leader):
                self.schedule(TICK_INTERVAL_S, lambda: self._connect(leader, name))
                return
            self.store.worker_ids.add(name)
            leader.recorded_worker_ids.add(name)
        self.renew_lease(leader, name)

    def _can_write(self, leader: SimLeader) -> bool:
        return (
            not leader.store_unreachable
            and self.now_s >= self.store.unavailable_until_s
            and self.store.epoch == leader.term
        )

    def _load_workers(self, leader: SimLeader) -> list[str]:
        """Add the workers to the cell of a new leader; return their ids."""
        cell = leader.cell
        names = sorted(self.workers)
        for name in names:
            entry = WorkerEntry(
                name, "svc", "", "z", Resources(WORKER_CPU_MILLI, 99_999)
            )
            cell.workers[name] = make_worker(entry, self.now_s)
            cell.workers[name].is_recovered = name in leader.recorded_worker_ids
            cell.workers[name].is_recorded = name in leader.answered_ids
            if name in leader.answered_ids:
                cell.unobserved_workers.add(name)
        return names

    def record_answer(self, leader: SimLeader, worker: Worker) -> None:
        """Store that a worker has answered; from then on it may get runs."""
        if worker.is_recorded or not self._can_write(leader):
            return
        self.store.answered_ids.add(worker.id)
        leader.answered_ids.add(worker.id)
        worker.is_recorded = True

    def _end_term(self, leader: SimLeader) -> None:
        leader.ended = True
        self.disturb(0.0, f"term {leader.term} ends")
        if leader in self.leaders:
            self.leaders.remove(leader)

    def submit(
        self, spec: JobSpec, queue: str, account: str = "team", held_s: float = 0.0
    ) -> None:
        """Send a job to the newest leader; a gateway holds it for ``held_s``.

        Each job gets a payload of its own.
        """
        spec = dataclasses.replace(spec, payload=f"payload of {spec.id}")
        self.oracle.jobs[spec.id] = spec
        self.account_by_job[spec.id] = account
        submission = observe_submission(
            self.oracle.observations, spec, queue, account, self.now_s
        )

        def arrive() -> None:
            status = self._receive_submission(spec, queue, account)
            if status == 503:
                self.oracle.refused_jobs.add(spec.id)
            self.oracle.observations.record_answer(submission, status, self.now_s)

        if held_s:
            self.schedule(held_s, arrive)
        else:
            arrive()

    def _receive_submission(self, spec: JobSpec, queue: str, account: str) -> int:
        """Answer a submission; it is refused if no leader can store and serve it."""
        is_unavailable = self.now_s < self.store.unavailable_until_s
        if is_unavailable or not self.leaders or self.leaders[-1].loading:
            return 503
        leader = self.leaders[-1]
        accepted_queue = self.config.queue_by_name[queue]
        service = accepted_queue.service
        job = Job(spec, queue, service, account, self.now_s, self.now_s)
        job.accepted_queue = accepted_queue
        record = encode_job(job)
        if is_cancelled_early(leader.cell, spec.id, account):
            record_late_submission(
                leader.cell, spec.id, account, queue, record, self.now_s
            )
            self.store_progress(leader)
            return 200
        self.oracle.evidence.max_attempts[spec.id] = accepted_queue.max_attempts
        self.store.records[JOB_KEY_PREFIX + spec.id] = record
        self.add_trace(f"{spec.id} is accepted in {queue}: {spec.steps}")
        add_job(leader.cell, job, self.now_s, self.now_s)
        return 200

    def cancel(self, job_id: str) -> None:
        """Cancel a job, if the newest leader knows it and the store is available."""
        leader = self.leaders[-1]
        job = leader.cell.jobs.get(job_id)
        if job is None or self.now_s < self.store.unavailable_until_s:
            return
        self.add_trace(f"{job_id} is cancelled")
        finish_job(leader.cell, job, JobState.CANCELLED, self.now_s)
        self.store_progress(leader)
        self.record_cancel(job_id, 200)

    def record_cancel(self, job_id: str, status: int) -> None:
        """Record a cancel that is answered at once."""
        observations = self.oracle.observations
        cancel = observations.record_cancel(job_id, self.now_s)
        observations.record_answer(cancel, status, self.now_s)

    # The leader process.

    def has_authority(self, leader: SimLeader) -> bool:
        """Return whether a leader may still send orders."""
        return (
            not leader.ended
            and not leader.cell.superseded
            and self.now_s - leader.authority_confirmed_s < AUTHORITY_TIMEOUT_S
        )

    def store_progress(self, leader: SimLeader) -> bool:
        """Store the changed jobs and return whether no change is left to store.

        A write to a store with a newer epoch shows the leader that its term has ended.
        """
        cell = leader.cell
        leader.unstored_jobs |= cell.dirty_jobs
        cell.dirty_jobs.clear()
        if leader.store_unreachable or self.now_s < self.store.unavailable_until_s:
            return not leader.unstored_jobs
        if self.store.epoch > leader.term:
            cell.superseded = True
            return False
        leader.authority_confirmed_s = self.now_s
        for job_id in leader.unstored_jobs:
            progress = encode_progress(cell, job_id)
            if progress is not None:
                self.store.records[PROGRESS_KEY_PREFIX + job_id] = progress
            if job_id in cell.jobs:
                job = cell.jobs[job_id]
                job.stored_crash_version = job.crash_version
                mark_stored(take_unstored(job))
            finished = cell.finished_jobs.get(job_id)
            if finished is not None:
                self.store.records.pop(JOB_KEY_PREFIX + job_id, None)
                state = finished.state.value
                self.oracle.publish_final_state(job_id, state, self.now_s)
                stored = self.store.records[PROGRESS_KEY_PREFIX + job_id]
                self.oracle.check_stored_verdict(job_id, stored, self.now_s)
        leader.unstored_jobs.clear()
        return True

    def _tick(self, leader: SimLeader) -> None:
        if leader.ended or leader.cell.superseded:
            self._end_term(leader)
            return
        cell = leader.cell
        expire_leases(cell, leader.authority_confirmed_s)
        evict_runs(cell, self.now_s)
        judge_suspects(cell, self.now_s)
        takeover.reconcile(cell, leader.authority_confirmed_s)
        self.store_progress(leader)
        if self.has_authority(leader):
            plan(cell, self.now_s)
            self._check_account_cap()
            self.send_orders(leader)
        self.schedule(TICK_INTERVAL_S, lambda: self._tick(leader))

    def _check_account_cap(self) -> None:
        used_by_account: dict[str, int] = {}
        for worker in self.workers.values():
            for run in worker.runs.values():
                account = self.account_by_job[run.key.job]
                used_milli = used_by_account.get(account, 0) + run.cpu_milli
                used_by_account[account] = used_milli
        for account, used_milli in used_by_account.items():
            cap_milli = self.config.account_by_name[account].cap.cpu_milli
            if used_milli > cap_milli * 1.1 + 4_000:
                self.oracle.record_violation(
                    f"account {account} has {used_milli} mCPU running"
                )
