"""Model a takeover: a task has one run at a time, and none after its stored end.

Two leaders (of terms 1 and 2), two workers, one task. A run has the number of the term
that ordered it. Start orders are never removed once sent, so each can be lost, late or
delivered twice. Leader 1 can be cut off from the store and from one worker, and go on
with the other worker until its authority expires. Time is not modelled: the authority
of term 1 expires in one transition, and the leases given under it in a later one.

A mutant is the protocol without one of its rules, and must violate an invariant.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import Spec

WORKERS: t.Final = (0, 1)
TERMS: t.Final = (1, 2)


class Worker(t.NamedTuple):
    """A worker: its fencing token, its run (0: none), and what it has run.

    ``has_unacknowledged_end`` is set while it reports an end with outcome done.
    """

    fence: int = 0
    running: int = 0
    highest_run_number: int = 0
    has_unacknowledged_end: bool = False


class Leader(t.NamedTuple):
    """A leader: its progress with the takeover, and what it knows of the task.

    ``reported`` and ``known_running`` have one value for each worker.
    """

    has_claimed: bool = False
    loaded: bool = False
    knows_done: bool = False
    reported: tuple[bool, bool] = (False, False)
    known_running: tuple[bool, bool] = (False, False)
    start_sent: bool = False


class ModelState(t.NamedTuple):
    """A state: leaders, workers, the store, and the start orders that were sent.

    ``sent_starts`` has pairs of term and worker. Authority and leases are those of
    term 1.
    """

    leaders: tuple[Leader, ...]
    workers: tuple[Worker, ...]
    store_epoch: int
    store_done: bool
    sent_starts: frozenset[tuple[int, int]]
    authority_valid: bool
    leases_valid: bool
    end_acknowledged: bool
    started_after_acknowledged_end: bool


def replace_item(row: tuple[t.Any, ...], index: int, value: t.Any) -> tuple[t.Any, ...]:
    """Return a copy of a tuple with one item replaced."""
    return (*row[:index], value, *row[index + 1 :])


def with_worker(state: ModelState, worker_id: int, **changes: t.Any) -> ModelState:
    """Return the state with changed fields of a worker."""
    return state._replace(
        workers=replace_item(
            state.workers, worker_id, state.workers[worker_id]._replace(**changes)
        )
    )


def with_leader(state: ModelState, term: int, **changes: t.Any) -> ModelState:
    """Return the state with changed fields of the leader of a term."""
    index = term - 1
    return state._replace(
        leaders=replace_item(
            state.leaders, index, state.leaders[index]._replace(**changes)
        )
    )


def may_send_orders(state: ModelState, term: int) -> bool:
    """Return whether a leader has claimed its term and its authority is valid."""
    return state.leaders[term - 1].has_claimed and (term == 2 or state.authority_valid)


def is_reconciled(state: ModelState, term: int, mutant: str) -> bool:
    """Return whether no worker can run the task unknown to the leader.

    That holds once all workers have reported, or the leases of term 1 have expired.
    """
    leader = state.leaders[term - 1]
    if term == 1 or all(leader.reported):
        return True
    if mutant == "silent workers are not waited for":
        return True
    expired = not state.authority_valid
    if mutant != "only the authority is waited for":
        expired = expired and not state.leases_valid
    return expired


def claim_transitions(
    state: ModelState, term: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the claim of a term, then the load; both fence the store first."""
    leader = state.leaders[term - 1]
    if leader.loaded:
        return
    fence_first = mutant != "the store is loaded before it is fenced"
    if not leader.has_claimed:
        after = state
        if fence_first:
            after = state._replace(store_epoch=max(state.store_epoch, term))
        yield (
            f"leader {term} claims",
            with_leader(after, term, has_claimed=True),
        )
        return
    after = state
    if fence_first:
        after = state._replace(store_epoch=max(state.store_epoch, term))
    yield (
        f"leader {term} loads",
        with_leader(after, term, loaded=True, knows_done=state.store_done),
    )


