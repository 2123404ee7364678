"""Model the lease of a worker in any incarnation: it never outlasts what is waited for.

One leader, one task, and a worker with up to three incarnations under one id; the task
may also start elsewhere. An order (start, renewal, stop) is answered at once, or never:
then whichever incarnation is there carries it out within ``DELAY_TICKS``, or none does.
The end of a lease counts by the clock that the order was meant for; by another clock it
may be the longest lease from then, or past. An incarnation may have the clock of the
one before, so that no answer to a start tells them apart. The acknowledgement of a stop
may arrive after a later report. Time is in ticks.

Assumed (LATER_REFUSED): once the leader has released a run because the incarnation that
reports has ended or stopped it, no later incarnation carries out a copy of its start.
Without the assumption, ``make_protocol(assumption="")``, the invariants are refuted.

Not modelled: other tasks and gangs, runs with a higher number on the same worker,
answers to starts and reports that are under way while something else happens, clocks
that are near but not the same, and acknowledgements of ends. ``lease_takeover`` has the
next leader.

A mutant is the protocol without one of its rules, and must violate an invariant.
"""

import dataclasses
import functools
import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import LIVENESS, Spec

# As long as they take by the slowest clock.
LEASE_TICKS: t.Final = 1
MAX_LEASE_TICKS: t.Final = 2
DELAY_TICKS: t.Final = 2
# After the sending of an open order no incarnation holds anything by it for longer.
HOLD_TICKS: t.Final = DELAY_TICKS + MAX_LEASE_TICKS

MAX_LIVES: t.Final = 3
# Open orders at a time.
MAX_ORDERS: t.Final = 2
# Where the task's run is, and what the leader has to do for it.
ON_WORKER: t.Final = "on the worker"
ELSEWHERE: t.Final = "elsewhere"
ORDERED: t.Final = "ordered"
RUNNING: t.Final = "running"
STOPPING: t.Final = "stopping"
# Whether the incarnation to which a stop was sent is still the one known.
PRESENT: t.Final = "present"
FORMER: t.Final = "former"

LATER_REFUSED: t.Final = "no later incarnation carries out what one has refused"

SETTLED_BY_SILENCE: t.Final = "an open copy is settled by silence"
SETTLED_BY_REPORT: t.Final = "an open copy is settled by a report that lacks it"
SETTLED_BY_REFUSAL: t.Final = "an open copy is settled by the refusal of another one"
FROM_FIRST_REPORT: t.Final = "the longest lease counts from the first report"
FORMER_STOP_COUNTS: t.Final = "a former incarnation's acknowledgement counts"
OPEN_FOREVER: t.Final = "an open copy is waited for until it is answered"


class Order(t.NamedTuple):
    """An order without an answer; ``is_pending`` until it has been carried out.

    ``is_for_clock`` if its lease is meant for the present clock; ``age`` is the ticks
    since it was sent.
    """

    kind: str
    is_for_clock: bool
    age: int = 0
    is_pending: bool = True


class LeaseState(t.NamedTuple):
    """A state: first the worker's incarnation, then the leader.

    ``is_refused`` once the incarnation has stopped or ended the run, ``has_ended`` if
    it reports an end. ``place`` is empty while the task waits. ``is_life_known`` if the
    incarnation has reported, ``is_clock_known`` if the leader reckons with its clock.
    ``assumed_ticks`` is how long the incarnation that reported last may hold its lease,
    as far as the leader knows. ``answered_stop`` is empty, or tells whether the
    incarnation that was known when a stop was sent is known still, while the answer is
    under way.
    """

    life: int = 1
    is_cut: bool = False
    is_running: bool = False
    lease_ticks: int = 0
    is_refused: bool = False
    has_ended: bool = False
    orders: tuple[Order, ...] = ()
    is_life_known: bool = True
    is_clock_known: bool = True
    assumed_ticks: int = 0
    has_started: bool = False
    place: str = ""
    phase: str = ""
    has_outlived: bool = False
    is_stop_acknowledged: bool = False
    answered_stop: str = ""


Transitions = t.Iterator[tuple[str, LeaseState]]


def simplify(state: LeaseState) -> LeaseState:
    """Return the state without what has no effect any more."""
    orders = simplify_orders(state.orders)
    if (state.place == ON_WORKER and not state.is_cut) or not state.has_started:
        return state if orders == state.orders else state._replace(orders=orders)
    # Without a report only time settles the run, and one that is given up is over.
    is_waited_for = state.place == ON_WORKER
    return LeaseState(
        life=state.life,
        is_cut=True,
        is_running=state.is_running,
        lease_ticks=state.lease_ticks,
        is_refused=state.is_refused,
        orders=orders if is_waited_for else select_pending(orders),
        assumed_ticks=state.assumed_ticks if is_waited_for else 0,
        has_started=True,
        place=state.place,
    )


