"""Chooses the owner that work is offered to, from what owners tell of their load.

Loads are as old as the last heartbeat, so a door adds what it has sent since. What is
still queued too long at one owner moves: see moves.py.
"""

import collections
import dataclasses
import typing as t

from bulrushspur_core.capable import capable_owners
from bulrushspur_core.membership import Peer, live_peers
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_core.owner import current_load, spare_slots
from bulrushspur_core.queues import Lane, lane_of
from bulrushspur_core.retries import note_first_attempt
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel.work import Work

SENT_KEPT: t.Final = 1000


@dataclasses.dataclass
class Routing:
    """Offers sent to each owner since it last told its load."""

    sent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@register_state(Routing)
def make_routing(node: Node) -> Routing:
    """Make the state of a door that has offered nothing."""
    return Routing()


@on(msg.Heartbeat)
def on_heartbeat(
    node: Node, sender: msg.Member, message: msg.Heartbeat, now_s: float
) -> None:
    """Count offers anew, for the load of the owner has them."""
    node.state(Routing).sent.pop(sender.name, None)


@on(msg.Queued)
def on_queued(
    node: Node, sender: msg.Member, message: msg.Queued, now_s: float
) -> None:
    """Learn that an owner is full before its next heartbeat tells it."""
    peer = next((one for one in live_peers(node) if one.info.name == sender.name), None)
    if peer is not None:
        peer.load.free_slots = 0
        peer.load.queued = max(peer.load.queued, message.position)


def choose_owner(node: Node, work: Work, tried: str, now_s: float) -> str | None:
    """Choose the owner with the shortest wait, other than ``tried`` where possible."""
    if not tried:
        note_first_attempt(node, work)
    mine = current_load(node, now_s)
    capable = capable_owners(node, work.room)
    if capable is not None and node.me.name not in capable:
        mine = msg.Load()
    small = lane_of(work) <= Lane.SMALL
    here = mine.free_slots if small else spare_slots(node, now_s)
    own = mine.total_slots > 0 and tried != node.me.name
    if own and here >= max(work.room.slots, 1):
        return node.me.name
    peers = [
        peer
        for peer in live_peers(node)
        if peer.load.total_slots
        and not peer.info.stopping
        and peer.info.name != tried
        and (capable is None or peer.info.name in capable)
    ]
    name = _choose_free(node, peers) or _choose_short(node, peers, mine, tried)
    if name is None and tried:
        # Nobody else is left: where it was tried is better than nowhere.
        return tried if tried != node.me.name or mine.total_slots else None
    return name


def _choose_free(node: Node, peers: list[Peer]) -> str | None:
    sent = node.state(Routing).sent
    free = [
        (peer.info.name, peer.load.free_slots - sent[peer.info.name])
        for peer in peers
        if not peer.load.queued
    ]
    free = [(name, slots) for name, slots in free if slots > 0]
    if not free:
        return None
    names, weights = zip(*free, strict=True)
    name = node.rng.choices(names, weights)[0]
    sent[name] += 1
    return name


def _choose_short(
    node: Node, peers: list[Peer], mine: msg.Load, tried: str
) -> str | None:
    sent = node.state(Routing).sent
    rows = [
        (_backlog(peer.load, sent[peer.info.name]), node.rng.random(), peer.info.name)
        for peer in peers
    ]
    if mine.total_slots and tried != node.me.name:
        rows.append((_backlog(mine, 0), -1.0, node.me.name))
    if not rows:
        return None
    name = min(rows)[2]
    if name != node.me.name:
        sent[name] += 1
    return name


def _backlog(load: msg.Load, sent: int) -> float:
    """Compare owners by the wait of what was told and of what was sent since."""
    mean_s = load.queued_work_s / load.queued if load.queued else 1.0
    return (load.queued_work_s + sent * mean_s) / load.total_slots
