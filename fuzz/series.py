"""Simulate takeovers in series, with workers that are gone for good, then calm.

Takes a seed; returns the simulation after its history, with its violations. A history
is several rounds: jobs of two accounts, one of which sends bursts, faults beside some
takeovers in quick succession, and a calm stretch in which no job may stand still. All
random draws are apart from those of ``run.run_history``.
"""

import random
import typing as t

from bulrushspur_daemon.worker_connections import REPORT_TIMEOUT_S
from bulrushspur_daemon.worker_watch import apply_entry
from bulrushspur_scheduler.config import Account, CellConfig, Queue, make_config
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.leases import list_expired_workers
from bulrushspur_scheduler.liveness import expire_unlisted_workers
from bulrushspur_scheduler.resources import Resources
from bulrushspur_scheduler.worker_list_records import (
    make_recorded_entry,
    make_worker_record,
)
from bulrushspur_scheduler.workers import Worker, WorkerEntry, make_worker, replaces
from fuzz.jobs import make_random_spec
from fuzz.leaders import SimLeader
from fuzz.simulation import WORKER_CPU_MILLI, Simulation

ROUNDS: t.Final = 3
REGISTRATION_LIFETIME_S: t.Final = 2.0
REGISTRATION_DELAY_S: t.Final = 0.4
LIST_INTERVAL_S: t.Final = 1.2
COMPLETION_TIMEOUT_S: t.Final = 200.0
BATCH_CAP_CPU_MILLI: t.Final = 12_000
WORKER_COUNT: t.Final = 8

CONFIG: t.Final[CellConfig] = make_config(
    1,
    (
        Queue("small", "", "/s/", "svc", 0, 3, 1.5, 0.5),
        Queue("large", "", "/l/", "svc", 1, 3, 3.0, 2.0),
    ),
    accounts=(
        Account("team", ("k",), 20.0, Resources(24_000)),
        Account("batch", ("b",), 20.0, Resources(BATCH_CAP_CPU_MILLI)),
    ),
)


