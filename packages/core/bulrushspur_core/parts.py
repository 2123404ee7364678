"""Moves parts of upper limits between failure domains, where the demand is.

The giver stops counting on a part before it appends the record; the taker counts on it
when it has read the record. An append may be repeated: the first record of a sequence
uses it up.
"""

import dataclasses
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.log_reader import cell_of, fresh_age_s
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.parts_reserved import Giving, resolve_giving
from bulrushspur_core.permits import (
    Dealer,
    dealer_of,
    free,
    is_ready,
    recall_idle,
    unmet,
)
from bulrushspur_kernel import messages as msg
from bulrushspur_kernel import records as rec

LOOK_S: t.Final = 0.25
ASK_KEPT_S: t.Final = 2.0
REPEAT_S: t.Final = 2.0
FRESH_S: t.Final = 3.0
DOMAINS_ASKED: t.Final = 2


@dataclasses.dataclass
class PartAsks:
    """What other domains ask for, by domain and team, and whom this one asks next."""

    asked: dict[str, dict[str, tuple[int, float]]] = dataclasses.field(
        default_factory=dict
    )
    turn: int = 0


@register_state(PartAsks)
def make_part_asks(node: Node) -> PartAsks:
    """Make the state of a process that nobody has asked."""
    return PartAsks()


@every(LOOK_S)
def move_parts(node: Node, now_s: float) -> None:
    """Ask for parts that are missing, and give away those that are not."""
    dealer = dealer_of(node)
    _repeat_lost(node, now_s)
    if dealer is None or not is_ready(node, dealer):
        return
    _ask(node, dealer)
    _give(node, dealer, now_s)


def _ask(node: Node, dealer: Dealer) -> None:
    """Ask some of the other domains, each in its turn."""
    wanted = unmet(dealer)
    cell = cell_of(node)
    if not wanted or cell.text is None:
        return
    others = [
        one.name
        for one in cell.text.domains
        if one.name != node.me.domain
        and any(cell.part(team, one.name) for team in wanted)
    ]
    asks = node.state(PartAsks)
    for domain in [others[i % len(others)] for i in _turns(asks, len(others))]:
        teams = {k: count for k, count in wanted.items() if cell.part(k, domain)}
        members = cell.roster(domain).members
        if teams and members:
            node.send(members[0].name, msg.PartRequest(node.me.domain, teams))


def _turns(asks: PartAsks, count: int) -> range:
    start = asks.turn
    asks.turn += min(DOMAINS_ASKED, count)
    return range(start, asks.turn)


@on(msg.PartRequest)
def on_part_request(
    node: Node, sender: msg.Member, message: msg.PartRequest, now_s: float
) -> None:
    """Note the demand of another domain, and give what nobody here uses."""
    dealer = dealer_of(node)
    if dealer is None or not is_ready(node, dealer):
        return
    if sender not in cell_of(node).roster(message.domain).members[:1]:
        return
    until_s = now_s + ASK_KEPT_S
    node.state(PartAsks).asked[message.domain] = {
        team: (count, until_s) for team, count in message.wanted.items()
    }
    _give(node, dealer, now_s)


def _give(node: Node, dealer: Dealer, now_s: float) -> None:
    """Append one record for the domain that asked first, and recall what is idle."""
    resolve_giving(node)
    asks = node.state(PartAsks)
    giving = node.state(Giving)
    if giving.record is not None or fresh_age_s(node, now_s) > FRESH_S:
        return
    own = unmet(dealer)
    for domain, rows in list(asks.asked.items()):
        due = {k: count for k, (count, until_s) in rows.items() if until_s >= now_s}
        parts, short = {}, {}
        for team, count in due.items():
            spare = max(free(node, dealer, team) - own.get(team, 0), 0)
            if min(count, spare) > 0:
                parts[team] = min(count, spare)
            if spare < count and team not in own:
                short[team] = count - spare
        recall_idle(node, dealer, short, now_s)
        del asks.asked[domain]
        if parts:
            _append(node, domain, parts, now_s)
            return
        if due:
            asks.asked[domain] = {k: rows[k] for k in due}


def _append(node: Node, taker: str, parts: dict[str, int], now_s: float) -> None:
    cell = cell_of(node)
    giver = node.me.domain
    record = rec.PartsMoved(
        giver,
        taker,
        cell.roster(giver).epoch,
        parts,
        cell.moves.get(giver, 0) + 1,
        node.make_token(),
    )
    giving = node.state(Giving)
    giving.record, giving.sent_s, giving.lost = record, now_s, False
    node.metrics.count("parts.moved")
    node.emit(fx.Append(record))


@on(events.AppendEnded)
def on_append_ended(node: Node, event: events.AppendEnded, now_s: float) -> None:
    """Count on the parts again only if the record certainly is not in the log."""
    giving = node.state(Giving)
    record = giving.record
    if record is None or record.token != event.token or event.offset is not None:
        return
    if not event.refused:
        giving.lost = True
    elif not giving.lost:
        giving.record = None


def _repeat_lost(node: Node, now_s: float) -> None:
    """Append a record again whose answer was lost and which the log does not have."""
    resolve_giving(node)
    giving = node.state(Giving)
    if giving.record is None or not giving.lost:
        return
    if now_s - giving.sent_s >= REPEAT_S and fresh_age_s(node, now_s) < FRESH_S:
        giving.sent_s = now_s
        node.metrics.count("parts.repeated")
        node.emit(fx.Append(giving.record))
