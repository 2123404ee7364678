"""Play histories in which clients cancel many jobs, some before they were received.

Takes a seed; returns the simulation with its violations. Most jobs checkpoint, and many
are wide, gangs or long. Gateways hold some submissions for seconds, while the job is
cancelled through another one. Many orders are carried out late; workers restart or are
cut off, and leaders and the store fail, in turn with calm stretches, in which all that
was cancelled has to be stopped in time. Afterwards all jobs end.
"""

import random
import typing as t

from bulrushspur_scheduler.early_cancels import (
    EARLY_CANCEL_KEY_PREFIX,
    add_early_cancel,
    encode_early_cancel,
)
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.resources import Resources
from fuzz.histories import play_history
from fuzz.series import SeriesSimulation

ACCOUNT: t.Final = "team"
CANCEL_DELAYS_S: t.Final = (0.1, 0.5, 2.0, 5.0)
HOLDING_DELAYS_S: t.Final = (0.5, 2.0, 4.0, 8.0)
# Of so many actions the last ones are calm.
ROUND_STEPS: t.Final = 40
CALM_STEPS: t.Final = 27


class CancelsSimulation(SeriesSimulation):
    """A cell in which cancels of jobs that were not received yet are remembered."""

    late_start_share = 0.15

    def __init__(self, seed: int) -> None:
        super().__init__(seed, has_incarnation_list=True)

    def cancel(self, job_id: str) -> None:
        """Cancel a job, which may not have been received yet, or has ended."""
        if not self.leaders or self.leaders[-1].loading:
            return
        leader = self.leaders[-1]
        if job_id in leader.cell.jobs or self.now_s < self.store.unavailable_until_s:
            super().cancel(job_id)
            return
        if job_id in leader.cell.finished_jobs:
            self.record_cancel(job_id, 200)
            return
        self.add_trace(f"{job_id} is cancelled before it was received")
        add_early_cancel(leader.cell, job_id, ACCOUNT, self.now_s)
        cancel = leader.cell.early_cancels[job_id]
        record = encode_early_cancel(cancel, self.now_s, self.now_s)
        self.store.records[EARLY_CANCEL_KEY_PREFIX + job_id] = record
        self.record_cancel(job_id, 410)


class CancelsHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = CancelsSimulation(seed)
        self.step_count = 0

    def run(self) -> CancelsSimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(self.simulation, self.rng, self._act, lambda: None)
        return self.simulation

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        self.step_count += 1
        is_calm = self.step_count % ROUND_STEPS > ROUND_STEPS - CALM_STEPS
        names = sorted(simulation.workers)
        if draw < 0.4 and simulation.leaders:
            self._submit()
        elif draw < 0.6 or is_calm:
            return
        elif draw < 0.70:
            simulation.restart_worker(rng.choice(names))
        elif draw < 0.82:
            simulation.isolate_worker(rng.choice(names), rng.choice((0.5, 3.0, 7.0)))
        elif draw < 0.95:
            simulation.take_over(rng.random() < 0.5, rng.choice((0.0, 0.3, 2.0)))
        else:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0, 5.0)))

    def _submit(self) -> None:
        """Submit a job, and cancel it some time after that, or not at all."""
        simulation, rng = self.simulation, self.rng
        simulation.job_count += 1
        job_id = f"j{simulation.job_count}"
        held_s = rng.choice(HOLDING_DELAYS_S) if rng.random() < 0.2 else 0.0
        queue = rng.choice(("small", "large"))
        simulation.submit(self._make_spec(job_id), queue, held_s=held_s)
        if rng.random() < 0.6:
            delay_s = rng.choice(CANCEL_DELAYS_S)
            simulation.schedule(delay_s, lambda: simulation.cancel(job_id))

    def _make_spec(self, job_id: str) -> JobSpec:
        rng = self.rng
        steps = tuple(
            StepSpec(
                rng.choice((1, 2, 4, 8)),
                Resources(rng.choice((500, 1000, 2500)), 10),
                rng.choice((0.8, 3.0, 8.0)),
                (0,) if index else (),
                gang=rng.random() < 0.3,
                checkpointing=rng.random() < 0.7,
            )
            for index in range(rng.choice((1, 1, 2)))
        )
        return JobSpec(job_id, "p", steps)


def run_cancels_history(seed: int) -> CancelsSimulation:
    """Run the history of a seed; return the simulation."""
    return CancelsHistory(seed).run().judge()
