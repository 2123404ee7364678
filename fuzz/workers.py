"""Workers of the fuzzed cell, and the rules that they check."""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.jobs import RunOutcome, TaskKey
from bulrushspur_scheduler.reports import RunEnd, RunStatus, StartResult, WorkerReport

GANG_TIMEOUT_S: t.Final = 3.0


@dataclasses.dataclass
class SimRun:
    """A run on a worker; ``end_s`` is when its work is done."""

    key: TaskKey
    number: int
    cpu_milli: int
    end_s: float
    outcome: RunOutcome
    gang_deadline_s: float = float("inf")


@dataclasses.dataclass
class Oracle:
    """What really happened, over all workers."""

    jobs: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    acknowledged_done: set[TaskKey] = dataclasses.field(default_factory=set)
    failed_noted: dict[TaskKey, int] = dataclasses.field(default_factory=dict)
    cancelled_s: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_jobs: set[str] = dataclasses.field(default_factory=set)
    published_final_states: dict[str, str] = dataclasses.field(default_factory=dict)
    done_tasks: set[TaskKey] = dataclasses.field(default_factory=set)
    start_count: int = 0
    newest_term: int = 0
    trace: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)

    def record_violation(self, sentence: str) -> None:
        """Note a broken rule."""
        self.violations.append(sentence)


