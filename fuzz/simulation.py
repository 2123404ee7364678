"""A cell on a clock of its own: leaders, workers, a store, and a network that fails."""

import dataclasses
import heapq
import itertools
import random
import typing as t

from bulrushspur_scheduler import takeover
from bulrushspur_scheduler.cell import Cell, StartOrder, StopOrder, make_cell
from bulrushspur_scheduler.config import Account, CellConfig, Queue, make_config
from bulrushspur_scheduler.eviction import relieve
from bulrushspur_scheduler.jobs import Job, JobSpec, JobState, StepSpec, TaskKey
from bulrushspur_scheduler.leases import check_leases, extend_lease, lose_worker
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job, finish_job
from bulrushspur_scheduler.records import (
    ACCEPTED_PREFIX,
    PROGRESS_PREFIX,
    encode_job,
    encode_progress,
)
from bulrushspur_scheduler.reports import (
    StartResult,
    apply_report,
    note_start,
    note_stop,
)
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import WorkerEntry, make_worker
from fuzz.workers import Oracle, SimWorker

AUTHORITY_S: t.Final = 6.0
HOLD_S: t.Final = 0.4
TICK_S: t.Final = 0.1
DEAD_S: t.Final = 1.0
CAP_MILLI: t.Final = 24_000
WORKER_MILLI: t.Final = 8_000

CONFIG: t.Final[CellConfig] = make_config(
    1,
    (
        Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.5),
        Queue("large", "", "/l/", "svc", 1, 3, 3.0, 2.0),
    ),
    accounts=(Account("team", ("k",), 20.0, Resources(CAP_MILLI)),),
)


@dataclasses.dataclass
class SimStore:
    """The store: records by key, and the epoch that fences writers."""

    records: dict[str, bytes] = dataclasses.field(default_factory=dict)
    workers: set[str] = dataclasses.field(default_factory=set)
    epoch: int = 0
    down_until_s: float = 0.0


@dataclasses.dataclass
class Leader:
    """A leader with its cell; it may be cut off from the store and from workers."""

    term: int
    cell: Cell
    confirmed_s: float
    seen: dict[str, int] = dataclasses.field(default_factory=dict)
    told: dict[str, int] = dataclasses.field(default_factory=dict)
    doubtful: set[str] = dataclasses.field(default_factory=set)
    cut_workers: set[str] = dataclasses.field(default_factory=set)
    cut_store: bool = False
    over: bool = False
    unstored: set[str] = dataclasses.field(default_factory=set)


