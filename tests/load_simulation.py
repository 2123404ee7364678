"""Simulate load on the scheduler with a clock of its own, without processes.

Kinds of jobs go in; the share of jobs that meet their target comes out, by queue. Each
tick applies reports of workers and replies of the advice service, evicts and plans, and
carries out the orders.
"""

import collections
import heapq
import itertools
import random
from zlib import crc32

from bulrushspur_scheduler import advice
from bulrushspur_scheduler.cell import TimingLimits, make_cell
from bulrushspur_scheduler.config import Account, make_config
from bulrushspur_scheduler.eviction import evict_runs
from bulrushspur_scheduler.headroom import observe_urgent_cpu
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.job_states import RunOutcome, RunState
from bulrushspur_scheduler.jobs import Job
from bulrushspur_scheduler.lanes import AdviceQueue
from bulrushspur_scheduler.order_results import StartResult, handle_start_result
from bulrushspur_scheduler.planning import plan
from bulrushspur_scheduler.progress import add_job
from bulrushspur_scheduler.reports import RunEnd, RunStatus, WorkerReport, apply_report
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.workers import WorkerEntry, make_worker

TICK_INTERVAL_S = 0.02
# A worker without ended runs reports at this interval.
REPORT_INTERVAL_S = 0.4
# The leader observes the urgent CPU in use each 0.1 s.
TICKS_PER_OBSERVATION = 5
MAX_STEP_TASKS = 120


