"""Upper limits: permits between two processes of one domain.

Messages are kept once sent, so each may be lost, late or doubled. The part that the
domain deals out is specified in parts.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.parts import put
from models.run import Spec

OWNERS: t.Final = (0, 1)
PART: t.Final = 2
REPORTS: t.Final = 3
GRANTS: t.Final = 2


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
