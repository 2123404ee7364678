"""Simulate workers whose capacity shrinks and grows while they run.

Takes a seed; returns the simulation after its history, with its violations. A history
has jobs, workers that change their capacity at random, also below what they run, some
that restart, changes of the leader and outages of the store. A worker writes its new
capacity to the store, once that is available, and leaders read it from there.

Checked is each start: it must not bring a worker over the most capacity that it has had
lately (``oracle/limits.py``). Afterwards all jobs complete, and none stands still.
"""

import random

from bulrushspur_scheduler.resources import Resources
from fuzz.histories import play_history, submit_random_job
from fuzz.series import REGISTRATION_DELAY_S, SeriesSimulation
from fuzz.simulation import WORKER_CPU_MILLI


class CapacitySimulation(SeriesSimulation):
    """A cell whose workers change their capacity."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, has_incarnation_list=True)

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker with its full capacity."""
        super().add_worker(name, machine)
        self.workers[name].failure_share = 0.0

    def resize_worker(self, name: str, cpu_milli: int) -> None:
        """Change the capacity of a worker, and write it to the store."""
        self.add_trace(f"fault: {name} has {cpu_milli} mCPU")
        worker = self.workers[name]
        worker.cpu_milli = cpu_milli
        self.record_capacity(name)
        entry = self.entries[name]
        self.entries[name] = self.past_entries[name] = type(entry)(
            entry.id,
            entry.service,
            entry.address,
            entry.zone,
            Resources(cpu_milli, 99_999),
            machine=entry.machine,
            incarnation_start_ms=entry.incarnation_start_ms,
        )
        self.schedule(REGISTRATION_DELAY_S, lambda: self._announce(name))


class CapacityHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = CapacitySimulation(seed)

    def run(self) -> CapacitySimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(self.simulation, self.rng, self._act, self._end_faults)
        return self.simulation

    def _end_faults(self) -> None:
        for name in self.simulation.entries:
            self.simulation.resize_worker(name, WORKER_CPU_MILLI)

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        names = sorted(simulation.entries)
        if draw < 0.5 and simulation.leaders:
            submit_random_job(simulation, rng, (1, 2, 4, 6), (500, 1000, 2500), 0.3)
        elif draw < 0.75:
            share = rng.choice((0.1, 0.25, 0.5, 0.75, 1.0, 1.0))
            name = rng.choice(names)
            simulation.resize_worker(name, round(WORKER_CPU_MILLI * share))
        elif draw < 0.78:
            simulation.restart_worker(rng.choice(names))
        elif draw < 0.82:
            simulation.take_over(rng.random() < 0.3, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.84:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0, 8.0)))


def run_capacity_history(seed: int) -> CapacitySimulation:
    """Run the history of a seed; return the simulation."""
    return CapacityHistory(seed).run().judge()
