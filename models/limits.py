"""Upper limits: parts between two domains, and permits between two processes of one.

Two specifications, for the two halves meet in one number only: the part of the domain.
Messages are kept once sent, so each may be lost, late or doubled.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import Spec

LIMITS: t.Final = (2, 1, 2)
DOMAINS: t.Final = (0, 1)
MOVES: t.Final = 2
OWNERS: t.Final = (0, 1)
PART: t.Final = 2
REPORTS: t.Final = 3


class PartsMoved(t.NamedTuple):
    """A record of the log that moves one part away from its giver."""

    giver: int
    epoch: int
    sequence: int


class Fold(t.NamedTuple):
    """What a reader of the log knows: parts, debts, moves and epochs by domain."""

    text: int
    parts: tuple[int, int]
    debts: tuple[int, int]
    moves: tuple[int, int]
    epochs: tuple[int, int]


class Holder(t.NamedTuple):
    """A limit holder: what it has read, its tasks, and the record under way."""

    read: int
    running: int
    giving: PartsMoved | None
    lost: bool


class Parts(t.NamedTuple):
    """``folds`` has the truth before each offset; ``sent`` records that may land."""

    folds: tuple[Fold, ...]
    holders: tuple[Holder, Holder]
    sent: tuple[PartsMoved, ...]
    made: int
    replaced: int


def put(rows: tuple[t.Any, ...], i: int, value: t.Any) -> tuple[t.Any, ...]:
    """Replace an item of a tuple."""
    return (*rows[:i], value, *rows[i + 1 :])


def fold_parts(fold: Fold, record: PartsMoved, mutant: str) -> Fold:
    """Fold a record as the cell does."""
    giver, taker = record.giver, 1 - record.giver
    if record.epoch != fold.epochs[giver] and mutant != "old epochs may move parts":
        return fold
    repeated = record.sequence != fold.moves[giver] + 1
    if repeated and mutant != "each copy of a record counts":
        return fold
    fold = fold._replace(moves=put(fold.moves, giver, record.sequence))
    if fold.parts[giver] < 1:
        return fold
    parts = put(fold.parts, giver, fold.parts[giver] - 1)
    return fold._replace(parts=put(parts, taker, parts[taker] + 1))


def fold_published(fold: Fold, mutant: str) -> Fold:
    """Fold the next text, which has another limit."""
    limit = LIMITS[fold.text + 1]
    parts, debts = list(fold.parts), list(fold.debts)
    if mutant == "debts are forgotten":
        debts = [0, 0]
    for i in DOMAINS:
        back = min(max(limit - sum(parts), 0), debts[i])
        parts[i] += back
        debts[i] -= back
    while sum(parts) < limit:
        parts[parts.index(min(parts))] += 1
    while sum(parts) > limit:
        richest = parts.index(max(parts))
        parts[richest] -= 1
        debts[richest] += 1
    return fold._replace(text=fold.text + 1, parts=tuple(parts), debts=tuple(debts))


def reserved(holder: Holder) -> int:
    """Tell how much is promised away."""
    return 0 if holder.giving is None else 1


def available(world: Parts, i: int, mutant: str) -> int:
    """Tell how many tasks a domain may start."""
    holder = world.holders[i]
    kept = 0 if mutant == "parts are not reserved" else reserved(holder)
    return world.folds[holder.read].parts[i] - kept - holder.running


def with_holder(world: Parts, i: int, **changes: t.Any) -> Parts:
    """Change a holder."""
    new = world.holders[i]._replace(**changes)
    return world._replace(holders=put(world.holders, i, new))


def holder_steps(world: Parts, mutant: str) -> t.Iterator[tuple[str, Parts]]:
    """Start, end, give, and read."""
    for i, holder in enumerate(world.holders):
        fold = world.folds[holder.read]
        if available(world, i, mutant) > 0:
            yield f"{i} starts", with_holder(world, i, running=holder.running + 1)
            if holder.giving is None and world.made < MOVES:
                record = PartsMoved(i, fold.epochs[i], fold.moves[i] + 1)
                given = with_holder(world, i, giving=record, lost=False)
                sent = tuple(sorted((*world.sent, record)))
                given = given._replace(sent=sent, made=world.made + 1)
                yield f"{i} appends PartsMoved", given
        if holder.running:
            yield f"{i} ends", with_holder(world, i, running=holder.running - 1)
        if holder.read + 1 < len(world.folds):
            yield f"{i} LogRead", read(world, i, holder.read + 1)


def read(world: Parts, i: int, offset: int) -> Parts:
    """Read up to an offset and resolve the record under way."""
    fold = world.folds[offset]
    giving = world.holders[i].giving
    if giving is not None and (
        fold.moves[i] >= giving.sequence or fold.epochs[i] != giving.epoch
    ):
        giving = None
    return with_holder(world, i, read=offset, giving=giving)


def log_steps(world: Parts, mutant: str) -> t.Iterator[tuple[str, Parts]]:
    """Land, refuse or lose appends; publish; replace a holder."""
    last = world.folds[-1]
    for k, record in enumerate(world.sent):
        i = record.giver
        rest = world._replace(sent=world.sent[:k] + world.sent[k + 1 :])
        landed = (*rest.folds, fold_parts(last, record, mutant))
        yield f"PartsMoved of {i} lands", rest._replace(folds=landed)
        if world.holders[i].giving != record:
            continue
        if not world.holders[i].lost:
            yield f"{i} AppendEnded refused", with_holder(rest, i, giving=None)
            yield f"{i} AppendEnded lost", with_holder(world, i, lost=True)
        elif mutant == "a refusal after a lost answer is believed":
            yield f"{i} AppendEnded refused", with_holder(world, i, giving=None)
    for i, holder in enumerate(world.holders):
        if holder.giving is not None and holder.lost and world.made < MOVES:
            sent = tuple(sorted((*world.sent, holder.giving)))
            again = world._replace(sent=sent, made=world.made + 1)
            yield f"{i} appends PartsMoved again", again
    if last.text + 1 < len(LIMITS):
        folds = (*world.folds, fold_published(last, mutant))
        yield "Published", world._replace(folds=folds)
    if not world.replaced:
        epochs = put(last.epochs, 0, last.epochs[0] + 1)
        folds = (*world.folds, last._replace(epochs=epochs))
        new = world._replace(folds=folds, replaced=1)
        # The new holder has read the roster that made it one, and knows no record.
        new = with_holder(new, 0, read=len(folds) - 1, giving=None, lost=False)
        yield "holder 0 dies, RosterSet", new


def limit_in_force(d: dict[str, t.Any]) -> int:
    """Give the highest limit that a holder may still go by."""
    oldest = min(d["folds"][one.read].text for one in d["holders"])
    return max(LIMITS[oldest : d["folds"][-1].text + 1])


def make_parts(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol of parts, or a mutant of it."""

    def transitions(state: tuple[t.Any, ...]) -> list[tuple[str, tuple[t.Any, ...]]]:
        world = Parts(*state)
        steps = [*holder_steps(world, mutant), *log_steps(world, mutant)]
        return [(label, tuple(new)) for label, new in steps]

    def usable(d: dict[str, t.Any]) -> int:
        world = Parts(**d)
        return sum(
            one.running + max(available(world, i, mutant), 0)
            for i, one in enumerate(world.holders)
        )

    def within_parts(d: dict[str, t.Any]) -> int:
        world = Parts(**d)
        return sum(
            min(one.running, max(one.running + available(world, i, mutant), 0))
            for i, one in enumerate(world.holders)
        )

    fold = Fold(0, (1, 1), (0, 0), (0, 0), (1, 1))
    holder = Holder(0, 0, None, False)
    return minicheck.Protocol(
        name=f"limits: parts {mutant}".strip(),
        candidate=False,
        fields=Parts._fields,
        initial=tuple(Parts((fold,), (holder, holder), (), 0, 0)),
        transitions=transitions,
        invariants={
            # Above its part a domain has only what ran before the limit was lowered.
            "never_more_running_than_the_limit": lambda d: (
                within_parts(d) <= limit_in_force(d)
            ),
            "never_more_than_any_limit_so_far": lambda d: (
                usable(d) <= max(LIMITS[: d["folds"][-1].text + 1])
            ),
        },
    )


