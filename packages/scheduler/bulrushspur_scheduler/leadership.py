"""Decide when a process should claim to lead the cell."""

import dataclasses
import typing as t

LEADER_TIMEOUT_S: t.Final = 0.7
DISCONNECTED_LEADER_TIMEOUT_S: t.Final = 0.35
STORE_CONTACT_TIMEOUT_S: t.Final = 0.9
# Behind a large answer on a slow link heartbeats come late.
BUSY_LINK_LEADER_TIMEOUT_S: t.Final = 2.5
FIRST_HEARTBEAT_TIMEOUT_S: t.Final = 1.0
PREEXISTING_CLAIM_TIMEOUT_S: t.Final = 0.6
REJOIN_GRACE_S: t.Final = 1.0
CLAIM_STAGGER_S: t.Final = 0.12
FIRST_CLAIM_STAGGER_S: t.Final = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderView:
    """What a process knows of the leader; ages in seconds.

    ``rejoined_age_s`` tells how long the store has answered this process again.

    ``link_busy`` tells that a large answer is arriving here, and delays all else.

    ``loaded`` tells that the claim was there when this process started, ``dead`` that
    the leader's process has started again since, ``broken`` that its connection broke.
    """

    is_known: bool
    has_heartbeat: bool
    heartbeat_age_s: float
    claim_age_s: float
    claim_preexisting: bool
    restarted: bool
    disconnected: bool
    leader_store_age_s: float
    resigned: bool
    store_regained_age_s: float = 1e9
    link_busy: bool = False


def is_leader_lost(view: LeaderView) -> bool:
    """Tell whether somebody else should lead."""
    if not view.is_known or view.resigned or view.restarted:
        return True
    if view.store_regained_age_s < REJOIN_GRACE_S:
        # Whoever was cut off hears a living leader in a moment.
        return False
    if view.link_busy:
        silent_s = view.heartbeat_age_s if view.has_heartbeat else view.claim_age_s
        return silent_s > BUSY_LINK_LEADER_TIMEOUT_S
    if not view.has_heartbeat:
        grace_s = (
            PREEXISTING_CLAIM_TIMEOUT_S
            if view.claim_preexisting
            else FIRST_HEARTBEAT_TIMEOUT_S
        )
        return view.claim_age_s > grace_s
    if view.disconnected and view.heartbeat_age_s > DISCONNECTED_LEADER_TIMEOUT_S:
        return True
    return (
        view.heartbeat_age_s > LEADER_TIMEOUT_S
        or view.leader_store_age_s > STORE_CONTACT_TIMEOUT_S
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A process that may claim; ``started`` gives the order of starts."""

    name: str
    domain: str
    cores: float
    start_order: int


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
                -one.start_order,
                one.name,
            ),
        )
    ]
    rank = order.index(name) if name in order else len(order)
    return rank * (FIRST_CLAIM_STAGGER_S if first else CLAIM_STAGGER_S)
