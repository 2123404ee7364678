"""Simulate jobs whose tasks last, on workers that crash and that fail for a time.

Takes a seed; returns the simulation after its history, with its violations. Each
lasting job wants a task on most workers, and at most one on each. A history has rounds:
such jobs, gangs and steps behind others among them, and short ones, beside workers that
crash and come back, one or two at once, workers that fail all that they start for some
seconds, and changes of the leader; then a calm stretch.

Checked is, in calm, each task that lasts: it has no run for MAX_STANDING_S on end,
though a worker that the leader reaches may run it and has room for it twice over. This
is not asked of a job under one of whose tasks two workers have crashed, and of a task
only from RESTART_S after its last run. The cap of the account is more than the cell
has.
"""

import random
import typing as t

from bulrushspur_scheduler.config import Account, CellConfig, make_config
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec, TaskKey
from bulrushspur_scheduler.jobs import Step, Task
from bulrushspur_scheduler.resources import Resources
from fuzz.deadly import RESTART_DELAYS_S, DeadlySimulation
from fuzz.evidence import MIN_CRASHES
from fuzz.histories import ensure_leader
from fuzz.leaders import SimLeader
from fuzz.series import CONFIG as SERIES_CONFIG
from fuzz.series import WORKER_COUNT
from fuzz.simulation import WORKER_CPU_MILLI
from fuzz.standing import CALM_S, CHECK_INTERVAL_S, MAX_STANDING_S
from fuzz.workers import SimWorker

ROUNDS: t.Final = 3
# A lasting task may be without a run for so long after its last one.
RESTART_S: t.Final = 6.0
FAILING_S: t.Final = 6.5
# A worker that fails all does so after one of these times.
FAILURE_DELAYS_S: t.Final = (0.3, 0.3, 2.0, 4.0)
CALM_STRETCH_S: t.Final = 25.0
LASTING_CPU_MILLI: t.Final = 250
# Workers that crash and those that fail; the others stay sound in a history.
UNSOUND_COUNT: t.Final = 3

# Twice what the cell has.
CAP: t.Final = Resources(2 * WORKER_COUNT * WORKER_CPU_MILLI)
CONFIG: t.Final[CellConfig] = make_config(
    1, SERIES_CONFIG.queues, accounts=(Account("team", ("k",), 20.0, CAP),)
)


class LastingSimulation(DeadlySimulation):
    """A cell with jobs that last; each order is carried out at once or not at all."""

    config = CONFIG
    late_call_share = late_renewal_share = lost_answer_share = slow_stop_share = 0.0

    def __init__(self, seed: int) -> None:
        self.standing_tasks_since_s: dict[TaskKey, float] = {}
        # When each lasting task was seen running last.
        self.seen_running_s: dict[TaskKey, float] = {}
        self.reported_tasks: set[TaskKey] = set()
        super().__init__(seed)
        self._check_lasting_tasks()

    def fail_all(self, name: str, delay_s: float) -> None:
        """Let a worker fail all that it starts, for a while."""
        self._record_fault(f"{name} fails all after {delay_s} s", FAILING_S + delay_s)
        worker = self.workers[name]
        worker.fails_after_s = delay_s

        def end() -> None:
            worker.fails_after_s = 0.0

        self.schedule(FAILING_S, end)

    def crash_worker(self, name: str) -> None:
        """Crash a worker, which comes back on its machine under a new id."""
        self.workers[name].advance(self.now_s)
        delay_s = self.rng.choice(RESTART_DELAYS_S)
        self.kill_worker(name, delay_s)
        self.disturb(delay_s, f"{name} is down")

    def _check_lasting_tasks(self) -> None:
        if self.leaders and not self.leaders[-1].loading:
            self._check_standing_tasks(self.leaders[-1])
        self.schedule(CHECK_INTERVAL_S, self._check_lasting_tasks)

    def _check_standing_tasks(self, leader: SimLeader) -> None:
        now_s = self.now_s
        hosts = self._list_hosts()
        since_s: dict[TaskKey, float] = {}
        for step, task in _list_lasting_tasks(leader):
            if task.key in hosts:
                self.seen_running_s[task.key] = now_s
            elif self._may_run(leader, step, hosts):
                since_s[task.key] = self.standing_tasks_since_s.get(task.key, now_s)
        self.standing_tasks_since_s = since_s
        calm_since_s = self.standing_check.disturbed_until_s + CALM_S
        for key, begin_s in since_s.items():
            restart_s = self.seen_running_s.get(key, -1e9) + RESTART_S
            stood_s = now_s - max(begin_s, restart_s, calm_since_s)
            if stood_s >= MAX_STANDING_S and key not in self.reported_tasks:
                self.reported_tasks.add(key)
                self.oracle.record_violation(
                    f"lasting task {'.'.join(map(str, key))} stands still at "
                    f"{now_s:.2f}: {_describe(leader, now_s)}"
                )

    def _list_hosts(self) -> dict[TaskKey, str]:
        """Return the worker of each task that runs."""
        return {
            key: name
            for name, worker in self.workers.items()
            if worker.alive
            for key, _ in worker.runs
        }

    def _may_run(
        self, leader: SimLeader, step: Step, hosts: dict[TaskKey, str]
    ) -> bool:
        """Return whether there is a worker for one more task of a step."""
        if self.oracle.evidence.count_crashes(step.key.job) >= MIN_CRASHES:
            return False
        if not all(step.job.occurrences[0].steps[i].done for i in step.spec.depends_on):
            return False
        needed = len(step.tasks) if step.spec.gang else 1
        if step.spec.gang and any(task.key in hosts for task in step.tasks):
            return False
        taken = [hosts[task.key] for task in step.tasks if task.key in hosts]
        with_room = [
            name
            for name, worker in self.workers.items()
            if worker.alive
            and self.takes_work(leader, name)
            and name not in taken
            and _free_milli(worker) >= 2 * step.spec.resources.cpu_milli
        ]
        return len(with_room) >= needed


