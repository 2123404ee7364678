"""Upper limits: parts of a team's limit between two domains.

Messages are kept once sent, so each may be lost, late or doubled. What a domain does
with its part is specified in permits.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import Spec

LIMITS: t.Final = (2, 1, 2, 1)
DOMAINS: t.Final = (0, 1)
MOVES: t.Final = 2

OLD_TEXTS_COUNT: t.Final = "debts paid under an older text count"


class PartsMoved(t.NamedTuple):
    """A record of the log that moves one part away from its giver."""

    giver: int
    epoch: int
    sequence: int


class DebtsPaid(t.NamedTuple):
    """A record that tells how much a domain may run above its part under a text."""

    domain: int
    epoch: int
    text: int
    left: int


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
    """``folds`` has the truth before each offset; ``sent`` records that may land.

    ``paid`` has records that may land any number of times. ``above`` tells that a start
    took the team above every limit that a holder may still go by. ``limits`` are those
    of the texts in turn.
    """

    folds: tuple[Fold, ...]
    holders: tuple[Holder, Holder]
    sent: tuple[PartsMoved, ...]
    made: int
    replaced: int
    paid: frozenset[DebtsPaid]
    above: bool
    limits: tuple[int, ...]


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


def fold_paid(fold: Fold, record: DebtsPaid, mutant: str) -> Fold:
    """Fold a record of debts paid as the cell does."""
    if record.epoch != fold.epochs[record.domain]:
        return fold
    if record.text != fold.text and mutant != OLD_TEXTS_COUNT:
        return fold
    debts = fold.debts
    left = min(record.left, debts[record.domain])
    return fold._replace(debts=put(debts, record.domain, left))


def fold_published(fold: Fold, limit: int, mutant: str) -> Fold:
    """Fold the next text, which has another limit."""
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


def usable_part(fold: Fold, i: int, mutant: str) -> int:
    """Tell how much of its part a domain may use, as the function of the core does."""
    part, other = fold.parts[i], 1 - i
    if mutant == "nothing is kept for debts":
        return part
    # With two domains each keeps what the other may run above its part, in debt or not.
    return max(part - fold.debts[other], 0)


def spare(world: Parts, i: int, mutant: str) -> int:
    """Tell how far a domain is below its part; negative after a lowered limit."""
    holder = world.holders[i]
    kept = 0 if mutant == "parts are not reserved" else reserved(holder)
    return world.folds[holder.read].parts[i] - kept - holder.running


def available(world: Parts, i: int, mutant: str) -> int:
    """Tell how many tasks a domain may start."""
    fold = world.folds[world.holders[i].read]
    return spare(world, i, mutant) - fold.parts[i] + usable_part(fold, i, mutant)


def start(world: Parts, i: int) -> Parts:
    """Start a task, and note whether that was one too many."""
    new = with_holder(world, i, running=world.holders[i].running + 1)
    total = sum(one.running for one in new.holders)
    return new._replace(above=total > limit_in_force(new))


def pay_steps(world: Parts, mutant: str) -> t.Iterator[tuple[str, Parts]]:
    """Tell what is left of a debt, where it became less."""
    for i, holder in enumerate(world.holders):
        fold = world.folds[holder.read]
        left = max(holder.running + reserved(holder) - fold.parts[i], 0)
        if mutant == "parts given away are not counted as run":
            left = max(holder.running - fold.parts[i], 0)
        elif mutant == "debts are paid while above the part":
            left = 0
        record = DebtsPaid(i, fold.epochs[i], fold.text, left)
        if left < fold.debts[i] and record not in world.paid:
            yield (
                f"{i} appends DebtsPaid, {left} left",
                world._replace(paid=world.paid | {record}),
            )
    last = world.folds[-1]
    for record in world.paid:
        fold = fold_paid(last, record, mutant)
        if fold != last:
            label = f"DebtsPaid of {record.domain} lands"
            yield label, world._replace(folds=(*world.folds, fold))


def prune(world: Parts, mutant: str) -> Parts:
    """Drop folds that all have read past, and records that are void for good."""
    first = min(one.read for one in world.holders)
    if first:
        holders = tuple(one._replace(read=one.read - first) for one in world.holders)
        world = world._replace(folds=world.folds[first:], holders=holders)
    last = world.folds[-1]
    if mutant != OLD_TEXTS_COUNT:
        kept = [one for one in world.paid if fold_paid(last, one, mutant) != last]
        world = world._replace(paid=frozenset(kept))
    return world


def with_holder(world: Parts, i: int, **changes: t.Any) -> Parts:
    """Change a holder."""
    new = world.holders[i]._replace(**changes)
    return world._replace(holders=put(world.holders, i, new))


def holder_steps(world: Parts, mutant: str) -> t.Iterator[tuple[str, Parts]]:
    """Start, end, give, and read."""
    for i, holder in enumerate(world.holders):
        fold = world.folds[holder.read]
        if available(world, i, mutant) > 0:
            yield f"{i} starts", start(world, i)
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
    if last.text + 1 < len(world.limits):
        published = fold_published(last, world.limits[last.text + 1], mutant)
        folds = (*world.folds, published)
        yield "Published", world._replace(folds=folds)
    if not world.replaced:
        epochs = put(last.epochs, 0, last.epochs[0] + 1)
        folds = (*world.folds, last._replace(epochs=epochs))
        new = world._replace(folds=folds, replaced=1)
        # The new holder has read the roster that made it one, and knows no record.
        new = with_holder(new, 0, read=len(folds) - 1, giving=None, lost=False)
        yield "holder 0 dies, RosterSet", new


def limit_in_force(world: Parts) -> int:
    """Give the highest limit that a holder may still go by."""
    oldest = min(world.folds[one.read].text for one in world.holders)
    return max(world.limits[oldest : world.folds[-1].text + 1])


def make_parts(
    mutant: str = "", limits: tuple[int, ...] = LIMITS
) -> minicheck.Protocol:
    """Make the protocol of parts, or a mutant of it."""

    def transitions(state: tuple[t.Any, ...]) -> list[tuple[str, tuple[t.Any, ...]]]:
        world = Parts(*state)
        rows = (holder_steps, pay_steps, log_steps)
        return [
            (label, tuple(prune(new, mutant)))
            for steps in rows
            for label, new in steps(world, mutant)
        ]

    def usable(d: dict[str, t.Any]) -> int:
        world = Parts(**d)
        return sum(
            one.running + max(spare(world, i, mutant), 0)
            for i, one in enumerate(world.holders)
        )

    def within_parts(d: dict[str, t.Any]) -> int:
        world = Parts(**d)
        return sum(
            min(one.running, max(one.running + spare(world, i, mutant), 0))
            for i, one in enumerate(world.holders)
        )

    fold = Fold(0, (1, 1), (0, 0), (0, 0), (1, 1))
    holder = Holder(0, 0, None, False)
    return minicheck.Protocol(
        name=f"limits: parts {mutant}".strip(),
        candidate=False,
        fields=Parts._fields,
        initial=tuple(
            Parts((fold,), (holder, holder), (), 0, 0, frozenset(), False, limits)
        ),
        transitions=transitions,
        invariants={
            # Above its part a domain has only what ran before the limit was lowered.
            "never_more_running_than_the_limit": lambda d: (
                within_parts(d) <= limit_in_force(Parts(**d))
            ),
            "never_more_than_any_limit_so_far": lambda d: (
                usable(d) <= max(d["limits"][: d["folds"][-1].text + 1])
            ),
            "no_start_above_the_limit": lambda d: not d["above"],
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
        "no_start_above_the_limit": [
            "nothing is kept for debts",
            "debts are paid while above the part",
            "parts given away are not counted as run",
        ],
    }
    # Three texts are enough for all mutants but one, and much sooner searched.
    mutants = make_mutants(lambda mutant: make_parts(mutant, LIMITS[:3]), breaks)
    older = {"no_start_above_the_limit": [OLD_TEXTS_COUNT]}
    return Spec(make_parts(), mutants | make_mutants(make_parts, older))