class SeriesSimulation(Simulation):
    """A cell with a worker list in the store, and the platform's list of incarnations.

    ``has_incarnation_list`` says whether the platform has that list.
    """

    config = CONFIG

    def __init__(self, seed: int, has_incarnation_list: bool) -> None:
        self.entries: dict[str, WorkerEntry] = {}
        # Also those that are not registered any more.
        self.past_entries: dict[str, WorkerEntry] = {}
        self.has_incarnation_list = has_incarnation_list
        # No worker follows on these.
        self.removed_machines: set[str] = set()
        super().__init__(seed)
        for index in range(len(self.workers), WORKER_COUNT):
            self.add_worker(f"w{index}")

    def service_of(self, machine: str) -> str:
        """Return the service of the workers of a machine."""
        return "svc"

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker, and register it."""
        super().add_worker(name)
        start_ms = int(self.now_s * 1000) + 1
        self.entries[name] = self.past_entries[name] = WorkerEntry(
            name,
            self.service_of(machine or name),
            "",
            "z",
            Resources(WORKER_CPU_MILLI, 99_999),
            machine=machine or name,
            incarnation_start_ms=start_ms,
        )
        self.schedule(REGISTRATION_DELAY_S, lambda: self._announce(name))

    def _announce(self, name: str) -> None:
        """Tell the newest leader of an entry, once the store is available."""
        if name not in self.entries:
            return
        if self.now_s < self.store.unavailable_until_s:
            self.schedule(REGISTRATION_DELAY_S, lambda: self._announce(name))
            return
        for leader in self.leaders[-1:]:
            if not leader.loading and not leader.store_unreachable:
                self._apply_entry(leader, self.entries[name])

    def _apply_entry(self, leader: SimLeader, entry: WorkerEntry) -> None:
        def connect(worker: Worker) -> None:
            self._connect(leader, worker.id)

        apply_entry(leader.cell, entry, self.now_s, connect)

    def kill_worker(self, name: str, replacement_delay_s: float | None) -> None:
        """End a worker for good; another one may start on its machine."""
        self._record_fault(f"{name} is gone for good", 0.0)
        self.workers[name].advance(self.now_s)
        self.workers[name].crash()
        self._remove_worker(name, replacement_delay_s)

    def _remove_worker(self, name: str, replacement_delay_s: float | None) -> None:
        """Take away a worker whose runs have ended, and replace it if asked to."""
        worker, machine = self.workers[name], self.past_entries[name].machine
        worker.alive = False
        worker.unreachable_until_s = float("inf")
        self.schedule(REGISTRATION_LIFETIME_S, lambda: self._unregister(name))
        if replacement_delay_s is None:
            self.removed_machines.add(machine)
        else:
            new_name = f"{machine}-{int(self.now_s * 100)}"

            def replace() -> None:
                self.disturb(0.0, f"{new_name} starts")
                self.add_worker(new_name, machine)

            self.schedule(replacement_delay_s, replace)

    def _unregister(self, name: str) -> None:
        if self.now_s < self.store.unavailable_until_s:
            self.schedule(REGISTRATION_DELAY_S, lambda: self._unregister(name))
            return
        self.entries.pop(name, None)
        for leader in self.leaders[-1:]:
            worker = leader.cell.workers.get(name)
            if worker is not None and not leader.store_unreachable:
                worker.listed = False
                worker.unlisted_s = self.now_s

    def _load_workers(self, leader: SimLeader) -> list[str]:
        """Add the registered workers, and those that only the stored list names."""
        cell = leader.cell
        for name, entry in sorted(self.entries.items()):
            cell.workers[name] = make_worker(entry, self.now_s)
        for name in sorted(leader.recorded_worker_ids - set(self.entries)):
            entry = make_recorded_entry(make_worker_record(self.past_entries[name]))
            worker = make_worker(entry, self.now_s)
            if any(replaces(other, worker) for other in self.entries.values()):
                leader.recorded_worker_ids.discard(name)
                self.store.worker_ids.discard(name)
                self.store.answered_ids.discard(name)
                leader.answered_ids.discard(name)
                continue
            cell.workers[name] = worker
            worker.listed = False
        for worker in cell.workers.values():
            worker.is_recovered = worker.id in leader.recorded_worker_ids
            worker.is_recorded = worker.id in leader.answered_ids
        cell.unobserved_workers = set(leader.answered_ids)
        return sorted(cell.workers)

    def _tick(self, leader: SimLeader) -> None:
        reads_store = not leader.store_unreachable
        if reads_store and self.now_s >= self.store.unavailable_until_s:
            leader.cell.worker_list_s = self.now_s - REGISTRATION_DELAY_S
        super()._tick(leader)
        if leader.store_unreachable or leader.ended or leader is not self.leaders[-1]:
            return
        if self.now_s < self.store.unavailable_until_s:
            return
        cell, confirmed_s = leader.cell, leader.authority_confirmed_s
        for worker in list_expired_workers(cell, confirmed_s, self.now_s):
            del cell.workers[worker.id]
            self.store.worker_ids.discard(worker.id)
            self.store.answered_ids.discard(worker.id)
            leader.recorded_worker_ids.discard(worker.id)
            leader.answered_ids.discard(worker.id)

    def _may_extend_lease(self, leader: SimLeader, worker: Worker) -> bool:
        """Extend no lease without a recent report: it could never expire."""
        has_recent_report = self.now_s - worker.last_report_s < REPORT_TIMEOUT_S
        return has_recent_report and super()._may_extend_lease(leader, worker)

    def _begin_to_serve(self, leader: SimLeader, stored: dict[str, bytes]) -> None:
        super()._begin_to_serve(leader, stored)
        if self.has_incarnation_list:
            self._check_incarnations(leader)

    def _check_incarnations(self, leader: SimLeader) -> None:
        if leader.ended or leader.cell.superseded:
            return
        listed_ids = {name for name, worker in self.workers.items() if worker.alive}
        machines = {entry.machine for entry in self.past_entries.values()}
        expire_unlisted_workers(
            leader.cell,
            listed_ids,
            self.now_s,
            self.now_s,
            listed_machines=machines - self.removed_machines,
        )
        self.schedule(LIST_INTERVAL_S, lambda: self._check_incarnations(leader))


class SeriesHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = SeriesSimulation(seed, self.rng.random() < 0.7)

    def run(self) -> SeriesSimulation:
        """Run the rounds until a violation, then check that all jobs end."""
        simulation = self.simulation
        for _ in range(ROUNDS):
            self._submit_and_disturb()
            self._take_over_in_series()
            self._keep_calm()
            if simulation.oracle.violations:
                return simulation
        deadline_s = simulation.now_s + COMPLETION_TIMEOUT_S
        while simulation.leaders[-1].cell.jobs and simulation.now_s < deadline_s:
            simulation.advance(1.0)
        for leader in simulation.leaders[-1:]:
            for job in leader.cell.jobs.values():
                simulation.oracle.record_violation(
                    f"job {job.id} never ended: {job.state.value}"
                )
        return simulation

    def _submit(self) -> None:
        simulation, rng = self.simulation, self.rng
        if not simulation.leaders:
            return
        if rng.random() < 0.05:
            self._submit_burst(rng.choice((15, 40, 80)))
            return
        simulation.job_count += 1
        spec = self._make_spec(f"j{simulation.job_count}")
        account = rng.choice(("team", "team", "batch"))
        simulation.submit(spec, rng.choice(("small", "large")), account)

    def _submit_burst(self, count: int) -> None:
        simulation = self.simulation
        cpu_milli = self.rng.choice((500, 1000, 2500))
        for _ in range(count):
            simulation.job_count += 1
            steps = (StepSpec(1, Resources(cpu_milli, 10), 0.8),)
            spec = JobSpec(f"j{simulation.job_count}", "p", steps)
            simulation.submit(spec, "small", "batch")

    def _make_spec(self, job_id: str) -> JobSpec:
        while True:
            spec = make_random_spec(self.rng, job_id)
            if all(
                step.count * step.resources.cpu_milli <= BATCH_CAP_CPU_MILLI
                for step in spec.steps
            ):
                return spec

    def _submit_and_disturb(self) -> None:
        simulation, rng = self.simulation, self.rng
        for _ in range(rng.choice((10, 20))):
            draw = rng.random()
            if draw < 0.4:
                self._submit()
            elif draw < 0.65:
                self._disturb_worker()
            elif draw < 0.68:
                simulation.make_store_unavailable(rng.choice((0.5, 2.0)))
            simulation.advance(rng.choice((0.05, 0.2, 0.5)))

    def _disturb_worker(self) -> None:
        simulation, rng = self.simulation, self.rng
        alive = sorted(name for name, w in simulation.workers.items() if w.alive)
        registered = [name for name in alive if name in simulation.entries]
        name, draw = rng.choice(registered), rng.random()
        if draw < 0.4:
            simulation.restart_worker(name)
        elif draw < 0.6:
            simulation.isolate_worker(name, rng.choice((0.5, 3.0, 7.0)))
        elif len(alive) > WORKER_COUNT // 2:
            simulation.kill_worker(name, rng.choice((None, None, 1.0, 4.0)))

    def _take_over_in_series(self) -> None:
        simulation, rng = self.simulation, self.rng
        for _ in range(rng.choice((1, 2, 3, 4))):
            if rng.random() < 0.3:
                self._disturb_worker()
            if rng.random() < 0.15:
                simulation.make_store_unavailable(rng.choice((0.5, 2.0)))
            if rng.random() < 0.5:
                self._submit()
            simulation.take_over(rng.random() < 0.3, rng.choice((0.0, 0.3, 2.0)))
            simulation.advance(rng.choice((0.3, 1.0, 3.0, 6.0)))
        while not simulation.leaders:
            simulation.take_over(False)
            simulation.advance(0.5)

    def _keep_calm(self) -> None:
        simulation, rng = self.simulation, self.rng
        for _ in range(rng.choice((20, 50))):
            if rng.random() < 0.25:
                self._submit()
            simulation.advance(0.5)


def run_series_history(seed: int) -> SeriesSimulation:
    """Run the history of a seed; return the simulation."""
    return SeriesHistory(seed).run().judge()
