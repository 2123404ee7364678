"""Specifications of who may start tasks on a worker.

``promises``: members A and B and a witness W vote in epoch 1, in which A owns the
worker; epoch 2 gives it to B. Time is in ticks, which all clocks share; anything may be
late or never come, so a pause, a cut and a lost message need no states of their own.

``starts``: who has authority is given (one at a time, as the first shows); a worker of
one slot goes from A to B and back to A.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.run import Spec

LEASE: t.Final = 2
TRANSIT: t.Final = 1

State = tuple[t.Any, ...]
Steps = list[tuple[str, State]]


class Promises(t.NamedTuple):
    """State of the first specification; times are ticks left.

    ``promised`` and ``sealed`` are of the voters A, B, W; ``granted`` is what A counts
    on; ``request`` and ``promise`` are messages between A and W with the ticks since
    the request was sent. ``over`` is how long B waits for each voter, -1 for unknown.
    """

    newest: int = 1
    a_knows: int = 1
    a_lives: bool = True
    w_restarted: bool = False
    promised: tuple[int, int, int] = (0, 0, 0)
    sealed: tuple[bool, bool, bool] = (False, False, False)
    granted: tuple[int, int, int] = (0, 0, 0)
    request: int = -1
    promise: int = -1
    over: tuple[int, int, int] = (-1, -1, -1)
    start: int = -1
    released: bool = False
    b_owns: bool = False
    late_start: bool = False


A, B, W = 0, 1, 2
MAJORITY: t.Final = 2


def _put(row: tuple, i: int, value: t.Any) -> tuple:
    return (*row[:i], value, *row[i + 1 :])


def lease_left(s: Promises) -> int:
    """Tell how long A's authority lasts: the newest that a majority has granted."""
    if not s.a_lives or s.a_knows > 1:
        return 0
    return sorted(s.granted, reverse=True)[MAJORITY - 1]


def promise_steps(s: Promises, broken: str) -> Steps:
    """List what can happen next; ``broken`` names the mechanism that is missing."""
    rv = [*_holder_steps(s, broken), *_voter_steps(s, broken)]
    rv += [*_successor_steps(s, broken), *_fault_steps(s), *_time_steps(s)]
    return rv


def _holder_steps(s: Promises, broken: str) -> Steps:
    rv: Steps = []
    if not s.a_lives:
        return rv
    if s.a_knows == 1 and s.request < 0:
        asked = s._replace(request=0)
        if not s.sealed[A]:
            asked = asked._replace(
                promised=_put(s.promised, A, LEASE), granted=_put(s.granted, A, LEASE)
            )
        rv.append(("A sends PromiseRequest", asked))
        if not s.sealed[B]:
            # B's promise is at once, so that only W's are late.
            both = asked._replace(
                promised=_put(asked.promised, B, LEASE),
                granted=_put(asked.granted, B, LEASE),
            )
            rv.append(("A sends PromiseRequest and B promises", both))
    if s.promise >= 0:
        left = LEASE if broken == "count_from_receipt" else LEASE - s.promise
        granted = _put(s.granted, W, max(left, s.granted[W]))
        rv.append(("A gets Promise", s._replace(promise=-1, granted=granted)))
    may_start = lease_left(s) > 0 or (broken == "no_clock" and s.a_knows == 1)
    if may_start and s.start < 0:
        rv.append(("A checks and sends a start", s._replace(start=TRANSIT)))
    if s.newest == 2 and s.a_knows == 1:
        gone = s._replace(a_knows=2, granted=(0, 0, 0), request=-1, promise=-1)
        rv.append(("A reads RosterSet 2 and sends Released", gone))
    return rv


def _voter_steps(s: Promises, broken: str) -> Steps:
    rv: Steps = []
    votes = not s.w_restarted or broken == "restarted_voter_votes"
    if s.request >= 0:
        rv.append(("PromiseRequest is lost", s._replace(request=-1)))
        if votes and not s.sealed[W] and s.promise < 0:
            promised = _put(s.promised, W, LEASE)
            given = s._replace(request=-1, promise=s.request, promised=promised)
            rv.append(("W promises", given))
    if s.promise >= 0:
        rv.append(("Promise is lost", s._replace(promise=-1)))
    if s.newest == 2:
        for voter in (A, B, W):
            can = s.a_lives if voter == A else voter == B or not s.w_restarted
            if broken == "restarted_voter_seals" and voter == W:
                can = True
            if can and s.over[voter] < 0:
                rv.append((f"{'ABW'[voter]} sends Sealed", _seal(s, voter, broken)))
    return rv


