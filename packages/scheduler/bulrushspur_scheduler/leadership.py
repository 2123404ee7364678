"""Decide when a process should claim the leadership of the cell.

The input is what one process knows of the leader, and the processes that could replace
it. The result is whether the leader counts as lost, and how long this process waits
before it claims. Each process decides by itself. The waiting times differ by rank:
normally the best candidate claims first, and the others see its claim in time.

A leader that recovers slowly is not replaced while it makes progress, because its
successor would have to load the same records. Terms that end before they have served
for a while lengthen the timeouts of the next one.
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
# The leader connects to a process only after it has read its registration.
REGISTRATION_GRACE_S: t.Final = 1.5
REJOIN_GRACE_S: t.Final = 1.0
# Processes that start together need this long to register and to see each other.
FIRST_CLAIM_WAIT_S: t.Final = 0.5
CLAIM_STAGGER_S: t.Final = 0.12
# The first ranks are far enough apart to see each other's claims. The others are
# closer, so that the loss of many VMs does not leave the cell without a leader.
WIDELY_STAGGERED_RANKS: t.Final = 4
CLOSE_CLAIM_STAGGER_S: t.Final = 0.006
# Longest pauses between claims that get no answer.
FIRST_RANKS_BACKOFF_S: t.Final = 0.3
MAX_BACKOFF_S: t.Final = 1.6
# If the store answers more slowly, claims are seen later, and the close ranks wait
# longer.
USUAL_STORE_LATENCY_S: t.Final = 0.015
# A recovery that takes longer is given up even while it advances: another process may
# have a better link.
MAX_RECOVERY_S: t.Final = 8.0
# A term that has served for this long is stable.
STABLE_AFTER_S: t.Final = 3.0
MAX_TIMEOUT_FACTOR: t.Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderView:
    """What a process knows of the leader; ages in seconds.

    - ``claim_preexisting``: the claim was made before this process started.
    - ``restarted``: the leader's process has restarted since its claim.
    - ``disconnected``: the connection to the leader broke after its last heartbeat.
    - ``leader_store_age_s``: the time since the store last answered the leader.
    - ``is_recovering``: its last heartbeat said that it does not serve yet.
    - ``recovery_stalled_s``: the time since its recovery last advanced.
    - ``registered_age_s``: the time since this process registered.
    - ``unstable_terms``: how many terms in succession ended before they were stable.
    - ``store_regained_age_s``: the time since the store answered this process again.
    - ``heard_since_regained``: the leader has sent a heartbeat since then.
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
    heard_since_regained: bool = False
    link_busy: bool = False
    is_recovering: bool = False
    recovery_stalled_s: float = 0.0
    registered_age_s: float = 1e9
    unstable_terms: int = 0


@dataclasses.dataclass
class TermWatch:
    """Observe whether the present term is stable, and count those that were not.

    ``unstable_terms`` counts the terms before the present one, as its claim says.
    """

    term: int = 0
    unstable_terms: int = 0
    # A term that began before this process watched may have served unobserved.
    is_observed: bool = False
    serving_since_s: float | None = None
    is_stable: bool = False

    def begin_term(self, term: int, unstable_terms: int, is_observed: bool) -> None:
        """Start to observe a new term."""
        self.term = term
        self.unstable_terms = unstable_terms
        self.is_observed = is_observed
        self.serving_since_s = None
        self.is_stable = False

    def observe(self, is_serving: bool, now_s: float) -> None:
        """Record whether the leader of the present term serves now."""
        if not is_serving:
            self.serving_since_s = None
            return
        if self.serving_since_s is None:
            self.serving_since_s = now_s
        if now_s - self.serving_since_s >= STABLE_AFTER_S:
            self.is_stable = True
            self.unstable_terms = 0

    def next_unstable_terms(self) -> int:
        """Return the count that a claim made now, to replace this term, should have."""
        if self.is_stable or not self.term:
            return 0
        return self.unstable_terms + self.is_observed


def timeout_factor(unstable_terms: int) -> int:
    """Return by how much to multiply the timeouts for a slow leader."""
    return min(1 << min(unstable_terms, MAX_TIMEOUT_FACTOR), MAX_TIMEOUT_FACTOR)


def is_leader_lost(view: LeaderView) -> bool:
    """Return whether another process should take over the leadership."""
    if not view.is_known or view.resigned or view.restarted:
        return True
    if view.store_regained_age_s < REJOIN_GRACE_S:
        # A process that was cut off soon receives heartbeats again if the leader is
        # alive, and a leader that lost the store as well soon regains it.
        return view.heard_since_regained and _is_leader_silent(view)
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
        return (
            view.claim_age_s > grace_s * timeout_factor(view.unstable_terms)
            and view.registered_age_s > REGISTRATION_GRACE_S
        )
    return _is_leader_silent(view) or _is_leader_slow(view)


def _is_leader_silent(view: LeaderView) -> bool:
    """Return whether the heartbeats of a leader that was heard have stopped."""
    if view.disconnected and view.heartbeat_age_s > DISCONNECTED_LEADER_TIMEOUT_S:
        return True
    return view.heartbeat_age_s > LEADER_TIMEOUT_S


def _is_leader_slow(view: LeaderView) -> bool:
    """Return whether a leader that sends heartbeats makes too little progress."""
    factor = timeout_factor(view.unstable_terms)
    if view.is_recovering:
        return (
            view.recovery_stalled_s > STORE_CONTACT_TIMEOUT_S * factor
            or view.claim_age_s > MAX_RECOVERY_S * factor
        )
    return view.leader_store_age_s > STORE_CONTACT_TIMEOUT_S * factor


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A process that may claim; a higher ``start_order`` means a later start."""

    name: str
    domain: str
    cores: float
    start_order: int


def claim_rank(name: str, candidates: t.Iterable[Candidate], lost_domain: str) -> int:
    """Return the rank of a process among those that may claim; 0 claims first.

    Candidates in other failure domains than that of the lost leader go first, because
    all of its domain may be unreachable; then VMs with more cores; among equals the
    process that was started last, because in a rolling restart it is the last to be
    stopped again.
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
    return order.index(name) if name in order else len(order)


def max_claim_backoff_s(rank: int) -> float:
    """Return how long a process waits at most after a claim that got no answer.

    The first ranks try again soon: they should be the first to find the store back. The
    others add little load in the meantime.
    """
    return FIRST_RANKS_BACKOFF_S if rank < WIDELY_STAGGERED_RANKS else MAX_BACKOFF_S


def claim_delay_s(rank: int, is_first: bool, store_latency_s: float = 0.0) -> float:
    """Return how many seconds a process waits before its claim.

    ``is_first`` means that the cell has no known leader to replace; then all wait until
    the processes that start with them have registered. ``store_latency_s`` is how long
    the store takes to answer.
    """
    wide_ranks = min(rank, WIDELY_STAGGERED_RANKS)
    slowness = max(store_latency_s / USUAL_STORE_LATENCY_S, 1.0)
    return (
        wide_ranks * CLAIM_STAGGER_S
        + (rank - wide_ranks) * CLOSE_CLAIM_STAGGER_S * slowness
        + (FIRST_CLAIM_WAIT_S if is_first else 0.0)
    )
