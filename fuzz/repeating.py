"""Play histories of repeating jobs over leaders that change in series.

Occurrences are made by each leader's own clock and are stored only with some progress,
so the next leader may know none of those that are at work. Takes a seed; returns the
simulation with its violations, among them starts before an occurrence is due.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.job_specs import JobSpec
from bulrushspur_scheduler.progress import (
    MAX_OCCURRENCE_LEAD_S,
    start_all_due_occurrences,
)
from fuzz.leaders import SimLeader
from fuzz.series import SeriesHistory, SeriesSimulation
from fuzz.workers import SimWorker

# By how much the clocks of leaders may be off.
CLOCK_OFFSETS_S: t.Final = (0.0, 0.0, 0.4, -0.4, 2.0)
MAX_OFFSET_S: t.Final = 2.0
REPEATING_SHARE: t.Final = 0.6


class RepeatingSimulation(SeriesSimulation):
    """A series simulation whose leaders start occurrences by clocks of their own."""

    def __init__(self, seed: int, has_incarnation_list: bool = True) -> None:
        self.clock_rng = random.Random(seed)
        self.offsets_s: dict[int, float] = {}
        super().__init__(seed, has_incarnation_list)

    def _tick(self, leader: SimLeader) -> None:
        offset_s = self.offsets_s.get(leader.term)
        if offset_s is None:
            offset_s = self.clock_rng.choice(CLOCK_OFFSETS_S)
            self.offsets_s[leader.term] = offset_s
        if self.has_authority(leader):
            start_all_due_occurrences(leader.cell, self.now_s, self.now_s + offset_s)
        super()._tick(leader)

    def on_started(self, leader: SimLeader, worker: SimWorker, run: t.Any) -> None:
        """Check that the occurrence of a start is due."""
        spec = run.task.step.job.spec
        due_s = spec.start_at_s + run.task.key.occurrence * spec.interval_s
        earliest_s = due_s - MAX_OCCURRENCE_LEAD_S - MAX_OFFSET_S
        if spec.repeat_count and self.now_s < earliest_s:
            self.oracle.record_violation(
                f"{run.task.key} starts at {self.now_s:.2f}, due at {due_s:.2f}"
            )
        super().on_started(leader, worker, run)


class RepeatingHistory(SeriesHistory):
    """The random actions of a history in which most jobs repeat."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = RepeatingSimulation(seed, self.rng.random() < 0.7)

    def _make_spec(self, job_id: str) -> JobSpec:
        spec, rng = super()._make_spec(job_id), self.rng
        if rng.random() > REPEATING_SHARE:
            return spec
        return dataclasses.replace(
            spec,
            start_at_s=self.simulation.now_s + rng.choice((-3.0, 0.0, 0.5, 2.0)),
            interval_s=rng.choice((0.0, 0.5, 2.0, 6.0)),
            repeat_count=rng.choice((1, 2, 4)),
        )


def run_repeating_history(seed: int) -> RepeatingSimulation:
    """Run the history of a seed; return the simulation."""
    simulation = RepeatingHistory(seed).run().judge()
    assert isinstance(simulation, RepeatingSimulation)
    return simulation
