"""Model cancels: no leader starts a job once its cancel is acknowledged.

Two leaders (of terms 1 and 2) and a store. The submission of one job is under way
twice, as it is repeated; each copy arrives at any time, also after the cancel, and is
stored or refused some time later. A cancel goes to either leader, and is repeated until
it is acknowledged. A leader that was replaced, as the store has a later epoch, may not
know it: it answers, but can neither store nor start anything.

A mutant is the protocol without one of its rules, and must violate an invariant.
"""

import enum
import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import Spec
from models.takeover import replace_item

TERMS: t.Final = (1, 2)
COPIES: t.Final = 2

KEPT_NOTHING: t.Final = "a cancel of an unknown job is denied and not kept"
KEPT_IN_MEMORY: t.Final = "a cancel of an unknown job is kept in memory alone"
NOT_CONFIRMED: t.Final = "a job is denied without asking the store for a later term"
NOT_STORED: t.Final = "a cancel is acknowledged before it is stored"
NOT_WAITING: t.Final = "a cancel does not wait for a submission that is pending"


class Known(enum.IntEnum):
    """What is known of the job."""

    NOTHING = 0
    ACCEPTED = 1
    CANCELLED = 2


class CancelLeader(t.NamedTuple):
    """A leader: whether it serves, what it knows, and if a submission is pending."""

    loaded: bool = False
    known: Known = Known.NOTHING
    pending: bool = False


class CancelState(t.NamedTuple):
    """A state: leaders, the store, and what has become of the caller's requests."""

    leaders: tuple[CancelLeader, ...]
    store_epoch: int = 0
    stored: Known = Known.NOTHING
    copies_left: int = COPIES
    is_acknowledged: bool = False
    started_after: bool = False


def with_leader(state: CancelState, term: int, **changes: t.Any) -> CancelState:
    """Return the state with changed fields of the leader of a term."""
    leader = state.leaders[term - 1]._replace(**changes)
    return state._replace(leaders=replace_item(state.leaders, term - 1, leader))


def submission_transitions(
    state: CancelState, term: int
) -> t.Iterator[tuple[str, CancelState]]:
    """Yield the arrival of a copy at the leader of a term, and what becomes of it."""
    leader = state.leaders[term - 1]
    if leader.pending:
        refused = with_leader(state, term, pending=False)
        yield f"leader {term} refuses the submission", refused
        if state.store_epoch == term:
            after = with_leader(state, term, pending=False, known=Known.ACCEPTED)
            after = after._replace(stored=Known.ACCEPTED)
            yield f"leader {term} stores the submission", after
    if state.copies_left:
        after = state._replace(copies_left=state.copies_left - 1)
        if leader.known is Known.NOTHING:
            after = with_leader(after, term, pending=True)
        yield f"submission arrives at leader {term}", after


def cancel_transitions(
    state: CancelState, term: int, mutant: str
) -> t.Iterator[tuple[str, CancelState]]:
    """Yield what the leader of a term makes of the cancel, one step at a time."""
    known, pending = state.leaders[term - 1].known, state.leaders[term - 1].pending
    if pending and mutant != NOT_WAITING:
        return
    is_fenced = state.store_epoch > term
    acknowledged = state._replace(is_acknowledged=True)
    if known is Known.NOTHING:
        denying = NOT_CONFIRMED if is_fenced else KEPT_NOTHING
        if mutant == denying:
            yield f"leader {term} denies the job", acknowledged
        elif not is_fenced:
            after = with_leader(state, term, known=Known.CANCELLED)
            if mutant == KEPT_IN_MEMORY:
                after = after._replace(is_acknowledged=True)
            yield f"leader {term} cancels an unknown job", after
    elif known is Known.ACCEPTED:
        after = with_leader(state, term, known=Known.CANCELLED)
        if mutant == NOT_STORED:
            after = after._replace(is_acknowledged=True)
        yield f"leader {term} cancels", after
    elif not is_fenced:
        if state.stored is not Known.CANCELLED:
            after = state._replace(stored=Known.CANCELLED)
            yield f"leader {term} stores the cancel", after
        else:
            yield f"leader {term} acknowledges", acknowledged


def leader_transitions(
    state: CancelState, term: int, mutant: str
) -> t.Iterator[tuple[str, CancelState]]:
    """Yield the load of a leader, the requests that reach it, and its starts."""
    leader = state.leaders[term - 1]
    if not leader.loaded:
        loaded = CancelLeader(True, state.stored)
        leaders = replace_item(state.leaders, term - 1, loaded)
        yield f"leader {term} loads", state._replace(leaders=leaders, store_epoch=term)
        return
    yield from submission_transitions(state, term)
    yield from cancel_transitions(state, term, mutant)
    if leader.known is Known.ACCEPTED and state.store_epoch == term:
        after = state._replace(started_after=state.is_acknowledged)
        yield f"leader {term} starts a task", after


def make_protocol(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol, or the mutant of that name."""

    def transitions(values: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        state = CancelState(*values)
        successors: list[tuple[str, CancelState]] = []
        for term in TERMS:
            if term == 1 or state.leaders[0].loaded:
                successors += leader_transitions(state, term, mutant)
        return [(label, tuple(after)) for label, after in successors if after != state]

    return minicheck.Protocol(
        name="cancellation",
        candidate=False,
        fields=CancelState._fields,
        initial=tuple(CancelState((CancelLeader(), CancelLeader()))),
        transitions=transitions,
        invariants={
            "no start after an acknowledged cancel": lambda fields: (
                not fields["started_after"]
            ),
        },
    )


@plugins.register("model", "cancellation")
def make_spec() -> Spec:
    """Make the protocol and its mutants by the invariant that they must violate."""
    mutants_by_invariant = {
        "no start after an acknowledged cancel": [
            KEPT_NOTHING,
            KEPT_IN_MEMORY,
            NOT_CONFIRMED,
            NOT_STORED,
            NOT_WAITING,
        ],
    }
    return Spec(make_protocol(), make_mutants(make_protocol, mutants_by_invariant))