@dataclasses.dataclass
class SimWorker:
    """One life of a worker."""

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

    def clock_ms(self, now_s: float) -> int:
        """Return the worker's clock, which runs slow."""
        return 1000 + int((now_s - self.started_s) * 985)

    def advance(self, now_s: float) -> None:
        """Let leases and work run out."""
        if self.runs and self.clock_ms(now_s) > self.lease_until_ms:
            self.lease_expiry_count += 1
            for run in list(self.runs.values()):
                self._end(run, RunOutcome.LEASE_EXPIRED)
        for run in list(self.runs.values()):
            if run.gang_deadline_s <= now_s and (run.key, run.number) in self.runs:
                self._end(run, RunOutcome.GANG_INCOMPLETE)
            if run.end_s <= now_s and (run.key, run.number) in self.runs:
                self._end(run, run.outcome)
                if self._spec(run.key).gang:
                    self._end_gang(run)

    def _spec(self, key: TaskKey) -> t.Any:
        return self.oracle.jobs[key.job].steps[key.step]

    def _end_gang(self, run: SimRun) -> None:
        """End the other members as the platform does: all well, or broken."""
        how = (
            RunOutcome.DONE
            if run.outcome is RunOutcome.DONE
            else RunOutcome.GANG_BROKEN
        )
        for worker in self.peers.values():
            for other in list(worker.runs.values()):
                if other.key[:3] == run.key[:3] and other.number == run.number:
                    worker._end(other, how)

    def crash(self) -> None:
        """End the life: gangs with a member here are broken elsewhere."""
        for run in list(self.runs.values()):
            if self._spec(run.key).gang:
                run.outcome = RunOutcome.GANG_BROKEN
                self._end_gang(run)
        self.runs.clear()

    def _end(self, run: SimRun, how: RunOutcome) -> None:
        del self.runs[run.key, run.number]
        if how is RunOutcome.DONE:
            self.oracle.done_tasks.add(run.key)
        self.last_end_sequence += 1
        name = ".".join(map(str, run.key))
        self.oracle.trace.append(f"end {name} run {run.number} on {self.id} {how}")
        self.unacknowledged_ends.append(
            RunEnd(self.last_end_sequence, run.key, run.number, how, "")
        )

    def start(
        self, key: TaskKey, number: int, until_ms: int, term: int, now_s: float
    ) -> StartResult:
        """Carry out a start."""
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
        spec = self._spec(key)
        self.highest_run_numbers[key] = number
        lasts_s = spec.estimate_s * self.rng.uniform(0.6, 1.6)
        how = RunOutcome.FAILED if self.rng.random() < 0.08 else RunOutcome.DONE
        run = SimRun(key, number, spec.resources.cpu_milli, now_s + lasts_s, how)
        self.runs[key, number] = run
        if spec.gang:
            self._join_gang(run, spec.count, now_s)
        return StartResult.STARTED

    def _join_gang(self, run: SimRun, count: int, now_s: float) -> None:
        """Let a gang work from the moment when all its members are there."""
        members = [
            one
            for worker in self.peers.values()
            for one in worker.runs.values()
            if one.key[:3] == run.key[:3] and one.number == run.number
        ]
        end_s = run.end_s
        whole = len({one.key for one in members}) == count
        for one in members:
            one.end_s = end_s if whole else float("inf")
            one.outcome = run.outcome
            one.gang_deadline_s = (
                float("inf")
                if whole
                else min(one.gang_deadline_s, now_s + GANG_TIMEOUT_S)
            )

    def _check_start(self, key: TaskKey, number: int, now_s: float) -> None:
        oracle, spec = self.oracle, self._spec(key)
        oracle.start_count += 1
        name = f"{'.'.join(map(str, key))} run {number} on {self.id} at {now_s:.2f}"
        oracle.trace.append(f"{now_s:.2f} start {name}, fence {self.fence}")
        used = sum(one.cpu_milli for one in self.runs.values())
        if used + spec.resources.cpu_milli > self.cpu_milli:
            oracle.record_violation(f"overcommitted: {name}")
        for worker in self.peers.values():
            worker.advance(now_s)
            if any(one.key == key for one in worker.runs.values()):
                oracle.record_violation(f"runs twice: {name}, also on {worker.id}")
        if key in oracle.acknowledged_done:
            oracle.record_violation(f"starts again after it was done: {name}")
        if key.job in oracle.refused_jobs:
            oracle.record_violation(f"starts though its job was refused: {name}")
        # A leader that is cut off may not know of the cancelling.
        newest = self.fence >= oracle.newest_term
        if newest and now_s - oracle.cancelled_s.get(key.job, now_s) > 3.0:
            oracle.record_violation(f"starts though its job was cancelled: {name}")
        if oracle.published_final_states.get(key.job) == "completed":
            oracle.record_violation(
                f"starts though its job was shown as completed: {name}"
            )
        steps = oracle.jobs[key.job].steps
        for earlier in spec.depends_on:
            for index in range(steps[earlier].count):
                if TaskKey(key.job, 0, earlier, index) not in oracle.done_tasks:
                    oracle.record_violation(
                        f"starts before step {earlier} is done: {name}"
                    )
        most = spec.max_per_worker
        here = sum(one.key[:3] == key[:3] for one in self.runs.values())
        if most and here >= most:
            oracle.record_violation(f"too many of its step on one worker: {name}")

    def stop(self, key: TaskKey, number: int, term: int, now_s: float) -> bool:
        """Carry out a stop."""
        self.advance(now_s)
        if term < self.fence:
            return False
        self.fence = term
        self.highest_run_numbers[key] = max(
            self.highest_run_numbers.get(key, 0), number
        )
        run = self.runs.get((key, number))
        if run is not None:
            self._end(run, RunOutcome.STOPPED)
            if self._spec(key).gang:
                run.outcome = RunOutcome.GANG_BROKEN
                self._end_gang(run)
        return True

    def renew_lease(
        self, until_ms: int | None, term: int, seen: int, sent_s: float, now_s: float
    ) -> WorkerReport | None:
        """Carry out a hold; None where the fence is too low."""
        self.advance(now_s)
        if term < self.fence:
            return None
        self.fence = term
        if until_ms is not None and self.runs:
            self.lease_until_ms = max(self.lease_until_ms, until_ms)
        for row in self.unacknowledged_ends:
            if (
                row.sequence <= seen
                and row.outcome is RunOutcome.DONE
                and not self.lease_expiry_count
            ):
                self.oracle.acknowledged_done.add(row.key)
                name = ".".join(map(str, row.key))
                self.oracle.trace.append(f"{now_s:.2f} {name} noted as done")
        self.unacknowledged_ends = [
            row for row in self.unacknowledged_ends if row.sequence > seen
        ]
        return WorkerReport(
            sent_s,
            self.clock_ms(now_s),
            int(self.started_s * 1000) + 1,
            [RunStatus(one.key, one.number, "", 100) for one in self.runs.values()],
            list(self.unacknowledged_ends),
        )
