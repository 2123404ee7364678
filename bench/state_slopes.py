"""What state costs: folding a record, claiming an id, reporting and dealing permits.

The decision code alone, without sockets: ``python -m bench.state_slopes``.
"""

import random
import sys
import time
import tracemalloc
import typing as t

import msgspec

from bench.figures import figure, print_frame
from bulrushspur_core import Me, Node, events, ids, limits, make_node
from bulrushspur_core import effects as fx
from bulrushspur_core.cell import Cell, Roster, fold
from bulrushspur_core.id_records import IdRecords, keep
from bulrushspur_core.log_reader import LogState
from bulrushspur_core.snapshots import encode_state, make_snapshot
from bulrushspur_core.workers import Workers
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import records as rec
from bulrushspur_kernel.text import convert_text
from bulrushspur_kernel.work import Vm

SEED: t.Final = 5
TEAMS: t.Final = 180
DOMAINS: t.Final = 8
KEYS: t.Final = 360
CLAIMS: t.Final = 5000
REPORTS: t.Final = 300
MEMBERS: t.Final = 9
WALL_S: t.Final = 1_800_000_000.0


def make_text(teams: int) -> dict[str, t.Any]:
    """Make a text with a service of three kinds for each team."""
    kinds = [{"name": one, "size": one} for one in ("small", "middling", "heavy")]
    return {
        "cell": "slopes",
        "domains": [{"name": f"d{i}", "region": "r"} for i in range(DOMAINS)],
        "teams": [
            {"name": f"team-{i}", "share": 1, "limit_tasks": 400} for i in range(teams)
        ],
        "services": [
            {"name": f"service-{i}", "team": f"team-{i}", "kinds": kinds}
            for i in range(teams)
        ],
    }


def _per_item_us(started_s: float, count: int) -> float:
    return (time.perf_counter() - started_s) / count * 1e6


def measure_records() -> None:
    """Fold texts, keys and moved parts; encode the cell."""
    cell = Cell()
    members = [msg.Member(f"e{i}", "b") for i in range(MEMBERS)]
    text = make_text(TEAMS)

    def fold_all(rows: list[rec.Record]) -> float:
        data = [rec.encode_record(one) for one in rows]
        started_s = time.perf_counter()
        for one in data:
            record = rec.decode_record(one)
            assert record is not None
            fold(cell, rec.Entry(cell.next_offset, record))
        return _per_item_us(started_s, len(rows))

    fold_all([rec.RosterSet(f"d{i}", 1, members, members) for i in range(DOMAINS)])
    rows: list[rec.Record] = []
    version = 0
    for i in range(20):
        rows.append(rec.Published(version, text))
        version = cell.next_offset + i + 1
    figure("fold_text_us", fold_all(rows), "us")
    rows = [
        rec.KeyGiven(f"{i:012x}", f"team-{i % TEAMS}", "h" * 64) for i in range(KEYS)
    ]
    figure("fold_key_us", fold_all(rows), "us")
    parts = {f"team-{i}": 1 for i in range(10)}
    rows = [rec.PartsMoved("d0", "d1", 1, parts, i + 1) for i in range(40)]
    figure("fold_parts_of_10_teams_us", fold_all(rows), "us")
    snapshot = rec.encode_record(make_snapshot(cell, "token"))
    figure("snapshot_bytes", len(snapshot), "bytes")
    figure("taught_state_bytes", len(encode_state(cell)), "bytes")


class Home(t.NamedTuple):
    """The members of a domain, and what they have sent each other."""

    nodes: dict[str, Node]
    sent: list[tuple[msg.Member, fx.Send]]


def make_home(members: int) -> Home:
    """Make a domain whose members are limit holder, homes and doors."""
    nodes = {
        f"e{i}": make_node(Me(f"e{i}", "b", "d0"), i, {}, WALL_S)
        for i in range(members)
    }
    home = Home(nodes, [])
    names = [one.me.member for one in nodes.values()]
    text = convert_text(make_text(TEAMS)).unwrap()
    for node in nodes.values():
        cell = node.state(LogState).cell
        cell.text = text
        cell.parts = {team.name: {"d0": 400} for team in text.teams}
        cell.rosters = {"d0": [Roster(1, names, names)]}
        node.state(LogState).fresh_s = 1e9
        node.state(Workers).listed["w"] = Vm("w", "worker", "d1", "")
        carry(home, node, node.handle(events.RosterChanged("d0", 1), 1.0))
    for step in range(40):
        for node in nodes.values():
            carry(home, node, node.run_timers(1.0 + step * 0.05))
        deliver(home, 1.0 + step * 0.05)
    return home


