"""The entry processes of the system: who lives, where, and how busy they are.

Members of the own failure domain, and the voters shared with another one, are heard
directly every second. Other domains are heard through a few random peers, whose
heartbeats pass on what they know, so that the cost does not grow with the cell.
"""

import dataclasses
import typing as t

from bulrushspur_core import events, gossip
from bulrushspur_core.log_reader import cell_of, fresh_age_s
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.workers import leaving_workers, list_age_s
from bulrushspur_kernel import messages as msg

HEARTBEAT_S: t.Final = 1.0
SWEEP_S: t.Final = 0.25
LOST_AFTER_S: t.Final = 3.5
FAR_LOST_AFTER_S: t.Final = 18.0
FORGET_AFTER_S: t.Final = 600.0
STALLED_S: t.Final = 1.0
FAR_BEATS: t.Final = 2
SEEDS_EVERY_BEATS: t.Final = 5

STOPPED_KEPT: t.Final = 100


@dataclasses.dataclass
class Peer:
    """What is known of another process; ``seen_s`` and ``load_s`` are monotonic."""

    info: msg.PeerInfo
    seen_s: float
    load: msg.Load
    next_offset: int = 0
    lost: bool = False
    load_s: float = float("-inf")


@dataclasses.dataclass
class Members:
    """The other processes by name.

    ``awake_s`` is since when this process has run without a stall: before that it
    could not have heard anybody. ``stopped`` has the incarnations that stopped
    gracefully, the latest last, for another one may soon have the name.
    """

    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    load: msg.Load = dataclasses.field(default_factory=msg.Load)
    stopping: bool = False
    stopped: dict[msg.Member, None] = dataclasses.field(default_factory=dict)
    beats: int = 0
    round: list[str] = dataclasses.field(default_factory=list)
    awake_s: float | None = None
    swept_s: float = 0.0


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


def is_newer(boot: str, than: str) -> bool:
    """Tell whether an incarnation was started after another of the same name."""
    return (len(boot), boot) > (len(than), than)


def is_live(node: Node, member: msg.Member) -> bool:
    """Tell whether this very incarnation of a process was heard of lately."""
    if member.name == node.me.name:
        return member == node.me.member
    peer = node.state(Members).peers.get(member.name)
    return peer is not None and not peer.lost and peer.info.boot == member.boot


def my_info(node: Node) -> msg.PeerInfo:
    """Describe this process to its peers."""
    me = node.me
    return msg.PeerInfo(
        me.name,
        me.boot,
        me.domain,
        me.region,
        me.address,
        me.operators_address,
        node.state(Members).stopping,
    )


@every(HEARTBEAT_S)
def send_heartbeats(node: Node, now_s: float) -> None:
    """Tell the own domain, fellow voters and a few random others that it lives."""
    members = node.state(Members)
    near, far = _targets(node)
    chosen = _next_far(node, far)
    for name in near:
        node.send(name, _heartbeat(node, _in_domain(node, name), now_s))
    for name in chosen:
        node.send(name, _heartbeat(node, False, now_s))
    members.beats += 1


def _next_far(node: Node, far: list[str]) -> list[str]:
    """Choose whom to tell in other domains: each once, in random order, then again."""
    members = node.state(Members)
    rv = []
    for _ in range(min(FAR_BEATS, len(far))):
        members.round = [one for one in members.round if one in far and one not in rv]
        if not members.round:
            members.round = node.rng.sample(far, len(far))
        rv.append(members.round.pop())
    return rv


def _targets(node: Node) -> tuple[list[str], list[str]]:
    members = node.state(Members)
    near = {
        name
        for name, peer in members.peers.items()
        if peer.info.domain == node.me.domain
    }
    near |= _fellow_voters(node)
    unknown = set(node.seeds) - set(members.peers)
    if members.beats % SEEDS_EVERY_BEATS == 0:
        near |= unknown
    near.discard(node.me.name)
    far = {*members.peers, *unknown} - near - {node.me.name}
    return sorted(near), sorted(far)


def _fellow_voters(node: Node) -> set[str]:
    """Name the witnesses of this domain, and the members this process witnesses."""
    rv: set[str] = set()
    cell = cell_of(node)
    for domain in cell.rosters:
        roster = cell.roster(domain)
        if domain == node.me.domain or node.me.member in roster.voters:
            rv |= {one.name for one in (*roster.members, *roster.voters)}
    return rv


def _in_domain(node: Node, name: str) -> bool:
    peer = node.state(Members).peers.get(name)
    return peer is not None and peer.info.domain == node.me.domain


