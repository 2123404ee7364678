"""Simulate queues that are sent to another service while accepted jobs wait and run.

Takes a seed; returns the simulation after its history, with its violations. Half of the
workers are of each of two services; all queues are sent to one of them, and at times to
the other, or there and back. Workers of the former service then drain and leave, some
for good. Jobs have one or two steps, gangs among them. Leaders learn of a configuration
early or late, change, and lose the store.

Checked is that all jobs end, and that none stands still while the workers of the
service that its queue is sent to have room. A leader that has learned of the
configuration orders no start at another service.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.liveness import MIN_INCARNATION_AGE_S
from fuzz.draining import REPLACEMENT_DELAYS_S, DrainingSimulation
from fuzz.histories import play_history
from fuzz.jobs import make_random_spec
from fuzz.leaders import SimLeader
from fuzz.series import CONFIG
from fuzz.terms import TermsSimulation
from fuzz.workers import SimWorker

SERVICES: t.Final = ("svc", "other")
FAILURE_SHARE: t.Final = 0.02
WORKERS_OF_EACH: t.Final = 6
# So many workers of a service stay, as the widest gang needs them.
MIN_KEPT_WORKERS: t.Final = 4
DRAIN_TIMES_S: t.Final = (1.0, 3.0)


class MovesSimulation(DrainingSimulation, TermsSimulation):
    """A cell of two services; the configuration sends all queues to one of them.

    Each order is carried out at once or not at all.
    """

    late_call_share = late_renewal_share = lost_answer_share = slow_stop_share = 0.0

    def __init__(self, seed: int) -> None:
        # By term: when its leader learned of the configuration that it has.
        self.learned_s: dict[int, float] = {}
        super().__init__(seed)
        for index in range(len(self.workers), WORKERS_OF_EACH * len(SERVICES)):
            self.add_worker(f"w{index}")

    @property
    def service(self) -> str:
        """Return where the newest configuration sends the queues."""
        return self.config.queues[0].service

    def service_of(self, machine: str) -> str:
        """Return the service of the workers of a machine."""
        return SERVICES[int(machine.removeprefix("w")) % len(SERVICES)]

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker of which few runs fail."""
        super().add_worker(name, machine)
        self.workers[name].failure_share = FAILURE_SHARE

    def send_queues(self, service: str) -> None:
        """Put a configuration in force that sends the queues to a service."""
        self._record_fault(f"queues are sent to {service}", 0.0)
        self._publish_queues(
            [dataclasses.replace(queue, service=service) for queue in CONFIG.queues]
        )

    def list_workers(self, service: str) -> list[str]:
        """Return the names of the workers of a service that may leave, in order.

        A leader that finds one gone believes so only of an incarnation of some age.
        """
        return sorted(
            name
            for name, entry in self.entries.items()
            if entry.service == service
            and not entry.draining
            and self.workers[name].alive
            and self.now_s - self.workers[name].started_s > MIN_INCARNATION_AGE_S
        )

    def takes_work(self, leader: SimLeader, name: str) -> bool:
        """Return whether a worker takes work from the queues, by its service."""
        is_of_service = self.past_entries[name].service == self.service
        return is_of_service and super().takes_work(leader, name)

    def on_learned(self, leader: SimLeader) -> None:
        """Record when a leader has learned of a configuration."""
        self.learned_s[leader.term] = self.now_s

    def on_started(self, leader: SimLeader, worker: SimWorker, run: t.Any) -> None:
        """Check that a start was not ordered at another service."""
        service = leader.cell.config.queues[0].service
        learned_s = self.learned_s.get(leader.term, float("inf"))
        if (
            run.ordered_s > learned_s
            and self.past_entries[worker.id].service != service
        ):
            self.oracle.record_violation(
                f"{'.'.join(map(str, run.task.key))} is ordered at {worker.id} "
                f"{run.ordered_s - learned_s:.2f} s after term {leader.term} learned "
                f"that its queue is sent to {service}"
            )


class MovesHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = MovesSimulation(seed)

    def run(self) -> MovesSimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(self.simulation, self.rng, self._act, self._end_faults)
        return self.simulation

    def _end_faults(self) -> None:
        """Move the queues once more, while jobs wait; no former worker stays."""
        simulation = self.simulation
        for _ in range(8):
            self._submit()
        former = simulation.service
        self._move()
        for name in simulation.list_workers(former):
            simulation.drain_worker(name, self.rng.choice(DRAIN_TIMES_S), (None,))

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        if draw < 0.55:
            self._submit()
        elif draw < 0.61:
            self._move()
            if rng.random() < 0.3:
                simulation.advance(rng.choice((0.1, 1.0)))
                self._move()
        elif draw < 0.66:
            self._take_away()
        elif draw < 0.71:
            simulation.take_over(rng.random() < 0.2, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.73:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0)))

    def _submit(self) -> None:
        simulation, rng = self.simulation, self.rng
        if simulation.leaders:
            simulation.job_count += 1
            spec = make_random_spec(rng, f"j{simulation.job_count}")
            simulation.submit(spec, rng.choice(("small", "large")))

    def _move(self) -> None:
        simulation = self.simulation
        (service,) = (name for name in SERVICES if name != simulation.service)
        simulation.send_queues(service)

    def _take_away(self) -> None:
        """Let workers drain and leave, of the service without queues for good."""
        simulation, rng = self.simulation, self.rng
        service = rng.choice(SERVICES)
        names = simulation.list_workers(service)
        leaving = names[MIN_KEPT_WORKERS:]
        is_former = service != simulation.service
        delays_s = (None,) if is_former else REPLACEMENT_DELAYS_S
        for name in rng.sample(leaving, min(len(leaving), rng.choice((1, 2)))):
            simulation.drain_worker(name, rng.choice(DRAIN_TIMES_S), delays_s)


def run_moves_history(seed: int) -> MovesSimulation:
    """Run the history of a seed; return the simulation."""
    return MovesHistory(seed).run().judge()