@plugins.register("model", "limits.parts")
def make_parts_spec() -> Spec:
    """Make the specification of parts with its mutants."""
    names = [
        "parts are not reserved",
        "a refusal after a lost answer is believed",
        "each copy of a record counts",
        "old epochs may move parts",
        "debts are forgotten",
    ]
    breaks = {
        "never_more_running_than_the_limit": names[:-1],
        "never_more_than_any_limit_so_far": names,
    }
    return Spec(make_parts(), make_mutants(make_parts, breaks))


class Owner(t.NamedTuple):
    """An owner of workers: permits of its epoch, and what it has told and been told.

    ``lease`` tells whether it may start; ``settled`` whether it has all its workers.
    """

    epoch: int
    held: int
    used: int
    grant_sequence: int
    report_sequence: int
    lease: bool
    settled: bool


class Account(t.NamedTuple):
    """What a limit holder knows of an owner, with grants by sequence."""

    held: int
    report_sequence: int
    sequence: int
    granted: tuple[tuple[int, int], ...]
    settled: bool


class PermitGrant(t.NamedTuple):
    """A message to an owner."""

    epoch: int
    owner: int
    sequence: int
    granted: int


class PermitReport(t.NamedTuple):
    """A message of an owner to the limit holder."""

    epoch: int
    owner: int
    sequence: int
    grant_sequence: int
    held: int
    settled: bool


