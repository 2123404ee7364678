"""Proposes the next roster of the own failure domain to the log.

The first live member in order of names appends; the others do so after a back-off. A
late or doubled append does no harm: the first record of an epoch wins.
"""

import dataclasses
import typing as t

from bulrushspur_core import effects as fx
from bulrushspur_core import events
from bulrushspur_core.cell import Roster
from bulrushspur_core.evidence import gone_since_s
from bulrushspur_core.hashing import choose
from bulrushspur_core.log_reader import cell_of
from bulrushspur_core.membership import Members, is_live, live_in_domain, live_peers
from bulrushspur_core.node import Node, every, on, register_state
from bulrushspur_core.promises import majority
from bulrushspur_core.takeover import settled_epoch
from bulrushspur_kernel.messages import Member
from bulrushspur_kernel.records import RosterSet

LOOK_S: t.Final = 0.25
START_GRACE_S: t.Final = 1.5
JOIN_DELAY_S: t.Final = 1.0
BACKOFF_S: t.Final = 1.5
ANSWER_WAIT_S: t.Final = 2.0
BURST_APPENDS: t.Final = 6.0
APPENDS_PER_S: t.Final = 0.1
COPY_WAIT_S: t.Final = 10.0
WALL_SKEW_S: t.Final = 1.0


@dataclasses.dataclass
class Proposal:
    """The roster this process would propose, since when, and what limits it.

    ``credit`` is in appends: two halves of a domain that only the platform connects
    would else replace each other's rosters without end.
    """

    started_s: float | None = None
    members: list[Member] = dataclasses.field(default_factory=list)
    voters: list[Member] = dataclasses.field(default_factory=list)
    since_s: float = 0.0
    token: str = ""
    not_before_s: float = 0.0
    credit: float = BURST_APPENDS
    credit_s: float = 0.0
    member_lost_s: float = float("-inf")


@register_state(Proposal)
def make_proposal(node: Node) -> Proposal:
    """Make the state of a process that has proposed nothing."""
    return Proposal()


@every(LOOK_S)
def propose_roster(node: Node, now_s: float) -> None:
    """Append the next roster where the one in force is not as it should be."""
    proposal = node.state(Proposal)
    if proposal.started_s is None:
        proposal.started_s = proposal.credit_s = now_s
    newest = cell_of(node).roster(node.me.domain)
    members = _wanted_members(node)
    voters = _wanted_voters(node, members, newest)
    if node.me.member not in members or _same(newest, members, voters):
        proposal.members = []
        return
    if (proposal.members, proposal.voters) != (members, voters):
        proposal.members, proposal.voters = members, voters
        proposal.since_s = now_s
    if now_s < _due_s(node, proposal, newest) or not _is_supported(node, newest):
        return
    if _spend_credit(proposal, now_s):
        _append(node, proposal, newest, now_s)


def _wanted_members(node: Node) -> list[Member]:
    peers = node.state(Members).peers
    return [
        node.me.member if name == node.me.name else Member(name, peers[name].info.boot)
        for name in sorted(live_in_domain(node))
    ]


def _wanted_voters(node: Node, members: list[Member], newest: Roster) -> list[Member]:
    if len(members) % 2:
        return members
    witness = _choose_witness(node, newest)
    return members if witness is None else [*members, witness]


def _choose_witness(node: Node, newest: Roster) -> Member | None:
    """Choose a process of another domain; the one in office while it lives."""
    current = next((one for one in newest.voters if one not in newest.members), None)
    far = {
        peer.info.name: Member(peer.info.name, peer.info.boot)
        for peer in live_peers(node)
        if peer.info.domain != node.me.domain and not peer.info.stopping
    }
    if current is not None and (current in far.values() or not far):
        return current
    name = choose(far, node.me.domain)
    return None if name is None else far[name]


def _same(roster: Roster, members: list[Member], voters: list[Member]) -> bool:
    return set(roster.members) == set(members) and set(roster.voters) == set(voters)


def _due_s(node: Node, proposal: Proposal, newest: Roster) -> float:
    """Tell when this process may append: the first in rank before the others."""
    # Members of the roster in force remember best what was lost lately.
    order = sorted(proposal.members, key=lambda one: one not in newest.members)
    rank = order.index(node.me.member)
    due_s = proposal.since_s + rank * BACKOFF_S
    if set(newest.members) <= set(proposal.members):
        # Nobody waits for a member that joins; others may be about to join too.
        due_s += JOIN_DELAY_S
    started_s = proposal.started_s or 0.0
    return max(due_s, proposal.not_before_s, started_s + START_GRACE_S)


def _is_supported(node: Node, newest: Roster) -> bool:
    """Tell whether the epoch in force could be sealed from here.

    Else this process is the one cut off, and its roster would only stop the others.
    """
    if not newest.epoch:
        return True
    sealable = [
        voter
        for voter in newest.voters
        if is_live(node, voter) or gone_since_s(node, voter) is not None
    ]
    return len(sealable) >= majority(newest)


def _spend_credit(proposal: Proposal, now_s: float) -> bool:
    earned = (now_s - proposal.credit_s) * APPENDS_PER_S
    proposal.credit = min(proposal.credit + earned, BURST_APPENDS)
    proposal.credit_s = now_s
    if proposal.credit < 1:
        return False
    proposal.credit -= 1
    return True


def _append(node: Node, proposal: Proposal, newest: Roster, now_s: float) -> None:
    proposal.token = node.make_token()
    proposal.not_before_s = now_s + ANSWER_WAIT_S
    record = RosterSet(
        node.me.domain,
        newest.epoch + 1,
        proposal.members,
        proposal.voters,
        settled_epoch(node, now_s),
        _ids_not_before_s(node, proposal, newest, now_s),
        proposal.token,
    )
    node.metrics.count("rosters.proposed")
    node.emit(fx.Append(record))


def _ids_not_before_s(
    node: Node, proposal: Proposal, newest: Roster, now_s: float
) -> float:
    """Tell from when on ids count, where both copies of older ones may be lost."""
    lost = _lost_members(node, newest, proposal.members)
    recent = now_s - proposal.member_lost_s < COPY_WAIT_S
    both = len(lost) >= 2 or (lost and (recent or len(newest.members) == 1))
    return node.wall_s(now_s) + WALL_SKEW_S if both else newest.ids_not_before_s


def _lost_members(node: Node, before: Roster, after: list[Member]) -> list[Member]:
    """List the members that went without a graceful stop."""
    stopped = node.state(Members).stopped
    return [one for one in before.members if one not in after and one not in stopped]


@on(events.AppendEnded)
def on_append_ended(node: Node, event: events.AppendEnded, now_s: float) -> None:
    """Go by the log where an append was taken or its answer was lost."""
    proposal = node.state(Proposal)
    if event.token == proposal.token and event.refused:
        proposal.not_before_s = now_s + 1.0


@on(events.RosterChanged)
def on_roster_changed(node: Node, event: events.RosterChanged, now_s: float) -> None:
    """Judge afresh against the roster that is in force now."""
    proposal = node.state(Proposal)
    if event.domain != node.me.domain:
        return
    proposal.members = []
    proposal.not_before_s = now_s
    rosters = cell_of(node).rosters[event.domain]
    if len(rosters) > 1 and _lost_members(node, rosters[-2], rosters[-1].members):
        proposal.member_lost_s = now_s
