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
from fuzz.calls import MAX_LATE_S, MIN_LATE_S, CallLinks
from fuzz.histories import COMPLETION_TIMEOUT_S, play_history
from fuzz.leaders import SimLeader
from fuzz.lease_bound import find_short_waits
from fuzz.series import REGISTRATION_DELAY_S, SeriesSimulation
from fuzz.workers import SimWorker

DOWNTIMES_S: t.Final = (0.05, 0.3, 0.6, 1.0)
CUT_DELAYS_S: t.Final = (0.02, 0.2, 0.8, 1.2, 2.0)
CUTS_S: t.Final = (3.0, 12.0, 20.0)
# The leader changes so long after the cut, before it, or not at all.
CHANGE_DELAYS_S: t.Final = (-0.6, -0.6, 0.0, 0.05, None)
SHORT_TASKS_S: t.Final = (0.3, 0.8)
# About as long as the longest lease.
LONG_TASKS_S: t.Final = (11.0, 16.0)
# A worker restarts again so long after it is up, or tasks start so long before.
AGAIN_SHARE: t.Final = 0.4
AGAIN_DELAYS_S: t.Final = (0.05, 0.3, 0.8, 1.5, 5.0)
SURVIVING_SHARE: t.Final = 0.3
BEFORE_RESTART_S: t.Final = (0.2, 0.6, 1.5)
# A worker that crashed after a stop is in trouble for so long.
TROUBLE_S: t.Final = 4.0
# The entry of a worker that is cut off lapses after three heartbeat intervals.
LAPSE_SHARE: t.Final = 0.3
LAPSE_S: t.Final = 2.0


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

    completion_timeout_s = COMPLETION_TIMEOUT_S

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = RestartsSimulation(seed)

    def run(self) -> RestartsSimulation:
        """Run the history until a violation, then check that all jobs end."""
        play_history(
            self.simulation,
            self.rng,
            self._act,
            lambda: None,
            self.completion_timeout_s,
        )
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
            simulation.schedule(change_s, self._change_leader)

    def _change_leader(self) -> None:
        self.simulation.take_over(False)

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


