"""At most once: one request id, its homes in three rosters, and three claims of it.

Members 0, 1 and 2 are home and second copy in that order while they are in the roster:
all are in epoch 1, 0 is gone in epoch 2, and 1 as well in epoch 3. A member that is
gone may be dead, or cut off and unaware. Each claim has its own ticket: a caller asks
again through another door, or through the same one. Messages are kept until nobody can
heed them, so each may be lost, late or doubled.

There are two specifications: one goes through all rosters with two claims that never
free the id; the other stays in one roster with three claims that do.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.parts import put
from models.run import Spec

ROSTERS: t.Final = {1: (0, 1, 2), 2: (1, 2), 3: (2,)}
MEMBERS: t.Final = (0, 1, 2)
REVISIONS_AT_MOST: t.Final = 4


class IdRecord(t.NamedTuple):
    """What a member keeps of the id."""

    epoch: int
    revision: int
    ticket: int
    state: str


class Member(t.NamedTuple):
    """A member; ``lost`` counts who went since it was complete last."""

    epoch: int
    record: IdRecord | None
    complete: bool
    complete_from: frozenset[int]
    lost: int
    lease: bool
    floor: bool


class Claim(t.NamedTuple):
    """A claim at its door: claims, fresh, started, refused, gave_up or not_run."""

    state: str
    told_not_run: bool


class ClaimId(t.NamedTuple):
    """A message to whoever is the home."""

    ticket: int
    kind: str = "ClaimId"


class Claimed(t.NamedTuple):
    """A message that allows a start."""

    ticket: int
    kind: str = "Claimed"


class NotRun(t.NamedTuple):
    """A message (SetIdStates) that frees the id."""

    ticket: int
    kind: str = "NotRun"


class CopyIds(t.NamedTuple):
    """A record for another holder; ``complete`` ends the sharing of an epoch."""

    epoch: int
    sender: int
    to: int
    record: IdRecord | None
    complete: bool


class CopyIdsAck(t.NamedTuple):
    """A confirmed record."""

    epoch: int
    sender: int
    to: int
    record: IdRecord


class World(t.NamedTuple):
    """``epoch`` is the newest roster in the log; ``frees`` if claims free the id.

    The id is ``made`` at some time, perhaps only after members were lost.
    """

    epoch: int
    last_epoch: int
    frees: bool
    made: bool
    members: tuple[Member, ...]
    claims: tuple[Claim, ...]
    sent: frozenset[t.Any]


Steps = t.Iterator[tuple[str, World]]


def with_member(world: World, i: int, **changes: t.Any) -> World:
    """Change a member."""
    new = world.members[i]._replace(**changes)
    return world._replace(members=put(world.members, i, new))


def with_claim(world: World, ticket: int, state: str, told: bool = False) -> World:
    """Change a claim; what was told stays told."""
    told = told or world.claims[ticket].told_not_run
    claim = Claim(state, told)
    return world._replace(claims=put(world.claims, ticket, claim))


def send(world: World, *messages: t.Any) -> World:
    """Send messages."""
    return world._replace(sent=world.sent | set(messages))


def homes(epoch: int) -> tuple[int, ...]:
    """Name the home and, where there is one, the holder of the second copy."""
    return ROSTERS[epoch][:2]


def serves(world: World, i: int, mutant: str) -> bool:
    """Tell whether a member is the home, with all the records of its ids."""
    one = world.members[i]
    whole = one.complete or mutant == "a home serves before all records came"
    return homes(one.epoch)[0] == i and whole


def door_steps(world: World, mutant: str) -> Steps:
    """Make the id, claim it, start, tell not run, give up."""
    if not world.made:
        yield "the id is made", world._replace(made=True)
        return
    for ticket, claim in enumerate(world.claims):
        if claim.state == "idle":
            new = send(with_claim(world, ticket, "claims"), ClaimId(ticket))
            yield f"ClaimId {ticket}", new
        if claim.state == "claims":
            told = mutant == "not run is told before the claim is settled"
            state = "claims" if told else "gave_up"
            yield f"{ticket} gives up", free(world, ticket, state, told)
        if claim.state == "fresh":
            yield f"{ticket} starts", with_claim(world, ticket, "started")
            yield f"{ticket} is told not run", free(world, ticket, "not_run", True)
        heard = ("claims",)
        if mutant == "a late answer is taken":
            heard = ("claims", "gave_up", "not_run")
        if claim.state in heard and Claimed(ticket) in world.sent:
            yield f"Claimed {ticket}", with_claim(world, ticket, "fresh")


def free(world: World, ticket: int, state: str, told: bool) -> World:
    """End a claim under which nothing will run."""
    new = with_claim(world, ticket, state, told)
    return send(new, NotRun(ticket)) if world.frees else new


def home_steps(world: World, mutant: str) -> Steps:
    """Take claims and new states at the home."""
    for i in MEMBERS:
        if not serves(world, i, mutant):
            continue
        for ticket in range(len(world.claims)):
            if ClaimId(ticket) in world.sent:
                yield from claim_steps(world, i, ticket, mutant)
            if NotRun(ticket) in world.sent:
                yield from not_run_steps(world, i, ticket, mutant)


def claim_steps(world: World, i: int, ticket: int, mutant: str) -> Steps:
    """Write down a first claim; refuse any other."""
    one = world.members[i]
    record = one.record
    if record is not None and record.ticket == ticket:
        if record.state == "claimed":
            yield f"{i} hears {ticket} again", copy_then_answer(world, i, mutant)
        return
    known = record is not None and record.state != "not_run"
    if known or (record is None and one.floor):
        if world.claims[ticket].state == "claims":
            yield f"{i} refuses {ticket}", with_claim(world, ticket, "refused")
        return
    revision = 1 if record is None else record.revision + 1
    if revision <= REVISIONS_AT_MOST:
        new = IdRecord(one.epoch, revision, ticket, "claimed")
        kept = with_member(world, i, record=new)
        yield f"{i} writes down {ticket}", copy_then_answer(kept, i, mutant)


def copy_then_answer(world: World, i: int, mutant: str) -> World:
    """Send the record to its second holder, or answer where there is none."""
    one = world.members[i]
    assert one.record is not None
    copies = homes(one.epoch)[1:]
    if not copies or mutant == "a claim is answered before its copy":
        return answer(world, i, one.record, mutant)
    return send(world, CopyIds(one.epoch, i, copies[0], one.record, False))


def answer(world: World, i: int, record: IdRecord, mutant: str) -> World:
    """Allow the start, under a lease."""
    if world.members[i].lease or mutant == "a home answers without a lease":
        return send(world, Claimed(record.ticket))
    return world


def not_run_steps(world: World, i: int, ticket: int, mutant: str) -> Steps:
    """Free the id for the next claim."""
    one = world.members[i]
    record = one.record
    if record is None or record.state != "claimed":
        return
    same = record.ticket == ticket or mutant == "any claim frees the id"
    if same and record.revision < REVISIONS_AT_MOST:
        freed = IdRecord(one.epoch, record.revision + 1, record.ticket, "not_run")
        new = with_member(world, i, record=freed)
        for copy in homes(one.epoch)[1:]:
            new = send(new, CopyIds(one.epoch, i, copy, freed, False))
        yield f"{i} frees the id of {ticket}", new


def copy_steps(world: World, mutant: str) -> Steps:
    """Take copies of the same epoch, and acknowledgements."""
    for message in world.sent:
        if isinstance(message, CopyIds):
            yield from take_copy(world, message, mutant)
        elif isinstance(message, CopyIdsAck):
            one = world.members[message.to]
            if one.epoch == message.epoch and one.record == message.record:
                answered = answer(world, message.to, message.record, mutant)
                if message.record.state == "claimed":
                    yield f"{message.to} CopyIdsAck", answered


def take_copy(world: World, message: CopyIds, mutant: str) -> Steps:
    """Keep a copy unless a newer record is kept."""
    one = world.members[message.to]
    if one.epoch != message.epoch and mutant != "copies of any epoch are confirmed":
        return
    record = message.record
    new = world
    if record is not None:
        if is_newer(record, one.record) or mutant == "late copies are kept":
            new = with_member(new, message.to, record=record)
        ack = CopyIdsAck(message.epoch, message.to, message.sender, record)
        if not message.complete:
            new = send(new, ack)
    if message.complete and one.epoch == message.epoch:
        heard = new.members[message.to].complete_from | {message.sender}
        new = with_member(new, message.to, complete_from=heard)
    yield f"{message.to} CopyIds of {message.sender}", new


def is_newer(record: IdRecord, old: IdRecord | None) -> bool:
    """Tell whether a record replaces another."""
    return old is None or record[:2] > old[:2]


def roster_steps(world: World, mutant: str) -> Steps:
    """Append a roster, learn of it, lose a lease, become complete."""
    if world.epoch < world.last_epoch:
        yield f"RosterSet {world.epoch + 1}", world._replace(epoch=world.epoch + 1)
    for i, one in enumerate(world.members):
        if one.epoch < world.epoch and i in ROSTERS[one.epoch + 1]:
            yield f"{i} RosterChanged {one.epoch + 1}", enter_epoch(world, i)
        if one.lease and i not in ROSTERS[world.epoch]:
            yield f"the lease of {i} is over", with_member(world, i, lease=False)
        others = set(ROSTERS[one.epoch]) - {i}
        if not one.complete and others <= one.complete_from:
            yield from complete_steps(world, i, mutant)


def enter_epoch(world: World, i: int) -> World:
    """Take up the next roster, and share what is kept with its members."""
    one = world.members[i]
    epoch = one.epoch + 1
    lost = 1 if one.complete else one.lost + 1
    new = with_member(
        world, i, epoch=epoch, complete=False, complete_from=frozenset(), lost=lost
    )
    shared = (
        CopyIds(epoch, i, to, one.record, True) for to in ROSTERS[epoch] if to != i
    )
    return send(new, *shared)


def complete_steps(world: World, i: int, mutant: str) -> Steps:
    """Serve; after two losses once no older home can answer, and with a floor."""
    one = world.members[i]
    floor = one.floor
    if one.lost > 1 and mutant != "two losses are like one":
        gone = [k for k in MEMBERS if k not in ROSTERS[one.epoch]]
        waits = mutant != "older epochs are not waited for"
        if waits and any(world.members[k].lease for k in gone):
            return
        # An id of before now may have a record that is lost.
        floor = floor or world.made
    yield f"{i} is complete", with_member(world, i, complete=True, floor=floor, lost=0)


def prune(world: World, mutant: str) -> World:
    """Drop messages that nobody will heed any more."""
    keep = {one for one in world.sent if _is_heeded(world, one, mutant)}
    return world._replace(sent=frozenset(keep))


def _is_heeded(world: World, message: t.Any, mutant: str) -> bool:
    if isinstance(message, Claimed):
        over = ("started", "fresh", "refused")
        late = ("gave_up", "not_run")
        state = world.claims[message.ticket].state
        return state not in over and (
            state not in late or mutant == "a late answer is taken"
        )
    if isinstance(message, CopyIds):
        return _is_copy_heeded(world, message, mutant)
    if isinstance(message, CopyIdsAck):
        one = world.members[message.to]
        claim = world.claims[message.record.ticket].state
        waits = claim == "claims" or mutant == "a late answer is taken"
        return one.epoch <= message.epoch and one.record == message.record and waits
    if isinstance(message, ClaimId):
        # A settled claim is heard again only where that can free the id for others.
        return world.frees or world.claims[message.ticket].state in (
            "claims",
            "gave_up",
        )
    return True


def _is_copy_heeded(world: World, message: CopyIds, mutant: str) -> bool:
    if mutant in ("copies of any epoch are confirmed", "late copies are kept"):
        return True
    one, sender = world.members[message.to], world.members[message.sender]
    if one.epoch > message.epoch:
        return False
    if message.complete:
        return one.epoch < message.epoch or message.sender not in one.complete_from
    keeps = is_newer(message.record, one.record)
    awaited = sender.epoch == message.epoch and sender.record == message.record
    return keeps or awaited


def make_protocol(
    mutant: str, last_epoch: int, tickets: int, frees: bool
) -> minicheck.Protocol:
    """Make the protocol, or a mutant of it."""

    def transitions(state: tuple[t.Any, ...]) -> list[tuple[str, tuple[t.Any, ...]]]:
        world = World(*state)
        rows = (door_steps, home_steps, copy_steps, roster_steps)
        return [
            (label, tuple(prune(new, mutant)))
            for steps in rows
            for label, new in steps(world, mutant)
        ]

    member = Member(1, None, True, frozenset(), 0, True, False)
    claims = (Claim("idle", False),) * tickets
    initial = World(1, last_epoch, frees, frees, (member,) * 3, claims, frozenset())
    return minicheck.Protocol(
        name=f"at most once: {last_epoch} rosters, {tickets} claims {mutant}".strip(),
        candidate=False,
        fields=World._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "at_most_one_start": lambda d: (
                sum(one.state == "started" for one in d["claims"]) <= 1
            ),
            "not_run_is_true": lambda d: (
                not any(
                    one.told_not_run and one.state == "started" for one in d["claims"]
                )
            ),
        },
    )


def _make_spec(
    breaks: dict[str, list[str]], last_epoch: int, tickets: int, frees: bool
) -> Spec:
    def make(mutant: str = "") -> minicheck.Protocol:
        return make_protocol(mutant, last_epoch, tickets, frees)

    return Spec(make(), make_mutants(make, breaks))


@plugins.register("model", "at_most_once.rosters")
def make_rosters_spec() -> Spec:
    """Make the specification of homes that go, with its mutants."""
    breaks = {
        "at_most_one_start": [
            "a claim is answered before its copy",
            "a home serves before all records came",
            "a home answers without a lease",
            "two losses are like one",
            "older epochs are not waited for",
            "copies of any epoch are confirmed",
        ],
        "not_run_is_true": ["not run is told before the claim is settled"],
    }
    return _make_spec(breaks, max(ROSTERS), 2, False)


@plugins.register("model", "at_most_once.claims")
def make_claims_spec() -> Spec:
    """Make the specification of claims that free the id, with its mutants."""
    breaks = {
        "at_most_one_start": ["any claim frees the id", "a late answer is taken"],
        "not_run_is_true": [
            "a late answer is taken",
            "not run is told before the claim is settled",
        ],
    }
    return _make_spec(breaks, 1, 3, True)
