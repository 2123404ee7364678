"""A change of leaders: at most one run of a task, and none after it is known as done.

Two leaders of terms 1 and 2, two workers, one task, runs numbered by the term. Orders
are kept once sent, so each may be lost, late or doubled. The first leader may be cut
off from the store and from a worker, and go on with the other until its authority is
over. Time is left out: that the authority of term 1 ends and that leases given under it
run out are steps of their own, the second only after the first.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import Spec

WORKERS: t.Final = (0, 1)
TERMS: t.Final = (1, 2)


class Worker(t.NamedTuple):
    """A worker: its fence, what it runs (0 is nothing), and an end it still lists."""

    fence: int = 0
    running: int = 0
    highest_run_number: int = 0
    has_unacknowledged_end: bool = False


class Leader(t.NamedTuple):
    """A leader: whether it leads, what it has loaded, whom it has heard."""

    has_claimed: bool = False
    loaded: bool = False
    knows_done: bool = False
    reported: tuple[bool, bool] = (False, False)
    known_running: tuple[bool, bool] = (False, False)
    start_sent: bool = False


class ModelState(t.NamedTuple):
    """The whole: leaders, workers, the store, and orders that were sent."""

    leaders: tuple[Leader, ...]
    workers: tuple[Worker, ...]
    store_epoch: int
    store_done: bool
    sent_starts: frozenset[tuple[int, int]]
    authority_valid: bool
    leases_valid: bool
    end_acknowledged: bool
    started_after_acknowledged_end: bool


def replace_item(row: tuple[t.Any, ...], i: int, value: t.Any) -> tuple[t.Any, ...]:
    """Replace one item."""
    return (*row[:i], value, *row[i + 1 :])


def with_worker(world: ModelState, w: int, **changes: t.Any) -> ModelState:
    """Change a worker."""
    return world._replace(
        workers=replace_item(world.workers, w, world.workers[w]._replace(**changes))
    )


def with_leader(world: ModelState, term: int, **changes: t.Any) -> ModelState:
    """Change a leader."""
    i = term - 1
    return world._replace(
        leaders=replace_item(world.leaders, i, world.leaders[i]._replace(**changes))
    )


def may_send_orders(world: ModelState, term: int) -> bool:
    """Tell whether a leader still orders anything."""
    return world.leaders[term - 1].has_claimed and (term == 2 or world.authority_valid)


def is_reconciled(world: ModelState, term: int, mutant: str) -> bool:
    """Tell whether no worker can run the task unseen."""
    leader = world.leaders[term - 1]
    if term == 1 or all(leader.reported):
        return True
    if mutant == "silent workers are not waited for":
        return True
    over = not world.authority_valid
    if mutant != "only the authority is waited for":
        over = over and not world.leases_valid
    return over


def claim_transitions(
    world: ModelState, term: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield how a leader begins: it fences the store, then loads."""
    leader = world.leaders[term - 1]
    if leader.loaded:
        return
    fence_first = mutant != "the store is loaded before it is fenced"
    if not leader.has_claimed:
        after = world
        if fence_first:
            after = world._replace(store_epoch=max(world.store_epoch, term))
        yield f"{term} claims", with_leader(after, term, has_claimed=True)
        return
    after = world
    if fence_first:
        after = world._replace(store_epoch=max(world.store_epoch, term))
    yield (
        f"{term} loads",
        with_leader(after, term, loaded=True, knows_done=world.store_done),
    )


