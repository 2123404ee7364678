"""Simulate the workers of a fuzzed cell, and check the scheduler's guarantees.

Takes start orders, stop orders and lease renewals at simulated times; returns the
results and reports that a worker would answer. Each start is checked against what has
happened on all workers, which the oracle records: no worker is overcommitted, and no
task runs twice, starts again after it was done, starts before the steps that it depends
on are done, or starts though its job was refused or has ended. A job is shown as failed
only with cause (``evidence.py``), and no final state changes. Violations are recorded,
not raised.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.jobs import RunOutcome
from bulrushspur_scheduler.order_results import StartResult
from bulrushspur_scheduler.reports import RunEnd, RunStatus, WorkerReport
from fuzz.evidence import FailureEvidence

GANG_TIMEOUT_S: t.Final = 3.0


@dataclasses.dataclass
class SimRun:
    """A run on a worker; ``end_s`` is the simulated time at which its work is done.

    While members of its gang have not started, ``end_s`` is infinite, and the run ends
    at ``gang_deadline_s``.
    """

    key: TaskKey
    number: int
    cpu_milli: int
    end_s: float
    outcome: RunOutcome
    gang_deadline_s: float = float("inf")


@dataclasses.dataclass
class Oracle:
    """Record what has happened in the simulation, and the violations found."""

    jobs: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    acknowledged_done: set[TaskKey] = dataclasses.field(default_factory=set)
    evidence: FailureEvidence = dataclasses.field(default_factory=FailureEvidence)
    cancelled_s: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_jobs: set[str] = dataclasses.field(default_factory=set)
    published_final_states: dict[str, str] = dataclasses.field(default_factory=dict)
    done_tasks: set[TaskKey] = dataclasses.field(default_factory=set)
    start_count: int = 0
    newest_term: int = 0
    trace: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)

    def record_violation(self, violation: str) -> None:
        """Add a violation, as one sentence."""
        self.violations.append(violation)

    def publish_final_state(self, job_id: str, state: str, now_s: float) -> None:
        """Record the final state of a job that a leader has stored, and check it."""
        previous = self.published_final_states.setdefault(job_id, state)
        if previous != state:
            self.record_violation(f"{job_id} is shown as {previous}, then as {state}")
        self.published_final_states[job_id] = state
        fault = self.evidence.find_fault(self.jobs[job_id])
        if state == "failed" and fault:
            self.record_violation(
                f"{job_id} is shown as failed at {now_s:.2f} without cause: {fault}"
            )


@dataclasses.dataclass
class SimWorker:
    """Simulate one incarnation of a worker; ``peers`` has all workers by id."""

    id: str
    cpu_milli: int
    oracle: Oracle
    peers: dict[str, "SimWorker"]
    rng: random.Random
    started_s: float
    fence: int = 0
    lease_until_ms: int = 0
    runs: dict[tuple[TaskKey, int], SimRun] = dataclasses.field(default_factory=dict)
    highest_run_numbers: dict[TaskKey, int] = dataclasses.field(default_factory=dict)
    unacknowledged_ends: list[RunEnd] = dataclasses.field(default_factory=list)
    last_end_sequence: int = 0
    lease_expiry_count: int = 0
    unreachable_until_s: float = 0.0
    alive: bool = True
    # Whether starts are checked elsewhere, against the capacity at other times, too.
    changes_capacity: bool = False
    # Share of the runs that fail by themselves.
    failure_share: float = 0.08

    def clock_ms(self, now_s: float) -> int:
        """Return the worker's clock in milliseconds; it runs 1.5 % slow."""
        return 1000 + int((now_s - self.started_s) * 985)

    def advance(self, now_s: float) -> None:
        """End the runs that are done, and those whose lease or gang has timed out.

        Nothing may have looked at the worker for a while: runs that were done before
        the lease expired have ended so.
        """
        if self.runs and self.clock_ms(now_s) > self.lease_until_ms:
            self._end_due_runs(self._time_s(self.lease_until_ms))
            self.lease_expiry_count += 1
            for run in list(self.runs.values()):
                self._end_run(run, RunOutcome.LEASE_EXPIRED)
        self._end_due_runs(now_s)

    def _time_s(self, clock_ms: int) -> float:
        """Return when the worker's clock shows a value."""
        return self.started_s + (clock_ms - 1000) / 985

    def _end_due_runs(self, now_s: float) -> None:
        for run in list(self.runs.values()):
            if run.gang_deadline_s <= now_s and (run.key, run.number) in self.runs:
                self._end_run(run, RunOutcome.GANG_INCOMPLETE)
            if run.end_s <= now_s and (run.key, run.number) in self.runs:
                self._end_run(run, run.outcome)
                if self._step_spec(run.key).gang:
                    self._end_gang(run)

    def _step_spec(self, key: TaskKey) -> t.Any:
        return self.oracle.jobs[key.job].steps[key.step]

    def _end_gang(self, run: SimRun) -> None:
        """End the other members as the platform does: all as done, or all as broken."""
        outcome = (
            RunOutcome.DONE
            if run.outcome is RunOutcome.DONE
            else RunOutcome.GANG_BROKEN
        )
        for worker in self.peers.values():
            for other in list(worker.runs.values()):
                if other.key[:3] == run.key[:3] and other.number == run.number:
                    worker._end_run(other, outcome)

    def crash(self) -> None:
        """End the incarnation by a crash.

        Advance it before: what has ended before the crash was not on the worker.
        """
        self.oracle.evidence.record_crash(key for key, _ in self.runs)
        self.leave()

    def leave(self) -> None:
        """End the incarnation; the other members of its gangs end as broken."""
        for run in list(self.runs.values()):
            if self._step_spec(run.key).gang:
                run.outcome = RunOutcome.GANG_BROKEN
                self._end_gang(run)
        self.runs.clear()

    def _end_run(self, run: SimRun, outcome: RunOutcome) -> None:
        del self.runs[run.key, run.number]
        if outcome is RunOutcome.DONE:
            self.oracle.done_tasks.add(run.key)
        elif outcome is RunOutcome.FAILED:
            is_gang = self._step_spec(run.key).gang
            self.oracle.evidence.record_failed_run(run.key, run.number, is_gang)
        self.last_end_sequence += 1
        name = ".".join(map(str, run.key))
        self.oracle.trace.append(f"end {name} run {run.number} on {self.id} {outcome}")
        self.unacknowledged_ends.append(
            RunEnd(self.last_end_sequence, run.key, run.number, outcome, "")
        )

    def start(
        self, key: TaskKey, number: int, until_ms: int, term: int, now_s: float
    ) -> StartResult:
        """Execute a start order, or return why it is refused."""
        self.advance(now_s)
        if term < self.fence:
            return StartResult.FENCED
        self.fence = term
        if (key, number) in self.runs:
            return StartResult.STARTED
        if until_ms <= self.clock_ms(now_s):
            return StartResult.ORDER_EXPIRED
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        if number <= self.highest_run_numbers.get(key, 0):
            return StartResult.STALE_RUN
        self._check_start(key, number, now_s)
        spec = self._step_spec(key)
        self.highest_run_numbers[key] = number
        run_time_s = spec.estimate_s * self.rng.uniform(0.6, 1.6)
        fails = self.rng.random() < self.failure_share
        outcome = RunOutcome.FAILED if fails else RunOutcome.DONE
        run = SimRun(key, number, spec.resources.cpu_milli, now_s + run_time_s, outcome)
        self.runs[key, number] = run
        if spec.gang:
            self._join_gang(run, spec.count, now_s)
        return StartResult.STARTED

    def _join_gang(self, run: SimRun, count: int, now_s: float) -> None:
        """Add a run to its gang, whose work starts once all members have started.

        Until then each member has a deadline: it ends as GANG_INCOMPLETE.
        """
        members = [
            member
            for worker in self.peers.values()
            for member in worker.runs.values()
            if member.key[:3] == run.key[:3] and member.number == run.number
        ]
        end_s = run.end_s
        complete = len({member.key for member in members}) == count
        for member in members:
            member.end_s = end_s if complete else float("inf")
            member.outcome = run.outcome
            member.gang_deadline_s = (
                float("inf")
                if complete
                else min(member.gang_deadline_s, now_s + GANG_TIMEOUT_S)
            )

    def _check_start(self, key: TaskKey, number: int, now_s: float) -> None:
        oracle, spec = self.oracle, self._step_spec(key)
        oracle.start_count += 1
        name = f"{'.'.join(map(str, key))} run {number} on {self.id} at {now_s:.2f}"
        oracle.trace.append(f"{now_s:.2f} start {name}, fence {self.fence}")
        used_milli = sum(run.cpu_milli for run in self.runs.values())
        is_over = used_milli + spec.resources.cpu_milli > self.cpu_milli
        if is_over and not self.changes_capacity:
            oracle.record_violation(f"overcommitted: {name}")
        for worker in self.peers.values():
            worker.advance(now_s)
            if any(run.key == key for run in worker.runs.values()):
                oracle.record_violation(f"runs twice: {name}, also on {worker.id}")
        if key in oracle.acknowledged_done:
            oracle.record_violation(f"starts again after it was done: {name}")
        if key.job in oracle.refused_jobs:
            oracle.record_violation(f"starts though its job was refused: {name}")
        # A leader of an earlier term that is cut off may not know of the cancellation.
        is_newest_term = self.fence >= oracle.newest_term
        if is_newest_term and now_s - oracle.cancelled_s.get(key.job, now_s) > 3.0:
            oracle.record_violation(f"starts though its job was cancelled: {name}")
        if oracle.published_final_states.get(key.job) == "completed":
            oracle.record_violation(
                f"starts though its job was published as completed: {name}"
            )
        steps = oracle.jobs[key.job].steps
        for dependency in spec.depends_on:
            for index in range(steps[dependency].count):
                needed = TaskKey(key.job, key.occurrence, dependency, index)
                if needed not in oracle.done_tasks:
                    oracle.record_violation(
                        f"starts before step {dependency} is done: {name}"
                    )
        max_runs = spec.max_per_worker
        step_runs = sum(run.key[:3] == key[:3] for run in self.runs.values())
        if max_runs and step_runs >= max_runs:
            oracle.record_violation(f"too many of its step on one worker: {name}")

    def stop(self, key: TaskKey, number: int, term: int, now_s: float) -> bool:
        """Execute a stop order; return False if the fencing token is too low."""
        self.advance(now_s)
        if term < self.fence:
            return False
        self.fence = term
        self.highest_run_numbers[key] = max(
            self.highest_run_numbers.get(key, 0), number
        )
        run = self.runs.get((key, number))
        if run is not None:
            self._end_run(run, RunOutcome.STOPPED)
            if self._step_spec(key).gang:
                run.outcome = RunOutcome.GANG_BROKEN
                self._end_gang(run)
        return True

    def renew_lease(
        self,
        until_ms: int | None,
        term: int,
        acknowledged_upto: int,
        sent_s: float,
        now_s: float,
    ) -> WorkerReport | None:
        """Extend the lease and return a report; None if the fencing token is too low.

        Ends up to the sequence number ``acknowledged_upto`` are not reported again.
        """
        self.advance(now_s)
        if term < self.fence:
            return None
        self.fence = term
        if until_ms is not None and self.runs:
            self.lease_until_ms = max(self.lease_until_ms, until_ms)
        for end in self.unacknowledged_ends:
            if (
                end.sequence <= acknowledged_upto
                and end.outcome is RunOutcome.DONE
                and not self.lease_expiry_count
            ):
                self.oracle.acknowledged_done.add(end.key)
                name = ".".join(map(str, end.key))
                self.oracle.trace.append(f"{now_s:.2f} {name} acknowledged as done")
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end.sequence > acknowledged_upto
        ]
        return WorkerReport(
            sent_s,
            self.clock_ms(now_s),
            int(self.started_s * 1000) + 1,
            [RunStatus(run.key, run.number, "", 100) for run in self.runs.values()],
            list(self.unacknowledged_ends),
        )
