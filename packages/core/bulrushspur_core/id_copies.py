"""Copies of id records: to the second holder at each change, to all at a new roster.

To each peer at most one message is on its way; what changes meanwhile goes with the
next one, so that the cost of a burst of claims grows slower than its size.
"""

import dataclasses
import typing as t

from bulrushspur_core import events
from bulrushspur_core.cell import Roster
from bulrushspur_core.id_records import IdRecords, is_overfull, keep
from bulrushspur_core.ids import homes_of
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.roles import are_older_epochs_over, own_roster
from bulrushspur_kernel import messages as msg

TICK_S: t.Final = 0.05
RESEND_S: t.Final = 0.3
RECORDS_A_MESSAGE: t.Final = 400
ROUTED_A_TICK: t.Final = 1000
CLOCK_SKEW_S: t.Final = 2.0


@dataclasses.dataclass
class Flight:
    """A message of copies without an acknowledgement yet; ``sent_s`` is monotonic."""

    message: msg.CopyIds
    sent_s: float


@dataclasses.dataclass
class IdCopies:
    """What goes to which peer under the newest roster, and who has sent all it has.

    ``lost`` are members that went since this process had all records of its ids;
    ``claims`` has the tickets of claims that wait for their copy, by request id.
    """

    epoch: int = 0
    members: list[msg.Member] = dataclasses.field(default_factory=list)
    alone: bool = False
    lost: set[msg.Member] = dataclasses.field(default_factory=set)
    complete: bool = False
    complete_from: set[str] = dataclasses.field(default_factory=set)
    unrouted: list[str] = dataclasses.field(default_factory=list)
    unsent: dict[str, dict[str, None]] = dataclasses.field(default_factory=dict)
    flights: dict[str, Flight] = dataclasses.field(default_factory=dict)
    told_complete: set[str] = dataclasses.field(default_factory=set)
    claims: dict[str, str] = dataclasses.field(default_factory=dict)
    sequence: int = 0


@register_state(IdCopies)
def make_id_copies(node: Node) -> IdCopies:
    """Make the state of a process that copies nothing."""
    return IdCopies()


def is_complete(node: Node) -> bool:
    """Tell whether this process has all records that are left of its ids."""
    copies = node.state(IdCopies)
    newest = cell_of(node).roster(node.me.domain).epoch
    return copies.complete and copies.epoch == newest


def queue_copy(node: Node, peer: str, request_id: str, now_s: float) -> None:
    """Send a record to a peer, at once or when the last message is confirmed."""
    node.state(IdCopies).unsent.setdefault(peer, {})[request_id] = None
    _send_next(node, peer, now_s)


@on(events.RosterChanged)
def on_roster_changed(node: Node, event: events.RosterChanged, now_s: float) -> None:
    """Start to share out all records anew."""
    if event.domain == node.me.domain:
        enter_epoch(node)


def enter_epoch(node: Node) -> None:
    """Take up the newest roster of this domain."""
    copies = node.state(IdCopies)
    rosters = cell_of(node).rosters.get(node.me.domain, [])
    if not rosters or rosters[-1].epoch == copies.epoch:
        return
    members = rosters[-1].members
    earlier = rosters[:-1]
    if copies.complete:
        # What went before this process had everything took nothing with it.
        earlier = [one for one in earlier if one.epoch >= copies.epoch]
    before = {one for roster in earlier for one in roster.members}
    copies.lost |= (before | set(copies.members)) - set(members)
    if _is_newcomer(node, rosters):
        copies.lost = set()
    lonely = [one for one in earlier if len(one.members) == 1]
    copies.alone = copies.alone or bool(lonely) or len(copies.members) == 1
    copies.epoch, copies.members = rosters[-1].epoch, list(members)
    copies.complete = False
    copies.complete_from = {node.me.name}
    copies.unrouted = list(node.state(IdRecords).by_id)
    copies.unsent, copies.flights = {}, {}
    copies.told_complete, copies.claims = {node.me.name}, {}


def _is_newcomer(node: Node, rosters: list[Roster]) -> bool:
    """Tell whether members that stay know what was lost, and this process does not."""
    before = rosters[-2].members if len(rosters) > 1 else []
    stay = any(one in rosters[-1].members for one in before)
    return stay and node.me.member not in before


