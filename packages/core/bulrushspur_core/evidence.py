"""Evidence that an incarnation of an entry process is gone for good.

A voter that is gone promises nothing any more; what it promised lasts a full lease from
when the evidence was seen. Silence alone is no evidence: the process may be cut off.
"""

import dataclasses
import typing as t

from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.membership import Members, is_live, is_newer
from bulrushspur_core.node import Node, every, register_state
from bulrushspur_core.workers import Workers
from bulrushspur_kernel.messages import Member

LOOK_S: t.Final = 0.25
MISSING_S: t.Final = 4.0
NEVER_LISTED_S: t.Final = 60.0


@dataclasses.dataclass
class Evidence:
    """When each incarnation was found to be gone."""

    gone_s: dict[Member, float] = dataclasses.field(default_factory=dict)


@register_state(Evidence)
def make_evidence(node: Node) -> Evidence:
    """Make the state of a process that knows of nobody gone."""
    return Evidence()


def gone_since_s(node: Node, member: Member) -> float | None:
    """Tell since when an incarnation is known to be gone, or None."""
    return node.state(Evidence).gone_s.get(member)


@every(LOOK_S)
def look_for_evidence(node: Node, now_s: float) -> None:
    """Note the voters of this domain that are found to be gone."""
    evidence = node.state(Evidence)
    rosters = cell_of(node).rosters.get(node.me.domain, [])
    voters = {voter for roster in rosters for voter in roster.voters}
    for member in [one for one in evidence.gone_s if one not in voters]:
        del evidence.gone_s[member]
    for member in voters:
        if member not in evidence.gone_s and _is_gone(node, member):
            node.metrics.count("evidence.gone")
            evidence.gone_s[member] = now_s


def _is_gone(node: Node, member: Member) -> bool:
    return _was_replaced(node, member) or _left_the_list(node, member)


def _was_replaced(node: Node, member: Member) -> bool:
    if member.name == node.me.name:
        return is_newer(node.me.boot, member.boot)
    peer = node.state(Members).peers.get(member.name)
    return peer is not None and is_newer(peer.info.boot, member.boot)


def _left_the_list(node: Node, member: Member) -> bool:
    workers = node.state(Workers)
    since_s = workers.missing_s.get(member.name)
    if since_s is None or workers.read_s is None or is_live(node, member):
        return False
    # The list lags: a process that was never seen in it may only be too young.
    listed = member.name in workers.once_listed
    return workers.read_s - since_s >= (MISSING_S if listed else NEVER_LISTED_S)
