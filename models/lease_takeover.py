"""Model a worker's lease over a takeover: the next leader outwaits each incarnation.

Leader 1 sends orders (the start of the task's only run, and renewals) until its
authority expires, ``AUTHORITY_TICKS`` after leader 2 has fenced the store. An order is
carried out within ``DELAY_TICKS`` of its sending, by whichever of up to three
incarnations of the worker is there, or by none. One that leader 2 has reached does
nothing for leader 1 any more; the next one knows of neither. By a clock that an order
was not meant for, its lease may be the longest one from then. Leader 2 adopts the run,
or starts the task elsewhere once the worker has reported or it has waited. Time is in
ticks.

Assumed (NONE_AFTER_ANSWER): an incarnation that begins after another one has answered
leader 2 carries out no start of leader 1 before leader 2 has reached it, too. Without
the assumption, ``make_protocol(assumption="")``, the invariants are refuted; the start
need not be late for that.

Not modelled: starts by leader 2 on the worker, its orders without an answer (``leases``
has those of one leader), and other tasks.

A mutant is the protocol without one of its rules, and must violate an invariant.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.leases import DELAY_TICKS, HOLD_TICKS, LEASE_TICKS, MAX_LEASE_TICKS
from models.mutants import make_mutants
from models.run import LIVENESS, Spec

AUTHORITY_TICKS: t.Final = 1
MAX_LIVES: t.Final = 3
# Orders at a time that may still be carried out.
MAX_ORDERS: t.Final = 2

NONE_AFTER_ANSWER: t.Final = "no start of leader 1 after an answer to leader 2"

# Where the task's run is, as far as leader 2 knows.
UNKNOWN: t.Final = "unknown"
ON_WORKER: t.Final = "on the worker"
NOWHERE: t.Final = "nowhere"
ELSEWHERE: t.Final = "elsewhere"

USUAL_LEASE: t.Final = "silent workers are waited for by the usual lease"
NO_DELAY: t.Final = "late orders are not waited for"
NO_AUTHORITY: t.Final = "the former leader's authority is not waited for"
USUAL_LEASE_OF_ADOPTED: t.Final = "an adopted run has the usual lease"
NO_FENCE: t.Final = "workers check no fence"
WAIT_FOREVER: t.Final = "silent workers are waited for until they report"

WAIT_TICKS_BY_MUTANT: t.Final = {
    USUAL_LEASE: AUTHORITY_TICKS + LEASE_TICKS,
    NO_DELAY: AUTHORITY_TICKS + MAX_LEASE_TICKS,
    NO_AUTHORITY: HOLD_TICKS,
}


class FormerOrder(t.NamedTuple):
    """An order of leader 1 that may still be carried out.

    ``is_for_clock`` if its lease is meant for the present clock; ``age`` is the ticks
    since it was sent.
    """

    kind: str
    is_for_clock: bool
    age: int = 0


class TakeoverState(t.NamedTuple):
    """A state: the worker's incarnation, leader 1, then leader 2.

    ``is_fenced`` if the incarnation has seen the term of leader 2, ``is_clock_known``
    if leader 1 reckons with its clock. Leader 1 may send orders in ``authority_ticks``
    more ticks. ``wait_ticks`` is how long leader 2 waits for a worker that has not
    reported to it, and ``assumed_ticks`` how long one that has may hold its lease, as
    far as leader 2 knows.
    """

    life: int = 1
    is_cut: bool = False
    is_fenced: bool = False
    is_running: bool = False
    lease_ticks: int = 0
    is_refused: bool = False
    orders: tuple[FormerOrder, ...] = ()
    is_clock_known: bool = True
    authority_ticks: int = AUTHORITY_TICKS + 1
    has_claimed: bool = False
    wait_ticks: int = 0
    has_reported: bool = False
    assumed_ticks: int = 0
    place: str = UNKNOWN


Transitions = t.Iterator[tuple[str, TakeoverState]]


def extend_lease(state: TakeoverState, granted_ticks: int) -> TakeoverState:
    """Return the state after an order with a lease."""
    return state._replace(lease_ticks=max(state.lease_ticks, granted_ticks))


def carry_out(state: TakeoverState, order: FormerOrder) -> TakeoverState:
    """Return the state after the present incarnation has carried out an order."""
    granted_ticks = MAX_LEASE_TICKS
    if order.is_for_clock:
        granted_ticks = max(LEASE_TICKS - order.age, 0)
    after = extend_lease(state, granted_ticks)
    if order.kind == "start" and granted_ticks and not state.is_refused:
        return after._replace(is_running=True)
    return after


def end_run(state: TakeoverState) -> TakeoverState:
    """Return the state after the end of the run."""
    return state._replace(is_running=False, is_refused=True)


def tick(state: TakeoverState) -> TakeoverState:
    """Return the state one tick later."""
    orders = [
        order._replace(age=order.age + 1)
        for order in state.orders
        if order.age < DELAY_TICKS
    ]
    lease_ticks = max(state.lease_ticks - 1, 0)
    authority_ticks = state.authority_ticks
    if state.has_claimed:
        authority_ticks = max(authority_ticks - 1, 0)
    after = state._replace(
        orders=tuple(orders),
        lease_ticks=lease_ticks,
        authority_ticks=authority_ticks,
        wait_ticks=max(state.wait_ticks - 1, 0),
        assumed_ticks=max(state.assumed_ticks - 1, 0),
    )
    return end_run(after) if state.is_running and lease_ticks == 0 else after


def restart(state: TakeoverState) -> TakeoverState:
    """Return the state with the next incarnation, which counts its clock anew."""
    orders = [order._replace(is_for_clock=False) for order in state.orders]
    return state._replace(
        life=state.life + 1,
        is_fenced=False,
        is_running=False,
        lease_ticks=0,
        is_refused=False,
        orders=tuple(sorted(orders)),
        is_clock_known=False,
    )


def is_barred(
    state: TakeoverState, order: FormerOrder, mutant: str, assumption: str
) -> bool:
    """Return whether the present incarnation does not carry out an order."""
    if state.is_fenced:
        return mutant != NO_FENCE
    is_assumed_not = assumption == NONE_AFTER_ANSWER and order.kind == "start"
    return state.has_reported and is_assumed_not


def worker_transitions(
    state: TakeoverState, mutant: str, assumption: str
) -> Transitions:
    """Yield what happens on the worker, and that it is cut off for good."""
    for order in state.orders:
        if is_barred(state, order, mutant, assumption):
            continue
        others = list(state.orders)
        others.remove(order)
        after = carry_out(state._replace(orders=tuple(others)), order)
        yield f"a {order.kind} is carried out after {order.age} ticks", after
    if state.is_running:
        yield "the run ends", end_run(state)
    if state.life < MAX_LIVES:
        yield "the worker restarts", restart(state)
    if not state.is_cut:
        yield "the worker is cut off", state._replace(is_cut=True)


def former_leader_transitions(state: TakeoverState) -> Transitions:
    """Yield the orders of leader 1, and a report to it."""
    if not state.authority_ticks or state.is_cut:
        return
    if not state.is_fenced:
        yield "the worker reports to leader 1", state._replace(is_clock_known=True)
    if len(state.orders) >= MAX_ORDERS:
        return
    for kind in ("start", "renewal"):
        order = FormerOrder(kind, state.is_clock_known)
        orders = tuple(sorted((*state.orders, order)))
        yield f"leader 1 sends a {kind}", state._replace(orders=orders)


def apply_report(state: TakeoverState, mutant: str) -> TakeoverState:
    """Return the state after a report of the worker to leader 2.

    An incarnation that reports for the first time may have got the longest lease until
    then; after that it does nothing for leader 1.
    """
    after = state._replace(is_fenced=True, has_reported=True)
    if not state.is_fenced:
        is_usual = mutant == USUAL_LEASE_OF_ADOPTED
        ticks = LEASE_TICKS if is_usual else MAX_LEASE_TICKS
        after = after._replace(assumed_ticks=ticks)
    if state.place == ELSEWHERE:
        return after
    return after._replace(place=ON_WORKER if state.is_running else NOWHERE)


def next_leader_transitions(state: TakeoverState, mutant: str) -> Transitions:
    """Yield what leader 2 does: it claims, polls, waits and starts."""
    if not state.has_claimed:
        ticks = WAIT_TICKS_BY_MUTANT.get(mutant, AUTHORITY_TICKS + HOLD_TICKS)
        yield "leader 2 claims", state._replace(has_claimed=True, wait_ticks=ticks)
        return
    if not state.is_cut:
        after = apply_report(state, mutant)
        yield "the worker reports to leader 2", after
        if after.place == ON_WORKER:
            assumed_ticks = max(after.assumed_ticks, LEASE_TICKS)
            after = extend_lease(after, LEASE_TICKS)
            after = after._replace(assumed_ticks=assumed_ticks)
            yield "leader 2 renews the lease", after
    if state.place == ON_WORKER and not state.assumed_ticks:
        yield "the run is lost", state._replace(place=NOWHERE)
    has_waited = not state.wait_ticks and mutant != WAIT_FOREVER
    if state.place == UNKNOWN and has_waited:
        yield "the worker is not waited for any more", state._replace(place=NOWHERE)
    if state.place == NOWHERE:
        yield "the task starts elsewhere", state._replace(place=ELSEWHERE)


def simplify(state: TakeoverState) -> TakeoverState:
    """Return the state without what has no effect any more."""
    if state.place == UNKNOWN:
        return state
    after = state._replace(wait_ticks=0)
    return after if state.place == ON_WORKER else after._replace(assumed_ticks=0)


def make_protocol(
    mutant: str = "", assumption: str = NONE_AFTER_ANSWER
) -> minicheck.Protocol:
    """Make the protocol, or the mutant of that name."""

    def transitions(values: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        state = TakeoverState(*values)
        successors = [("a tick passes", tick(state))]
        successors += worker_transitions(state, mutant, assumption)
        successors += former_leader_transitions(state)
        successors += next_leader_transitions(state, mutant)
        simplified = [(label, simplify(after)) for label, after in successors]
        return [(label, tuple(after)) for label, after in simplified if after != state]

    return minicheck.Protocol(
        name="lease_takeover",
        candidate=False,
        fields=TakeoverState._fields,
        initial=tuple(TakeoverState()),
        transitions=transitions,
        invariants={
            "one run at a time": lambda fields: (
                not fields["is_running"] or fields["place"] != ELSEWHERE
            ),
            "the lease of each incarnation is waited for": is_lease_covered,
        },
        goal=lambda fields: fields["place"] == ELSEWHERE or fields["is_running"],
    )


def is_lease_covered(fields: dict[str, t.Any]) -> bool:
    """Return whether leader 2 waits for as long as the worker may keep the run."""
    state = TakeoverState(**fields)
    if not (state.is_running and state.has_claimed):
        return True
    if state.place == UNKNOWN:
        return state.lease_ticks <= state.wait_ticks
    return state.place == ON_WORKER and state.lease_ticks <= state.assumed_ticks


@plugins.register("model", "lease_takeover")
def make_spec() -> Spec:
    """Make the protocol and its mutants by the invariant that they must violate."""
    mutants_by_invariant = {
        "one run at a time": [
            USUAL_LEASE,
            NO_DELAY,
            NO_AUTHORITY,
            USUAL_LEASE_OF_ADOPTED,
            NO_FENCE,
        ],
        "the lease of each incarnation is waited for": [USUAL_LEASE],
    }
    mutants = make_mutants(make_protocol, mutants_by_invariant)
    mutants[f"{WAIT_FOREVER} / {LIVENESS}"] = (make_protocol(WAIT_FOREVER), LIVENESS)
    return Spec(make_protocol(), mutants)
