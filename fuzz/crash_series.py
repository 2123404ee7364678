"""Simulate workers that crash by themselves again and again, by no task's fault.

Takes a seed; returns the simulation after its history, with its violations. About every
two seconds a tenth to a third of the workers crash, single or by rack, at times behind
a cut: they are unreachable first. Others are only cut off, or drain and leave, which is
no crash. Many start orders are carried out late or stay unanswered, and leaders are
killed one after the other. No task is deadly, or only a few are.

Checked is each job that is shown as failed: two workers really crashed under one of its
tasks. Sound jobs of which that is true are counted (``sound_failed_ids``). Afterwards
all others complete, and deadly tasks are given up as in ``deadly.py``.
"""

import random
import typing as t

from fuzz.deadly import DeadlySimulation, make_job, play_and_check
from fuzz.draining import DrainingSimulation

STEPS: t.Final = 80
RACK_SIZE: t.Final = 3


class CrashSeriesSimulation(DrainingSimulation, DeadlySimulation):
    """A cell in which orders are late, and workers are cut off, crash and leave."""

    late_start_share = 0.15
    lost_answer_share = 0.1

    def __init__(self, seed: int) -> None:
        self.cut_until_s: dict[str, float] = {}
        super().__init__(seed)

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker, on its machine."""
        if name in self.past_entries:
            machine = self.past_entries[name].machine
        super().add_worker(name, machine)

    def cut_off(self, name: str, duration_s: float) -> None:
        """Make a worker unreachable; that it has crashed does not show meanwhile."""
        self.cut_until_s[name] = self.now_s + duration_s
        self.isolate_worker(name, duration_s)

    def crash_behind_cut(self, name: str, crash_after_s: float) -> None:
        """Make a worker unreachable, and crash it after a while."""
        self.cut_off(name, crash_after_s + 1.0)
        worker = self.workers[name]

        def crash() -> None:
            if self.workers[name] is worker and worker.alive:
                self.crash_worker(name)

        self.schedule(crash_after_s, crash)

    def refuses_connections(self, name: str) -> bool:
        """Return whether it shows that no process listens at a worker's address."""
        is_cut = self.now_s < self.cut_until_s.get(name, 0.0)
        return not is_cut and super().refuses_connections(name)


class CrashSeriesHistory:
    """The random actions of a history."""

    def __init__(self, seed: int, deadly_share: float) -> None:
        self.rng = random.Random(seed)
        self.deadly_share = deadly_share
        self.simulation = CrashSeriesSimulation(seed)

    def run(self) -> CrashSeriesSimulation:
        """Run the history until a violation, then check all jobs."""
        play_and_check(self.simulation, self.rng, self._act, STEPS)
        return self.simulation

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw, names = rng.random(), self._list_registered()
        if draw < 0.5:
            self._submit()
        elif draw < 0.66 and names:
            self._crash_workers(names)
        elif draw < 0.69 and names:
            simulation.cut_off(rng.choice(names), rng.choice((1.0, 2.0, 4.0)))
        elif draw < 0.73 and names:
            simulation.drain_worker(rng.choice(names), rng.choice((1.0, 3.0)))
        elif draw < 0.79:
            simulation.take_over(rng.random() < 0.2, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.80:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0)))

    def _list_registered(self) -> list[str]:
        """Return the names of the workers that run and are registered, in order."""
        simulation = self.simulation
        return [name for name in simulation.list_alive() if name in simulation.entries]

    def _crash_workers(self, names: list[str]) -> None:
        """Crash a tenth to a third of the workers, single ones or of one rack."""
        simulation, rng = self.simulation, self.rng
        count = max(round(len(names) * rng.choice((0.1, 0.2, 0.33))), 1)
        if rng.random() < 0.4:
            rack = self._find_rack(rng.choice(names))
            names = [name for name in names if self._find_rack(name) == rack]
        is_behind_cut, crash_after_s = rng.random() < 0.3, rng.choice((0.5, 1.5, 3.0))
        for name in rng.sample(names, min(count, len(names))):
            if is_behind_cut:
                simulation.crash_behind_cut(name, crash_after_s)
            else:
                simulation.crash_worker(name)

    def _find_rack(self, name: str) -> int:
        machine = self.simulation.past_entries[name].machine
        return int(machine.removeprefix("w")) // RACK_SIZE

    def _submit(self) -> None:
        simulation, rng = self.simulation, self.rng
        if not simulation.leaders:
            return
        simulation.job_count += 1
        count, queue = rng.choice((1, 2, 4, 6)), rng.choice(("small", "large"))
        run_time_s = rng.choice((0.3, 0.8, 3.0))
        job_id, gang = f"j{simulation.job_count}", rng.random() < 0.3
        spec = make_job(job_id, count, run_time_s, gang)
        if rng.random() >= self.deadly_share:
            simulation.submit(spec, queue)
        else:
            simulation.submit_deadly(spec, queue, {rng.randrange(count): 0.01})


def run_crash_series_history(
    seed: int, deadly_share: float = 0.0
) -> CrashSeriesSimulation:
    """Run the history of a seed; return the simulation."""
    return CrashSeriesHistory(seed, deadly_share).run().judge()
