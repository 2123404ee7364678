"""Simulate evacuations of failure domains beside other faults.

Takes a seed; returns the simulation after its history, with its violations. A history
has jobs, gangs among them, two failure domains that are evacuated and restored, also
both at once, changes of the leader, outages of the store and workers that restart.

Checked is each start: the newest leader orders none in a domain later than EVACUATION_S
after its evacuation, or after the store is back if it was away then.
Afterwards all jobs complete, and none stands still.
"""

import dataclasses
import random
import typing as t

from bulrushspur_scheduler.evacuation import log_changes
from fuzz.histories import play_history, submit_random_job
from fuzz.leaders import SimLeader
from fuzz.series import REGISTRATION_DELAY_S, SeriesSimulation
from fuzz.workers import SimWorker

DOMAINS: t.Final = ("north", "south")
EVACUATION_S: t.Final = 1.5


class EvacuationSimulation(SeriesSimulation):
    """A cell with two failure domains."""

    def __init__(self, seed: int) -> None:
        # The domains under evacuation, and from when on nothing may start there.
        self.evacuated_by_s: dict[str, float] = {}
        super().__init__(seed, has_incarnation_list=True)

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker; its machine stays in one domain."""
        super().add_worker(name, machine)
        self.workers[name].failure_share = 0.0
        domain = DOMAINS[int((machine or name).removeprefix("w")) % len(DOMAINS)]
        entry = dataclasses.replace(self.entries[name], zone=domain)
        self.entries[name] = self.past_entries[name] = entry

    def evacuate(self, domain: str) -> None:
        """Request the evacuation of a domain; does nothing if it is in force."""
        if domain in self.evacuated_by_s:
            return
        self._record_fault(f"{domain} is evacuated", 0.0)
        in_force_s = max(self.now_s, self.store.unavailable_until_s) + EVACUATION_S
        self.evacuated_by_s[domain] = in_force_s
        self._announce_evacuations()

    def restore(self, domain: str) -> None:
        """Take the request back."""
        if self.evacuated_by_s.pop(domain, None) is not None:
            self._record_fault(f"{domain} is restored", 0.0)
            self._announce_evacuations()

    def make_store_unavailable(self, duration_s: float) -> None:
        """Make the store unavailable; requests that are not read yet come later."""
        super().make_store_unavailable(duration_s)
        for domain, by_s in self.evacuated_by_s.items():
            if by_s > self.now_s:
                self.evacuated_by_s[domain] = by_s + duration_s + EVACUATION_S

    def _announce_evacuations(self) -> None:
        delay_s = max(self.store.unavailable_until_s - self.now_s, 0.0)
        self.schedule(delay_s + REGISTRATION_DELAY_S, self._apply_evacuations)

    def _apply_evacuations(self) -> None:
        if self.now_s < self.store.unavailable_until_s:
            self._announce_evacuations()
            return
        for leader in self.leaders:
            if not leader.loading and not leader.store_unreachable:
                self._configure(leader)

    def _configure(self, leader: SimLeader) -> None:
        before = leader.cell.config
        domains = frozenset(self.evacuated_by_s)
        leader.cell.config = dataclasses.replace(before, evacuated_domains=domains)
        log_changes(leader.cell, before)

    def _begin_to_serve(self, leader: SimLeader, stored: dict[str, bytes]) -> None:
        super()._begin_to_serve(leader, stored)
        self._configure(leader)

    def takes_work(self, leader: SimLeader, name: str) -> bool:
        """Return whether a leader reaches a worker outside the evacuated domains."""
        is_evacuated = self.past_entries[name].zone in self.evacuated_by_s
        return not is_evacuated and super().takes_work(leader, name)

    def on_started(self, leader: SimLeader, worker: SimWorker, run: t.Any) -> None:
        """Check that the worker's domain is not evacuated, or has been just now."""
        if leader is not self.leaders[-1] or leader.store_unreachable:
            return
        domain = self.past_entries[worker.id].zone
        if run.ordered_s > self.evacuated_by_s.get(domain, float("inf")):
            key = ".".join(map(str, run.task.key))
            self.oracle.record_violation(
                f"{key} starts in {domain} at {self.now_s:.2f}, which is evacuated"
            )


class EvacuationHistory:
    """The random actions of a history."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = EvacuationSimulation(seed)

    def run(self) -> EvacuationSimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(self.simulation, self.rng, self._act, self._end_faults)
        return self.simulation

    def _end_faults(self) -> None:
        for domain in DOMAINS:
            self.simulation.restore(domain)

    def _act(self) -> None:
        simulation, rng = self.simulation, self.rng
        draw = rng.random()
        if draw < 0.5 and simulation.leaders:
            submit_random_job(simulation, rng, (1, 2, 4, 12), (500, 1000, 2000), 0.4)
        elif draw < 0.62:
            simulation.evacuate(rng.choice(DOMAINS))
        elif draw < 0.72:
            simulation.restore(rng.choice(DOMAINS))
        elif draw < 0.75:
            simulation.restart_worker(rng.choice(sorted(simulation.entries)))
        elif draw < 0.80:
            simulation.take_over(rng.random() < 0.3, rng.choice((0.0, 0.3, 2.0)))
        elif draw < 0.83:
            simulation.make_store_unavailable(rng.choice((0.5, 2.0, 8.0)))


def run_evacuation_history(seed: int) -> EvacuationSimulation:
    """Run the history of a seed; return the simulation."""
    return EvacuationHistory(seed).run().judge()