class Permits(t.NamedTuple):
    """Owner 0 is limit holder of epoch 1, owner 1 of epoch 2.

    ``members`` are those of epoch 2: both, or only owner 1 when owner 0 fell silent.
    ``dealers`` has the accounts by epoch. ``sent`` keeps every message that was sent.
    """

    owners: tuple[Owner, ...]
    dealers: tuple[tuple[Account, ...], ...]
    members: tuple[int, ...]
    sent: frozenset[PermitGrant | PermitReport]


GRANTS: t.Final = 2


def with_owner(world: Permits, i: int, **changes: t.Any) -> Permits:
    """Change an owner."""
    return world._replace(
        owners=put(world.owners, i, world.owners[i]._replace(**changes))
    )


def with_account(world: Permits, epoch: int, i: int, **changes: t.Any) -> Permits:
    """Change an account of the limit holder of an epoch."""
    accounts = world.dealers[epoch - 1]
    accounts = put(accounts, i, accounts[i]._replace(**changes))
    return world._replace(dealers=put(world.dealers, epoch - 1, accounts))


def send(world: Permits, message: PermitGrant | PermitReport) -> Permits:
    """Send a message, which may be lost, late or doubled."""
    return world._replace(sent=world.sent | {message})


def members_of(world: Permits, epoch: int) -> tuple[int, ...]:
    """Name the members of an epoch."""
    return OWNERS if epoch == 1 else world.members


def is_own(epoch: int, owner: int) -> bool:
    """Tell whether an owner is the limit holder itself: it sends itself nothing."""
    return owner == epoch - 1


def dealt(world: Permits, epoch: int, mutant: str) -> int:
    """Sum up the most that the members of an epoch may hold."""
    rv = 0
    for i in members_of(world, epoch):
        account = world.dealers[epoch - 1][i]
        rv += world.owners[i].held if is_own(epoch, i) else account.held
        if mutant != "grants on the way are not counted":
            rv += sum(count for _, count in account.granted)
    return rv


def is_ready(world: Permits, epoch: int, mutant: str) -> bool:
    """Tell whether each member has reported with all its workers taken over."""
    if mutant == "a new holder deals at once":
        return True
    waited = mutant != "workers of the dead are not waited for"
    for i in members_of(world, epoch):
        account = world.dealers[epoch - 1][i]
        told = is_own(epoch, i) or account.report_sequence or account.settled
        settled = world.owners[i].settled if is_own(epoch, i) else account.settled
        if not told or (waited and not settled):
            return False
    return True