def carry(home: Home, node: Node, effects: list[fx.Effect]) -> None:
    """Keep what a node sends."""
    home.sent.extend(
        (node.me.member, one) for one in effects if isinstance(one, fx.Send)
    )


def deliver(home: Home, now_s: float) -> int:
    """Deliver until nothing is sent any more; return the bytes."""
    size = 0
    while home.sent:
        rows = list(home.sent)
        home.sent.clear()
        for sender, effect in rows:
            target = home.nodes.get(effect.to)
            envelope = msg.Envelope(1, sender.name, sender.boot, effect.message)
            data = msg.encode(envelope)
            size += len(data)
            copy = msg.decode(data)
            if target is not None and copy is not None:
                carry(home, target, target.receive(sender, copy.message, now_s))
    return size


def measure_claims() -> None:
    """Claim ids at homes with second copies, all messages encoded and decoded."""
    home = make_home(MEMBERS)
    door = home.nodes["e0"]
    rows = [ids.make_id(door, 3.0) for _ in range(CLAIMS)]
    started_s = time.perf_counter()
    size = 0
    for request_id in rows:
        ids.claim(door, request_id, request_id, "d" * 32, 3.0)
        carry(home, door, door.drain(3.0))
        size += deliver(home, 3.0)
    claimed = len(door.state(ids.Ids).claimed)
    if claimed != CLAIMS:
        raise RuntimeError(f"only {claimed} of {CLAIMS} ids were claimed")
    # All roles of all processes together: door, home and second copy.
    figure("claim_all_processes_us", _per_item_us(started_s, CLAIMS), "us")
    figure("claim_bytes", size / CLAIMS, "bytes")
    measure_record_memory(door)


def measure_record_memory(node: Node) -> None:
    """Measure what a kept record takes in memory."""
    before = len(node.state(IdRecords).by_id)
    tracemalloc.start()
    for i in range(CLAIMS):
        request_id = f"d0~{int(WALL_S)}~{i:016x}"
        data = msgspec.msgpack.encode(
            msg.IdRecord(request_id, f"{i:032x}", node.me.member, "claimed", 0.0, "",
                         f"e0/b/{i}", 1, 1)
        )  # fmt: skip
        keep(node, msgspec.msgpack.decode(data, type=msg.IdRecord), 3.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    kept = len(node.state(IdRecords).by_id) - before
    figure("id_record_memory_bytes", size / kept, "bytes")


def measure_permits() -> None:
    """Report and deal permits of all teams."""
    home = make_home(MEMBERS)
    rng = random.Random(SEED)
    owners = list(home.nodes.values())
    now_s = 10.0
    started_s = time.perf_counter()
    for _ in range(REPORTS):
        node = rng.choice(owners)
        limits.want(node, f"team-{rng.randrange(TEAMS)}", 1, now_s)
        carry(home, node, node.drain(now_s))
        deliver(home, now_s)
        now_s += 0.05
    figure("permit_want_to_grant_us", _per_item_us(started_s, REPORTS), "us")
    _measure_reports(home)


def _measure_reports(home: Home) -> None:
    holder, owner = home.nodes["e0"], home.nodes["e1"]
    held = {f"team-{i}": 20 for i in range(TEAMS)}
    sequence = owner.state(limits.Limits).report_sequence
    rows = [msg.PermitReport(1, sequence + i + 1, 0, held) for i in range(REPORTS)]
    envelopes = [msg.encode(msg.Envelope(1, "e1", "b", one)) for one in rows]
    started_s = time.perf_counter()
    for data in envelopes:
        envelope = msg.decode(data)
        assert envelope is not None
        holder.receive(owner.me.member, envelope.message, 60.0)
    figure("permit_report_180_teams_us", _per_item_us(started_s, REPORTS), "us")
    figure("permit_report_180_teams_bytes", len(envelopes[0]), "bytes")


def measure(quick: bool) -> None:
    """Print the slopes of state."""
    print_frame(SEED, 1)
    measure_records()
    measure_claims()
    measure_permits()


if __name__ == "__main__":
    measure(False)
    sys.exit(0)
