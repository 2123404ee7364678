"""Chooses what a heartbeat passes on of other processes, bounded in size."""

import random
import typing as t
import zlib

from bulrushspur_kernel import messages as msg

OTHERS_AT_MOST: t.Final = 1
NEWS_AT_MOST: t.Final = 8
OTHERS_AGE_S: t.Final = 8.0
NEWS_AGE_S: t.Final = 10.0


class KnownPeer(t.Protocol):
    """What is needed of a peer here."""

    info: msg.PeerInfo
    seen_s: float
    load: msg.Load
    load_s: float
    lost: bool


def choose_others(
    rng: random.Random, peers: t.Mapping[str, KnownPeer], now_s: float
) -> list[msg.PeerInfo]:
    """Choose a few live processes at random to pass on who and where they are."""
    known = [
        peer
        for peer in peers.values()
        if not peer.lost and now_s - peer.seen_s < OTHERS_AGE_S
    ]
    rv = []
    for peer in rng.sample(known, min(OTHERS_AT_MOST, len(known))):
        info = peer.info
        age_s = round(now_s - peer.seen_s, 3)
        rv.append(
            msg.PeerInfo(
                info.name,
                info.boot,
                info.domain,
                info.region,
                info.address,
                info.operators_address,
                info.stopping,
                age_s,
            )
        )
    return rv


def choose_news(peers: t.Mapping[str, KnownPeer], now_s: float) -> list[msg.PeerNews]:
    """Choose the processes whose loads are the youngest to pass these on."""
    known = [
        (peer.load_s, name)
        for name, peer in peers.items()
        if now_s - peer.load_s < NEWS_AGE_S
    ]
    known.sort(reverse=True)
    rv = []
    for load_s, name in known[:NEWS_AT_MOST]:
        peer = peers[name]
        age_ms = int((now_s - load_s) * 1000)
        rv.append(msg.PeerNews(name, mark(peer.info.boot), age_ms, peer.load))
    return rv


def mark(boot: str) -> int:
    """Shorten an incarnation to two bytes; a load may be of the wrong one, no more."""
    return zlib.crc32(boot.encode()) & 0xFFFF