def dealer_steps(world: Permits, mutant: str) -> t.Iterator[tuple[str, Permits]]:
    """Grant what is free, or nothing so that a lost grant counts no more."""
    for epoch in (1, 2):
        holder = epoch - 1
        knows = world.owners[holder].epoch == epoch
        if not knows or not is_ready(world, epoch, mutant):
            continue
        free = PART - dealt(world, epoch, mutant)
        for i in members_of(world, epoch):
            account = world.dealers[epoch - 1][i]
            if is_own(epoch, i):
                if free > 0:
                    held = world.owners[i].held + 1
                    yield f"{i} grants itself", with_owner(world, i, held=held)
                continue
            for count in (0, 1):
                if account.sequence >= GRANTS or count > free:
                    continue
                if count == 0 and not account.granted:
                    continue
                sequence = account.sequence + 1
                granted = (*account.granted, (sequence, count))
                new = with_account(world, epoch, i, sequence=sequence, granted=granted)
                grant = PermitGrant(epoch, i, sequence, count)
                yield f"PermitGrant {count} to {i}", send(new, grant)


def prune(world: Permits, mutant: str) -> Permits:
    """Drop messages that no receiver will ever heed."""
    kept = frozenset(one for one in world.sent if _is_heeded(world, one, mutant))
    return world._replace(sent=kept)


def _is_heeded(
    world: Permits, message: PermitGrant | PermitReport, mutant: str
) -> bool:
    one = world.owners[message.owner]
    if isinstance(message, PermitReport):
        account = world.dealers[message.epoch - 1][message.owner]
        late = message.sequence <= account.report_sequence
        over = world.owners[message.epoch - 1].epoch > message.epoch
        return not over and (not late or mutant == "late reports are taken")
    if message.epoch < one.epoch:
        return mutant == "grants of an old epoch are taken"
    late = message.epoch == one.epoch and message.sequence <= one.grant_sequence
    return not late or mutant == "late grants are taken"


def owner_steps(world: Permits, mutant: str) -> t.Iterator[tuple[str, Permits]]:
    """Start, end, give back, report."""
    for i, one in enumerate(world.owners):
        if one.lease and one.used < one.held:
            yield f"{i} starts", with_owner(world, i, used=one.used + 1)
            yield (
                f"{i} gives an idle permit up",
                with_owner(world, i, held=one.held - 1),
            )
        if one.used:
            yield f"{i} ends", with_owner(world, i, used=one.used - 1)
        may_report = i in members_of(world, one.epoch) and not is_own(one.epoch, i)
        if may_report and one.report_sequence < REPORTS:
            sequence = one.report_sequence + 1
            report = PermitReport(
                one.epoch, i, sequence, one.grant_sequence, one.held, one.settled
            )
            new = with_owner(world, i, report_sequence=sequence)
            yield f"PermitReport of {i}", send(new, report)


def message_steps(world: Permits, mutant: str) -> t.Iterator[tuple[str, Permits]]:
    """Deliver any message that was ever sent."""
    for message in world.sent:
        if isinstance(message, PermitGrant):
            yield from grant_steps(world, message, mutant)
        else:
            yield from report_steps(world, message, mutant)


def grant_steps(
    world: Permits, message: PermitGrant, mutant: str
) -> t.Iterator[tuple[str, Permits]]:
    """Deliver a grant."""
    i = message.owner
    one = world.owners[i]
    old_epoch = message.epoch != one.epoch
    if old_epoch and mutant != "grants of an old epoch are taken":
        return
    if message.sequence <= one.grant_sequence and mutant != "late grants are taken":
        return
    held = min(one.held + message.granted, PART + 1)
    new = with_owner(world, i, held=held, grant_sequence=message.sequence)
    yield f"{i} takes PermitGrant {message.sequence}", new