class LoadSimulation:
    """A cell with simulated workers, advice lanes and submissions."""

    def __init__(
        self,
        kinds,
        workers,
        cpu_milli,
        seed=1,
        hung_share=0.0,
        save_s=0.5,
        lanes=36,
        cap_cpu_milli=0,
    ):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.save_s = save_s
        account = Account("team", ("k",), 10_000.0, Resources(cap_cpu_milli))
        queues = tuple(kind.queue for kind in kinds)
        config = make_config(1, queues, accounts=(account,))
        self.cell = make_cell(
            config,
            fencing_token=1,
            timing_limits=TimingLimits(checkpoint_interval_s=save_s),
        )
        self.now_s = 10.0
        for index in range(workers):
            capacity = Resources(cpu_milli, 1_000_000)
            entry = WorkerEntry(f"w{index}", "svc", "", "z", capacity)
            self.cell.workers[entry.id] = make_worker(entry, self.now_s)
        self.hung_workers = {
            f"w{i}" for i in range(workers) if self.rng.random() < hung_share
        }
        self.end_queue = []
        self.event_numbers = itertools.count()
        self.actual_run_times_s = {}
        self.submissions = {}
        self.job_ids_by_queue = collections.defaultdict(list)
        self.pending_attempts = []
        self.advice_queue = AdviceQueue()
        self.advice_queue.set_available(f"n{index:02}" for index in range(lanes))
        self.run_started_s = {}
        self.unreported_ends = collections.defaultdict(list)
        self.last_report_s = {}
        self.stop_totals = collections.Counter()

    def run(self, load_s, drain_s=20.0):
        """Submit jobs for ``load_s``, then wait ``drain_s`` for their ends.

        Return the share of jobs that met their target, by queue.
        """
        end_s = self.now_s + load_s
        number, ticks = itertools.count(), itertools.count()
        while self.now_s < end_s + drain_s:
            if self.now_s < end_s:
                for kind in self.kinds:
                    if self.rng.random() < kind.jobs_per_s * TICK_INTERVAL_S:
                        self.submit(kind, f"j{next(number)}")
            self.tick()
            if next(ticks) % TICKS_PER_OBSERVATION == 0:
                observe_urgent_cpu(self.cell)
        return {
            queue: sum(self.met_target(job_id) for job_id in ids) / len(ids)
            for queue, ids in self.job_ids_by_queue.items()
        }

    def submit(self, kind, job_id):
        rng = self.rng
        steps = []
        total_s = 0.0
        for index in range(1 + (rng.random() < kind.second_step_share)):
            actual_s = kind.run_time_s * rng.lognormvariate(0, kind.run_time_spread)
            estimate_s = actual_s * rng.lognormvariate(0, kind.estimate_error)
            task_count = kind.task_count * rng.lognormvariate(0, kind.task_count_spread)
            steps.append(
                StepSpec(
                    min(max(1, round(task_count)), MAX_STEP_TASKS),
                    Resources(kind.cpu_milli, 1),
                    estimate_s,
                    (index - 1,) if index else (),
                    gang=kind.gang,
                    checkpointing=rng.random() < kind.checkpointing_share,
                )
            )
            self.actual_run_times_s[job_id, index] = actual_s
            total_s += actual_s
        spec = JobSpec(job_id, "p", tuple(steps))
        job = Job(spec, kind.queue.name, "svc", "team", self.now_s, self.now_s)
        allowed_s = kind.queue.stretch * total_s + kind.queue.target_latency_s
        self.submissions[job_id] = (self.now_s, kind, allowed_s)
        self.job_ids_by_queue[kind.queue.name].append(job_id)
        add_job(self.cell, job, self.now_s, self.now_s)

    def met_target(self, job_id):
        submitted_s, _, allowed_s = self.submissions[job_id]
        finished = self.cell.finished_jobs.get(job_id)
        return finished is not None and finished.finished_s - submitted_s <= allowed_s

    def tick(self):
        self.now_s += TICK_INTERVAL_S
        self.report_workers()
        self.answer_advice_calls()
        evict_runs(self.cell, self.now_s)
        free_lanes = self.advice_queue.count_free_long_call_lanes(self.now_s)
        self.cell.free_long_call_lanes = free_lanes
        plan(self.cell, self.now_s)
        self.cell.events.clear()
        self.execute_stops()
        starts, self.cell.start_orders = self.cell.start_orders, []
        for order in starts:
            self.start_run(order.run)
        calls, self.cell.advice_calls = self.cell.advice_calls, []
        for call in calls:
            self.advice_queue.add(call)
        self.pending_attempts += self.advice_queue.take_sendable(self.now_s)

    def start_run(self, run):
        handle_start_result(self.cell, run, StartResult.STARTED, self.now_s)
        key, kind = run.task.key, self.submissions[run.task.key.job][1]
        duration_s = self.actual_run_times_s[key.job, key.step]
        if not run.task.step.spec.gang:
            duration_s *= self.rng.lognormvariate(0, kind.task_time_spread)
        duration_s -= len(run.resumed_from) * self.save_s
        # Half of the runs on a hung worker never end.
        if run.worker_id in self.hung_workers and self.rng.random() < 0.5:
            return
        outcome = (
            RunOutcome.FAILED
            if self.rng.random() < kind.failure_share
            else RunOutcome.DONE
        )
        if outcome is RunOutcome.FAILED:
            duration_s *= self.rng.random()
        row = (self.now_s + duration_s, next(self.event_numbers), run, outcome)
        self.run_started_s[run.key] = self.now_s
        heapq.heappush(self.end_queue, row)

    def checkpoint(self, run):
        """Return a letter for each checkpoint made, resumed ones included."""
        start_s = self.run_started_s.get(run.key)
        if not run.task.step.spec.checkpointing or start_s is None:
            return run.resumed_from
        count = int((self.now_s - start_s) / self.save_s)
        return run.resumed_from + "x" * count

    def execute_stops(self):
        stops, self.cell.stop_orders = self.cell.stop_orders, []
        for order in stops:
            self.stop_totals[order.run.stop_reason] += 1
            self.stop_totals["core_s"] += (
                (self.now_s - order.run.confirmed_s)
                * order.run.task.step.spec.resources.cpu_milli
                / 1000
            )
            self.unreported_ends[order.worker_id].append(
                (order.run, RunOutcome.STOPPED)
            )

    def report_workers(self):
        while self.end_queue and self.end_queue[0][0] <= self.now_s:
            _, _, run, outcome = heapq.heappop(self.end_queue)
            if run.state is RunState.STOPPING or run not in run.task.runs:
                continue
            self.unreported_ends[run.worker_id].append((run, outcome))
        for worker in self.cell.workers.values():
            ended = self.unreported_ends.pop(worker.id, ())
            if (
                not ended
                and self.now_s - self.last_report_s.get(worker.id, 0.0)
                < REPORT_INTERVAL_S
            ):
                continue
            self.last_report_s[worker.id] = self.now_s
            ends = [
                RunEnd(
                    worker.applied_end_sequence + i + 1,
                    *run.key,
                    outcome,
                    self.checkpoint(run),
                )
                for i, (run, outcome) in enumerate(ended)
            ]
            ended_keys = {run.key for run, _ in ended}
            running = [
                RunStatus(*run.key, self.checkpoint(run), 100)
                for run in worker.runs.values()
                if run.key not in ended_keys
            ]
            clock_ms = int(self.now_s * 1000)
            report = WorkerReport(self.now_s, clock_ms, 1, running, ends)
            apply_report(self.cell, worker, report, self.now_s)

    def answer_advice_calls(self):
        pending = []
        for attempt in self.pending_attempts:
            if attempt.due_s > self.now_s:
                pending.append(attempt)
                continue
            self.answer_attempt(attempt)
        self.pending_attempts = pending

    def answer_attempt(self, attempt):
        call = self.advice_queue.handle_reply(attempt.request_id, True, self.now_s)
        kind = self.submissions[call.step.job][1]
        name = f"{call.step.job}.{call.step.step}"
        approved = [
            (worker_id, "t")
            for worker_id in call.worker_ids
            if crc32(f"{name}{worker_id}".encode()) % 100 < kind.approved_share * 100
        ]
        valid_s = kind.queue.advice.ticket_valid_s
        advice.apply_advice(self.cell, call, approved, valid_s, self.now_s)
