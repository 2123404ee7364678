"""Decide when a process should claim to lead the cell."""

import dataclasses
import typing as t

LOST_S: t.Final = 1.0
STORE_LOST_S: t.Final = 1.3
CLAIM_GRACE_S: t.Final = 1.2
RANK_STEP_S: t.Final = 0.15
FIRST_STEP_S: t.Final = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderView:
    """What a process knows of the leader; ages in seconds."""

    known: bool
    heard_age_s: float
    claim_age_s: float
    store_age_s: float
    resigned: bool


def leader_is_lost(view: LeaderView) -> bool:
    """Tell whether somebody else should lead."""
    if not view.known or view.resigned:
        return True
    if view.claim_age_s < CLAIM_GRACE_S:
        return False
    return view.heard_age_s > LOST_S or view.store_age_s > STORE_LOST_S


def claim_delay_s(name: str, others: t.Mapping[str, float], first: bool) -> float:
    """Return how long to wait before a claim; VMs with more cores go first.

    ``others`` maps the names of processes to their cores, this one included.
    """
    order = sorted(others, key=lambda one: (-others[one], one))
    rank = order.index(name) if name in order else len(order)
    return rank * (FIRST_STEP_S if first else RANK_STEP_S)
