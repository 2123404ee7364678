"""Chooses what a heartbeat passes on of other processes, bounded in size."""

import random
import typing as t

from bulrushspur_kernel import messages as msg

OTHERS_AT_MOST: t.Final = 2
NEWS_TO_DOMAIN: t.Final = 6
NEWS_TO_OTHERS: t.Final = 8
OTHERS_AGE_S: t.Final = 8.0
NEWS_AGE_S: t.Final = 6.0


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


def choose_news(
    rng: random.Random,
    peers: t.Mapping[str, KnownPeer],
    my_domain: str,
    to_domain: bool,
    now_s: float,
) -> list[msg.PeerNews]:
    """Choose the youngest loads; the own domain hears its own members directly."""
    count = NEWS_TO_DOMAIN if to_domain else NEWS_TO_OTHERS
    known = [
        (peer.load_s, rng.random(), name)
        for name, peer in peers.items()
        if now_s - peer.load_s < NEWS_AGE_S
        and not (to_domain and peer.info.domain == my_domain)
    ]
    known.sort(reverse=True)
    rv = []
    for _, _, name in known[:count]:
        peer = peers[name]
        age_ms = int((now_s - peer.load_s) * 1000)
        rv.append(msg.PeerNews(name, peer.info.boot, age_ms, peer.load))
    return rv
