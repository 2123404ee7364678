"""Simulate tasks that crash the workers that start them, beside sound ones.

Takes a seed; returns the simulation after its history, with its violations. A deadly
task crashes each worker that starts it, at once or after a while; the worker comes back
after some seconds, under its id or under a new one on its machine. A history has deadly
jobs of single tasks and gangs, workers that crash for other reasons, one or all at
once, changes of the leader and outages of the store, and then ends all of these.

Checked are: a deadly task starts at most twice more after three workers have crashed
under it, its job ends as failed, other jobs complete unless two workers have crashed
under one of their tasks, and none stands still.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.job_specs import JobSpec, StepSpec, TaskKey
from bulrushspur_scheduler.resources import Resources
from fuzz.evidence import MIN_CRASHES
from fuzz.histories import act_at_random, ensure_leader
from fuzz.leaders import SimLeader
from fuzz.series import SeriesSimulation
from fuzz.workers import SimWorker

# After so many crashes under it, a task may start MAX_FURTHER_STARTS times more.
CRASHES_BEFORE_LIMIT: t.Final = 3
MAX_FURTHER_STARTS: t.Final = 2
RESTART_DELAYS_S: t.Final = (2.0, 3.0, 3.5)
COMPLETION_TIMEOUT_S: t.Final = 120.0
STEPS: t.Final = 60
# Time from the end of the faults until the jobs are checked.
SETTLING_S: t.Final = 6.0


@dataclasses.dataclass
class DeadlyTask:
    """A task that crashes each worker ``delay_s`` after it started there."""

    delay_s: float
    crash_count: int = 0
    further_starts: int = 0


class DeadlySimulation(SeriesSimulation):
    """A cell in which some tasks crash their workers, and no run fails by itself."""

    def __init__(self, seed: int) -> None:
        self.deadly_tasks: dict[TaskKey, DeadlyTask] = {}
        self.started_runs: set[tuple[TaskKey, int]] = set()
        self.down_until_s: dict[str, float] = {}
        # Jobs of sound tasks that were given up.
        self.sound_failed_ids: list[str] = []
        super().__init__(seed, has_incarnation_list=True)

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker whose runs fail only if they are deadly."""
        super().add_worker(name, machine)
        self.workers[name].failure_share = 0.0

    def submit_deadly(
        self, spec: JobSpec, queue: str, delays_s: dict[int, float]
    ) -> None:
        """Submit a job; ``delays_s`` has the delay of each deadly task of its step."""
        for index, delay_s in delays_s.items():
            key = TaskKey(spec.id, 0, 0, index)
            self.deadly_tasks[key] = DeadlyTask(delay_s)
        self.submit(spec, queue)

    def refuses_connections(self, name: str) -> bool:
        """Return whether no process listens at a worker's address."""
        if not self.workers[name].alive:
            return True
        return self.now_s < self.down_until_s.get(name, 0.0)

    def on_started(self, leader: SimLeader, worker: SimWorker, run: t.Any) -> None:
        """Check the start of a deadly task, and crash its worker after the delay."""
        key, number = run.task.key, run.number
        task = self.deadly_tasks.get(key)
        if task is None or (key, number) in self.started_runs:
            return
        self.started_runs.add((key, number))
        if task.crash_count >= CRASHES_BEFORE_LIMIT and leader.term == self.newest_term:
            task.further_starts += 1
            if task.further_starts > MAX_FURTHER_STARTS:
                self.oracle.record_violation(
                    f"{'.'.join(map(str, key))} starts for the "
                    f"{task.further_starts}. time after {CRASHES_BEFORE_LIMIT} crashes"
                )

        def crash() -> None:
            if self.workers.get(worker.id) is worker and (key, number) in worker.runs:
                task.crash_count += 1
                self.add_trace(f"{'.'.join(map(str, key))} crashes {worker.id}")
                self.crash_worker(worker.id)

        self.schedule(task.delay_s, crash)

    def crash_worker(self, name: str) -> None:
        """Crash a worker, which comes back under its id or under a new one."""
        self.workers[name].advance(self.now_s)
        if self.rng.random() < 0.3:
            self.restart_worker(name)
            self.down_until_s[name] = self.workers[name].unreachable_until_s
            return
        self.kill_worker(name, self.rng.choice(RESTART_DELAYS_S))

    def list_alive(self) -> list[str]:
        """Return the names of the workers that run, in order."""
        return sorted(name for name, worker in self.workers.items() if worker.alive)

    def check_jobs(self, timeout_s: float = COMPLETION_TIMEOUT_S) -> None:
        """Let time pass until all jobs have ended, and check how they did."""
        deadline_s = self.now_s + timeout_s
        while self.leaders[-1].cell.jobs and self.now_s < deadline_s:
            self.advance(0.5)
        self.advance(0.5)
        deadly_ids = {key.job for key in self.deadly_tasks}
        for job_id in self.oracle.jobs:
            if job_id in self.oracle.refused_jobs:
                continue
            state = self.oracle.published_final_states.get(job_id)
            if job_id in deadly_ids:
                if state != "failed":
                    self.oracle.record_violation(f"deadly {job_id} ended as {state}")
                continue
            crash_count = self.oracle.evidence.count_crashes(job_id)
            if state == "failed" and crash_count >= MIN_CRASHES:
                self.sound_failed_ids.append(job_id)
            elif state != "completed":
                self.oracle.record_violation(
                    f"sound {job_id} ended as {state} after {crash_count} crashes"
                )