def both_may_be_lost(copies: IdCopies) -> bool:
    """Tell whether an id may have lost its home and its second copy."""
    return len(copies.lost) >= (1 if copies.alone else 2)


@every(TICK_S)
def share_records(node: Node, now_s: float) -> None:
    """Route records after a change of the roster, and repeat what was lost."""
    copies = node.state(IdCopies)
    if not copies.epoch:
        return
    _route(node, copies)
    for peer, flight in list(copies.flights.items()):
        if now_s - flight.sent_s >= RESEND_S:
            flight.sent_s = now_s
            node.send(peer, flight.message)
    for member in copies.members:
        _send_next(node, member.name, now_s)
    _check_complete(node, copies, now_s)


def _route(node: Node, copies: IdCopies) -> None:
    part = copies.unrouted[-ROUTED_A_TICK:]
    del copies.unrouted[-ROUTED_A_TICK:]
    for request_id in part:
        for name in homes_of(node, request_id):
            if name != node.me.name:
                copies.unsent.setdefault(name, {})[request_id] = None


def _send_next(node: Node, peer: str, now_s: float) -> None:
    copies = node.state(IdCopies)
    if peer == node.me.name or peer in copies.flights:
        return
    records = node.state(IdRecords)
    unsent = copies.unsent.get(peer, {})
    batch = []
    while unsent and len(batch) < RECORDS_A_MESSAGE:
        request_id = next(iter(unsent))
        del unsent[request_id]
        if request_id in records.by_id:
            batch.append(records.by_id[request_id])
    whole = not unsent and not copies.unrouted and peer not in copies.told_complete
    if not batch and not whole:
        return
    copies.sequence += 1
    message = msg.CopyIds(
        copies.epoch,
        copies.sequence,
        batch,
        whole,
        records.unknown_before_s,
        sorted(copies.lost, key=str) if whole else [],
    )
    copies.flights[peer] = Flight(message, now_s)
    node.send(peer, message)


@on(msg.CopyIds)
def on_copy_ids(
    node: Node, sender: msg.Member, message: msg.CopyIds, now_s: float
) -> None:
    """Keep copies of the same epoch, and confirm them."""
    enter_epoch(node)
    copies = node.state(IdCopies)
    if message.epoch != copies.epoch or own_roster(node) is None:
        return
    if is_overfull(node):
        node.metrics.count("ids.copies_refused")
        return
    for record in message.records:
        keep(node, record, now_s)
    records = node.state(IdRecords)
    records.unknown_before_s = max(records.unknown_before_s, message.unknown_before_s)
    if message.complete and sender in copies.members:
        if not copies.complete:
            copies.lost |= set(message.lost) - set(copies.members)
        copies.complete_from.add(sender.name)
    node.send(sender.name, msg.CopyIdsAck(message.epoch, message.sequence))


@on(msg.CopyIdsAck)
def on_copy_ids_ack(
    node: Node, sender: msg.Member, message: msg.CopyIdsAck, now_s: float
) -> None:
    """Note what the second holder has, and send it what changed since."""
    copies = node.state(IdCopies)
    flight = copies.flights.get(sender.name)
    known = flight is not None and flight.message.sequence == message.sequence
    if flight is None or not known or message.epoch != copies.epoch:
        return
    if sender not in copies.members:
        return
    del copies.flights[sender.name]
    if flight.message.complete:
        copies.told_complete.add(sender.name)
    records = node.state(IdRecords)
    for record in flight.message.records:
        newest = records.by_id.get(record.request_id) is record
        if newest and homes_of(node, record.request_id)[1:] == [sender.name]:
            node.signal(events.IdCopied(record.request_id), now_s)
    _send_next(node, sender.name, now_s)


def _check_complete(node: Node, copies: IdCopies, now_s: float) -> None:
    """Serve as home once everybody has sent all, and no older home can answer."""
    if copies.complete or own_roster(node) is None or copies.unrouted:
        return
    if not {one.name for one in copies.members} <= copies.complete_from:
        return
    if both_may_be_lost(copies):
        if not are_older_epochs_over(node, now_s):
            return
        records = node.state(IdRecords)
        floor_s = node.wall_s(now_s) + CLOCK_SKEW_S
        records.unknown_before_s = max(records.unknown_before_s, floor_s)
        node.metrics.count("ids.both_copies_lost")
    copies.complete = True
    copies.lost = set()
    copies.alone = len(copies.members) == 1
