"""Model attempts: a job is shown as failed only after as many failed runs as promised.

Two leaders (of terms 1 and 2), one worker, one task with two attempts. A run ends as
failed, or is lost with the worker, which then reports no end. An end is stored by the
number of its run before it is acknowledged, so the next leader hears it again until
then. The configuration may lack the job's queue, for a while.

A mutant is the protocol without one of its rules, and must violate an invariant.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import Spec
from models.takeover import replace_item

TERMS: t.Final = (1, 2)
PROMISED_ATTEMPTS: t.Final = 2
STARTS_PER_TERM: t.Final = 2


class FailureLeader(t.NamedTuple):
    """A leader: whether it serves, its starts, and the failed runs that it knows.

    ``counted`` has one item for each end that it has counted.
    """

    loaded: bool = False
    start_count: int = 0
    counted: tuple[int, ...] = ()


class FailureState(t.NamedTuple):
    """A state: leaders, the store, the worker's run and unacknowledged end, 0 if none.

    ``failed_runs`` are those that really ended as failed.
    """

    leaders: tuple[FailureLeader, ...]
    store_epoch: int
    stored: tuple[int, ...]
    shown_as_failed: bool
    has_queue: bool
    running: int
    reported_end: int
    failed_runs: frozenset[int]


def with_leader(state: FailureState, term: int, **changes: t.Any) -> FailureState:
    """Return the state with changed fields of the leader of a term."""
    leader = state.leaders[term - 1]._replace(**changes)
    return state._replace(leaders=replace_item(state.leaders, term - 1, leader))


def add_counted(counted: tuple[int, ...], number: int, mutant: str) -> tuple[int, ...]:
    """Return the failed runs with one more, by its number."""
    if number in counted and mutant != "an end counts each time it is heard":
        return counted
    return (*counted, number)[:PROMISED_ATTEMPTS]


def worker_transitions(state: FailureState) -> t.Iterator[tuple[str, FailureState]]:
    """Yield the ends of the run, and the crash of the worker."""
    if state.running and not state.reported_end:
        yield (
            f"run {state.running} fails",
            state._replace(
                running=0,
                reported_end=state.running,
                failed_runs=state.failed_runs | {state.running},
            ),
        )
    if state.running or state.reported_end:
        yield "worker crashes", state._replace(running=0, reported_end=0)


def leader_transitions(
    state: FailureState, term: int, mutant: str
) -> t.Iterator[tuple[str, FailureState]]:
    """Yield the load of a leader, its starts, and what it makes of ends and losses."""
    leader = state.leaders[term - 1]
    if not leader.loaded:
        after = with_leader(state, term, loaded=True, counted=state.stored)
        yield f"leader {term} loads", after._replace(store_epoch=term)
        return
    if state.store_epoch > term or state.shown_as_failed:
        return
    attempts = PROMISED_ATTEMPTS
    if mutant == "attempts are those of the configuration" and not state.has_queue:
        attempts = 1
    if len(leader.counted) >= attempts:
        yield f"leader {term} fails the job", state._replace(shown_as_failed=True)
        return
    if state.reported_end:
        counted = add_counted(leader.counted, state.reported_end, mutant)
        after = with_leader(state, term, counted=counted)
        yield f"leader {term} stores the end", after._replace(stored=counted)
    if state.reported_end in state.stored:
        yield f"leader {term} acknowledges", state._replace(reported_end=0)
    if state.running or state.reported_end or leader.start_count >= STARTS_PER_TERM:
        return
    if leader.start_count and mutant == "a lost run counts as failed":
        counted = add_counted(leader.counted, -leader.start_count, mutant)
        yield f"leader {term} counts a loss", with_leader(state, term, counted=counted)
    number = (term - 1) * STARTS_PER_TERM + leader.start_count + 1
    after = with_leader(state, term, start_count=leader.start_count + 1)
    yield f"leader {term} starts run {number}", after._replace(running=number)


def make_protocol(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol, or the mutant of that name."""

    def transitions(values: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        state = FailureState(*values)
        successors = list(worker_transitions(state))
        successors.append(
            ("configuration changes", state._replace(has_queue=not state.has_queue))
        )
        for term in TERMS:
            if term == 1 or state.leaders[0].loaded:
                successors += leader_transitions(state, term, mutant)
        return [(label, tuple(after)) for label, after in successors if after != state]

    leaders = (FailureLeader(), FailureLeader())
    initial = FailureState(leaders, 0, (), False, True, 0, 0, frozenset())
    return minicheck.Protocol(
        name="failures",
        candidate=False,
        fields=FailureState._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "failed only after as many failed runs as promised": lambda fields: (
                not fields["shown_as_failed"]
                or len(fields["failed_runs"]) >= PROMISED_ATTEMPTS
            ),
        },
    )


@plugins.register("model", "failures")
def make_spec() -> Spec:
    """Make the protocol and its mutants by the invariant that they must violate."""
    mutants_by_invariant = {
        "failed only after as many failed runs as promised": [
            "attempts are those of the configuration",
            "an end counts each time it is heard",
            "a lost run counts as failed",
        ],
    }
    return Spec(make_protocol(), make_mutants(make_protocol, mutants_by_invariant))
