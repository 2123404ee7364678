"""Simulate the workers of a fuzzed cell.

Takes start orders, stop orders and lease renewals at simulated times; returns the
results and reports that a worker would answer. All orders, ends and checkpoints are
recorded (``recorder.py``). Checked at each start: no task starts before the steps that
it depends on are done, or though its job was shown as completed.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.job_specs import TaskKey
from bulrushspur_scheduler.job_states import RunOutcome
from bulrushspur_scheduler.order_results import StartResult
from bulrushspur_scheduler.reports import RunEnd, RunStatus, WorkerReport
from fuzz.recorder import Oracle

GANG_TIMEOUT_S: t.Final = 3.0
# A run of a checkpointing step makes a checkpoint after so much work.
SAVE_INTERVAL_S: t.Final = 1.0
# A longer lease is shortened to this.
MAX_LEASE_MS: t.Final = 10_000


@dataclasses.dataclass
class SimRun:
    """A run on a worker; ``end_s`` is the simulated time at which its work is done.

    While members of its gang have not started, ``end_s`` is infinite, and the run ends
    at ``gang_deadline_s``. ``saved`` is its last checkpoint, or the one that it started
    from, which stands for ``worked_s`` of work.
    """

    key: TaskKey
    number: int
    cpu_milli: int
    end_s: float
    outcome: RunOutcome
    gang_deadline_s: float = float("inf")
    next_save_s: float = float("inf")
    saved: str = ""
    worked_s: float = 0.0


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
    # When the lease lapsed last, on the worker's clock; whether or not it had runs.
    lapsed_ms: int = 0
    ended_s: dict[int, float] = dataclasses.field(default_factory=dict)
    advanced_s: float = 0.0
    unreachable_until_s: float = 0.0
    alive: bool = True
    # Share of the runs that fail by themselves.
    failure_share: float = 0.08
    # While set, all that it starts fails so long after its start.
    fails_after_s: float = 0.0
    # What its clock shows at its start.
    first_clock_ms: int = 1000

    def clock_ms(self, now_s: float) -> int:
        """Return the worker's clock in milliseconds; it runs 1.5 % slow."""
        return self.first_clock_ms + int((now_s - self.started_s) * 985)

    def advance(self, now_s: float) -> None:
        """End the runs that are done, and those whose lease or gang has timed out.

        Nothing may have looked at the worker for a while: runs that were done before
        the lease expired have ended so.
        """
        self.advanced_s = now_s
        if self.runs and self.clock_ms(now_s) > self.lease_until_ms:
            lapsed_s = self._time_s(self.lease_until_ms)
            self._end_due_runs(lapsed_s)
            self.lease_expiry_count += 1
            for run in list(self.runs.values()):
                self._end_run(run, RunOutcome.LEASE_EXPIRED, lapsed_s)
        self._end_due_runs(now_s)

    def _time_s(self, clock_ms: int) -> float:
        """Return when the worker's clock shows a value."""
        return self.started_s + (clock_ms - self.first_clock_ms) / 985

    @property
    def lease_end_s(self) -> float:
        """Return when the lease of all runs expires."""
        return self._time_s(self.lease_until_ms)

    def _end_due_runs(self, now_s: float) -> None:
        for run in list(self.runs.values()):
            self._save_progress(run, now_s)
            if run.gang_deadline_s <= now_s and (run.key, run.number) in self.runs:
                self._end_run(run, RunOutcome.GANG_INCOMPLETE, run.gang_deadline_s)
            if run.end_s <= now_s and (run.key, run.number) in self.runs:
                self._end_run(run, run.outcome, run.end_s)
                if self._step_spec(run.key).gang:
                    self._end_gang(run, run.end_s)

    def _save_progress(self, run: SimRun, now_s: float) -> None:
        """Make the checkpoints that are due."""
        while run.next_save_s <= min(now_s, run.end_s):
            run.worked_s += SAVE_INTERVAL_S
            self._make_checkpoint(run, run.next_save_s)
            run.next_save_s += SAVE_INTERVAL_S

    def _make_checkpoint(self, run: SimRun, now_s: float) -> None:
        run.saved = f"c{len(self.oracle.saved_work_s) + 1}"
        self.oracle.saved_work_s[run.saved] = run.worked_s
        self.oracle.observations.record_checkpoint(
            run.key, run.number, run.saved, now_s
        )

    def _step_spec(self, key: TaskKey) -> t.Any:
        return self.oracle.jobs[key.job].steps[key.step]

    def _end_gang(self, run: SimRun, ended_s: float) -> None:
        """End the other members as the platform does: all as done, or all as broken."""
        outcome = (
            RunOutcome.DONE
            if run.outcome is RunOutcome.DONE
            else RunOutcome.GANG_BROKEN
        )
        for worker in self.peers.values():
            for other in list(worker.runs.values()):
                if other.key[:3] == run.key[:3] and other.number == run.number:
                    worker._end_run(other, outcome, ended_s)

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
                self._end_gang(run, self.advanced_s)
        self.runs.clear()
        self.oracle.observations.record_incarnation_end(
            self.id, self.incarnation, self.advanced_s
        )

    @property
    def incarnation(self) -> int:
        """Return what tells the incarnations of a worker apart: its start in ms."""
        return int(self.started_s * 1000) + 1

    def _end_run(self, run: SimRun, outcome: RunOutcome, ended_s: float) -> None:
        del self.runs[run.key, run.number]
        self.oracle.observations.record_end(
            run.key, run.number, self.id, self.incarnation, ended_s, outcome.value
        )
        if outcome is RunOutcome.DONE:
            self.oracle.done_tasks.add(run.key)
        elif outcome is RunOutcome.FAILED:
            is_gang = self._step_spec(run.key).gang
            self.oracle.evidence.record_failed_run(
                run.key, run.number, is_gang, self.id, self.incarnation
            )
        self.last_end_sequence += 1
        name = ".".join(map(str, run.key))
        self.oracle.trace.append(f"end {name} run {run.number} on {self.id} {outcome}")
        self.ended_s[self.last_end_sequence] = ended_s
        self.unacknowledged_ends.append(
            RunEnd(self.last_end_sequence, run.key, run.number, outcome, run.saved)
        )

    def start(
        self,
        key: TaskKey,
        number: int,
        until_ms: int,
        term: int,
        now_s: float,
        payload: str = "p",
        checkpoint: str = "",
        arrived_s: float = float("inf"),
    ) -> StartResult:
        """Execute a start order, or return why it is refused.

        ``arrived_s`` is when it had come, if it is executed late.
        """
        self.advance(now_s)
        refusal, is_there = None, (key, number) in self.runs
        if term < self.fence:
            refusal = StartResult.FENCED
        elif not is_there and until_ms <= self.clock_ms(now_s):
            refusal = StartResult.ORDER_EXPIRED
        elif not is_there and number <= self.highest_run_numbers.get(key, 0):
            refusal = StartResult.STALE_RUN
        if refusal is not StartResult.FENCED:
            self.fence = term
        if refusal in (None, StartResult.STALE_RUN) and not is_there:
            self._extend_lease(until_ms, now_s)
        self.oracle.observations.record_start(
            key,
            number,
            self.id,
            self.incarnation,
            now_s,
            payload,
            checkpoint=checkpoint,
            term=term,
            arrived_s=arrived_s,
            cpu_milli=self._step_spec(key).resources.cpu_milli,
            is_started=refusal is None and not is_there,
        )
        if refusal is None and not is_there:
            self._add_run(key, number, checkpoint, now_s)
        return refusal or StartResult.STARTED

    def _extend_lease(self, until_ms: int, now_s: float) -> None:
        clock_ms = self.clock_ms(now_s)
        if clock_ms > self.lease_until_ms:
            self.lapsed_ms = self.lease_until_ms
        granted_until_ms = min(until_ms, clock_ms + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, granted_until_ms)

    def _add_run(
        self, key: TaskKey, number: int, checkpoint: str, now_s: float
    ) -> None:
        """Start a run; with a checkpoint it goes on from there."""
        self._check_start(key, number, now_s)
        spec = self._step_spec(key)
        self.highest_run_numbers[key] = number
        run_time_s = spec.estimate_s * self.rng.uniform(0.6, 1.6)
        fails = self.rng.random() < self.failure_share
        if spec.long_running:
            run_time_s = float("inf")
        if self.fails_after_s:
            fails, run_time_s = True, self.fails_after_s
        outcome = RunOutcome.FAILED if fails else RunOutcome.DONE
        worked_s = self.oracle.saved_work_s.get(checkpoint, 0.0)
        end_s = now_s + max(run_time_s - worked_s, 0.0)
        run = SimRun(key, number, spec.resources.cpu_milli, end_s, outcome)
        run.saved, run.worked_s = checkpoint, worked_s
        if spec.checkpointing:
            run.next_save_s = now_s + SAVE_INTERVAL_S
        self.runs[key, number] = run
        if spec.gang:
            self._join_gang(run, spec.count, now_s)

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
            if self._step_spec(run.key).checkpointing:
                # A gang works once it is complete.
                wait_s = SAVE_INTERVAL_S if complete else float("inf")
                member.next_save_s = now_s + wait_s
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
        for worker in self.peers.values():
            worker.advance(now_s)
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
        self.oracle.observations.record_stop(key, number, self.id, now_s, term)
        if term < self.fence:
            return False
        self.fence = term
        self.highest_run_numbers[key] = max(
            self.highest_run_numbers.get(key, 0), number
        )
        run = self.runs.get((key, number))
        if run is not None:
            if run.next_save_s < float("inf"):
                self._make_checkpoint(run, now_s)
            self._end_run(run, RunOutcome.STOPPED, now_s)
            if self._step_spec(key).gang:
                run.outcome = RunOutcome.GANG_BROKEN
                self._end_gang(run, now_s)
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
            self._extend_lease(until_ms, now_s)
        for end in self.unacknowledged_ends:
            if end.sequence <= acknowledged_upto:
                self._record_note(end, now_s)
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end.sequence > acknowledged_upto
        ]
        return WorkerReport(
            sent_s,
            self.clock_ms(now_s),
            self.incarnation,
            [
                RunStatus(run.key, run.number, run.saved, 100)
                for run in self.runs.values()
            ],
            list(self.unacknowledged_ends),
        )

    def _record_note(self, end: RunEnd, now_s: float) -> None:
        """Record that a leader has taken note of an end."""
        is_void = (
            self.clock_ms(now_s) > self.lease_until_ms
            or self._time_s(self.lapsed_ms) >= self.ended_s[end.sequence]
        )
        self.oracle.observations.record_note(
            end.key, end.number, self.id, self.incarnation, now_s, is_void
        )
        if end.outcome is RunOutcome.DONE and not self.lease_expiry_count:
            name = ".".join(map(str, end.key))
            self.oracle.trace.append(f"{now_s:.2f} {name} acknowledged as done")
