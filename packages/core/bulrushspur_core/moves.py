"""Moves queued offers from a busy owner to one with free room.

An owner for whom work waits asks a few others for room; those that have some answer
how many offers they can take; it gives up that many, the first in their order, and the
doors offer them there. So a request waits nearly as if there were one queue, though
each process sees a part. Whoever finds no room asks less and less often.
"""

import dataclasses
import typing as t

from bulrushspur_core import events, queues
from bulrushspur_core.membership import Members, live_peers
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.owner import current_load, team_key
from bulrushspur_core.queues import QueuedOffer, Queues, Rank
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal

ASK_S: t.Final = 0.01
ASK_AT_MOST_S: t.Final = 0.32
ASKED_AT_ONCE: t.Final = 3
PROMISED_S: t.Final = 0.02
MOVED_AT_MOST: t.Final = 64


@dataclasses.dataclass
class Moves:
    """When this owner asks for room next, and what it promised to others."""

    ask_s: float = 0.0
    pause_s: float = ASK_S
    promised: int = 0
    promised_until_s: float = 0.0


@register_state(Moves)
def make_moves(node: Node) -> Moves:
    """Make the state of an owner that has asked nobody."""
    return Moves()


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
    peers = [one for one in live_peers(node) if one.load.total_slots]
    node.rng.shuffle(peers)
    peers.sort(key=lambda peer: -min(peer.load.free_slots, 1))
    for peer in peers[:ASKED_AT_ONCE]:
        # Below 0: so many are to be taken.
        node.send(peer.info.name, msg.Spare([], -min(waiting, MOVED_AT_MOST)))
    moves.ask_s = now_s + moves.pause_s
    moves.pause_s = min(2 * moves.pause_s, ASK_AT_MOST_S)


@on(msg.Spare)
def on_spare(node: Node, sender: msg.Member, message: msg.Spare, now_s: float) -> None:
    """Answer how many offers fit here, or give up as many as fit there."""
    if message.slots < 0:
        _answer(node, sender, -message.slots, now_s)
        return
    moves = node.state(Moves)
    moves.pause_s = ASK_S
    moves.ask_s = now_s
    sentence = "Another owner has room for it."
    for offer in first_offers(node, min(message.slots, MOVED_AT_MOST), now_s):
        queues.pop(node.state(Queues), offer.ticket)
        refusal = Refusal(ErrorKind.QUEUE_FULL, sentence, Ran.NO, 1.0)
        node.send(offer.door, msg.Refused(offer.ticket, refusal, sender.name))
        node.metrics.count("moved")


def _answer(node: Node, sender: msg.Member, wanted: int, now_s: float) -> None:
    moves = node.state(Moves)
    if now_s >= moves.promised_until_s:
        moves.promised = 0
    load = current_load(node, now_s)
    slots = min(load.free_slots - moves.promised, wanted)
    if slots <= 0 or load.queued or node.state(Members).stopping:
        return
    moves.promised += slots
    moves.promised_until_s = now_s + PROMISED_S
    node.send(sender.name, msg.Spare([], slots))


def first_offers(node: Node, slots: int, now_s: float) -> list[QueuedOffer]:
    """List the offers that would start first in so many slots."""
    waiting = node.state(Queues)
    rv: list[QueuedOffer] = []
    taken: set[str] = set()
    for rank in Rank:
        lanes = queues.lanes_of(rank)
        ranked = [one for one in waiting.teams.values() if one.length]
        ranked.sort(key=lambda one: team_key(node, one.name, now_s))
        for queue in ranked:
            for (lane, _), line in queue.lines.items():
                for offer in line.offers if lane in lanes else ():
                    if len(rv) >= slots:
                        return rv
                    if offer.live and offer.ticket not in taken:
                        taken.add(offer.ticket)
                        rv.append(offer)
    return rv


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