def lease_renewal_transitions(
    state: ModelState, term: int, worker_id: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield a lease renewal, answered with the worker's report of runs and ends."""
    worker, leader = state.workers[worker_id], state.leaders[term - 1]
    if not leader.loaded or not may_send_orders(state, term):
        return
    if worker.fence > term and mutant != "workers check no fence":
        return
    after = with_worker(state, worker_id, fence=max(worker.fence, term))
    yield (
        f"leader {term} renews lease on worker {worker_id}",
        with_leader(
            after,
            term,
            reported=replace_item(leader.reported, worker_id, True),
            known_running=replace_item(
                leader.known_running, worker_id, bool(worker.running)
            ),
            knows_done=leader.knows_done or worker.has_unacknowledged_end,
        ),
    )


def start_order_transitions(
    state: ModelState, term: int, worker_id: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the leader's only start order, sent if it knows of no run and no end."""
    leader = state.leaders[term - 1]
    ready = leader.loaded and (
        leader.reported[worker_id] or mutant == "a start goes unheard"
    )
    if not ready or not may_send_orders(state, term) or leader.start_sent:
        return
    if leader.knows_done or any(leader.known_running):
        return
    if not is_reconciled(state, term, mutant):
        return
    after = with_leader(state, term, start_sent=True)
    yield (
        f"leader {term} orders start on worker {worker_id}",
        after._replace(sent_starts=state.sent_starts | {(term, worker_id)}),
    )


def execute_start_transitions(
    state: ModelState, term: int, worker_id: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the execution of a start order by a worker, possibly a late one.

    A worker refuses an order of an earlier term than its fencing token, one whose lease
    has expired, and one whose run number is not higher than those it has run.
    """
    worker = state.workers[worker_id]
    if worker.fence > term and mutant != "workers check no fence":
        return
    order_expired = term == 1 and not state.leases_valid
    if order_expired and mutant != "late starts are carried out":
        return
    if worker.highest_run_number >= term:
        return
    after_end = state.end_acknowledged
    after = with_worker(
        state,
        worker_id,
        running=term,
        highest_run_number=term,
        fence=max(worker.fence, term),
    )
    yield (
        f"worker {worker_id} starts run {term}",
        after._replace(
            started_after_acknowledged_end=(
                state.started_after_acknowledged_end or after_end
            )
        ),
    )


def run_end_transitions(
    state: ModelState, worker_id: int
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the end of a run: its work is done, or its lease expires."""
    worker = state.workers[worker_id]
    if worker.running:
        yield (
            f"worker {worker_id} completes its run",
            with_worker(state, worker_id, running=0, has_unacknowledged_end=True),
        )
    if worker.running == 1 and not state.leases_valid:
        yield (
            f"lease of worker {worker_id} expires",
            with_worker(state, worker_id, running=0),
        )


def record_end_transitions(
    state: ModelState, term: int, worker_id: int, mutant: str
) -> t.Iterator[tuple[str, ModelState]]:
    """Yield a leader that stores an end, and one that acknowledges it to the worker.

    An end is acknowledged only once it is stored, because the worker no longer reports
    an acknowledged end.
    """
    worker, leader = state.workers[worker_id], state.leaders[term - 1]
    if not (
        leader.loaded
        and leader.has_claimed
        and worker.has_unacknowledged_end
        and leader.reported[worker_id]
    ):
        return
    stored = state.store_epoch <= term
    if stored:
        after = with_leader(state._replace(store_done=True), term, knows_done=True)
        yield f"leader {term} stores end", after
    may_acknowledge = state.store_done and (stored or leader.knows_done)
    if mutant == "an end is forgotten before it is stored":
        may_acknowledge = True
    if may_acknowledge and (worker.fence <= term or mutant == "workers check no fence"):
        after = with_worker(
            state,
            worker_id,
            has_unacknowledged_end=False,
            fence=max(worker.fence, term),
        )
        yield (
            f"leader {term} acknowledges end to worker {worker_id}",
            after._replace(end_acknowledged=True),
        )


def expiry_transitions(state: ModelState) -> t.Iterator[tuple[str, ModelState]]:
    """Yield the expiry of the authority of term 1, then of its leases."""
    if state.authority_valid and state.leaders[1].has_claimed:
        yield "authority of term 1 expires", state._replace(authority_valid=False)
    elif not state.authority_valid and state.leases_valid:
        # On workers that leader 2 has not reached, the runs under those leases end with
        # them, and ends not acknowledged by then no longer count.
        after = state._replace(leases_valid=False)
        for worker_id in WORKERS:
            if state.workers[worker_id].fence < 2:
                after = with_worker(
                    after, worker_id, running=0, has_unacknowledged_end=False
                )
        yield "leases of term 1 expire", after


def make_protocol(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol, or the mutant of that name."""

    def transitions(values: tuple[t.Any, ...]) -> list[tuple[str, t.Any]]:
        state = ModelState(*values)
        successors: list[tuple[str, ModelState]] = list(expiry_transitions(state))
        for term in TERMS:
            if term == 1 or state.leaders[0].loaded:
                successors += claim_transitions(state, term, mutant)
            for worker_id in WORKERS:
                successors += lease_renewal_transitions(state, term, worker_id, mutant)
                successors += start_order_transitions(state, term, worker_id, mutant)
                successors += record_end_transitions(state, term, worker_id, mutant)
                if (term, worker_id) in state.sent_starts:
                    successors += execute_start_transitions(
                        state, term, worker_id, mutant
                    )
        for worker_id in WORKERS:
            successors += run_end_transitions(state, worker_id)
        return [
            (label, tuple(successor))
            for label, successor in successors
            if successor != state
        ]

    initial = ModelState(
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
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "one run at a time": lambda fields: (
                sum(bool(worker.running) for worker in fields["workers"]) <= 1
            ),
            "no start after a stored end": lambda fields: (
                not fields["started_after_acknowledged_end"]
            ),
        },
    )


@plugins.register("model", "takeover")
def make_spec() -> Spec:
    """Make the protocol and its mutants by the invariant that they must violate."""
    mutants_by_invariant = {
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
    return Spec(make_protocol(), make_mutants(make_protocol, mutants_by_invariant))