@functools.cache
def simplify_orders(orders: tuple[Order, ...]) -> tuple[Order, ...]:
    """Return the orders in one sequence, without those that change nothing."""
    remembered = {
        order._replace(is_for_clock=False)
        for order in orders
        if not order.is_pending and not is_redundant(order, orders)
    }
    return tuple(sorted((*select_pending(orders), *remembered)))


def select_pending(orders: tuple[Order, ...]) -> tuple[Order, ...]:
    """Return the orders that may still be carried out."""
    return tuple(order for order in orders if order.is_pending)


@functools.cache
def age_orders(orders: tuple[Order, ...]) -> tuple[Order, ...]:
    """Return the orders one tick later."""
    return tuple(
        order._replace(
            age=min(order.age + 1, HOLD_TICKS),
            is_pending=order.is_pending and order.age < DELAY_TICKS,
        )
        for order in orders
    )


def is_redundant(order: Order, orders: tuple[Order, ...]) -> bool:
    """Return whether the leader need not remember an order beside a later one.

    What counts is whether a copy of the start is open, and when the last order with a
    lease was sent.
    """
    if order.kind == "stop":
        return True
    if order.kind == "renewal" and order.age >= HOLD_TICKS:
        return True
    kinds = ("start",) if order.kind == "start" else ("start", "renewal")
    return any(other.kind in kinds and other.age < order.age for other in orders)


def is_start_open(state: LeaseState) -> bool:
    """Return whether a copy of the start is open, as the leader sees it."""
    return any(order.kind == "start" for order in state.orders)


def find_open_ticks(state: LeaseState, ticks: int) -> int:
    """Return what is left of ``ticks`` from the last open order with a lease."""
    ages = [order.age for order in state.orders if order.kind != "stop"]
    return max(ticks - min(ages), 0) if ages else 0


def find_wait_ticks(state: LeaseState, mutant: str = "") -> int:
    """Return for how long a silent worker is waited for with its run."""
    ticks = state.assumed_ticks
    if not is_start_open(state) or mutant == SETTLED_BY_SILENCE:
        return ticks
    if mutant == OPEN_FOREVER:
        return max(ticks, 1)
    return max(ticks, find_open_ticks(state, HOLD_TICKS))


def has_room(state: LeaseState, kind: str) -> bool:
    """Return whether another order may stay unanswered; only starts may twice."""
    kinds = [order.kind for order in state.orders if order.is_pending]
    is_single = kind == "start" or kind not in kinds
    return len(state.orders) < MAX_ORDERS and is_single


def add_order(state: LeaseState, kind: str) -> LeaseState:
    """Return the state with an order that gets no answer."""
    orders = sorted((*state.orders, Order(kind, state.is_clock_known)))
    return state._replace(orders=tuple(orders))


def assume_sent_lease(state: LeaseState) -> LeaseState:
    """Return the state with the lease that the leader is about to send."""
    ticks = max(state.assumed_ticks, LEASE_TICKS)
    return state._replace(assumed_ticks=ticks)


def assume_longest_lease(state: LeaseState, mutant: str) -> LeaseState:
    """Return the state with the lease of an incarnation that follows another one."""
    ticks = MAX_LEASE_TICKS
    if mutant != FROM_FIRST_REPORT:
        ticks += find_open_ticks(state, DELAY_TICKS)
    return state._replace(assumed_ticks=ticks, is_clock_known=True)


def release_run(state: LeaseState) -> LeaseState:
    """Return the state in which the task may start elsewhere."""
    return state._replace(place="", phase="", answered_stop="")


def release_refused_run(state: LeaseState, assumption: str) -> LeaseState:
    """Return the state after the incarnation that reports has ended or stopped it."""
    orders = state.orders
    if state.is_refused and assumption == LATER_REFUSED:
        orders = tuple(
            order._replace(is_pending=False) if order.kind == "start" else order
            for order in orders
        )
    return release_run(state._replace(orders=orders))


def find_granted_ticks(state: LeaseState, order: Order) -> list[int]:
    """List the leases that an order may grant when it is carried out now.

    With 0 it has come too late by the worker's clock.
    """
    if order.is_for_clock:
        return [max(LEASE_TICKS - order.age, 0)]
    return [0, MAX_LEASE_TICKS]