def lease_renewal_transitions(
    world: ModelState, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield a hold of a leader at a worker, answered with its lists."""
    worker, leader = world.workers[w], world.leaders[term - 1]
    if not leader.loaded or not may_send_orders(world, term):
        return
    if worker.fence > term and mutant != "workers check no fence":
        return
    after = with_worker(world, w, fence=max(worker.fence, term))
    yield (
        f"{term} hears {w}",
        with_leader(
            after,
            term,
            reported=replace_item(leader.reported, w, True),
            known_running=replace_item(leader.known_running, w, bool(worker.running)),
            knows_done=leader.knows_done or worker.has_unacknowledged_end,
        ),
    )


def start_order_transitions(
    world: ModelState, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the order of a start."""
    leader = world.leaders[term - 1]
    ready = leader.loaded and (leader.reported[w] or mutant == "a start goes unheard")
    if not ready or not may_send_orders(world, term) or leader.start_sent:
        return
    if leader.knows_done or any(leader.known_running):
        return
    if not is_reconciled(world, term, mutant):
        return
    after = with_leader(world, term, start_sent=True)
    yield (
        f"{term} orders {w}",
        after._replace(sent_starts=world.sent_starts | {(term, w)}),
    )


def execute_start_transitions(
    world: ModelState, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield a worker that carries out an order, perhaps late."""
    worker = world.workers[w]
    if worker.fence > term and mutant != "workers check no fence":
        return
    late = term == 1 and not world.leases_valid
    if late and mutant != "late starts are carried out":
        return
    if worker.highest_run_number >= term:
        return
    bad = world.end_acknowledged
    after = with_worker(
        world, w, running=term, highest_run_number=term, fence=max(worker.fence, term)
    )
    yield (
        f"{w} starts {term}",
        after._replace(
            started_after_acknowledged_end=world.started_after_acknowledged_end or bad
        ),
    )


def run_end_transitions(
    world: ModelState, w: int
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the end of a run, well or by its lease."""
    worker = world.workers[w]
    if worker.running:
        yield (
            f"{w} ends well",
            with_worker(world, w, running=0, has_unacknowledged_end=True),
        )
    if worker.running == 1 and not world.leases_valid:
        yield f"{w} lapses", with_worker(world, w, running=0)


def record_end_transitions(
    world: ModelState, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield a leader that stores an end, and lets the worker forget it."""
    worker, leader = world.workers[w], world.leaders[term - 1]
    if not (
        leader.loaded
        and leader.has_claimed
        and worker.has_unacknowledged_end
        and leader.reported[w]
    ):
        return
    stored = world.store_epoch <= term
    if stored:
        after = with_leader(world._replace(store_done=True), term, knows_done=True)
        yield f"{term} stores the end", after
    may_forget = world.store_done and (stored or leader.knows_done)
    if mutant == "an end is forgotten before it is stored":
        may_forget = True
    if may_forget and (worker.fence <= term or mutant == "workers check no fence"):
        after = with_worker(
            world, w, has_unacknowledged_end=False, fence=max(worker.fence, term)
        )
        yield f"{term} lets {w} forget", after._replace(end_acknowledged=True)


def expiry_transitions(world: ModelState) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the end of the first leader's authority, then of its leases."""
    if world.authority_valid and world.leaders[1].has_claimed:
        yield "authority ends", world._replace(authority_valid=False)
    elif not world.authority_valid and world.leases_valid:
        # What ran under those leases ends with them, and ends that nobody noted
        # before that count no more.
        after = world._replace(leases_valid=False)
        for w in WORKERS:
            if world.workers[w].fence < 2:
                after = with_worker(after, w, running=0, has_unacknowledged_end=False)
        yield "leases end", after


def make_protocol(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol, or a mutant of it."""

    def transitions(state: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        world = ModelState(*state)
        rows: list[tuple[str, ModelState]] = list(expiry_transitions(world))
        for term in TERMS:
            if term == 1 or world.leaders[0].loaded:
                rows += claim_transitions(world, term, mutant)
            for w in WORKERS:
                rows += lease_renewal_transitions(world, term, w, mutant)
                rows += start_order_transitions(world, term, w, mutant)
                rows += record_end_transitions(world, term, w, mutant)
                if (term, w) in world.sent_starts:
                    rows += execute_start_transitions(world, term, w, mutant)
        for w in WORKERS:
            rows += run_end_transitions(world, w)
        return [(label, tuple(new)) for label, new in rows if new != world]

    start = ModelState(
        (Leader(), Leader()),
        (Worker(), Worker()),
        0,
        False,
        frozenset(),
        True,
        True,
        False,
        False,
    )
    return minicheck.Protocol(
        name="takeover",
        candidate=False,
        fields=ModelState._fields,
        initial=tuple(start),
        transitions=transitions,
        invariants={
            "one run at a time": lambda d: (
                sum(bool(one.running) for one in d["workers"]) <= 1
            ),
            "no start after a stored end": lambda d: (
                not d["started_after_acknowledged_end"]
            ),
        },
    )


@plugins.register("model", "takeover")
def make_spec() -> Spec:
    """Make the specification and its mutants."""
    breaks = {
        "one run at a time": [
            "silent workers are not waited for",
            "only the authority is waited for",
            "workers check no fence",
            "late starts are carried out",
        ],
        "no start after a stored end": [
            "the store is loaded before it is fenced",
            "an end is forgotten before it is stored",
        ],
    }
    return Spec(make_protocol(), make_mutants(make_protocol, breaks))
