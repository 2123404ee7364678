"""The configuration stream: racing operators, retention, snapshots, peers that teach.

Two operators publish from the version that they have seen; an answer to an append may
be lost. The log forgets its oldest records. Two processes read it, one of which starts
late; each may be taught by the other, and writes snapshots, which may land late.
"""

import typing as t

import minicheck

from bulrushspur_kernel import plugins
from models.mutants import make_mutants
from models.run import Spec

PUBLICATIONS: t.Final = 3
SNAPSHOTS: t.Final = 2
OPERATORS: t.Final = (0, 1)
PROCESSES: t.Final = (0, 1)


class Published(t.NamedTuple):
    """A record of the log; ``operator`` stands for its token."""

    base: int
    operator: int


class Snapshot(t.NamedTuple):
    """A record of the log."""

    as_of: int
    version: int


class Reader(t.NamedTuple):
    """The cell of a process; ``reverted`` tells that its version once went back."""

    next_offset: int
    version: int
    started: bool
    reverted: bool = False


class Operator(t.NamedTuple):
    """An operator: what it edits from, and whether it waits, won, lost or rests."""

    base: int
    state: str


class World(t.NamedTuple):
    """``truth`` has the version in force before each offset."""

    log: tuple[Published | Snapshot, ...]
    first: int
    truth: tuple[int, ...]
    readers: tuple[Reader, ...]
    operators: tuple[Operator, ...]
    late: tuple[Snapshot, ...]


def fold(version: int, offset: int, record: Published | Snapshot, mutant: str) -> int:
    """Return the version after a record."""
    if isinstance(record, Snapshot):
        return version
    if record.base != version and mutant != "last publication wins":
        return version
    return offset + 1


def append(world: World, record: Published | Snapshot) -> World:
    """Put a record at the end of the log."""
    offset = len(world.log)
    after = fold(world.truth[offset], offset, record, "")
    return world._replace(log=(*world.log, record), truth=(*world.truth, after))


def put(rows: tuple[t.Any, ...], i: int, value: t.Any) -> tuple[t.Any, ...]:
    """Replace an item of a tuple."""
    return (*rows[:i], value, *rows[i + 1 :])


def move(world: World, i: int, next_offset: int, version: int) -> World:
    """Let a process go to a state, and note if its version went back."""
    old = world.readers[i]
    reverted = old.reverted or version < old.version
    new = Reader(next_offset, version, True, reverted)
    return world._replace(readers=put(world.readers, i, new))


def operator_steps(world: World, mutant: str) -> t.Iterator[tuple[str, World]]:
    """Publish; learn the fate by reading, whether the answer came or not."""
    published = sum(isinstance(one, Published) for one in world.log)
    for i, one in enumerate(world.operators):

        def become(state: str, base: int = one.base, i: int = i) -> World:
            rows = put(world.operators, i, Operator(base, state))
            return world._replace(operators=rows)

        if one.state == "rests" and published < PUBLICATIONS:
            for reader in world.readers:
                if reader.started and reader.version >= one.base:
                    base = reader.version
                    sent = append(become("waits", base), Published(base, i))
                    yield f"operator {i} publishes from {base}", sent
                    if mutant == "accepted when appended":
                        rows = put(sent.operators, i, Operator(base, "accepted"))
                        sent = sent._replace(operators=rows)
                        yield f"operator {i} is told accepted", sent
        if one.state == "waits":
            for reader in world.readers:
                offset = find_record(world, i, one.base)
                if reader.started and reader.next_offset > offset:
                    took = world.truth[offset + 1] == offset + 1
                    told = "accepted" if took else "race lost"
                    if mutant == "any newer version means accepted":
                        told = "accepted"
                    yield f"operator {i} is told {told}", become(told)


def find_record(world: World, operator: int, base: int) -> int:
    """Find the record of an operator by its token."""
    return find_records(world.log, Published(base, operator))[-1]


def find_records(log: tuple[Published | Snapshot, ...], record: Published) -> list[int]:
    """List the offsets of a publication; a snapshot of equal fields is none."""
    same = (isinstance(one, Published) and one == record for one in log)
    return [i for i, found in enumerate(same) if found]


