"""Plays a load against the decisions on a clock of its own; tells what callers get."""

import collections
import dataclasses
import heapq
import itertools
import random
from zlib import crc32

from bulrushspur_scheduler import advice
from bulrushspur_scheduler.cell import Bounds, make_cell
from bulrushspur_scheduler.config import Account, AdvicePolicy, Queue, make_config
from bulrushspur_scheduler.eviction import relieve
from bulrushspur_scheduler.jobs import EndKind, Job, JobSpec, RunState, StepSpec
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.reports import (
    EndRow,
    HoldReport,
    RunningRow,
    StartResult,
    apply_report,
    note_start,
)
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import WorkerEntry, make_worker

STEP_S = 0.02
# A worker without news lists its runs so often.
LIST_S = 0.4
WIDTH_MOST = 120


@dataclasses.dataclass
class Kind:
    """A kind of job; errors and spreads are deviations of logarithms."""

    queue: Queue
    a_second: float
    width: int
    cpu_milli: int
    time_s: float
    gang: bool = False
    good_share: float = 1.0
    estimate_error: float = 0.2
    time_spread: float = 0.4
    width_spread: float = 0.5
    uneven: float = 0.09
    checkpointing: float = 0.0
    fails: float = 0.0
    second_step: float = 0.0


class Load:
    """A cell under load."""

    def __init__(
        self, kinds, workers, cpu_milli, seed=1, hung=0.0, save_s=0.5, lanes=36
    ):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.save_s = save_s
        account = Account("team", ("k",), 10_000.0)
        queues = tuple(one.queue for one in kinds)
        config = make_config(1, queues, accounts=(account,))
        self.cell = make_cell(config, fence=1, bounds=Bounds(save_s=save_s))
        self.now_s = 10.0
        for index in range(workers):
            capacity = Resources(cpu_milli, 1_000_000)
            entry = WorkerEntry(f"w{index}", "svc", "", "z", capacity)
            self.cell.workers[entry.id] = make_worker(entry, self.now_s)
        self.hung = {f"w{i}" for i in range(workers) if self.rng.random() < hung}
        self.ends = []
        self.order = itertools.count()
        self.true_s = {}
        self.handed_in = {}
        self.by_kind = collections.defaultdict(list)
        self.asks = []
        self.lanes = [advice.Lane(f"n{index:02}") for index in range(lanes)]
        self.saves = {}
        self.ended = collections.defaultdict(list)
        self.listed_s = {}
        self.lost = collections.Counter()

    def run(self, for_s, settle_s=20.0):
        """Play the load, then let it run out; return the share in time by queue."""
        end_s = self.now_s + for_s
        number = itertools.count()
        while self.now_s < end_s + settle_s:
            if self.now_s < end_s:
                for kind in self.kinds:
                    if self.rng.random() < kind.a_second * STEP_S:
                        self.hand_in(kind, f"j{next(number)}")
            self.step()
        return {
            queue: sum(self.in_time(one) for one in ids) / len(ids)
            for queue, ids in self.by_kind.items()
        }

    def hand_in(self, kind, job_id):
        rng = self.rng
        steps = []
        chain_s = 0.0
        for index in range(1 + (rng.random() < kind.second_step)):
            true_s = kind.time_s * rng.lognormvariate(0, kind.time_spread)
            guess_s = true_s * rng.lognormvariate(0, kind.estimate_error)
            width = kind.width * rng.lognormvariate(0, kind.width_spread)
            steps.append(
                StepSpec(
                    min(max(1, round(width)), WIDTH_MOST),
                    Resources(kind.cpu_milli, 1),
                    guess_s,
                    (index - 1,) if index else (),
                    gang=kind.gang,
                    checkpointing=rng.random() < kind.checkpointing,
                )
            )
            self.true_s[job_id, index] = true_s
            chain_s += true_s
        spec = JobSpec(job_id, "p", tuple(steps))
        job = Job(spec, kind.queue.name, "svc", "team", self.now_s, self.now_s)
        allowed_s = kind.queue.stretch * chain_s + kind.queue.target_latency_s
        self.handed_in[job_id] = (self.now_s, kind, allowed_s)
        self.by_kind[kind.queue.name].append(job_id)
        add_job(self.cell, job, self.now_s, self.now_s)

    def in_time(self, job_id):
        began_s, _, allowed_s = self.handed_in[job_id]
        finished = self.cell.finished.get(job_id)
        return finished is not None and finished.at_s - began_s <= allowed_s

    def step(self):
        self.now_s += STEP_S
        self.report()
        self.answer_asks()
        relieve(self.cell, self.now_s)
        free = advice.count_free_long_lanes(self.lanes, self.now_s)
        self.cell.free_long_lanes = free
        plan(self.cell, self.now_s)
        self.cell.events.clear()
        self.carry_out_stops()
        starts, self.cell.starts = self.cell.starts, []
        for order in starts:
            self.start(order.run)
        asks, self.cell.asks = self.cell.asks, []
        for ask in asks:
            self.asks.append((self.lane_end_s(ask), ask))

    def lane_end_s(self, ask):
        """Return when a call ends on the lane that is free first, one at a time."""
        lane = advice.choose_lane(self.lanes, ask.call_s, self.now_s)
        lane.busy_until_s = max(lane.busy_until_s, self.now_s) + ask.call_s
        return lane.busy_until_s

    def start(self, run):
        note_start(self.cell, run, StartResult.STARTED, self.now_s)
        key, kind = run.task.key, self.handed_in[run.task.key.job][1]
        lasts_s = self.true_s[key.job, key.step]
        if not run.task.step.spec.gang:
            lasts_s *= self.rng.lognormvariate(0, kind.uneven)
        lasts_s -= len(run.started_from) * self.save_s
        if run.worker in self.hung and self.rng.random() < 0.5:
            return
        how = EndKind.FAILED if self.rng.random() < kind.fails else EndKind.DONE
        if how is EndKind.FAILED:
            lasts_s *= self.rng.random()
        row = (self.now_s + lasts_s, next(self.order), run, how)
        self.saves[run.key] = self.now_s
        heapq.heappush(self.ends, row)

    def checkpoint(self, run):
        """Return one letter for each checkpoint that a run has made."""
        began_s = self.saves.get(run.key)
        if not run.task.step.spec.checkpointing or began_s is None:
            return run.started_from
        made = int((self.now_s - began_s) / self.save_s)
        return run.started_from + "x" * made

    def carry_out_stops(self):
        stops, self.cell.stops = self.cell.stops, []
        for order in stops:
            self.lost[order.run.stop_reason] += 1
            self.lost["core_s"] += (
                (self.now_s - order.run.confirmed_s)
                * order.run.task.step.spec.resources.cpu_milli
                / 1000
            )
            self.ended[order.worker].append((order.run, EndKind.STOPPED))

    def report(self):
        while self.ends and self.ends[0][0] <= self.now_s:
            _, _, run, how = heapq.heappop(self.ends)
            if run.state is RunState.STOPPING or run not in run.task.runs:
                continue
            self.ended[run.worker].append((run, how))
        for worker in self.cell.workers.values():
            over = self.ended.pop(worker.id, ())
            if not over and self.now_s - self.listed_s.get(worker.id, 0.0) < LIST_S:
                continue
            self.listed_s[worker.id] = self.now_s
            rows = [
                EndRow(worker.applied_upto + i + 1, *one.key, how, self.checkpoint(one))
                for i, (one, how) in enumerate(over)
            ]
            gone = {one.key for one, _ in over}
            running = [
                RunningRow(*run.key, self.checkpoint(run), 100)
                for run in worker.runs.values()
                if run.key not in gone
            ]
            clock_ms = int(self.now_s * 1000)
            made = HoldReport(self.now_s, clock_ms, 1, running, rows)
            apply_report(self.cell, worker, made, self.now_s)

    def answer_asks(self):
        waiting = []
        for due_s, ask in self.asks:
            if due_s > self.now_s:
                waiting.append((due_s, ask))
                continue
            kind = self.handed_in[ask.step.job][1]
            name = f"{ask.step.job}.{ask.step.step}"
            good = [
                (one, "t")
                for one in ask.workers
                if crc32(f"{name}{one}".encode()) % 100 < kind.good_share * 100
            ]
            policy = kind.queue.advice
            advice.note_advice(
                self.cell, ask.step, ask.workers, good, policy.valid_s, self.now_s
            )
        self.asks = waiting


