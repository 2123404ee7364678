"""Decide when a process should claim to lead the cell."""

import dataclasses
import typing as t

LOST_S: t.Final = 0.7
BROKEN_LOST_S: t.Final = 0.35
STORE_LOST_S: t.Final = 0.9
# Behind a large answer on a slow link heartbeats come late.
LINK_BUSY_LOST_S: t.Final = 2.5
CLAIM_GRACE_S: t.Final = 1.0
LOADED_GRACE_S: t.Final = 0.6
REJOIN_S: t.Final = 1.0
RANK_STEP_S: t.Final = 0.12
FIRST_STEP_S: t.Final = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderView:
    """What a process knows of the leader; ages in seconds.

    ``rejoined_age_s`` tells how long the store has answered this process again.

    ``link_busy`` tells that a large answer is arriving here, and delays all else.

    ``loaded`` tells that the claim was there when this process started, ``dead`` that
    the leader's process has started again since, ``broken`` that its connection broke.
    """

    known: bool
    heard: bool
    heard_age_s: float
    claim_age_s: float
    loaded: bool
    dead: bool
    broken: bool
    store_age_s: float
    resigned: bool
    rejoined_age_s: float = 1e9
    link_busy: bool = False


def leader_is_lost(view: LeaderView) -> bool:
    """Tell whether somebody else should lead."""
    if not view.known or view.resigned or view.dead:
        return True
    if view.rejoined_age_s < REJOIN_S:
        # Whoever was cut off hears a living leader in a moment.
        return False
    if view.link_busy:
        silent_s = view.heard_age_s if view.heard else view.claim_age_s
        return silent_s > LINK_BUSY_LOST_S
    if not view.heard:
        grace_s = LOADED_GRACE_S if view.loaded else CLAIM_GRACE_S
        return view.claim_age_s > grace_s
    if view.broken and view.heard_age_s > BROKEN_LOST_S:
        return True
    return view.heard_age_s > LOST_S or view.store_age_s > STORE_LOST_S


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A process that may claim; ``started`` gives the order of starts."""

    name: str
    domain: str
    cores: float
    started: int


def claim_delay_s(
    name: str, candidates: t.Iterable[Candidate], lost_domain: str, first: bool
) -> float:
    """Return how long to wait before a claim.

    Other failure domains than that of the lost leader go first, for all of it may be
    cut off; then VMs with more cores; among equals the process that was started last,
    for where processes are restarted in turn it is the last to be stopped again.
    """
    order = [
        one.name
        for one in sorted(
            candidates,
            key=lambda one: (
                one.domain == lost_domain,
                -one.cores,
                -one.started,
                one.name,
            ),
        )
    ]
    rank = order.index(name) if name in order else len(order)
    return rank * (FIRST_STEP_S if first else RANK_STEP_S)