def reader_steps(world: World, mutant: str) -> t.Iterator[tuple[str, World]]:
    """Read the log, start from a snapshot in a gap, and learn from the peer."""
    for i, one in enumerate(world.readers):
        if not one.started:
            started = one._replace(started=True)
            yield f"{i} starts", world._replace(readers=put(world.readers, i, started))
            continue
        offset = one.next_offset
        if world.first <= offset < len(world.log):
            version = fold(one.version, offset, world.log[offset], mutant)
            yield f"{i} LogRead {offset}", move(world, i, offset + 1, version)
        if offset < world.first:
            yield from gap_steps(world, i, mutant)
        yield from teaching_steps(world, i, mutant)


def gap_steps(world: World, i: int, mutant: str) -> t.Iterator[tuple[str, World]]:
    """Go from a gap to a snapshot from which everything is kept."""
    if mutant == "a gap is skipped":
        version = world.readers[i].version
        yield f"{i} skips to {world.first}", move(world, i, world.first, version)
    for offset in range(world.first, len(world.log)):
        record = world.log[offset]
        if not isinstance(record, Snapshot):
            continue
        if record.as_of >= world.first:
            at = record.as_of
        elif mutant == "a snapshot of before the gap is taken":
            at = offset + 1
        else:
            continue
        yield f"{i} Snapshot of {record.as_of}", move(world, i, at, record.version)


def teaching_steps(world: World, i: int, mutant: str) -> t.Iterator[tuple[str, World]]:
    """Take the state of the peer (LogRecords) if it is further."""
    for j, peer in enumerate(world.readers):
        further = peer.next_offset > world.readers[i].next_offset
        if mutant == "any peer is believed":
            further = peer.next_offset != world.readers[i].next_offset
        if i != j and peer.started and further:
            taught = move(world, i, peer.next_offset, peer.version)
            yield f"{i} LogRecords from {j}", taught


def log_steps(world: World) -> t.Iterator[tuple[str, World]]:
    """Forget the oldest record; write snapshots, which land now or late."""
    if world.first < len(world.log):
        yield "the log forgets", world._replace(first=world.first + 1)
    written = sum(isinstance(one, Snapshot) for one in world.log) + len(world.late)
    for one in world.readers:
        if one.started and one.next_offset and written < SNAPSHOTS:
            snapshot = Snapshot(one.next_offset, one.version)
            if snapshot not in world.late:
                late = tuple(sorted((*world.late, snapshot)))
                yield f"Snapshot of {one.next_offset} sent", world._replace(late=late)
    for i, snapshot in enumerate(world.late):
        rest = world._replace(late=world.late[:i] + world.late[i + 1 :])
        yield f"Snapshot of {snapshot.as_of} lands", append(rest, snapshot)


def make_protocol(mutant: str = "") -> minicheck.Protocol:
    """Make the protocol, or a mutant of it."""

    def transitions(state: tuple[t.Any, ...]) -> list[tuple[str, tuple[t.Any, ...]]]:
        world = World(*state)
        steps = [*operator_steps(world, mutant), *reader_steps(world, mutant)]
        return [(label, tuple(new)) for label, new in [*steps, *log_steps(world)]]

    initial = World(
        (),
        0,
        (0,),
        (Reader(0, 0, True), Reader(0, 0, False)),
        tuple(Operator(0, "rests") for _ in OPERATORS),
        (),
    )
    return minicheck.Protocol(
        name=f"config stream {mutant}".strip(),
        candidate=False,
        fields=World._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "forward_only": lambda d: not any(one.reverted for one in d["readers"]),
            "all_agree": lambda d: all(
                one.version == d["truth"][one.next_offset] for one in d["readers"]
            ),
            "accepted_is_true": lambda d: all(_told_true(d, i) for i in OPERATORS),
        },
    )


def _told_true(d: dict[str, t.Any], operator: int) -> bool:
    one = d["operators"][operator]
    rows = find_records(d["log"], Published(one.base, operator))
    took = any(d["truth"][i + 1] == i + 1 for i in rows)
    return one.state not in ("accepted", "race lost") or took == (
        one.state == "accepted"
    )


@plugins.register("model", "config_stream")
def make_spec() -> Spec:
    """Make the specification with its mutants."""
    breaks = {
        "forward_only": [
            "any peer is believed",
            "a snapshot of before the gap is taken",
        ],
        "all_agree": ["last publication wins", "a gap is skipped"],
        "accepted_is_true": [
            "accepted when appended",
            "any newer version means accepted",
        ],
    }
    return Spec(make_protocol(), make_mutants(make_protocol, breaks))