class LateOrdersSimulation(CallLinks, RestartsSimulation):
    """A cell whose orders reach any incarnation, and whose clocks start anywhere."""

    def __init__(self, seed: int) -> None:
        self.init_calls(seed)
        self.crashed_after_stop: set[str] = set()
        # Runs that the newest leader would not wait for long enough.
        self.short_waits: dict[str, str] = {}
        super().__init__(seed)

    def add_worker(self, name: str, machine: str = "") -> None:
        """Start an incarnation of a worker, with a clock of its own."""
        former = self.workers.get(name)
        super().add_worker(name, machine)
        self.workers[name].first_clock_ms = self._draw_first_clock_ms(former)

    def _tick(self, leader: SimLeader) -> None:
        super()._tick(leader)
        is_newest = bool(self.leaders) and leader is self.leaders[-1]
        if is_newest and not (leader.ended or leader.cell.superseded):
            self._check_waits(leader)

    def _check_waits(self, leader: SimLeader) -> None:
        """Record each run whose lease the leader would not outwait.

        A history goes on after it: its task need not run twice.
        """
        for name, worker in self.workers.items():
            worker.advance(self.now_s)
            sentences = find_short_waits(
                leader.cell, name, worker.runs, worker.lease_end_s, self.now_s
            )
            for sentence in sentences:
                run_name = sentence.partition(" has a lease")[0]
                self.short_waits.setdefault(run_name, sentence)

    def _draw_first_clock_ms(self, former: SimWorker | None) -> int:
        """Draw a clock that is low, far ahead, or near the former one."""
        rng = self.order_rng
        draws = [rng.randint(0, 2_000), rng.randint(10**7, 10**9)]
        if former is not None:
            draws.append(former.clock_ms(self.now_s) + rng.randint(-3_000, 3_000))
        return max(rng.choice(draws), 0)

    def restart_and_cut(
        self, names: list[str], down_s: float, cut_delay_s: float, cut_s: float
    ) -> None:
        """Restart workers, once or twice, and cut them off; they may be mute before."""
        super().restart_and_cut(names, down_s, cut_delay_s, cut_s)
        rng, cut_after_s = self.order_rng, down_s + cut_delay_s
        is_kept, is_mute = rng.random() < 0.5, rng.random() < 0.5
        self.crashed_after_stop.difference_update(names)
        for name in names:
            self.kept_connections[name] = is_kept
            self.down_until_s[name] = self.now_s + down_s
            self.troubled_until_s[name] = self.now_s + cut_after_s
            if is_mute:
                self.mute_until_s[name] = self.now_s + cut_after_s
        if rng.random() < AGAIN_SHARE:
            again_s = down_s + rng.choice(AGAIN_DELAYS_S)
            self.schedule(again_s, lambda: self._restart_again(names))
        if cut_s > LAPSE_S and rng.random() < LAPSE_SHARE:
            for name in names:
                self._lapse_entry(name, cut_after_s + LAPSE_S, cut_after_s + cut_s)

    def on_slow_stop(self, worker: SimWorker) -> None:
        """Restart a worker in trouble once before its answer comes."""
        name = worker.id
        if self.is_troubled(name) and name not in self.crashed_after_stop:
            self.crashed_after_stop.add(name)
            self.troubled_until_s[name] = self.now_s + TROUBLE_S
            self._restart_again([name], DOWNTIMES_S[0])

    def draw_late_stop_s(self, name: str) -> float:
        """Return after how long a stop is carried out; late after such a crash."""
        if self.is_troubled(name) and name in self.crashed_after_stop:
            return self.order_rng.uniform(MIN_LATE_S, MAX_LATE_S)
        return super().draw_late_stop_s(name)

    def _restart_again(self, names: list[str], down_s: float | None = None) -> None:
        """Restart workers again, also behind a cut that goes on."""
        if down_s is None:
            down_s = self.order_rng.choice(DOWNTIMES_S)
        up_s = self.now_s + down_s
        for name in names:
            cut_until_s = self.workers[name].unreachable_until_s
            self.restart_worker(name)
            self.down_until_s[name] = up_s
            self.workers[name].unreachable_until_s = max(cut_until_s, up_s)

    def _lapse_entry(self, name: str, lapse_s: float, back_s: float) -> None:
        """Remove the entry of a worker that is cut off; it registers again after."""

        def register() -> None:
            self.entries[name] = self.past_entries[name]
            self._announce(name)

        self.schedule(lapse_s, lambda: self._unregister(name))
        self.schedule(back_s + REGISTRATION_DELAY_S, register)


class LateOrdersHistory(RestartsHistory):
    """A history whose tasks are often started just before a restart, too."""

    # Workers are silent for longer, and the tasks are long.
    completion_timeout_s = 300.0

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = LateOrdersSimulation(seed)

    def _change_leader(self) -> None:
        self.simulation.take_over(self.rng.random() < SURVIVING_SHARE)

    def _restart_and_cut(self) -> None:
        simulation, rng = self.simulation, self.rng
        if rng.random() < 0.5:
            super()._restart_and_cut()
            return
        before_s = rng.choice(BEFORE_RESTART_S)
        for name in simulation.workers:
            simulation.troubled_until_s[name] = simulation.now_s + before_s
        for _ in range(3):
            self._submit(LONG_TASKS_S)
        simulation.schedule(before_s, super()._restart_and_cut)


def run_restarts_history(seed: int) -> RestartsSimulation:
    """Run the history of a seed; return the simulation."""
    return RestartsHistory(seed).run().judge()


def run_late_orders_history(seed: int) -> LateOrdersSimulation:
    """Run the history of a seed, whose orders reach any incarnation."""
    simulation = LateOrdersHistory(seed).run().judge()
    assert isinstance(simulation, LateOrdersSimulation)
    return simulation