def carry_out_start(
    state: LeaseState, order: Order
) -> t.Iterator[tuple[bool, LeaseState]]:
    """Yield whether the worker has the run after a start, and the state."""
    for granted_ticks in find_granted_ticks(state, order):
        if not granted_ticks:
            yield state.is_running, state
            continue
        lease_ticks = max(state.lease_ticks, granted_ticks)
        after = state._replace(lease_ticks=lease_ticks)
        if not state.is_running:
            # Refused for want of room, or as the run has ended or was stopped.
            yield False, after
        if not state.is_refused:
            yield True, after._replace(is_running=True)


def end_run(state: LeaseState) -> LeaseState:
    """Return the state after a stop, or after the end of the run."""
    has_ended = state.has_ended or state.is_running
    return state._replace(is_running=False, is_refused=True, has_ended=has_ended)


def carry_out_renewal(state: LeaseState, order: Order) -> t.Iterator[LeaseState]:
    """Yield the states after a renewal."""
    for granted_ticks in find_granted_ticks(state, order):
        yield state._replace(lease_ticks=max(state.lease_ticks, granted_ticks))


def carry_out_late_transitions(state: LeaseState) -> Transitions:
    """Yield the orders without an answer that the worker carries out now."""
    for order in state.orders:
        if not order.is_pending:
            continue
        others = list(state.orders)
        others.remove(order)
        orders = tuple(sorted((*others, order._replace(is_pending=False))))
        before = state._replace(orders=orders)
        label = f"a {order.kind} is carried out after {order.age} ticks"
        if order.kind == "start":
            for _, after in carry_out_start(before, order):
                yield label, after
        elif order.kind == "stop":
            yield label, end_run(before)
        else:
            for after in carry_out_renewal(before, order):
                yield label, after


def worker_transitions(state: LeaseState) -> Transitions:
    """Yield the end of the run, a restart, and that the worker is cut off for good."""
    if state.is_running:
        yield "the run ends", end_run(state)
    if not state.is_cut and state.place == ON_WORKER:
        # No order is sent after that; those before it may be carried out.
        yield "the worker is cut off", state._replace(is_cut=True)
    if state.life < MAX_LIVES:
        after = state._replace(
            life=state.life + 1,
            is_running=False,
            lease_ticks=0,
            is_refused=False,
            has_ended=False,
            is_life_known=False,
        )
        yield "the worker restarts with a near clock", after
        orders = [order._replace(is_for_clock=False) for order in state.orders]
        after = after._replace(orders=tuple(sorted(orders)), is_clock_known=False)
        yield "the worker restarts", after


def tick(state: LeaseState) -> LeaseState:
    """Return the state one tick later."""
    lease_ticks = max(state.lease_ticks - 1, 0)
    after = state._replace(
        orders=age_orders(state.orders),
        lease_ticks=lease_ticks,
        assumed_ticks=max(state.assumed_ticks - 1, 0),
    )
    return end_run(after) if state.is_running and lease_ticks == 0 else after


def apply_report(state: LeaseState, mutant: str, assumption: str) -> LeaseState:
    """Return the state after a report of the present incarnation."""
    after = state
    if not state.is_life_known:
        after = assume_longest_lease(state, mutant)._replace(
            is_life_known=True,
            has_outlived=state.place == ON_WORKER,
            is_stop_acknowledged=False,
            answered_stop=FORMER if state.answered_stop else "",
        )
    open_orders = [order for order in after.orders if order.age <= DELAY_TICKS]
    after = after._replace(orders=tuple(open_orders))
    if after.place != ON_WORKER:
        return after
    if after.is_running:
        phase = STOPPING if after.phase == STOPPING else RUNNING
        return after._replace(phase=phase)
    return apply_lack(after, mutant, assumption)


def apply_lack(state: LeaseState, mutant: str, assumption: str) -> LeaseState:
    """Return the state after a report that does not list the run."""
    if state.has_ended or (state.phase == STOPPING and state.is_stop_acknowledged):
        return release_refused_run(state, assumption)
    if state.phase == STOPPING and mutant != SETTLED_BY_REPORT:
        return state
    if is_start_open(state) and mutant != SETTLED_BY_REPORT:
        phase = STOPPING if state.has_outlived else ORDERED
        return state._replace(phase=phase)
    return release_run(state)


