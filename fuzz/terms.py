"""Simulate configurations that change while jobs of their queues wait and run.

Takes a seed; returns the simulation after its history, with its violations. A history
has jobs, gangs among them, many runs that fail by themselves, configurations without a
queue, with fewer or more attempts, and with all back as it was, changes of the leader
and outages of the store. Leaders learn of a configuration early or late, and some new
ones begin with the one before. No worker crashes.

Checked is each job that is shown as failed: one of its tasks, or gangs, has failed as
often as its queue promised when the job was accepted. Afterwards all jobs end, also
those of queues that are gone, and none stands still.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.attempts import follow_configuration
from bulrushspur_scheduler.config import CellConfig, Queue, make_config
from bulrushspur_scheduler.job_specs import JobSpec
from fuzz.histories import play_history, submit_random_job
from fuzz.leaders import SimLeader
from fuzz.series import CONFIG, SeriesSimulation

FAILURE_SHARE: t.Final = 0.3
LEARNING_DELAYS_S: t.Final = (0.05, 0.05, 0.4, 2.0, 6.0)
# Attempts of a queue, or None where the configuration lacks it.
ATTEMPTS: t.Final = (None, None, 1, 2, 3, 3, 4, 5)


class TermsSimulation(SeriesSimulation):
    """A cell with a configuration that changes; callers meet the newest one."""

    def __init__(self, seed: int) -> None:
        self.config = self.previous_config = CONFIG
        self.learning_rng = random.Random(f"learning {seed}")
        super().__init__(seed, has_incarnation_list=True)

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker of which many runs fail."""
        super().add_worker(name, machine)
        self.workers[name].failure_share = FAILURE_SHARE

    def publish(self, attempts: dict[str, int | None]) -> None:
        """Put a configuration into force; queues without attempts are not in it."""
        self._record_fault(f"attempts are {attempts}", 0.0)
        queues = [
            _with_attempts(queue, attempts[queue.name])
            for queue in CONFIG.queues
            if attempts[queue.name]
        ]
        self._publish_queues(queues)

    def _publish_queues(self, queues: t.Sequence[Queue]) -> None:
        self.previous_config = self.config
        self.config = make_config(
            self.config.version + 1, tuple(queues), accounts=CONFIG.accounts
        )
        for leader in self.leaders:
            self._learn_later(leader, self.config)

    def _learn_later(self, leader: SimLeader, config: CellConfig) -> None:
        delay_s = self.learning_rng.choice(LEARNING_DELAYS_S)
        outage_s = max(self.store.unavailable_until_s - self.now_s, 0.0)
        self.disturb(outage_s + delay_s, f"configuration {config.version}")

        def learn() -> None:
            if not leader.ended and config.version > leader.cell.config.version:
                self.add_trace(f"term {leader.term} learns {config.version}")
                leader.cell.config = config
                self.on_learned(leader)
                follow_configuration(leader.cell, self.now_s)

        self.schedule(outage_s + delay_s, learn)

    def on_learned(self, leader: SimLeader) -> None:
        """React to a leader that has learned of a configuration."""

    def _begin_to_serve(self, leader: SimLeader, stored: dict[str, bytes]) -> None:
        if self.learning_rng.random() < 0.3:
            leader.cell.config = leader.cell.first_config = self.previous_config
        super()._begin_to_serve(leader, stored)
        self._learn_later(leader, self.config)

    def submit(self, spec: JobSpec, queue: str, account: str = "team") -> None:
        """Submit a job, unless the newest configuration lacks its queue."""
        if queue in self.config.queue_by_name:
            super().submit(spec, queue, account)


def _with_attempts(queue: Queue, max_attempts: int | None) -> Queue:
    assert max_attempts
    return dataclasses.replace(queue, max_attempts=max_attempts)


class TermsHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = TermsSimulation(seed)

    def run(self) -> TermsSimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(self.simulation, self.rng, self._act, self._end_faults)
        return self.simulation

    def _end_faults(self) -> None:
        attempts = self.rng.choice((None, 3))
        self.simulation.publish(dict.fromkeys(CONFIG.queue_by_name, attempts))

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        if draw < 0.5 and simulation.leaders:
            submit_random_job(simulation, rng, (1, 1, 2, 4), (500, 1000, 2000), 0.3)
        elif draw < 0.58:
            simulation.publish(
                {name: rng.choice(ATTEMPTS) for name in CONFIG.queue_by_name}
            )
        elif draw < 0.62:
            simulation.publish(dict.fromkeys(CONFIG.queue_by_name, 3))
        elif draw < 0.67:
            simulation.take_over(rng.random() < 0.3, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.69:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0, 8.0)))


def run_terms_history(seed: int) -> TermsSimulation:
    """Run the history of a seed; return the simulation."""
    return TermsHistory(seed).run().judge()
