"""Simulate workers that drain and leave, beside what else a simulation does to them."""

import dataclasses
import typing as t

from bulrushspur_daemon.worker_watch import apply_entry
from fuzz.leaders import SimLeader
from fuzz.series import REGISTRATION_DELAY_S, SeriesSimulation

# Times until another worker follows on the machine.
REPLACEMENT_DELAYS_S: t.Final = (2.0, 3.0, 3.5)


class DrainingSimulation(SeriesSimulation):
    """A cell whose workers say that they drain, stay for a while, and leave."""

    def drain_worker(
        self,
        name: str,
        stays_s: float,
        delays_s: t.Sequence[float | None] = REPLACEMENT_DELAYS_S,
    ) -> None:
        """Let a worker drain and leave, with what still runs; another one follows.

        ``delays_s`` are the times after which it may follow; None stands for never.
        """
        self._record_fault(f"{name} drains for {stays_s:.1f} s", stays_s)
        worker = self.workers[name]
        self.entries[name] = self.past_entries[name] = dataclasses.replace(
            self.entries[name], draining=True, drain_remaining_s=stays_s
        )
        self.schedule(REGISTRATION_DELAY_S, lambda: self._announce(name))

        def leave() -> None:
            if self.workers[name] is worker and worker.alive:
                self._record_fault(f"{name} leaves", 0.0)
                worker.advance(self.now_s)
                worker.leave()
                self._remove_worker(name, self.rng.choice(delays_s))

        self.schedule(stays_s, leave)

    def _load_workers(self, leader: SimLeader) -> list[str]:
        rv = super()._load_workers(leader)
        for entry in self.entries.values():
            if entry.draining:
                apply_entry(leader.cell, entry, self.now_s, lambda worker: None)
        return rv

    def takes_work(self, leader: SimLeader, name: str) -> bool:
        """Return whether a leader reaches a worker that does not drain."""
        is_draining = self.past_entries[name].draining
        return not is_draining and super().takes_work(leader, name)