def _seal(s: Promises, voter: int, broken: str) -> Promises:
    wait = 0 if broken == "no_wait" else s.promised[voter]
    transit = 0 if broken in ("no_wait", "no_transit") else TRANSIT
    sealed = s.sealed if broken == "no_seal" else _put(s.sealed, voter, True)
    # A promise of 0 ticks ran out, if ever it was given: nothing is under way either.
    over = wait + transit if s.promised[voter] or voter != B else transit
    return s._replace(sealed=sealed, over=_put(s.over, voter, over))


def _successor_steps(s: Promises, broken: str) -> Steps:
    rv: Steps = []
    if s.newest == 2 and s.w_restarted and s.over[W] < 0:
        wait = LEASE + TRANSIT
        rv.append(("B sees W anew", s._replace(over=_put(s.over, W, wait))))
    if s.newest == 2 and not s.a_lives and s.over[A] < 0:
        wait = LEASE + TRANSIT
        rv.append(("B misses A in the list", s._replace(over=_put(s.over, A, wait))))
    if s.a_knows == 2 and not s.released:
        rv.append(("B gets Released", s._replace(released=True)))
    needed = 1 if broken == "no_majority" else MAJORITY
    over = sum(left == 0 for left in s.over) >= needed
    if s.newest == 2 and not s.b_owns and (over or s.released):
        # What A had under way when it released is told with it: see ``starts``.
        start = -1 if s.released else s.start
        owns = s._replace(b_owns=True, start=start, over=(0, 0, 0))
        rv.append(("B lists tasks and owns", owns))
    return rv


def _fault_steps(s: Promises) -> Steps:
    rv: Steps = []
    if s.newest == 1:
        rv.append(("the log takes RosterSet 2", s._replace(newest=2)))
    if s.a_lives:
        dead = s._replace(a_lives=False, granted=(0, 0, 0), request=-1, promise=-1)
        rv.append(("A dies", dead))
    if not s.w_restarted:
        fresh = s._replace(
            w_restarted=True,
            promised=_put(s.promised, W, 0),
            sealed=_put(s.sealed, W, False),
        )
        rv.append(("W restarts", fresh))
    if s.start >= 0:
        arrived = s._replace(start=-1, late_start=s.late_start or s.b_owns)
        rv.append(("the start arrives", arrived))
        rv.append(("the start is lost", s._replace(start=-1)))
    return rv


def _time_steps(s: Promises) -> Steps:
    if s.start == 0:
        # The connection breaks before a start can be older.
        return []
    ticked = s._replace(
        promised=tuple(max(one - 1, 0) for one in s.promised),
        granted=tuple(max(one - 1, 0) for one in s.granted),
        request=min(s.request + 1, LEASE) if s.request >= 0 else -1,
        promise=min(s.promise + 1, LEASE) if s.promise >= 0 else -1,
        over=tuple(one - 1 if one > 0 else one for one in s.over),
        start=s.start - 1 if s.start > 0 else s.start,
    )
    return [("a tick passes", ticked)]


class Starts(t.NamedTuple):
    """State of the second specification.

    ``phase`` of the newest epoch is held (its owner starts), changing (the owner before
    still may), over, or asked. ``decided`` has the epoch in which A and B decided a
    start that is not sent yet, ``counted`` how much each thinks is taken.
    """

    epoch: int = 1
    phase: str = "held"
    counted: tuple[int, int] = (0, 0)
    decided: tuple[int, int] = (0, 0)
    sent: int = 0
    handed: bool = False
    listed: int = -1
    running: int = 0
    stale_start: bool = False


EPOCHS: t.Final = 3


def _owner(epoch: int) -> int:
    return (epoch - 1) % 2


def _authority(s: Starts) -> int:
    """Give the epoch whose owner may start now, or 0."""
    if s.phase == "held":
        return s.epoch
    return s.epoch - 1 if s.phase == "changing" else 0


def start_steps(s: Starts, broken: str) -> Steps:
    """List what can happen next; ``broken`` names the mechanism that is missing."""
    rv = [*_decide_steps(s), *_send_steps(s, broken), *_change_steps(s, broken)]
    if s.sent:
        newest = s.epoch if s.phase == "held" else s.epoch - 1
        arrived = s._replace(
            sent=0,
            running=s.running + 1,
            stale_start=s.stale_start or (s.sent < newest and not s.handed),
        )
        rv.append(("the start arrives", arrived))
    if s.running:
        rv.append(("a task ends", s._replace(running=s.running - 1)))
    return rv


def _decide_steps(s: Starts) -> Steps:
    epoch = _authority(s)
    if not epoch:
        return []
    who = _owner(epoch)
    rv: Steps = []
    own = s.decided[who] > 0
    if not own and s.counted[who] == 0:
        decided = _put(s.decided, who, epoch)
        counted = _put(s.counted, who, 1)
        step = s._replace(decided=decided, counted=counted)
        rv.append((f"{'AB'[who]} decides a start", step))
    known = s.running + bool(s.sent) + own
    if known < s.counted[who]:
        step = s._replace(counted=_put(s.counted, who, known))
        rv.append((f"{'AB'[who]} gets TaskEnded", step))
    return rv


