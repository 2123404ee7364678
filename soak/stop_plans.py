"""Draw how an entry process is stopped, and what happens beside it."""

import dataclasses
import enum
import random
import typing as t

LEADER_SHARE: t.Final = 0.45
SLOW_STORE_SHARE: t.Final = 0.7
MIN_APPEND_DELAY_S: t.Final = 0.3
MAX_APPEND_DELAY_S: t.Final = 2.5
MAX_STORE_LEAD_S: t.Final = 1.0
# The next stop begins before this one has ended.
OVERLAP_SHARE: t.Final = 0.4
AGAIN_SHARE: t.Final = 0.25
# SIGTERM once more, soon after the process has started again.
FRESH_SHARE: t.Final = 0.2
MAX_FRESH_DELAY_S: t.Final = 2.0
MIN_SUSPENSION_S: t.Final = 0.1
MAX_SUSPENSION_S: t.Final = 0.9


class Beside(enum.Enum):
    """What another process, or the one that stops, suffers meanwhile."""

    NOTHING = "nothing"
    # SIGSTOP, and SIGCONT later.
    SUSPENDED = "suspended"
    # Suspended for short spans, again and again.
    SLOW = "slow"


@dataclasses.dataclass(frozen=True)
class StopPlan:
    """A stop of an entry process; delays count from SIGTERM, in seconds."""

    is_leader: bool
    # How long appends take until the process is gone; 0: no longer than usual.
    append_delay_s: float
    store_lead_s: float
    beside: Beside
    # Otherwise the process that stops; a disruption of it excuses its requests.
    is_beside_other: bool
    beside_delay_s: float
    suspension_s: float
    # When SIGTERM is sent again; 0: it is not.
    again_delay_s: float
    # How long after its next start the process is stopped again; negative: it is not.
    fresh_delay_s: float
    # When the next stop may begin; None: once this one has ended.
    next_delay_s: float | None


def draw_stop_plan(rng: random.Random) -> StopPlan:
    """Draw a plan."""
    append_delay_s = rng.uniform(MIN_APPEND_DELAY_S, MAX_APPEND_DELAY_S)
    is_store_slow = rng.random() < SLOW_STORE_SHARE
    again_delay_s = rng.uniform(0.05, 4.0)
    fresh_delay_s = rng.uniform(0.0, MAX_FRESH_DELAY_S)
    next_delay_s = rng.uniform(0.0, 4.0)
    return StopPlan(
        is_leader=rng.random() < LEADER_SHARE,
        append_delay_s=append_delay_s if is_store_slow else 0.0,
        store_lead_s=rng.uniform(0.0, MAX_STORE_LEAD_S),
        beside=rng.choice((Beside.NOTHING, Beside.NOTHING, *Beside)),
        is_beside_other=rng.random() < 0.7,
        beside_delay_s=rng.uniform(0.0, 4.0),
        suspension_s=rng.uniform(MIN_SUSPENSION_S, MAX_SUSPENSION_S),
        again_delay_s=again_delay_s if rng.random() < AGAIN_SHARE else 0.0,
        fresh_delay_s=fresh_delay_s if rng.random() < FRESH_SHARE else -1.0,
        next_delay_s=next_delay_s if rng.random() < OVERLAP_SHARE else None,
    )


def describe_stop_plan(plan: StopPlan) -> str:
    """Return what a plan has, without what it has not."""
    parts = [f"appends take {plan.append_delay_s:.2f} s"] if plan.append_delay_s else []
    if plan.beside is not Beside.NOTHING:
        subject = "another one" if plan.is_beside_other else "itself"
        parts.append(f"{subject} {plan.beside.value} at {plan.beside_delay_s:.2f} s")
    if plan.again_delay_s:
        parts.append(f"again at {plan.again_delay_s:.2f} s")
    return ", ".join(parts) or "alone"
