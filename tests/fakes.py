"""A fake clock, network and log for a few nodes of the decision code."""

import dataclasses
import heapq
import itertools
import typing as t
import zlib

from bulrushspur_core import Me, Node, events, make_node
from bulrushspur_core import effects as fx
from bulrushspur_core.log_reader import read_from
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import records as rec
from fuzz.log import FakeLog

TICK_S = 0.05
POLL_S = 0.5
DELAY_S = 0.002
WALL_OFFSET_S = 1_800_000_000.0


@dataclasses.dataclass
class FakeCell:
    """Nodes by name, and what goes wrong around them.

    ``drops`` tells of a message (sender, receiver, message) whether it is lost.
    Where a test sets the rosters of a domain itself (``by_hand``), nodes cannot.
    Effects that are not messages or appends are kept in ``effects`` by node.
    """

    now_s: float = 1000.0
    log: FakeLog = dataclasses.field(default_factory=lambda: FakeLog(3600.0))
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    paused: set[str] = dataclasses.field(default_factory=set)
    no_platform: set[str] = dataclasses.field(default_factory=set)
    cuts: set[frozenset[str]] = dataclasses.field(default_factory=set)
    drops: t.Callable[[str, str, t.Any], bool] = lambda sender, to, message: False
    delays: t.Callable[[str, str, t.Any], float] = lambda sender, to, message: DELAY_S
    effects: dict[str, list[fx.Effect]] = dataclasses.field(default_factory=dict)
    signals: dict[str, list[t.Any]] = dataclasses.field(default_factory=dict)
    by_hand: set[str] = dataclasses.field(default_factory=set)
    held: dict[str, list] = dataclasses.field(default_factory=dict)
    queue: list = dataclasses.field(default_factory=list)
    order: t.Iterator[int] = dataclasses.field(default_factory=itertools.count)
    sent: int = 0
    sent_bytes: int = 0

    def boot(self, name, domain, boot="1"):
        """Start a node; it replaces one of the same name."""
        seeds = {one: one for one in self.nodes if one != name}
        me = Me(name, boot, domain, "region", name, name)
        # One seed for all would make them choose alike.
        seed = zlib.crc32(f"{name}/{boot}".encode())
        node = make_node(me, seed, seeds, WALL_OFFSET_S)
        for other in self.nodes.values():
            other.seeds.setdefault(name, name)
        self.nodes[name] = node
        self.held.pop(name, None)
        self.effects[name] = []
        self.signals[name] = []
        self._record_signals(node)
        self._repeat(name, node, TICK_S, lambda: node.run_timers(self.now_s))
        self._repeat(name, node, POLL_S, lambda: self._poll(name, node))
        return node

    def _record_signals(self, node):
        signal = node.signal

        def record(event, now_s):
            self.signals[node.me.name].append(event)
            signal(event, now_s)

        node.signal = record

    def kill(self, name):
        """End a node at once."""
        del self.nodes[name]

    def resume(self, name):
        """Continue a paused node with the messages that waited for it."""
        self.paused.discard(name)
        for deliver in self.held.pop(name, []):
            deliver()

    def later(self, delay_s, action):
        """Do something after a delay."""
        heapq.heappush(self.queue, (self.now_s + delay_s, next(self.order), action))

    def advance(self, duration_s):
        """Let time pass."""
        until_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= until_s:
            due_s, _, action = heapq.heappop(self.queue)
            self.now_s = max(self.now_s, due_s)
            action()
        self.now_s = until_s

    def _repeat(self, name, node, period_s, action):
        if self.nodes.get(name) is not node:
            return
        if name not in self.paused:
            self.carry_out(name, action())
        self.later(period_s, lambda: self._repeat(name, node, period_s, action))

    def _poll(self, name, node):
        if self.log.down or name in self.no_platform:
            return []
        entries, first = self.log.read(read_from(node), self.now_s)
        end = self.log.next_offset
        return node.handle(
            events.LogRead(entries, first, end, end, self.now_s), self.now_s
        )

    def carry_out(self, name, effects):
        """Deliver messages and appends; keep the other effects."""
        for effect in effects:
            if isinstance(effect, fx.Send):
                self._send(name, effect)
            elif isinstance(effect, fx.Append):
                self._append(name, effect.record)
            else:
                self.effects[name].append(effect)

    def _send(self, name, effect):
        if frozenset((name, effect.to)) in self.cuts:
            return
        node = self.nodes[name]
        self.sent += 1
        envelope = msg.Envelope(
            msg.PROTOCOL_VERSION, name, node.me.boot, effect.message
        )
        data = msg.encode(envelope)
        self.sent_bytes += len(data)
        if self.drops(name, effect.to, effect.message):
            return

        def deliver():
            target = self.nodes.get(effect.to)
            if target is None:
                return
            if effect.to in self.paused:
                self.held.setdefault(effect.to, []).append(deliver)
                return
            copy = msg.decode(data)
            sender = msg.Member(copy.sender, copy.boot)
            rows = target.receive(sender, copy.message, self.now_s)
            self.carry_out(effect.to, rows)

        self.later(self.delays(name, effect.to, effect.message), deliver)

    def _append(self, name, record):
        node = self.nodes[name]
        by_hand = isinstance(record, rec.RosterSet) and record.domain in self.by_hand
        if self.log.down or name in self.no_platform or by_hand:
            event = events.AppendEnded(record.token, refused=True)
        else:
            offset = self.log.append(record, self.now_s)
            lost = self.log.lose_answers
            event = events.AppendEnded(record.token, None if lost else offset)
        self.later(
            DELAY_S,
            lambda: self.carry_out(name, node.handle(event, self.now_s)),
        )

    def run(self, name, action):
        """Call ``action(node, now_s)`` and carry out what it emits."""
        node = self.nodes[name]
        rv = action(node, self.now_s)
        self.carry_out(name, node.drain(self.now_s))
        return rv

    def append(self, record):
        """Append a record as an operator would; returns its offset."""
        return self.log.append(record, self.now_s)

    def set_roster(self, domain, epoch, names, settled=None, **more):
        """Append a roster of nodes by name."""
        self.by_hand.add(domain)
        members = [self.nodes[one].me.member for one in names]
        settled = epoch - 1 if settled is None else settled
        self.append(rec.RosterSet(domain, epoch, members, members, settled, **more))

    def got(self, name, cls):
        """List the signals of a class that a node has had."""
        return [one for one in self.signals[name] if isinstance(one, cls)]


def make_cell(**names):
    """Make a cell of nodes given their domains by name."""
    cell = FakeCell()
    for name, domain in names.items():
        cell.boot(name, domain)
    return cell


def make_text(limit_tasks=10, domains=("north", "south"), **policy):
    """Make a text with one team, one keyed and one open kind."""
    return {
        "cell": "hedgerow",
        "domains": [{"name": one, "region": "midlands"} for one in domains],
        "teams": [
            {"name": "a", "share": 1, "limit_tasks": limit_tasks},
            {"name": "open", "share": 1, "limit_tasks": limit_tasks},
        ],
        "services": [
            {
                "name": "coursework",
                "team": "a",
                "kinds": [
                    {"name": "place", "size": "small", "run_time_s": 0.1},
                    {"name": "walk", "size": "small", "open": True},
                ],
            }
        ],
        "policy": policy,
    }
