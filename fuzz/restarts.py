"""Play histories of workers that restart under their id and are cut off soon after.

Takes a seed; returns the simulation with its violations. Most tasks work for about as
long as the longest lease, so that a task that starts elsewhere too soon runs twice.
Workers are down so briefly that orders for the former incarnation come when the next
one is up; soon after, they are cut off, and the leader changes, at once or later.
"""

import random
import typing as t

from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.resources import Resources
from fuzz.histories import play_history
from fuzz.series import SeriesSimulation

DOWNTIMES_S: t.Final = (0.05, 0.3, 0.6, 1.0)
CUT_DELAYS_S: t.Final = (0.02, 0.2, 0.8, 1.2, 2.0)
CUTS_S: t.Final = (3.0, 12.0, 20.0)
# The leader changes so long after the cut, before it, or not at all.
CHANGE_DELAYS_S: t.Final = (-0.6, -0.6, 0.0, 0.05, None)
SHORT_TASKS_S: t.Final = (0.3, 0.8)
# About as long as the longest lease.
LONG_TASKS_S: t.Final = (11.0, 16.0)


class RestartsSimulation(SeriesSimulation):
    """A cell in which workers restart under their id within a short time."""

    late_start_share = 0.1
    late_renewal_share = 0.1

    def __init__(self, seed: int) -> None:
        super().__init__(seed, has_incarnation_list=True)

    def restart_and_cut(
        self, names: list[str], down_s: float, cut_delay_s: float, cut_s: float
    ) -> None:
        """Restart workers, and cut them off some time after they are up again."""
        for name in names:
            self.restart_worker(name)
            self.workers[name].unreachable_until_s = self.now_s + down_s

        def cut() -> None:
            for name in names:
                self.isolate_worker(name, cut_s)

        self.schedule(down_s + cut_delay_s, cut)


class RestartsHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = RestartsSimulation(seed)

    def run(self) -> RestartsSimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(self.simulation, self.rng, self._act, lambda: None)
        return self.simulation

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        if draw < 0.2:
            self._submit(SHORT_TASKS_S)
        elif draw < 0.23:
            self._restart_and_cut()
        elif draw < 0.24:
            simulation.take_over(rng.random() < 0.3, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.25:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0)))

    def _restart_and_cut(self) -> None:
        """Restart workers, start long tasks there, and cut them off.

        The leader changes before that, soon after it, or not at all.
        """
        simulation, rng = self.simulation, self.rng
        names = sorted(simulation.workers)
        names = rng.sample(names, rng.choice((1, len(names) // 2, len(names) - 1)))
        down_s, cut_delay_s = rng.choice(DOWNTIMES_S), rng.choice(CUT_DELAYS_S)
        simulation.restart_and_cut(names, down_s, cut_delay_s, rng.choice(CUTS_S))
        for _ in range(3):
            submit_s = down_s - rng.choice((0.0, 0.05, 0.1))
            simulation.schedule(submit_s, lambda: self._submit(LONG_TASKS_S))
        change_delay_s = rng.choice(CHANGE_DELAYS_S)
        if change_delay_s is not None:
            change_s = down_s + max(cut_delay_s + change_delay_s, 0.0)
            simulation.schedule(change_s, lambda: simulation.take_over(False))

    def _submit(self, run_times_s: t.Sequence[float]) -> None:
        simulation, rng = self.simulation, self.rng
        simulation.job_count += 1
        step = StepSpec(
            rng.choice((1, 4, 8)),
            Resources(rng.choice((500, 1000)), 10),
            rng.choice(run_times_s),
            gang=rng.random() < 0.15,
        )
        spec = JobSpec(f"j{simulation.job_count}", "p", (step,))
        simulation.submit(spec, rng.choice(("small", "large")))


def run_restarts_history(seed: int) -> RestartsSimulation:
    """Run the history of a seed; return the simulation."""
    return RestartsHistory(seed).run().judge()
