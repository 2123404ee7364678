"""Plays a load against the decisions on a clock of its own; tells what callers get."""

import collections
import dataclasses
import heapq
import itertools
import random
from zlib import crc32

from bulrushspur_scheduler import advice
from bulrushspur_scheduler.cell import make_cell
from bulrushspur_scheduler.config import Account, AdvicePolicy, Queue, make_config
from bulrushspur_scheduler.jobs import EndKind, Job, JobSpec, StepSpec
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


@dataclasses.dataclass
class Kind:
    """A kind of job: its queue, rate, width, size, time, and share of good workers."""

    queue: Queue
    a_second: float
    width: int
    cpu_milli: int
    time_s: float
    gang: bool = False
    good_share: float = 1.0


class Load:
    """A cell under load."""

    def __init__(self, kinds, workers, cpu_milli, seed=1, estimate_error=0.2):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.estimate_error = estimate_error
        account = Account("team", ("k",), 10_000.0)
        queues = tuple(one.queue for one in kinds)
        self.cell = make_cell(make_config(1, queues, accounts=(account,)), fence=1)
        self.now_s = 10.0
        for index in range(workers):
            capacity = Resources(cpu_milli, 1_000_000)
            entry = WorkerEntry(f"w{index}", "svc", "", "z", capacity)
            self.cell.workers[entry.id] = make_worker(entry, self.now_s)
        self.ends = []
        self.order = itertools.count()
        self.true_s = {}
        self.handed_in = {}
        self.by_kind = collections.defaultdict(list)
        self.asks = []

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
        true_s = kind.time_s * self.rng.lognormvariate(0, 0.4)
        guess = true_s * self.rng.lognormvariate(0, self.estimate_error)
        width = max(1, round(kind.width * self.rng.lognormvariate(0, 0.5)))
        step = StepSpec(width, Resources(kind.cpu_milli, 1), guess, gang=kind.gang)
        spec = JobSpec(job_id, "p", (step,))
        job = Job(spec, kind.queue.name, "svc", "team", self.now_s, self.now_s)
        self.true_s[job_id] = true_s
        self.handed_in[job_id] = (self.now_s, kind)
        self.by_kind[kind.queue.name].append(job_id)
        add_job(self.cell, job, self.now_s, self.now_s)

    def in_time(self, job_id):
        began_s, kind = self.handed_in[job_id]
        finished = self.cell.finished.get(job_id)
        if finished is None:
            return False
        allowed_s = kind.queue.stretch * self.true_s[job_id]
        return finished.at_s - began_s <= allowed_s + kind.queue.target_latency_s

    def step(self):
        self.now_s += STEP_S
        self.report()
        self.answer_asks()
        plan(self.cell, self.now_s)
        self.cell.events.clear()
        starts, self.cell.starts = self.cell.starts, []
        for order in starts:
            note_start(self.cell, order.run, StartResult.STARTED, self.now_s)
            key = order.run.task.key
            lasts_s = self.true_s[key.job]
            if not order.run.task.step.spec.gang:
                lasts_s *= self.rng.uniform(0.85, 1.15)
            row = (self.now_s + lasts_s, next(self.order), order.run)
            heapq.heappush(self.ends, row)
        asks, self.cell.asks = self.cell.asks, []
        for ask in asks:
            self.asks.append((self.now_s + ask.call_s, ask))

    def report(self):
        ended = collections.defaultdict(list)
        while self.ends and self.ends[0][0] <= self.now_s:
            run = heapq.heappop(self.ends)[2]
            ended[run.worker].append(run)
        for worker in self.cell.workers.values():
            over = ended.get(worker.id, ())
            rows = [
                EndRow(worker.applied_upto + i + 1, *one.key, EndKind.DONE, "")
                for i, one in enumerate(over)
            ]
            gone = {one.key for one in over}
            running = [
                RunningRow(*key, "", 100) for key in worker.runs if key not in gone
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
            _, kind = self.handed_in[ask.step.job]
            good = [
                (name, "t")
                for name in ask.workers
                if crc32(f"{ask.step.job}{name}".encode()) % 100 < kind.good_share * 100
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
        ),
        Kind(
            Queue("middling", "", "/m/", "svc", 2, 3, 4.0, 3.0, advice=middling),
            3.0,
            12,
            2000,
            3.4,
            good_share=0.45,
        ),
        Kind(
            Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.25, advice=quick),
            15.0,
            2,
            2800,
            1.0,
            good_share=0.7,
        ),
    ]