def _heartbeat(node: Node, to_domain: bool, now_s: float) -> msg.Heartbeat:
    members = node.state(Members)
    cell = cell_of(node)
    beat = msg.Heartbeat(
        my_info(node),
        cell.roster(node.me.domain).epoch,
        cell.next_offset,
        fresh_age_s(node, now_s),
        members.load,
    )
    if to_domain:
        beat.leaving = leaving_workers(node)
        beat.list_age_s = list_age_s(node, now_s)
    else:
        beat.others = gossip.choose_others(node.rng, members.peers, now_s)
        beat.news = gossip.choose_news(members.peers, now_s)
    return beat


@every(SWEEP_S)
def sweep_peers(node: Node, now_s: float) -> None:
    """Mark the peers that fell silent, but not for a pause of this process."""
    members = node.state(Members)
    if members.awake_s is None or now_s - members.swept_s > STALLED_S:
        members.awake_s = now_s
    members.swept_s = now_s
    for name, peer in list(members.peers.items()):
        silent_s = now_s - max(peer.seen_s, members.awake_s)
        near = peer.info.domain == node.me.domain
        if not peer.lost and silent_s > (LOST_AFTER_S if near else FAR_LOST_AFTER_S):
            lose(node, peer, now_s)
        elif peer.lost and silent_s > FORGET_AFTER_S and name not in node.seeds:
            del members.peers[name]


def lose(node: Node, peer: Peer, now_s: float) -> None:
    """Mark a process as lost and tell the other parts."""
    peer.lost = True
    node.metrics.count("members.lost")
    node.signal(events.PeerLost(peer.info.name, peer.info.boot), now_s)


@on(msg.Heartbeat)
def on_heartbeat(
    node: Node, sender: msg.Member, message: msg.Heartbeat, now_s: float
) -> None:
    """Note a sign of life, and what the sender passes on."""
    if sender.name == node.me.name:
        return
    peer = meet(node, message.info, now_s, now_s)
    if peer is None:
        node.metrics.count("members.old_incarnation")
        return
    peer.info = message.info
    if message.info.stopping:
        _note_stopped(node, sender)
    peer.load, peer.load_s = message.load, now_s
    peer.next_offset = message.next_offset
    for info in message.others:
        _introduce(node, info, now_s)
    for news in message.news:
        _learn(node, news, now_s)


def _note_stopped(node: Node, member: msg.Member) -> None:
    stopped = node.state(Members).stopped
    stopped.setdefault(member)
    while len(stopped) > STOPPED_KEPT:
        del stopped[next(iter(stopped))]


def meet(node: Node, info: msg.PeerInfo, seen_s: float, now_s: float) -> Peer | None:
    """Note that a process was alive at ``seen_s``; None for an older incarnation."""
    members = node.state(Members)
    known = members.peers.get(info.name)
    if known is not None and known.info.boot != info.boot:
        if not known.lost and not is_newer(info.boot, known.info.boot):
            return None
        if not known.lost:
            lose(node, known, now_s)
        known = None
    if known is None:
        known = Peer(info, seen_s, msg.Load(), lost=True)
        members.peers[info.name] = known
    known.seen_s = max(known.seen_s, seen_s)
    if known.lost and now_s - seen_s <= LOST_AFTER_S:
        known.lost = False
        node.signal(events.PeerSeen(info.name, info.boot), now_s)
    return known


def _introduce(node: Node, info: msg.PeerInfo, now_s: float) -> None:
    """Learn of a process through another; its own domain must hear it itself."""
    if info.name == node.me.name:
        return
    if info.domain != node.me.domain:
        known = node.state(Members).peers.get(info.name)
        if known is None or info.age_s < now_s - known.seen_s:
            meet(node, info, now_s - info.age_s, now_s)
        return
    peers = node.state(Members).peers
    if info.name not in peers and info.age_s < LOST_AFTER_S:
        peers[info.name] = Peer(info, now_s - info.age_s, msg.Load(), lost=True)


def _learn(node: Node, news: msg.PeerNews, now_s: float) -> None:
    """Take over how busy a process of another domain is, where that is newer."""
    peer = node.state(Members).peers.get(news.name)
    if peer is None or gossip.mark(peer.info.boot) != news.mark:
        return
    said_s = now_s - news.age_ms / 1000
    if said_s > peer.load_s:
        peer.load, peer.load_s = news.load, said_s
        if peer.info.domain != node.me.domain:
            meet(node, peer.info, said_s, now_s)
