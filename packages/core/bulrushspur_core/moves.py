"""Moves queued offers from a busy owner to one with free room.

An owner with free slots tells a few busy ones how many it can take; those give up that
many offers, the first in their order, and the doors offer them there. So a request
waits nearly as if there were one queue, though each process sees a part.
"""

import typing as t

from bulrushspur_core import events, queues
from bulrushspur_core.membership import Members, Peer, live_peers
from bulrushspur_core.node import Node, every, on
from bulrushspur_core.owner import current_load, team_key
from bulrushspur_core.queues import QueuedOffer, Queues, Rank
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.errors import ErrorKind, Ran, Refusal

SPARE_S: t.Final = 0.05
TOLD_AT_MOST: t.Final = 2
MOVED_AT_MOST: t.Final = 64
BUSY_PART: t.Final = 0.8


@every(SPARE_S)
def tell_spare(node: Node, now_s: float) -> None:
    """Tell the busiest owners how many slots are free here."""
    if node.state(Queues).offers or node.state(Members).stopping:
        return
    free = current_load(node, now_s).free_slots
    if free <= 0:
        return
    busy = [peer for peer in live_peers(node) if _is_busy(peer)]
    busy.sort(key=lambda peer: (-peer.load.queued, node.rng.random()))
    told = busy[: min(TOLD_AT_MOST, free)]
    for peer in told:
        node.send(peer.info.name, msg.Spare([], max(free // len(told), 1)))


def _is_busy(peer: Peer) -> bool:
    load = peer.load
    used = load.total_slots - load.free_slots
    return load.total_slots > 0 and (
        load.queued > 0 or used >= BUSY_PART * load.total_slots
    )


@on(msg.Spare)
def on_spare(node: Node, sender: msg.Member, message: msg.Spare, now_s: float) -> None:
    """Give up the first offers of the queue to an owner that has room."""
    slots = min(message.slots, MOVED_AT_MOST)
    sentence = "Another owner has room for it."
    for offer in first_offers(node, slots, now_s):
        queues.pop(node.state(Queues), offer.ticket)
        refusal = Refusal(ErrorKind.QUEUE_FULL, sentence, Ran.NO, 1.0)
        node.send(offer.door, msg.Refused(offer.ticket, refusal, sender.name))
        node.metrics.count("moved")


def first_offers(node: Node, slots: int, now_s: float) -> list[QueuedOffer]:
    """List the offers that would start first in so many slots."""
    waiting = node.state(Queues)
    rv: list[QueuedOffer] = []
    taken: set[str] = set()
    for rank in Rank:
        ranked = [one for one in waiting.teams.values() if queues.has_work(one, rank)]
        ranked.sort(key=lambda one: team_key(node, one.name, now_s))
        for queue in ranked:
            for line in queue.lines.values():
                for offer in line:
                    if len(rv) >= slots:
                        return rv
                    fits = offer.live and offer.ticket not in taken
                    if fits and rank in queues.ranks_of(offer.lane):
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