def _list_lasting_tasks(leader: SimLeader) -> t.Iterator[tuple[Step, Task]]:
    for job in leader.cell.jobs.values():
        for step in job.steps():
            if step.spec.long_running:
                yield from ((step, task) for task in step.tasks)


def _free_milli(worker: SimWorker) -> int:
    return worker.cpu_milli - sum(run.cpu_milli for run in worker.runs.values())


def _describe(leader: SimLeader, now_s: float) -> str:
    """Say which workers the leader keeps from other work, and why."""
    rows = []
    for worker in leader.cell.workers.values():
        state = [
            name
            for name, holds in (
                ("silent", now_s - worker.last_report_s > 1.0),
                ("isolated", worker.isolated_for is not None),
                ("in quarantine", worker.quarantined_until_s > now_s),
                ("on probation", worker.on_probation),
            )
            if holds
        ]
        if state:
            rows.append(f"{worker.id} {' and '.join(state)}")
    return "; ".join(rows) or "no worker is kept apart"


class LastingHistory:
    """The random actions of a history."""

    def __init__(self, seed: int, has_failing_workers: bool) -> None:
        self.rng = random.Random(seed)
        self.has_failing_workers = has_failing_workers
        self.simulation = LastingSimulation(seed)
        machines = sorted(self.simulation.workers)
        self.unsound = self.rng.sample(machines, UNSOUND_COUNT)

    def run(self) -> LastingSimulation:
        """Run the rounds until a violation."""
        simulation, rng = self.simulation, self.rng
        for _ in range(ROUNDS):
            for _ in range(rng.choice((3, 5, 8))):
                self._act()
                simulation.advance(rng.choice((0.1, 0.7, 2.5, 6.0)))
                ensure_leader(simulation)
            self._submit_lasting()
            simulation.advance(CALM_STRETCH_S)
            if simulation.oracle.violations:
                break
        return simulation

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        if draw < 0.3:
            self._submit_lasting()
        elif draw < 0.45:
            self._submit_short()
        elif draw < 0.75:
            for name in rng.sample(self._list_unsound(), rng.choice((1, 1, 2))):
                simulation.crash_worker(name)
        elif draw < 0.9 and self.has_failing_workers:
            for name in rng.sample(self._list_unsound(), rng.choice((1, 1, 2))):
                simulation.fail_all(name, rng.choice(FAILURE_DELAYS_S))
        else:
            simulation.take_over(False)

    def _list_unsound(self) -> list[str]:
        """Return the present workers of the unsound machines, which are all up."""
        simulation = self.simulation
        while True:
            rv = [
                name
                for name in simulation.list_alive()
                if simulation.past_entries[name].machine in self.unsound
            ]
            if len(rv) == len(self.unsound):
                return rv
            simulation.advance(0.2)

    def _submit_lasting(self) -> None:
        simulation, rng = self.simulation, self.rng
        simulation.job_count += 1
        count = len(simulation.list_alive()) - rng.choice((0, 0, 0, 2))
        resources = Resources(LASTING_CPU_MILLI, 10)
        first = (StepSpec(1, resources, 0.3),) if rng.random() < 0.3 else ()
        lasting = StepSpec(
            count,
            resources,
            1.0,
            tuple(range(len(first))),
            long_running=True,
            gang=rng.random() < 0.15,
            max_per_worker=1,
        )
        spec = JobSpec(f"j{simulation.job_count}", "p", (*first, lasting))
        simulation.submit(spec, rng.choice(("small", "large")))

    def _submit_short(self) -> None:
        simulation, rng = self.simulation, self.rng
        simulation.job_count += 1
        count, run_s = rng.choice((1, 4)), rng.choice((0.8, 3.0, 12.0))
        step = StepSpec(count, Resources(WORKER_CPU_MILLI // 8, 10), run_s)
        spec = JobSpec(f"j{simulation.job_count}", "p", (step,))
        simulation.submit(spec, "large")


def run_lasting_history(
    seed: int, has_failing_workers: bool = True
) -> LastingSimulation:
    """Run the history of a seed; return the simulation."""
    return LastingHistory(seed, has_failing_workers).run().judge()