class World:
    """Everything, with its clock and its oracle."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.oracle = Oracle()
        self.workers: dict[str, SimWorker] = {}
        self.store = SimStore()
        self.leaders: list[Leader] = []
        self.queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self.order = itertools.count()
        self.term = 0
        self.jobs = 0
        self.faults = 0
        self.trace = self.oracle.trace
        for index in range(4):
            self.add_worker(f"w{index}")
        self.take_over(False)

    def note(self, sentence: str) -> None:
        """Keep a line of the history."""
        self.trace.append(f"{self.now_s:.2f} {sentence}")

    def after(self, delay_s: float, work: t.Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.order), work))

    def run(self, for_s: float) -> None:
        """Let time pass."""
        until_s = self.now_s + for_s
        while self.queue and self.queue[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self.queue)
            work()
        self.now_s = until_s

    # Faults and requests.

    def add_worker(self, name: str) -> None:
        """Start a life of a worker."""
        self.workers[name] = SimWorker(
            name, WORKER_MILLI, self.oracle, self.workers, self.rng, self.now_s
        )

    def restart_worker(self, name: str) -> None:
        """Crash a worker and begin its next life under the same id."""
        self.note(f"fault: {name} restarts")
        self.faults += 1
        self.workers[name].advance(self.now_s)
        self.workers[name].crash()
        self.add_worker(name)
        self.workers[name].cut_until_s = self.now_s + DEAD_S

    def cut_worker(self, name: str, for_s: float) -> None:
        """Cut a worker off from all leaders."""
        self.note(f"fault: {name} is cut off for {for_s:.1f} s")
        self.faults += 1
        self.workers[name].cut_until_s = self.now_s + for_s

    def stop_store(self, for_s: float) -> None:
        """Take the store away."""
        self.note(f"fault: the store is away for {for_s:.1f} s")
        self.faults += 1
        self.store.down_until_s = self.now_s + for_s

    def take_over(self, old_lives_on: bool) -> None:
        """Begin a term; the old leader may live on, cut off from store and workers."""
        if self.now_s < self.store.down_until_s:
            return
        self.term += 1
        self.faults += 1
        names = sorted(self.workers)
        for old in self.leaders:
            if not old_lives_on:
                old.over = True
            else:
                old.cut_store = True
                half = self.rng.sample(names, len(names) // 2)
                old.cut_workers = set(half)
                self.after(8.0, lambda old=old: self._end(old))
        self.leaders = [one for one in self.leaders if not one.over][-1:]
        hidden = set(names) - set().union(*(one.cut_workers for one in self.leaders))
        leader = Leader(self.term, make_cell(CONFIG, fence=self.term), self.now_s)
        if self.leaders:
            leader.cut_workers = hidden
            self.after(5.0, leader.cut_workers.clear)
        self.note(f"term {self.term} begins, old lives on: {old_lives_on}")
        self.store.epoch = self.oracle.newest_term = self.term
        cell = leader.cell
        takeover.recover(cell, dict(self.store.records), self.now_s, self.now_s)
        for name in names:
            entry = WorkerEntry(name, "svc", "", "z", Resources(WORKER_MILLI, 99_999))
            cell.workers[name] = make_worker(entry, self.now_s)
            if name in self.store.workers:
                cell.dark.add(name)
        self.store.workers |= set(names)
        cell.settled = not cell.jobs
        cell.settle_at_s = self.now_s + AUTHORITY_S + cell.bounds.lease_s * 1.05
        self.leaders.append(leader)
        for name in names:
            self._hold(leader, name)
        self._tick(leader)

    def _end(self, leader: Leader) -> None:
        leader.over = True
        if leader in self.leaders:
            self.leaders.remove(leader)

    def submit(self, spec: JobSpec, queue: str) -> None:
        """Hand a job in at the newest leader."""
        leader = self.leaders[-1]
        self.oracle.jobs[spec.id] = spec
        if self.now_s < self.store.down_until_s:
            self.oracle.refused.add(spec.id)
            return
        job = Job(spec, queue, "svc", "team", self.now_s, self.now_s)
        self.store.records[ACCEPTED_PREFIX + spec.id] = encode_job(job)
        self.note(f"{spec.id} is accepted in {queue}: {spec.steps}")
        add_job(leader.cell, job, self.now_s, self.now_s)

    def cancel(self, job_id: str) -> None:
        """Cancel a job at the newest leader."""
        leader = self.leaders[-1]
        job = leader.cell.jobs.get(job_id)
        if job is None or self.now_s < self.store.down_until_s:
            return
        self.note(f"{job_id} is cancelled")
        finish_job(leader.cell, job, JobState.CANCELLED, self.now_s)
        self._store(leader)
        self.oracle.cancelled_s[job_id] = self.now_s

    # What a leader does.

    def has_authority(self, leader: Leader) -> bool:
        """Tell whether a leader may still order anything."""
        return (
            not leader.over
            and not leader.cell.superseded
            and self.now_s - leader.confirmed_s < AUTHORITY_S
        )

    def _store(self, leader: Leader) -> bool:
        """Write what changed; tell whether all is stored."""
        cell = leader.cell
        leader.unstored |= cell.dirty
        cell.dirty.clear()
        if leader.cut_store or self.now_s < self.store.down_until_s:
            return not leader.unstored
        if self.store.epoch > leader.term:
            cell.superseded = True
            return False
        leader.confirmed_s = self.now_s
        for job_id in leader.unstored:
            progress = encode_progress(cell, job_id)
            if progress is not None:
                self.store.records[PROGRESS_PREFIX + job_id] = progress
            finished = cell.finished.get(job_id)
            if finished is not None:
                self.store.records.pop(ACCEPTED_PREFIX + job_id, None)
                self.oracle.shown_final[job_id] = finished.state.value
        leader.unstored.clear()
        return True

    def _tick(self, leader: Leader) -> None:
        if leader.over or leader.cell.superseded:
            self._end(leader)
            return
        cell = leader.cell
        check_leases(cell, leader.confirmed_s)
        relieve(cell, self.now_s)
        takeover.settle(cell, leader.confirmed_s)
        self._store(leader)
        if self.has_authority(leader):
            plan(cell, self.now_s)
            self._check_cap()
            self._send(leader)
        self.after(TICK_S, lambda: self._tick(leader))

    def _check_cap(self) -> None:
        used = sum(
            run.cpu_milli for one in self.workers.values() for run in one.runs.values()
        )
        if used > CAP_MILLI * 1.1 + 4_000:
            self.oracle.violate(f"the account has {used} running")

    def _send(self, leader: Leader) -> None:
        cell = leader.cell
        starts, cell.starts = cell.starts, []
        stops, cell.stops = cell.stops, []
        for start in starts:
            self._send_start(leader, start)
        for stop in stops:
            self._send_stop(leader, stop)

    def _reaches(self, leader: Leader, name: str) -> bool:
        return (
            name not in leader.cut_workers
            and self.now_s >= self.workers[name].cut_until_s
        )

    def _delay_s(self) -> float:
        return self.rng.choice((0.002, 0.005, 0.02, 0.1))

    def _send_start(self, leader: Leader, order: StartOrder) -> None:
        cell, run = leader.cell, order.run
        until_ms = extend_lease(cell, cell.workers[order.worker], self.now_s, 2.0)
        key: TaskKey = run.task.key
        number = run.number
        late = self.rng.random() < 0.05
        life = self.workers[order.worker]

        def arrive() -> None:
            # What a worker carries out late ends with its life.
            worker = life if late else self.workers[order.worker]
            if worker is not self.workers[order.worker]:
                return
            if not self._reaches(leader, order.worker):
                return
            result = worker.start(key, number, until_ms, leader.term, self.now_s)
            if not late and self.rng.random() > 0.03:
                self.after(self._delay_s(), lambda: self._started(leader, run, result))

        self.after(self.rng.uniform(1, 5) if late else self._delay_s(), arrive)
        self.after(
            0.6, lambda: self._started(leader, run, StartResult.UNANSWERED, True)
        )

    def _started(
        self, leader: Leader, run: t.Any, result: StartResult, timeout: bool = False
    ) -> None:
        if leader.over or (timeout and run.state.value != "starting"):
            return
        note_start(leader.cell, run, result, self.now_s)

    def _send_stop(self, leader: Leader, order: StopOrder) -> None:
        answered: list[bool] = []

        def arrive() -> None:
            if not self._reaches(leader, order.worker):
                return
            worker = self.workers[order.worker]
            done = worker.stop(order.key, order.number, leader.term, self.now_s)
            if done and self.rng.random() > 0.05:
                answered.append(True)
                self.after(
                    self._delay_s(),
                    lambda: note_stop(leader.cell, order, True, self.now_s),
                )

        def expire() -> None:
            if not answered and not leader.over:
                note_stop(leader.cell, order, False, self.now_s)

        self.after(self._delay_s(), arrive)
        self.after(0.6, expire)

    def _hold(self, leader: Leader, name: str) -> None:
        if leader.over or leader.cell.superseded:
            return
        cell = leader.cell
        worker = cell.workers[name]
        until_ms = None
        if worker.clock.known and worker.runs and self.has_authority(leader):
            until_ms = extend_lease(cell, worker, self.now_s, cell.bounds.lease_s)
        sent_s, seen = self.now_s, leader.seen.get(name, 0)
        if seen <= leader.told.get(name, 0) or name in leader.doubtful:
            seen = 0
        leader.doubtful.add(name)

        def arrive() -> None:
            if not self._reaches(leader, name):
                return
            sim = self.workers[name]
            report = sim.hold(until_ms, leader.term, seen, sent_s, self.now_s)
            if report is None:
                cell.superseded = True
                return
            self.after(self._delay_s(), lambda: answer(report))

        def answer(report: t.Any) -> None:
            if leader.over:
                return
            born_ms = worker.born_ms
            apply_report(cell, worker, report, self.now_s)
            leader.doubtful.discard(name)
            leader.told[name] = max(leader.told.get(name, 0), seen)
            if born_ms and born_ms != worker.born_ms:
                leader.seen[name] = leader.told[name] = 0
            if self._store(leader):
                leader.seen[name] = worker.applied_upto

        self.after(self._delay_s(), arrive)
        self.after(HOLD_S, lambda: self._hold(leader, name))


def make_spec(rng: random.Random, job_id: str) -> JobSpec:
    """Make a job of one or two steps."""
    steps = []
    for index in range(rng.choice((1, 1, 2))):
        steps.append(
            StepSpec(
                rng.choice((1, 2, 3, 6)),
                Resources(rng.choice((500, 1000, 2500, 4000)), 10),
                rng.choice((0.3, 0.8, 2.0)),
                (0,) if index else (),
                gang=rng.random() < 0.3,
                max_per_worker=rng.choice((0, 0, 2)),
            )
        )
    return JobSpec(job_id, "p", tuple(steps))


__all__ = ["World", "lose_worker", "make_spec"]
