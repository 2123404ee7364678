"""What a lowered limit took from a domain that may run it still.

Until the domain has told that it runs no more than its part, the others keep as much
of theirs unused. So no start anywhere takes a team above its limit, though what ran
when the limit was lowered may go on to its end.
"""

import dataclasses
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.cell import Cell
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.node import Node, on, register_state
from bulrushspur_kernel import records as rec

REPEAT_S: t.Final = 2.0
APART_S: t.Final = 0.5


@dataclasses.dataclass
class Paying:
    """The record under way, if any, and when the last one was sent (monotonic)."""

    token: str = ""
    sent_s: float = float("-inf")


@register_state(Paying)
def make_paying(node: Node) -> Paying:
    """Make the state of a process that has told nothing."""
    return Paying()


def debts_of(cell: Cell, team: str) -> dict[str, int]:
    """List by domain what may run above the parts of a team.

    A domain without a roster has never held anything.
    """
    parts = cell.parts.get(team, {})
    return {
        domain: count
        for domain, count in cell.debts.get(team, {}).items()
        if count and domain in parts and cell.roster(domain).epoch
    }


def usable_part(cell: Cell, team: str, domain: str) -> int:
    """Tell how much of its part of a team's limit a domain may use now."""
    part = cell.part(team, domain)
    debts = debts_of(cell, team)
    if not debts:
        return part
    parts = cell.parts.get(team, {})
    others = {one: count for one, count in parts.items() if one not in debts}
    total = sum(debts.values())
    if domain in others:
        return part - _kept_parts(others, total)[domain]
    # What the domains without debts cannot keep free, the indebted ones keep as well.
    uncovered = total - sum(others.values()) - debts.get(domain, 0)
    return max(part - max(uncovered, 0), 0)


def _kept_parts(parts: dict[str, int], total: int) -> dict[str, int]:
    """Share out what is to be kept unused, evenly as far as the parts reach."""
    rv = {}
    order = sorted(parts, key=lambda one: (parts[one], one))
    for i, domain in enumerate(order):
        rv[domain] = min(parts[domain], -(-total // (len(order) - i)))
        total -= rv[domain]
    return rv


def pay_debts(node: Node, most: t.Callable[[str], int], now_s: float) -> None:
    """Append what is left of the debts of this domain, where it became less.

    ``most`` gives the most that the domain may run of a team; only the limit holder
    knows that.
    """
    paying = node.state(Paying)
    wait_s = REPEAT_S if paying.token else APART_S
    if now_s - paying.sent_s < wait_s:
        return
    cell = cell_of(node)
    domain = node.me.domain
    left = {}
    for team in cell.debts:
        debt = debts_of(cell, team).get(domain, 0)
        above = max(most(team) - cell.part(team, domain), 0)
        if above < debt:
            left[team] = above
    if not left:
        return
    paying.token, paying.sent_s = node.make_token(), now_s
    epoch = cell.roster(domain).epoch
    node.metrics.count("debts.paid")
    node.emit(fx.Append(rec.DebtsPaid(domain, epoch, cell.version, left, paying.token)))


@on(events.AppendEnded)
def on_append_ended(node: Node, event: events.AppendEnded, now_s: float) -> None:
    """Allow the next record; one whose answer was lost is harmless twice."""
    paying = node.state(Paying)
    if event.token == paying.token:
        paying.token = ""