def _send_steps(s: Starts, broken: str) -> Steps:
    rv: Steps = []
    epoch = _authority(s)
    for who in (A, B):
        decided = s.decided[who]
        if not decided or s.sent:
            continue
        may_start = epoch == decided
        if broken == "other_epoch":
            may_start = epoch > 0 and _owner(epoch) == who
        elif broken == "no_check":
            may_start = True
        if may_start:
            step = s._replace(decided=_put(s.decided, who, 0), sent=decided)
            rv.append((f"{'AB'[who]} checks and sends", step))
        else:
            counted = _put(s.counted, who, max(s.counted[who] - 1, 0))
            step = s._replace(decided=_put(s.decided, who, 0), counted=counted)
            rv.append((f"{'AB'[who]} does not send", step))
    return rv


def _change_steps(s: Starts, broken: str) -> Steps:
    rv: Steps = []
    if s.phase == "held" and s.epoch < EPOCHS:
        # A start that was handed over may be under way through the next change, too.
        handed = s.handed and s.sent > 0
        step = s._replace(epoch=s.epoch + 1, phase="changing", listed=-1, handed=handed)
        rv.append(("the log takes RosterSet", step))
    if s.phase == "changing":
        if not s.sent:
            rv.append(("the wait is over", s._replace(phase="over")))
        released = s._replace(phase="over", handed=bool(s.sent))
        rv.append(("the owner before sends Released", released))
    may_ask = s.phase == "over" or (broken == "asked_early" and s.phase == "changing")
    if may_ask and s.listed < 0:
        handed = s.handed and s.sent > 0 and broken != "handed_forgotten"
        rv.append(("ListTasks", s._replace(listed=s.running + handed)))
    if s.phase == "over" and s.listed >= 0:
        who = _owner(s.epoch)
        taken = s.listed + (s.decided[who] > 0)
        if broken == "not_counted":
            taken = 0
        counted = _put(s.counted, who, taken)
        step = s._replace(phase="held", counted=counted, listed=-1)
        rv.append((f"{'AB'[who]} gets TasksListed and owns", step))
    return rv


def _make(
    name: str,
    cls: type,
    steps: t.Callable[[t.Any, str], Steps],
    invariants: dict[str, t.Callable[[dict[str, t.Any]], bool]],
    broken: str = "",
) -> minicheck.Protocol:
    return minicheck.Protocol(
        name=name if not broken else f"{name} without {broken}",
        candidate=False,
        fields=cls._fields,
        initial=tuple(cls()),
        transitions=lambda s: [
            (label, tuple(one)) for label, one in steps(cls(*s), broken)
        ],
        invariants=invariants,
    )


def _no_two_authorities(fields: dict[str, t.Any]) -> bool:
    s = Promises(**fields)
    return not (s.b_owns and lease_left(s) > 0)


PROMISE_INVARIANTS: t.Final = {
    "no_two_authorities": _no_two_authorities,
    "no_start_after_takeover": lambda fields: not fields["late_start"],
}
START_INVARIANTS: t.Final = {
    "never_overcommitted": lambda fields: fields["running"] <= 1,
    "start_in_the_epoch_of_its_check": lambda fields: not fields["stale_start"],
}
PROMISE_MUTANTS: t.Final = {
    "no_wait": "no_two_authorities",
    "no_seal": "no_two_authorities",
    "count_from_receipt": "no_two_authorities",
    "restarted_voter_votes": "no_two_authorities",
    "restarted_voter_seals": "no_two_authorities",
    "no_majority": "no_two_authorities",
    "no_transit": "no_start_after_takeover",
    "no_clock": "no_start_after_takeover",
}
START_MUTANTS: t.Final = {
    "not_counted": "never_overcommitted",
    "asked_early": "never_overcommitted",
    "handed_forgotten": "never_overcommitted",
    "other_epoch": "start_in_the_epoch_of_its_check",
    "no_check": "start_in_the_epoch_of_its_check",
}


@plugins.register("model", "ownership.promises")
def make_promises_spec() -> Spec:
    """Make the specification of promises, seals and the wait."""
    args = ("ownership.promises", Promises, promise_steps, PROMISE_INVARIANTS)
    mutants = {one: (_make(*args, one), inv) for one, inv in PROMISE_MUTANTS.items()}
    return Spec(_make(*args), mutants)


@plugins.register("model", "ownership.starts")
def make_starts_spec() -> Spec:
    """Make the specification of counting, and of the epoch that a start belongs to."""
    args = ("ownership.starts", Starts, start_steps, START_INVARIANTS)
    mutants = {one: (_make(*args, one), inv) for one, inv in START_MUTANTS.items()}
    return Spec(_make(*args), mutants)
