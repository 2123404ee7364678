"""What the policy is compared with, on the same arrivals.

One queue over all workers, without messages: it sees everything at once.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

from bench.arrivals import Deployment, Job, make_vms
from bench.policy_cell import SAMPLE_S, Fate, Run, Sample
from bulrushspur_kernel.work import Policy, Room, Size

_LIGHT: t.Final = {Size.SMALL: 0, Size.MIDDLING: 1, Size.HEAVY: 2}


@dataclasses.dataclass
class BaseWorker:
    """A worker and its free room."""

    name: str
    free: Room


@dataclasses.dataclass
class Baseline:
    """State of one run of a baseline."""

    cell: Deployment
    workers: list[BaseWorker]
    fates: list[Fate]
    lines: dict[tuple[str, int], collections.deque[Fate]] = dataclasses.field(
        default_factory=dict
    )
    used: dict[str, float] = dataclasses.field(default_factory=dict)
    past: dict[str, float] = dataclasses.field(default_factory=dict)
    now_s: float = 0.0


Order = t.Callable[[Baseline], t.Iterable[Fate]]
Place = t.Callable[[Baseline, Fate], BaseWorker | None]


def ideal_order(state: Baseline) -> t.Iterable[Fate]:
    """Urgent first, then small, then the team furthest below its share."""
    heads = [line[0] for line in state.lines.values() if line]
    shares = state.cell.shares

    def key(fate: Fate) -> tuple[float, ...]:
        team = fate.job.team
        light = _LIGHT[fate.job.kind.size]
        first = 0 if fate.job.policy is Policy.URGENT else 1 if light == 0 else 2
        return (first, state.used.get(team, 0) / shares[team], light, fate.job.at_s)

    return sorted(heads, key=key)


def arrival_order(state: Baseline) -> t.Iterable[Fate]:
    """First come, first served; later work may pass what does not fit."""
    heads = [line[0] for line in state.lines.values() if line]
    return sorted(heads, key=lambda fate: fate.job.at_s)


def strict_order(state: Baseline) -> t.Iterable[Fate]:
    """First come, first served, and nothing passes what does not fit: no backfill."""
    return list(arrival_order(state))[:1]


def unlent_order(state: Baseline) -> t.Iterable[Fate]:
    """The ideal order, but no team uses more than its share."""
    total = sum(state.cell.shares.values())
    for fate in ideal_order(state):
        team = fate.job.team
        bound = state.cell.shares[team] / total * state.cell.slots
        if state.used.get(team, 0) + fate.job.kind.room.slots <= bound:
            yield fate


def best_fit(state: Baseline, fate: Fate) -> BaseWorker | None:
    """Choose the fullest worker that fits."""
    room = fate.job.kind.room
    fitting = [one for one in state.workers if one.free.holds(room)]
    return min(fitting, key=lambda one: one.free.slots, default=None)


def make_random_place(seed: int) -> Place:
    """Make a placement that binds each job to a random worker when it first asks."""
    rng = random.Random(seed)
    bound: dict[int, BaseWorker] = {}

    def place(state: Baseline, fate: Fate) -> BaseWorker | None:
        worker = bound.setdefault(fate.job.number, rng.choice(state.workers))
        return worker if worker.free.holds(fate.job.kind.room) else None

    return place


def run_baseline(
    cell: Deployment,
    jobs: list[Job],
    until_s: float,
    order: Order = ideal_order,
    place: Place = best_fit,
) -> Run:
    """Run the arrivals through one queue and return what became of them."""
    state = Baseline(
        cell,
        [BaseWorker(vm.name, vm.room) for vm in make_vms(cell)],
        [Fate(job) for job in jobs],
    )
    run = Run(state.fates)
    ends: list[tuple[float, int, Fate, BaseWorker]] = []
    counter = itertools.count()
    arrivals = collections.deque(state.fates)
    next_sample_s = 0.0
    by_arrival = order in (arrival_order, strict_order)
    while arrivals or ends:
        next_s = min(
            arrivals[0].job.at_s if arrivals else float("inf"),
            ends[0][0] if ends else float("inf"),
        )
        while next_sample_s <= min(next_s, until_s):
            run.samples.append(_sample(state, next_sample_s))
            next_sample_s += SAMPLE_S
        if next_s > until_s:
            break
        state.now_s = next_s
        if ends and ends[0][0] <= next_s:
            _, _, fate, worker = heapq.heappop(ends)
            room = fate.job.kind.room
            worker.free = worker.free.plus(room)
            state.used[fate.job.team] -= room.slots
            fate.ended_s = next_s
        else:
            fate = arrivals.popleft()
            key = _line_of(fate, by_arrival)
            state.lines.setdefault(key, collections.deque()).append(fate)
        for fate, worker in _start_all(state, order, place, by_arrival):
            heapq.heappush(
                ends, (next_s + fate.job.true_s, next(counter), fate, worker)
            )
    return run


def _line_of(fate: Fate, by_arrival: bool) -> tuple[str, int]:
    light = _LIGHT[fate.job.kind.size]
    if fate.job.policy is Policy.URGENT:
        light = -1
    # In order of arrival only jobs of one size stand in one line.
    return ("", light) if by_arrival else (fate.job.team, light)


def _start_all(
    state: Baseline, order: Order, place: Place, by_arrival: bool
) -> t.Iterator[tuple[Fate, BaseWorker]]:
    started = True
    while started:
        started = False
        if not any(one.free.slots for one in state.workers):
            return
        for fate in order(state):
            worker = place(state, fate)
            if worker is None:
                continue
            state.lines[_line_of(fate, by_arrival)].popleft()
            room = fate.job.kind.room
            worker.free = worker.free.minus(room)
            team = fate.job.team
            state.used[team] = state.used.get(team, 0) + room.slots
            fate.started_s, fate.worker = state.now_s, worker.name
            fate.starts = 1
            yield fate, worker
            started = True
            break


def _sample(state: Baseline, at_s: float) -> Sample:
    queued: dict[str, int] = dict.fromkeys(state.cell.shares, 0)
    for line in state.lines.values():
        for fate in line:
            queued[fate.job.team] += 1
    return Sample(at_s, {k: int(v) for k, v in state.used.items()}, queued)
