"""Decide when a process should claim the leadership of the cell.

The input is what one process knows of the leader, and the processes that could replace
it. The result is whether the leader counts as lost, and how long this process waits
before it claims. Each process decides by itself. The waiting times differ by rank:
normally the best candidate claims first, and the others see its claim in time.
"""

import dataclasses
import typing as t

LEADER_TIMEOUT_S: t.Final = 0.7
DISCONNECTED_LEADER_TIMEOUT_S: t.Final = 0.35
STORE_CONTACT_TIMEOUT_S: t.Final = 0.9
# Heartbeats are delayed behind a large answer on a slow link.
BUSY_LINK_LEADER_TIMEOUT_S: t.Final = 2.5
FIRST_HEARTBEAT_TIMEOUT_S: t.Final = 1.0
PREEXISTING_CLAIM_TIMEOUT_S: t.Final = 0.6
REJOIN_GRACE_S: t.Final = 1.0
CLAIM_STAGGER_S: t.Final = 0.12
FIRST_CLAIM_STAGGER_S: t.Final = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderView:
    """What a process knows of the leader; ages in seconds.

    - ``claim_preexisting``: the claim was made before this process started.
    - ``restarted``: the leader's process has restarted since its claim.
    - ``disconnected``: the connection to the leader broke after its last heartbeat.
    - ``leader_store_age_s``: the time since the store last answered the leader.
    - ``store_regained_age_s``: the time since the store answered this process again.
    - ``link_busy``: a large answer is arriving here and delays all other messages.
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
    """Return whether another process should take over the leadership."""
    if not view.is_known or view.resigned or view.restarted:
        return True
    if view.store_regained_age_s < REJOIN_GRACE_S:
        # A process that was cut off soon receives heartbeats again if the leader is
        # alive.
        return False
    if view.link_busy:
        heartbeat_gap_s = (
            view.heartbeat_age_s if view.has_heartbeat else view.claim_age_s
        )
        return heartbeat_gap_s > BUSY_LINK_LEADER_TIMEOUT_S
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
    """A process that may claim; a higher ``start_order`` means a later start."""

    name: str
    domain: str
    cores: float
    start_order: int


def claim_delay_s(
    name: str, candidates: t.Iterable[Candidate], lost_domain: str, is_first: bool
) -> float:
    """Return how many seconds a process waits before its claim.

    Candidates in other failure domains than that of the lost leader go first, because
    all of its domain may be unreachable; then VMs with more cores; among equals the
    process that was started last, because in a rolling restart it is the last to be
    stopped again. ``is_first`` means that the cell has no known leader to replace.
    """
    order = [
        candidate.name
        for candidate in sorted(
            candidates,
            key=lambda candidate: (
                candidate.domain == lost_domain,
                -candidate.cores,
                -candidate.start_order,
                candidate.name,
            ),
        )
    ]
    rank = order.index(name) if name in order else len(order)
    return rank * (FIRST_CLAIM_STAGGER_S if is_first else CLAIM_STAGGER_S)
