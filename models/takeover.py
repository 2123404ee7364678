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
    highest: int = 0
    done: bool = False


class Leader(t.NamedTuple):
    """A leader: whether it leads, what it has loaded, whom it has heard."""

    leads: bool = False
    loaded: bool = False
    knows_done: bool = False
    heard: tuple[bool, bool] = (False, False)
    runs_on: tuple[bool, bool] = (False, False)
    started: bool = False


class World(t.NamedTuple):
    """The whole: leaders, workers, the store, and orders that were sent."""

    leaders: tuple[Leader, ...]
    workers: tuple[Worker, ...]
    store_epoch: int
    store_done: bool
    sent: frozenset[tuple[int, int]]
    authority: bool
    leases: bool
    forgotten: bool
    bad_start: bool


def put(row: tuple[t.Any, ...], i: int, value: t.Any) -> tuple[t.Any, ...]:
    """Replace one item."""
    return (*row[:i], value, *row[i + 1 :])


def with_worker(world: World, w: int, **changes: t.Any) -> World:
    """Change a worker."""
    return world._replace(
        workers=put(world.workers, w, world.workers[w]._replace(**changes))
    )


def with_leader(world: World, term: int, **changes: t.Any) -> World:
    """Change a leader."""
    i = term - 1
    return world._replace(
        leaders=put(world.leaders, i, world.leaders[i]._replace(**changes))
    )


def may_order(world: World, term: int) -> bool:
    """Tell whether a leader still orders anything."""
    return world.leaders[term - 1].leads and (term == 2 or world.authority)


def is_settled(world: World, term: int, mutant: str) -> bool:
    """Tell whether no worker can run the task unseen."""
    leader = world.leaders[term - 1]
    if term == 1 or all(leader.heard):
        return True
    if mutant == "silent workers are not waited for":
        return True
    over = not world.authority
    if mutant != "only the authority is waited for":
        over = over and not world.leases
    return over


def lead_steps(world: World, term: int, mutant: str) -> t.Iterator[tuple[str, World]]:
    """Yield how a leader begins: it fences the store, then loads."""
    leader = world.leaders[term - 1]
    if leader.loaded:
        return
    fence_first = mutant != "the store is loaded before it is fenced"
    if not leader.leads:
        after = world
        if fence_first:
            after = world._replace(store_epoch=max(world.store_epoch, term))
        yield f"{term} claims", with_leader(after, term, leads=True)
        return
    after = world
    if fence_first:
        after = world._replace(store_epoch=max(world.store_epoch, term))
    yield (
        f"{term} loads",
        with_leader(after, term, loaded=True, knows_done=world.store_done),
    )


def hear_steps(
    world: World, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, World]]:
    """Yield a hold of a leader at a worker, answered with its lists."""
    worker, leader = world.workers[w], world.leaders[term - 1]
    if not leader.loaded or not may_order(world, term):
        return
    if worker.fence > term and mutant != "workers check no fence":
        return
    after = with_worker(world, w, fence=max(worker.fence, term))
    yield (
        f"{term} hears {w}",
        with_leader(
            after,
            term,
            heard=put(leader.heard, w, True),
            runs_on=put(leader.runs_on, w, bool(worker.running)),
            knows_done=leader.knows_done or worker.done,
        ),
    )


def start_steps(
    world: World, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, World]]:
    """Yield the order of a start."""
    leader = world.leaders[term - 1]
    ready = leader.loaded and (leader.heard[w] or mutant == "a start goes unheard")
    if not ready or not may_order(world, term) or leader.started:
        return
    if leader.knows_done or any(leader.runs_on):
        return
    if not is_settled(world, term, mutant):
        return
    after = with_leader(world, term, started=True)
    yield f"{term} orders {w}", after._replace(sent=world.sent | {(term, w)})


def carry_out_steps(
    world: World, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, World]]:
    """Yield a worker that carries out an order, perhaps late."""
    worker = world.workers[w]
    if worker.fence > term and mutant != "workers check no fence":
        return
    late = term == 1 and not world.leases
    if late and mutant != "late starts are carried out":
        return
    if worker.highest >= term:
        return
    bad = world.forgotten
    after = with_worker(
        world, w, running=term, highest=term, fence=max(worker.fence, term)
    )
    yield (
        f"{w} starts {term}",
        after._replace(bad_start=world.bad_start or bad),
    )


def worker_steps(world: World, w: int) -> t.Iterator[tuple[str, World]]:
    """Yield the end of a run, well or by its lease."""
    worker = world.workers[w]
    if worker.running:
        yield f"{w} ends well", with_worker(world, w, running=0, done=True)
    if worker.running == 1 and not world.leases:
        yield f"{w} lapses", with_worker(world, w, running=0)


def note_steps(
    world: World, term: int, w: int, mutant: str
) -> t.Iterator[tuple[str, World]]:
    """Yield a leader that stores an end, and lets the worker forget it."""
    worker, leader = world.workers[w], world.leaders[term - 1]
    if not (leader.loaded and leader.leads and worker.done and leader.heard[w]):
        return
    stored = world.store_epoch <= term
    if stored:
        after = with_leader(world._replace(store_done=True), term, knows_done=True)
        yield f"{term} stores the end", after
    may_forget = world.store_done and (stored or leader.knows_done)
    if mutant == "an end is forgotten before it is stored":
        may_forget = True
    if may_forget and (worker.fence <= term or mutant == "workers check no fence"):
        after = with_worker(world, w, done=False, fence=max(worker.fence, term))
        yield f"{term} lets {w} forget", after._replace(forgotten=True)


def time_steps(world: World) -> t.Iterator[tuple[str, World]]:
    """Yield the end of the first leader's authority, then of its leases."""
    if world.authority and world.leaders[1].leads:
        yield "authority ends", world._replace(authority=False)
    elif not world.authority and world.leases:
        # What ran under those leases ends with them, and ends that nobody noted
        # before that count no more.
        after = world._replace(leases=False)
        for w in WORKERS:
            if world.workers[w].fence < 2:
                after = with_worker(after, w, running=0, done=False)
        yield "leases end", after


def make_protocol(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol, or a mutant of it."""

    def transitions(state: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        world = World(*state)
        rows: list[tuple[str, World]] = list(time_steps(world))
        for term in TERMS:
            if term == 1 or world.leaders[0].loaded:
                rows += lead_steps(world, term, mutant)
            for w in WORKERS:
                rows += hear_steps(world, term, w, mutant)
                rows += start_steps(world, term, w, mutant)
                rows += note_steps(world, term, w, mutant)
                if (term, w) in world.sent:
                    rows += carry_out_steps(world, term, w, mutant)
        for w in WORKERS:
            rows += worker_steps(world, w)
        return [(label, tuple(new)) for label, new in rows if new != world]

    start = World(
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
        fields=World._fields,
        initial=tuple(start),
        transitions=transitions,
        invariants={
            "one run at a time": lambda d: (
                sum(bool(one.running) for one in d["workers"]) <= 1
            ),
            "no start after a stored end": lambda d: not d["bad_start"],
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