def start_transitions(state: LeaseState, mutant: str) -> Transitions:
    """Yield the start, or its repetition, with and without an answer."""
    is_first = not state.place and not state.has_started
    is_repeated = state.phase == ORDERED and not state.has_outlived
    if not (is_first or is_repeated) or state.is_cut:
        return
    before = assume_sent_lease(state)
    before = before._replace(place=ON_WORKER, phase=ORDERED, has_started=True)
    if has_room(state, "start"):
        yield "a start is sent without an answer", add_order(before, "start")
    order = Order("start", before.is_clock_known)
    for is_started, carried_out in carry_out_start(before, order):
        after = carried_out
        if not after.is_clock_known:
            after = assume_longest_lease(after, mutant)
        if is_started:
            yield "a start is answered: started", after._replace(phase=RUNNING)
            continue
        if not is_start_open(after) or mutant == SETTLED_BY_REFUSAL:
            after = release_run(after)
        yield "a start is answered: refused", after


def report_transitions(state: LeaseState, mutant: str, assumption: str) -> Transitions:
    """Yield a report, with and without a renewal, and a renewal without an answer.

    The leader renews the lease also for the runs of other tasks.
    """
    if state.is_cut:
        return
    before = assume_sent_lease(state)
    if has_room(state, "renewal"):
        yield "a renewal is sent without an answer", add_order(before, "renewal")
    yield "the worker reports", apply_report(state, mutant, assumption)
    order = Order("renewal", before.is_clock_known)
    for after in carry_out_renewal(before, order):
        yield "a renewal is answered", apply_report(after, mutant, assumption)


def stop_transitions(state: LeaseState, mutant: str) -> Transitions:
    """Yield a stop, with and without an answer, and the arrival of an answer."""
    if state.answered_stop:
        counts = state.answered_stop == PRESENT or mutant == FORMER_STOP_COUNTS
        after = state._replace(answered_stop="")
        if counts:
            after = after._replace(is_stop_acknowledged=True)
        yield "the answer to a stop arrives", after
    if state.place != ON_WORKER or state.is_cut:
        return
    if state.phase != STOPPING:
        yield "the leader wants to stop the run", state._replace(phase=STOPPING)
        return
    if has_room(state, "stop"):
        yield "a stop is sent without an answer", add_order(state, "stop")
    if not state.answered_stop:
        after = end_run(state)
        yield "a stop is answered", after._replace(answered_stop=PRESENT)


def plan_transitions(state: LeaseState, mutant: str) -> Transitions:
    """Yield the loss of the run of a silent worker, and the start elsewhere."""
    if not state.place:
        yield "the task starts elsewhere", state._replace(place=ELSEWHERE)
    elif not find_wait_ticks(state, mutant):
        yield "the run is lost", release_run(state)


def make_protocol(
    mutant: str = "", assumption: str = LATER_REFUSED
) -> minicheck.Protocol:
    """Make the protocol, or the mutant of that name."""

    def transitions(values: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        state = LeaseState(*values)
        successors = [("a tick passes", tick(state))]
        successors += carry_out_late_transitions(state)
        successors += worker_transitions(state)
        if state.place != ELSEWHERE:
            successors += start_transitions(state, mutant)
            successors += report_transitions(state, mutant, assumption)
            successors += stop_transitions(state, mutant)
            successors += plan_transitions(state, mutant)
        simplified = [(label, simplify(after)) for label, after in successors]
        return [(label, tuple(after)) for label, after in simplified if after != state]

    return minicheck.Protocol(
        name="leases",
        candidate=False,
        fields=LeaseState._fields,
        initial=tuple(LeaseState()),
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
    """Return whether the leader waits for as long as the worker may keep the run."""
    state = LeaseState(**fields)
    if not state.is_running:
        return True
    wait_ticks = find_wait_ticks(state)
    return state.place == ON_WORKER and state.lease_ticks <= wait_ticks


@plugins.register("model", "leases")
def make_spec() -> Spec:
    """Make the protocol and its mutants by the invariant that they must violate."""
    mutants_by_invariant = {
        "one run at a time": [
            SETTLED_BY_SILENCE,
            SETTLED_BY_REPORT,
            SETTLED_BY_REFUSAL,
            FROM_FIRST_REPORT,
            FORMER_STOP_COUNTS,
        ],
        "the lease of each incarnation is waited for": [
            SETTLED_BY_REPORT,
            FROM_FIRST_REPORT,
        ],
    }
    mutants = make_mutants(make_protocol, mutants_by_invariant)
    # One incarnation is enough for it.
    last = tuple(LeaseState(life=MAX_LIVES))
    mutant = dataclasses.replace(make_protocol(OPEN_FOREVER), initial=last)
    mutants[f"{OPEN_FOREVER} / {LIVENESS}"] = (mutant, LIVENESS)
    return Spec(make_protocol(), mutants)