def make_job(
    job_id: str, count: int = 1, run_time_s: float = 0.8, gang: bool = False
) -> JobSpec:
    """Make a job of one step with tasks of one core."""
    step = StepSpec(count, Resources(1000, 10), run_time_s, gang=gang)
    return JobSpec(job_id, "p", (step,))


def play_and_check(
    simulation: DeadlySimulation,
    rng: random.Random,
    act: t.Callable[[], None],
    steps: int,
) -> None:
    """Act until a violation; if there is none, let all settle and check the jobs."""
    if act_at_random(simulation, rng, act, steps):
        simulation.advance(SETTLING_S)
        ensure_leader(simulation)
        simulation.check_jobs()


class DeadlyHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = DeadlySimulation(seed)

    def run(self) -> DeadlySimulation:
        """Run the history until a violation, then check all jobs."""
        play_and_check(self.simulation, self.rng, self._act, STEPS)
        return self.simulation

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        if draw < 0.5:
            self._submit()
        elif draw < 0.56:
            self._crash_workers()
        elif draw < 0.60:
            simulation.take_over(rng.random() < 0.2, rng.choice((0.0, 0.3)))
        elif draw < 0.62:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0)))

    def _submit(self) -> None:
        simulation, rng = self.simulation, self.rng
        if not simulation.leaders:
            return
        simulation.job_count += 1
        job_id, gang = f"j{simulation.job_count}", rng.random() < 0.3
        count, queue = rng.choice((1, 2, 4, 6)), rng.choice(("small", "large"))
        if rng.random() < 0.85:
            run_time_s = rng.choice((0.3, 0.8, 3.0))
            simulation.submit(make_job(job_id, count, run_time_s, gang), queue)
            return
        indexes = rng.sample(range(count), rng.choice((1, count)))
        delay_s = rng.choice((0.01, 0.01, 0.01, 0.25, 0.9))
        spec = make_job(job_id, count, 3.0, gang)
        simulation.submit_deadly(spec, queue, dict.fromkeys(indexes, delay_s))

    def _crash_workers(self) -> None:
        """Crash one worker, or half or all of them at once, by no task's fault."""
        simulation, rng = self.simulation, self.rng
        alive = simulation.list_alive()
        count = rng.choice((1, 1, len(alive) // 2, len(alive)))
        for name in rng.sample(alive, min(count, len(alive))):
            simulation.crash_worker(name)


def run_deadly_history(seed: int) -> DeadlySimulation:
    """Run the history of a seed; return the simulation."""
    return DeadlyHistory(seed).run().judge()