def heavy_day():
    """Return kinds like those of a heavy day: wide gangs, wide steps, small jobs."""
    advised = AdvicePolicy(0.41, 0.006, 2.0)
    quick = AdvicePolicy(0.012, 0.0002, 2.0)
    middling = AdvicePolicy(0.05, 0.001, 2.0)
    return [
        Kind(
            Queue("heavy", "", "/h/", "svc", 1, 3, 2.2, 1.0, advice=advised),
            0.8,
            8,
            9000,
            4.0,
            gang=True,
            good_share=0.35,
            estimate_error=0.9,
            checkpointing=0.5,
        ),
        Kind(
            Queue("middling", "", "/m/", "svc", 2, 3, 4.0, 3.0, advice=middling),
            3.0,
            12,
            2000,
            3.4,
            good_share=0.45,
            estimate_error=0.9,
            checkpointing=0.8,
        ),
        Kind(
            Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.25, advice=quick),
            15.0,
            2,
            2800,
            1.0,
            good_share=0.7,
            estimate_error=0.9,
        ),
    ]


def grown_day():
    """Return kinds like those of a grown deployment: wider, and of all sizes."""
    heavy = AdvicePolicy(0.34, 0.0049, 2.0)
    middling = AdvicePolicy(0.12, 0.0018, 2.0)
    quick = AdvicePolicy(0.011, 0.00016, 2.0)
    return [
        Kind(
            Queue("heavy", "", "/h/", "svc", 1, 3, 2.2, 1.0, advice=heavy),
            2.7,
            14,
            9000,
            3.5,
            gang=True,
            good_share=0.35,
            estimate_error=0.9,
            width_spread=0.8,
            checkpointing=0.5,
            second_step=0.2,
        ),
        Kind(
            Queue("middling", "", "/m/", "svc", 2, 3, 4.0, 3.0, advice=middling),
            3.6,
            18,
            3500,
            3.0,
            good_share=0.45,
            estimate_error=0.5,
            width_spread=0.8,
            uneven=0.3,
            checkpointing=0.8,
            second_step=0.5,
        ),
        Kind(
            Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.25, advice=quick),
            40.0,
            2.4,
            5000,
            0.9,
            good_share=0.7,
            estimate_error=0.9,
            width_spread=0.8,
            uneven=0.15,
        ),
    ]
