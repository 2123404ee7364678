"""Chooses the owner that work is offered to."""

from bulrushspur_core.membership import live_peers
from bulrushspur_core.node import Node
from bulrushspur_core.workers import Workers
from bulrushspur_kernel.work import Work


def choose_owner(node: Node, work: Work, tried: str, now_s: float) -> str | None:
    """Choose the owner with the shortest wait, other than ``tried``."""
    mine = [view for view in node.state(Workers).views.values() if view.owned]
    if mine and tried != node.me.name:
        return node.me.name
    peers = [
        peer
        for peer in live_peers(node)
        if peer.load.total_slots and peer.info.name != tried
    ]
    best = min(
        peers, key=lambda peer: (peer.load.wait_s, -peer.load.free_slots), default=None
    )
    if best is not None:
        return best.info.name
    return node.me.name if mine else None