def report_steps(
    world: Permits, message: PermitReport, mutant: str
) -> t.Iterator[tuple[str, Permits]]:
    """Deliver a report to the holder of its epoch."""
    if world.owners[message.epoch - 1].epoch != message.epoch:
        return
    account = world.dealers[message.epoch - 1][message.owner]
    late = message.sequence <= account.report_sequence
    if late and mutant != "late reports are taken":
        return
    granted = tuple(one for one in account.granted if one[0] > message.grant_sequence)
    if mutant == "a report covers every grant":
        granted = ()
    new = with_account(
        world,
        message.epoch,
        message.owner,
        held=message.held,
        report_sequence=message.sequence,
        granted=granted,
        settled=account.settled or message.settled,
    )
    yield f"holder takes PermitReport {message.sequence} of {message.owner}", new


def roster_steps(world: Permits, mutant: str) -> t.Iterator[tuple[str, Permits]]:
    """Learn of epoch 2; take over the worker of owner 0 when its lease is over."""
    for i, one in enumerate(world.owners):
        if one.epoch == 1 and i in world.members:
            # Owner 0 keeps its worker, so the new epoch leaves nothing to take over.
            settled = 0 in world.members
            new = with_owner(world, i, epoch=2, grant_sequence=0, report_sequence=0)
            yield f"{i} RosterChanged", with_owner(new, i, settled=settled)
    gone, heir = world.owners
    if 0 not in world.members and gone.lease:
        yield "the lease of 0 is over", with_owner(world, 0, lease=False)
    if heir.epoch == 2 and not heir.settled and not gone.lease:
        # What runs on the worker is counted before the first start there.
        adopted = with_owner(
            world, 1, held=heir.held + gone.used, used=heir.used + gone.used
        )
        adopted = with_owner(adopted, 1, settled=True)
        yield "1 WorkerGained", with_owner(adopted, 0, used=0, held=0)


def make_permits(members: tuple[int, ...], mutant: str = "") -> minicheck.Protocol:
    """Make the protocol of permits for a second roster, or a mutant of it."""

    def transitions(state: tuple[t.Any, ...]) -> list[tuple[str, tuple[t.Any, ...]]]:
        world = Permits(*state)
        rows = (dealer_steps, owner_steps, message_steps, roster_steps)
        return [
            (label, tuple(prune(new, mutant)))
            for steps in rows
            for label, new in steps(world, mutant)
        ]

    owner = Owner(1, 0, 0, 0, 0, True, True)
    account = Account(0, 0, 0, (), True)
    later = Account(0, 0, 0, (), False)
    initial = Permits(
        (owner, owner),
        ((account, account), (later, later)),
        members,
        frozenset(),
    )
    return minicheck.Protocol(
        name=f"limits: permits, epoch 2 of {len(members)} {mutant}".strip(),
        candidate=False,
        fields=Permits._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "never_more_running_than_the_part": lambda d: (
                sum(one.used for one in d["owners"]) <= PART
            ),
            "never_more_permits_than_the_part": lambda d: (
                sum(one.held for one in d["owners"] if one.lease) <= PART
            ),
        },
    )


def _make_permits_spec(members: tuple[int, ...], names: list[str]) -> Spec:
    breaks = {
        "never_more_running_than_the_part": names,
        "never_more_permits_than_the_part": names,
    }
    mutants = make_mutants(lambda mutant: make_permits(members, mutant), breaks)
    return Spec(make_permits(members), mutants)


@plugins.register("model", "limits.permits")
def make_permits_spec() -> Spec:
    """Make the specification of permits under a roster of the same members."""
    return _make_permits_spec(
        (0, 1),
        [
            "grants on the way are not counted",
            "late grants are taken",
            "late reports are taken",
            "a report covers every grant",
            "grants of an old epoch are taken",
            "a new holder deals at once",
        ],
    )


@plugins.register("model", "limits.takeover")
def make_takeover_spec() -> Spec:
    """Make the specification of permits where the limit holder fell silent."""
    return _make_permits_spec(
        (1,),
        [
            "a new holder deals at once",
            "workers of the dead are not waited for",
        ],
    )
