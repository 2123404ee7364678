"""Moves queued offers from a busy owner to one with free room.

An owner for whom work waits asks a few others for room; those that have some answer
how many offers they can take; it gives up that many, the first in their order, and the
doors offer them there. So a request waits nearly as if there were one queue, though
each process sees a part. Whoever finds no room asks less and less often.
"""

import dataclasses
import itertools
import typing as t

from bulrushspur_core import events, placement, queues, waits
from bulrushspur_core.capable import capable_owners
from bulrushspur_core.membership import Members, live_peers
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.owner import spare_slots, team_key
from bulrushspur_core.queues import Lane, QueuedOffer, Queues, Rank
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal

ASK_S: t.Final = 0.01
ASK_AT_MOST_S: t.Final = 0.32
FLOOR_GROWTH: t.Final = 1.1
FLOOR_AT_MOST_S: t.Final = 0.1
ASKED_AT_ONCE: t.Final = 3
PROMISED_S: t.Final = 0.02
MOVED_AT_MOST: t.Final = 64
SEEN_AT_MOST: t.Final = 300


@dataclasses.dataclass
class Moves:
    """When this owner asks for room next, and what it promised to others."""

    ask_s: float = 0.0
    asked_s: float = 0.0
    pause_s: float = ASK_S
    floor_s: float = ASK_S
    promised: int = 0
    promised_until_s: float = 0.0


@register_state(Moves)
def make_moves(node: Node) -> Moves:
    """Make the state of an owner that has asked nobody."""
    return Moves()


@on(msg.Offer)
def on_offer(node: Node, sender: msg.Member, message: msg.Offer, now_s: float) -> None:
    """Ask for room at once where a small offer has to wait."""
    offer = node.state(Queues).offers.get(message.ticket)
    moves = node.state(Moves)
    if offer is None or offer.lane > Lane.SMALL:
        return
    moves.ask_s = min(moves.ask_s, moves.asked_s + moves.floor_s)
    ask_for_room(node, now_s)


@every(ASK_S)
def ask_for_room(node: Node, now_s: float) -> None:
    """Ask a few owners for room while work waits here."""
    waiting = len(node.state(Queues).offers)
    moves = node.state(Moves)
    if not waiting:
        moves.pause_s = ASK_S
        return
    if now_s < moves.ask_s:
        return
    small = min(count_small(node), MOVED_AT_MOST)
    peers = [one for one in live_peers(node) if one.load.total_slots]
    node.rng.shuffle(peers)
    peers.sort(key=lambda peer: -min(peer.load.free_slots, 1))
    for peer in peers[:ASKED_AT_ONCE]:
        node.send(peer.info.name, msg.Spare(-min(waiting, MOVED_AT_MOST), -small))
    moves.asked_s = now_s
    moves.ask_s = now_s + moves.pause_s
    moves.pause_s = min(2 * moves.pause_s, ASK_AT_MOST_S)
    # Where nobody ever has room, even small work asks less often.
    moves.floor_s = min(FLOOR_GROWTH * moves.floor_s, FLOOR_AT_MOST_S)
    node.metrics.count("asked")


@on(msg.Spare)
def on_spare(node: Node, sender: msg.Member, message: msg.Spare, now_s: float) -> None:
    """Answer how many offers fit here, or give up as many as fit there."""
    if message.slots < 0:
        _answer(node, sender, -message.slots, -message.small_slots, now_s)
        return
    moves = node.state(Moves)
    moves.pause_s = ASK_S
    moves.floor_s = ASK_S
    moves.ask_s = now_s
    sentence = "Another owner has room for it."
    slots = min(message.slots, MOVED_AT_MOST)
    small_slots = min(message.small_slots, MOVED_AT_MOST)
    for offer in first_offers(node, slots, small_slots, now_s):
        capable = capable_owners(node, offer.room)
        if capable is not None and sender.name not in capable:
            continue
        queue = node.state(Queues).teams[offer.work.team]
        queues.pop(node.state(Queues), offer.ticket)
        waits.note_left(node, offer, queue, now_s)
        refusal = Refusal(ErrorKind.QUEUE_FULL, sentence, Ran.NO, 1.0)
        node.send(offer.door, msg.Refused(offer.ticket, refusal, sender.name))
        node.metrics.count("moved")


def _answer(
    node: Node, sender: msg.Member, wanted: int, wanted_small: int, now_s: float
) -> None:
    moves = node.state(Moves)
    if node.state(Members).stopping:
        return
    if now_s >= moves.promised_until_s:
        moves.promised = 0
    free = placement.free_slots(node.state(placement.Bins)) - moves.promised
    slots = max(min(spare_slots(node, now_s) - moves.promised, wanted), 0)
    small_slots = max(min(free - slots, wanted_small), 0)
    if not slots and not small_slots:
        return
    moves.promised += slots + small_slots
    moves.promised_until_s = now_s + PROMISED_S
    node.send(sender.name, msg.Spare(slots, small_slots))


def count_small(node: Node) -> int:
    """Count the small offers that wait."""
    teams = node.state(Queues).teams.values()
    return sum(one.counts.get(Lane.SMALL, 0) for one in teams)


def first_offers(
    node: Node, slots: int, small_slots: int, now_s: float
) -> list[QueuedOffer]:
    """List the offers that would start first in so many slots."""
    rv: dict[str, QueuedOffer] = {}
    for offer in itertools.islice(_in_order(node, now_s), SEEN_AT_MOST):
        need = max(offer.room.slots, 1)
        if offer.ticket in rv:
            continue
        if offer.lane is Lane.SMALL and need <= small_slots:
            small_slots -= need
        elif need <= slots:
            slots -= need
        else:
            continue
        rv[offer.ticket] = offer
        if slots <= 0 and small_slots <= 0:
            break
    return list(rv.values())


def _in_order(node: Node, now_s: float) -> t.Iterator[QueuedOffer]:
    """Go through the queue nearly in the order in which it would start."""
    teams = [one for one in node.state(Queues).teams.values() if one.length]
    teams.sort(key=lambda one: team_key(node, one.name, now_s))
    for rank in Rank:
        lanes = queues.lanes_of(rank)
        for queue in teams:
            for (lane, _), line in queue.lines.items():
                if lane in lanes:
                    yield from (one for one in line.offers if one.live)


@on(events.PeerLost)
def on_peer_lost(node: Node, event: events.PeerLost, now_s: float) -> None:
    """Drop what waits for a door that was lost: nobody would get the answer."""
    waiting = node.state(Queues)
    lost = [one.ticket for one in waiting.offers.values() if one.door == event.name]
    for ticket in lost:
        queues.pop(waiting, ticket)


@on(events.StopAsked)
def on_stop_asked(node: Node, event: events.StopAsked, now_s: float) -> None:
    """Hand queued offers over to other owners before this process goes."""
    for offer in list(node.state(Queues).offers.values()):
        hand_over(node, offer.ticket, offer.door, now_s)


def hand_over(node: Node, ticket: str, door: str, now_s: float) -> bool:
    """Give an offer up to the least busy other owner; tell whether there is one."""
    peers = [
        peer
        for peer in live_peers(node)
        if peer.load.total_slots and not peer.info.stopping
    ]
    if not peers:
        return False
    best = min(peers, key=lambda peer: (peer.load.wait_s, -peer.load.free_slots))
    queues.pop(node.state(Queues), ticket)
    refusal = Refusal(ErrorKind.STOPPING, "This entry process is stopping.", Ran.NO, 1)
    node.send(door, msg.Refused(ticket, refusal, best.info.name))
    return True
