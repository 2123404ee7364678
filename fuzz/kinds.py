"""Play histories of workers that restart under their id as ones of another kind.

Takes a seed; returns the simulation with its violations. Some workers are of one kind
for good, the others get a kind with each incarnation. A leader reads the entry of an
incarnation later than its first report, in an outage of the store much later. Of the
jobs, half require a kind.

Checked is that no task starts on a worker without the label that it requires, that all
jobs end, and that none stands still while workers that may run it have room.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.jobs import Step
from bulrushspur_scheduler.resources import Resources
from fuzz.histories import play_history
from fuzz.leaders import SimLeader
from fuzz.restarts import DOWNTIMES_S, RestartsSimulation
from fuzz.workers import SimWorker

KINDS: t.Final = ("a", "b")
# The first workers have these kinds for good.
CONSTANT_KINDS: t.Final = {"w0": "a", "w1": "a", "w2": "b", "w3": "b"}
RUN_TIMES_S: t.Final = (0.3, 0.8, 3.0)
# From the start of an incarnation until a leader reads its entry.
ENTRY_DELAYS_S: t.Final = (0.1, 0.5, 1.5)
REQUIRING_SHARE: t.Final = 0.5
GANG_SHARE: t.Final = 0.15


class KindsSimulation(RestartsSimulation):
    """A cell in which a worker that restarts may be of another kind."""

    def __init__(self, seed: int) -> None:
        self.kind_rng = random.Random(seed)
        # When the entry of the present incarnation can be read, by worker.
        self.registered_s: dict[str, float] = {}
        super().__init__(seed)

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker, of the kind of its machine or any."""
        super().add_worker(name, machine)
        kind = CONSTANT_KINDS.get(name) or self.kind_rng.choice(KINDS)
        self.entries[name] = self.past_entries[name] = dataclasses.replace(
            self.entries[name], labels=(kind, "r1")
        )
        self.registered_s[name] = self.now_s + self.kind_rng.choice(ENTRY_DELAYS_S)

    def _announce(self, name: str) -> None:
        delay_s = self.registered_s[name] - self.now_s
        if delay_s > 0:
            self.schedule(delay_s, lambda: self._announce(name))
        else:
            super()._announce(name)

    def has_label(self, step: Step, name: str) -> bool:
        """Return whether the present incarnation of a worker has a step's label."""
        return step.spec.accepts_labels(self.past_entries[name].labels)

    def on_started(self, leader: SimLeader, worker: SimWorker, run: t.Any) -> None:
        """Check that the worker has the label that the task requires."""
        if not self.has_label(run.task.step, worker.id):
            self.oracle.record_violation(
                f"{'.'.join(map(str, run.task.key))} requires "
                f"{run.task.step.spec.required_label} and starts on {worker.id} "
                f"at {self.now_s:.2f}, which does not have it"
            )


class KindsHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = KindsSimulation(seed)

    def run(self) -> KindsSimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(self.simulation, self.rng, self._act, lambda: None)
        return self.simulation

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        if draw < 0.5:
            self._submit()
        elif draw < 0.62:
            self._restart()
        elif draw < 0.64:
            simulation.take_over(rng.random() < 0.2, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.66:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0)))

    def _restart(self) -> None:
        simulation, rng = self.simulation, self.rng
        name = rng.choice(sorted(simulation.workers))
        simulation.restart_worker(name)
        up_s = simulation.now_s + rng.choice(DOWNTIMES_S)
        simulation.workers[name].unreachable_until_s = up_s

    def _submit(self) -> None:
        simulation, rng = self.simulation, self.rng
        simulation.job_count += 1
        step = StepSpec(
            rng.choice((1, 8, 16)),
            Resources(rng.choice((500, 1000)), 10),
            rng.choice(RUN_TIMES_S),
            gang=rng.random() < GANG_SHARE,
            required_label=rng.choice(KINDS) if rng.random() < REQUIRING_SHARE else "",
        )
        spec = JobSpec(f"j{simulation.job_count}", "p", (step,))
        simulation.submit(spec, rng.choice(("small", "large")))


def run_kinds_history(seed: int) -> KindsSimulation:
    """Run the history of a seed; return the simulation."""
    return KindsHistory(seed).run().judge()
