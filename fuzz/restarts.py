"""Play histories of workers that restart under their id and are cut off soon after.

Takes a seed; returns the simulation with its violations. Most tasks work for about as
long as the longest lease, so that a task that starts elsewhere too soon runs twice.
Workers are down so briefly that orders for the former incarnation reach the next one;
soon after, they are cut off, and the leader changes, at once or some time later.
"""

import random
import typing as t

from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.resources import Resources
from fuzz.histories import play_history
from fuzz.series import SeriesSimulation

DOWNTIMES_S: t.Final = (0.05, 0.3, 0.6, 1.0)
CUT_DELAYS_S: t.Final = (0.02, 0.2, 0.8, 2.0)
CUTS_S: t.Final = (3.0, 9.0, 12.0)


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
        if draw < 0.5:
            self._submit()
        elif draw < 0.6:
            self._restart_and_cut()
        elif draw < 0.63:
            simulation.take_over(rng.random() < 0.3, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.64:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0)))

    def _restart_and_cut(self) -> None:
        """Restart some workers and cut them off; often the leader changes, too."""
        simulation, rng = self.simulation, self.rng
        names = sorted(simulation.workers)
        names = rng.sample(names, rng.randint(1, len(names) // 2))
        down_s, cut_delay_s = rng.choice(DOWNTIMES_S), rng.choice(CUT_DELAYS_S)
        simulation.restart_and_cut(names, down_s, cut_delay_s, rng.choice(CUTS_S))
        if rng.random() < 0.6:
            change_s = down_s + rng.uniform(0.0, 1.5 * cut_delay_s)
            simulation.schedule(change_s, lambda: simulation.take_over(False))

    def _submit(self) -> None:
        simulation, rng = self.simulation, self.rng
        simulation.job_count += 1
        step = StepSpec(
            rng.choice((1, 2, 4)),
            Resources(rng.choice((500, 1000, 2500)), 10),
            rng.choice((0.8, 6.0, 9.0, 12.0)),
            gang=rng.random() < 0.15,
        )
        spec = JobSpec(f"j{simulation.job_count}", "p", (step,))
        simulation.submit(spec, rng.choice(("small", "large")))


def run_restarts_history(seed: int) -> RestartsSimulation:
    """Run the history of a seed; return the simulation."""
    return RestartsHistory(seed).run().judge()
