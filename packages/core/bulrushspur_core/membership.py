"""The entry processes of the system: who lives, where, and how busy they are."""

import dataclasses
import typing as t

from bulrushspur_core import events
from bulrushspur_core.log_reader import cell_of, fresh_age_s
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_kernel import messages as msg

HEARTBEAT_S: t.Final = 1.0
LOST_AFTER_S: t.Final = 4.0


@dataclasses.dataclass
class Peer:
    """What is known of another process; ``seen_s`` is monotonic."""

    info: msg.PeerInfo
    seen_s: float
    load: msg.Load
    next_offset: int = 0
    lost: bool = False


@dataclasses.dataclass
class Members:
    """The other processes by name."""

    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    load: msg.Load = dataclasses.field(default_factory=msg.Load)
    stopping: bool = False


@register_state(Members)
def make_members(node: Node) -> Members:
    """Make the state of a process that has heard of nobody yet."""
    return Members()


def live_peers(node: Node) -> list[Peer]:
    """List the other processes that were heard of lately."""
    return [peer for peer in node.state(Members).peers.values() if not peer.lost]


def live_in_domain(node: Node) -> list[str]:
    """List the live processes of this failure domain that do not stop, with self."""
    members = node.state(Members)
    rv = [
        peer.info.name
        for peer in live_peers(node)
        if peer.info.domain == node.me.domain and not peer.info.stopping
    ]
    return rv if members.stopping else [*rv, node.me.name]


@every(HEARTBEAT_S)
def send_heartbeats(node: Node, now_s: float) -> None:
    """Tell the peers that this process lives, and mark those that fell silent."""
    members = node.state(Members)
    me = node.me
    info = msg.PeerInfo(
        me.name,
        me.boot,
        me.domain,
        me.region,
        me.address,
        me.operators_address,
        members.stopping,
    )
    cell = cell_of(node)
    epoch = cell.roster(me.domain).epoch
    beat = msg.Heartbeat(
        info, epoch, cell.next_offset, fresh_age_s(node, now_s), members.load
    )
    for name in sorted({*node.seeds, *members.peers}):
        node.send(name, beat)
    for peer in members.peers.values():
        if not peer.lost and now_s - peer.seen_s > LOST_AFTER_S:
            peer.lost = True
            node.signal(events.PeerLost(peer.info.name, peer.info.boot), now_s)


@on(msg.Heartbeat)
def on_heartbeat(
    node: Node, sender: msg.Member, message: msg.Heartbeat, now_s: float
) -> None:
    """Note a sign of life."""
    members = node.state(Members)
    known = members.peers.get(sender.name)
    members.peers[sender.name] = Peer(
        message.info, now_s, message.load, message.next_offset
    )
    if known is None or known.lost or known.info.boot != sender.boot:
        if known is not None and known.info.boot != sender.boot and not known.lost:
            node.signal(events.PeerLost(sender.name, known.info.boot), now_s)
        node.signal(events.PeerSeen(sender.name, sender.boot), now_s)
