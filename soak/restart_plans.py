"""Draw what happens to workers that restart under their id.

The input is how often restarts have which circumstances; the result is a plan for one
worker. No order takes longer than ``MAX_LATE_S`` by itself.
"""

import dataclasses
import random
import typing as t

MIN_DOWN_S: t.Final = 0.05
MIN_LATE_S: t.Final = 0.8
MAX_LATE_S: t.Final = 12.0
START_PATH: t.Final = "/-/run-start"
STOP_PATH: t.Final = "/-/run-stop"
FAR_CLOCK_MS: t.Final = 3_600_000
MAX_ENTRY_DELAY_S: t.Final = 6.0


@dataclasses.dataclass(frozen=True)
class RestartMix:
    """How often restarts have which circumstances; shares are 0 to 1."""

    late_share: float = 0.6
    # For how long before the restart.
    late_for_range_s: tuple[float, float] = (0.3, 2.0)
    # The delays of late orders are drawn from one of these ranges.
    late_ranges_s: tuple[tuple[float, float], ...] = (
        (MIN_LATE_S, 3.0),
        (2.0, MAX_LATE_S),
        (MIN_LATE_S, MAX_LATE_S),
    )
    # Of the late ones: only starts are late; they are late after the restart, too.
    starts_only_share: float = 0.5
    late_after_share: float = 0.2
    # The last incarnation carries stops out late.
    late_stops_share: float = 0.1
    kept_share: float = 0.5
    # From the restart on no answer leaves the worker.
    lost_answers_share: float = 0.2
    jitter_share: float = 0.2
    twice_share: float = 0.25
    max_second_delay_s: float = 1.0
    killed_leader_share: float = 0.35
    # Before the first worker is cut off.
    max_kill_lead_s: float = 0.8
    cut_share: float = 0.85
    cut_delay_range_s: tuple[float, float] = (0.05, 2.9)
    cut_range_s: tuple[float, float] = (8.5, 11.0)
    # Of those cut: what arrives meanwhile is held back, not lost.
    held_back_share: float = 0.3
    late_entry_share: float = 0.2
    moved_share: float = 0.2
    clocks: tuple[str, ...] = ("low", "low", "near", "far")
    max_down_s: float = 0.9
    # Of the workers: those that restart together.
    min_worker_share: float = 0.0
    max_worker_share: float = 0.6
    # Between such restarts, in a run that has nothing else; that is the most.
    interval_s: float = 6.0


@dataclasses.dataclass(frozen=True)
class RestartPlan:
    """What happens to one worker, in order; times in seconds."""

    is_late: bool
    late_for_s: float
    late_range_s: tuple[float, float]
    late_share: float
    late_paths: frozenset[str]
    is_late_after: bool
    has_late_stops: bool
    # By the link, and by the worker itself.
    is_kept: bool
    is_kept_by_worker: bool
    loses_answers: bool
    has_jitter: bool
    clocks: tuple[str, ...]
    downs_s: tuple[float, ...]
    second_delay_s: float
    entry_delay_s: float
    is_moved: bool
    cut_delay_s: float
    # 0: it is not cut off.
    cut_s: float
    is_held_back: bool


def draw_plan(rng: random.Random, mix: RestartMix) -> RestartPlan:
    """Draw what happens to a worker."""
    count = 2 if rng.random() < mix.twice_share else 1
    is_cut = rng.random() < mix.cut_share
    is_entry_late = rng.random() < mix.late_entry_share
    starts_only = rng.random() < mix.starts_only_share
    return RestartPlan(
        is_late=rng.random() < mix.late_share,
        late_for_s=rng.uniform(*mix.late_for_range_s),
        late_range_s=rng.choice(mix.late_ranges_s),
        late_share=rng.choice((0.4, 0.7, 1.0)),
        late_paths=frozenset([START_PATH]) if starts_only else frozenset(),
        is_late_after=rng.random() < mix.late_after_share,
        has_late_stops=rng.random() < mix.late_stops_share,
        is_kept=rng.random() < mix.kept_share,
        is_kept_by_worker=rng.random() < 0.5,
        loses_answers=rng.random() < mix.lost_answers_share,
        has_jitter=rng.random() < mix.jitter_share,
        clocks=tuple(rng.choice(mix.clocks) for _ in range(count)),
        downs_s=tuple(rng.uniform(MIN_DOWN_S, mix.max_down_s) for _ in range(count)),
        second_delay_s=rng.uniform(0.05, mix.max_second_delay_s),
        entry_delay_s=rng.uniform(0.2, MAX_ENTRY_DELAY_S) if is_entry_late else 0.0,
        is_moved=rng.random() < mix.moved_share,
        cut_delay_s=rng.uniform(*mix.cut_delay_range_s),
        cut_s=rng.uniform(*mix.cut_range_s) if is_cut else 0.0,
        is_held_back=rng.random() < mix.held_back_share,
    )


def describe_plan(plan: RestartPlan) -> str:
    """Return a line on a plan."""
    parts = [f"{len(plan.downs_s)} times", f"clocks {'/'.join(plan.clocks)}"]
    if plan.is_late:
        parts.append("late orders {:.1f} to {:.1f} s".format(*plan.late_range_s))
    for name in ("is_kept", "loses_answers", "has_jitter", "is_moved"):
        if getattr(plan, name):
            parts.append(name)
    if plan.entry_delay_s:
        parts.append(f"entry {plan.entry_delay_s:.1f} s late")
    if plan.cut_s:
        parts.append(f"cut after {plan.cut_delay_s:.1f} s for {plan.cut_s:.1f} s")
    return ", ".join(parts)
